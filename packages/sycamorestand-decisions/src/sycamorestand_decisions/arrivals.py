"""One budget for all that reaches servers beyond a request's first arrival.

The load pattern is servers that crash or fill up while requests climb from
model to model: refusals are tried elsewhere, broken streams are resumed,
slow servers are left, each by a bound of its own, and together they nearly
double the load of the servers that are left. The owner of the servers allows
a service a share of its requests in a window of time, and some more, summed
over all entries.

Each request that an entry sends earns it a part of a further arrival. What it
does not use it keeps, up to a part of what the last window's requests earn
and an equal part of the fixed rest. It begins with nothing.

So the entries together stay within what is allowed, whatever is cut off,
restarted or taken over by others: in a window they add no more than what they
had kept at its begin, which the window before allows, and what its own
requests earn. By a count of what each has sent in the last window, entries
that are killed, or that callers leave, could spend what calm seconds left,
and those that come after them a whole share again.

One of hundreds of entries sees so few requests that what it may keep is an
arrival or two: it loses what it earns above that, and has none left when a
few requests in a row need one. So it trades with a pool (`arrival_pool`):
it gives what it is about to lose and asks for what it lacks. What is under
way counts as kept by the entry until it is answered, so that a trade adds
nothing to what all keep, whatever becomes of its messages.
"""

from __future__ import annotations

from collections import deque
import math
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# Of the allowed share, what a request earns, and what may be kept of that.
# The rest of the share is for what entries cannot see: requests that reach
# the servers later than the owner of the servers counts them.
EARNED_SHARE: Final = 0.8
KEPT_SHARE: Final = 0.15
# Of the fixed rest, what entries may keep, what pools may keep, and what
# comes to pools in each window.
ENTRIES_SHARE: Final = 0.5
POOLED_SHARE: Final = 0.25
REFILLED_SHARE: Final = 0.2
# Of what may be kept, the part for arrivals without which a caller would
# leave without an answer.
URGENT_SHARE: Final = 0.25
MAX_SERVICES: Final = 256
# A busy entry spends several times between two trades.
TRADE_INTERVAL_S: Final = 0.1
# A request that needs one now waits for no gift before it; while the pool is
# empty, not each of them asks again.
URGENT_TRADE_INTERVAL_S: Final = 0.02
# After a pool was full.
GIVE_BACKOFF_S: Final = 1.0
# What is lent later than this is lost, and asked for again.
TRADE_TIMEOUT_S: Final = 1.0


class Allowance(NamedTuple):
    """What a service may get beyond first arrivals, over all entries.

    In each ``window_s``: ``ratio`` of its requests, and ``slack`` more. A
    ``ratio`` of 0 sets no bound.
    """

    ratio: float = 0.0
    slack: float = 0.0
    window_s: float = 10.0


class Share(NamedTuple):
    """One entry's part of a service's budget, as it stands now.

    ``entries`` is how many entries the fixed part was divided by, ``first``
    how many requests it sent in the window; ``left`` is what it may still
    add, of ``most`` that it may keep.
    """

    entries: int
    first: int
    left: float
    most: float


class Trade(NamedTuple):
    """What an entry gives to the pool and asks of it, by service.

    ``number`` tells the answer to this one from those to earlier ones.
    """

    number: int
    given: dict[str, float]
    asked: dict[str, float]


class ArrivalBudget:
    """What one entry may add at each service.

    >>> budget = ArrivalBudget(Allowance(ratio=0.9, slack=60.0))
    >>> budget.may_add("words", 10, 0.0)
    False
    >>> for _ in range(4):
    ...     budget.sent_first("words", 0.0)
    >>> [budget.may_add("words", 10, 0.0) for _ in range(3)]
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
        """Count the first arrival of a request, which earns a part."""
        allowance = self._allowance
        if not allowance.ratio:
            return
        account = self._account(service)
        account.first_s.append(now_s)
        account.forget_before(now_s - allowance.window_s)
        account.left += self._earned_per_request

    def try_spend(self, service: str, entries: int, now_s: float) -> bool:
        """Spend one more arrival of a request, if there is one left.

        ``entries`` is how many entries there are, all of them: divided by
        the few that callers are told of, the parts of a large installation
        add up to many times the allowance. An entry that does not know,
        0, takes no part of the fixed rest.
        """
        if not self._allowance.ratio:
            return True
        if self.share(service, entries, now_s).left < 1:
            return False
        self._account(service).left -= 1
        return True

    def has_spare(self, service: str, entries: int, now_s: float) -> bool:
        """Tell whether more is left than what is kept for urgent arrivals.

        Climbs and moves make an answer better or sooner. Under an overload
        they would use up what others need to have an answer at all.
        """
        if not self._allowance.ratio:
            return True
        share = self.share(service, entries, now_s)
        return share.left >= _spare_threshold(share.most)

    def share(self, service: str, entries: int, now_s: float) -> Share:
        """Return what this entry has left."""
        allowance = self._allowance
        account = self._account(service)
        account.forget_before(now_s - allowance.window_s)
        first = len(account.first_s)
        part = allowance.slack / entries * ENTRIES_SHARE if entries else 0.0
        # An entry of few requests must be able to save up a whole arrival.
        floor = 1 + self._earned_per_request if first else 0.0
        most = max(floor, part + self._max_kept(first))
        account.left = min(account.left, most - account.in_transit(now_s))
        return Share(entries, first, account.left, most)

    @property
    def expects_quick_reply(self) -> bool:
        """Return whether a trade is open, and the pool answered before."""
        return self._is_open and self._pool_answered

    def open_trade(
        self, entries: int, now_s: float, needed: str = ""
    ) -> Trade | None:
        """Return what to give to the pool and to ask of it, None for nothing.

        ``needed`` is a service that has too little left now. One trade is
        open at a time. What it gives is taken from what is left at once; to
        a pool that left the last trade unanswered it gives nothing.
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
            spare_threshold = _spare_threshold(share.most)
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
        """Take what the pool lends, and what it did not take.

        An answer that comes too late is lost.
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
        """Go on without an answer.

        What was given may still reach the pool, so that it counts as kept
        here for a window more.
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
        """Return what may be kept of what a window's requests earn."""
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
    """One service's requests of the last window, and what is left."""

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
        """Return what counts as kept here besides what is left."""
        while self.unanswered and self.unanswered[0][0] < now_s:
            self.unanswered.popleft()
        unanswered = sum(given for _, given in self.unanswered)
        return self.given + self.asked + unanswered


def _spare_threshold(most: float) -> float:
    """Return what is left at least where some may be spent as spare."""
    return 1 + URGENT_SHARE * (most - 1)


__all__ = [
    "Allowance",
    "ArrivalBudget",
    "EARNED_SHARE",
    "POOLED_SHARE",
    "REFILLED_SHARE",
    "Share",
    "Trade",
]
