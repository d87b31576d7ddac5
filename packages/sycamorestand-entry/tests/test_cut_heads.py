"""Servers that stop in the middle of an answer's head and close cleanly.

A caller must not get a 200 that is framed as whole: with what had come of the
head, it would have an empty or a short body.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from contextlib import suppress
from typing import Final

import anyio
from anyio.abc import SocketStream
import pytest

from sycamorestand_bench.fakes.declared import LARGE
from sycamorestand_bench.fakes.entry_group import cut_known
from sycamorestand_bench.fakes.entry_group import earn_arrivals
from sycamorestand_bench.fakes.entry_group import status
from sycamorestand_bench.fakes.loopback import Answer
from sycamorestand_bench.fakes.loopback import Loopback
from sycamorestand_bench.fakes.loopback import start_loopback
from sycamorestand_bench.fakes.raw_server import read_request
from sycamorestand_bench.fakes.raw_server import serve_stream
from sycamorestand_bench.fakes.routed import answer_bytes
from sycamorestand_bench.fakes.routed import answer_head
from sycamorestand_bench.fakes.routed import entry_address
from sycamorestand_bench.fakes.routed import RoutedLoopback
from sycamorestand_bench.fakes.routed import start_entries
from sycamorestand_entry.upstream import Echo
from sycamorestand_entry.upstream import UpstreamConnection
from sycamorestand_entry.upstream import UpstreamError
from sycamorestand_model.backend_servers import Announcement

pytestmark = pytest.mark.anyio
REQUEST: Final = b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n"
ECHO: Final = Echo(b"x-attempt", b"a1")
WHOLE: Final = (
    b"HTTP/1.1 200 OK\r\nx-attempt: a1\r\ncontent-length: 2\r\n\r\nok"
)
FRAMINGS: Final = {
    "length": b"content-length: 1024\r\n",
    "length 0": b"content-length: 0\r\n",
    "chunks": b"transfer-encoding: chunked\r\n",
    "close": b"",
}
# What comes on the connection before the head that is cut.
BEFORE: Final = {
    "first answer": b"",
    "after a 103": b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n",
    "after another request's answer": (
        b"HTTP/1.1 200 OK\r\nx-attempt: a0\r\ncontent-length: 2\r\n\r\nno"
    ),
}
LIMIT_S: Final = 5.0


def head_bytes(framing: str) -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nx-attempt: a1\r\n"
        + FRAMINGS[framing]
        + b"x-stamp: s\r\n\r\n"
    )


class Transport(asyncio.Transport):
    """A transport that is closed by the protocol or by the test."""

    def __init__(self) -> None:
        super().__init__()
        self.is_aborted = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        self.is_aborted = True

    def is_closing(self) -> bool:
        return self.is_aborted


async def connect() -> UpstreamConnection:
    connection = UpstreamConnection(asyncio.get_running_loop())
    connection.connection_made(Transport())
    return connection


def close_cleanly(connection: UpstreamConnection) -> None:
    connection.eof_received()
    connection.connection_lost(None)


class TestConnection:
    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("before", BEFORE)
    @pytest.mark.parametrize("earlier_answers", [0, 1, 2])
    async def test_cut_at_each_byte(
        self, framing: str, before: str, earlier_answers: int
    ) -> None:
        head = head_bytes(framing)
        for length in range(len(head)):
            connection = await connect()
            for _ in range(earlier_answers):
                connection.send(REQUEST, echo=ECHO)
                connection.data_received(WHOLE)
                assert (await connection.read_head(LIMIT_S)).status == 200
                while await connection.read_body(LIMIT_S):
                    pass
            connection.send(REQUEST, echo=ECHO)
            if BEFORE[before]:
                connection.data_received(BEFORE[before])
            if length:
                connection.data_received(head[:length])
            close_cleanly(connection)
            with pytest.raises(UpstreamError):
                await connection.read_head(LIMIT_S)
            with pytest.raises(UpstreamError):
                await connection.read_body(LIMIT_S)
            assert not connection.usable

    async def test_cut_head_of_an_answer_without_a_body(self) -> None:
        head = head_bytes("length")
        for length in range(len(head)):
            connection = await connect()
            connection.send(REQUEST, bodiless=True)
            connection.data_received(head[:length])
            close_cleanly(connection)
            with pytest.raises(UpstreamError):
                await connection.read_head(LIMIT_S)

    @pytest.mark.parametrize("framing", FRAMINGS)
    async def test_head_that_began_before_the_request(
        self, framing: str
    ) -> None:
        """It lost the fields that had come, so its end was not checked."""
        head = head_bytes(framing)
        for length in range(1, len(head)):
            connection = await connect()
            connection.data_received(head[:length])
            connection.send(REQUEST, echo=ECHO)
            connection.data_received(head[length:])
            close_cleanly(connection)
            with pytest.raises(UpstreamError):
                await connection.read_head(LIMIT_S)


# Places in the head at which the servers below stop.
Cut = Callable[[bytes], bytes]
CUTS: Final[dict[str, Cut]] = {
    "status line": lambda head: head[:11],
    "after the status line": lambda head: head[: head.index(b"\r\n") + 2],
    "name of a field": lambda head: head[: head.rindex(b": ") - 2],
    "value of a field": lambda head: head[: head.rindex(b": ") + 3],
    "before the blank line": lambda head: head[:-2],
    "in the blank line": lambda head: head[:-1],
}
LINES: Final = {
    "length": (b"content-length: 10",),
    "chunks": (b"transfer-encoding: chunked",),
    "close": (),
}
PATHS: Final = ("/stock/1", "/order/1", "/review/1")


class CuttingServer:
    """Answers some requests, then stops in the head of an answer.

    ``whole`` is the number of answers before that on each connection.
    """

    def __init__(
        self, cut: str, lines: tuple[bytes, ...], whole: int = 0
    ) -> None:
        self.cuts = 0
        self._cut = CUTS[cut]
        self._lines = lines
        self._whole = whole
        self._answered: dict[int, int] = {}

    async def answer(self, request: bytes, stream: SocketStream) -> None:
        answered = self._answered.get(id(stream), 0)
        if answered < self._whole:
            self._answered[id(stream)] = answered + 1
            await stream.send(answer_bytes(request))
            return
        self.cuts += 1
        await stream.send(self._cut(answer_head(request, *self._lines)))
        await stream.send_eof()
        raise anyio.EndOfStream

    async def serve(self, stream: SocketStream) -> None:
        """Answer the requests of one connection."""
        # A dial that is not used ends without a request.
        with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            async with stream:
                while True:
                    await self.answer(await read_request(stream), stream)


@asynccontextmanager
async def start_cutting(
    server: CuttingServer, entries: int = 1, is_leaving: bool = False
) -> AsyncIterator[list[RoutedLoopback]]:
    """Start entries whose only servers stop in the head of an answer."""
    async with start_entries(entries) as loopbacks:
        for name in ("s-1", "s-2", "s-3"):
            await loopbacks[0].add_server(name, server.answer)
        for loopback in loopbacks:
            earn_arrivals(loopback, 100)
        if is_leaving:
            leave_once_asked(loopbacks[0], server)
        yield loopbacks


def leave_once_asked(loopback: RoutedLoopback, server: CuttingServer) -> None:
    """Make each server say that it leaves before it stops in the head."""
    servers = loopback.control.servers
    answer = server.answer

    async def leave(request: bytes, stream: SocketStream) -> None:
        for name, known in list(servers.items()):
            servers[name] = known._replace(leaving=True)
        await answer(request, stream)

    server.answer = leave  # type: ignore[method-assign]


class TestRoutes:
    @pytest.mark.parametrize("lines", LINES)
    @pytest.mark.parametrize("cut", CUTS)
    @pytest.mark.parametrize("path", PATHS)
    async def test_caller_gets_no_success(
        self, path: str, cut: str, lines: str
    ) -> None:
        server = CuttingServer(cut, LINES[lines])
        async with start_cutting(server) as (entry,):
            answer = await entry.ask(path)
        assert server.cuts
        assert status(answer) == 502

    @pytest.mark.parametrize("cut", CUTS)
    @pytest.mark.parametrize("path", PATHS)
    async def test_forwarded_request_gets_no_success(
        self, path: str, cut: str
    ) -> None:
        server = CuttingServer(cut, LINES["length"])
        async with start_cutting(server, 2) as (cut_off, _):
            await cut_known(cut_off, "refuse")
            answer = await cut_off.ask(path)
        assert server.cuts
        assert status(answer) in (502, 504)

    @pytest.mark.parametrize("lines", LINES)
    @pytest.mark.parametrize("cut", CUTS)
    @pytest.mark.parametrize("path", PATHS)
    async def test_other_entry_that_stops_gives_no_success(
        self, path: str, cut: str, lines: str
    ) -> None:
        other = CuttingServer(cut, LINES[lines])
        async with start_cutting(other, 2) as (cut_off, another):
            await cut_known(cut_off, "refuse")
            address = await cut_off.group.start(serve_stream, other.serve)
            port = int(address.rpartition(":")[2])
            cut_off.control.entry_addresses = (
                entry_address(cut_off),
                entry_address(another)._replace(port=port),
            )
            answer = await cut_off.ask(path)
        assert other.cuts
        assert status(answer) in (502, 504)

    @pytest.mark.parametrize("lines", LINES)
    @pytest.mark.parametrize("path", PATHS)
    async def test_server_that_leaves_makes_no_difference(
        self, path: str, lines: str
    ) -> None:
        server = CuttingServer("in the blank line", LINES[lines])
        async with start_cutting(server, is_leaving=True) as (entry,):
            answer = await entry.ask(path)
        assert server.cuts
        assert status(answer) == 502

    @pytest.mark.parametrize("cut", CUTS)
    async def test_later_answer_of_a_kept_connection(self, cut: str) -> None:
        server = CuttingServer(cut, LINES["length"], whole=2)
        async with start_cutting(server) as (entry,):
            answers = [await entry.ask("/stock/1") for _ in range(12)]
        assert server.cuts
        for answer in answers:
            whole = answer.endswith(b"\r\n\r\nok")
            assert (status(answer), whole) in ((200, True), (502, False))


class TestOwnInterface:
    @pytest.mark.parametrize("lines", LINES)
    @pytest.mark.parametrize("cut", CUTS)
    async def test_idempotent_call(self, cut: str, lines: str) -> None:
        async def ask(loopback: Loopback) -> Answer:
            return await loopback.call("GET", "/services/orders/sheets")

        answer = await self.play(ask, "orders", cut, LINES[lines])
        assert answer.status == 502

    @pytest.mark.parametrize("lines", LINES)
    @pytest.mark.parametrize("cut", CUTS)
    async def test_order(self, cut: str, lines: str) -> None:
        async def ask(loopback: Loopback) -> Answer:
            path = "/services/orders/sheets"
            return await loopback.call("POST", path, Idempotency_Key="k")

        answer = await self.play(ask, "orders", cut, LINES[lines])
        assert answer.status == 502
        assert answer.json()["error"]["run"] == "unknown"

    @pytest.mark.parametrize("is_stream", [True, False])
    @pytest.mark.parametrize("cut", CUTS)
    async def test_chat(self, cut: str, is_stream: bool) -> None:
        async def ask(loopback: Loopback) -> Answer:
            return await loopback.chat(stream=is_stream)

        kind = b"content-type: text/event-stream"
        lines = (kind, b"transfer-encoding: chunked")
        answer = await self.play(ask, LARGE, cut, lines)
        assert answer.status == 502

    async def play(
        self,
        ask: Callable[[Loopback], Awaitable[Answer]],
        served: str,
        cut: str,
        lines: tuple[bytes, ...],
    ) -> Answer:
        """Ask an entry whose only server stops in the head of an answer."""

        server = CuttingServer(cut, lines)
        async with start_loopback() as loopback:
            address = await loopback.group.start(serve_stream, server.serve)
            kind = "engine" if served == LARGE else "service"
            loopback.control.servers["s-1"] = Announcement(
                "s-1", kind, address, "marietta", 1, 1, (served,)
            )
            answer = await ask(loopback)
            assert server.cuts
            assert not loopback.ledger.charges
        return answer
