"""What control costs at the target size, worked out from the slopes.

Of the control processes one leads; each serves its share of the entries.
The measured follower ``hub`` serves all entries of a cell and the other
one none, so their difference is the cost of serving.
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
    """One kind of cost: its slopes by role and its value at the target."""

    name: str
    link: Plane
    entry: Plane
    serving: Plane
    follower: Plane
    leader: Plane

    def entry_at_target(self) -> float:
        """Return what a whole entry process costs at the target."""
        return self.entry.at(ENTRIES, SERVERS)

    def link_at_target(self) -> float:
        """Return what a process with nothing but a link costs."""
        return self.link.at(ENTRIES, SERVERS)

    def follower_at_target(self) -> float:
        """Return what a follower costs that serves its share."""
        serving = self.serving.at(ENTRIES_PER_CONTROL, SERVERS)
        return self.follower.at(ENTRIES, SERVERS) + serving

    def leader_at_target(self) -> float:
        """Return what a leader costs that serves its share too."""
        serving = self.serving.at(ENTRIES_PER_CONTROL, SERVERS)
        return self.leader.at(ENTRIES, SERVERS) + serving


def fit_figures(costs: Sequence[CellCost]) -> list[Figure]:
    """Return the slopes of processor time, memory and traffic."""
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
