"""Connections that went silent, and callers that read slowly."""

from __future__ import annotations

import anyio
from anyio.abc import SocketStream
import pytest

from sycamorestand_bench.fakes.declared import CALLER_KEY
from sycamorestand_bench.fakes.declared import LARGE
from sycamorestand_bench.fakes.engine import expected_text
from sycamorestand_bench.fakes.engine import FakeEngine
from sycamorestand_bench.fakes.loopback import chat_body
from sycamorestand_bench.fakes.loopback import Loopback
from sycamorestand_bench.fakes.loopback import SETTINGS
from sycamorestand_bench.fakes.loopback import start_loopback
from sycamorestand_model.backend_servers import Announcement

pytestmark = pytest.mark.anyio

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class SilentAfterOne:
    """A service whose connections go silent after their first answer."""

    def __init__(self) -> None:
        self.seen: list[bytes] = []

    async def handle(self, stream: SocketStream) -> None:
        async with stream:
            self.seen.append(await stream.receive())
            await stream.send(OK)
            while True:
                try:
                    self.seen.append(await stream.receive())
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return


async def add_silent(loopback: Loopback) -> SilentAfterOne:
    """Add the server to the service ``orders``."""
    server = SilentAfterOne()
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    loopback.group.start_soon(listener.serve, server.handle)
    loopback.control.servers["s-1"] = Announcement(
        "s-1", "service", f"127.0.0.1:{port}", "dalton", 1, 1, ("orders",)
    )
    return server


class TestSilentConnection:
    async def test_query_goes_out_on_a_new_connection(self) -> None:
        """A connection in the pool has gone silent without an error.

        The query gets no first byte there and goes out once more on a
        new connection, which works.
        """
        async with start_loopback() as loopback:
            server = await add_silent(loopback)
            for _ in range(3):
                answer = await loopback.call("GET", "/services/orders/x")
                assert answer.status == 200
            assert len(server.seen) == 5

    async def test_order_never_meets_an_idle_connection(self) -> None:
        """The pool holds a connection that has been idle for a while.

        An order written into it could be lost without a trace, and must
        not be repeated; so it goes out on a new connection at once.
        """
        settings = SETTINGS._replace(silent_idle_s=0.05)
        async with start_loopback(settings) as loopback:
            server = await add_silent(loopback)
            for key in ("k1", "k2", "k3"):
                answer = await loopback.call(
                    "POST", "/services/orders/x", Idempotency_Key=key
                )
                assert answer.status == 200
                await anyio.sleep(0.1)
            assert len(server.seen) == 3


async def stalled_at(engine: FakeEngine) -> int:
    """Return how many tokens the engine has sent when it sends no more."""
    seen: list[int] = []
    while True:
        await anyio.sleep(0.5)
        if not engine.records:
            continue
        seen.append(engine.records[0].sent_tokens)
        # On a busy machine an engine that has not begun, or pauses once,
        # stands still too.
        if seen[-1] and len(seen) >= 4 and len(set(seen[-4:])) == 1:
            return seen[-1]


class TestSlowCaller:
    async def test_holds_up_only_itself(self) -> None:
        """One caller does not read its long answer, others ask meanwhile.

        The engine is slowed down to the reader's pace instead of the
        answer piling up in the entry; the others get theirs.
        """
        tokens = 100_000
        async with start_loopback() as loopback:
            engine = FakeEngine("engine-1", (LARGE,))
            await loopback.add_engine(engine)
            port = loopback.entry.port
            stream = await anyio.connect_tcp("127.0.0.1", port)
            body = chat_body("large", True, tokens)
            head = (
                "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n"
                f"Authorization: Bearer {CALLER_KEY}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            await stream.send(head.encode() + body)
            with anyio.fail_after(20):
                sent = await stalled_at(engine)
            assert 0 < sent < tokens
            answer = await loopback.chat(stream=True, Idempotency_Key="k")
            assert answer.text() == expected_text(LARGE, "k", 8)
            await stream.aclose()
