"""Fit slopes and compute percentiles of measured values."""

from __future__ import annotations

from collections.abc import Sequence
import statistics
from typing import NamedTuple

import numpy


class Line(NamedTuple):
    """A straight line through measured points."""

    base: float
    slope: float

    def at(self, x: float) -> float:
        """Return the value of the line at ``x``."""
        return self.base + self.slope * x


class Plane(NamedTuple):
    """A value that depends on the numbers of entries and backend servers.

    ``per_pair`` is the coefficient of their product: sending the table of
    backend servers to every entry has a cost in proportion to it.
    """

    base: float
    per_entry: float
    per_server: float
    per_pair: float

    def at(self, entries: float, servers: float) -> float:
        """Return the value at these numbers of entries and servers."""
        return (
            self.base
            + self.per_entry * entries
            + self.per_server * servers
            + self.per_pair * entries * servers
        )


class Sample(NamedTuple):
    """A measured value at a number of entries and of backend servers."""

    entries: int
    servers: int
    value: float


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Return the least-squares line; points need two different ``x``."""
    matrix = numpy.array([(1.0, x) for x, _ in points])
    values = numpy.array([y for _, y in points])
    base, slope = numpy.linalg.lstsq(matrix, values, rcond=None)[0]
    return Line(float(base), float(slope))


def fit_plane(samples: Sequence[Sample], *, product: bool) -> Plane:
    """Return the least-squares plane, with or without a product term.

    Omit the term if the value cannot depend on the product: the target size
    multiplies its noise by 300,000.
    """
    matrix = numpy.array(
        [
            (1.0, s.entries, s.servers, s.entries * s.servers * product)
            for s in samples
        ]
    )
    values = numpy.array([sample.value for sample in samples])
    # Scale the columns to similar size; else the product dominates the fit.
    scale = numpy.maximum(numpy.abs(matrix).max(axis=0), 1.0)
    coefficients = (
        numpy.linalg.lstsq(matrix / scale, values, rcond=None)[0] / scale
    )
    return Plane(*(float(value) for value in coefficients))


def percentile(values: Sequence[float], percent: int) -> float:
    """Return a percentile, which for a single value is that value."""
    if len(values) < 2:
        return values[0]
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    return cuts[percent - 1]


__all__ = ["fit_line", "fit_plane", "Line", "percentile", "Plane", "Sample"]
