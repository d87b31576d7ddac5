"""Learned pass rates, costs and latencies of versions by request class.

Ratings come late, sometimes or never, and the mix of requests drifts. The
counts fade, so that the last few hundred ratings of a class decide, and a
version without ratings borrows a weak estimate from its model.

Shown by ``dev/bench decisions --scenario cascade-drift`` and
``--scenario cascade-late-ratings``.
"""

from __future__ import annotations

from math import sqrt
from typing import Final
from typing import NamedTuple

from sycamorestand_model.declarations import VERSION_SEPARATOR

# Ratings kept in effect: enough for a standard error of 1.5 points at a
# pass rate of 0.9, few enough to follow a drift within a day.
MAX_EFFECTIVE_RATINGS: Final = 400.0
# What the model's other versions showed counts as this many ratings of a
# new version: it starts where they stand and is soon judged by its own.
MODEL_PRIOR_RATINGS: Final = 8.0
# Nothing known at all: one pass and one failure, the uniform prior.
PRIOR_PASSED: Final = 1.0
PRIOR_RATINGS: Final = 2.0
AVERAGE_STEP: Final = 0.05
MAX_CLASSES: Final = 512
OTHER: Final = "other"


class PassRate(NamedTuple):
    """An estimate of a pass rate and how uncertain it is."""

    mean: float
    deviation: float
    ratings: float

    def low(self, deviations: float) -> float:
        """Return the estimate less this many standard deviations."""
        return max(0.0, self.mean - deviations * self.deviation)


class PassRates:
    """Counts by version (or any subject) and request class."""

    def __init__(self) -> None:
        self._rated: dict[tuple[str, str], _DecayingCounts] = {}
        self._cost: dict[tuple[str, str], float] = {}
        self._latency: dict[tuple[str, str], float] = {}

    def observe(self, subject: str, request_class: str, passed: bool) -> None:
        """Take in one rating."""
        self.observe_counts(subject, request_class, int(passed), 1)

    def observe_counts(
        self, subject: str, request_class: str, passed: int, ratings: int
    ) -> None:
        """Take in several ratings at once, as another entry tells them."""
        for name in (subject, _model(subject)):
            key = self._key(name, request_class)
            self._rated.setdefault(key, _DecayingCounts()).add(passed, ratings)

    def observe_use(
        self, subject: str, request_class: str, cost: float, latency: float
    ) -> None:
        """Take in what one answer cost, rated or not."""
        key = self._key(subject, request_class)
        _update_average(self._cost, key, cost)
        _update_average(self._latency, key, latency)

    def rate(self, subject: str, request_class: str) -> PassRate:
        """Return the estimate with its prior."""
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
        """Return the average cost, the prior where nothing is known."""
        return self._cost.get((subject, request_class), prior)

    def latency(self, subject: str, request_class: str, prior: float) -> float:
        """Return the average latency, the prior where nothing is known."""
        return self._latency.get((subject, request_class), prior)

    def _key(self, subject: str, request_class: str) -> tuple[str, str]:
        key = (subject, request_class)
        # Callers name their tasks; without a bound they fill the memory.
        if key not in self._rated and len(self._rated) >= MAX_CLASSES:
            return (subject, OTHER)
        return key


class _DecayingCounts:
    """Passed and rated, older ones fading."""

    def __init__(self) -> None:
        self.passed = 0.0
        self.ratings = 0.0

    def add(self, passed: int, ratings: int) -> None:
        # Of a batch larger than the memory only its share counts: what
        # 300 entries rate in two seconds must not outweigh it.
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
