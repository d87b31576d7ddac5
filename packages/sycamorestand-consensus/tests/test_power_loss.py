"""Losses of power that keep any part of the unsynced names."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from sycamorestand_consensus.errors import LogCorrupted
from sycamorestand_consensus.errors import StorageError
from sycamorestand_consensus.identity import open_identity
from sycamorestand_consensus.identity import record_group
from sycamorestand_consensus.messages import Entry
from sycamorestand_consensus.messages import EntryKind
from sycamorestand_consensus.messages import HardState
from sycamorestand_consensus.messages import LogAppend
from sycamorestand_consensus.messages import LogTruncate
from sycamorestand_consensus.messages import Member
from sycamorestand_consensus.messages import Record
from sycamorestand_consensus.messages import Recovered
from sycamorestand_consensus.messages import SaveSnapshot
from sycamorestand_consensus.messages import Snapshot
from sycamorestand_consensus.storage import Storage

from .power_loss import check_every_image
from .power_loss import Disk

GROUP = 0
SEGMENT_BYTES = 120
RESERVE_BYTES = 64
HARD = HardState(3, "b", "c")
# Each step is a group commit: entries up to an index, then a snapshot.
APPENDED_A_STEP = 3
STEPS = 27
SNAPSHOT_EVERY_STEPS = 7
# A snapshot covers several segments and replaces an earlier snapshot.
MIN_UNSYNCED = 3


class Voter:
    """A member's files, and what it has acknowledged."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.member_id = open_identity(folder).member_id
        self.storage = Storage(
            folder / f"group-{GROUP}", SEGMENT_BYTES, RESERVE_BYTES
        )
        self.last_index = 0
        self.term = 0

    def start(self) -> Recovered:
        had_log = GROUP in open_identity(self.folder).groups
        recovered = self.storage.open(had_log=had_log)
        record_group(self.folder, GROUP)
        return recovered

    def write(self, *records: Record) -> None:
        self.storage.write(list(records))
        for record in records:
            if isinstance(record, LogAppend):
                self.last_index = record.entries[-1].log_index
            if isinstance(record, HardState):
                self.term = record.term

    def check_after_loss(self, copy: Path) -> None:
        """Check that a copy of the disk holds what was acknowledged."""
        folder = copy / self.folder.name
        again = Voter(folder)
        recovered = again.start()
        if self.last_index or self.term:
            assert again.member_id == self.member_id
        assert recovered.hard.term >= self.term
        assert last_index(recovered) >= self.last_index
        check_entries(recovered)
        following = last_index(recovered) + 1
        again.write(LogAppend((entry(following),)))
        again.storage.close()
        once_more = Voter(folder)
        assert last_index(once_more.start()) == following
        once_more.storage.close()


def entry(index: int) -> Entry:
    return Entry(index, 1, EntryKind.COMMAND, b"command %d" % index)


def entries(first: int, last: int) -> LogAppend:
    return LogAppend(tuple(entry(i) for i in range(first, last + 1)))


def snapshot(index: int, term: int = 1) -> Snapshot:
    return Snapshot(index, term, (Member("a", "at-a", True),), b"state")


def last_index(recovered: Recovered) -> int:
    if recovered.entries:
        return recovered.entries[-1].log_index
    return recovered.snapshot.last_index


def check_entries(recovered: Recovered) -> None:
    first = recovered.snapshot.last_index + 1
    for index, found in enumerate(recovered.entries, start=first):
        assert found.log_index == index
        assert found.data == entry(index).data


def play(voter: Voter, steps: int = STEPS) -> Iterator[int]:
    """Yield after each group commit of a voter that makes snapshots."""
    voter.start()
    voter.write(HARD)
    for step in range(1, steps + 1):
        last = step * APPENDED_A_STEP
        records: list[Record] = [entries(last - APPENDED_A_STEP + 1, last)]
        if step % SNAPSHOT_EVERY_STEPS == 0:
            records.append(SaveSnapshot(snapshot(last - 2), keep_log=True))
        voter.write(*records)
        yield step


@pytest.fixture
def disk(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Disk:
    (tmp_path / "disk").mkdir()
    return Disk(tmp_path / "disk", monkeypatch)


class TestLossOfPower:
    """Guards against a voter that cannot read what it acknowledged."""

    def test_every_part_of_the_unsynced_names(
        self, disk: Disk, tmp_path: Path
    ) -> None:
        voter = Voter(disk.root / "data")
        most_unsynced = 0

        def lose_power() -> None:
            nonlocal most_unsynced
            most_unsynced = max(most_unsynced, len(disk.unsynced))
            check_every_image(disk, tmp_path / "after", voter.check_after_loss)

        disk.at_change = lose_power
        for _ in play(voter):
            lose_power()
        assert most_unsynced > MIN_UNSYNCED

    def test_leaders_snapshot_replaces_the_log(
        self, disk: Disk, tmp_path: Path
    ) -> None:
        voter = Voter(disk.root / "data")
        for _ in play(voter, steps=9):
            pass
        installed = SaveSnapshot(snapshot(90, term=2), keep_log=False)
        voter.write(installed, entries(91, 99))
        voter.write(entries(100, 102))
        check_every_image(disk, tmp_path / "after", voter.check_after_loss)

    def test_files_that_were_never_named_are_removed(
        self, tmp_path: Path
    ) -> None:
        """Guards against a disk that fills with what was cut short."""
        voter = Voter(tmp_path)
        for _ in play(voter, steps=2):
            pass
        voter.storage.close()
        group = tmp_path / "group-0"
        left = [
            group / "log-0000000009.new",
            group / "snapshot-0000000009.new",
            tmp_path / "identity.new",
        ]
        for path in left:
            path.write_bytes(b"cut short")
        again = Voter(tmp_path)
        again.start()
        again.storage.close()
        assert not any(path.exists() for path in left)


class TestHole:
    """Guards against a voter that goes on without what it acknowledged."""

    def segments_after_loss(self, folder: Path) -> list[Path]:
        voter = Voter(folder)
        for _ in play(voter):
            pass
        voter.storage.close()
        return sorted((folder / "group-0").glob("log-*.seg"))

    def test_missing_segment_above_the_snapshot_is_refused(
        self, tmp_path: Path
    ) -> None:
        count = len(self.segments_after_loss(tmp_path / "count"))
        assert count > 2
        for position in range(count):
            folder = tmp_path / f"missing-{position}"
            self.segments_after_loss(folder)[position].unlink()
            if position == count - 1:
                # Where the last one ends is in no other file.
                continue
            with pytest.raises(LogCorrupted):
                Voter(folder).start()

    def test_missing_segment_without_entries_behind_it_is_refused(
        self, tmp_path: Path
    ) -> None:
        """The newest segment was just begun and holds no entry yet."""
        voter = Voter(tmp_path)
        for _ in play(voter, steps=6):
            pass
        voter.storage._roll()
        voter.storage.close()
        paths = sorted((tmp_path / "group-0").glob("log-*.seg"))
        paths[-2].unlink()
        with pytest.raises(LogCorrupted):
            Voter(tmp_path).start()

    @pytest.mark.parametrize("steps", [6, 13], ids=["log", "snapshot"])
    def test_segment_that_was_just_begun_is_not_enough(
        self, tmp_path: Path, steps: int
    ) -> None:
        """All other files are missing; it holds no entry that tells so."""
        voter = Voter(tmp_path)
        for _ in play(voter, steps):
            pass
        voter.storage._roll()
        voter.storage.close()
        paths = sorted((tmp_path / "group-0").glob("*"))
        newest = max(path for path in paths if path.suffix == ".seg")
        for path in paths:
            if path != newest:
                path.unlink()
        with pytest.raises(LogCorrupted):
            Voter(tmp_path).start()

    def test_missing_first_segment_without_a_snapshot_is_refused(
        self, tmp_path: Path
    ) -> None:
        voter = Voter(tmp_path)
        for _ in play(voter, steps=6):
            pass
        voter.storage.close()
        sorted((tmp_path / "group-0").glob("log-*.seg"))[0].unlink()
        with pytest.raises(LogCorrupted):
            Voter(tmp_path).start()

    def test_lost_snapshot_is_refused(self, tmp_path: Path) -> None:
        self.segments_after_loss(tmp_path)
        for path in (tmp_path / "group-0").glob("snapshot-*.snp"):
            path.unlink()
        with pytest.raises(StorageError):
            Voter(tmp_path).start()

    @pytest.mark.parametrize("index", range(1, 6 * APPENDED_A_STEP))
    def test_entries_of_another_history_do_not_follow(
        self, tmp_path: Path, index: int
    ) -> None:
        """A full disk got the snapshot before it dropped these entries."""
        voter = Voter(tmp_path)
        for _ in play(voter, steps=6):
            pass
        voter.storage.compact(snapshot(index, term=2))
        voter.storage.close()
        recovered = Voter(tmp_path).start()
        assert recovered.snapshot.last_index == index
        assert recovered.entries == ()

    def test_truncated_entries_are_no_hole(self, tmp_path: Path) -> None:
        voter = Voter(tmp_path)
        for _ in play(voter, steps=10):
            pass
        voter.write(LogTruncate(29), entries(29, 33))
        voter.write(SaveSnapshot(snapshot(30), keep_log=True))
        voter.write(entries(34, 34))
        voter.storage.close()
        again = Voter(tmp_path)
        assert last_index(again.start()) == 34
        again.storage.close()
