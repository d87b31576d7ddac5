"""How many requests one entry may have running on one backend server.

The load pattern is a server that is slower, or shared with more entries,
than its announced capacity tells. Without a limit that adapts, all entries
together send it several times what it can run; the excess waits in the
server, where neither deadlines nor customers' shares are known.

The limit falls when the time to the first byte shows queueing in the
server, or the server says that it is overloaded, and grows by one for each
limit's worth of good answers while it is in use (additive increase,
multiplicative decrease, so that entries which share a server converge to
equal parts). Shown by ``dev/bench decisions --scenario saturation-3x``.
"""

from __future__ import annotations

from typing import Final

# An average first byte of three times its lowest average has waited in a
# queue; prompts of mixed length alone move the average of twenty answers
# by less than a factor of two.
QUEUEING_RATIO: Final = 3.0
# First-byte times under this are never taken for queueing: scheduling
# noise of that size on a small VM is usual.
QUEUEING_MIN_S: Final = 0.15
MIN_SAMPLES: Final = 10
DECREASE: Final = 0.9
# One decrease for a burst of bad answers: they tell of the same queue.
DECREASE_INTERVAL_S: Final = 0.5
# A report counts only if made this long after the last decrease: before,
# it shows the queue that the decrease answered, and would answer it twice.
REPORT_AFTER_S: Final = 1.0
MIN_REPORT_FACTOR: Final = 0.6
IN_USE_SHARE: Final = 0.8
# The floor forgets slowly, so that a server that was replaced by a slower
# one gets a new floor within minutes.
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
        """Return the limit, at least one."""
        return max(1, int(self._limit))

    def set_capacity(self, capacity: int) -> None:
        """Follow a changed announcement."""
        capacity = max(1, capacity)
        self._limit *= capacity / self.capacity
        self.capacity = capacity

    def record_first_byte(self, now_s: float, latency_s: float) -> None:
        """Learn from the time to the first byte of one answer."""
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
        """Learn from the server's own report of a queue.

        Every entry lowers its limit by the same factor, so that all of
        them together fit again and keep their proportions.
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
        """Lower the limit, once for each interval."""
        if now_s - self._decreased_s >= DECREASE_INTERVAL_S:
            self._decreased_s = now_s
            self._limit = max(1.0, self._limit * DECREASE)

    def record_success(self, now_s: float, in_flight: int) -> None:
        """Raise the limit where it was in use and nothing queued."""
        if now_s - self._decreased_s < DECREASE_INTERVAL_S:
            return
        if in_flight >= IN_USE_SHARE * self._limit:
            raised = self._limit + 1.0 / self._limit
            self._limit = min(float(self.capacity), raised)


__all__ = ["ConcurrencyLimit"]
