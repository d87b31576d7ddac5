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
    """The median, the smallest and the largest value over seeds."""

    median: float
    least: float
    most: float


def percentile(values: Sequence[float], share: float) -> float:
    """Return the percentile for a share from 0 to 1; NaN without values."""
    if not values:
        return nan
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def spread(values: Sequence[float]) -> Spread:
    """Return the spread of the values without NaNs; NaN if none is left."""
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
