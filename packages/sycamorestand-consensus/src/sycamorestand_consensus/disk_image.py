"""What a disk holds after a sequence of records."""

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

    Segments on a real disk may begin with entries that a snapshot already
    covers, so ``recovered`` drops those at the end.
    """

    def __init__(self, snapshot: Snapshot = EMPTY_SNAPSHOT) -> None:
        """Begin with the newest snapshot that is on disk."""
        self.hard = HardState()
        self.snapshot = snapshot
        self.entries: list[Entry] = []

    def replay(self, record: Record) -> None:
        """Take in one more record."""
        if isinstance(record, HardState):
            self.hard = record
        elif isinstance(record, LogAppend):
            self._append(record.entries)
        elif isinstance(record, LogTruncate):
            self._truncate(record.from_index)
        else:
            self._apply_snapshot(record)

    def drop_entries(self) -> None:
        """Drop all entries: a snapshot from the leader replaces them."""
        self.entries.clear()

    def recovered(self) -> Recovered:
        """Return hard state, snapshot and the entries that follow it."""
        snapshot = self.snapshot
        kept = [e for e in self.entries if e.log_index > snapshot.last_index]
        covered = [
            e for e in self.entries if e.log_index == snapshot.last_index
        ]
        if covered and covered[0].term != snapshot.last_term:
            # The crash fell between the snapshot and the record that
            # drops the log: these entries were never part of it.
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
