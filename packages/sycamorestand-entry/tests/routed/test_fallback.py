"""A waiting stream falls back to the smallest model in time."""

from __future__ import annotations

import re
import time
from typing import Final

import anyio
from anyio.abc import SocketStream
import pytest

from sycamorestand_bench.fakes.routed import answer_head
from sycamorestand_bench.fakes.routed import event
from sycamorestand_bench.fakes.routed import Handler
from sycamorestand_bench.fakes.routed import RoutedLoopback
from sycamorestand_bench.fakes.routed import SETTINGS
from sycamorestand_bench.fakes.routed import start_routed
from sycamorestand_bench.fakes.routed import stream_head
from sycamorestand_decisions.answer_lengths import AnswerLength
from sycamorestand_decisions.answer_lengths import ANSWERS_KEPT
from sycamorestand_decisions.arrivals import Allowance
from sycamorestand_decisions.attempt_timeouts import AnswerTime

pytestmark = pytest.mark.anyio
# The fallback begins after half of this time.
SILENCE_LIMIT_MS: Final = 2400
SIZES: Final = ("small", "middle", "large")
MODEL: Final = re.compile(rb"x-model: (\w+)")
RANK: Final = re.compile(rb"x-priority: (\d)")
END: Final = b"0\r\n\r\n"


async def answer(
    request: bytes, stream: SocketStream, confidence: int
) -> None:
    """Answer with two events and a confidence from 0 to 100."""
    head = answer_head(
        request,
        b"content-type: text/event-stream",
        b"transfer-encoding: chunked",
        b"x-confidence: %d" % confidence,
    )
    await stream.send(head + event(1) + event(2) + END)


async def answer_if_small(request: bytes, stream: SocketStream) -> None:
    """Answer poorly as the small model; larger models never answer."""
    if model_of(request) == b"small":
        await answer(request, stream, confidence=10)
    else:
        await anyio.sleep(30)


async def answer_if_first_rank(request: bytes, stream: SocketStream) -> None:
    """Answer only requests of the first scheduling rank."""
    if rank_of(request) == 0:
        await answer(request, stream, confidence=90)
    else:
        await anyio.sleep(30)


class TestFallback:
    async def test_falls_back_to_the_model_whose_answer_was_dropped(
        self,
    ) -> None:
        """The larger model never answers, and the caller would leave."""
        async with start_routed() as loopback:
            received = await ask(loopback, answer_if_small, "s-1", "s-2")
            sent = loopback.requests
        assert received.endswith(END)
        models = [model_of(request) for _, request in sent]
        assert models == [b"small", b"large", b"small"]
        assert rank_of(sent[2][1]) == 0
        assert sent[2][0] == sent[0][0]

    async def test_fallback_has_the_first_rank(self) -> None:
        """The engine keeps reading shorter prompts before this one."""
        async with start_routed() as loopback:
            received = await ask(loopback, answer_if_first_rank, "s-1")
            ranks = [rank_of(request) for _, request in loopback.requests]
        assert received.endswith(END)
        assert ranks[0] > 0
        assert ranks[1:] == [0]

    async def test_fallback_returns_to_a_server_after_all_attempts(
        self,
    ) -> None:
        """Three servers began no answer; a fourth may not be asked."""
        async with start_routed() as loopback:
            names = ("s-1", "s-2", "s-3", "s-4")
            received = await ask(
                loopback, answer_if_first_rank, *names, tokens="400,100"
            )
            asked = {name for name, _ in loopback.requests}
        assert received.endswith(END)
        assert len(asked) <= 3

    async def test_no_fallback_after_max_attempts_runs(self) -> None:
        """Every model began an answer, and the last one hangs."""

        async def hang_if_large(request: bytes, stream: SocketStream) -> None:
            if model_of(request) == b"large":
                head = answer_head(
                    request,
                    b"content-type: text/event-stream",
                    b"transfer-encoding: chunked",
                )
                await stream.send(head)
                await anyio.sleep(30)
            await answer(request, stream, confidence=46)

        async with start_routed() as loopback:
            await ask(loopback, hang_if_large, "s-1", "s-2", "s-3", "s-4")
            models = [model_of(request) for _, request in loopback.requests]
        assert models == [b"small", b"middle", b"large"]

    async def test_call_keeps_waiting_without_a_server_to_fall_back_to(
        self,
    ) -> None:
        """The only server is no longer listed, and answers late."""

        async def answer_late(request: bytes, stream: SocketStream) -> None:
            loopback.control.servers.clear()
            await anyio.sleep(SILENCE_LIMIT_MS / 1000 * 0.8)
            await answer(request, stream, confidence=90)

        async with start_routed() as loopback:
            received = await ask(loopback, answer_late, "s-1")
            assert len(loopback.requests) == 1
        assert received.endswith(END)

    async def test_fallback_reserves_the_duration_of_an_answer(self) -> None:
        """An answer takes a large part of the caller's timeout.

        A fallback that began too late was cut at the caller's deadline.
        """

        async def answer_slowly(request: bytes, stream: SocketStream) -> None:
            if rank_of(request) > 0:
                await anyio.sleep(30)
            await stream.send(stream_head(request) + event(1))
            await anyio.sleep(2.0)
            await stream.send(event(2) + END)

        async with start_routed() as loopback:
            loopback.entry.context.answer_times.record_answer(
                "review", AnswerTime(0.0, 2.2, 1)
            )
            received = await ask(
                loopback, answer_slowly, "s-1", silence_limit_ms=8000
            )
        assert received.endswith(END)

    async def test_escalations_leave_an_arrival_for_the_fallback(self) -> None:
        """Escalations of other requests had spent the arrival budget."""
        allowance = Allowance(ratio=0.9, slack=60.0, window_s=60.0)
        settings = SETTINGS._replace(allowance=allowance)
        async with start_routed(settings) as loopback:
            loopback.control.entries = 10
            arrivals = loopback.entry.context.arrivals
            for _ in range(2):
                arrivals.record_first_arrival("stock", time.monotonic())
            received = await ask(loopback, answer_if_first_rank, "s-1", "s-2")
            models = [model_of(request) for _, request in loopback.requests]
        assert received.endswith(END)
        assert models == [b"small", b"small"]

    async def test_fallback_spends_the_arrival_budget(self) -> None:
        """If all waiting requests were sent again, the load would double."""
        allowance = Allowance(ratio=0.1, slack=0.0, window_s=60.0)
        settings = SETTINGS._replace(allowance=allowance)
        async with start_routed(settings) as loopback:
            await ask(loopback, answer_if_first_rank, "s-1", "s-2")
            assert len(loopback.requests) == 1


class TestBegunAnswer:
    async def test_fallback_leaves_the_rest_of_the_answer_its_time(
        self,
    ) -> None:
        """The engine puts off a long answer that is to end soon."""

        async def put_off(request: bytes, stream: SocketStream) -> None:
            if b"last-event-id" in request:
                await resume_slowly(request, stream)
            await begin_answer(request, stream)
            await anyio.sleep(30)

        async with start_routed() as loopback:
            learn_answers(loopback)
            received = await ask(
                loopback, put_off, "s-1", silence_limit_ms=8000
            )
        assert received.endswith(END)

    async def test_goes_on_with_a_model_that_reads_the_prompt_in_time(
        self,
    ) -> None:
        """The larger model's prefill would outlast the caller's deadline."""

        async def put_off(request: bytes, stream: SocketStream) -> None:
            if b"last-event-id" in request:
                if model_of(request) == b"large":
                    await anyio.sleep(30)
                await stream.send(stream_head(request) + event(11) + END)
            elif model_of(request) == b"small":
                await answer(request, stream, confidence=10)
            else:
                await begin_answer(request, stream)
                await anyio.sleep(30)

        async with start_routed() as loopback:
            learn_answers(loopback)
            rates = loopback.entry.context.prefill_rates
            rates.observe("stock", "small", 40_000, 0.1)
            rates.observe("stock", "large", 40_000, 2.0)
            received = await ask(
                loopback, put_off, "s-1", silence_limit_ms=8000
            )
            models = [model_of(request) for _, request in loopback.requests]
        assert models[:2] == [b"small", b"large"]
        assert b"large" not in models[2:]
        assert received.endswith(END)

    async def test_goes_on_with_its_model_while_there_is_time(self) -> None:
        """A smaller model may give a poorer rest of the answer."""

        async def put_off(request: bytes, stream: SocketStream) -> None:
            if b"last-event-id" in request:
                await stream.send(stream_head(request) + event(11) + END)
            elif model_of(request) == b"small":
                await answer(request, stream, confidence=10)
            else:
                await begin_answer(request, stream)
                await anyio.sleep(30)

        async with start_routed() as loopback:
            await ask(loopback, put_off, "s-1", silence_limit_ms=2400)
            models = [model_of(request) for _, request in loopback.requests]
        assert models == [b"small", b"large", b"large"]


class TestRank:
    async def test_answer_that_is_short_of_time_goes_first(self) -> None:
        """The engine puts off an answer that needs all of its time."""
        assert await first_rank(length_hint=720) == 0

    async def test_answer_with_time_has_the_rank_of_its_prefill(self) -> None:
        """If all answers went first, short prompts would wait for them."""
        assert await first_rank(length_hint=180) > 0
        assert await first_rank(length_hint=0) > 0

    async def test_answer_that_cannot_come_does_not_go_first(self) -> None:
        """Its prefill alone would outlast the caller's deadline."""
        assert await first_rank(length_hint=720, prefill_s=9.0) > 0


async def first_rank(length_hint: int, prefill_s: float = 0.1) -> int:
    """Return the rank of a stream whose caller gives this length hint."""

    async def answer_well(request: bytes, stream: SocketStream) -> None:
        await answer(request, stream, confidence=90)

    async with start_routed() as loopback:
        learn_answers(loopback, gap_s=0.05)
        rates = loopback.entry.context.prefill_rates
        rates.observe("stock", "small", 40_000, prefill_s)
        hint = str(length_hint)
        await ask(loopback, answer_well, "s-1", length_hint=hint)
        return rank_of(loopback.requests[0][1])


def learn_answers(loopback: RoutedLoopback, gap_s: float = 0.1) -> None:
    """Let the entry see answers of 30 events, ``gap_s`` between two.

    Their callers' hints were 180 tokens.
    """
    context = loopback.entry.context
    for _ in range(ANSWERS_KEPT):
        context.answer_lengths.record_answer("review", AnswerLength(30, 180))
    answer = AnswerTime(0.1, 30 * gap_s, 30)
    context.answer_times.record_answer("review", answer)


async def begin_answer(request: bytes, stream: SocketStream) -> None:
    """Send the head and the first ten events of an answer."""
    events = b"".join(event(number) for number in range(1, 11))
    await stream.send(stream_head(request) + events)


async def resume_slowly(request: bytes, stream: SocketStream) -> None:
    """Send the rest of an answer, 0.1 s between two events."""
    await stream.send(stream_head(request))
    for number in range(11, 31):
        await anyio.sleep(0.1)
        await stream.send(event(number))
    await stream.send(END)


async def ask(
    loopback: RoutedLoopback,
    handler: Handler,
    *servers: str,
    tokens: str = "40000,100",
    silence_limit_ms: int = SILENCE_LIMIT_MS,
    length_hint: str = "0",
) -> bytes:
    """Return the answer to a long prompt by servers with this handler."""
    in_force = loopback.control.in_force()
    declared = in_force.declarations
    review = declared.routes["review"]._replace(
        sizes=SIZES, silence_limit_ms=silence_limit_ms
    )
    routes = {**declared.routes, "review": review}
    loopback.control.configuration = in_force._replace(
        declarations=declared._replace(routes=routes)
    )
    for name in servers:
        await loopback.add_server(name, handler)
    return await loopback.ask(
        "/review/1", x_model="*", x_tokens=tokens, x_hint=length_hint
    )


def model_of(request: bytes) -> bytes:
    """Return the model that shall answer."""
    found = MODEL.search(request)
    return found.group(1) if found else b""


def rank_of(request: bytes) -> int:
    """Return the scheduling rank of the request, -1 if it has none."""
    found = RANK.search(request)
    return int(found.group(1)) if found else -1
