"""Cascades: an earlier step's answer is sent only if it is accepted."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import pytest

from sycamorestand_bench.fakes.declared import LARGE
from sycamorestand_bench.fakes.declared import SMALL
from sycamorestand_bench.fakes.engine import expected_text
from sycamorestand_bench.fakes.engine import FakeEngine
from sycamorestand_bench.fakes.faults import Fault
from sycamorestand_bench.fakes.faults import FaultKind
from sycamorestand_bench.fakes.loopback import Loopback
from sycamorestand_bench.fakes.loopback import serve_on_port
from sycamorestand_bench.fakes.loopback import SETTINGS
from sycamorestand_bench.fakes.loopback import start_loopback
from sycamorestand_bench.fakes.rating import FakeRating

pytestmark = pytest.mark.anyio


class Exploring(Random):
    """Makes the learner try the cheap step of an unknown request class."""

    def random(self) -> float:
        return 0.0


@asynccontextmanager
async def start_cascade(
    rating: FakeRating,
) -> AsyncIterator[tuple[Loopback, FakeEngine, FakeEngine]]:
    """Start an entry with a rating service and one engine per step."""
    async with serve_on_port(rating.application) as address:
        settings = SETTINGS._replace(
            rating_url=f"http://{address}", rating_timeout_s=0.3
        )
        async with start_loopback(settings, random=Exploring()) as loopback:
            small = FakeEngine("engine-small", (SMALL,))
            large = FakeEngine("engine-large", (LARGE,))
            await loopback.add_engine(small)
            await loopback.add_engine(large)
            yield loopback, small, large


class TestCascade:
    @pytest.mark.parametrize("stream", [True, False])
    async def test_accepted_answer_of_the_cheap_step_is_sent(
        self, stream: bool
    ) -> None:
        rating = FakeRating({SMALL: 0.9})
        async with start_cascade(rating) as (loopback, _, large):
            answer = await loopback.chat("review", stream, Idempotency_Key="k")
            assert answer.headers["x-version"] == SMALL
            assert expected_text(SMALL, "k", 8) == rating.requests[0]["answer"]
            assert not large.records

    async def test_rejected_answer_is_not_sent(self) -> None:
        """The answer of the cheap step gets a bad rating.

        The caller gets only the answer of the strong step, with one charge
        that includes the cost of both steps.
        """
        rating = FakeRating({SMALL: 0.1})
        async with start_cascade(rating) as (loopback, small, large):
            answer = await loopback.chat("review", True, Idempotency_Key="k")
            assert answer.text() == expected_text(LARGE, "k", 8)
            charge = loopback.ledger.charges["guild", "k"]
            alone = await loopback.chat("large", Idempotency_Key="k-2")
            cost = int(alone.headers["x-cost-micros"])
            assert charge.version == LARGE
            assert charge.cost_micros > cost
            assert (len(small.records), len(large.records)) == (1, 2)

    @pytest.mark.parametrize(
        "kind",
        ["silent", "refuse", "error", "garbage", "wrong_type", "cut"],
    )
    async def test_without_a_rating_the_strong_step_answers(
        self, kind: FaultKind
    ) -> None:
        """The rating is missing, late or malformed.

        An answer without a rating is not known to meet the quality target,
        so the strong step answers.
        """
        rating = FakeRating({SMALL: 0.9})
        rating.switch.fault = Fault(kind)
        async with start_cascade(rating) as (loopback, _, _large):
            answer = await loopback.chat("review")
            assert answer.headers["x-version"] == LARGE

    async def test_failing_cheap_step_escalates(self) -> None:
        rating = FakeRating({SMALL: 0.9})
        async with start_cascade(rating) as (loopback, small, _):
            small.switch.fault = Fault("cut", after=2)
            answer = await loopback.chat("review", True)
            assert answer.headers["x-version"] == LARGE
            assert answer.events()[-1] == "[DONE]"
