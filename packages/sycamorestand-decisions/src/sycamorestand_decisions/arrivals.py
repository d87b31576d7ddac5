"""Budget for all arrivals at servers beyond a request's first one.

Servers crash or fill up while requests escalate from model to model. Refused
requests are tried elsewhere, broken streams are resumed, and slow servers are
abandoned. Each of these is bounded separately, but together they nearly double
the load of the remaining servers. The owner of the servers allows each service
a ratio of its requests in a time window, plus a fixed slack, summed over all
entries.

Each request that an entry sends earns the entry a part of a further arrival.
The entry keeps unused budget up to a limit: a part of what the requests of the
last window earn, and an equal part of the slack. It starts with nothing.

The entries together therefore stay within the allowance, whatever is
partitioned, restarted or replaced. In a window they add at most what they had
kept at its start, which the previous window allows, and what the requests of
the window earn. A count of the arrivals that each entry sent in the last
window would not have this property: entries that are killed, or that callers
leave, could spend the budget of calm seconds, and their successors could spend
a whole share again.

One of hundreds of entries sees so few requests that it may keep only an
arrival or two. It loses what it earns beyond that, and has nothing left when
several requests in a row need an arrival. The entry therefore trades with a
pool (`arrival_pool`): it gives what it is about to lose and asks for what it
lacks. Arrivals in transit count as kept by the entry until the pool answers,
so a trade never raises the total that is kept, even if messages are lost.
"""

from __future__ import annotations

from collections import deque
import math
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# Shares of the allowed ratio that a request earns and that may be kept. The
# rest of the ratio covers what entries cannot see: requests that reach the
# servers later than the owner of the servers counts them.
EARNED_SHARE: Final = 0.8
KEPT_SHARE: Final = 0.15
# Shares of the slack that entries may keep, that pools may keep, and that is
# refilled into the pools in each window.
ENTRIES_SHARE: Final = 0.5
POOLED_SHARE: Final = 0.25
REFILLED_SHARE: Final = 0.2
# Share of the kept budget above one arrival, up to which an entry borrows. It
# is also the largest reserve of an escalation (`further_attempts`).
URGENT_SHARE: Final = 0.25
MAX_SERVICES: Final = 256
# A busy entry spends several arrivals between two trades.
TRADE_INTERVAL_S: Final = 0.1
# A request that needs an arrival now does not wait for `TRADE_INTERVAL_S`.
# While the pool is empty, this shorter interval keeps each such request from
# asking again.
URGENT_TRADE_INTERVAL_S: Final = 0.02
# Pause before the next gift after the pool was full.
GIVE_BACKOFF_S: Final = 1.0
# Arrivals lent later than this are discarded and asked for again.
TRADE_TIMEOUT_S: Final = 1.0


class Allowance(NamedTuple):
    """Arrivals that a service may get beyond first ones, from all entries.

    In each window of ``window_s`` seconds it is ``ratio`` times the service's
    requests, plus ``slack``. A ``ratio`` of 0 means that there is no limit.
    """

    ratio: float = 0.0
    slack: float = 0.0
    window_s: float = 10.0


class Share(NamedTuple):
    """The state of one entry's part of a service's budget.

    ``entries`` is the number of entries that the slack was divided by,
    ``first`` the number of requests that the entry sent in the window.
    ``left`` is the number of arrivals that it may still add, at most ``most``.
    """

    entries: int
    first: int
    left: float
    most: float


class Trade(NamedTuple):
    """Arrivals that an entry gives to the pool and asks of it, by service.

    ``number`` distinguishes the answer to this trade from answers to earlier
    ones.
    """

    number: int
    given: dict[str, float]
    asked: dict[str, float]


class ArrivalBudget:
    """Further arrivals that one entry may send to each service.

    >>> budget = ArrivalBudget(Allowance(ratio=0.9, slack=60.0))
    >>> budget.try_spend("words", 10, 0.0)
    False
    >>> for _ in range(4):
    ...     budget.record_first_arrival("words", 0.0)
    >>> [budget.try_spend("words", 10, 0.0) for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, allowance: Allowance) -> None:
        self._allowance = allowance
        self._accounts: dict[str, _Account] = {}
        self._trade = 0
        self._traded_s = -math.inf
        self._is_open = False
        self._pool_answered = False

    def record_first_arrival(self, service: str, now_s: float) -> None:
        """Count the first arrival of a request, which earns budget."""
        allowance = self._allowance
        if not allowance.ratio:
            return
        account = self._account(service)
        account.first_s.append(now_s)
        account.forget_before(now_s - allowance.window_s)
        account.left += self._earned_per_request

    def try_spend(self, service: str, entries: int, now_s: float) -> bool:
        """Spend one further arrival; return False if none is left.

        ``entries`` must be the number of all entries. Divided by only the few
        entries that a caller knows of, the parts of a large installation add
        up to many times the allowance. An entry that does not know the number
        passes 0 and gets no part of the slack.
        """
        if not self._allowance.ratio:
            return True
        if self.share(service, entries, now_s).left < 1:
            return False
        self._account(service).left -= 1
        return True

    def has_spare(
        self, service: str, entries: int, now_s: float, reserve: float
    ) -> bool:
        """Return whether an arrival may be spent that leaves ``reserve``.

        The reserve is a share of what may be kept above one arrival.
        Escalations and moves to another server improve an answer or its
        latency. Under overload they would use up the budget that other
        requests need to get an answer at all, or that is worth more to them.
        """
        if not self._allowance.ratio:
            return True
        share = self.share(service, entries, now_s)
        return share.left >= _spare_threshold(share.most, reserve)

    def share(self, service: str, entries: int, now_s: float) -> Share:
        """Return the current state of this entry's part of the budget."""
        allowance = self._allowance
        account = self._account(service)
        account.forget_before(now_s - allowance.window_s)
        first = len(account.first_s)
        part = allowance.slack / entries * ENTRIES_SHARE if entries else 0.0
        # An entry with few requests must be able to save up a whole arrival.
        floor = 1 + self._earned_per_request if first else 0.0
        most = max(floor, part + self._max_kept(first))
        account.left = min(account.left, most - account.in_transit(now_s))
        return Share(entries, first, account.left, most)

    @property
    def expects_quick_reply(self) -> bool:
        """Whether a trade is open and the pool answered the last one."""
        return self._is_open and self._pool_answered

    def open_trade(
        self, entries: int, now_s: float, needed: str = ""
    ) -> Trade | None:
        """Return the next trade with the pool, None if none is needed.

        ``needed`` is a service that has too little left now, empty if there is
        none. Only one trade is open at a time. The arrivals that it gives are
        deducted immediately. A pool that did not answer the last trade is
        given nothing.
        """
        wait_s = URGENT_TRADE_INTERVAL_S if needed else TRADE_INTERVAL_S
        if self._is_open:
            wait_s = TRADE_TIMEOUT_S
        if not self._allowance.ratio or now_s < self._traded_s + wait_s:
            return None
        self._abandon_trade(now_s)
        given, asked, has_more = {}, {}, False
        for service, account in self._accounts.items():
            share = self.share(service, entries, now_s)
            kept = self._max_kept(share.first)
            spare_threshold = _spare_threshold(share.most, URGENT_SHARE)
            lacks_spare = share.left < spare_threshold
            if lacks_spare and (service == needed or kept > spare_threshold):
                level = max(spare_threshold, kept / 2)
                account.asked = asked[service] = level - share.left
            elif share.left > kept and now_s >= account.give_after_s:
                has_more = True
                if self._pool_answered:
                    account.given = given[service] = share.left - kept / 2
                    account.left = kept / 2
        if not asked and not has_more:
            return None
        self._trade += 1
        self._traded_s = now_s
        self._is_open = True
        return Trade(self._trade, given, asked)

    def close_trade(self, number: int, lent: Mapping[str, float]) -> None:
        """Add the arrivals that the pool lends or returns.

        An answer to an earlier trade is ignored, and its arrivals are lost.
        """
        if not self._is_open or number != self._trade:
            return
        self._is_open = False
        self._pool_answered = True
        for service, account in self._accounts.items():
            received = lent.get(service, 0.0)
            if account.given and received:
                account.give_after_s = self._traded_s + GIVE_BACKOFF_S
            account.left += min(account.asked + account.given, received)
            account.given = account.asked = 0.0

    def _abandon_trade(self, now_s: float) -> None:
        """Close an open trade that got no answer.

        The given arrivals may still reach the pool, so they count as kept by
        this entry for another window.
        """
        if not self._is_open:
            return
        self._is_open = False
        self._pool_answered = False
        for account in self._accounts.values():
            if account.given:
                until_s = now_s + self._allowance.window_s
                account.unanswered.append((until_s, account.given))
            account.given = account.asked = 0.0

    def _max_kept(self, first: int) -> float:
        """Return how much may be kept of what a window's requests earn."""
        return self._allowance.ratio * KEPT_SHARE * first

    @property
    def _earned_per_request(self) -> float:
        return self._allowance.ratio * EARNED_SHARE

    def _account(self, service: str) -> _Account:
        account = self._accounts.get(service)
        if account is None:
            if len(self._accounts) >= MAX_SERVICES:
                self._accounts.clear()
            account = self._accounts[service] = _Account()
        return account


class _Account:
    """First arrivals in the window and the budget left for one service."""

    def __init__(self) -> None:
        self.first_s: deque[float] = deque()
        self.left = 0.0
        self.given = 0.0
        self.asked = 0.0
        self.give_after_s = -math.inf
        self.unanswered: deque[tuple[float, float]] = deque()

    def forget_before(self, when_s: float) -> None:
        while self.first_s and self.first_s[0] < when_s:
            self.first_s.popleft()

    def in_transit(self, now_s: float) -> float:
        """Return the arrivals that count as kept in addition to those left."""
        while self.unanswered and self.unanswered[0][0] < now_s:
            self.unanswered.popleft()
        unanswered = sum(given for _, given in self.unanswered)
        return self.given + self.asked + unanswered


def _spare_threshold(most: float, reserve: float) -> float:
    """Return the least amount left at which spare arrivals may be spent."""
    return 1 + reserve * (most - 1)


__all__ = [
    "Allowance",
    "ArrivalBudget",
    "EARNED_SHARE",
    "ENTRIES_SHARE",
    "KEPT_SHARE",
    "POOLED_SHARE",
    "REFILLED_SHARE",
    "Share",
    "Trade",
    "URGENT_SHARE",
]
