from __future__ import annotations

import os
import zlib

from hypothesis import given
from hypothesis import strategies
import pytest

import sycamorestand_model.compression as compression
from sycamorestand_model.compression import compress_content
from sycamorestand_model.compression import COMPRESSED_MARKER
from sycamorestand_model.compression import decompress_content
from sycamorestand_model.errors import WireError

ROUTES = b"".join(
    b'{"Name":"r%d","Host":"h","Path":"/%d/","Kind":"once"},' % (n, n)
    for n in range(1000)
)


class TestCompressContent:
    def test_configuration_shrinks_to_a_tenth(self) -> None:
        assert len(compress_content(ROUTES)) < len(ROUTES) / 10
        assert decompress_content(compress_content(ROUTES)) == ROUTES

    @given(strategies.binary(max_size=5000))
    def test_round_trip_returns_the_same_content(self, content: bytes) -> None:
        if not content.startswith(COMPRESSED_MARKER):
            assert decompress_content(compress_content(content)) == content

    def test_small_and_random_content_is_unchanged(self) -> None:
        noise = b"." + os.urandom(5000)
        assert compress_content(b"small") == b"small"
        assert compress_content(noise) == noise


class TestDecompressContent:
    @pytest.mark.parametrize(
        "content",
        [
            COMPRESSED_MARKER,
            COMPRESSED_MARKER + b"noise",
            compress_content(ROUTES)[:-5],
        ],
    )
    def test_corrupt_or_truncated_content_is_refused(
        self, content: bytes
    ) -> None:
        with pytest.raises(WireError):
            decompress_content(content)

    def test_content_that_expands_beyond_the_limit_is_refused(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # A short message that expands to gigabytes must not be expanded in
        # full.
        monkeypatch.setattr(compression, "MAX_DECOMPRESSED_BYTES", 1000)
        with pytest.raises(WireError, match="too large"):
            decompress_content(COMPRESSED_MARKER + zlib.compress(bytes(1001)))
