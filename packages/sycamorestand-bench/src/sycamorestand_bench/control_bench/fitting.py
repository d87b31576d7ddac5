"""Slopes and percentiles of measured figures."""

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
        """Return the value that the line has at ``x``."""
        return self.base + self.slope * x


class Plane(NamedTuple):
    """A figure that depends on entries and on backend servers.

    ``per_pair`` is what one entry and one backend server cost together:
    a table that goes to every entry costs their product.
    """

    base: float
    per_entry: float
    per_server: float
    per_pair: float

    def at(self, entries: float, servers: float) -> float:
        """Return the value at a number of entries and of servers."""
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
    """Return the least-squares line through points of two kinds of x."""
    matrix = numpy.array([(1.0, x) for x, _ in points])
    values = numpy.array([y for _, y in points])
    base, slope = numpy.linalg.lstsq(matrix, values, rcond=None)[0]
    return Line(float(base), float(slope))


def fit_plane(samples: Sequence[Sample], *, product: bool) -> Plane:
    """Return the least-squares plane, with a product term or without.

    Without one where no mechanism makes a product: noise in that term
    would count 300,000 times at the target size.
    """
    matrix = numpy.array(
        [
            (1.0, s.entries, s.servers, s.entries * s.servers * product)
            for s in samples
        ]
    )
    values = numpy.array([sample.value for sample in samples])
    # Columns of like size, or the product outweighs the others.
    scale = numpy.maximum(numpy.abs(matrix).max(axis=0), 1.0)
    coefficients = (
        numpy.linalg.lstsq(matrix / scale, values, rcond=None)[0] / scale
    )
    return Plane(*(float(value) for value in coefficients))


def percentile(values: Sequence[float], percent: int) -> float:
    """Return a percentile; a single value stands for all of them."""
    if len(values) < 2:
        return values[0]
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    return cuts[percent - 1]


__all__ = ["fit_line", "fit_plane", "Line", "percentile", "Plane", "Sample"]
