"""Learned pass rates, costs and latencies of versions by request class.

Ratings may come late or never, and the mix of requests drifts. The counts
decay, so that the last few hundred ratings of a class decide. A version
without ratings starts with a weak prior from its model.
"""

from __future__ import annotations

from math import sqrt
from typing import Final
from typing import NamedTuple

from sycamorestand_model.declarations import VERSION_SEPARATOR

# Upper bound of the decayed count. It gives a standard error of 1.5 percentage
# points at a pass rate of 0.9, and is small enough to follow a drift within a
# day.
MAX_EFFECTIVE_RATINGS: Final = 400.0
# The ratings of the model's other versions count as this many ratings of a new
# version, so its own ratings soon dominate.
MODEL_PRIOR_RATINGS: Final = 8.0
# Without any ratings the estimate is the uniform prior: one pass and one
# failure.
PRIOR_PASSED: Final = 1.0
PRIOR_RATINGS: Final = 2.0
AVERAGE_STEP: Final = 0.05
MAX_CLASSES: Final = 512
OTHER: Final = "other"


class PassRate(NamedTuple):
    """Estimate of a pass rate with its standard deviation.

    ``ratings`` is the number of the version's own ratings.
    """

    mean: float
    deviation: float
    ratings: float

    def low(self, deviations: float) -> float:
        """Return the mean minus this many standard deviations, at least 0."""
        return max(0.0, self.mean - deviations * self.deviation)


class PassRates:
    """Ratings, costs and latencies by version and request class.

    The subject of a count is a version or any other name, such as one for
    escalated requests.
    """

    def __init__(self) -> None:
        self._rated: dict[tuple[str, str], _DecayingCounts] = {}
        self._cost: dict[tuple[str, str], float] = {}
        self._latency: dict[tuple[str, str], float] = {}

    def observe(self, subject: str, request_class: str, passed: bool) -> None:
        """Record one rating."""
        self.observe_counts(subject, request_class, int(passed), 1)

    def observe_counts(
        self, subject: str, request_class: str, passed: int, ratings: int
    ) -> None:
        """Record a batch of ratings, as reported by another entry."""
        for name in (subject, _model(subject)):
            key = self._key(name, request_class)
            self._rated.setdefault(key, _DecayingCounts()).add(passed, ratings)

    def observe_use(
        self, subject: str, request_class: str, cost: float, latency: float
    ) -> None:
        """Record the cost and latency of one answer, rated or not."""
        key = self._key(subject, request_class)
        _update_average(self._cost, key, cost)
        _update_average(self._latency, key, latency)

    def rate(self, subject: str, request_class: str) -> PassRate:
        """Return the pass rate, including its prior."""
        passed, ratings = PRIOR_PASSED, PRIOR_RATINGS
        model = self._rated.get((_model(subject), request_class))
        if model is not None and model.ratings:
            borrowed = min(MODEL_PRIOR_RATINGS, model.ratings)
            passed += borrowed * model.passed / model.ratings
            ratings += borrowed
        own = self._rated.get((subject, request_class))
        if own is not None:
            passed += own.passed
            ratings += own.ratings
        mean = passed / ratings
        deviation = sqrt(mean * (1.0 - mean) / (ratings + 1.0))
        return PassRate(mean, deviation, own.ratings if own else 0.0)

    def cost(self, subject: str, request_class: str, prior: float) -> float:
        """Return the average cost, or the prior if there is none."""
        return self._cost.get((subject, request_class), prior)

    def latency(self, subject: str, request_class: str, prior: float) -> float:
        """Return the average latency, or the prior if there is none."""
        return self._latency.get((subject, request_class), prior)

    def _key(self, subject: str, request_class: str) -> tuple[str, str]:
        key = (subject, request_class)
        # Callers choose the names of their tasks; without a limit these names
        # would fill the memory.
        if key not in self._rated and len(self._rated) >= MAX_CLASSES:
            return (subject, OTHER)
        return key


class _DecayingCounts:
    """Passed and total ratings, with older ratings decaying."""

    def __init__(self) -> None:
        self.passed = 0.0
        self.ratings = 0.0

    def add(self, passed: int, ratings: int) -> None:
        # A batch larger than the memory counts only as the memory's size, so
        # that what 300 entries rate in two seconds does not outweigh it.
        kept = min(float(ratings), MAX_EFFECTIVE_RATINGS)
        keep = 1.0 - kept / MAX_EFFECTIVE_RATINGS
        self.passed = self.passed * keep + kept * passed / ratings
        self.ratings = self.ratings * keep + kept


def _model(subject: str) -> str:
    return subject.partition(VERSION_SEPARATOR)[0]


def _update_average(
    values: dict[tuple[str, str], float], key: tuple[str, str], value: float
) -> None:
    known = values.get(key)
    if known is None:
        values[key] = value
    else:
        values[key] = known + AVERAGE_STEP * (value - known)


__all__ = ["MAX_CLASSES", "PassRate", "PassRates"]
