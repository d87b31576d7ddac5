"""Stateful test of entries that share one arrival budget."""

from __future__ import annotations

from typing import Final

from hypothesis import settings
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.strategies import floats
from hypothesis.strategies import integers
from hypothesis.strategies import sampled_from

from sycamorestand_decisions.arrival_pool import ArrivalPool
from sycamorestand_decisions.arrivals import Allowance
from sycamorestand_decisions.arrivals import ArrivalBudget
from sycamorestand_decisions.arrivals import Trade

ENTRIES: Final = 3
ALLOWANCE: Final = Allowance(ratio=0.9, slack=12.0, window_s=10.0)
SERVICE: Final = "words"
POOLS: Final = 2
ENTRY: Final = integers(0, ENTRIES - 1)
POOL: Final = integers(0, POOLS - 1)


class SharedBudget(RuleBasedStateMachine):
    """All arrivals at the servers of one service, from every entry.

    Entries send requests, spend all further arrivals that they may, and are
    killed and lose their counts; for a while they may not know the number of
    entries. They trade with pools, which are killed too. A trade or its answer
    may be late or lost. In any order of these events, no window may have more
    arrivals than the owner of the servers allows.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.budgets = [ArrivalBudget(ALLOWANCE) for _ in range(ENTRIES)]
        self.known_entries = [ENTRIES] * ENTRIES
        self.pools = [ArrivalPool(ALLOWANCE, self.now_s) for _ in range(POOLS)]
        self.sent_trades: list[Trade] = []
        self.answers: list[tuple[int, int, dict[str, float]]] = []
        self.firsts: list[float] = []
        self.further: list[float] = []

    @rule(entry=ENTRY, count=sampled_from([1, 10, 100]))
    def requests_come(self, entry: int, count: int) -> None:
        for _ in range(count):
            self.budgets[entry].record_first_arrival(SERVICE, self.now_s)
            self.firsts.append(self.now_s)

    @rule(entry=ENTRY, most=sampled_from([1, 300]))
    def servers_refuse(self, entry: int, most: int) -> None:
        budget, known_entries = self.budgets[entry], self.known_entries[entry]
        for _ in range(most):
            if not budget.try_spend(SERVICE, known_entries, self.now_s):
                return
            self.further.append(self.now_s)

    @rule(entry=ENTRY)
    def is_killed(self, entry: int) -> None:
        self.budgets[entry] = ArrivalBudget(ALLOWANCE)
        self.known_entries[entry] = 0

    @rule(entry=ENTRY, pool=POOL)
    def trades(self, entry: int, pool: int) -> None:
        trade = self._open(entry)
        if trade is not None:
            lent = self._deliver(trade, pool)
            self.budgets[entry].close_trade(trade.number, lent)

    @rule(entry=ENTRY)
    def sends_a_trade(self, entry: int) -> None:
        trade = self._open(entry)
        if trade is not None:
            self.sent_trades.append(trade)

    @rule(entry=ENTRY, pool=POOL)
    def a_trade_arrives(self, entry: int, pool: int) -> None:
        if self.sent_trades:
            trade = self.sent_trades.pop(0)
            lent = self._deliver(trade, pool)
            self.answers.append((entry, trade.number, lent))

    @rule()
    def an_answer_arrives(self) -> None:
        if self.answers:
            entry, number, lent = self.answers.pop(0)
            self.budgets[entry].close_trade(number, lent)

    @rule(pool=POOL)
    def a_pool_is_killed(self, pool: int) -> None:
        self.pools[pool] = ArrivalPool(ALLOWANCE, self.now_s)

    def _open(self, entry: int) -> Trade | None:
        return self.budgets[entry].open_trade(
            self.known_entries[entry], self.now_s, SERVICE
        )

    def _deliver(self, trade: Trade, pool: int) -> dict[str, float]:
        return self.pools[pool].trade(
            trade.given, trade.asked, POOLS, self.now_s
        )

    @rule()
    def every_server_refuses(self) -> None:
        for entry in range(ENTRIES):
            self.servers_refuse(entry, 300)

    @rule(rounds=sampled_from([1, 20]))
    def every_server_refuses_for_a_while(self, rounds: int) -> None:
        for number in range(rounds * ENTRIES):
            self.now_s += 0.01
            entry = number % ENTRIES
            self.servers_refuse(entry, 300)
            self.trades(entry, entry % POOLS)
            self.servers_refuse(entry, 300)

    @rule()
    def all_are_killed(self) -> None:
        for entry in range(ENTRIES):
            self.is_killed(entry)
            self.hears_from_control(entry)

    @rule(entry=ENTRY)
    def hears_from_control(self, entry: int) -> None:
        self.known_entries[entry] = ENTRIES

    @rule(seconds=floats(0.1, 6.0))
    def time_passes(self, seconds: float) -> None:
        self.now_s += seconds

    @invariant()
    def stays_within_the_allowance(self) -> None:
        """Check the window that ends now; earlier ones were checked before."""
        begin_s = self.now_s - ALLOWANCE.window_s
        before_s = begin_s - ALLOWANCE.window_s
        further = sum(when_s > begin_s for when_s in self.further)
        requests = sum(when_s > begin_s for when_s in self.firsts)
        earlier = sum(before_s < when_s <= begin_s for when_s in self.firsts)
        allowed = ALLOWANCE.ratio * max(requests, earlier) + ALLOWANCE.slack
        assert further <= allowed


SharedBudget.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
)
TestSharedBudget = SharedBudget.TestCase
