"""Learn how actual service times differ from expected ones.

Admission control compares expected service times with deadlines. The
expectations come from token limits and are often wrong by a factor. Without
correction, requests are admitted that miss their deadlines, or refused
although they would meet them.
"""

from __future__ import annotations

from typing import Final

# Averages over about the last hundred requests. With fewer, single long
# answers dominate; with more, the average follows a server that has become
# slow too late.
MEAN_STEP: Final = 0.02
# The high estimate is the 80th percentile. With the median, half of the
# requests that start at their latest start would miss their deadline. With the
# 95th percentile, expectations that are off by a factor of two lead to
# refusals of requests that would be in time.
HIGH_QUANTILE: Final = 0.8
HIGH_STEP: Final = 0.02
MIN_RATIO: Final = 0.1
MAX_RATIO: Final = 20.0


class ServiceTimes:
    """Learned ratios of actual to expected service time, mean and high.

    ``typical_s`` is the average actual time in seconds, 0 if unknown.
    """

    def __init__(self) -> None:
        self.typical_s = 0.0
        self._mean_ratio = 1.0
        self._high_ratio = 1.5

    def observe(self, expected_s: float, actual_s: float) -> None:
        """Record the expected and the actual time of a finished request."""
        step = MEAN_STEP if self.typical_s else 1.0
        self.typical_s += step * (actual_s - self.typical_s)
        ratio = actual_s / max(expected_s, 0.001)
        ratio = min(max(ratio, MIN_RATIO), MAX_RATIO)
        self._mean_ratio += MEAN_STEP * (ratio - self._mean_ratio)
        above = ratio > self._high_ratio
        share = HIGH_QUANTILE if above else HIGH_QUANTILE - 1.0
        self._high_ratio *= 1.0 + HIGH_STEP * share
        self._high_ratio = max(self._high_ratio, self._mean_ratio)

    def mean_s(self, expected_s: float) -> float:
        """Return the mean actual time of work with this expected time."""
        return expected_s * self._mean_ratio

    def high_s(self, expected_s: float) -> float:
        """Return the 80th percentile of the actual time of such work."""
        return expected_s * min(self._high_ratio, MAX_RATIO)


__all__ = ["ServiceTimes"]
