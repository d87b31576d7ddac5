"""Statistics of version samples, collected between two reports."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_decisions.stats_rows import StatsRow
from sycamorestand_decisions.stats_rows import to_rows
from sycamorestand_decisions.version_stats import add_sample
from sycamorestand_decisions.version_stats import empty_stats
from sycamorestand_decisions.version_stats import VersionStats
from sycamorestand_model.entry_reports import RatingCount

if TYPE_CHECKING:
    from sycamorestand_model.entry_reports import VersionSample

# An answer rated below this counts as failed; ratings range from 0 to 1.
PASSING_RATING: Final = 0.5
# Bounds the size of a report, and so the load on control, if callers invent
# request classes. Once a version has counts of this many classes, its further
# samples are left out until the next report.
MAX_CLASSES: Final = 16
MAX_RATINGS: Final = 256


class SampleCounts:
    """Aggregate samples, so that a report's size is independent of load."""

    def __init__(self) -> None:
        self._stats: dict[str, VersionStats] = {}
        self._ratings: dict[tuple[str, str, bool], tuple[int, int]] = {}

    def add(self, sample: VersionSample, now_s: float) -> None:
        """Count one attempt at a version; ``now_s`` is wall-clock time."""
        self._add_rating(sample)
        stats = self._stats.setdefault(sample.version, empty_stats())
        if len(stats.strata) >= MAX_CLASSES:
            return
        passed = None
        if sample.rating is not None:
            passed = sample.rating >= PASSING_RATING
        add_sample(
            stats,
            sample.request_class,
            now_s,
            sample.failed,
            sample.first_token_ms,
            passed,
            sample.refused,
        )

    def drain_ratings(self) -> tuple[RatingCount, ...]:
        """Return the counts of ratings for other entries and reset them."""
        counts = tuple(
            RatingCount(*key, *row) for key, row in self._ratings.items()
        )
        self._ratings = {}
        return counts

    def _add_rating(self, sample: VersionSample) -> None:
        if sample.rating is None:
            return
        key = (sample.version, sample.request_class, sample.escalated)
        if key not in self._ratings and len(self._ratings) >= MAX_RATINGS:
            return
        passed, rated = self._ratings.get(key, (0, 0))
        passed += sample.rating >= PASSING_RATING
        self._ratings[key] = (passed, rated + 1)

    def drain(self) -> tuple[StatsRow, ...]:
        """Return the rows of all versions and reset them."""
        rows = to_rows(self._stats)
        self._stats = {}
        return rows


__all__ = ["SampleCounts"]
