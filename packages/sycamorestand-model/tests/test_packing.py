from __future__ import annotations

import os
import zlib

from hypothesis import given
from hypothesis import strategies
import pytest

from sycamorestand_model.errors import WireError
import sycamorestand_model.packing as packing
from sycamorestand_model.packing import pack
from sycamorestand_model.packing import PACKED
from sycamorestand_model.packing import unpack

ROUTES = b"".join(
    b'{"Name":"r%d","Host":"h","Path":"/%d/","Kind":"once"},' % (n, n)
    for n in range(1000)
)


class TestPack:
    def test_a_configuration_becomes_a_tenth(self) -> None:
        assert len(pack(ROUTES)) < len(ROUTES) / 10
        assert unpack(pack(ROUTES)) == ROUTES

    @given(strategies.binary(max_size=5000))
    def test_content_comes_back_as_it_was(self, content: bytes) -> None:
        if not content.startswith(PACKED):
            assert unpack(pack(content)) == content

    def test_small_and_random_content_stays(self) -> None:
        noise = b"." + os.urandom(5000)
        assert pack(b"small") == b"small"
        assert pack(noise) == noise


class TestUnpack:
    @pytest.mark.parametrize(
        "content", [PACKED, PACKED + b"noise", pack(ROUTES)[:-5]]
    )
    def test_what_is_spoilt_is_refused(self, content: bytes) -> None:
        with pytest.raises(WireError):
            unpack(content)

    def test_what_would_fill_the_memory_is_refused(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # A few bytes claim to be gigabytes; nothing is made of them.
        monkeypatch.setattr(packing, "MAX_BYTES", 1000)
        with pytest.raises(WireError, match="too large"):
            unpack(PACKED + zlib.compress(bytes(1001)))
