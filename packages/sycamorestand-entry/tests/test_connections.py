"""Dead connections in the pool, and callers that read slowly."""

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
    """A service whose connections answer one request and then nothing."""

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
    """Add a `SilentAfterOne` server to the service ``orders``."""
    server = SilentAfterOne()
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    loopback.group.start_soon(listener.serve, server.handle)
    loopback.control.servers["s-1"] = Announcement(
        "s-1", "service", f"127.0.0.1:{port}", "dalton", 1, 1, ("orders",)
    )
    return server


class TestSilentConnection:
    async def test_idempotent_call_is_retried_on_a_new_connection(
        self,
    ) -> None:
        """A pooled connection is dead without an error.

        The call gets no first byte on it and is sent again on a new
        connection, which works.
        """
        async with start_loopback() as loopback:
            server = await add_silent(loopback)
            for _ in range(3):
                answer = await loopback.call("GET", "/services/orders/x")
                assert answer.status == 200
            assert len(server.seen) == 5

    async def test_non_idempotent_call_uses_no_idle_connection(self) -> None:
        """The pool has a connection that has been idle for a while.

        An order written to it could be lost without an error and must not
        be repeated, so it is sent on a new connection.
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


async def wait_for_stall(engine: FakeEngine) -> int:
    """Wait until the engine stalls and return how many tokens it sent."""
    seen: list[int] = []
    while True:
        await anyio.sleep(0.5)
        if not engine.records:
            continue
        seen.append(engine.records[0].sent_tokens)
        # On a busy machine an engine may also start late or pause once, so
        # four equal samples are needed.
        if seen[-1] and len(seen) >= 4 and len(set(seen[-4:])) == 1:
            return seen[-1]


class TestSlowCaller:
    async def test_slow_caller_delays_only_itself(self) -> None:
        """One caller does not read its long answer while another one asks.

        Backpressure stops the engine, so that the entry does not buffer
        the answer; the other caller gets its answer.
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
                sent = await wait_for_stall(engine)
            assert 0 < sent < tokens
            answer = await loopback.chat(stream=True, Idempotency_Key="k")
            assert answer.text() == expected_text(LARGE, "k", 8)
            await stream.aclose()
