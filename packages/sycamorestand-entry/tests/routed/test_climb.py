"""A request climbs to a larger model, unless others wait behind it."""

from __future__ import annotations

import re
import time
from typing import Final

from anyio.abc import SocketStream
import pytest

from sycamorestand_bench.fakes.routed import answer_head
from sycamorestand_bench.fakes.routed import event
from sycamorestand_bench.fakes.routed import RoutedLoopback
from sycamorestand_bench.fakes.routed import SETTINGS
from sycamorestand_bench.fakes.routed import start_routed
from sycamorestand_bench.fakes.routed import with_sizes
from sycamorestand_decisions.arrivals import Allowance

pytestmark = pytest.mark.anyio
MODEL: Final = re.compile(rb"x-model: (\w+)")


class TestClimb:
    async def test_a_poor_answer_climbs(self) -> None:
        async with start_routed() as loopback:
            answer, models = await ask_with_sizes(loopback)
        assert models == [b"small", b"large"]
        assert answer.count(b"id: ") == 2

    async def test_under_strain_the_poor_answer_goes_out(self) -> None:
        """Streams wait for seconds at every server.

        A climb would keep the others waiting behind a second reading of
        its prompt, and be late itself.
        """
        async with start_routed() as loopback:
            keep_waiting(loopback, quick=True)
            answer, models = await ask_with_sizes(loopback)
        assert models == [b"small"]
        assert answer.count(b"id: ") == 2

    async def test_a_long_prompt_climbs_by_the_waits_of_long_ones(
        self,
    ) -> None:
        """Short prompts are read first and wait little; long ones wait.

        By the waits of all, long prompts would go on to climb, pile up at
        the large model, and their callers leave without an answer.
        """
        async with start_routed() as loopback:
            keep_waiting(loopback, quick=False)
            reading = loopback.entry.context.prefill_rates
            reading.observe("stock", "large", 40_000, 4.0)
            answer, models = await ask_with_sizes(loopback, "40000,100")
        assert models == [b"small"]
        assert answer.count(b"id: ") == 2

    async def test_a_short_prompt_climbs_all_the_same(self) -> None:
        async with start_routed() as loopback:
            keep_waiting(loopback, quick=False)
            _, models = await ask_with_sizes(loopback, "400,100")
        assert models == [b"small", b"large"]


class TestBudgetOfArrivals:
    async def test_a_spent_budget_lets_the_poor_answer_out(self) -> None:
        """Servers are lost, and what is tried again has spent the budget.

        Without a bound on climbs they and the repeats together doubled the
        load of the servers that were left. The caller gets what there is.
        """
        allowance = Allowance(ratio=0.1, slack=0.0, window_s=60.0)
        async with start_routed(
            SETTINGS._replace(allowance=allowance)
        ) as loopback:
            answer, models = await ask_with_sizes(loopback)
        assert models == [b"small"]
        assert answer.count(b"id: ") == 2

    async def test_refusals_draw_on_it_as_well(self) -> None:
        """Every server is full and says so; the caller is told at once."""
        allowance = Allowance(ratio=0.1, slack=0.0, window_s=60.0)

        async def full(request: bytes, stream: SocketStream) -> None:
            lines = (b"x-not-run: 1", b"content-length: 0")
            await stream.send(answer_head(request, *lines, status=503))

        async with start_routed(
            SETTINGS._replace(allowance=allowance)
        ) as loopback:
            await loopback.add_server("s-1", full)
            await loopback.add_server("s-2", full)
            answer = await loopback.ask("/review/1", x_model="*")
            assert len(loopback.requests) == 1
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"retry-after" in answer


class TestWhatKeptAnAnswer:
    """A poor answer went out, and its line did not tell which bound did it."""

    async def test_the_arrivals_that_are_kept_for_others(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        caplog.set_level("INFO")
        allowance = Allowance(ratio=0.1, slack=0.0, window_s=60.0)
        settings = SETTINGS._replace(allowance=allowance)
        async with start_routed(settings) as loopback:
            await ask_with_sizes(loopback)
        assert "no-climb:arrivals_kept" in path_of(caplog)

    async def test_the_strain_of_the_servers(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        caplog.set_level("INFO")
        async with start_routed() as loopback:
            keep_waiting(loopback, quick=True)
            await ask_with_sizes(loopback)
        assert "no-climb:strain" in path_of(caplog)


def path_of(caplog: pytest.LogCaptureFixture) -> str:
    """Return the decisions of the one request, in short."""
    (path,) = [
        str(record.__dict__["path"])
        for record in caplog.records
        if record.message == "request ended"
    ]
    return path


def keep_waiting(loopback: RoutedLoopback, quick: bool) -> None:
    """Let requests have waited for seconds at every server."""
    delay = loopback.entry.context.queue_delay("stock", quick)
    for _ in range(8):
        delay.observe(time.monotonic(), 4.0)


async def ask_with_sizes(
    loopback: RoutedLoopback, tokens: str = "400,100"
) -> tuple[bytes, list[bytes]]:
    """Return the answer to a request that every model answers poorly."""

    async def poorly(request: bytes, stream: SocketStream) -> None:
        head = answer_head(
            request,
            b"content-type: text/event-stream",
            b"transfer-encoding: chunked",
            b"x-confidence: 20",
        )
        await stream.send(head + event(1) + event(2) + b"0\r\n\r\n")

    loopback.control.configuration = with_sizes(loopback.control.in_force())
    await loopback.add_server("s-1", poorly)
    await loopback.add_server("s-2", poorly)
    answer = await loopback.ask("/review/1", x_model="*", x_tokens=tokens)
    models = [
        found.group(1)
        for _, request in loopback.requests
        if (found := MODEL.search(request))
    ]
    return answer, models
