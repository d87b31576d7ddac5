"""What routed requests tell admission control of their work and urgency."""

from __future__ import annotations

import time

import pytest

from sycamorestand_bench.fakes.routed import start_routed
from sycamorestand_decisions.answer_lengths import AnswerLength
from sycamorestand_decisions.answer_lengths import ANSWERS_KEPT
from sycamorestand_decisions.attempt_timeouts import AnswerTime
from sycamorestand_entry.errors import Overloaded
from sycamorestand_entry.slots import SlotRequest

pytestmark = pytest.mark.anyio


class TestSlotRequest:
    async def test_declared_urgency_and_learned_work_are_told(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against one expected time for prompts of any length.

        The long prompt begins later and takes longer than the short one; a
        call takes what the last ones took. All have their latency targets.
        """
        seen: list[SlotRequest] = []

        async def acquire(request: SlotRequest) -> int:
            seen.append(request)
            raise Overloaded("full", 1.0)

        async with start_routed() as loopback:
            context = loopback.entry.context
            monkeypatch.setattr(context.slots, "acquire", acquire)
            for _ in range(ANSWERS_KEPT):
                length = AnswerLength(30, 180)
                context.answer_lengths.record_answer("review", length)
            times = context.answer_times
            times.record_answer("review", AnswerTime(0.1, 1.5, 30))
            times.record_answer("stock", AnswerTime(0.3, 0.0, 0))
            begin_s = time.monotonic()
            for tokens in ("100,99", "50000,99"):
                await loopback.ask(
                    "/review/1",
                    x_tokens=tokens,
                    x_hint="180",
                    x_deadline_ms="300",
                )
            await loopback.ask("/stock/1", x_deadline_ms="300")
        short, long, call = seen
        assert short.expected_s == pytest.approx(1.5, rel=0.1)
        assert long.expected_s == pytest.approx(short.expected_s + 0.5, 0.05)
        assert long.begin_s == pytest.approx(0.5, rel=0.01)
        assert call.expected_s == call.begin_s == 0.3
        assert {request.priority for request in seen} == {0}
        assert short.target_at_s == pytest.approx(begin_s + 2.0, abs=0.3)
        assert call.target_at_s < call.deadline_at_s
