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


def flip_bit(path: Path, offset: int) -> None:
    content = bytearray(path.read_bytes())
    content[offset] ^= 1
    path.write_bytes(content)


class TestReopening:
    def test_all_synced_records_are_recovered(self, tmp_path: Path) -> None:
        write(tmp_path, [HARD], [append(1, 3)], [append(4, 4)])
        found = reopen(tmp_path)
        assert found.hard == HARD
        assert found.entries == tuple(entry(i) for i in range(1, 5))

    def test_truncated_entries_are_not_recovered(self, tmp_path: Path) -> None:
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
    def test_a_crash_between_snapshot_and_log_reset(
        self, tmp_path: Path, last: int, kept: list[int]
    ) -> None:
        # The leader's snapshot is durable, but the record that drops the
        # old entries is not. After this restart and the next one, the log
        # must begin after the snapshot.
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
    def test_a_torn_write_is_truncated_and_overwritten(
        self, tmp_path: Path, lost_bytes: int
    ) -> None:
        # The machine lost power during the last group commit. The replies
        # that depend on it were never sent, so truncating it loses no
        # acknowledged entry.
        write(tmp_path, [append(1, 2)], [append(3, 3)])
        path = segments(tmp_path)[-1]
        path.write_bytes(path.read_bytes()[:-lost_bytes])
        assert indexes(reopen(tmp_path)) == [1, 2]
        write(tmp_path, [append(3, 4)])
        assert indexes(reopen(tmp_path)) == [1, 2, 3, 4]

    def test_blocks_of_zeros_at_the_end_are_truncated(
        self, tmp_path: Path
    ) -> None:
        write(tmp_path, [append(1, 2)])
        path = segments(tmp_path)[-1]
        path.write_bytes(path.read_bytes() + bytes(300))
        assert indexes(reopen(tmp_path)) == [1, 2]

    def test_an_embedded_frame_does_not_look_like_damage(
        self, tmp_path: Path
    ) -> None:
        # A command contains the bytes of a frame. Its torn write must
        # still be truncated, since the embedded frame has another offset.
        embedded = make_frame(8, b"quoted")
        data = Entry(2, 1, EntryKind.COMMAND, embedded + b"rest")
        write(tmp_path, [append(1, 1)], [LogAppend((data,))])
        path = segments(tmp_path)[-1]
        path.write_bytes(path.read_bytes()[:-1])
        assert indexes(reopen(tmp_path)) == [1]


class TestAnyCrash:
    @given(data())
    def test_a_restart_finds_what_was_synced(
        self, tmp_path_factory: pytest.TempPathFactory, draw: DataObject
    ) -> None:
        # After random group commits, a crash leaves any part of the last
        # one. The earlier ones must be recovered, and the last one as a
        # whole or not at all.
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
    def test_a_flipped_byte_in_the_middle_is_reported_with_offset(
        self, tmp_path: Path
    ) -> None:
        # A disk block was damaged after its sync. Continuing without its
        # records would lose entries that this member has acknowledged.
        write(tmp_path, [append(1, 2)], [append(3, 3)], [append(4, 4)])
        path = segments(tmp_path)[-1]
        flip_bit(path, path.read_bytes().index(b"command 3"))
        with pytest.raises(LogCorrupted) as caught:
            reopen(tmp_path)
        assert caught.value.path == path
        assert 0 < caught.value.offset_bytes < path.stat().st_size
        assert str(path) in str(caught.value)

    def test_damage_at_the_end_of_an_earlier_segment_is_reported(
        self, tmp_path: Path
    ) -> None:
        batches: list[list[Record]] = [[append(i, i)] for i in range(1, 30)]
        write(tmp_path, *batches)
        first = segments(tmp_path)[0]
        flip_bit(first, first.stat().st_size - 1)
        with pytest.raises(LogCorrupted):
            reopen(tmp_path)

    @pytest.mark.parametrize("offset", [0, 7, 20], ids=["magic", "v", "head"])
    def test_a_damaged_segment_start_is_reported(
        self, tmp_path: Path, offset: int
    ) -> None:
        write(tmp_path, [append(1, 2)])
        flip_bit(segments(tmp_path)[-1], offset)
        with pytest.raises(LogCorrupted):
            reopen(tmp_path)

    def test_a_missing_segment_is_reported(self, tmp_path: Path) -> None:
        batches: list[list[Record]] = [[append(i, i)] for i in range(1, 60)]
        write(tmp_path, *batches)
        segments(tmp_path)[1].unlink()
        with pytest.raises(LogCorrupted):
            reopen(tmp_path)

    def test_a_missing_first_segment_is_reported(self, tmp_path: Path) -> None:
        batches: list[list[Record]] = [[append(i, i)] for i in range(1, 60)]
        write(tmp_path, *batches)
        segments(tmp_path)[0].unlink()
        with pytest.raises(LogCorrupted):
            reopen(tmp_path)

    @pytest.mark.parametrize("offset", [0, 9, 14])
    def test_a_damaged_snapshot_is_reported(
        self, tmp_path: Path, offset: int
    ) -> None:
        saved = SaveSnapshot(snapshot(2), keep_log=True)
        write(tmp_path, [append(1, 2), saved])
        (path,) = tmp_path.glob("snapshot-*.snp")
        flip_bit(path, offset)
        with pytest.raises(LogCorrupted):
            reopen(tmp_path)

    def test_a_lost_log_under_a_known_identity_is_reported(
        self, tmp_path: Path
    ) -> None:
        # The group's folder was removed but the identity file was kept.
        # With an empty log the member would vote a second time in terms in
        # which it has already voted.
        with pytest.raises(StorageError, match="new member"):
            reopen(tmp_path / "group-0")


class TestFullDisk:
    @pytest.mark.parametrize("call", ["pwrite", "fdatasync"])
    def test_records_are_written_once_after_space_is_freed(
        self,
        tmp_path: Path,
        monkeypatch: pytest.MonkeyPatch,
        call: str,
    ) -> None:
        # The disk fills up in the middle of a group commit and a part of
        # the frame remains. Once there is space, the same records replace
        # it, and a restart must recover each of them once.
        opened = Storage(tmp_path, SEGMENT_BYTES)
        opened.open(had_log=False)
        opened.write([append(1, 2)])
        monkeypatch.setattr(os, call, fail_after_partial_write(call))
        with pytest.raises(DiskFull):
            opened.write([append(3, 9)])
        with pytest.raises(DiskFull):
            opened.write([append(3, 9)])
        monkeypatch.undo()
        opened.write([append(3, 9)])
        opened.close()
        assert indexes(reopen(tmp_path)) == list(range(1, 10))

    def test_a_file_size_limit_counts_as_a_full_disk(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # An operator's file size limit is too low. The voter must step
        # down as on a full disk and continue once the limit is raised. If
        # voters ended instead, this setting could cost the majority.
        opened = Storage(tmp_path, SEGMENT_BYTES)
        opened.open(had_log=False)
        opened.write([append(1, 2)])
        monkeypatch.setattr(os, "pwrite", pwrite_beyond_size_limit)
        with pytest.raises(DiskFull):
            opened.write([append(3, 9)])
        monkeypatch.undo()
        opened.write([append(3, 9)])
        opened.close()
        assert indexes(reopen(tmp_path)) == list(range(1, 10))

    def test_a_restart_on_a_full_disk_keeps_synced_records(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        opened = Storage(tmp_path, SEGMENT_BYTES)
        opened.open(had_log=False)
        opened.write([HARD, append(1, 2)])
        monkeypatch.setattr(os, "pwrite", fail_after_partial_write("pwrite"))
        with pytest.raises(DiskFull):
            opened.write([append(3, 9)])
        monkeypatch.undo()
        opened.close()
        found = reopen(tmp_path)
        assert found.hard == HARD
        assert indexes(found) == [1, 2]

    def test_a_full_disk_leaves_no_partial_new_segment(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        opened = Storage(tmp_path, SEGMENT_BYTES)
        opened.open(had_log=False)
        opened.write([append(1, 60)])
        monkeypatch.setattr(os, "pwrite", fail_after_partial_write("pwrite"))
        with pytest.raises(DiskFull):
            opened.write([append(61, 61)])
        assert not list(tmp_path.glob("*.new"))
        monkeypatch.undo()
        opened.write([append(61, 61)])
        opened.close()
        assert indexes(reopen(tmp_path)) == list(range(1, 62))

    def test_an_io_error_does_not_count_as_a_full_disk(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # After a failed fsync the kernel may drop the pages and report
        # success on the next call, so the member must not simply retry.
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
    def test_each_new_file_name_is_synced(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: str
    ) -> None:
        # A power loss removes a file whose name was never synced, together
        # with its synced content. No name may have appeared since the last
        # sync of its folder.
        recorder = FolderSyncRecorder()
        for module in ("files", "storage"):
            target = f"sycamorestand_consensus.{module}.sync_folder"
            monkeypatch.setattr(target, recorder.record_sync)
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
        assert recorder.unsynced_names(folder) == set()
        assert recorder.unsynced_names(tmp_path) == set()


class TestIdentity:
    def test_a_folder_keeps_its_id_and_a_new_one_gets_another(
        self, tmp_path: Path
    ) -> None:
        first = open_identity(tmp_path / "one")
        assert open_identity(tmp_path / "one") == first
        assert open_identity(tmp_path / "two").member_id != first.member_id

    def test_recorded_groups_keep_the_member_id(self, tmp_path: Path) -> None:
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
    def test_a_damaged_identity_is_reported(
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


class FolderSyncRecorder:
    """Records the names in each folder at its last sync."""

    def __init__(self) -> None:
        self._names: dict[Path, set[str]] = {}

    def record_sync(self, folder: Path) -> None:
        self._names[folder] = set(os.listdir(folder))

    def unsynced_names(self, folder: Path) -> set[str]:
        return set(os.listdir(folder)) - self._names.get(folder, set())


def pwrite_beyond_size_limit(
    descriptor: int, data: memoryview, offset: int
) -> int:
    raise OSError(errno.EFBIG, "file too large")


def fail_after_partial_write(call: str) -> Callable[..., int]:
    real_pwrite = os.pwrite

    def pwrite(descriptor: int, data: memoryview, offset: int) -> int:
        if len(data) > 20:
            return real_pwrite(descriptor, data[:20], offset)
        raise OSError(errno.ENOSPC, "no space left on device")

    def fdatasync(descriptor: int) -> int:
        raise OSError(errno.EDQUOT, "quota exceeded")

    return pwrite if call == "pwrite" else fdatasync
