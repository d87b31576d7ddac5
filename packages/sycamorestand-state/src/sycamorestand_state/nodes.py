"""The known entry processes, and the addresses that callers get.

There is no load balancer in front of the entries. A caller asks any entry
for addresses, gets them ranked, and uses them for a while. A stopping
entry, and an entry on a draining VM, is therefore left out of the answers
before it stops serving.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Final
from typing import NamedTuple

from sycamorestand_state.registry import Registry
from sycamorestand_state.rendezvous import weight
from sycamorestand_state.versioned_map import MapDelta

# Load is published in these steps, so that it rarely causes a delta.
LOAD_STEP: Final = 0.25
# From this load on, requests queue at an entry. An entry of another data
# centre, a millisecond away, then answers sooner.
OVERLOAD_THRESHOLD: Final = 0.75


class NodeRecord(NamedTuple):
    """One entry process; ``load`` is from 0 (idle) to 1 (saturated).

    ``unreached`` are the services none of whose servers the entry reaches,
    and ``forwarding_key`` is the key of requests that it shall forward.
    """

    name: str
    vm: str
    data_centre: str
    incarnation: int
    sequence: int
    host: str
    port: int
    peer_address: str
    stopping: bool = False
    load: float = 0.0
    lease_s: float = 3.0
    unreached: tuple[str, ...] = ()
    forwarding_key: bytes = b""
    region: str = ""


NodeDelta = MapDelta[NodeRecord]


class NodeRegistry(Registry[NodeRecord]):
    """Registry of the entry processes."""

    def __init__(self, origin: str, epoch: int) -> None:
        super().__init__(origin, epoch, _with_coarse_load, _is_leaving)

    def nodes(self) -> dict[str, NodeRecord]:
        """Return all known entries by name, including stopping ones."""
        return self.records()

    def addresses(
        self,
        caller: str,
        data_centre: str,
        limit: int,
        draining_vms: Collection[str] = (),
    ) -> tuple[NodeRecord, ...]:
        """Return up to ``limit`` entries for a caller, the best one first.

        Entries that reach the servers of all services come first, and among
        them those of the caller's data centre, unless they are overloaded.
        Entries of equal rank are ordered by a hash with the
        caller's name, which spreads callers over them. If all VMs are
        draining, their entries are returned nevertheless, as callers would
        otherwise get no address.
        """
        running = [n for n in self.nodes().values() if not n.stopping]
        undrained = [n for n in running if n.vm not in draining_vms]

        def rank(node: NodeRecord) -> tuple[bool, bool, bool, float, int]:
            return (
                bool(node.unreached),
                node.load >= OVERLOAD_THRESHOLD,
                node.data_centre != data_centre,
                node.load,
                -weight(caller, node.name),
            )

        return tuple(sorted(undrained or running, key=rank)[:limit])


def _with_coarse_load(node: NodeRecord) -> NodeRecord:
    return node._replace(load=node.load // LOAD_STEP * LOAD_STEP)


def _is_leaving(node: NodeRecord) -> bool:
    return node.stopping


__all__ = [
    "LOAD_STEP",
    "NodeDelta",
    "NodeRecord",
    "NodeRegistry",
    "OVERLOAD_THRESHOLD",
]
