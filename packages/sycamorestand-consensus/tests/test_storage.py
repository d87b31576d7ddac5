from __future__ import annotations

from collections.abc import Callable
import errno
import os
from pathlib import Path

from hypothesis import given
from hypothesis.strategies import data
from hypothesis.strategies import DataObject
from hypothesis.strategies import integers
from hypothesis.strategies import sampled_from
import pytest

from sycamorestand_consensus.disk_image import DiskImage
from sycamorestand_consensus.errors import DiskFull
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
from sycamorestand_consensus.segment_format import make_frame
from sycamorestand_consensus.storage import Storage

SEGMENT_BYTES = 400
HARD = HardState(3, "b", "c")


def entry(index: int, term: int = 1) -> Entry:
    return Entry(index, term, EntryKind.COMMAND, b"command %d" % index)


def append(first: int, last: int, term: int = 1) -> LogAppend:
    return LogAppend(tuple(entry(i, term) for i in range(first, last + 1)))


def snapshot(index: int, term: int = 1) -> Snapshot:
    return Snapshot(index, term, (Member("a", "at-a", True),), b"state")


def write(folder: Path, *batches: list[Record]) -> None:
    opened = Storage(folder, SEGMENT_BYTES)
    opened.open(had_log=False)
    for batch in batches:
        opened.write(batch)
    opened.close()


def reopen(folder: Path) -> Recovered:
    opened = Storage(folder, SEGMENT_BYTES)
    found = opened.open(had_log=True)
    opened.close()
    return found


def indexes(found: Recovered) -> list[int]:
    return [e.log_index for e in found.entries]


def segments(folder: Path) -> list[Path]:
    return sorted(folder.glob("log-*.seg"))


def flip(path: Path, offset: int) -> None:
    content = bytearray(path.read_bytes())
    content[offset] ^= 1
    path.write_bytes(content)


class TestReopening:
    def test_everything_that_was_synced_is_found(self, tmp_path: Path) -> None:
        write(tmp_path, [HARD], [append(1, 3)], [append(4, 4)])
        found = reopen(tmp_path)
        assert found.hard == HARD
        assert found.entries == tuple(entry(i) for i in range(1, 5))

    def test_truncated_entries_stay_away(self, tmp_path: Path) -> None:
        write(tmp_path, [append(1, 5)], [LogTruncate(3), append(3, 3, 2)])
        found = reopen(tmp_path)
        assert found.entries == (entry(1), entry(2), entry(3, 2))

    def test_the_hard_state_survives_rolled_segments(
        self, tmp_path: Path
    ) -> None:
        batches: list[list[Record]] = [[append(i, i)] for i in range(1, 60)]
        write(tmp_path, [HARD], *batches)
        assert len(segments(tmp_path)) > 3
        write(tmp_path, [SaveSnapshot(snapshot(55), keep_log=True)], [])
        assert len(segments(tmp_path)) < 3
        found = reopen(tmp_path)
        assert found.hard == HARD
        assert found.snapshot == snapshot(55)
        assert indexes(found) == [56, 57, 58, 59]
        assert len(list(tmp_path.glob("snapshot-*"))) == 1

    def test_a_snapshot_of_the_leader_replaces_the_log(
        self, tmp_path: Path
    ) -> None:
        replaced = SaveSnapshot(snapshot(10, 2), keep_log=False)
        write(tmp_path, [append(1, 3)], [replaced], [append(11, 12, 2)])
        found = reopen(tmp_path)
        assert found.snapshot.last_index == 10
        assert indexes(found) == [11, 12]

    @pytest.mark.parametrize(
        ("last", "kept"), [(3, []), (12, [])], ids=["shorter", "parted"]
    )
    def test_a_crash_between_snapshot_and_log(
        self, tmp_path: Path, last: int, kept: list[int]
    ) -> None:
        # The snapshot of the leader is durable, the record that drops the
        # old entries is not. After the restart the log begins behind the
        # snapshot, also after one restart more.
        write(tmp_path, [append(1, last)])
        opened = Storage(tmp_path, SEGMENT_BYTES)
        opened.open(had_log=True)
        opened._write_snapshot(snapshot(10, term=2))
        opened.close()
        assert indexes(reopen(tmp_path)) == kept
        write(tmp_path, [append(11, 11, 2)])
        assert indexes(reopen(tmp_path)) == [11]


class TestTornTail:
    @pytest.mark.parametrize("lost_bytes", [1, 5, 30, 40])
    def test_a_torn_write_is_cut_and_written_over(
        self, tmp_path: Path, lost_bytes: int
    ) -> None:
        # The machine lost power during the last group commit. Its answers
        # never left, so cutting it loses nothing that was promised.
        write(tmp_path, [append(1, 2)], [append(3, 3)])
        path = segments(tmp_path)[-1]
        path.write_bytes(path.read_bytes()[:-lost_bytes])
        assert indexes(reopen(tmp_path)) == [1, 2]
        write(tmp_path, [append(3, 4)])
        assert indexes(reopen(tmp_path)) == [1, 2, 3, 4]

    def test_blocks_of_zeros_at_the_end_are_cut(self, tmp_path: Path) -> None:
        write(tmp_path, [append(1, 2)])
        path = segments(tmp_path)[-1]
        path.write_bytes(path.read_bytes() + bytes(300))
        assert indexes(reopen(tmp_path)) == [1, 2]

    def test_a_quoted_frame_does_not_look_like_damage(
        self, tmp_path: Path
    ) -> None:
        # A caller's command holds the bytes of a frame. The torn write of
        # it must still be cut: the quoted frame names another place.
        quoted = make_frame(8, b"quoted")
        data = Entry(2, 1, EntryKind.COMMAND, quoted + b"rest")
        write(tmp_path, [append(1, 1)], [LogAppend((data,))])
        path = segments(tmp_path)[-1]
        path.write_bytes(path.read_bytes()[:-1])
        assert indexes(reopen(tmp_path)) == [1]


class TestAnyCrash:
    @given(data())
    def test_a_restart_finds_what_was_synced(
        self, tmp_path_factory: pytest.TempPathFactory, draw: DataObject
    ) -> None:
        # Group commits of any shape, then a crash that leaves any part of
        # the last one. What was synced before is there, and the last one
        # is there as a whole or not at all.
        folder = tmp_path_factory.mktemp("any")
        opened = Storage(folder, SEGMENT_BYTES)
        opened.open(had_log=False)
        model = DiskImage()
        last = 0
        term = 1
        for _ in range(draw.draw(integers(1, 12))):
            batch, last, term = draw_batch(draw, last, term, model)
            before = model.recovered()
            paths = set(segments(folder))
            size = segments(folder)[-1].stat().st_size
            opened.write(batch)
            for record in batch:
                model.replay(record)
        opened.close()
        after = model.recovered()
        path = segments(folder)[-1]
        saved = any(isinstance(r, SaveSnapshot) for r in batch)
        if path in paths and not saved:
            kept = draw.draw(integers(size, path.stat().st_size))
            path.write_bytes(path.read_bytes()[:kept])
            assert reopen(folder) in (before, after)
        else:
            assert reopen(folder) == after


class TestDamage:
    def test_a_flipped_byte_in_the_middle_stops_with_its_place(
        self, tmp_path: Path
    ) -> None:
        # A block went bad after its sync. Going on without the records
        # would forget entries that this member has acknowledged.
        write(tmp_path, [append(1, 2)], [append(3, 3)], [append(4, 4)])
        path = segments(tmp_path)[-1]
        flip(path, path.read_bytes().index(b"command 3"))
        with pytest.raises(LogCorrupted) as caught:
            reopen(tmp_path)
        assert caught.value.path == path
        assert 0 < caught.value.offset_bytes < path.stat().st_size
        assert str(path) in str(caught.value)

    def test_damage_at_the_end_of_an_earlier_segment_stops(
        self, tmp_path: Path
    ) -> None:
        batches: list[list[Record]] = [[append(i, i)] for i in range(1, 30)]
        write(tmp_path, *batches)
        first = segments(tmp_path)[0]
        flip(first, first.stat().st_size - 1)
        with pytest.raises(LogCorrupted):
            reopen(tmp_path)

    @pytest.mark.parametrize("offset", [0, 7, 20], ids=["magic", "v", "head"])
    def test_a_damaged_beginning_stops(
        self, tmp_path: Path, offset: int
    ) -> None:
        write(tmp_path, [append(1, 2)])
        flip(segments(tmp_path)[-1], offset)
        with pytest.raises(LogCorrupted):
            reopen(tmp_path)

    def test_a_missing_segment_stops(self, tmp_path: Path) -> None:
        batches: list[list[Record]] = [[append(i, i)] for i in range(1, 60)]
        write(tmp_path, *batches)
        segments(tmp_path)[1].unlink()
        with pytest.raises(LogCorrupted):
            reopen(tmp_path)

    def test_a_missing_first_segment_stops(self, tmp_path: Path) -> None:
        batches: list[list[Record]] = [[append(i, i)] for i in range(1, 60)]
        write(tmp_path, *batches)
        segments(tmp_path)[0].unlink()
        with pytest.raises(LogCorrupted):
            reopen(tmp_path)

    @pytest.mark.parametrize("offset", [0, 9, 14])
    def test_a_damaged_snapshot_stops(
        self, tmp_path: Path, offset: int
    ) -> None:
        saved = SaveSnapshot(snapshot(2), keep_log=True)
        write(tmp_path, [append(1, 2), saved])
        (path,) = tmp_path.glob("snapshot-*.snp")
        flip(path, offset)
        with pytest.raises(LogCorrupted):
            reopen(tmp_path)

    def test_a_lost_log_under_a_known_identity_stops(
        self, tmp_path: Path
    ) -> None:
        # Somebody removed the group's folder but kept the identity. With
        # an empty log the member would vote a second time in old terms.
        with pytest.raises(StorageError, match="new member"):
            reopen(tmp_path / "group-0")


class TestFullDisk:
    @pytest.mark.parametrize("call", ["pwrite", "fdatasync"])
    def test_the_records_are_written_later_and_once(
        self,
        tmp_path: Path,
        monkeypatch: pytest.MonkeyPatch,
        call: str,
    ) -> None:
        # The disk fills in the middle of a group commit and a part of the
        # frame stays. Once there is space the same records are written in
        # its place; a restart finds each of them once.
        opened = Storage(tmp_path, SEGMENT_BYTES)
        opened.open(had_log=False)
        opened.write([append(1, 2)])
        monkeypatch.setattr(os, call, fails_after_a_part(call))
        with pytest.raises(DiskFull):
            opened.write([append(3, 9)])
        with pytest.raises(DiskFull):
            opened.write([append(3, 9)])
        monkeypatch.undo()
        opened.write([append(3, 9)])
        opened.close()
        assert indexes(reopen(tmp_path)) == list(range(1, 10))

    def test_a_limit_on_file_size_passes_too(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # An operator's limit on the size of files is too low. The voter
        # steps aside, as on a full disk, and goes on once it is raised; it
        # does not end, which would take a majority away with one setting.
        opened = Storage(tmp_path, SEGMENT_BYTES)
        opened.open(had_log=False)
        opened.write([append(1, 2)])
        monkeypatch.setattr(os, "pwrite", refuses_to_grow)
        with pytest.raises(DiskFull):
            opened.write([append(3, 9)])
        monkeypatch.undo()
        opened.write([append(3, 9)])
        opened.close()
        assert indexes(reopen(tmp_path)) == list(range(1, 10))

    def test_a_restart_on_the_full_disk_loses_nothing_synced(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        opened = Storage(tmp_path, SEGMENT_BYTES)
        opened.open(had_log=False)
        opened.write([HARD, append(1, 2)])
        monkeypatch.setattr(os, "pwrite", fails_after_a_part("pwrite"))
        with pytest.raises(DiskFull):
            opened.write([append(3, 9)])
        monkeypatch.undo()
        opened.close()
        found = reopen(tmp_path)
        assert found.hard == HARD
        assert indexes(found) == [1, 2]

    def test_no_space_for_a_new_segment(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        opened = Storage(tmp_path, SEGMENT_BYTES)
        opened.open(had_log=False)
        opened.write([append(1, 60)])
        monkeypatch.setattr(os, "pwrite", fails_after_a_part("pwrite"))
        with pytest.raises(DiskFull):
            opened.write([append(61, 61)])
        assert not list(tmp_path.glob("*.new"))
        monkeypatch.undo()
        opened.write([append(61, 61)])
        opened.close()
        assert indexes(reopen(tmp_path)) == list(range(1, 62))

    def test_a_broken_disk_is_no_full_disk(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # After a failed fsync the kernel may drop the pages and report
        # success next time, so the member must not simply try again.
        opened = Storage(tmp_path, SEGMENT_BYTES)
        opened.open(had_log=False)

        def fail(descriptor: int) -> None:
            raise OSError(errno.EIO, "input/output error")

        monkeypatch.setattr(os, "fdatasync", fail)
        with pytest.raises(StorageError) as caught:
            opened.write([append(1, 2)])
        assert not isinstance(caught.value, DiskFull)


class TestFolderSync:
    @pytest.mark.parametrize("step", ["open", "roll", "snapshot"])
    def test_each_new_name_is_synced_before_it_counts(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: str
    ) -> None:
        # A file whose name was never synced is gone after a power loss,
        # with all that was synced into it. Names that appeared since the
        # last sync of their folder are such files.
        names = SyncedNames()
        for module in ("files", "storage"):
            target = f"sycamorestand_consensus.{module}.sync_folder"
            monkeypatch.setattr(target, names.sync)
        folder = tmp_path / "group-0"
        opened = Storage(folder, SEGMENT_BYTES)
        opened.open(had_log=False)
        if step == "roll":
            opened.write([append(1, 60)])
            opened.write([append(61, 61)])
        if step == "snapshot":
            opened.write([append(1, 2)])
            opened.write([SaveSnapshot(snapshot(2), keep_log=True)])
        opened.close()
        assert names.unsynced(folder) == set()
        assert names.unsynced(tmp_path) == set()


class TestIdentity:
    def test_it_is_kept_and_a_wiped_folder_gets_another(
        self, tmp_path: Path
    ) -> None:
        first = open_identity(tmp_path / "one")
        assert open_identity(tmp_path / "one") == first
        assert open_identity(tmp_path / "two").member_id != first.member_id

    def test_groups_are_remembered_under_the_same_id(
        self, tmp_path: Path
    ) -> None:
        first = open_identity(tmp_path)
        record_group(tmp_path, 0)
        record_group(tmp_path, 1)
        record_group(tmp_path, 1)
        found = open_identity(tmp_path)
        assert found.member_id == first.member_id
        assert found.groups == (0, 1)

    @pytest.mark.parametrize(
        ("old", "new"),
        [(b"[1,", b"[2,"), (b'"', b"x")],
    )
    def test_a_damaged_identity_stops(
        self, tmp_path: Path, old: bytes, new: bytes
    ) -> None:
        open_identity(tmp_path)
        path = tmp_path / "identity"
        path.write_bytes(path.read_bytes().replace(old, new))
        with pytest.raises(LogCorrupted):
            open_identity(tmp_path)

    def test_a_changed_id_fails_its_checksum(self, tmp_path: Path) -> None:
        member_id = open_identity(tmp_path).member_id
        path = tmp_path / "identity"
        swapped = member_id[::-1] if member_id != member_id[::-1] else "x"
        content = path.read_text().replace(member_id, swapped)
        path.write_text(content)
        with pytest.raises(LogCorrupted, match="checksum"):
            open_identity(tmp_path)


def draw_batch(
    draw: DataObject, last: int, term: int, model: DiskImage
) -> tuple[list[Record], int, int]:
    batch: list[Record] = []
    first = model.recovered().snapshot.last_index + 1
    kind = draw.draw(sampled_from(("append", "truncate", "save", "install")))
    if kind == "truncate" and last > first:
        last = draw.draw(integers(first, last)) - 1
        term += 1
        batch.append(LogTruncate(last + 1))
        batch.append(HardState(term, "b", "c"))
    if kind == "install":
        last += draw.draw(integers(1, 20))
        term += 1
        batch.append(SaveSnapshot(snapshot(last, term), keep_log=False))
        return batch, last, term
    count = draw.draw(integers(1, 20))
    batch.append(append(last + 1, last + count, term))
    last += count
    if kind == "save":
        batch.append(SaveSnapshot(snapshot(last, term), keep_log=True))
    return batch, last, term


class SyncedNames:
    """Remembers which names each folder had at its last sync."""

    def __init__(self) -> None:
        self._names: dict[Path, set[str]] = {}

    def sync(self, folder: Path) -> None:
        self._names[folder] = set(os.listdir(folder))

    def unsynced(self, folder: Path) -> set[str]:
        return set(os.listdir(folder)) - self._names.get(folder, set())


def refuses_to_grow(descriptor: int, data: memoryview, offset: int) -> int:
    raise OSError(errno.EFBIG, "file too large")


def fails_after_a_part(call: str) -> Callable[..., int]:
    whole = os.pwrite

    def pwrite(descriptor: int, data: memoryview, offset: int) -> int:
        if len(data) > 20:
            return whole(descriptor, data[:20], offset)
        raise OSError(errno.ENOSPC, "no space left on device")

    def fdatasync(descriptor: int) -> int:
        raise OSError(errno.EDQUOT, "quota exceeded")

    return pwrite if call == "pwrite" else fdatasync
