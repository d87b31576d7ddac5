"""Frames of a segment file, and where a damaged one may be cut.

A file begins with a magic number that names the format version. Each
group commit is one frame: offset of the frame, length and checksum of the
payload, checksum of these three, payload. A frame is written and synced
before the next one begins. So a frame that was torn by a crash is the
last thing in the last file, and one with a whole frame behind it was
damaged after its sync.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
import struct
from typing import Final
from typing import NamedTuple
import zlib

from sycamorestand_consensus.errors import LogCorrupted

MAGIC: Final = b"SYCLOG\x00\x01"
SNAPSHOT_MAGIC: Final = b"SYCSNP\x00\x01"

# The offset keeps a frame that some payload quotes, or that an earlier
# use of the block left behind, from being taken for one of this place.
_FIELDS: Final = struct.Struct("<QII")
_CHECKSUM: Final = struct.Struct("<I")
HEADER_BYTES: Final = _FIELDS.size + _CHECKSUM.size


class Frame(NamedTuple):
    """One whole frame and where the next one begins."""

    payload: bytes
    end_bytes: int


def make_frame(offset_bytes: int, payload: bytes) -> bytes:
    """Return a frame for this place in a file."""
    fields = _FIELDS.pack(offset_bytes, len(payload), zlib.crc32(payload))
    return fields + _CHECKSUM.pack(zlib.crc32(fields)) + payload


def read_frame(content: bytes, offset_bytes: int) -> Frame | None:
    """Return the frame at a place, or None where there is no whole one."""
    start = offset_bytes + HEADER_BYTES
    if start > len(content):
        return None
    fields = content[offset_bytes : offset_bytes + _FIELDS.size]
    (checksum,) = _CHECKSUM.unpack_from(content, offset_bytes + _FIELDS.size)
    if zlib.crc32(fields) != checksum:
        return None
    offset, length, payload_checksum = _FIELDS.unpack(fields)
    payload = content[start : start + length]
    if offset != offset_bytes or len(payload) != length:
        return None
    if zlib.crc32(payload) != payload_checksum:
        return None
    return Frame(payload, start + length)


def read_frames(
    path: Path, content: bytes, *, is_last: bool
) -> Iterator[Frame]:
    """Yield the whole frames of a file.

    Stops before a torn frame at the end of the ``last`` file; raises
    ``LogCorrupted`` for damage that no crash explains.
    """
    if content[: len(MAGIC)] != MAGIC:
        raise LogCorrupted(path, 0, "not a segment of a known format version")
    offset = len(MAGIC)
    while offset < len(content):
        frame = read_frame(content, offset)
        if frame is None:
            may_be_torn = is_last and offset > len(MAGIC)
            _check_torn_frame(path, content, offset, may_be_torn=may_be_torn)
            return
        yield frame
        offset = frame.end_bytes


def _check_torn_frame(
    path: Path, content: bytes, offset: int, *, may_be_torn: bool
) -> None:
    if not may_be_torn:
        # Files appear under their name with the first frame synced, and a
        # file is left for the next one only after its last sync.
        raise LogCorrupted(path, offset, "checksum failed in a synced part")
    for later in range(offset + 1, len(content) - HEADER_BYTES + 1):
        if read_frame(content, later) is not None:
            raise LogCorrupted(
                path, offset, f"checksum failed before the record at {later}"
            )


__all__ = [
    "HEADER_BYTES",
    "MAGIC",
    "SNAPSHOT_MAGIC",
    "Frame",
    "make_frame",
    "read_frame",
    "read_frames",
]
