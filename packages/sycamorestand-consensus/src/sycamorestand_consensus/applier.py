"""Applies committed entries to the state machine in limited steps."""

from __future__ import annotations

from collections import deque
import logging
from typing import Final

from sycamorestand_consensus.errors import CommandRefused
from sycamorestand_consensus.messages import Entry
from sycamorestand_consensus.messages import EntryKind
from sycamorestand_consensus.messages import Snapshot
from sycamorestand_consensus.replica_types import StateMachine
from sycamorestand_consensus.waiters import PendingProposals

LOG: Final = logging.getLogger(__name__)
# After a restart thousands of entries may be committed at once. Applying
# them all in one step would delay heartbeats.
MAX_APPLY_ENTRIES: Final = 256
MAX_APPLY_BYTES: Final = 256 * 1024


class Applier:
    """State machine with the queue of entries to apply to it."""

    def __init__(
        self, group: int, machine: StateMachine, proposals: PendingProposals
    ) -> None:
        """Start before the first entry of the log of ``group``."""
        self.applied_index = 0
        self._group = group
        self._machine = machine
        self._proposals = proposals
        self._pending: deque[Entry] = deque()

    @property
    def has_pending(self) -> bool:
        """Return whether committed entries wait to be applied."""
        return bool(self._pending)

    def check(self, command: bytes) -> None:
        """Raise ``CommandRefused`` if the state machine cannot read it.

        Once such a command is committed, it ends every member.
        """
        try:
            self._machine.check(command)
        except Exception as error:
            raise CommandRefused(f"it cannot be read: {error}") from error

    def restore_initial(self, snapshot: Snapshot) -> None:
        """Restore the snapshot recovered from disk, if there is one."""
        if snapshot.last_index > 0:
            self._restore(snapshot)

    def accept_output(
        self, install: Snapshot | None, committed: tuple[Entry, ...]
    ) -> None:
        """Restore an installed snapshot and queue committed entries."""
        if install is not None:
            self._pending.clear()
            self._restore(install)
            self._proposals.fail_through(install.last_index)
        self._pending.extend(committed)

    def apply_pending(self) -> None:
        """Apply queued entries, a limited number and size of them."""
        size_bytes = 0
        for _ in range(min(MAX_APPLY_ENTRIES, len(self._pending))):
            if size_bytes >= MAX_APPLY_BYTES:
                return
            entry = self._pending.popleft()
            size_bytes += len(entry.data)
            result = None
            if entry.kind == EntryKind.COMMAND:
                result = self._apply(entry)
            self.applied_index = entry.log_index
            self._proposals.resolve(entry, result)

    def snapshot(self) -> bytes:
        """Return the state machine's snapshot after ``applied_index``."""
        return self._machine.snapshot()

    def _apply(self, entry: Entry) -> object:
        try:
            return self._machine.apply(entry.log_index, entry.data)
        except Exception:
            # A member that went on without this entry would have another
            # state than the members that applied it.
            LOG.critical(
                "committed command cannot be applied: this member ends",
                extra={
                    "log": self._group,
                    "index": entry.log_index,
                    "term": entry.term,
                    "size_bytes": len(entry.data),
                },
                exc_info=True,
            )
            raise

    def _restore(self, snapshot: Snapshot) -> None:
        self._machine.restore(snapshot.data)
        self.applied_index = snapshot.last_index


__all__ = ["Applier"]
