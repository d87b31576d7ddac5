"""Estimate how long requests of one service wait at its servers now.

In a burst, or after the loss of several servers, requests wait for seconds at
each server before they begin. The entry's own counts do not show it, as the
servers still have free slots. The queueing delay is the time to the first
event minus the time to read the prompt.

Observations fade within a second or two. With a longer memory the estimate
would still report busy servers after the burst has ended.
"""

from __future__ import annotations

import math
from typing import Final

# In seconds. At four first events a second per entry, the mean over 1.5 s is
# off by a third where prompts differ by a factor of ten, and a burst shows
# within its first seconds.
DECAY_TIME_S: Final = 1.5


class QueueDelay:
    """Exponentially decaying mean of one entry's queueing delays."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._sum_s = 0.0
        self._at_s = 0.0

    def observe(self, now_s: float, waited_s: float) -> None:
        """Record the wait of a request, whether or not it was answered."""
        self._decay(now_s)
        self._weight += 1.0
        self._sum_s += max(0.0, waited_s)

    def delay_s(self, now_s: float) -> float:
        """Return the expected wait; it falls to 0 without observations."""
        self._decay(now_s)
        # An additional observation of no wait serves as the prior.
        return self._sum_s / (self._weight + 1.0)

    def _decay(self, now_s: float) -> None:
        factor = math.exp(-max(0.0, now_s - self._at_s) / DECAY_TIME_S)
        self._weight *= factor
        self._sum_s *= factor
        self._at_s = now_s


__all__ = ["DECAY_TIME_S", "QueueDelay"]
