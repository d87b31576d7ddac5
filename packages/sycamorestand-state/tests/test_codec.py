"""Encoding of commands as bytes in the log."""

from __future__ import annotations

import msgspec
import pytest

from sycamorestand_model.compression import COMPRESSED_MARKER
from sycamorestand_model.routes import Route
from sycamorestand_model.routes import RouteTarget
from sycamorestand_model.routes import SourceDocument
from sycamorestand_state.commands import ApplyDeclarations
from sycamorestand_state.commands import decode_command
from sycamorestand_state.commands import encode_command
from sycamorestand_state.errors import MalformedCommand

from .configurations import declare


def large() -> ApplyDeclarations:
    """Return a change with 1000 routes and their document."""
    routes = {
        f"r{n}": Route(
            f"r{n}", "h", f"/{n}/", (RouteTarget("s"),), "once", 100, 50
        )
        for n in range(1000)
    }
    document = SourceDocument(7, msgspec.json.encode(routes))
    declarations = declare(routes=routes, document=document)
    return ApplyDeclarations("large", "ann", 1, declarations, "", 2.0)


class TestLargeCommand:
    def test_a_large_command_is_compressed(self) -> None:
        """Guards against large changes that fill links and memory.

        Each change goes as a whole to every voter, also in other data
        centres. With 1,000 routes and without compression, a change takes
        half a megabyte. Frequent changes then make up most of the traffic
        between data centres, and the log's tail in memory holds hundreds
        of them.
        """
        command = large()
        data = encode_command(command)
        assert len(data) < len(msgspec.msgpack.encode(command)) / 5
        assert decode_command(data) == command

    def test_uncompressed_commands_of_earlier_releases_are_read(self) -> None:
        command = large()
        plain = msgspec.msgpack.encode((2, command))
        assert decode_command(plain) == command

    def test_corrupt_bytes_are_refused(self) -> None:
        for data in (COMPRESSED_MARKER, encode_command(large())[:-9]):
            with pytest.raises(MalformedCommand):
                decode_command(data)
