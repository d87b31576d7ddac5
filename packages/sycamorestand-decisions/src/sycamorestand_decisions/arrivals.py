"""One budget for all that reaches servers beyond a request's first arrival.

The load pattern is servers that crash or fill up while requests climb from
model to model: refusals are tried elsewhere, broken streams are resumed,
slow servers are left, each by a bound of its own, and together they nearly
double the load of the servers that are left. The owner of the servers allows
a service a share of its requests in a window of time, and some more, summed
over all entries.

Each entry keeps to that share of the requests that it sent itself, and to
an equal part of the rest. The sums add up to what is allowed whatever is cut
off or restarted, and no message is needed; a busy entry has a larger share,
as it has more requests.
"""

from __future__ import annotations

from collections import deque
from typing import Final
from typing import NamedTuple

# The rest of the share is for what entries cannot see: a window that begins
# between two requests, and those that a restart made them forget.
SAFE_SHARE: Final = 0.9
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

    ``entries`` is how many entries the fixed part was divided by; ``first``
    and ``further`` are its own arrivals in the window, and ``left`` is what
    it may still add.
    """

    entries: int
    first: int
    further: int
    left: float


class ArrivalBudget:
    """Counts one entry's arrivals at each service."""

    def __init__(self, allowance: Allowance) -> None:
        self._allowance = allowance
        self._counts: dict[str, _Counts] = {}

    def sent_first(self, service: str, now_s: float) -> None:
        """Count the first arrival of a request."""
        self._of(service).first_s.append(now_s)

    def may_add(self, service: str, entries: int, now_s: float) -> bool:
        """Count one more arrival of a request, if the budget has it.

        ``entries`` is how many entries there are, all of them: divided by
        the few that callers are told of, the parts of a large installation
        add up to many times the allowance. An entry that does not know,
        0, takes no part of the fixed rest.
        """
        if not self._allowance.ratio:
            return True
        if self.share(service, entries, now_s).left < 1:
            return False
        self._of(service).further_s.append(now_s)
        return True

    def share(self, service: str, entries: int, now_s: float) -> Share:
        """Return what this entry has used and has left."""
        allowance = self._allowance
        counts = self._of(service)
        counts.forget_before(now_s - allowance.window_s)
        part = allowance.slack / entries if entries else 0.0
        first, further = len(counts.first_s), len(counts.further_s)
        allowed = (allowance.ratio * first + part) * SAFE_SHARE
        return Share(entries, first, further, allowed - further)

    def _of(self, service: str) -> _Counts:
        counts = self._counts.get(service)
        if counts is None:
            if len(self._counts) >= MAX_SERVICES:
                self._counts.clear()
            counts = self._counts[service] = _Counts()
        return counts


class _Counts:
    """When arrivals of one service were, the oldest first."""

    def __init__(self) -> None:
        self.first_s: deque[float] = deque()
        self.further_s: deque[float] = deque()

    def forget_before(self, when_s: float) -> None:
        for times in (self.first_s, self.further_s):
            while times and times[0] < when_s:
                times.popleft()


__all__ = ["Allowance", "ArrivalBudget", "SAFE_SHARE", "Share"]
