"""What must hold after every step of an exploration."""

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
    """A promise of the replicated log was broken."""


class HashMachine:
    """A state machine whose state tells any two histories apart."""

    def __init__(self) -> None:
        """Begin with an empty history."""
        self._digest = b""

    def apply(self, index: int, command: bytes) -> object:
        """Chain the command onto the history."""
        text = b"%s|%d|%s" % (self._digest, index, command)
        self._digest = hashlib.blake2b(text, digest_size=16).digest()
        return self._digest

    def snapshot(self) -> bytes:
        """Return the digest of the history."""
        return self._digest

    def restore(self, data: bytes) -> None:
        """Take over another history."""
        self._digest = data


class NodeView(Protocol):
    """What the checks read of a simulated node."""

    name: str
    core: Core
    applied_index: int

    def true_time_of(self, local_s: float) -> float:
        """Convert a reading of the node's clock."""
        ...


class Claim(NamedTuple):
    """A lease that a node claimed, on the true clock."""

    name: str
    term: int
    until_s: float


class Checker:
    """Remembers what was promised so far and compares."""

    def __init__(self, make_machine: MachineFactory) -> None:
        """Begin before the first commit."""
        self._model = make_machine()
        self._snapshots = [self._model.snapshot()]
        self._leaders: dict[int, str] = {}
        self._claims: dict[str, Claim] = {}
        self.committed: list[Entry] = []

    def note_committed(self, node: NodeView, entry: Entry) -> None:
        """Compare an entry that a node calls committed with the others'."""
        position = entry.log_index - 1
        if position < len(self.committed):
            if self.committed[position] != entry:
                raise FaultFound(
                    f"{node.name} committed {entry}, "
                    f"earlier {self.committed[position]} was"
                )
            return
        if position > len(self.committed):
            raise FaultFound(f"{node.name} skipped to {entry.log_index}")
        self.committed.append(entry)
        if entry.kind == EntryKind.COMMAND:
            self._model.apply(entry.log_index, entry.data)
        self._snapshots.append(self._model.snapshot())

    def check_snapshot(self, node: NodeView, index: int, data: bytes) -> None:
        """Compare a state after ``index`` with the model's."""
        if index >= len(self._snapshots):
            raise FaultFound(f"{node.name} has {index}, never committed")
        if data != self._snapshots[index]:
            raise FaultFound(f"{node.name} differs after entry {index}")

    def check_node(self, node: NodeView, true_s: float) -> None:
        """Check leadership and lease of a node that just acted."""
        if node.core.state.role != Role.LEADER:
            return
        self._check_leader(node)
        self._check_lease(node, true_s)

    def check_barrier(self, node: NodeView, index: int, floor: int) -> None:
        """Check that a confirmed read sees what was committed before."""
        if index < floor:
            raise FaultFound(
                f"{node.name} reads at {index}, {floor} was committed"
            )

    def _check_leader(self, node: NodeView) -> None:
        term = node.core.state.term
        known = self._leaders.get(term)
        if known == node.name:
            return
        if known is not None:
            raise FaultFound(f"{known} and {node.name} lead in term {term}")
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
                    f"{node.name} claims a lease in term {state.term}, "
                    f"{other.name} of term {other.term} until "
                    f"{other.until_s:.3f} at {true_s:.3f}"
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
