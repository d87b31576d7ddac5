from __future__ import annotations

import pytest

from sycamorestand_entry.routed.load_header import read_load_header
from sycamorestand_model.server_loads import LoadHeader


class TestReadLoadHeader:
    @pytest.mark.parametrize(
        ("value", "header"),
        [
            (b"0,0,1", LoadHeader(0, 0, 1, 0.0)),
            (b"17,2,24,120", LoadHeader(17, 2, 24, 1.2)),
            (b"17,2,24,1", LoadHeader(17, 2, 24, 0.01)),
            (b"999999999,0,48,10000", LoadHeader(999999999, 0, 48, 100.0)),
        ],
    )
    def test_load_is_read(self, value: bytes, header: LoadHeader) -> None:
        assert read_load_header(value) == header

    @pytest.mark.parametrize(
        "value",
        [
            *(b"", b",", b"1,2", b"1,2,", b"1,,3", b"1,2,3,", b"1,2,3,4,5"),
            *(b"-1,2,3", b"1,-2,3", b"+1,2,3", b"1,2,3,-4", b"1.0,2,3"),
            *(b"1,2,0", b"1,2,3,0", b"1,2,3,10001", b"1000000000,2,3"),
            *(b"1;2;3", b"1, 2, 3", b"a,b,c", b"1,2,0x3", b"1,2,3_0"),
            *(b"\xb2,2,3", b"1,2,3\x00", b"1e3,2,3", b"9" * 4000),
        ],
    )
    def test_what_is_no_load_is_ignored(self, value: bytes) -> None:
        assert read_load_header(value) is None
