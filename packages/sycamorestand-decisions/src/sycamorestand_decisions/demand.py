"""Estimate the demand for each version from late and coarse reports.

Demand shifts between versions over minutes. A server's report gives one number
for all its versions, is seconds old, and may be missing. Without correction,
one late report of a burst causes a load that takes minutes and is of no use
when the burst has ended, and a server that stops reporting looks idle, so its
versions are unloaded under running requests.

The requests of a server are therefore split among its versions by their shares
of the recent requests. A server without a fresh report counts as loaded as the
average of the others, and the sum is averaged over time. Only the leader
estimates demand and places versions, so nothing of this is kept in the log: a
new leader starts with the first reports that it receives.
"""

from __future__ import annotations

from math import exp
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_decisions.placement import Demand
from sycamorestand_decisions.versions import may_run
from sycamorestand_model.declarations import version_id
from sycamorestand_model.declarations import VERSION_SEPARATOR

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from sycamorestand_model.declarations import Model
    from sycamorestand_model.in_force import InForce

# Reports arrive every second and are up to two seconds late. A report of this
# age may describe an earlier burst.
FRESH_S: Final = 10.0
# A load takes minutes, a bounded burst ten seconds. Averaged over two minutes,
# a burst of five times the demand for ten seconds adds a third.
AVERAGE_S: Final = 120.0
# Shares follow the steps of a roll-out within minutes, and a version with a
# few requests a minute still has some in the count.
REQUESTS_DECAY_S: Final = 300.0
# A version whose decayed count is below this is not in use.
MIN_COUNT: Final = 0.05
# A mean decays without reaching zero. Below one request in a hundred reports,
# a version counts as idle, so that its last replica can be unloaded.
MIN_DEMAND: Final = 0.01
RUNNING: Final = "running"


class ServerReport(NamedTuple):
    """A server's versions and load; ``age_s`` is None without a report.

    ``busy`` counts the running and queued requests of all its versions.
    """

    name: str
    versions: tuple[str, ...]
    capacity: int
    busy: int = 0
    age_s: float | None = None

    @property
    def fresh(self) -> bool:
        """Whether the report is recent enough to show the current load."""
        return self.age_s is not None and self.age_s <= FRESH_S


class RecentRequests:
    """Exponentially decaying counts of requests by version."""

    def __init__(self) -> None:
        self._counts: dict[str, float] = {}
        self._at_s = 0.0

    def add(self, version: str, requests: int, now_s: float) -> None:
        """Add the requests that an entry reported."""
        self._decay(now_s)
        self._counts[version] = self._counts.get(version, 0.0) + requests

    def shares(self, now_s: float) -> dict[str, float]:
        """Return each version's share of all recent requests."""
        self._decay(now_s)
        total = sum(self._counts.values())
        return {v: count / total for v, count in self._counts.items()}

    def _decay(self, now_s: float) -> None:
        # The wall clock may be set back; then nothing decays.
        keep = exp(-max(0.0, now_s - self._at_s) / REQUESTS_DECAY_S)
        self._at_s = now_s
        self._counts = {
            version: count * keep
            for version, count in self._counts.items()
            if count * keep > MIN_COUNT
        }


class AverageDemand:
    """Mean number of running requests by version, over the last minutes."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._at_s: float | None = None

    def add(self, latest: Mapping[str, float], now_s: float) -> None:
        """Add a current estimate; the first one becomes the mean."""
        if self._at_s is None:
            self._means, self._at_s = dict(latest), now_s
            return
        weight = 1.0 - exp(-max(0.0, now_s - self._at_s) / AVERAGE_S)
        self._at_s = now_s
        for version in {*self._means, *latest}:
            known = self._means.get(version, 0.0)
            new = latest.get(version, 0.0)
            self._means[version] = known + weight * (new - known)

    def means(self) -> dict[str, float]:
        """Return the means of the versions that have demand."""
        return {
            v: mean for v, mean in self._means.items() if mean > MIN_DEMAND
        }


def estimate_running(
    reports: Sequence[ServerReport], shares: Mapping[str, float]
) -> dict[str, float]:
    """Return the requests that run or wait now, by version."""
    utilisation = _mean_utilisation(reports)
    running: dict[str, float] = {}
    for report in reports:
        busy = float(report.busy)
        if not report.fresh:
            busy = utilisation * report.capacity
        for version, part in split_busy(report, busy, shares).items():
            running[version] = running.get(version, 0.0) + part
    return running


def split_busy(
    report: ServerReport, busy: float, shares: Mapping[str, float]
) -> dict[str, float]:
    """Split a server's requests among its versions by their shares.

    If none of them has a share, all count equally: a new leader has no counts
    yet.
    """
    weights = {v: shares.get(v, 0.0) for v in report.versions}
    total = sum(weights.values())
    if total <= 0.0:
        weights = dict.fromkeys(report.versions, 1.0)
        total = float(len(weights))
    return {v: busy * weight / total for v, weight in weights.items()}


def versions_in_use(in_force: InForce) -> dict[str, int]:
    """Return the versions that get or may get new work, with their pins.

    These are each model's stable version, the version of a running roll-out,
    and the fallback, which must be loaded in advance as it takes over all the
    work at once. Withdrawn and quarantined versions are excluded.
    """
    pins: dict[str, int] = {}
    for model in in_force.declarations.models.values():
        for identity in _used_versions(model, in_force):
            if may_run(identity, model, in_force):
                pins[identity] = model.pinned_servers
    return pins


def make_demand(
    means: Mapping[str, float],
    pins: Mapping[str, int],
    reports: Sequence[ServerReport],
) -> dict[str, Demand]:
    """Return the demand of all known versions, for `plan_orders`."""
    mean_capacity = _capacity(reports)
    demand: dict[str, Demand] = {}
    for version in {*means, *pins}:
        holders = [r for r in reports if version in r.versions]
        capacity = _capacity(holders) if holders else mean_capacity
        demand[version] = Demand(
            means.get(version, 0.0), capacity, pins.get(version, 0)
        )
    return demand


def _used_versions(model: Model, in_force: InForce) -> list[str]:
    names = [model.stable]
    share = in_force.shares.get(model.name)
    if share is not None and share.state == RUNNING:
        names.append(share.version)
    if model.fallback:
        names.append(model.fallback)
    return [_identity(model.name, name) for name in names]


def _identity(model_name: str, version: str) -> str:
    if VERSION_SEPARATOR in version:
        return version
    return version_id(model_name, version)


def _mean_utilisation(reports: Iterable[ServerReport]) -> float:
    fresh = [report for report in reports if report.fresh]
    capacity = sum(report.capacity for report in fresh)
    return sum(report.busy for report in fresh) / capacity if capacity else 0.0


def _capacity(reports: Sequence[ServerReport]) -> int:
    if not reports:
        return 1
    return max(1, sum(r.capacity for r in reports) // len(reports))


__all__ = [
    "AVERAGE_S",
    "AverageDemand",
    "estimate_running",
    "FRESH_S",
    "make_demand",
    "RecentRequests",
    "REQUESTS_DECAY_S",
    "ServerReport",
    "split_busy",
    "versions_in_use",
]
