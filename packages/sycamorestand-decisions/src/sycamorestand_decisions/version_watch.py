"""Detect versions that degrade long after their roll-out.

By then there is no old version left to compare with. The last minutes of each
version are compared with its own past, and with the other versions in the same
minutes. If all versions degrade alike, the likely cause is the rating service,
the network or the load, and withdrawing versions would remove what still
answers. If no other version has counts, the causes cannot be told apart, and
operators only get a reason.

By chance, evidence of `STOP_LOG_EVIDENCE` is reached about once in a million
evaluations. That is once in several years for a dozen versions that are
evaluated every two minutes.
"""

from __future__ import annotations

from math import log
from typing import Final

from sycamorestand_decisions.comparison import compare
from sycamorestand_decisions.comparison import Evidence
from sycamorestand_decisions.comparison import MIN_TOTAL
from sycamorestand_decisions.comparison import PAST_SIGNALS
from sycamorestand_decisions.comparison import rate_increase
from sycamorestand_decisions.comparison import Signal
from sycamorestand_decisions.verdicts import Continue
from sycamorestand_decisions.verdicts import Stop
from sycamorestand_decisions.version_stats import BLOCK_S
from sycamorestand_decisions.version_stats import ClassStats
from sycamorestand_decisions.version_stats import merge
from sycamorestand_decisions.version_stats import select
from sycamorestand_decisions.version_stats import Stratum
from sycamorestand_decisions.version_stats import VersionStats

STOP_LOG_EVIDENCE: Final = log(1e6)
SUSPECT_LOG_EVIDENCE: Final = log(100.0)
# Numbers of recent ten-minute blocks that are evaluated together. One block
# detects a sudden failure; six (an hour) detect a failure with little traffic
# or in one class.
WINDOWS: Final = (1, 3, 6)
# With fewer past requests there is no baseline: the latency that counts as
# slow, for example, would follow from a few dozen answers.
MIN_PAST_REQUESTS: Final = 1_000
# Size of the past that serves as baseline. The past ends before the longest
# window, so that a slow degradation does not become part of the baseline.
MAX_PAST_REQUESTS: Final = 20_000


class VersionWatch:
    """Past and recent counts of every version in use."""

    def __init__(self) -> None:
        self._past: dict[str, VersionStats] = {}
        self._recent: dict[str, VersionStats] = {}

    def add(self, version: str, stats: VersionStats) -> None:
        """Add the counts since an entry's last report."""
        known = self._recent.get(version, VersionStats({}))
        self._recent[version] = merge((known, stats))

    def forget(self, version: str) -> None:
        """Drop the counts of a version that is no longer in use."""
        self._past.pop(version, None)
        self._recent.pop(version, None)

    def check(self, now_s: float) -> dict[str, Continue | Stop]:
        """Return a verdict for each version that does not look healthy."""
        block = int(now_s // BLOCK_S)
        self._move_to_past(block)
        verdicts: dict[str, Continue | Stop] = {}
        for version in self._recent:
            verdict = self._evaluate(version, block)
            if verdict is not None:
                verdicts[version] = verdict
        return verdicts

    def _evaluate(self, version: str, block: int) -> Continue | Stop | None:
        past = self._past.get(version)
        if past is None or past.requests < MIN_PAST_REQUESTS:
            return None
        found: list[Evidence] = []
        unconfirmed: list[Evidence] = []
        for window in WINDOWS:
            recent = select(self._recent[version], None, block - window + 1)
            for signal in PAST_SIGNALS:
                common = self._common_increase(version, signal, block, window)
                extra = max(0.0, common or 0.0)
                evidence = compare(past, recent, signal, extra, False)
                (unconfirmed if common is None else found).extend(evidence)
        return _verdict(found, unconfirmed)

    def _common_increase(
        self, version: str, signal: Signal, block: int, window: int
    ) -> float | None:
        """Return the mean increase in other versions, None without counts."""
        weighted = totals = 0.0
        for other, counts in self._recent.items():
            past = self._past.get(other)
            if other == version or past is None:
                continue
            recent = select(counts, None, block - window + 1)
            increase, total = rate_increase(past, recent, signal)
            if total >= MIN_TOTAL:
                weighted += increase * total
                totals += total
        return weighted / totals if totals else None

    def _move_to_past(self, block: int) -> None:
        first_recent = block - max(WINDOWS) + 1
        for version, counts in self._recent.items():
            old = select(counts, None, None, first_recent)
            if not old.strata:
                continue
            self._recent[version] = select(counts, None, first_recent)
            past = self._past.get(version, VersionStats({}))
            self._past[version] = _cap_past(merge((past, _one_block(old))))


def _one_block(stats: VersionStats) -> VersionStats:
    """Return the counts by class alone; the past needs no blocks."""
    return merge(
        VersionStats({Stratum(stratum.request_class, 0): counts})
        for stratum, counts in stats.strata.items()
    )


def _cap_past(stats: VersionStats) -> VersionStats:
    total = stats.requests
    if total <= MAX_PAST_REQUESTS:
        return stats
    keep = MAX_PAST_REQUESTS / total
    scaled = {s: _scaled(c, keep) for s, c in stats.strata.items()}
    return VersionStats(scaled)


def _scaled(counts: ClassStats, keep: float) -> ClassStats:
    return ClassStats(
        requests=int(counts.requests * keep),
        errors=int(counts.errors * keep),
        latency_sum_ms=counts.latency_sum_ms * keep,
        latency_counts=tuple(int(n * keep) for n in counts.latency_counts),
        rated=int(counts.rated * keep),
        passed=int(counts.passed * keep),
        refused=int(counts.refused * keep),
    )


def _verdict(
    found: list[Evidence], unconfirmed: list[Evidence]
) -> Continue | Stop | None:
    harmful = [e for e in found if e.log_evidence >= STOP_LOG_EVIDENCE]
    if harmful:
        worst = max(harmful, key=lambda e: e.log_evidence)
        reason = f"worse {worst.signal} than in its own past"
        return Stop(reason, tuple(e.text() for e in harmful))
    for evidence in unconfirmed:
        if evidence.log_evidence >= STOP_LOG_EVIDENCE:
            text = "no other version tells the rating service or network"
            return Continue(f"{text} from the version: {evidence.text()}")
    for evidence in found:
        if evidence.log_evidence >= SUSPECT_LOG_EVIDENCE:
            return Continue(f"suspect {evidence.text()}")
    return None


__all__ = ["VersionWatch"]
