"""Streams go on where they broke, whole and in order."""

from __future__ import annotations

import anyio
from anyio.abc import SocketStream
import pytest

from sycamorestand_bench.fakes.routed import event
from sycamorestand_bench.fakes.routed import Handler
from sycamorestand_bench.fakes.routed import read_to_end
from sycamorestand_bench.fakes.routed import request_bytes
from sycamorestand_bench.fakes.routed import RoutedLoopback
from sycamorestand_bench.fakes.routed import start_routed
from sycamorestand_bench.fakes.routed import stream_head
from sycamorestand_decisions.prefill import RANKS
from sycamorestand_entry.upstream import ConnectFailed
from sycamorestand_entry.upstream import UpstreamConnection

pytestmark = pytest.mark.anyio
END = b"0\r\n\r\n"


def last_event(request: bytes) -> int:
    """Return the last event that the request says the caller has."""
    _, found, rest = request.partition(b"last-event-id: ")
    return int(rest.split(b"\r\n")[0]) if found else 0


def rank(request: bytes) -> int:
    """Return the place in the engine's order of reading."""
    return int(request.partition(b"x-priority: ")[2][:1])


def change_route(loopback: RoutedLoopback, **fields: int) -> None:
    """Declare these fields of the route of streams."""
    in_force = loopback.control.in_force()
    declared = in_force.declarations
    review = declared.routes["review"]._replace(**fields)
    routes = {**declared.routes, "review": review}
    loopback.control.configuration = in_force._replace(
        declarations=declared._replace(routes=routes)
    )


def let_aim_be_over(loopback: RoutedLoopback) -> None:
    """Give streams an aim that is over before they begin."""
    change_route(loopback, target_latency_ms=1)


async def go_on(request: bytes, stream: SocketStream) -> None:
    """Answer with the events behind the last one up to the fifth."""
    first = last_event(request) + 1
    events = b"".join(event(number) for number in range(first, 6))
    await stream.send(stream_head(request) + events + END)


def breaks(after: bytes, waits: bool = False) -> Handler:
    """Return a handler that breaks off, or hangs, after these bytes.

    It does so once; the next request is answered to the end.
    """
    done = False

    async def handler(request: bytes, stream: SocketStream) -> None:
        nonlocal done
        if done:
            await go_on(request, stream)
            return
        done = True
        await stream.send(stream_head(request) + after)
        if waits:
            await anyio.sleep(30)
        raise anyio.EndOfStream

    return handler


async def ask_two(
    loopback: RoutedLoopback, handler: Handler, **headers: str
) -> bytes:
    """Return the stream of two servers, both with this handler."""
    await loopback.add_server("s-1", handler)
    await loopback.add_server("s-2", handler)
    return await loopback.ask("/review/1", **headers)


class TestResume:
    async def test_goes_on_behind_the_last_whole_event(self) -> None:
        """A server breaks off in the middle of the third event."""
        async with start_routed() as loopback:
            third = event(3)[:-6]
            handler = breaks(event(1) + event(2) + third)
            answer = await ask_two(loopback, handler)
            (_, second) = loopback.requests[1]
        assert answer.startswith(b"HTTP/1.1 200")
        assert answer.endswith(END)
        assert answer.count(b"id: ") == 5
        assert last_event(second) == 2

    async def test_what_goes_on_is_not_read_last(self) -> None:
        """A server is lost when the stream's aim is over for long.

        The caller waits in the middle of its answer. Taken for a request
        that is late all the same, the rest would be read behind all others
        and the pause be late as well.
        """
        async with start_routed() as loopback:
            let_aim_be_over(loopback)
            handler = breaks(event(1) + event(2))
            answer = await ask_two(loopback, handler, x_tokens="200,50")
            (_, second) = loopback.requests[1]
        assert answer.endswith(END)
        assert b"x-priority: 0\r\n" in second

    async def test_a_long_prompt_that_goes_on_is_not_read_last(self) -> None:
        """Its reading takes longer than a pause may be."""
        async with start_routed() as loopback:
            let_aim_be_over(loopback)
            reading = loopback.entry.context.prefill_rates
            reading.observe("stock", "", 40_000, 1.0)
            handler = breaks(event(1) + event(2))
            answer = await ask_two(loopback, handler, x_tokens="40000,50")
            (_, second) = loopback.requests[1]
        assert answer.endswith(END)
        assert rank(second) < RANKS - 1

    async def test_callers_own_last_event_is_kept(self) -> None:
        """A caller resumes at the second event; the server breaks at once.

        The next server must go on for the same caller, not from the start.
        """
        async with start_routed() as loopback:
            answer = await ask_two(loopback, breaks(b""), last_event_id="2")
            sent = [last_event(request) for _, request in loopback.requests]
        assert sent == [2, 2]
        assert b"id: 3" in answer
        assert b"id: 2" not in answer

    @pytest.mark.parametrize("first", [1, 4])
    async def test_run_that_repeats_or_skips_is_not_joined(
        self, first: int
    ) -> None:
        """The second run begins anew, or behind a piece that is missing.

        The caller gets nothing of it: the answer breaks off.
        """

        async def handler(request: bytes, stream: SocketStream) -> None:
            if last_event(request):
                begin = event(first) + event(first + 1)
                await stream.send(stream_head(request) + begin + END)
                return
            await stream.send(stream_head(request) + event(1) + event(2))
            raise anyio.EndOfStream

        async with start_routed() as loopback:
            answer = await ask_two(loopback, handler)
        assert answer.count(b"id: ") == 2
        assert not answer.endswith(END)

    async def test_run_that_hangs_is_cancelled_before_the_next(self) -> None:
        """A server hangs after two events; the stream goes on elsewhere.

        The first server must see its connection closed by then.
        """
        closed = anyio.Event()

        async def handler(request: bytes, stream: SocketStream) -> None:
            if last_event(request):
                with anyio.fail_after(1):
                    await closed.wait()
                await go_on(request, stream)
                return
            await stream.send(stream_head(request) + event(1) + event(2))
            try:
                await stream.receive()
            finally:
                closed.set()

        async with start_routed() as loopback:
            answer = await ask_two(loopback, handler)
        assert answer.endswith(END)
        assert answer.count(b"id: ") == 5


class TestTime:
    @pytest.mark.parametrize(
        ("tokens", "servers"), [("20000,100", 1), ("200,100", 2)]
    )
    async def test_long_prompt_is_read_to_its_end(
        self, tokens: str, servers: int
    ) -> None:
        """The first event comes after 1.7 s, later than a share of the aim.

        A short prompt is sent to another server after 1.2 s, as this one
        seems to hang. A long one takes so long to read: another server
        would only begin it anew.
        """

        async def handler(request: bytes, stream: SocketStream) -> None:
            if len(loopback.requests) == 1:
                await anyio.sleep(1.7)
            await go_on(request, stream)

        async with start_routed() as loopback:
            answer = await ask_two(loopback, handler, x_tokens=tokens)
            assert len(loopback.requests) == servers
        assert answer.endswith(END)

    async def test_a_short_prompt_does_not_wait_behind_a_long_one(
        self,
    ) -> None:
        """A server reads a long prompt and begins nothing for 0.9 s.

        The short one behind it asks another server after a tenth of its
        aim and is answered there. That server's version has not failed:
        nothing of the request was read.
        """

        async def handler(request: bytes, stream: SocketStream) -> None:
            if len(loopback.requests) == 1:
                await anyio.sleep(0.9)
            await go_on(request, stream)

        async with start_routed() as loopback:
            answer = await ask_two(loopback, handler, x_tokens="200,100")
            assert len(loopback.requests) == 2
            samples = loopback.control.samples
        assert answer.endswith(END)
        assert not any(sample.failed for sample in samples)

    async def test_stream_ends_with_its_routes_time(self) -> None:
        """The only server hangs in the middle of the stream.

        The caller's time is over after 1.2 s; it is not kept waiting, and
        what it got does not look complete.
        """
        async with start_routed() as loopback:
            await loopback.add_server("s-1", breaks(event(1), waits=True))
            with anyio.fail_after(5):
                answer = await loopback.ask("/review/1", x_deadline_ms="1200")
        assert b"id: 1" in answer
        assert not answer.endswith(END)

    async def test_caller_that_does_not_read_is_given_up(self) -> None:
        """A caller asks for a long stream and reads none of it.

        The server's connection is closed when the caller's time is over.
        """
        closed = anyio.Event()

        async def handler(request: bytes, stream: SocketStream) -> None:
            try:
                await stream.send(stream_head(request))
                number = 0
                while True:
                    number += 1
                    data = b"id: %d\ndata: %b\n\n" % (number, b"x" * 60000)
                    chunk = b"%x\r\n%b\r\n" % (len(data), data)
                    await stream.send(chunk)
            finally:
                closed.set()

        async with start_routed() as loopback:
            await loopback.add_server("s-1", handler)
            async with await loopback.connect() as stream:
                await stream.send(
                    b"POST /review/1 HTTP/1.1\r\nhost: nest.example\r\n"
                    b"x-attempt: a1\r\nx-deadline-ms: 1200\r\n"
                    b"content-length: 0\r\n\r\n"
                )
                with anyio.fail_after(5):
                    await closed.wait()


class TestLostServer:
    async def test_its_stream_ends_where_no_attempt_is_left(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A stream stayed silent until its caller left, and none went on."""
        async with start_routed() as loopback:
            pool = loopback.entry.context.pool
            change_route(loopback, max_attempts=1)
            await loopback.add_server("s-1", breaks(event(1), waits=True))
            async with await loopback.connect() as stream:
                await stream.send(request_bytes("/review/1"))
                begin = await stream.receive()
                monkeypatch.setattr(pool, "acquire", refuse_connection)
                with anyio.fail_after(3.5):
                    answer = begin + await read_to_end(stream)
        assert b"id: 1" in answer
        assert not answer.endswith(END)

    async def test_one_that_takes_connections_is_waited_for(self) -> None:
        """An engine put the stream off; it goes on by itself."""

        async def handler(request: bytes, stream: SocketStream) -> None:
            await stream.send(stream_head(request) + event(1))
            await anyio.sleep(2.6)
            await stream.send(event(2) + END)

        async with start_routed() as loopback:
            change_route(loopback, max_attempts=1)
            await loopback.add_server("s-1", handler)
            answer = await loopback.ask("/review/1")
        assert b"id: 2" in answer
        assert answer.endswith(END)


async def refuse_connection(
    address: str, max_idle_s: float
) -> UpstreamConnection:
    """Make no connection, as where the machine has lost power."""
    raise ConnectFailed("it takes no connection")
