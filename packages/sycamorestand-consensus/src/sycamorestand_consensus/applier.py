"""Applies committed entries to the state machine, some at a time."""

from __future__ import annotations

from collections import deque
from typing import Final

from sycamorestand_consensus.messages import Entry
from sycamorestand_consensus.messages import EntryKind
from sycamorestand_consensus.messages import Snapshot
from sycamorestand_consensus.replica_types import StateMachine
from sycamorestand_consensus.waiters import Proposals

# After a restart thousands of entries commit at once. Applied in one go
# they would hold up heartbeats; this many take a few milliseconds.
ENTRIES_AT_ONCE: Final = 256


class Applier:
    """The state machine and how far it has come."""

    def __init__(self, machine: StateMachine, proposals: Proposals) -> None:
        """Begin before the first entry."""
        self.applied_index = 0
        self._machine = machine
        self._proposals = proposals
        self._waiting: deque[Entry] = deque()

    @property
    def has_more(self) -> bool:
        """Tell whether committed entries wait to be applied."""
        return bool(self._waiting)

    def begin(self, snapshot: Snapshot) -> None:
        """Start from the snapshot that was found on disk."""
        if snapshot.last_index > 0:
            self._restore(snapshot)

    def take(
        self, install: Snapshot | None, committed: tuple[Entry, ...]
    ) -> None:
        """Take in what the core returned."""
        if install is not None:
            self._waiting.clear()
            self._restore(install)
            self._proposals.drop_through(install.last_index)
        self._waiting.extend(committed)

    def apply_some(self) -> None:
        """Apply a bounded number of entries."""
        for _ in range(min(ENTRIES_AT_ONCE, len(self._waiting))):
            entry = self._waiting.popleft()
            result = None
            if entry.kind == EntryKind.COMMAND:
                result = self._machine.apply(entry.log_index, entry.data)
            self.applied_index = entry.log_index
            self._proposals.applied(entry, result)

    def snapshot(self) -> bytes:
        """Return the state after ``applied_index``."""
        return self._machine.snapshot()

    def _restore(self, snapshot: Snapshot) -> None:
        self._machine.restore(snapshot.data)
        self.applied_index = snapshot.last_index


__all__ = ["Applier"]
