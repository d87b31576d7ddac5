"""Commands as bytes in the log."""

from __future__ import annotations

import msgspec
import pytest

from sycamorestand_model.packing import PACKED
from sycamorestand_model.routes import Route
from sycamorestand_model.routes import RouteTarget
from sycamorestand_model.routes import SourceDocument
from sycamorestand_state.commands import ApplyDeclarations
from sycamorestand_state.commands import decode_command
from sycamorestand_state.commands import encode_command
from sycamorestand_state.errors import MalformedCommand

from .configurations import declare


def large() -> ApplyDeclarations:
    """Return a change of a thousand routes with their document."""
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
    def test_it_is_small_on_its_way_to_the_voters(self) -> None:
        """Changes follow each other on an installation of 1,000 routes.

        Each goes whole to every voter, in other data centres too. At half
        a megabyte each they were most of the bytes between these, and the
        log's tail in memory held hundreds of them.
        """
        command = large()
        data = encode_command(command)
        assert len(data) < len(msgspec.msgpack.encode(command)) / 5
        assert decode_command(data) == command

    def test_what_an_earlier_release_wrote_is_read(self) -> None:
        command = large()
        plain = msgspec.msgpack.encode((2, command))
        assert decode_command(plain) == command

    def test_spoilt_bytes_are_refused(self) -> None:
        for data in (PACKED, encode_command(large())[:-9]):
            with pytest.raises(MalformedCommand):
                decode_command(data)
