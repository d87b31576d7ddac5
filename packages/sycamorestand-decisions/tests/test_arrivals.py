"""One budget for all arrivals beyond a request's first."""

from __future__ import annotations

from random import Random

import pytest

from sycamorestand_decisions.arrivals import Allowance
from sycamorestand_decisions.arrivals import ArrivalBudget
from sycamorestand_decisions.arrivals import SAFE_SHARE

ALLOWANCE = Allowance(ratio=0.9, slack=60.0, window_s=10.0)
ENTRIES = 25
SERVICE = "words"


class TestArrivalBudget:
    def test_without_an_allowance_nothing_is_bounded(self) -> None:
        budget = ArrivalBudget(Allowance())
        assert all(budget.may_add(SERVICE, 3, 0.1 * n) for n in range(500))

    @pytest.mark.parametrize("restarts", [False, True])
    def test_full_servers_and_climbs_together_stay_within_it(
        self, restarts: bool
    ) -> None:
        """Half of the servers crash; the others refuse what they cannot hold.

        Each of 25 entries wants to send every request to three servers, the
        busiest ones twenty times as many as the others. Entries may be
        killed in the middle of it and forget their counts. Whatever window
        is looked at, all entries together stay within what is allowed.
        """
        firsts, further = play(restarts)
        for begin_s in range(0, 50, 2):
            arrived = within(further, begin_s)
            assert arrived <= allowed(firsts, begin_s)

    def test_a_calm_days_climbs_are_not_held_up(self) -> None:
        """Nearly half of the requests climb, on an entry with little work."""
        random = Random(4)
        budget = ArrivalBudget(ALLOWANCE)
        now_s = 0.0
        denied = 0
        for _ in range(2_000):
            now_s += random.expovariate(1.0)
            budget.sent_first(SERVICE, now_s)
            if random.random() < 0.46:
                denied += not budget.may_add(SERVICE, ENTRIES, now_s)
        assert denied <= 0.02 * 0.46 * 2_000

    def test_services_do_not_share_it(self) -> None:
        budget = ArrivalBudget(ALLOWANCE)
        while budget.may_add(SERVICE, ENTRIES, 0.0):
            pass
        assert budget.may_add("ledger", ENTRIES, 0.0)

    @pytest.mark.parametrize("entries", [0, 1, 60])
    def test_the_budget_comes_back_with_requests(self, entries: int) -> None:
        budget = ArrivalBudget(ALLOWANCE)
        while budget.may_add(SERVICE, entries, 0.0):
            pass
        for _ in range(20):
            budget.sent_first(SERVICE, 20.0)
        asked = [budget.may_add(SERVICE, entries, 20.0) for _ in range(99)]
        assert sum(asked) >= int(20 * ALLOWANCE.ratio * SAFE_SHARE)


def play(restarts: bool) -> tuple[list[float], list[float]]:
    """Return when first and further arrivals of all entries were."""
    random = Random(9)
    budgets = [ArrivalBudget(ALLOWANCE) for _ in range(ENTRIES)]
    weights = [20.0 if number < 2 else 1.0 for number in range(ENTRIES)]
    firsts, further = [], []
    now_s = 0.0
    while now_s < 60.0:
        now_s += random.expovariate(60.0)
        number = random.choices(range(ENTRIES), weights)[0]
        if restarts and random.random() < 0.001:
            budgets[number] = ArrivalBudget(ALLOWANCE)
        budget = budgets[number]
        budget.sent_first(SERVICE, now_s)
        firsts.append(now_s)
        for _ in range(2):
            if budget.may_add(SERVICE, ENTRIES, now_s):
                further.append(now_s)
    return firsts, further


def within(times: list[float], begin_s: float) -> int:
    """Return how many lie in the window that begins there."""
    end_s = begin_s + ALLOWANCE.window_s
    return sum(begin_s <= time < end_s for time in times)


def allowed(firsts: list[float], begin_s: float) -> float:
    """Return what the owner of the servers allows in a window.

    By its requests, or those half a window before.
    """
    requests = max(within(firsts, begin_s), within(firsts, begin_s - 5))
    return ALLOWANCE.ratio * requests + ALLOWANCE.slack
