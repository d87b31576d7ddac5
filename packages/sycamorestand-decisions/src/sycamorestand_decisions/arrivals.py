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
restarted or taken over by others, and no message is needed: in a window they
add no more than what they had kept at its begin, which the window before
allows, and what its own requests earn. By a count of what each has sent in
the last window, entries that are killed, or that callers leave, could spend
what calm seconds left, and those that come after them a whole share again.
"""

from __future__ import annotations

from collections import deque
from typing import Final
from typing import NamedTuple

# Of the allowed share, what a request earns, and what may be kept of that.
# The rest of the share is for what entries cannot see: requests that reach
# the servers later than the owner of the servers counts them.
EARNED_SHARE: Final = 0.8
KEPT_SHARE: Final = 0.15
SAFE_SHARE: Final = EARNED_SHARE + KEPT_SHARE
# Of what may be kept, the part for arrivals without which a caller would
# leave without an answer.
URGENT_SHARE: Final = 0.25
MAX_SERVICES: Final = 256


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

    def sent_first(self, service: str, now_s: float) -> None:
        """Count the first arrival of a request, which earns a part."""
        allowance = self._allowance
        if not allowance.ratio:
            return
        account = self._of(service)
        account.first_s.append(now_s)
        account.forget_before(now_s - allowance.window_s)
        account.left += self._earned

    def may_add(self, service: str, entries: int, now_s: float) -> bool:
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
        self._of(service).left -= 1
        return True

    def has_spare(self, service: str, entries: int, now_s: float) -> bool:
        """Tell whether more is left than what is kept for urgent arrivals.

        Climbs and moves make an answer better or sooner. Under an overload
        they would use up what others need to have an answer at all.
        """
        if not self._allowance.ratio:
            return True
        share = self.share(service, entries, now_s)
        return share.left >= 1 + URGENT_SHARE * (share.most - 1)

    def share(self, service: str, entries: int, now_s: float) -> Share:
        """Return what this entry has left."""
        allowance = self._allowance
        account = self._of(service)
        account.forget_before(now_s - allowance.window_s)
        first = len(account.first_s)
        part = allowance.slack / entries * SAFE_SHARE if entries else 0.0
        kept = allowance.ratio * KEPT_SHARE * first
        # An entry of few requests must be able to save up a whole arrival.
        most = max(1 + self._earned, part + kept)
        account.left = min(account.left, most)
        return Share(entries, first, account.left, most)

    @property
    def _earned(self) -> float:
        return self._allowance.ratio * EARNED_SHARE

    def _of(self, service: str) -> _Account:
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

    def forget_before(self, when_s: float) -> None:
        while self.first_s and self.first_s[0] < when_s:
            self.first_s.popleft()


__all__ = ["Allowance", "ArrivalBudget", "EARNED_SHARE", "SAFE_SHARE", "Share"]
