"""How long requests really take, against what was expected of them.

Admission compares expected times with deadlines. Expectations come from
token limits and are often wrong by a factor; used as they are, requests
are let in that miss their deadlines, or refused though they would not.

Shown by ``dev/bench decisions --scenario saturation-3x``.
"""

from __future__ import annotations

from typing import Final

# About the last hundred requests count: fewer follow single long answers,
# more are slow to follow a server that has become slow.
MEAN_STEP: Final = 0.02
# The high estimate is the 80th percentile: at the median, half of the
# requests that start at their latest start would miss the deadline; at
# the 95th, estimates off by a factor of two refuse what would be in time.
HIGH_QUANTILE: Final = 0.8
HIGH_STEP: Final = 0.02
MIN_RATIO: Final = 0.1
MAX_RATIO: Final = 20.0


class ServiceTimes:
    """Learned ratio of real to expected service time, mean and high.

    ``typical_s`` is the average real time, zero while unknown.
    """

    def __init__(self) -> None:
        self.typical_s = 0.0
        self._mean_ratio = 1.0
        self._high_ratio = 1.5

    def observe(self, expected_s: float, real_s: float) -> None:
        """Learn from one finished request."""
        step = MEAN_STEP if self.typical_s else 1.0
        self.typical_s += step * (real_s - self.typical_s)
        ratio = real_s / max(expected_s, 0.001)
        ratio = min(max(ratio, MIN_RATIO), MAX_RATIO)
        self._mean_ratio += MEAN_STEP * (ratio - self._mean_ratio)
        above = ratio > self._high_ratio
        share = HIGH_QUANTILE if above else HIGH_QUANTILE - 1.0
        self._high_ratio *= 1.0 + HIGH_STEP * share
        self._high_ratio = max(self._high_ratio, self._mean_ratio)

    def mean_s(self, expected_s: float) -> float:
        """Return the likely time of work expected to take this long."""
        return expected_s * self._mean_ratio

    def high_s(self, expected_s: float) -> float:
        """Return a time that four of five such requests stay under."""
        return expected_s * min(self._high_ratio, MAX_RATIO)


__all__ = ["ServiceTimes"]
