"""Budgets for retries and hedged requests.

When a pool fails or slows down as a whole, retrying each failed request
multiplies the load while the pool has the least capacity, so it cannot
recover. The retry budget limits retries to a tenth of the successes, whatever
fails. Overload signals are never retried, because the next server is most
likely full as well.
"""

from __future__ import annotations

from typing import Final

# Of the successes. A lost server of nine fails 11 % of the requests once, and
# saved-up budget covers a retry of each. A pool that fails as a whole gets
# 10 % more load.
RETRY_SHARE: Final = 0.1
CUSTOMER_BURST: Final = 5.0
# Bucket size of one entry for all customers. A lost server fails one full
# batch of 16 requests, spread over ten entries, and as many again until its
# lease ends. With a size of 30, ten entries with little traffic retried a
# quarter of all requests during ten seconds of errors.
ENTRY_BURST: Final = 10.0
# A customer with few requests earns too little to ever retry. This refill
# gives it one retry in ten seconds, and the same to all customers together.
CUSTOMER_REFILL_PER_S: Final = 0.1
ENTRY_REFILL_PER_S: Final = 0.1
# Two in a hundred requests may be sent twice. Requests whose wait for the
# first byte exceeds the 98th percentile gain most from that.
HEDGE_SHARE: Final = 0.02
HEDGE_BURST: Final = 10.0
OVERLOAD_CAUSES: Final = frozenset({"overloaded", "refused", "cancelled"})
MAX_CUSTOMERS: Final = 10_000


class RetryBudget:
    """Retry budget of each customer and of all customers together.

    ``share`` is the part of a retry that each success earns. It may exceed the
    default if the owner of the backend servers allows more.
    """

    def __init__(self, share: float = RETRY_SHARE) -> None:
        self._share = share
        self._shared = _TokenBucket(ENTRY_BURST, ENTRY_REFILL_PER_S)
        self._customers: dict[str, _TokenBucket] = {}
        self.granted = 0
        self.denied = 0

    def spend_retry(self, customer: str, now_s: float, cause: str) -> bool:
        """Spend one retry if both budgets have one; return whether they had.

        An overload, a refusal or a cancellation is never retried.
        """
        bucket = self._customer_bucket(customer)
        if cause in OVERLOAD_CAUSES or not (
            bucket.has_one(now_s) and self._shared.has_one(now_s)
        ):
            self.denied += 1
            return False
        bucket.spend()
        self._shared.spend()
        self.granted += 1
        return True

    def record_success(self, customer: str, now_s: float) -> None:
        """Add the share of a retry that a success earns."""
        self._customer_bucket(customer).earn(self._share, now_s)
        self._shared.earn(self._share, now_s)

    def _customer_bucket(self, customer: str) -> _TokenBucket:
        bucket = self._customers.get(customer)
        if bucket is None:
            if len(self._customers) >= MAX_CUSTOMERS:
                self._customers.clear()
            bucket = _TokenBucket(CUSTOMER_BURST, CUSTOMER_REFILL_PER_S)
            self._customers[customer] = bucket
        return bucket


class HedgeBudget:
    """Budget for hedged requests: second attempts while the first one waits.

    Only idempotent requests that wait unusually long may be hedged.
    """

    def __init__(self) -> None:
        self._bucket = _TokenBucket(HEDGE_BURST, 0.0)
        self._percentile_s = 1.0

    def delay_s(self) -> float:
        """Return how many seconds to wait for a first byte before a hedge."""
        return self._percentile_s

    def observe(self, first_byte_s: float, now_s: float) -> None:
        """Update the percentile of the wait and add the request's share."""
        above = first_byte_s > self._percentile_s
        step = 1.0 - HEDGE_SHARE if above else -HEDGE_SHARE
        self._percentile_s = max(
            0.001, self._percentile_s * (1.0 + 0.05 * step)
        )
        self._bucket.earn(HEDGE_SHARE, now_s)

    def spend_hedge(
        self, now_s: float, waited_s: float, idempotent: bool
    ) -> bool:
        """Spend one hedge if the request may be hedged; return if so."""
        if not idempotent or waited_s < self._percentile_s:
            return False
        if not self._bucket.has_one(now_s):
            return False
        self._bucket.spend()
        return True


class _TokenBucket:
    """A token bucket that successes and, slowly, time refill."""

    def __init__(self, capacity: float, per_s: float) -> None:
        self._capacity = capacity
        self._per_s = per_s
        self._tokens = capacity / 2
        self._filled_s: float | None = None

    def has_one(self, now_s: float) -> bool:
        self._refill(now_s)
        return self._tokens >= 1.0

    def spend(self) -> None:
        self._tokens -= 1.0

    def earn(self, amount: float, now_s: float) -> None:
        self._refill(now_s)
        self._tokens = min(self._capacity, self._tokens + amount)

    def _refill(self, now_s: float) -> None:
        last_s = now_s if self._filled_s is None else self._filled_s
        gained = max(0.0, now_s - last_s) * self._per_s
        self._tokens = min(self._capacity, self._tokens + gained)
        self._filled_s = now_s


__all__ = ["HedgeBudget", "RetryBudget"]
