"""Entries that each see few requests of a large installation."""

from __future__ import annotations

import heapq
from random import Random
from typing import Final

import pytest

from sycamorestand_decisions.arrivals import Allowance
from sycamorestand_decisions.arrivals import ArrivalBudget

SERVICE: Final = "words"
SIZES: Final = [88, 195, 330]
# Of their kind: some entries have four times the requests of others.
WEIGHTS: Final = [0.5, 1.0, 1.0, 2.0]
A_SECOND: Final = 1.1
CLIMB_SHARE: Final = 0.47
BEGIN_S: Final = 16.0


class TestCalmLoad:
    @pytest.mark.parametrize("entries", SIZES)
    @pytest.mark.parametrize("seed", range(3))
    def test_parts_can_spend_what_the_whole_can(
        self, entries: int, seed: int
    ) -> None:
        """A tenth of the climbs were denied while the whole had plenty."""
        allowance = Allowance(ratio=0.9, slack=2.2 * entries, window_s=10.0)
        parts = Installation(allowance, entries, seed).denied_share()
        whole = Installation(allowance, 1, seed)
        whole.a_second = entries * A_SECOND
        assert parts <= whole.denied_share() + 0.05


class Installation:
    """Entries of one installation, and the requests they see."""

    def __init__(self, allowance: Allowance, entries: int, seed: int) -> None:
        self.allowance = allowance
        self.random = Random(seed)
        self.entries = [ArrivalBudget(allowance) for _ in range(entries)]
        self.weights = self.random.choices(WEIGHTS, k=entries)
        self.a_second = A_SECOND
        self.firsts: list[float] = []

    def denied_share(self) -> float:
        """Return the share of climbs denied in half a minute of calm."""
        climbs: list[tuple[float, int]] = []
        denied = 0
        for now_s, entry in self._arrivals(30.0):
            while climbs and climbs[0][0] <= now_s:
                climb_s, climber = heapq.heappop(climbs)
                denied += not self._climbs(climber, climb_s)
            self._first(entry, now_s)
            if self.random.random() < CLIMB_SHARE:
                after_s = self.random.uniform(0.1, 1.0)
                heapq.heappush(climbs, (now_s + after_s, entry))
        return denied / (CLIMB_SHARE * len(self.firsts))

    def _arrivals(self, seconds: float) -> list[tuple[float, int]]:
        rate = len(self.entries) * self.a_second
        now_s = BEGIN_S
        arrivals = []
        while now_s < BEGIN_S + seconds:
            now_s += self.random.expovariate(rate)
            numbers = range(len(self.entries))
            (entry,) = self.random.choices(numbers, self.weights)
            arrivals.append((now_s, entry))
        return arrivals

    def _first(self, entry: int, now_s: float) -> None:
        self.firsts.append(now_s)
        self.entries[entry].sent_first(SERVICE, now_s)

    def _climbs(self, entry: int, now_s: float) -> bool:
        count = len(self.entries)
        budget = self.entries[entry]
        if not budget.has_spare(SERVICE, count, now_s):
            return False
        return budget.may_add(SERVICE, count, now_s)
