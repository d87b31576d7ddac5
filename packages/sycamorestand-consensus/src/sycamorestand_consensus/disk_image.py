"""State of a disk after a sequence of records."""

from __future__ import annotations

from sycamorestand_consensus.errors import SafetyViolated
from sycamorestand_consensus.messages import EMPTY_SNAPSHOT
from sycamorestand_consensus.messages import Entry
from sycamorestand_consensus.messages import HardState
from sycamorestand_consensus.messages import LogAppend
from sycamorestand_consensus.messages import LogTruncate
from sycamorestand_consensus.messages import Record
from sycamorestand_consensus.messages import Recovered
from sycamorestand_consensus.messages import SaveSnapshot
from sycamorestand_consensus.messages import Snapshot


class DiskImage:
    """Replays records in the order in which they were written.

    The segments on disk may begin with entries that a snapshot already
    covers. ``recovered`` drops these entries.
    """

    def __init__(self, snapshot: Snapshot = EMPTY_SNAPSHOT) -> None:
        """Start with the newest snapshot on disk."""
        self.hard = HardState()
        self.snapshot = snapshot
        self.entries: list[Entry] = []

    def replay(self, record: Record) -> None:
        """Apply one more record."""
        if isinstance(record, HardState):
            self.hard = record
        elif isinstance(record, LogAppend):
            self._append(record.entries)
        elif isinstance(record, LogTruncate):
            self._truncate(record.from_index)
        else:
            self._apply_snapshot(record)

    def drop_entries(self) -> None:
        """Delete all entries, which a snapshot from the leader replaces."""
        self.entries.clear()

    def recovered(self) -> Recovered:
        """Return the hard state, the snapshot and the entries after it.

        Raises ``SafetyViolated`` if entries are missing in between.
        """
        snapshot = self.snapshot
        kept = [e for e in self.entries if e.log_index > snapshot.last_index]
        covered = [
            e for e in self.entries if e.log_index == snapshot.last_index
        ]
        if covered and covered[0].term != snapshot.last_term:
            # The crash came after the snapshot was written and before the
            # record that drops the log. These entries are not part of the
            # snapshot's history.
            kept = []
        if kept and kept[0].log_index != snapshot.last_index + 1:
            raise SafetyViolated(
                f"entries begin at {kept[0].log_index}, "
                f"the snapshot ends at {snapshot.last_index}"
            )
        return Recovered(self.hard, snapshot, tuple(kept))

    def _append(self, added: tuple[Entry, ...]) -> None:
        if (
            self.entries
            and added[0].log_index != self.entries[-1].log_index + 1
        ):
            raise SafetyViolated(
                f"entry {added[0].log_index} on disk follows "
                f"{self.entries[-1].log_index}"
            )
        self.entries.extend(added)

    def _truncate(self, from_index: int) -> None:
        while self.entries and self.entries[-1].log_index >= from_index:
            self.entries.pop()

    def _apply_snapshot(self, record: SaveSnapshot) -> None:
        if record.snapshot.last_index >= self.snapshot.last_index:
            self.snapshot = record.snapshot
        if not record.keep_log:
            self.entries.clear()


__all__ = ["DiskImage"]
