"""Log segments and snapshots of one group in one folder.

The files ``log-NNNNNNNNNN.seg`` hold frames of records, in the order of
their numbers. A file ``snapshot-NNNNNNNNNN.snp`` holds the state after
that index. Each segment begins with the hard state, so the segments
before it can be deleted once a snapshot covers their entries. The snapshot
names the first segment that is still needed: what a loss of power leaves of
the earlier ones does not matter, and none of the others may be missing.
"""

from __future__ import annotations

import logging
import os
from pathlib import Path
from typing import Final

from sycamorestand_consensus.disk_image import DiskImage
from sycamorestand_consensus.errors import LogCorrupted
from sycamorestand_consensus.errors import SafetyViolated
from sycamorestand_consensus.errors import StorageError
from sycamorestand_consensus.files import make_folder
from sycamorestand_consensus.files import remove_unnamed
from sycamorestand_consensus.files import replace_file
from sycamorestand_consensus.files import storage_errors
from sycamorestand_consensus.files import sync_folder
from sycamorestand_consensus.files import write_all
from sycamorestand_consensus.log_folder import FIRST_SEGMENT
from sycamorestand_consensus.log_folder import read_newest_snapshot
from sycamorestand_consensus.log_folder import read_segments
from sycamorestand_consensus.log_folder import Segment
from sycamorestand_consensus.log_folder import segment_path
from sycamorestand_consensus.log_folder import segments_before
from sycamorestand_consensus.log_folder import segments_from
from sycamorestand_consensus.log_folder import snapshot_path
from sycamorestand_consensus.log_folder import snapshot_paths
from sycamorestand_consensus.log_folder import write_snapshot_file
from sycamorestand_consensus.messages import EMPTY_SNAPSHOT
from sycamorestand_consensus.messages import HardState
from sycamorestand_consensus.messages import LogAppend
from sycamorestand_consensus.messages import Record
from sycamorestand_consensus.messages import Recovered
from sycamorestand_consensus.messages import SaveSnapshot
from sycamorestand_consensus.messages import Snapshot
from sycamorestand_consensus.reserve import Reserve
from sycamorestand_consensus.segment_format import MAGIC
from sycamorestand_consensus.segment_format import make_frame
from sycamorestand_consensus.wire import encode_records
from sycamorestand_consensus.wire import encode_snapshot
from sycamorestand_consensus.wire import LogReset
from sycamorestand_consensus.wire import StoredRecord

LOG: Final = logging.getLogger(__name__)


class Storage:
    """Files of one group; the methods block, so call them in a thread."""

    def __init__(
        self, folder: Path, segment_bytes: int, reserve_bytes: int = 0
    ) -> None:
        """Store the folder's path; ``open`` must be called first."""
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._reserve = Reserve(folder, reserve_bytes)
        self._hard = HardState()
        self._snapshot = EMPTY_SNAPSHOT
        self._snapshot_bytes = 0
        self._first_segment = FIRST_SEGMENT
        self._closed: list[Segment] = []
        self._segment_number = 0
        self._last_index = 0
        self._descriptor = -1
        self._size_bytes = 0
        # Set while the tail may hold an incomplete frame.
        self._tail_dirty = False
        self._delete_due = False

    def open(self, *, had_log: bool) -> Recovered:
        """Read all files, cut off a torn frame and prepare for writing.

        ``had_log`` says that the group had a log at an earlier start.
        Raises ``StorageError`` if that log is gone and ``LogCorrupted``
        for files that are damaged or missing in between.
        """
        with storage_errors(self._folder):
            self._prepare_folder(had_log)
            self._read_snapshot()
            image = DiskImage(self._snapshot)
            try:
                self._closed = read_segments(
                    self._folder, self._first_segment, image
                )
                recovered = self._recover(image)
            except LogCorrupted as error:
                self._log_files(logging.CRITICAL, f"log unreadable: {error}")
                raise
            self._log_files(logging.INFO, "log read")
            self._hard = recovered.hard
            self._open_tail()
            if image.entries and not recovered.entries:
                # The next entry follows the snapshot. Without this record
                # it would appear to follow the entries just dropped.
                self._write_frame([LogReset(recovered.snapshot.last_index)])
            self._delete_covered()
        return recovered

    def write(self, records: list[Record]) -> None:
        """Make records durable, all of them or none.

        Raises ``DiskFull`` if there is no space; the same records can then
        be written again later.
        """
        with storage_errors(self._folder):
            # Old files are deleted first. An error here after the records
            # are on disk would make the caller write them twice.
            if self._delete_due:
                self._delete_covered()
            if self._size_bytes >= self._segment_bytes:
                self._roll()
            stored = [kept for r in records for kept in self._prepare(r)]
            if stored:
                self._write_frame(stored)

    def compact(self, snapshot: Snapshot) -> bool:
        """Make a snapshot durable and remove what it covers, at once.

        This is for a full disk. Returns whether the snapshot was new. Entries
        that it covers may not be written yet.
        """
        with storage_errors(self._folder):
            if snapshot is self._snapshot:
                return False
            self._truncate_torn_frame()
            if 0 < self._last_index <= snapshot.last_index:
                self._reserve.used_for(self._roll)
            self._write_snapshot(snapshot)
            self._delete_covered()
            return True

    def release_reserve(self) -> bool:
        """Give up the reserve; return whether there was any."""
        with storage_errors(self._folder):
            return self._reserve.release()

    @property
    def size_bytes(self) -> int:
        """The size of the files, as far as this process has written them."""
        closed = sum(segment.size_bytes for segment in self._closed)
        files = closed + self._size_bytes + self._snapshot_bytes
        return files + self._reserve.size_bytes

    def close(self) -> None:
        """Close the open segment."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def _prepare_folder(self, had_log: bool) -> None:
        if had_log and not segments_from(self._folder, FIRST_SEGMENT):
            # The identity file still exists but the log is gone. With an
            # empty log the member would vote again in terms in which it
            # has already voted.
            raise StorageError(
                f"{self._folder} has lost its log; remove the whole data "
                "folder to come back as a new member"
            )
        make_folder(self._folder)
        remove_unnamed(self._folder)

    def _log_files(self, level: int, message: str) -> None:
        """Log which files there are and what the snapshot covers.

        Without them a hole that the snapshot covers looks like one above it.
        """
        LOG.log(
            level,
            message,
            extra={
                "folder": str(self._folder),
                "files": sorted(path.name for path in self._folder.iterdir()),
                "snapshot_index": self._snapshot.last_index,
            },
        )

    def _recover(self, image: DiskImage) -> Recovered:
        try:
            return image.recovered()
        except SafetyViolated as error:
            raise LogCorrupted(self._folder, 0, str(error)) from error

    def _prepare(self, record: Record) -> list[StoredRecord]:
        if not isinstance(record, SaveSnapshot):
            return [record]
        # `compact` may have written it already.
        if record.snapshot is not self._snapshot:
            self._write_snapshot(record.snapshot)
        if record.keep_log:
            return []
        return [LogReset(record.snapshot.last_index)]

    def _read_snapshot(self) -> None:
        saved = read_newest_snapshot(self._folder)
        if saved is None:
            return
        self._snapshot = saved.snapshot
        self._snapshot_bytes = len(saved.data)
        # Earlier releases removed segments without saying which.
        found = segments_from(self._folder, FIRST_SEGMENT)
        oldest = found[0][0] if found else FIRST_SEGMENT
        self._first_segment = saved.first_segment or oldest

    def _open_tail(self) -> None:
        if not self._closed:
            self._roll()
            return
        segment = self._closed.pop()
        self._segment_number = segment.number
        self._last_index = segment.last_index
        self._size_bytes = segment.size_bytes
        self._descriptor = os.open(segment.path, os.O_RDWR)
        os.ftruncate(self._descriptor, self._size_bytes)
        os.fsync(self._descriptor)

    def _write_frame(self, records: list[StoredRecord]) -> None:
        self._truncate_torn_frame()
        frame = make_frame(self._size_bytes, encode_records(records))
        self._tail_dirty = True
        write_all(self._descriptor, frame, self._size_bytes)
        os.fdatasync(self._descriptor)
        self._tail_dirty = False
        self._size_bytes += len(frame)
        for record in records:
            self._update_state(record)

    def _truncate_torn_frame(self) -> None:
        # A failed write may have left a part of its frame. If a shorter
        # frame replaced it, the remainder would look like damage.
        if not self._tail_dirty:
            return
        os.ftruncate(self._descriptor, self._size_bytes)
        os.fsync(self._descriptor)
        self._tail_dirty = False

    def _update_state(self, record: StoredRecord) -> None:
        if isinstance(record, HardState):
            self._hard = record
        elif isinstance(record, LogAppend) and record.entries:
            last = record.entries[-1].log_index
            self._last_index = max(self._last_index, last)

    def _roll(self) -> None:
        number = self._segment_number + 1
        path = segment_path(self._folder, number)
        first_frame = make_frame(len(MAGIC), encode_records([self._hard]))
        # The file is written under a temporary name first. A segment that
        # lacks its first frame after a crash would also lack the vote.
        replace_file(path, MAGIC + first_frame)
        if self._descriptor >= 0:
            old_path = segment_path(self._folder, self._segment_number)
            segment = Segment(
                self._segment_number,
                old_path,
                self._last_index,
                self._size_bytes,
            )
            self._closed.append(segment)
            os.close(self._descriptor)
        self._segment_number = number
        self._last_index = 0
        self._descriptor = os.open(path, os.O_RDWR)
        self._size_bytes = len(MAGIC) + len(first_frame)

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        first = self._first_needed(snapshot.last_index)
        content = encode_snapshot(snapshot, first)
        path = snapshot_path(self._folder, snapshot.last_index)
        self._reserve.used_for(lambda: write_snapshot_file(path, content))
        self._snapshot = snapshot
        self._snapshot_bytes = len(content)
        self._first_segment = first
        self._closed = [s for s in self._closed if s.number >= first]
        self._delete_due = True

    def _first_needed(self, covered: int) -> int:
        """Return the number of the first segment that a snapshot needs.

        If others hold entries behind the covered ones, the last covered one
        stays: its term tells whether they continue the snapshot.
        """
        last = Segment(self._segment_number, self._folder, self._last_index, 0)
        segments = [*self._closed, last]
        behind = [s for s in segments if s.last_index > covered]
        holders = [s for s in segments if s.last_index == covered]
        if not behind:
            return self._segment_number
        return min(segment.number for segment in (*behind, *holders))

    def _delete_covered(self) -> None:
        covered = self._snapshot.last_index
        current = snapshot_path(self._folder, covered)
        deleted = segments_before(self._folder, self._first_segment)
        deleted += [p for p in snapshot_paths(self._folder) if p != current]
        for path in deleted:
            path.unlink()
        if deleted:
            sync_folder(self._folder)
            LOG.info(
                "covered files removed",
                extra={
                    "folder": str(self._folder),
                    "files": sorted(path.name for path in deleted),
                    "snapshot_index": covered,
                },
            )
        self._delete_due = False
        self._reserve.fill(self._snapshot_bytes)


__all__ = ["Storage"]
