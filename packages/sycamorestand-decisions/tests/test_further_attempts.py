"""Tests of the reserves that further attempts must leave."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis.strategies import floats
from hypothesis.strategies import integers
from hypothesis.strategies import lists
from hypothesis.strategies import sampled_from
from hypothesis.strategies import tuples
import pytest

from sycamorestand_decisions.arrivals import Allowance
from sycamorestand_decisions.arrivals import ArrivalBudget
from sycamorestand_decisions.arrivals import EARNED_SHARE
from sycamorestand_decisions.arrivals import ENTRIES_SHARE
from sycamorestand_decisions.arrivals import KEPT_SHARE
from sycamorestand_decisions.arrivals import URGENT_SHARE
from sycamorestand_decisions.further_attempts import climb_reserve
from sycamorestand_decisions.further_attempts import climb_strain
from sycamorestand_decisions.further_attempts import move_reserve
from sycamorestand_decisions.size_ladder import ACCEPT_CONFIDENCE
from sycamorestand_decisions.size_ladder import next_size

if TYPE_CHECKING:
    from collections.abc import Callable

ENTRIES: Final = 94
ALLOWANCE: Final = Allowance(ratio=0.9, slack=228.0, window_s=10.0)
SERVICE: Final = "words"
SIZES: Final = ("small", "middle", "large")
RATE_PER_S: Final = 3.0
BURST: Final = 2.5
END_S: Final = 2_000.0
POOR: Final = 20
PRIORITY: Final = 1


class Rules(NamedTuple):
    """What an escalation and a move must leave."""

    climb: Callable[[int], float]
    move: float


BEFORE: Final = Rules(lambda _: URGENT_SHARE, URGENT_SHARE)
AFTER: Final = Rules(climb_reserve, move_reserve(PRIORITY))


class TestReserves:
    def test_hopeless_answers_escalate_before_moves_and_near_misses(
        self,
    ) -> None:
        """Guards against arrivals that are spent in the order they occur."""
        low, near = climb_reserve(0), climb_reserve(55)
        assert low == 0.0
        assert low < near < climb_reserve(ACCEPT_CONFIDENCE) == URGENT_SHARE
        assert climb_reserve(100) == URGENT_SHARE < move_reserve(1)

    def test_an_answer_without_confidence_is_preferred(self) -> None:
        """One of 55 finds its arrivals reserved, one of 0 does not."""
        budget = full_budget()
        while spare(budget, climb_reserve(55)):
            assert budget.try_spend(SERVICE, ENTRIES, 10.0)
        assert spare(budget, climb_reserve(0))

    def test_urgent_retries_find_what_moves_and_near_misses_leave(
        self,
    ) -> None:
        """Guards against improvements that take what a lost stream needs."""
        budget = full_budget()
        reserves = (move_reserve(2), move_reserve(0), climb_reserve(59))
        while any(spare(budget, reserve) for reserve in reserves):
            assert budget.try_spend(SERVICE, ENTRIES, 10.0)
        assert budget.try_spend(SERVICE, ENTRIES, 10.0)


class TestLoad:
    @pytest.mark.parametrize("seed", range(3))
    def test_poor_answers_escalate_in_place_of_moves(self, seed: int) -> None:
        """Guards against moves that leave no arrivals for poor answers.

        One of 94 entries with bursts: fewer requests move, and fewer answers
        of low confidence are denied. No more arrivals are spent than earned.
        """
        before, after = replay(BEFORE, seed), replay(AFTER, seed)
        assert after["moved"] < before["moved"]
        assert after["climbed"] > before["climbed"]
        assert after["poor denied"] < before["poor denied"] / 10
        assert after["moved"] > 0
        assert after["poor"] == before["poor"]


class TestBudget:
    @given(
        lists(
            tuples(
                sampled_from(["first", "climb", "move", "urgent"]),
                integers(0, 100),
                floats(0.0, 2.0),
            ),
            max_size=300,
        )
    )
    def test_no_window_exceeds_what_was_kept_and_earned(
        self, events: list[tuple[str, int, float]]
    ) -> None:
        """Guards against a reserve that admits more than the budget has."""
        budget, now_s = ArrivalBudget(ALLOWANCE), 0.0
        firsts, further = [], []
        for kind, figure, pause_s in events:
            now_s += pause_s
            reserve = {
                "climb": climb_reserve(figure),
                "move": move_reserve(figure % 10),
            }.get(kind)
            if kind == "first":
                budget.record_first_arrival(SERVICE, now_s)
                firsts.append(now_s)
            elif reserve is None or budget.has_spare(
                SERVICE, ENTRIES, now_s, reserve
            ):
                spent = budget.try_spend(SERVICE, ENTRIES, now_s)
                assert spent or reserve is None
                further += [now_s] * spent
        earned = ALLOWANCE.ratio * EARNED_SHARE
        assert len(further) <= earned * len(firsts)
        for begin_s in further:
            requests = in_window(firsts, begin_s)
            previous = in_window(firsts, begin_s - ALLOWANCE.window_s)
            part = ALLOWANCE.slack / ENTRIES * ENTRIES_SHARE
            kept = ALLOWANCE.ratio * KEPT_SHARE * (requests + previous)
            most = max(1 + earned, part + kept)
            assert in_window(further, begin_s) <= most + earned * requests


class TestStrain:
    @pytest.mark.parametrize(
        ("tokens", "escalates"), [(800, True), (50_000, False)]
    )
    def test_short_prompts_escalate_while_long_ones_wait(
        self, tokens: int, escalates: bool
    ) -> None:
        """Guards against poor answers that cost others next to nothing.

        The delay is three fifths of the target; the largest model reads
        25,000 tokens a second.
        """
        strain = climb_strain(1.2, 2.0, tokens / 25_000)
        size = next_size(SIZES, 0, POOR, 2, strain)
        assert (size is not None) == escalates

    def test_a_prompt_of_unknown_length_has_the_full_weight(self) -> None:
        """Guards against escalations under overload without token counts."""
        assert climb_strain(1.0, 2.0, 0.0) == 0.5


def full_budget() -> ArrivalBudget:
    """Return the budget of an entry after a window without attempts."""
    budget = ArrivalBudget(ALLOWANCE)
    for number in range(30):
        budget.record_first_arrival(SERVICE, number / RATE_PER_S)
    return budget


def spare(budget: ArrivalBudget, reserve: float) -> bool:
    """Return whether an attempt with this reserve may be made."""
    return budget.has_spare(SERVICE, ENTRIES, 10.0, reserve)


def replay(rules: Rules, seed: int) -> Counter[str]:
    """Count what becomes of the requests of one entry."""
    random, counts = Random(seed), Counter[str]()
    budget, now_s = ArrivalBudget(ALLOWANCE), 0.0
    while now_s < END_S:
        factor = BURST if now_s % 60 < 20 else 1.0
        now_s += random.expovariate(RATE_PER_S * factor)
        budget.record_first_arrival(SERVICE, now_s)
        waits, low = random.random() < 0.15, random.random() < 0.5
        confidence = random.randrange(ACCEPT_CONFIDENCE)

        def improve(reserve: float, now_s: float = now_s) -> bool:
            return budget.has_spare(
                SERVICE, ENTRIES, now_s, reserve
            ) and budget.try_spend(SERVICE, ENTRIES, now_s)

        if waits:
            counts["moved"] += improve(rules.move)
        if not low:
            continue
        climbs = improve(rules.climb(confidence))
        counts["low"] += 1
        counts["climbed"] += climbs
        if confidence < POOR:
            counts["poor"] += 1
            counts["poor denied"] += not climbs
    return counts


def in_window(times: list[float], begin_s: float) -> int:
    """Return how many times lie in the window that starts at ``begin_s``."""
    return sum(
        begin_s <= time < begin_s + ALLOWANCE.window_s for time in times
    )
