"""Requests whose bytes have no end, at the base of all doors."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
import functools
import socket
from typing import Any
from typing import Final

import pytest

from sycamorestand_peer.http_budget import HttpBudget
from sycamorestand_peer.http_connection import HttpProtocol
from sycamorestand_peer.http_door import HttpDoor
from sycamorestand_peer.http_door import HttpLimits
from sycamorestand_peer.http_server import HttpServer
from sycamorestand_peer.uvicorn_parts import Config

pytestmark = pytest.mark.anyio
HEAD: Final = b"POST /x HTTP/1.1\r\nhost: x\r\n"
CHUNKED: Final = HEAD + b"transfer-encoding: chunked\r\n\r\n"
SOUND: Final = HEAD + b"content-length: 2\r\n\r\nok"
FIELDS: Final = b"".join(b"x%d: v\r\n" % number for number in range(64))
# What comes once, and what comes after it without end.
ENDLESS: Final = {
    "head": (HEAD, FIELDS),
    "field of a head": (HEAD + b"x: ", b"v" * 1024),
    "request line": (b"POST /", b"v" * 1024),
    "trailers": (CHUNKED + b"1\r\na\r\n0\r\n", FIELDS),
    "field of a trailer": (CHUNKED + b"1\r\na\r\n0\r\nx: ", b"v" * 1024),
    "chunk extension": (CHUNKED + b"1;x=", b"v" * 1024),
}
MOST_BYTES: Final = 64 * 1024 * 1024
# What the sockets and one read hold beside the bound.
SENT_BYTES: Final = 16 * 1024 * 1024
LIMIT_S: Final = 10.0
LIMITS: Final = HttpLimits(max_header_bytes=64 * 1024)


class Door:
    """A server that answers each request once its body has come."""

    def __init__(
        self, limits: HttpLimits = LIMITS, room_bytes: int = 0
    ) -> None:
        self.budget = HttpBudget()
        if room_bytes:
            self.budget.room.limit_bytes = room_bytes
        door = HttpDoor(lambda: limits, self.budget)
        self.headers: list[list[tuple[bytes, bytes]]] = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        self.port = listener.getsockname()[1]
        config = Config(
            self._answer,
            http=functools.partial(HttpProtocol, door=door),  # type: ignore[arg-type]
            interface="asgi3",
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
        )
        self.server = HttpServer(config, [listener])

    async def _answer(self, scope: Any, receive: Any, send: Any) -> None:
        while (message := await receive()).get("more_body"):
            pass
        if message["type"] == "http.disconnect":
            return
        await self.may_answer.wait()
        self.headers.append(list(scope["headers"]))
        length = [(b"content-length", b"2")]
        start = {"type": "http.response.start", "status": 200}
        await send({**start, "headers": length})
        await send({"type": "http.response.body", "body": b"ok"})

    async def ask(self, request: bytes) -> bytes:
        """Return what comes until the server closes."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(request)
        async with asyncio.timeout(LIMIT_S):
            answer = await reader.read()
        writer.close()
        return answer

    async def send_until_closed(self, first: bytes, more: bytes) -> int:
        """Return how many bytes were sent until the server closed."""
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(first)
        sent_bytes = 0
        try:
            async with asyncio.timeout(LIMIT_S):
                while sent_bytes < MOST_BYTES:
                    writer.write(more * 16)
                    await writer.drain()
                    sent_bytes += 16 * len(more)
        except OSError:
            pass
        writer.close()
        return sent_bytes


@asynccontextmanager
async def open_door(
    limits: HttpLimits = LIMITS, room_bytes: int = 0
) -> AsyncIterator[Door]:
    door = Door(limits, room_bytes)
    serving = asyncio.create_task(door.server.serve(door.server.listeners))
    while not door.server.started:
        await asyncio.sleep(0.01)
    yield door
    door.server.should_exit = True
    await serving


class TestManyConnections:
    async def test_small_head_is_read_beside_many_incomplete_ones(
        self,
    ) -> None:
        """Heads below their bound took all memory together."""
        async with open_door(room_bytes=256 * 1024) as door:
            writers = []
            for _ in range(100):
                _, writer = await asyncio.open_connection(
                    "127.0.0.1", door.port
                )
                writer.write(
                    HEAD + b"x: " + bytes(60_000).replace(b"\0", b"v")
                )
                writers.append(writer)
            closing = SOUND.replace(b"host", b"connection: close\r\nhost")
            assert (await door.ask(closing)).endswith(b"\r\n\r\nok")
            connections = door.server.server_state.connections
            async with asyncio.timeout(LIMITS.header_timeout_s / 2):
                while len(connections) > 32:
                    await asyncio.sleep(0.01)
            for writer in writers:
                writer.close()
            budget = door.budget
        assert budget.room.used_bytes == 0
        assert budget.connections == 0


class TestEndlessRequests:
    @pytest.mark.parametrize("kind", ENDLESS)
    async def test_request_without_end_is_refused(self, kind: str) -> None:
        """A peer without a key filled 400 to 900 MB of a VM in 3 s."""
        async with open_door() as door:
            sent_bytes = await door.send_until_closed(*ENDLESS[kind])
            assert sent_bytes < SENT_BYTES
            closing = SOUND.replace(b"host", b"connection: close\r\nhost")
            assert (await door.ask(closing)).endswith(b"\r\n\r\nok")

    async def test_bad_chunk_is_answered_once(self) -> None:
        async with open_door() as door:
            answer = await door.ask(CHUNKED + b"x\r\n")
            assert answer.startswith(b"HTTP/1.1 400")
            assert answer.count(b"HTTP/1.1") == 1

    async def test_trailer_is_no_header(self) -> None:
        """uvicorn adds trailers to the headers, which name the caller."""
        async with open_door() as door:
            await door.ask(
                CHUNKED.replace(b"host", b"connection: close\r\nhost")
                + b"1\r\na\r\n0\r\nauthorization: b\r\n\r\n"
            )
            ((*headers,),) = door.headers
            assert b"authorization" not in dict(headers)

    async def test_refusal_waits_for_the_answer_before_it(self) -> None:
        """It came in the middle of the answer to another request."""
        async with open_door() as door:
            door.may_answer.clear()
            asked = asyncio.create_task(door.ask(SOUND + b"\x00 no request"))
            await asyncio.sleep(0.1)
            door.may_answer.set()
            answer = await asked
            first, _, rest = answer.partition(b"\r\n\r\nok")
            assert first.startswith(b"HTTP/1.1 200")
            assert rest.startswith(b"HTTP/1.1 400")
            assert answer.count(b"HTTP/1.1") == 2

    async def test_long_body_of_small_chunks_is_read(self) -> None:
        chunks = b"1\r\na\r\n" * 64 * 1024
        request = CHUNKED.replace(b"host", b"connection: close\r\nhost")
        async with open_door() as door:
            answer = await door.ask(request + chunks + b"0\r\n\r\n")
            assert answer.startswith(b"HTTP/1.1 200")
