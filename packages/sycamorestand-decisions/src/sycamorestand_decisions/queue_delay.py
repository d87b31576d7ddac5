"""How long requests of one service wait at its servers now.

The load pattern is a burst, or the loss of several servers: requests wait
seconds at each server before they begin, and nothing that an entry counts
says so, as the servers have slots left. What shows it is the time to the
first event, less what reading the prompt takes.

Each observation counts for a second or two: a mean over more would still
call the servers busy when the burst is over.
"""

from __future__ import annotations

import math
from typing import Final

# An entry of today sees some four first events a second; over 1.5 s their
# mean is off by a third where single prompts differ by a factor of ten,
# and a burst shows within its first seconds.
DECAY_TIME_S: Final = 1.5


class QueueDelay:
    """A mean that forgets, of one entry's observations."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._sum_s = 0.0
        self._at_s = 0.0

    def observe(self, now_s: float, waited_s: float) -> None:
        """Take in how long a request waited, or has waited in vain."""
        self._decay(now_s)
        self._weight += 1.0
        self._sum_s += max(0.0, waited_s)

    def delay_s(self, now_s: float) -> float:
        """Return the wait to expect; nothing seen for long is no wait."""
        self._decay(now_s)
        # One more observation without a wait stands for what is not known.
        return self._sum_s / (self._weight + 1.0)

    def _decay(self, now_s: float) -> None:
        factor = math.exp(-max(0.0, now_s - self._at_s) / DECAY_TIME_S)
        self._weight *= factor
        self._sum_s *= factor
        self._at_s = now_s


__all__ = ["DECAY_TIME_S", "QueueDelay"]
