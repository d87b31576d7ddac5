"""Escalation of requests to a larger model, and what prevents it."""

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
from sycamorestand_decisions.further_attempts import climb_reserve
from sycamorestand_entry.routed.decision_log import DecisionLog

pytestmark = pytest.mark.anyio
MODEL: Final = re.compile(rb"x-model: (\w+)")

# Prefill of just a twentieth of the route's target.
LONGER_TOKENS: Final = "3400,100"


class TestEscalation:
    async def test_poor_answer_escalates(self) -> None:
        async with start_routed() as loopback:
            answer, models = await ask_with_sizes(loopback)
        assert models == [b"small", b"large"]
        assert answer.count(b"id: ") == 2

    async def test_poor_answer_is_forwarded_under_overload(self) -> None:
        """Streams wait for seconds at every server.

        An escalation would delay these streams by a second prefill of the
        prompt, and be late itself.
        """
        async with start_routed() as loopback:
            add_work(loopback)
            add_queue_delay(loopback, short_prefill=True)
            answer, models = await ask_with_sizes(loopback, LONGER_TOKENS)
        assert models == [b"small"]
        assert answer.count(b"id: ") == 2

    async def test_shortest_prompts_escalate_under_overload(self) -> None:
        """Guards against poor answers where another one takes no time."""
        async with start_routed() as loopback:
            add_work(loopback)
            add_queue_delay(loopback, short_prefill=True)
            _, models = await ask_with_sizes(loopback, "100,100")
        assert models == [b"small", b"large"]

    async def test_long_prompt_does_not_escalate_while_long_ones_wait(
        self,
    ) -> None:
        """Engines read short prompts first, so only long ones wait.

        With a mean delay over both, long prompts would still escalate and
        queue at the large model, and their callers would leave without an
        answer.
        """
        async with start_routed() as loopback:
            add_queue_delay(loopback, short_prefill=False)
            prefill_rates = loopback.entry.context.prefill_rates
            prefill_rates.observe("stock", "large", 40_000, 4.0)
            answer, models = await ask_with_sizes(loopback, "40000,100")
        assert models == [b"small"]
        assert answer.count(b"id: ") == 2

    async def test_short_prompt_escalates_while_long_ones_wait(self) -> None:
        async with start_routed() as loopback:
            add_queue_delay(loopback, short_prefill=False)
            _, models = await ask_with_sizes(loopback, "400,100")
        assert models == [b"small", b"large"]


class TestArrivalBudget:
    async def test_poor_answer_is_forwarded_once_budget_is_spent(self) -> None:
        """Servers are lost, and retries have spent the arrival budget.

        Without a bound on escalations, they and the retries together
        doubled the load of the remaining servers. The caller gets the poor
        answer.
        """
        allowance = Allowance(ratio=0.1, slack=0.0, window_s=60.0)
        async with start_routed(
            SETTINGS._replace(allowance=allowance)
        ) as loopback:
            answer, models = await ask_with_sizes(loopback)
        assert models == [b"small"]
        assert answer.count(b"id: ") == 2

    async def test_retries_after_refusals_spend_the_arrival_budget(
        self,
    ) -> None:
        """Every server refuses as full; the caller is refused at once."""
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


class TestLoggedReason:
    """The request's log line names the limit that prevented an escalation."""

    async def test_reserved_arrivals_are_logged(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        caplog.set_level("INFO")
        allowance = Allowance(ratio=0.1, slack=0.0, window_s=60.0)
        settings = SETTINGS._replace(allowance=allowance)
        async with start_routed(settings) as loopback:
            await ask_with_sizes(loopback)
            counts = loopback.entry.context.metrics.further_attempts
            labels = {"service": "stock", "kind": "climb"}
            labels |= {"decision": "denied", "bound": "arrivals_kept"}
            assert counts.get(labels) == 1
        assert "no-climb:arrivals_kept" in path_of(caplog)

    async def test_figures_that_decided_are_logged(
        self, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against denials that the budget does not explain."""
        caplog.set_level("INFO")
        monkeypatch.setattr(DecisionLog, "is_late", lambda log: True)
        allowance = Allowance(ratio=0.1, slack=0.0, window_s=60.0)
        settings = SETTINGS._replace(allowance=allowance)
        async with start_routed(settings) as loopback:
            await ask_with_sizes(loopback)
        (denied,) = [
            record.__dict__
            for record in caplog.records
            if record.__dict__.get("decision") == "NotImproved"
        ]
        assert denied["reserve"] == round(climb_reserve(20), 2)
        assert denied["left"] < 1 <= denied["most"]

    async def test_queue_delay_is_logged(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        caplog.set_level("INFO")
        async with start_routed() as loopback:
            add_work(loopback)
            add_queue_delay(loopback, short_prefill=True)
            await ask_with_sizes(loopback, LONGER_TOKENS)
            counts = loopback.entry.context.metrics.further_attempts
            labels = {"service": "stock", "kind": "climb"}
            labels |= {"decision": "denied", "bound": "strain"}
            assert counts.get(labels) == 1
        assert "no-climb:strain" in path_of(caplog)


def path_of(caplog: pytest.LogCaptureFixture) -> str:
    """Return the summary of decisions from the only request's log line."""
    (path,) = [
        str(record.__dict__["path"])
        for record in caplog.records
        if record.message == "request ended"
    ]
    return path


def add_queue_delay(loopback: RoutedLoopback, short_prefill: bool) -> None:
    """Record queue delays of seconds for short or long prefills."""
    queue_delay = loopback.entry.context.queue_delay("stock", short_prefill)
    for _ in range(8):
        queue_delay.observe(time.monotonic(), 4.0)


def add_work(loopback: RoutedLoopback) -> None:
    """Let the large model read 35,000 tokens a second."""
    prefill_rates = loopback.entry.context.prefill_rates
    prefill_rates.observe("stock", "large", 35_000, 1.0)


async def ask_with_sizes(
    loopback: RoutedLoopback, tokens: str = "400,100"
) -> tuple[bytes, list[bytes]]:
    """Return the answer, and the models asked, if all answer poorly."""

    async def answer_poorly(request: bytes, stream: SocketStream) -> None:
        head = answer_head(
            request,
            b"content-type: text/event-stream",
            b"transfer-encoding: chunked",
            b"x-confidence: 20",
        )
        await stream.send(head + event(1) + event(2) + b"0\r\n\r\n")

    loopback.control.configuration = with_sizes(loopback.control.in_force())
    await loopback.add_server("s-1", answer_poorly)
    await loopback.add_server("s-2", answer_poorly)
    answer = await loopback.ask("/review/1", x_model="*", x_tokens=tokens)
    models = [
        found.group(1)
        for _, request in loopback.requests
        if (found := MODEL.search(request))
    ]
    return answer, models
