"""Frame format of segment files, and detection of torn frames.

A file begins with a magic number that identifies the format version. Each
group commit is one frame: the frame's offset, the payload's length and
checksum, a checksum of these three fields, and the payload. A frame is
written and synced before the next one begins. So a frame torn by a crash
is the last one in the last file, and a damaged frame that is followed by
an intact one was damaged after its sync.
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

# The offset keeps a frame from being accepted at the wrong place: a payload
# may contain a frame, and a reused disk block may hold an old one.
_FIELDS: Final = struct.Struct("<QII")
_CHECKSUM: Final = struct.Struct("<I")
HEADER_BYTES: Final = _FIELDS.size + _CHECKSUM.size


class Frame(NamedTuple):
    """Payload of a complete frame and the offset of the next frame."""

    payload: bytes
    end_bytes: int


def make_frame(offset_bytes: int, payload: bytes) -> bytes:
    """Return a frame with this payload for this offset in a file."""
    fields = _FIELDS.pack(offset_bytes, len(payload), zlib.crc32(payload))
    return fields + _CHECKSUM.pack(zlib.crc32(fields)) + payload


def read_frame(content: bytes, offset_bytes: int) -> Frame | None:
    """Return the frame at an offset, or None if none is intact there."""
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
    """Yield the intact frames of a file.

    Stops before a torn frame at the end if ``is_last`` marks the newest
    file; raises ``LogCorrupted`` for damage that no crash explains.
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
        # A file gets its name only after its first frame is synced, and
        # the next file is started only after the last sync of this one.
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
