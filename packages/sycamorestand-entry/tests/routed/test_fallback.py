"""A stream settles for what can be had soonest before its caller leaves."""

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
from sycamorestand_decisions.arrivals import Allowance
from sycamorestand_decisions.attempt_timeouts import AnswerTime

pytestmark = pytest.mark.anyio
# Half of it is waited for before the fallback.
SILENCE_LIMIT_MS: Final = 2400
SIZES: Final = ("small", "middle", "large")
MODEL: Final = re.compile(rb"x-model: (\w+)")
RANK: Final = re.compile(rb"x-priority: (\d)")
END: Final = b"0\r\n\r\n"


async def answer(request: bytes, stream: SocketStream, sure: int) -> None:
    """Answer with two events, as sure of them as told, 0 to 100."""
    head = answer_head(
        request,
        b"content-type: text/event-stream",
        b"transfer-encoding: chunked",
        b"x-confidence: %d" % sure,
    )
    await stream.send(head + event(1) + event(2) + END)


async def only_small(request: bytes, stream: SocketStream) -> None:
    """Answer poorly as the small model; others never come to it."""
    if model_of(request) == b"small":
        await answer(request, stream, sure=10)
    else:
        await anyio.sleep(30)


async def only_urgent(request: bytes, stream: SocketStream) -> None:
    """Begin only what is first in the order of reading."""
    if rank_of(request) == 0:
        await answer(request, stream, sure=90)
    else:
        await anyio.sleep(30)


class TestFallback:
    async def test_an_answer_dropped_for_a_larger_model_is_had_again(
        self,
    ) -> None:
        """The larger model never comes to the prompt; the caller leaves."""
        async with start_routed() as loopback:
            got = await ask(loopback, only_small, "s-1", "s-2")
            sent = loopback.requests
        assert got.endswith(END)
        models = [model_of(request) for _, request in sent]
        assert models == [b"small", b"large", b"small"]
        assert rank_of(sent[2][1]) == 0
        assert sent[2][0] == sent[0][0]

    async def test_what_waits_behind_others_is_read_next(self) -> None:
        """Shorter prompts are read first for as long as they come."""
        async with start_routed() as loopback:
            got = await ask(loopback, only_urgent, "s-1")
            ranks = [rank_of(request) for _, request in loopback.requests]
        assert got.endswith(END)
        assert ranks[0] > 0
        assert ranks[1:] == [0]

    async def test_after_all_attempts_it_goes_back_to_a_server(self) -> None:
        """Three servers were left unread; a fourth may not be asked."""
        async with start_routed() as loopback:
            names = ("s-1", "s-2", "s-3", "s-4")
            got = await ask(loopback, only_urgent, *names, tokens="400,100")
            asked = {name for name, _ in loopback.requests}
        assert got.endswith(END)
        assert len(asked) <= 3

    async def test_what_ran_as_often_as_it_may_is_not_run_again(self) -> None:
        """Every model began an answer; the last one hangs in its first."""

        async def hangs(request: bytes, stream: SocketStream) -> None:
            if model_of(request) == b"large":
                head = answer_head(
                    request,
                    b"content-type: text/event-stream",
                    b"transfer-encoding: chunked",
                )
                await stream.send(head)
                await anyio.sleep(30)
            await answer(request, stream, sure=46)

        async with start_routed() as loopback:
            await ask(loopback, hangs, "s-1", "s-2", "s-3", "s-4")
            models = [model_of(request) for _, request in loopback.requests]
        assert models == [b"small", b"middle", b"large"]

    async def test_without_a_server_for_it_the_wait_goes_on(self) -> None:
        """The only server is not heard of any more, and answers late."""

        async def late(request: bytes, stream: SocketStream) -> None:
            loopback.control.servers.clear()
            await anyio.sleep(SILENCE_LIMIT_MS / 1000 * 0.8)
            await answer(request, stream, sure=90)

        async with start_routed() as loopback:
            got = await ask(loopback, late, "s-1")
            assert len(loopback.requests) == 1
        assert got.endswith(END)

    async def test_it_leaves_the_time_that_answers_take(self) -> None:
        """The caller's second try has half of its time left.

        Read in time, the answer was cut at the end of the caller's time.
        """

        async def slowly(request: bytes, stream: SocketStream) -> None:
            if rank_of(request) > 0:
                await anyio.sleep(30)
            await stream.send(stream_head(request) + event(1))
            await anyio.sleep(2.0)
            await stream.send(event(2) + END)

        async with start_routed() as loopback:
            loopback.entry.context.answer_times.record_answer(
                "review", AnswerTime(0.0, 2.2, 1)
            )
            got = await ask(loopback, slowly, "s-1", silence_limit_ms=8000)
        assert got.endswith(END)

    async def test_climbs_leave_an_arrival_for_it(self) -> None:
        """Others' climbs had spent the budget when it was needed."""
        allowance = Allowance(ratio=0.9, slack=60.0, window_s=60.0)
        settings = SETTINGS._replace(allowance=allowance)
        async with start_routed(settings) as loopback:
            loopback.control.entries = 10
            arrivals = loopback.entry.context.arrivals
            for _ in range(2):
                arrivals.record_first_arrival("stock", time.monotonic())
            got = await ask(loopback, only_urgent, "s-1", "s-2")
            models = [model_of(request) for _, request in loopback.requests]
        assert got.endswith(END)
        assert models == [b"small", b"small"]

    async def test_it_draws_on_the_budget_of_arrivals(self) -> None:
        """All wait at once: sent again, they would double the load."""
        allowance = Allowance(ratio=0.1, slack=0.0, window_s=60.0)
        settings = SETTINGS._replace(allowance=allowance)
        async with start_routed(settings) as loopback:
            await ask(loopback, only_urgent, "s-1", "s-2")
            assert len(loopback.requests) == 1


async def ask(
    loopback: RoutedLoopback,
    handler: Handler,
    *servers: str,
    tokens: str = "40000,100",
    silence_limit_ms: int = SILENCE_LIMIT_MS,
) -> bytes:
    """Return the answer of servers with this handler to a long prompt."""
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
    return await loopback.ask("/review/1", x_model="*", x_tokens=tokens)


def model_of(request: bytes) -> bytes:
    """Return the model that is to answer."""
    found = MODEL.search(request)
    return found.group(1) if found else b""


def rank_of(request: bytes) -> int:
    """Return the place in the engine's order."""
    found = RANK.search(request)
    return int(found.group(1)) if found else -1
