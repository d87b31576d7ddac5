"""Broken streams resume at another server, complete and in order."""

from __future__ import annotations

import anyio
from anyio.abc import SocketStream
import pytest

from sycamorestand_bench.fakes.entry_group import earn_arrivals
from sycamorestand_bench.fakes.routed import event
from sycamorestand_bench.fakes.routed import Handler
from sycamorestand_bench.fakes.routed import read_to_end
from sycamorestand_bench.fakes.routed import request_bytes
from sycamorestand_bench.fakes.routed import RoutedLoopback
from sycamorestand_bench.fakes.routed import SETTINGS
from sycamorestand_bench.fakes.routed import start_routed
from sycamorestand_bench.fakes.routed import stream_head
from sycamorestand_decisions.arrivals import Allowance
from sycamorestand_decisions.prefill import RANKS
from sycamorestand_entry.upstream import ConnectTimedOut
from sycamorestand_entry.upstream import UpstreamConnection

pytestmark = pytest.mark.anyio
END = b"0\r\n\r\n"


def last_event(request: bytes) -> int:
    """Return the last event that the caller has according to the request."""
    _, found, rest = request.partition(b"last-event-id: ")
    return int(rest.split(b"\r\n")[0]) if found else 0


def rank(request: bytes) -> int:
    """Return the scheduling rank of the request at the engine."""
    return int(request.partition(b"x-priority: ")[2][:1])


def change_route(loopback: RoutedLoopback, **fields: int) -> None:
    """Replace these fields of the route for streams."""
    in_force = loopback.control.in_force()
    declared = in_force.declarations
    review = declared.routes["review"]._replace(**fields)
    routes = {**declared.routes, "review": review}
    loopback.control.configuration = in_force._replace(
        declarations=declared._replace(routes=routes)
    )


def set_missed_target_latency(loopback: RoutedLoopback) -> None:
    """Give streams a target latency that they miss before they begin."""
    change_route(loopback, target_latency_ms=1)


async def resume(request: bytes, stream: SocketStream) -> None:
    """Answer with the events after the caller's last one up to the fifth."""
    first = last_event(request) + 1
    events = b"".join(event(number) for number in range(first, 6))
    await stream.send(stream_head(request) + events + END)


def break_once(after: bytes, hangs: bool = False) -> Handler:
    """Return a handler that breaks off once, or hangs, after these bytes.

    It answers the next request completely.
    """
    done = False

    async def handler(request: bytes, stream: SocketStream) -> None:
        nonlocal done
        if done:
            await resume(request, stream)
            return
        done = True
        await stream.send(stream_head(request) + after)
        if hangs:
            await anyio.sleep(30)
        raise anyio.EndOfStream

    return handler


async def ask_two(
    loopback: RoutedLoopback, handler: Handler, **headers: str
) -> bytes:
    """Return the caller's stream from two servers with this handler."""
    await loopback.add_server("s-1", handler)
    await loopback.add_server("s-2", handler)
    return await loopback.ask("/review/1", **headers)


class TestResume:
    async def test_resumes_after_the_last_whole_event(self) -> None:
        """A server breaks off in the middle of the third event."""
        async with start_routed() as loopback:
            third = event(3)[:-6]
            handler = break_once(event(1) + event(2) + third)
            answer = await ask_two(loopback, handler)
            (_, second) = loopback.requests[1]
        assert answer.startswith(b"HTTP/1.1 200")
        assert answer.endswith(END)
        assert answer.count(b"id: ") == 5
        assert last_event(second) == 2

    async def test_resumed_stream_is_not_scheduled_last(self) -> None:
        """A server is lost long after the stream's target latency.

        The caller waits in the middle of its answer. An engine that treated
        the resumed request as late anyway would schedule it after all
        others, and the pause would be too long as well.
        """
        async with start_routed() as loopback:
            set_missed_target_latency(loopback)
            handler = break_once(event(1) + event(2))
            answer = await ask_two(loopback, handler, x_tokens="200,50")
            (_, second) = loopback.requests[1]
        assert answer.endswith(END)
        assert b"x-priority: 0\r\n" in second

    async def test_resumed_long_prompt_is_not_scheduled_last(self) -> None:
        """The prefill takes longer than the longest allowed pause."""
        async with start_routed() as loopback:
            set_missed_target_latency(loopback)
            prefill_rates = loopback.entry.context.prefill_rates
            prefill_rates.observe("stock", "", 40_000, 1.0)
            handler = break_once(event(1) + event(2))
            answer = await ask_two(loopback, handler, x_tokens="40000,50")
            (_, second) = loopback.requests[1]
        assert answer.endswith(END)
        assert rank(second) < RANKS - 1

    async def test_last_event_sent_by_the_caller_is_kept(self) -> None:
        """A caller resumes after the second event; the server breaks at once.

        The next server must continue there and not restart the stream.
        """
        async with start_routed() as loopback:
            answer = await ask_two(
                loopback, break_once(b""), last_event_id="2"
            )
            sent = [last_event(request) for _, request in loopback.requests]
        assert sent == [2, 2]
        assert b"id: 3" in answer
        assert b"id: 2" not in answer

    @pytest.mark.parametrize("first", [1, 4])
    async def test_run_that_repeats_or_skips_events_is_rejected(
        self, first: int
    ) -> None:
        """The second server restarts the stream, or skips an event.

        The caller gets no event of it, and its answer breaks off.
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

    async def test_hanging_run_is_cancelled_before_the_next(self) -> None:
        """A server hangs after two events, and another resumes the stream.

        The first server's connection must be closed before that.
        """
        closed = anyio.Event()

        async def handler(request: bytes, stream: SocketStream) -> None:
            if last_event(request):
                with anyio.fail_after(1):
                    await closed.wait()
                await resume(request, stream)
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


class TestTimeouts:
    @pytest.mark.parametrize(
        ("tokens", "servers"), [("20000,100", 1), ("200,100", 2)]
    )
    async def test_long_prompt_is_not_moved_during_its_prefill(
        self, tokens: str, servers: int
    ) -> None:
        """The first event comes after 1.7 s, a large part of the target.

        A short prompt moves to another server after 1.2 s, as its server
        seems to hang. The prefill of a long prompt takes that long, and
        another server would only start it again.
        """

        async def handler(request: bytes, stream: SocketStream) -> None:
            if len(loopback.requests) == 1:
                await anyio.sleep(1.7)
            await resume(request, stream)

        async with start_routed() as loopback:
            answer = await ask_two(loopback, handler, x_tokens=tokens)
            assert len(loopback.requests) == servers
        assert answer.endswith(END)

    async def test_short_prompt_does_not_wait_behind_a_long_one(
        self,
    ) -> None:
        """A server is busy with a long prompt for 0.9 s.

        The short prompt behind it moves to another server after a tenth of
        its target latency and is answered there. The abandoned attempt is
        no failure of its version, as its prefill had not begun.
        """

        async def handler(request: bytes, stream: SocketStream) -> None:
            if len(loopback.requests) == 1:
                await anyio.sleep(0.9)
            await resume(request, stream)

        async with start_routed() as loopback:
            answer = await ask_two(loopback, handler, x_tokens="200,100")
            assert len(loopback.requests) == 2
            samples = loopback.control.samples
        assert answer.endswith(END)
        assert not any(sample.failed for sample in samples)

    @pytest.mark.parametrize(("priority", "servers"), [(0, 2), (1, 1)])
    async def test_only_an_urgent_request_moves_with_few_arrivals(
        self, priority: int, servers: int
    ) -> None:
        """Guards against moves that take what escalations need.

        Between a quarter and half of what the entry may keep is left.
        """

        async def handler(request: bytes, stream: SocketStream) -> None:
            if len(loopback.requests) == 1:
                await anyio.sleep(0.9)
            await resume(request, stream)

        allowance = Allowance(ratio=0.9, slack=60.0, window_s=60.0)
        settings = SETTINGS._replace(allowance=allowance)
        async with start_routed(settings) as loopback:
            loopback.control.entries = 10
            change_route(loopback, priority=priority)
            context = loopback.entry.context
            for _ in range(16):
                context.arrivals.record_first_arrival("stock", context.now_s())
            for _ in range(3):
                context.arrivals.try_spend("stock", 10, context.now_s())
            answer = await ask_two(loopback, handler, x_tokens="200,100")
            assert len(loopback.requests) == servers
        assert answer.endswith(END)

    async def test_hanging_stream_ends_at_the_deadline(self) -> None:
        """The only server hangs in the middle of each stream.

        The stream ends at the caller's deadline after 1.2 s and does not
        look complete.
        """

        async def hang(request: bytes, stream: SocketStream) -> None:
            number = last_event(request) + 1
            await stream.send(stream_head(request) + event(number))
            await anyio.sleep(30)

        async with start_routed() as loopback:
            await loopback.add_server("s-1", hang)
            with anyio.fail_after(5):
                answer = await loopback.ask("/review/1", x_deadline_ms="1200")
        assert b"id: 1" in answer
        assert not answer.endswith(END)

    async def test_stream_to_a_caller_that_does_not_read_ends(self) -> None:
        """A caller requests a long stream and reads none of it.

        The entry closes the server's connection at the caller's deadline.
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
    async def test_stream_of_a_lost_server_ends_without_an_attempt_left(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A server loses power, and its stream may not be retried.

        The stream stayed silent until its caller left. Once it ends, the
        caller can resume it.
        """
        async with start_routed() as loopback:
            pool = loopback.entry.context.pool
            change_route(loopback, max_attempts=1)
            await loopback.add_server("s-1", break_once(event(1), hangs=True))
            async with await loopback.connect() as stream:
                await stream.send(request_bytes("/review/1"))
                begin = await stream.receive()
                monkeypatch.setattr(pool, "acquire", refuse_connection)
                with anyio.fail_after(3.5):
                    answer = begin + await read_to_end(stream)
        assert b"id: 1" in answer
        assert not answer.endswith(END)

    async def test_server_that_accepts_connections_is_waited_for(self) -> None:
        """An engine preempted the stream and resumes it by itself."""

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
    """Refuse a connection, as if the machine had lost power."""
    raise ConnectTimedOut("it takes no connection")


class TestResetsOfServersThatLive:
    async def test_third_server_answers(self) -> None:
        """Two lost answers counted as two servers that ended under it."""
        async with start_routed() as loopback:
            asked = 0

            async def answer(request: bytes, stream: SocketStream) -> None:
                nonlocal asked
                asked += 1
                if asked > 2:
                    await resume(request, stream)
                    return
                await stream.send(stream_head(request))
                await anyio.sleep(0.1)
                raise anyio.EndOfStream

            for number in range(4):
                await loopback.add_server(f"s-{number}", answer)
            earn_arrivals(loopback, 100)
            served = await loopback.ask("/review/1", x_parts="first:800,own:5")
        assert served.endswith(END)
        assert served.count(b"id: ") == 5
        assert asked == 3
