"""Extrapolate the cost of control to the target size.

One control process leads, and each serves an equal share of the entries.
The measured follower ``hub`` serves all entries of a cell and the other
follower none, so the difference of their costs is the cost of serving.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import Final
from typing import NamedTuple

from sycamorestand_bench.control_bench.cost import CellCost
from sycamorestand_bench.control_bench.fitting import fit_plane
from sycamorestand_bench.control_bench.fitting import Plane
from sycamorestand_bench.control_bench.fitting import Sample
from sycamorestand_bench.control_bench.usage import Rate

ENTRIES: Final = 330
SERVERS: Final = 910
CONTROLS: Final = 7
ENTRIES_PER_CONTROL: Final = ENTRIES / CONTROLS

Measure = Callable[[Rate], float]


class Figure(NamedTuple):
    """The fitted slopes of one resource for each role."""

    name: str
    link: Plane
    entry: Plane
    serving: Plane
    follower: Plane
    leader: Plane

    def entry_at_target(self) -> float:
        """Return the cost of a complete entry process at the target size."""
        return self.entry.at(ENTRIES, SERVERS)

    def link_at_target(self) -> float:
        """Return the cost of a process with only a link at the target size."""
        return self.link.at(ENTRIES, SERVERS)

    def follower_at_target(self) -> float:
        """Return the cost of a follower that serves its share of entries."""
        serving = self.serving.at(ENTRIES_PER_CONTROL, SERVERS)
        return self.follower.at(ENTRIES, SERVERS) + serving

    def leader_at_target(self) -> float:
        """Return the cost of a leader that serves its share of entries."""
        serving = self.serving.at(ENTRIES_PER_CONTROL, SERVERS)
        return self.leader.at(ENTRIES, SERVERS) + serving


def fit_figures(costs: Sequence[CellCost]) -> list[Figure]:
    """Return the fitted slopes of CPU time, memory and network traffic."""
    return [_figure(name, costs, measure) for name, measure in MEASURES]


def _figure(name: str, costs: Sequence[CellCost], measure: Measure) -> Figure:
    return Figure(
        name,
        _fit(costs, lambda c: measure(c.link)),
        _fit(costs, lambda c: measure(c.entry)),
        _fit(
            costs, lambda c: measure(c.hub) - measure(c.follower), product=True
        ),
        _fit(costs, lambda c: measure(c.follower)),
        _fit(costs, lambda c: measure(c.leader)),
    )


def _fit(
    costs: Sequence[CellCost],
    value: Callable[[CellCost], float],
    *,
    product: bool = False,
) -> Plane:
    samples = [Sample(c.entries, c.servers, value(c)) for c in costs]
    return fit_plane(samples, product=product)


MEASURES: Final[tuple[tuple[str, Measure], ...]] = (
    ("cpu_percent", lambda rate: rate.cpu_percent),
    ("resident_mb", lambda rate: rate.resident_mb),
    (
        "bytes_per_s",
        lambda rate: rate.sent_bytes_per_s + rate.received_bytes_per_s,
    ),
)

__all__ = [
    "CONTROLS",
    "ENTRIES",
    "ENTRIES_PER_CONTROL",
    "Figure",
    "fit_figures",
    "MEASURES",
    "SERVERS",
]
