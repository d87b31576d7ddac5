"""How often a routed request is sent, and for how long."""

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
    """Serve the service by so many servers of this handler."""
    for number in range(count):
        await loopback.add_server(f"s-{number}", handler)


async def closes(request: bytes, stream: SocketStream) -> None:
    """Read a request and close without an answer."""
    raise anyio.EndOfStream


async def fails(request: bytes, stream: SocketStream) -> None:
    """Answer with a failure of the server's own."""
    head = answer_head(request, b"content-length: 0", status=500)
    await stream.send(head)


class TestRepeating:
    async def test_order_whose_answer_is_lost_is_sent_once(self) -> None:
        async with start_routed() as loopback:
            await add_servers(loopback, closes)
            answer = await loopback.ask("/order/1")
            assert len(loopback.requests) == 1
        assert answer.startswith(b"HTTP/1.1 502")

    async def test_lookup_is_sent_to_no_more_servers_than_allowed(
        self,
    ) -> None:
        async with start_routed() as loopback:
            await add_servers(loopback, fails)
            answer = await loopback.ask("/stock/1")
            names = {name for name, _ in loopback.requests}
            assert len(names) == len(loopback.requests) == 2
        assert answer.startswith(b"HTTP/1.1 500")
        assert b"x-stamp: s" in answer

    async def test_slow_answer_is_waited_for_with_nobody_else(self) -> None:
        """The only server takes longer than one would like to wait.

        To give it up leaves the lookup without an answer, although there
        is time for it.
        """

        async def handler(request: bytes, stream: SocketStream) -> None:
            await anyio.sleep(0.8)
            await stream.send(answer_bytes(request))

        async with start_routed() as loopback:
            await add_servers(loopback, handler, 1)
            answer = await loopback.ask("/stock/1")
            assert len(loopback.requests) == 1
        assert answer.startswith(b"HTTP/1.1 200")

    async def test_server_that_hangs_leaves_time_for_another(self) -> None:
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

    async def test_time_handed_on_shrinks(self) -> None:
        async with start_routed() as loopback:
            await add_servers(loopback, fails)
            await loopback.ask("/stock/1", x_deadline_ms="700")
            left = [
                int(re.findall(rb"x-deadline-ms: (\d+)", request)[0])
                for _, request in loopback.requests
            ]
        assert 700 >= left[0] >= left[1] > 0


class TestCrashedServers:
    async def test_a_request_finds_the_one_that_is_left(self) -> None:
        """Six of seven servers crash together and are known for seconds.

        Their ports refuse at once. After four refusals the request was
        given up, with a server free for it.
        """

        async def answer(request: bytes, stream: SocketStream) -> None:
            await stream.send(answer_bytes(request))

        async with start_routed() as loopback:
            await loopback.add_server("s-alive", answer)
            for number in range(6):
                name = f"s-{number}"
                loopback.control.servers[name] = Announcement(
                    name, "service", UNUSED, "marietta", 1, 1, ("stock",)
                )
            for _ in range(3):
                told = await loopback.ask("/order/1")
                assert told.startswith(b"HTTP/1.1 200")

    async def test_when_all_are_gone_it_is_refused_as_not_run(self) -> None:
        async with start_routed() as loopback:
            for number in range(3):
                name = f"s-{number}"
                loopback.control.servers[name] = Announcement(
                    name, "service", UNUSED, "marietta", 1, 1, ("stock",)
                )
            told = await loopback.ask("/order/1")
        assert told.startswith(b"HTTP/1.1 503")


class TestSlowCaller:
    async def test_body_that_does_not_come_is_not_waited_for(self) -> None:
        """A caller sends the head of an order and not its body."""
        async with start_routed() as loopback:
            await add_servers(loopback, closes, 1)
            with anyio.fail_after(5):
                answer = await loopback.ask(
                    "/order/1", x_deadline_ms="300", content_length="9"
                )
            assert not loopback.requests
        assert answer.startswith(b"HTTP/1.1 408")


class TestCallerLeaves:
    async def test_running_work_is_cancelled(self) -> None:
        """A caller closes its connection while a server works for it."""
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
    async def test_route_that_goes_is_told_as_not_run(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A route is removed while its request waits for a connection.

        The request was allowed when it came; it hears "not run", and a 404
        or the new route when it comes back, never a 403.
        """
        async with start_routed() as loopback:
            await add_servers(loopback, closes, 1)
            control = loopback.control
            reads = 0

            def lease_remaining_s() -> float:
                # Read as the request comes, and again before it is sent.
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
    async def test_refusal_leaves_the_caller_its_time(
        self, deadline_ms: str, after: bytes
    ) -> None:
        """Entries are cut off from control processes; others are not.

        A caller that comes back before its list of addresses is renewed
        may meet the next one that is cut off. One with little time that
        comes back as late is late wherever it is served.
        """
        async with start_routed() as loopback:
            loopback.control.lease_s = 0.0
            answer = await loopback.ask("/order/1", x_deadline_ms=deadline_ms)
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"retry-after: " + after in answer
