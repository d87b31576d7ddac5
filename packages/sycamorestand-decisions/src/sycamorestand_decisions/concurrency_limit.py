"""Adaptive limit of the requests that one entry runs on one server.

A server may be slower than its announced capacity, or shared with more
entries. Without an adaptive limit, all entries together send it several times
what it can run. The excess queues in the server, where neither deadlines nor
customers' shares are known.

The limit falls when the time to the first byte shows a queue in the server, or
when the server reports overload. While the limit is in use, it grows by one
after as many successful answers as its value (additive increase,
multiplicative decrease), so that entries that share a server converge to equal
parts.
"""

from __future__ import annotations

from typing import Final

# An average time to the first byte of three times its lowest average includes
# queueing. Prompts of mixed length alone change the average of twenty answers
# by less than a factor of two.
QUEUEING_RATIO: Final = 3.0
# Times to the first byte below this are never attributed to queueing, because
# scheduling noise of that size is common on a small VM.
QUEUEING_MIN_S: Final = 0.15
MIN_SAMPLES: Final = 10
DECREASE: Final = 0.9
# Slow answers within this interval are caused by the same queue, so they cause
# a single decrease.
DECREASE_INTERVAL_S: Final = 0.5
# A report counts only if it was made this long after the last decrease. An
# earlier report shows the queue that the decrease was for, and would cause a
# second decrease.
REPORT_AFTER_S: Final = 1.0
MIN_REPORT_FACTOR: Final = 0.6
IN_USE_SHARE: Final = 0.8
# The floor rises slowly, so that a server that is replaced by a slower one
# gets a new floor within minutes.
FLOOR_STEP: Final = 0.001
RECENT_STEP: Final = 0.1


class ConcurrencyLimit:
    """The adaptive limit of one backend server as one entry sees it."""

    def __init__(self, capacity: int) -> None:
        self.capacity = max(1, capacity)
        self._limit = float(self.capacity)
        self._floor_s: float | None = None
        self._recent_s = 0.0
        self._samples = 0
        self._decreased_s = float("-inf")

    @property
    def limit(self) -> int:
        """The current limit, at least one."""
        return max(1, int(self._limit))

    def set_capacity(self, capacity: int) -> None:
        """Scale the limit to a newly announced capacity."""
        capacity = max(1, capacity)
        self._limit *= capacity / self.capacity
        self.capacity = capacity

    def record_first_byte(self, now_s: float, latency_s: float) -> None:
        """Record a time to first byte; lower the limit if it shows a queue."""
        self._samples += 1
        step = max(RECENT_STEP, 1.0 / self._samples)
        self._recent_s += step * (latency_s - self._recent_s)
        if self._samples < MIN_SAMPLES:
            return
        if self._floor_s is None:
            self._floor_s = self._recent_s
        rise_s = FLOOR_STEP * (self._recent_s - self._floor_s)
        self._floor_s = min(self._recent_s, self._floor_s + max(0.0, rise_s))
        bound_s = max(QUEUEING_RATIO * self._floor_s, QUEUEING_MIN_S)
        if self._recent_s > bound_s:
            self.record_overload(now_s)

    def record_report(
        self, now_s: float, running: int, queued: int, age_s: float
    ) -> None:
        """Lower the limit if the server reports a queue.

        Every entry lowers its limit by the same factor, so that all entries
        together fit the capacity again and keep their proportions.
        """
        made_s = now_s - age_s
        if not queued or made_s - self._decreased_s < REPORT_AFTER_S:
            return
        factor = self.capacity / max(1, running + queued)
        self._decreased_s = now_s
        self._limit = max(
            1.0, self._limit * max(MIN_REPORT_FACTOR, min(1.0, factor))
        )

    def record_overload(self, now_s: float) -> None:
        """Lower the limit, at most once in each interval."""
        if now_s - self._decreased_s >= DECREASE_INTERVAL_S:
            self._decreased_s = now_s
            self._limit = max(1.0, self._limit * DECREASE)

    def record_success(self, now_s: float, in_flight: int) -> None:
        """Raise the limit if it was in use and no queue was seen recently."""
        if now_s - self._decreased_s < DECREASE_INTERVAL_S:
            return
        if in_flight >= IN_USE_SHARE * self._limit:
            raised = self._limit + 1.0 / self._limit
            self._limit = min(float(self.capacity), raised)


__all__ = ["ConcurrencyLimit"]
