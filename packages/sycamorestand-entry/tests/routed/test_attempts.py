"""Attempts of routed requests: how many are made and how long they last."""

from __future__ import annotations

import re

import anyio
from anyio.abc import SocketStream
import pytest

from sycamorestand_bench.fakes.routed import answer_bytes
from sycamorestand_bench.fakes.routed import answer_head
from sycamorestand_bench.fakes.routed import Handler
from sycamorestand_bench.fakes.routed import request_bytes
from sycamorestand_bench.fakes.routed import RoutedLoopback
from sycamorestand_bench.fakes.routed import start_routed
from sycamorestand_model.backend_servers import Announcement

pytestmark = pytest.mark.anyio
# Nothing listens on the first port of a machine.
UNUSED = "127.0.0.1:1"


async def add_servers(
    loopback: RoutedLoopback, handler: Handler, count: int = 3
) -> None:
    """Start ``count`` servers of the service with this handler."""
    for number in range(count):
        await loopback.add_server(f"s-{number}", handler)


async def close_connection(request: bytes, stream: SocketStream) -> None:
    """Close the connection without an answer."""
    raise anyio.EndOfStream


async def answer_with_500(request: bytes, stream: SocketStream) -> None:
    """Answer with status 500."""
    head = answer_head(request, b"content-length: 0", status=500)
    await stream.send(head)


class TestRepeating:
    async def test_order_with_lost_answer_is_sent_once(self) -> None:
        async with start_routed() as loopback:
            await add_servers(loopback, close_connection)
            answer = await loopback.ask("/order/1")
            assert len(loopback.requests) == 1
        assert answer.startswith(b"HTTP/1.1 502")

    async def test_retries_stay_within_max_attempts(
        self,
    ) -> None:
        async with start_routed() as loopback:
            await add_servers(loopback, answer_with_500)
            answer = await loopback.ask("/stock/1")
            names = {name for name, _ in loopback.requests}
            assert len(names) == len(loopback.requests) == 2
        assert answer.startswith(b"HTTP/1.1 500")
        assert b"x-stamp: s" in answer

    async def test_only_server_is_not_given_up_while_slow(self) -> None:
        """The only server takes longer than the attempt's time limit.

        Abandoning it would leave the lookup without an answer, although
        its deadline leaves time for one.
        """

        async def handler(request: bytes, stream: SocketStream) -> None:
            await anyio.sleep(0.8)
            await stream.send(answer_bytes(request))

        async with start_routed() as loopback:
            await add_servers(loopback, handler, 1)
            answer = await loopback.ask("/stock/1")
            assert len(loopback.requests) == 1
        assert answer.startswith(b"HTTP/1.1 200")

    async def test_hanging_server_leaves_time_for_a_retry(self) -> None:
        hung: list[bytes] = []

        async def handler(request: bytes, stream: SocketStream) -> None:
            if not hung:
                hung.append(request)
                await stream.receive()
            await stream.send(answer_bytes(request))

        async with start_routed() as loopback:
            await add_servers(loopback, handler)
            answer = await loopback.ask("/stock/1")
        assert answer.startswith(b"HTTP/1.1 200")

    async def test_forwarded_deadline_shrinks_with_each_attempt(self) -> None:
        async with start_routed() as loopback:
            await add_servers(loopback, answer_with_500)
            await loopback.ask("/stock/1", x_deadline_ms="700")
            left = [
                int(re.findall(rb"x-deadline-ms: (\d+)", request)[0])
                for _, request in loopback.requests
            ]
        assert 700 >= left[0] >= left[1] > 0


class TestCrashedServers:
    async def test_request_reaches_the_only_running_server(self) -> None:
        """Six of seven servers crash together and stay listed for seconds.

        Their ports refuse connections. With a limit of four refusals the
        request failed although one server was free.
        """

        async def respond(request: bytes, stream: SocketStream) -> None:
            await stream.send(answer_bytes(request))

        async with start_routed() as loopback:
            await loopback.add_server("s-alive", respond)
            for number in range(6):
                name = f"s-{number}"
                loopback.control.servers[name] = Announcement(
                    name, "service", UNUSED, "marietta", 1, 1, ("stock",)
                )
            for _ in range(3):
                answer = await loopback.ask("/order/1")
                assert answer.startswith(b"HTTP/1.1 200")

    async def test_request_is_refused_as_not_run_without_servers(self) -> None:
        async with start_routed() as loopback:
            for number in range(3):
                name = f"s-{number}"
                loopback.control.servers[name] = Announcement(
                    name, "service", UNUSED, "marietta", 1, 1, ("stock",)
                )
            answer = await loopback.ask("/order/1")
        assert answer.startswith(b"HTTP/1.1 503")


class TestSlowCaller:
    async def test_missing_body_is_refused_at_the_deadline(self) -> None:
        """A caller sends the headers of an order but not its body."""
        async with start_routed() as loopback:
            await add_servers(loopback, close_connection, 1)
            with anyio.fail_after(5):
                answer = await loopback.ask(
                    "/order/1", x_deadline_ms="300", content_length="9"
                )
            assert not loopback.requests
        assert answer.startswith(b"HTTP/1.1 408")


class TestCallerLeaves:
    async def test_running_request_is_cancelled(self) -> None:
        """A caller closes its connection while a server runs its request."""
        begun = anyio.Event()
        closed = anyio.Event()

        async def handler(request: bytes, stream: SocketStream) -> None:
            begun.set()
            try:
                await stream.receive()
            finally:
                closed.set()

        async with start_routed() as loopback:
            await add_servers(loopback, handler, 1)
            stream = await loopback.connect()
            await stream.send(request_bytes("/order/1"))
            with anyio.fail_after(3):
                await begun.wait()
                await stream.aclose()
                await closed.wait()
            assert len(loopback.requests) == 1


class TestMovedRoute:
    async def test_removed_route_is_reported_as_not_run(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A route is removed while its request waits for a connection.

        The request was allowed when it came, so it must not get a 403. It
        is refused as not run; a retry gets a 404 or the new route.
        """
        async with start_routed() as loopback:
            await add_servers(loopback, close_connection, 1)
            control = loopback.control
            reads = 0

            def lease_remaining_s() -> float:
                # Read when the request comes, and again before it is sent.
                nonlocal reads
                reads += 1
                if reads == 2:
                    declared = control.configuration.declarations
                    control.configuration = control.configuration._replace(
                        declarations=declared._replace(routes={})
                    )
                return 3.0

            monkeypatch.setattr(
                control, "lease_remaining_s", lease_remaining_s
            )
            answer = await loopback.ask("/order/1")
            assert not loopback.requests
        assert answer.startswith(b"HTTP/1.1 503")


class TestEntryWithoutLease:
    @pytest.mark.parametrize(
        ("deadline_ms", "after"),
        [("200", b"0.10"), ("1500", b"0.45"), ("20000", b"2.20")],
    )
    async def test_retry_after_is_a_share_of_the_callers_timeout(
        self, deadline_ms: str, after: bytes
    ) -> None:
        """Some entries are cut off from control, others are not.

        A caller that retries before its list of addresses is renewed may
        reach another entry that is cut off. A caller with a short timeout
        that retries late misses its deadline at any entry.
        """
        async with start_routed() as loopback:
            loopback.control.lease_s = 0.0
            answer = await loopback.ask("/order/1", x_deadline_ms=deadline_ms)
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"retry-after: " + after in answer
