"""Compress large content for the links between data centres.

A configuration of a thousand routes is half a megabyte of mostly repeated
words. It is sent to each voter and each entry at each change. With
hundreds of entries this is most of the traffic between data centres, and
it takes 0.2 s of a link of 5 Mbit/s. Sending only the changed part would
take less, but a receiver that misses one needs the whole configuration.
"""

from __future__ import annotations

from typing import Final
import zlib

from sycamorestand_model.errors import WireError

# Marks compressed content. No msgpack content begins with this byte.
COMPRESSED_MARKER: Final = b"\xc1"
# In bytes. For smaller content, the overhead of a frame is as large as the
# saving.
MIN_COMPRESS_BYTES: Final = 2048
# zlib's fastest level. It reduces declarations to a tenth of their size;
# the slower levels take three times as long and save a few per cent more.
COMPRESSION_LEVEL: Final = 1
# Eight times the largest declarations. Content that would decompress to
# more bytes is refused before it exhausts the memory.
MAX_DECOMPRESSED_BYTES: Final = 32 * 1024 * 1024


def compress_content(content: bytes) -> bytes:
    """Return the content compressed, or unchanged if that is not shorter.

    >>> content = b"route " * 1000
    >>> decompress_content(compress_content(content)) == content
    True
    """
    if len(content) < MIN_COMPRESS_BYTES:
        return content
    compressed = COMPRESSED_MARKER + zlib.compress(content, COMPRESSION_LEVEL)
    return compressed if len(compressed) < len(content) else content


def decompress_content(content: bytes) -> bytes:
    """Return the content that `compress_content` was given.

    Raises `WireError` if it is corrupt, truncated or too large.
    """
    if not content.startswith(COMPRESSED_MARKER):
        return content
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(
            content[len(COMPRESSED_MARKER) :], MAX_DECOMPRESSED_BYTES
        )
    except zlib.error as error:
        raise WireError(f"content cannot be decompressed: {error}") from error
    if not decompressor.eof:
        raise WireError("compressed content is truncated or too large")
    return decompressed


__all__ = ["compress_content", "decompress_content"]
