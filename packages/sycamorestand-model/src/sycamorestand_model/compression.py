"""Large content made small for the links between data centres.

A configuration of a thousand routes is half a megabyte, most of it the same
words again and again, and goes to each voter and each entry at each change:
most of the bytes between data centres where there are hundreds of entries,
and 0.2 s of a link of 5 Mbit/s. A changed part
alone would be smaller still, but whoever misses one needs the whole again.
"""

from __future__ import annotations

from typing import Final
import zlib

from sycamorestand_model.errors import WireError

# A byte that no content of msgpack begins with.
COMPRESSED_MARKER: Final = b"\xc1"
# Below this a frame's own bytes weigh as much as what is saved.
LEAST_BYTES: Final = 2048
# Of the ten levels the fastest: it saves nine tenths of declarations, and
# the slower ones cost three times as long for a few in a hundred more.
LEVEL: Final = 1
# Eight times the largest declarations: what claims to be more is refused
# before it fills the memory.
MAX_BYTES: Final = 32 * 1024 * 1024


def compress_content(content: bytes) -> bytes:
    """Return content made smaller, or as it is where that is shorter.

    >>> decompress_content(compress_content(b"r " * 1000)) == b"r " * 1000
    True
    """
    if len(content) < LEAST_BYTES:
        return content
    packed = COMPRESSED_MARKER + zlib.compress(content, LEVEL)
    return packed if len(packed) < len(content) else content


def decompress_content(content: bytes) -> bytes:
    """Return what was packed; raises `WireError` where it cannot be read."""
    if not content.startswith(COMPRESSED_MARKER):
        return content
    unpacker = zlib.decompressobj()
    try:
        whole = unpacker.decompress(
            content[len(COMPRESSED_MARKER) :], MAX_BYTES
        )
    except zlib.error as error:
        raise WireError(f"content cannot be unpacked: {error}") from error
    if not unpacker.eof:
        raise WireError("packed content is cut off or too large")
    return whole


__all__ = ["compress_content", "decompress_content"]
