"""Percentiles, and the spread of a figure over seeds."""

from __future__ import annotations

from math import isnan
from math import nan
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

Figures = dict[str, dict[str, float]]


class Spread(NamedTuple):
    """Median, least and most over seeds."""

    median: float
    least: float
    most: float


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value that this share of the values is at or under."""
    if not values:
        return nan
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def spread(values: Sequence[float]) -> Spread:
    """Return the spread of values, those not a number left out."""
    known = [value for value in values if not isnan(value)]
    if not known:
        return Spread(nan, nan, nan)
    ordered = sorted(known)
    middle = len(ordered) // 2
    median = ordered[middle]
    if len(ordered) % 2 == 0:
        median = (median + ordered[middle - 1]) / 2.0
    return Spread(median, ordered[0], ordered[-1])


__all__ = ["Figures", "percentile", "Spread", "spread"]
