"""Budgets for retries and hedges.

The load pattern is a pool that fails or slows down as a whole. Without a
budget each failed request is tried again, which multiplies the load at the
moment when there is least capacity, and the pool cannot recover. With it
retries stay under a tenth of the successes, whatever fails. Overload
signals are never retried: the next server is most likely as full.

Shown by ``dev/bench decisions --scenario error-storm`` and
``--scenario server-lost``.
"""

from __future__ import annotations

from typing import Final

# A tenth: a lost server of nine fails 11 % of the requests once, and all
# of them are tried again out of the savings; a pool that fails as a whole
# gets 10 % more load.
RETRY_SHARE: Final = 0.1
CUSTOMER_BURST: Final = 5.0
# What one entry holds. A lost server fails one full batch, 16 requests,
# over ten entries, and as much until its lease ends. With 30, ten entries
# of little traffic retried a quarter of all requests through ten seconds
# of errors.
ENTRY_BURST: Final = 10.0
# A customer with few requests earns too little to ever retry; this gives
# it one retry in ten seconds, and all together the same.
CUSTOMER_REFILL_PER_S: Final = 0.1
ENTRY_REFILL_PER_S: Final = 0.1
# Two in a hundred requests may be sent twice: those beyond the 98th
# percentile of the wait for the first byte are the ones that gain.
HEDGE_SHARE: Final = 0.02
HEDGE_BURST: Final = 10.0
OVERLOAD_CAUSES: Final = frozenset({"overloaded", "refused", "cancelled"})
MAX_CUSTOMERS: Final = 10_000


class RetryBudget:
    """Retries that each customer, and all together, may still make.

    ``share`` is what each success earns. It may be larger than the default
    where the owner of the backend servers grants more.
    """

    def __init__(self, share: float = RETRY_SHARE) -> None:
        self._share = share
        self._shared = _TokenBucket(ENTRY_BURST, ENTRY_REFILL_PER_S)
        self._customers: dict[str, _TokenBucket] = {}
        self.granted = 0
        self.denied = 0

    def may_retry(self, customer: str, now_s: float, cause: str) -> bool:
        """Spend one retry if both budgets allow it."""
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
        """Earn a share of a retry with each success."""
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
    """Second attempts of idempotent requests that wait unusually long."""

    def __init__(self) -> None:
        self._bucket = _TokenBucket(HEDGE_BURST, 0.0)
        self._percentile_s = 1.0

    def delay_s(self) -> float:
        """Return how long to wait for a first byte before a hedge."""
        return self._percentile_s

    def observe(self, first_byte_s: float, now_s: float) -> None:
        """Learn the usual wait from a request and earn its share."""
        above = first_byte_s > self._percentile_s
        step = 1.0 - HEDGE_SHARE if above else -HEDGE_SHARE
        self._percentile_s = max(
            0.001, self._percentile_s * (1.0 + 0.05 * step)
        )
        self._bucket.earn(HEDGE_SHARE, now_s)

    def may_hedge(
        self, now_s: float, waited_s: float, idempotent: bool
    ) -> bool:
        """Spend one hedge for a request that has waited this long."""
        if not idempotent or waited_s < self._percentile_s:
            return False
        if not self._bucket.has_one(now_s):
            return False
        self._bucket.spend()
        return True


class _TokenBucket:
    """A token bucket filled by successes and, slowly, by time."""

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
