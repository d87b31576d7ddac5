"""Statistics of versions as flat rows, the form in which they are sent."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_decisions.version_stats import ClassStats
from sycamorestand_decisions.version_stats import Stratum
from sycamorestand_decisions.version_stats import VersionStats

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


class StatsRow(NamedTuple):
    """The counts of one stratum of one version."""

    version: str
    stratum: Stratum
    counts: ClassStats


def to_rows(stats: Mapping[str, VersionStats]) -> tuple[StatsRow, ...]:
    """Return the statistics of all versions as rows."""
    return tuple(
        StatsRow(version, stratum, counts)
        for version, part in stats.items()
        for stratum, counts in part.strata.items()
    )


def from_rows(rows: Iterable[StatsRow]) -> dict[str, VersionStats]:
    """Return the statistics by version from rows."""
    stats: dict[str, VersionStats] = {}
    for row in rows:
        part = stats.setdefault(row.version, VersionStats({}))
        part.strata[row.stratum] = row.counts
    return stats


__all__ = ["from_rows", "StatsRow", "to_rows"]
