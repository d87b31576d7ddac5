"""What entries give back of their budgets of arrivals, for others to use.

The load pattern is an installation of hundreds of entries that see a request
or two a second each. As a whole it stays far under what the owner of the
servers allows, and yet an entry whose few requests climb in a row has nothing
left, while its neighbours lose what they may not keep.

Each control process that votes has a pool. It begins empty, fills with time
and by what entries give, and holds no more than an equal part of what is set
aside for pools: whatever is cut off or restarted, they add no more in a
window than that and what comes in the window.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorestand_decisions.arrivals import MAX_SERVICES
from sycamorestand_decisions.arrivals import POOLED_SHARE
from sycamorestand_decisions.arrivals import REFILLED_SHARE

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sycamorestand_decisions.arrivals import Allowance


class ArrivalPool:
    """What one control process can lend, by service.

    >>> from sycamorestand_decisions.arrivals import Allowance
    >>> pool = ArrivalPool(Allowance(ratio=0.9, slack=60.0), 0.0)
    >>> pool.trade({"words": 1.5}, {}, 3, 0.0)
    {}
    >>> pool.trade({}, {"words": 2.0}, 3, 0.0)
    {'words': 1.5}
    """

    def __init__(self, allowance: Allowance, now_s: float) -> None:
        self._allowance = allowance
        self._begun_s = now_s
        self._accounts: dict[str, _Account] = {}

    def trade(
        self,
        given: Mapping[str, float],
        asked: Mapping[str, float],
        pools: int,
        now_s: float,
    ) -> dict[str, float]:
        """Take what an entry gives and return what it is lent.

        What the pool has no room for goes back to the entry. ``pools`` is how
        many there are, 0 where this is not one of them.
        """
        if not pools:
            return dict(given)
        lent = {}
        for service, amount in given.items():
            account = self._refill(service, pools, now_s)
            taken = min(amount, self._limit(pools) - account.left)
            account.left += taken
            if taken < amount:
                lent[service] = amount - taken
        for service, amount in asked.items():
            account = self._refill(service, pools, now_s)
            lent[service] = min(amount, account.left)
            account.left -= lent[service]
        return lent

    def total_left(self) -> float:
        """Return what all services have left, as of their last trades."""
        return sum(account.left for account in self._accounts.values())

    def _limit(self, pools: int) -> float:
        return self._allowance.slack * POOLED_SHARE / pools

    def _refill(self, service: str, pools: int, now_s: float) -> _Account:
        account = self._account(service, now_s)
        allowance = self._allowance
        rate_per_s = allowance.slack * REFILLED_SHARE / allowance.window_s
        added = (now_s - account.filled_s) * rate_per_s / pools
        account.left = min(account.left + added, self._limit(pools))
        account.filled_s = now_s
        return account

    def _account(self, service: str, now_s: float) -> _Account:
        account = self._accounts.get(service)
        if account is None:
            if len(self._accounts) >= MAX_SERVICES:
                self._accounts.clear()
                self._begun_s = now_s
            account = self._accounts[service] = _Account(self._begun_s)
        return account


class _Account:
    """What is left for one service, and until when it was filled."""

    def __init__(self, filled_s: float) -> None:
        self.left = 0.0
        self.filled_s = filled_s


__all__ = ["ArrivalPool"]
