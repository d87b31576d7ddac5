"""Pool of unused arrival budget that entries lend to each other.

An installation may have hundreds of entries that each receive one or two
requests a second. In total it stays far below the load that the owner of the
servers allows, yet an entry with several escalations in a row has no budget
left, while its neighbours lose budget that they may not keep.

Each control process that votes has one pool. A pool starts empty, fills with
time and with what entries give, and holds at most an equal part of the
allowance that is set aside for pools. Whatever is partitioned or restarted,
the pools together add no more arrivals in a window than this allowance and
what is refilled during the window.
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
    """Arrivals that one control process can lend, by service.

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
        """Add the arrivals that an entry gives and return those lent to it.

        The pool returns arrivals that exceed its capacity to the entry.
        ``pools`` is the number of pools, 0 if this process is not one of them.
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
        """Return the sum left for all services, as of their last trades."""
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
    """The arrivals left for one service, and the time of the last refill."""

    def __init__(self, filled_s: float) -> None:
        self.left = 0.0
        self.filled_s = filled_s


__all__ = ["ArrivalPool"]
