"""Counts of a version's results, which entries send and the leader merges.

Counts are kept by request class and by block of time. If the share of a class
changes, or the rating service degrades for an hour, the old and the new
version show it alike, and the new version is not taken for worse.
"""

from __future__ import annotations

from bisect import bisect_left
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# In seconds. A change within a block of ten minutes affects both versions by
# their shares, which are constant within it; one day of six classes has fewer
# than a thousand strata.
BLOCK_S: Final = 600.0
# Upper edges of the latency buckets, each about 1.4 times the previous one.
LATENCY_EDGES_MS: Final = tuple(round(10 * 2 ** (i / 2)) for i in range(30))


class Stratum(NamedTuple):
    """One request class in one block of time."""

    request_class: str
    block: int


class ClassStats(NamedTuple):
    """Counts of one stratum; latencies are those of answers, not of errors.

    ``refused`` requests were answered with a status that blames the caller.
    """

    requests: int = 0
    errors: int = 0
    latency_sum_ms: float = 0.0
    latency_counts: tuple[int, ...] = (0,) * (len(LATENCY_EDGES_MS) + 1)
    rated: int = 0
    passed: int = 0
    refused: int = 0


class VersionStats(NamedTuple):
    """Counts of one version by stratum."""

    strata: dict[Stratum, ClassStats]

    @property
    def requests(self) -> int:
        """Number of requests in all strata."""
        return sum(counts.requests for counts in self.strata.values())

    @property
    def refused(self) -> int:
        """Number of refused requests in all strata."""
        return sum(counts.refused for counts in self.strata.values())

    @property
    def rated(self) -> int:
        """Number of ratings in all strata."""
        return sum(counts.rated for counts in self.strata.values())

    def classes(self) -> tuple[str, ...]:
        """Return the request classes, sorted."""
        return tuple(sorted({s.request_class for s in self.strata}))


def empty_stats() -> VersionStats:
    """Return statistics without any counts."""
    return VersionStats({})


def add_sample(
    stats: VersionStats,
    request_class: str,
    now_s: float,
    failed: bool,
    latency_ms: float,
    passed: bool | None,
    refused: bool = False,
) -> None:
    """Count one request, changing ``stats`` in place."""
    stratum = Stratum(request_class, int(now_s // BLOCK_S))
    known = stats.strata.get(stratum, ClassStats())
    counts = known.latency_counts
    latency_sum_ms = known.latency_sum_ms
    if not failed:
        bucket = bisect_left(LATENCY_EDGES_MS, latency_ms)
        counts = (*counts[:bucket], counts[bucket] + 1, *counts[bucket + 1 :])
        latency_sum_ms += latency_ms
    stats.strata[stratum] = ClassStats(
        requests=known.requests + 1,
        errors=known.errors + failed,
        latency_sum_ms=latency_sum_ms,
        latency_counts=counts,
        rated=known.rated + (passed is not None),
        passed=known.passed + bool(passed),
        refused=known.refused + refused,
    )


def add_late_rating(
    stats: VersionStats, request_class: str, answered_s: float, passed: bool
) -> None:
    """Count a rating of an answer that was counted before, in place."""
    stratum = Stratum(request_class, int(answered_s // BLOCK_S))
    known = stats.strata.get(stratum, ClassStats())
    stats.strata[stratum] = known._replace(
        rated=known.rated + 1, passed=known.passed + passed
    )


def merge(parts: Iterable[VersionStats]) -> VersionStats:
    """Return the sum of several statistics, for example of every entry."""
    strata: dict[Stratum, ClassStats] = {}
    for part in parts:
        for stratum, counts in part.strata.items():
            known = strata.get(stratum)
            strata[stratum] = counts if known is None else _sum(known, counts)
    return VersionStats(strata)


def rated_by_class(stats: VersionStats) -> dict[str, int]:
    """Return the number of ratings of each class."""
    rated: dict[str, int] = {}
    for stratum, counts in stats.strata.items():
        known = rated.get(stratum.request_class, 0)
        rated[stratum.request_class] = known + counts.rated
    return rated


def select(
    stats: VersionStats,
    request_class: str | None = None,
    first_block: int | None = None,
    end_block: int | None = None,
) -> VersionStats:
    """Return the strata of one class, or of a range of blocks."""
    return VersionStats(
        {
            stratum: counts
            for stratum, counts in stats.strata.items()
            if (request_class in (None, stratum.request_class))
            and (first_block is None or stratum.block >= first_block)
            and (end_block is None or stratum.block < end_block)
        }
    )


def _sum(one: ClassStats, two: ClassStats) -> ClassStats:
    counts = zip(one.latency_counts, two.latency_counts, strict=True)
    return ClassStats(
        requests=one.requests + two.requests,
        errors=one.errors + two.errors,
        latency_sum_ms=one.latency_sum_ms + two.latency_sum_ms,
        latency_counts=tuple(a + b for a, b in counts),
        rated=one.rated + two.rated,
        passed=one.passed + two.passed,
        refused=one.refused + two.refused,
    )


__all__ = [
    "add_late_rating",
    "add_sample",
    "BLOCK_S",
    "ClassStats",
    "empty_stats",
    "LATENCY_EDGES_MS",
    "merge",
    "rated_by_class",
    "select",
    "Stratum",
    "VersionStats",
]
