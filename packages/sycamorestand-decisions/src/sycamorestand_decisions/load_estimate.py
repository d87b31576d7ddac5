"""Estimate a server's current load from own counts and a late report.

Reports are seconds old. Without correction, every entry sends its work to the
server that was idle two seconds ago, until the next report shows it
overloaded, and the load of the pool oscillates. The entry's own count is
exact. From the report, only the requests of other entries are used, and their
weight decays with the age of the report.
"""

from __future__ import annotations

from collections import deque
from typing import Final

SAMPLE_EVERY_S: Final = 0.25
MAX_SAMPLES: Final = 40
# The load of other entries counts half at this age. Service times are a few
# seconds, so most requests of four seconds ago have ended.
HALF_LIFE_S: Final = 4.0


class OwnLoad:
    """Requests that this entry runs on one server, with recent history."""

    def __init__(self) -> None:
        self.in_flight = 0
        self._samples: deque[tuple[float, int]] = deque(maxlen=MAX_SAMPLES)

    def change(self, delta: int, now_s: float) -> None:
        """Add 1 for a request that started or -1 for one that ended."""
        if not self._samples or now_s - self._samples[-1][0] >= SAMPLE_EVERY_S:
            self._samples.append((now_s, self.in_flight))
        self.in_flight = max(0, self.in_flight + delta)

    def count_at(self, when_s: float) -> int:
        """Return the number of requests at a recent time."""
        for index in range(len(self._samples) - 1, -1, -1):
            sampled_s, count = self._samples[index]
            if sampled_s <= when_s:
                return count
        return self._samples[0][1] if self._samples else self.in_flight


def estimated_load(
    own: OwnLoad, reported: int, age_s: float, now_s: float
) -> float:
    """Return own requests plus the decayed share of others' requests."""
    if not reported:
        return float(own.in_flight)
    others = max(0, reported - own.count_at(now_s - age_s))
    return own.in_flight + others * 0.5 ** (age_s / HALF_LIFE_S)


__all__ = ["estimated_load", "OwnLoad"]
