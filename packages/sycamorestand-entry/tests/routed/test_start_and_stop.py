"""Start and planned stop of an entry, as seen by callers of its routes."""

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
# Shorter than the route's timeout, longer than the answers of a test.
LIMITED: Final = SETTINGS._replace(stop_limit_s=3.0)


class TestStart:
    async def test_request_waits_for_the_lease(self) -> None:
        """All entries were killed; this one runs again without a lease.

        The caller may retry once, and no other entry can answer it. Without
        the wait, its connection or its request would be refused; with it,
        the caller gets its answer as soon as the lease is granted.
        """
        async with start_routed() as loopback:
            await loopback.add_server("s-1", _answer)
            loopback.control.lease_s = 0.0
            async with anyio.create_task_group() as group:
                group.start_soon(_grant_lease_after, loopback.control, 0.1)
                answer = await loopback.ask("/stock/1", x_deadline_ms="2500")
        assert answer.startswith(b"HTTP/1.1 200")

    async def test_request_waits_for_the_first_server(self) -> None:
        """The entry has its lease, but no server has announced itself yet."""
        async with start_routed() as loopback:

            async def announce_later() -> None:
                await anyio.sleep(0.1)
                await loopback.add_server("s-1", _answer)

            async with anyio.create_task_group() as group:
                group.start_soon(announce_later)
                answer = await loopback.ask("/stock/1", x_deadline_ms="2500")
        assert answer.startswith(b"HTTP/1.1 200")

    async def test_request_without_lease_is_refused_with_time_left(
        self,
    ) -> None:
        """Control is down; the caller is refused while it can still retry."""
        async with start_routed() as loopback:
            loopback.control.lease_s = 0.0
            answer = await loopback.ask("/stock/1", x_deadline_ms="1000")
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"retry-after: 0.30" in answer
        assert loopback.requests == []

    async def test_entry_cut_off_after_its_start_refuses_at_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """An entry that has run for long loses its lease in a partition.

        The partition may last, and other entries can answer the caller.
        """
        waits: list[float] = []

        def hold_after_start_s(
            since_start_s: float, left_s: float, held: int
        ) -> float:
            waits.append(hold_s(since_start_s + STARTING_S, left_s, held))
            return waits[-1]

        monkeypatch.setattr(
            "sycamorestand_entry.start_hold.hold_s", hold_after_start_s
        )
        async with start_routed() as loopback:
            loopback.control.lease_s = 0.0
            answer = await loopback.ask("/stock/1", x_deadline_ms="60000")
        assert answer.startswith(b"HTTP/1.1 503")
        assert waits == [0.0]


async def _answer(request: bytes, stream: SocketStream) -> None:
    await stream.send(answer_bytes(request))


async def _grant_lease_after(control: FakeControlPort, seconds: float) -> None:
    await anyio.sleep(seconds)
    control.lease_s = 3.0


class TestBoundedStop:
    async def test_idle_connections_do_not_delay_the_stop(self) -> None:
        """A caller keeps an idle connection while the entry is stopped.

        The connection's keep-alive time exceeds the stop limit. An entry
        that waited for it would be killed together with its requests.
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

    async def test_running_stream_is_finished(self) -> None:
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

    async def test_escalation_that_the_stop_would_cut_falls_back(self) -> None:
        """The process would end before the larger model answers."""

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

    async def test_waiting_caller_gets_an_error_before_the_end(self) -> None:
        """A closed connection would not tell the caller what had run."""

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

    async def test_endless_stream_is_broken_off(self) -> None:
        """A stream runs longer than the stop limit.

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

    async def test_cut_stream_is_no_failure_of_its_version(
        self,
    ) -> None:
        """Planned stops of entries counted as failures of a version."""

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
    async def test_stream_that_the_stop_would_cut_is_refused_at_once(
        self,
    ) -> None:
        """The entry accepted streams after a stop had begun, and cut them."""
        async with start_routed(LIMITED) as loopback:
            await loopback.add_server("s-1", _answer)
            begin_slow_stop(loopback, others=True)
            answer = await loopback.ask("/review/1", x_deadline_ms="20000")
            sent = loopback.requests
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"retry-after: 0.10" in answer
        assert sent == []

    async def test_stream_is_accepted_without_another_entry(self) -> None:
        """After a refusal the caller could reach no other entry."""
        async with start_routed(LIMITED) as loopback:
            await loopback.add_server("s-1", _answer)
            begin_slow_stop(loopback, others=False)
            answer = await loopback.ask("/review/1", x_deadline_ms="20000")
        assert answer.startswith(b"HTTP/1.1 200")

    async def test_stream_of_unknown_duration_is_refused(self) -> None:
        """An entry stops soon after its start, with few finished answers.

        It accepted streams and cut them.
        """
        async with start_routed(LIMITED) as loopback:
            await loopback.add_server("s-1", _answer)
            begin_slow_stop(loopback, others=True, has_answers=False)
            answer = await loopback.ask("/review/1", x_deadline_ms="20000")
        assert answer.startswith(b"HTTP/1.1 503")

    async def test_call_that_ends_in_time_is_accepted(self) -> None:
        async with start_routed(LIMITED) as loopback:
            await loopback.add_server("s-1", _answer)
            begin_slow_stop(loopback, others=True)
            answer = await loopback.ask("/stock/1", x_deadline_ms="20000")
        assert answer.startswith(b"HTTP/1.1 200")


def begin_slow_stop(
    loopback: RoutedLoopback, others: bool, has_answers: bool = True
) -> None:
    """Begin the stop of an entry whose last streams took long to answer.

    With ``others``, another entry serves. Without ``has_answers``, no answer
    of this entry has finished yet.
    """
    context = loopback.entry.context
    for _ in range(ANSWERS_KEPT if has_answers else 0):
        longest = AnswerTime(0.5, LIMITED.stop_limit_s, 10)
        context.answer_times.record_answer("review", longest)
        context.answer_times.record_answer("stock", AnswerTime(0.1, 0.0, 0))
    here = EntryAddress(LIMITED.vm, "marietta", "127.0.0.1", 1, stopping=True)
    there = EntryAddress("vm-2", "marietta", "127.0.0.1", 2)
    loopback.control.entry_addresses = (here, there) if others else (here,)
    loopback.entry.begin_stop()
