"""Tests of which requests a stopping process refuses."""

from __future__ import annotations

import math
from random import Random
from typing import Final
from typing import NamedTuple

from sycamorestand_decisions.attempt_timeouts import AnswerTime
from sycamorestand_decisions.attempt_timeouts import AnswerTimes
from sycamorestand_decisions.stopping import may_outlast_stop

LIMIT_S: Final = 7.0
PATIENCE_S: Final = 20.0
# How long callers still arrive after the stop has begun.
ARRIVALS_S: Final = 2.0
STOPS: Final = 400


class Kind(NamedTuple):
    """Answers of one route: median and spread of their durations."""

    route: str
    median_s: float
    spread: float


class StopCounts(NamedTuple):
    """Requests that stopping processes accept, cut off and refuse."""

    taken: int
    cut: int
    sent_elsewhere: int


LONG: Final = Kind("review", 4.5, 0.6)
SHORT: Final = Kind("tags", 0.5, 0.6)


def simulate(kind: Kind, seed: int, check: bool) -> StopCounts:
    """Simulate planned stops, each with callers that still arrive."""
    random = Random(seed)
    accepted = cut = refused = 0
    for _ in range(STOPS):
        times = AnswerTimes()
        for _ in range(8):
            times.record_answer(
                kind.route, AnswerTime(0.0, _time_s(kind, random), 1)
            )
        ends_in_s = LIMIT_S - random.uniform(0.0, ARRIVALS_S)
        longest_s = times.max_total_s(kind.route, 0.0, 0.0)
        if check and may_outlast_stop(ends_in_s, PATIENCE_S, longest_s):
            refused += 1
            continue
        accepted += 1
        cut += _time_s(kind, random) > ends_in_s
    return StopCounts(accepted, cut, refused)


def _time_s(kind: Kind, random: Random) -> float:
    return kind.median_s * random.lognormvariate(0.0, kind.spread)


class TestMayOutlastStop:
    def test_refuses_streams_that_the_stop_would_cut(self) -> None:
        """A stop cut off streams that arrived after it had begun."""
        for seed in range(5):
            without = simulate(LONG, seed, check=False)
            counts = simulate(LONG, seed, check=True)
            assert without.cut > 0.2 * STOPS
            assert counts.cut < without.cut / 5

    def test_accepts_short_answers(self) -> None:
        """A refused caller uses up its only retry."""
        for seed in range(5):
            counts = simulate(SHORT, seed, check=True)
            assert counts.sent_elsewhere <= 0.01 * STOPS
            assert counts.cut <= 0.01 * STOPS

    def test_refuses_while_durations_are_unknown(self) -> None:
        """A newly started entry accepted streams that its stop cut off."""
        assert may_outlast_stop(3.0, 20.0, math.inf)

    def test_accepts_in_a_process_without_an_end(self) -> None:
        assert not may_outlast_stop(float("inf"), 20.0, 9.0)

    def test_accepts_requests_whose_deadline_precedes_the_end(self) -> None:
        assert not may_outlast_stop(3.0, 2.0, 9.0)

    def test_refuses_requests_at_the_very_end(self) -> None:
        assert may_outlast_stop(0.0, 20.0, 0.2)
