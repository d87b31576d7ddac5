"""Invariants that are checked after every step of an exploration."""

from __future__ import annotations

from collections.abc import Callable
import hashlib
from typing import NamedTuple
from typing import Protocol

from sycamorestand_consensus.core import Core
from sycamorestand_consensus.messages import Entry
from sycamorestand_consensus.messages import EntryKind
from sycamorestand_consensus.raft_state import Role
from sycamorestand_consensus.replica import StateMachine

MachineFactory = Callable[[], StateMachine]


class FaultFound(Exception):
    """An invariant of the replicated log was violated."""


class HashMachine:
    """A state machine whose state is a digest of all applied commands.

    Two different histories have different states.
    """

    def __init__(self) -> None:
        """Begin with an empty history."""
        self._digest = b""

    def check(self, command: bytes) -> None:
        """Take every command."""

    def apply(self, index: int, command: bytes) -> object:
        """Update the digest with a command and return it."""
        text = b"%s|%d|%s" % (self._digest, index, command)
        self._digest = hashlib.blake2b(text, digest_size=16).digest()
        return self._digest

    def snapshot(self) -> bytes:
        """Return the digest."""
        return self._digest

    def restore(self, data: bytes) -> None:
        """Replace the digest with one from a snapshot."""
        self._digest = data


class NodeView(Protocol):
    """The attributes of a simulated node that the checks read."""

    name: str
    core: Core
    applied_index: int

    def true_time_of(self, local_s: float) -> float:
        """Convert a time of the node's clock to the true clock."""
        ...


class Claim(NamedTuple):
    """A lease that a node claimed; its end is a time on the true clock."""

    name: str
    term: int
    until_s: float


class Checker:
    """Records commits, leaders and leases, and checks the invariants.

    All methods raise `FaultFound` when an invariant is violated.
    """

    def __init__(self, make_machine: MachineFactory) -> None:
        """Begin before the first commit."""
        self._model = make_machine()
        self._snapshots = [self._model.snapshot()]
        self._leaders: dict[int, str] = {}
        self._claims: dict[str, Claim] = {}
        self.committed: list[Entry] = []

    def record_committed(self, node: NodeView, entry: Entry) -> None:
        """Record a committed entry and compare it with other nodes' entries.

        Every node must report the same entry at an index, without gaps.
        """
        position = entry.log_index - 1
        if position < len(self.committed):
            if self.committed[position] != entry:
                raise FaultFound(
                    f"{node.name} committed {entry}, "
                    f"but {self.committed[position]} was committed before"
                )
            return
        if position > len(self.committed):
            raise FaultFound(
                f"{node.name} skipped entries before {entry.log_index}"
            )
        self.committed.append(entry)
        if entry.kind == EntryKind.COMMAND:
            self._model.apply(entry.log_index, entry.data)
        self._snapshots.append(self._model.snapshot())

    def check_snapshot(self, node: NodeView, index: int, data: bytes) -> None:
        """Compare a snapshot after ``index`` with the model's state."""
        if index >= len(self._snapshots):
            raise FaultFound(
                f"{node.name} has entry {index}, which was never committed"
            )
        if data != self._snapshots[index]:
            raise FaultFound(
                f"{node.name} has a different state after entry {index}"
            )

    def check_node(self, node: NodeView, true_s: float) -> None:
        """Check a leader; do nothing for any other node.

        No other node may lead the same term, or hold a lease while this node
        claims one. A new leader's log must hold all committed entries.
        """
        if node.core.state.role != Role.LEADER:
            return
        self._check_leader(node)
        self._check_lease(node, true_s)

    def check_barrier(
        self, node: NodeView, index: int, min_index: int
    ) -> None:
        """Check that a confirmed read sees all entries committed before.

        ``min_index`` is the last index committed when the read began.
        """
        if index < min_index:
            raise FaultFound(
                f"{node.name} reads at entry {index}, but entry {min_index} "
                "was committed before"
            )

    def _check_leader(self, node: NodeView) -> None:
        term = node.core.state.term
        known = self._leaders.get(term)
        if known == node.name:
            return
        if known is not None:
            raise FaultFound(f"{known} and {node.name} both lead term {term}")
        self._leaders[term] = node.name
        log = node.core.state.log
        for entry in self.committed[log.start_index :]:
            if log.term_at(entry.log_index) != entry.term:
                raise FaultFound(
                    f"{node.name} leads term {term} without committed "
                    f"entry {entry.log_index} of term {entry.term}"
                )

    def _check_lease(self, node: NodeView, true_s: float) -> None:
        state = node.core.state
        local_until_s = node.core.claim_lease_until_s(state.now_s)
        until_s = node.true_time_of(local_until_s)
        if local_until_s == 0.0 or until_s <= true_s:
            return
        for other in self._claims.values():
            if other.name != node.name and other.until_s > true_s:
                raise FaultFound(
                    f"{node.name} claims a lease in term {state.term} while "
                    f"{other.name} holds one of term {other.term} until "
                    f"{other.until_s:.3f} s; now is {true_s:.3f} s"
                )
        earlier = self._claims.get(node.name)
        if earlier is not None:
            until_s = max(until_s, earlier.until_s)
        self._claims[node.name] = Claim(node.name, state.term, until_s)


__all__ = [
    "Checker",
    "FaultFound",
    "HashMachine",
    "MachineFactory",
    "NodeView",
]
