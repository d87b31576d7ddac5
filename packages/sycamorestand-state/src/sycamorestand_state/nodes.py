"""Which entries there are, and which of them callers are told to use.

No balancer stands in front: a caller asks any entry, gets ranked addresses
and keeps them for a while. So a stopping entry, and one on a draining VM,
leaves the answers first.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Final
from typing import NamedTuple

from sycamorestand_state.registry import Registry
from sycamorestand_state.rendezvous import weight
from sycamorestand_state.versioned_map import MapDelta

# Load goes out in these steps, so that it rarely makes a delta.
LOAD_STEP: Final = 0.25
# Above this an entry of another data centre, a millisecond away, answers
# sooner than one that queues.
OVERLOAD_THRESHOLD: Final = 0.75


class NodeRecord(NamedTuple):
    """One entry process; ``load`` is 0 for idle to 1 for saturated."""

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


NodeDelta = MapDelta[NodeRecord]


class NodeRegistry(Registry[NodeRecord]):
    """The entries, with leases and deltas as backend servers have them."""

    def __init__(self, origin: str, epoch: int) -> None:
        super().__init__(origin, epoch, _with_coarse_load, _is_leaving)

    def nodes(self) -> dict[str, NodeRecord]:
        """Return all known entries by name, stopping ones among them."""
        return self.records()

    def addresses(
        self,
        caller: str,
        data_centre: str,
        limit: int,
        draining_vms: Collection[str] = (),
    ) -> tuple[NodeRecord, ...]:
        """Return the entries for a caller, the one to try first ahead.

        Entries of the data centre come first unless overloaded; equal
        ones in an order of the caller's own, so that callers spread.
        Where every VM is draining they are handed out all the same, as
        callers would otherwise find nobody.
        """
        running = [n for n in self.nodes().values() if not n.stopping]
        undrained = [n for n in running if n.vm not in draining_vms]

        def rank(node: NodeRecord) -> tuple[bool, bool, float, int]:
            return (
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
