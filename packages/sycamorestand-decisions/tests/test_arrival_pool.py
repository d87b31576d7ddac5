"""Tests of entries that lend each other unused arrivals."""

from __future__ import annotations

import heapq
from random import Random
from typing import Final

import pytest

from sycamorestand_decisions.arrival_pool import ArrivalPool
from sycamorestand_decisions.arrivals import Allowance
from sycamorestand_decisions.arrivals import ArrivalBudget
from sycamorestand_decisions.arrivals import Trade

SERVICE: Final = "words"
SIZES: Final = [10, 24, 88, 195, 330]
# Relative request rates of entries; some have four times those of others.
WEIGHTS: Final = [0.5, 1.0, 1.0, 2.0]
REQUESTS_PER_S: Final = 1.1
ESCALATED_SHARE: Final = 0.47
BEGIN_S: Final = 16.0
# Installations of up to this size have three voters, larger ones five.
FEW_ENTRIES: Final = 24


class TestNormalLoad:
    @pytest.mark.parametrize("entries", SIZES)
    @pytest.mark.parametrize("seed", range(3))
    def test_many_entries_are_denied_no_more_than_one_entry(
        self, entries: int, seed: int
    ) -> None:
        """Guards against denials while the installation has budget left.

        Without a pool, a tenth of the escalations were denied because their
        own entry had no budget, while all entries together had plenty.
        """
        allowance = Allowance(ratio=0.9, slack=2.2 * entries, window_s=10.0)
        parts = Installation(allowance, entries, seed).denied_share()
        whole = Installation(allowance, 1, seed)
        whole.requests_per_s = entries * REQUESTS_PER_S
        assert parts <= whole.denied_share() + 0.05


class TestTotal:
    @pytest.mark.parametrize("entries", SIZES)
    def test_total_stays_within_the_allowance_despite_losses(
        self, entries: int
    ) -> None:
        """Guards against more further arrivals than the allowance.

        Servers are lost after calm seconds, and each request asks for five
        more arrivals. One trade in ten does not reach its pool, or it or its
        answer arrives late. Entries and pools are killed.
        """
        allowance = Allowance(ratio=0.9, slack=2.2 * entries, window_s=10.0)
        installation = Installation(allowance, entries, 7)
        installation.overload()
        assert installation.further_arrivals
        for begin_s in range(60):
            requests = installation.requests(begin_s / 2)
            allowed = allowance.ratio * requests + allowance.slack
            assert installation.further_arrival_count(begin_s / 2) <= allowed


class Installation:
    """Entries and pools of one installation, and the requests they receive."""

    def __init__(self, allowance: Allowance, entries: int, seed: int) -> None:
        self.allowance = allowance
        self.random = Random(seed)
        self.entries = [ArrivalBudget(allowance) for _ in range(entries)]
        voters = 3 if entries <= FEW_ENTRIES else 5
        self.pools = [ArrivalPool(allowance, 0.0) for _ in range(voters)]
        self.weights = self.random.choices(WEIGHTS, k=entries)
        self.requests_per_s = REQUESTS_PER_S
        self.lossy = False
        self.first_arrivals: list[float] = []
        self.further_arrivals: list[float] = []
        self._late_trades: list[tuple[int, Trade]] = []

    def denied_share(self) -> float:
        """Return the share of escalations denied in 30 s of low load."""
        escalations: list[tuple[float, int]] = []
        denied = 0
        for now_s, entry in self._arrivals(30.0):
            while escalations and escalations[0][0] <= now_s:
                escalation_s, escalating_entry = heapq.heappop(escalations)
                denied += not self._try_escalate(
                    escalating_entry, escalation_s
                )
            self._record_first_arrival(entry, now_s)
            if self.random.random() < ESCALATED_SHARE:
                after_s = self.random.uniform(0.1, 1.0)
                heapq.heappush(escalations, (now_s + after_s, entry))
        return denied / (ESCALATED_SHARE * len(self.first_arrivals))

    def overload(self) -> None:
        """Let each request ask for five more arrivals, with lost messages."""
        pending: list[tuple[float, int]] = []
        for now_s, entry in self._arrivals(30.0):
            self.lossy = now_s > BEGIN_S + 10
            while pending and pending[0][0] <= now_s:
                pending_s, pending_entry = heapq.heappop(pending)
                self._try_add_twice(pending_entry, pending_s)
            self._record_first_arrival(entry, now_s)
            for number in range(5 if now_s > BEGIN_S + 12 else 0):
                heapq.heappush(pending, (now_s + 0.05 * number, entry))
            if self.random.random() < 0.01:
                self.entries[entry] = ArrivalBudget(self.allowance)
            if self.random.random() < 0.002:
                number = self.random.randrange(len(self.pools))
                self.pools[number] = ArrivalPool(self.allowance, now_s)

    def requests(self, begin_s: float) -> int:
        """Return the requests that the allowance of a window is based on."""
        return max(
            self._count_within(self.first_arrivals, begin_s - d)
            for d in (0, 5, 10)
        )

    def further_arrival_count(self, begin_s: float) -> int:
        """Return the number of further arrivals in a window."""
        return self._count_within(self.further_arrivals, begin_s)

    def _arrivals(self, seconds: float) -> list[tuple[float, int]]:
        rate = len(self.entries) * self.requests_per_s
        now_s = BEGIN_S
        arrivals = []
        while now_s < BEGIN_S + seconds:
            now_s += self.random.expovariate(rate)
            numbers = range(len(self.entries))
            (entry,) = self.random.choices(numbers, self.weights)
            arrivals.append((now_s, entry))
        return arrivals

    def _record_first_arrival(self, entry: int, now_s: float) -> None:
        self.first_arrivals.append(now_s)
        self.entries[entry].record_first_arrival(SERVICE, now_s)
        self._trade(entry, now_s)

    def _try_escalate(self, entry: int, now_s: float) -> bool:
        count = len(self.entries)
        for _ in range(2):
            if self.entries[entry].has_spare(SERVICE, count, now_s, 0.25):
                return self._try_add(entry, now_s)
            self._trade(entry, now_s, SERVICE)
        return False

    def _try_add_twice(self, entry: int, now_s: float) -> None:
        if not self._try_add(entry, now_s):
            self._try_add(entry, now_s)

    def _try_add(self, entry: int, now_s: float) -> bool:
        count = len(self.entries)
        is_granted = self.entries[entry].try_spend(SERVICE, count, now_s)
        if is_granted:
            self.further_arrivals.append(now_s)
        self._trade(entry, now_s, "" if is_granted else SERVICE)
        return is_granted

    def _trade(self, entry: int, now_s: float, needed: str = "") -> None:
        budget = self.entries[entry]
        trade = budget.open_trade(len(self.entries), now_s, needed)
        if trade is None:
            return
        outcome = self.random.random() if self.lossy else 1.0
        if outcome < 0.05:
            self._late_trades.append((entry, trade))
        elif outcome < 0.1:
            self._deliver(entry, trade, now_s)
        else:
            lent = self._deliver(entry, trade, now_s)
            budget.close_trade(trade.number, lent)
        if len(self._late_trades) > len(self.entries) / 4:
            for late in self._late_trades:
                self._deliver(*late, now_s)
            self._late_trades.clear()

    def _deliver(
        self, entry: int, trade: Trade, now_s: float
    ) -> dict[str, float]:
        pools = len(self.pools)
        pool = self.pools[entry % pools]
        return pool.trade(trade.given, trade.asked, pools, now_s)

    def _count_within(self, times: list[float], begin_s: float) -> int:
        begin_s += BEGIN_S
        end_s = begin_s + self.allowance.window_s
        return sum(begin_s <= time < end_s for time in times)
