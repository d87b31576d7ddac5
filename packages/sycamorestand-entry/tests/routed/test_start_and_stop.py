"""An entry's start and planned stop, as callers on routes see them."""

from __future__ import annotations

from typing import Final

import anyio
from anyio.abc import SocketStream
import pytest

from sycamorestand_bench.fakes.control_port import FakeControlPort
from sycamorestand_bench.fakes.routed import answer_bytes
from sycamorestand_bench.fakes.routed import answer_head
from sycamorestand_bench.fakes.routed import event
from sycamorestand_bench.fakes.routed import read_to_end
from sycamorestand_bench.fakes.routed import request_bytes
from sycamorestand_bench.fakes.routed import RoutedLoopback
from sycamorestand_bench.fakes.routed import SETTINGS
from sycamorestand_bench.fakes.routed import start_routed
from sycamorestand_bench.fakes.routed import stream_head
from sycamorestand_bench.fakes.routed import with_sizes
from sycamorestand_decisions.attempt_timeouts import ANSWERS_KEPT
from sycamorestand_decisions.attempt_timeouts import AnswerTime
from sycamorestand_decisions.starting import hold_s
from sycamorestand_decisions.starting import STARTING_S
from sycamorestand_model.entry_reports import EntryAddress

pytestmark = pytest.mark.anyio
# Less than the route's timeout, more than the answers of a test take.
LIMITED: Final = SETTINGS._replace(stop_limit_s=3.0)


class TestStart:
    async def test_a_request_waits_for_the_lease(self) -> None:
        """All entries were killed; this one is back, its lease is not yet.

        The caller may come back once, and no other entry is there for it.
        It was turned away by a port that nobody listened on; now it gets
        its answer as soon as the lease is there.
        """
        async with start_routed() as loopback:
            await loopback.add_server("s-1", _answer)
            loopback.control.lease_s = 0.0
            async with anyio.create_task_group() as group:
                group.start_soon(_lease_after, loopback.control, 0.1)
                answer = await loopback.ask("/stock/1", x_deadline_ms="2500")
        assert answer.startswith(b"HTTP/1.1 200")

    async def test_a_request_waits_for_the_first_server(self) -> None:
        """The lease is there, and no server has announced itself again."""
        async with start_routed() as loopback:

            async def announce_later() -> None:
                await anyio.sleep(0.1)
                await loopback.add_server("s-1", _answer)

            async with anyio.create_task_group() as group:
                group.start_soon(announce_later)
                answer = await loopback.ask("/stock/1", x_deadline_ms="2500")
        assert answer.startswith(b"HTTP/1.1 200")

    async def test_no_lease_in_time_is_refused_with_time_left(self) -> None:
        """Control is down. The caller is told while it has time to go on."""
        async with start_routed() as loopback:
            loopback.control.lease_s = 0.0
            answer = await loopback.ask("/stock/1", x_deadline_ms="1000")
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"retry-after: 0.30" in answer
        assert loopback.requests == []

    async def test_who_is_cut_off_later_refuses_at_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """An entry that has run for long loses its lease in a partition.

        Nobody knows when that ends, and other entries are there.
        """
        waits: list[float] = []

        def later_s(since_start_s: float, left_s: float, held: int) -> float:
            waits.append(hold_s(since_start_s + STARTING_S, left_s, held))
            return waits[-1]

        monkeypatch.setattr("sycamorestand_entry.start_hold.hold_s", later_s)
        async with start_routed() as loopback:
            loopback.control.lease_s = 0.0
            answer = await loopback.ask("/stock/1", x_deadline_ms="60000")
        assert answer.startswith(b"HTTP/1.1 503")
        assert waits == [0.0]


async def _answer(request: bytes, stream: SocketStream) -> None:
    await stream.send(answer_bytes(request))


async def _lease_after(control: FakeControlPort, seconds: float) -> None:
    await anyio.sleep(seconds)
    control.lease_s = 3.0


class TestBoundedStop:
    async def test_idle_connections_do_not_hold_it(self) -> None:
        """A caller keeps an idle connection; the entry is stopped.

        To wait for that connection's timer takes longer than a process is
        given to stop; it would be killed with what still runs.
        """

        async def handler(request: bytes, stream: SocketStream) -> None:
            await stream.send(answer_bytes(request))

        settings = SETTINGS._replace(stop_limit_s=5.0, keep_alive_s=60)
        async with start_routed(settings) as loopback:
            await loopback.add_server("s-1", handler)
            async with await loopback.connect() as stream:
                request = request_bytes("/order/1").replace(b"close", b"x")
                await stream.send(request)
                assert await stream.receive()
                loopback.entry.begin_stop()
                with anyio.fail_after(4):
                    await loopback.entry.stopped.wait()

    async def test_stream_that_runs_is_finished(self) -> None:
        async def handler(request: bytes, stream: SocketStream) -> None:
            await stream.send(stream_head(request) + event(1))
            await anyio.sleep(1.0)
            await stream.send(event(2) + b"0\r\n\r\n")

        settings = SETTINGS._replace(stop_limit_s=8.0)
        async with start_routed(settings) as loopback:
            await loopback.add_server("s-1", handler)
            async with await loopback.connect() as stream:
                await stream.send(request_bytes("/review/1"))
                begin = await stream.receive()
                loopback.entry.begin_stop()
                answer = begin + await read_to_end(stream)
            with anyio.fail_after(7):
                await loopback.entry.stopped.wait()
        assert b"id: 2" in answer
        assert answer.endswith(b"0\r\n\r\n")

    async def test_a_climb_that_the_stop_would_end_is_given_up(self) -> None:
        """A larger model is asked, and the process ends before it answers."""

        async def handler(request: bytes, stream: SocketStream) -> None:
            if b"x-model: small" not in request:
                await anyio.sleep(30)
            head = answer_head(
                request,
                b"content-type: text/event-stream",
                b"transfer-encoding: chunked",
                b"x-confidence: 20",
            )
            await stream.send(head + event(1) + b"0\r\n\r\n")

        settings = SETTINGS._replace(stop_limit_s=1.6)
        async with start_routed(settings) as loopback:
            in_force = loopback.control.in_force()
            loopback.control.configuration = with_sizes(in_force)
            await loopback.add_server("s-1", handler)
            await loopback.add_server("s-2", handler)
            async with await loopback.connect() as stream:
                loopback.entry.begin_stop()
                await stream.send(request_bytes("/review/1", x_model="*"))
                with anyio.fail_after(5):
                    answer = await read_to_end(stream)
        assert answer.endswith(b"0\r\n\r\n")

    async def test_who_waits_at_the_end_is_told(self) -> None:
        """Callers saw a connection that closed, and not what had run."""

        async def handler(request: bytes, stream: SocketStream) -> None:
            await anyio.sleep(30)

        settings = SETTINGS._replace(stop_limit_s=1.0)
        async with start_routed(settings) as loopback:
            await loopback.add_server("s-1", handler)
            async with await loopback.connect() as stream:
                await stream.send(request_bytes("/review/1"))
                await anyio.sleep(0.1)
                loopback.entry.begin_stop()
                with anyio.fail_after(5):
                    answer = await read_to_end(stream)
        assert answer.startswith(b"HTTP/1.1 504")

    async def test_stream_without_an_end_is_broken_off(self) -> None:
        """A stream runs on beyond the time that a process is given.

        The entry ends by itself before it would be killed, and the stream
        does not look complete.
        """

        async def handler(request: bytes, stream: SocketStream) -> None:
            await stream.send(stream_head(request) + event(1))
            await anyio.sleep(30)

        settings = SETTINGS._replace(stop_limit_s=0.8)
        async with start_routed(settings) as loopback:
            await loopback.add_server("s-1", handler)
            async with await loopback.connect() as stream:
                await stream.send(request_bytes("/review/1"))
                begin = await stream.receive()
                loopback.entry.begin_stop()
                with anyio.fail_after(5):
                    answer = begin + await read_to_end(stream)
                    await loopback.entry.stopped.wait()
        assert not answer.endswith(b"0\r\n\r\n")

    async def test_a_stream_that_it_cuts_counts_against_no_server(
        self,
    ) -> None:
        """Planned stops counted as failures of a version."""

        async def handler(request: bytes, stream: SocketStream) -> None:
            await stream.send(stream_head(request) + event(1))
            for number in range(2, 40):
                await anyio.sleep(0.1)
                await stream.send(event(number))

        settings = SETTINGS._replace(stop_limit_s=0.8)
        async with start_routed(settings) as loopback:
            await loopback.add_server("s-1", handler)
            async with await loopback.connect() as stream:
                await stream.send(request_bytes("/review/1"))
                await stream.receive()
                loopback.entry.begin_stop()
                with anyio.fail_after(5):
                    await read_to_end(stream)
            samples = loopback.control.samples
        assert samples
        assert not any(sample.failed for sample in samples)


class TestStoppingEntry:
    async def test_a_stream_that_it_would_cut_is_refused_at_once(self) -> None:
        """Streams were accepted after a stop had begun, and cut by it."""
        async with start_routed(LIMITED) as loopback:
            await loopback.add_server("s-1", _answer)
            begin_slow_stop(loopback, others=True)
            answer = await loopback.ask("/review/1", x_deadline_ms="20000")
            sent = loopback.requests
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"retry-after: 0.10" in answer
        assert sent == []

    async def test_it_is_taken_where_no_other_entry_is(self) -> None:
        """A refusal would leave the caller with nobody to ask."""
        async with start_routed(LIMITED) as loopback:
            await loopback.add_server("s-1", _answer)
            begin_slow_stop(loopback, others=False)
            answer = await loopback.ask("/review/1", x_deadline_ms="20000")
        assert answer.startswith(b"HTTP/1.1 200")

    async def test_a_stream_of_unknown_length_is_refused(self) -> None:
        """The first to stop, soon after its start, took streams and cut."""
        async with start_routed(LIMITED) as loopback:
            await loopback.add_server("s-1", _answer)
            begin_slow_stop(loopback, others=True, known=False)
            answer = await loopback.ask("/review/1", x_deadline_ms="20000")
        assert answer.startswith(b"HTTP/1.1 503")

    async def test_what_ends_in_time_is_taken(self) -> None:
        async with start_routed(LIMITED) as loopback:
            await loopback.add_server("s-1", _answer)
            begin_slow_stop(loopback, others=True)
            answer = await loopback.ask("/stock/1", x_deadline_ms="20000")
        assert answer.startswith(b"HTTP/1.1 200")


def begin_slow_stop(
    loopback: RoutedLoopback, others: bool, known: bool = True
) -> None:
    """Begin a stop of an entry whose last streams took long to answer."""
    context = loopback.entry.context
    for _ in range(ANSWERS_KEPT if known else 0):
        longest = AnswerTime(0.5, LIMITED.stop_limit_s, 10)
        context.answer_times.record_answer("review", longest)
        context.answer_times.record_answer("stock", AnswerTime(0.1, 0.0, 0))
    here = EntryAddress(LIMITED.vm, "marietta", "127.0.0.1", 1, stopping=True)
    there = EntryAddress("vm-2", "marietta", "127.0.0.1", 2)
    loopback.control.entry_addresses = (here, there) if others else (here,)
    loopback.entry.begin_stop()
