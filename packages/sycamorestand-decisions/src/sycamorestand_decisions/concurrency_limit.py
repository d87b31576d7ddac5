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

# A first byte that takes four times its floor has waited in a queue;
# batching and longer prompts alone double it.
QUEUEING_RATIO: Final = 4.0
# First-byte times under this are never taken for queueing: scheduling
# noise of that size on a small VM is usual.
QUEUEING_MIN_S: Final = 0.15
DECREASE: Final = 0.9
# One decrease for a burst of bad answers: they tell of the same queue.
DECREASE_INTERVAL_S: Final = 0.5
IN_USE_SHARE: Final = 0.8
# The floor forgets slowly, so that a server that was replaced by a slower
# one gets a new floor within minutes.
FLOOR_STEP: Final = 0.001
RECENT_STEP: Final = 0.1


class ConcurrencyLimit:
    """The adaptive limit of one backend server as one entry sees it."""

    def __init__(self, capacity: int) -> None:
        self._capacity = max(1, capacity)
        self._limit = float(self._capacity)
        self._floor_s: float | None = None
        self._recent_s = 0.0
        self._decreased_s = float("-inf")

    @property
    def limit(self) -> int:
        """Return the limit, at least one."""
        return max(1, int(self._limit))

    def set_capacity(self, capacity: int) -> None:
        """Follow a changed announcement."""
        if capacity != self._capacity:
            self._limit *= max(1, capacity) / self._capacity
            self._capacity = max(1, capacity)

    def first_byte(self, now_s: float, latency_s: float) -> None:
        """Learn from the time to the first byte of one answer."""
        if self._floor_s is None:
            self._floor_s = self._recent_s = latency_s
        self._recent_s += RECENT_STEP * (latency_s - self._recent_s)
        rise = FLOOR_STEP * (latency_s - self._floor_s)
        self._floor_s = min(latency_s, self._floor_s + max(0.0, rise))
        bound_s = max(QUEUEING_RATIO * self._floor_s, QUEUEING_MIN_S)
        if self._recent_s > bound_s:
            self.overloaded(now_s)

    def overloaded(self, now_s: float) -> None:
        """Lower the limit, once for each interval."""
        if now_s - self._decreased_s >= DECREASE_INTERVAL_S:
            self._decreased_s = now_s
            self._limit = max(1.0, self._limit * DECREASE)

    def succeeded(self, now_s: float, in_flight: int) -> None:
        """Raise the limit where it was in use and nothing queued."""
        if now_s - self._decreased_s < DECREASE_INTERVAL_S:
            return
        if in_flight >= IN_USE_SHARE * self._limit:
            raised = self._limit + 1.0 / self._limit
            self._limit = min(float(self._capacity), raised)


__all__ = ["ConcurrencyLimit"]
