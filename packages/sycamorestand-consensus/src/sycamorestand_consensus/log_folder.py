"""The files of one group: their names, and what is read from them."""

from __future__ import annotations

from pathlib import Path
from typing import Final
from typing import NamedTuple
import zlib

import msgspec

from sycamorestand_consensus.disk_image import DiskImage
from sycamorestand_consensus.errors import LogCorrupted
from sycamorestand_consensus.errors import SafetyViolated
from sycamorestand_consensus.files import replace_file
from sycamorestand_consensus.messages import LogAppend
from sycamorestand_consensus.segment_format import read_frames
from sycamorestand_consensus.segment_format import SNAPSHOT_MAGIC
from sycamorestand_consensus.wire import decode_records
from sycamorestand_consensus.wire import decode_snapshot
from sycamorestand_consensus.wire import LogReset
from sycamorestand_consensus.wire import SavedSnapshot

FIRST_SEGMENT: Final = 1
CHECKSUM_BYTES: Final = 4


class Segment(NamedTuple):
    """One file of the log, the last index in it, and its size."""

    number: int
    path: Path
    last_index: int
    size_bytes: int


def segment_path(folder: Path, number: int) -> Path:
    """Return the path of a segment."""
    return folder / f"log-{number:010d}.seg"


def segments_from(folder: Path, first: int) -> list[tuple[int, Path]]:
    """Return the numbers and paths of segments, ``first`` and later ones."""
    paths = sorted(folder.glob("log-*.seg"))
    return [(n, path) for path in paths if (n := _number(path)) >= first]


def segments_before(folder: Path, first: int) -> list[Path]:
    """Return the paths of all segments before ``first``."""
    return [path for n, path in segments_from(folder, 0) if n < first]


def snapshot_path(folder: Path, index: int) -> Path:
    """Return the path of the snapshot of an index."""
    return folder / f"snapshot-{index:010d}.snp"


def snapshot_paths(folder: Path) -> list[Path]:
    """Return the paths of all snapshots, the newest last."""
    return sorted(folder.glob("snapshot-*.snp"))


def write_snapshot_file(path: Path, content: bytes) -> None:
    """Make an encoded snapshot durable."""
    checksum = zlib.crc32(content).to_bytes(CHECKSUM_BYTES, "little")
    replace_file(path, SNAPSHOT_MAGIC, checksum, content)


def read_newest_snapshot(folder: Path) -> SavedSnapshot | None:
    """Return the newest snapshot, None if there is none."""
    paths = snapshot_paths(folder)
    if not paths:
        return None
    path = paths[-1]
    content = memoryview(path.read_bytes())
    start = len(SNAPSHOT_MAGIC) + CHECKSUM_BYTES
    if content[: len(SNAPSHOT_MAGIC)] != SNAPSHOT_MAGIC:
        raise LogCorrupted(path, 0, "not a snapshot of a known version")
    checksum = int.from_bytes(content[len(SNAPSHOT_MAGIC) : start], "little")
    if zlib.crc32(content[start:]) != checksum:
        raise LogCorrupted(path, start, "checksum of the snapshot failed")
    try:
        return decode_snapshot(content[start:])
    except msgspec.MsgspecError as error:
        raise LogCorrupted(path, start, str(error)) from error


def read_segments(
    folder: Path, first_segment: int, image: DiskImage
) -> list[Segment]:
    """Replay all segments from the first one that is needed.

    Raises `LogCorrupted` if one of them is damaged or missing.
    """
    found = segments_from(folder, first_segment)
    if not found and first_segment > FIRST_SEGMENT:
        raise LogCorrupted(
            segment_path(folder, first_segment),
            0,
            "the segment is missing, and no other follows it",
        )
    segments: list[Segment] = []
    for expected, (number, path) in enumerate(found, start=first_segment):
        if number != expected:
            raise LogCorrupted(path, 0, "the preceding segment is missing")
        is_last = len(segments) == len(found) - 1
        segments.append(_read_segment(number, path, image, is_last))
    return segments


def _number(path: Path) -> int:
    return int(path.stem.removeprefix("log-"))


def _read_segment(
    number: int, path: Path, image: DiskImage, is_last: bool
) -> Segment:
    end = 0
    last_index = 0
    for frame in read_frames(path, path.read_bytes(), is_last=is_last):
        last_index = max(last_index, _replay(path, end, image, frame.payload))
        end = frame.end_bytes
    return Segment(number, path, last_index, end)


def _replay(path: Path, offset: int, image: DiskImage, payload: bytes) -> int:
    last_index = 0
    try:
        for record in decode_records(payload):
            if isinstance(record, LogReset):
                image.drop_entries()
                continue
            image.replay(record)
            if isinstance(record, LogAppend) and record.entries:
                last_index = max(last_index, record.entries[-1].log_index)
    except (msgspec.MsgspecError, IndexError, SafetyViolated) as error:
        raise LogCorrupted(path, offset, str(error)) from error
    return last_index


__all__ = [
    "FIRST_SEGMENT",
    "read_newest_snapshot",
    "read_segments",
    "Segment",
    "segment_path",
    "segments_before",
    "segments_from",
    "snapshot_path",
    "snapshot_paths",
    "write_snapshot_file",
]
