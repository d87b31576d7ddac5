"""Compares what a version did with a reference, signal by signal.

Each signal counts bad ones out of a total: failed requests, answers slower
than nine of ten of the reference, ratings not passed. The rate expected
of a healthy version is the reference's, weighed with the version's own mix
of classes and blocks of time, plus a margin that is no harm, plus what the
reference's own count leaves uncertain.
"""

from __future__ import annotations

from collections import defaultdict
from math import sqrt
from typing import Final
from typing import Literal
from typing import NamedTuple
from typing import TYPE_CHECKING
from typing import TypeAlias

from sycamorestand_decisions.evidence import log_evidence

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_decisions.version_stats import ClassStats
    from sycamorestand_decisions.version_stats import VersionStats

Signal = Literal["errors", "ratings", "latency"]
Counter: TypeAlias = "Callable[[str, ClassStats], tuple[int, int]]"

SIGNALS: Final[tuple[Signal, ...]] = ("errors", "ratings", "latency")
# Differences that no user would act on: half an error in a hundred, two
# answers in a hundred rated worse, one in twenty more that is slow.
MARGINS: Final[dict[Signal, float]] = {
    "errors": 0.005,
    "ratings": 0.02,
    "latency": 0.05,
}
# Standard deviations added for the reference's own uncertainty: 1.6 is
# its 95 % bound, which the margin then adds to.
REFERENCE_DEVIATIONS: Final = 1.6
# A stratum with few requests leans on its class with this weight.
CLASS_WEIGHT: Final = 50.0
SLOW_SHARE: Final = 0.1
MIN_TOTAL: Final = 20


class Evidence(NamedTuple):
    """What one comparison found.

    ``log_evidence`` is the natural logarithm of how many times better a
    worse version explains the counts than a healthy one.
    """

    signal: Signal
    request_class: str | None
    bad: int
    total: int
    expected_rate: float
    log_evidence: float

    def text(self) -> str:
        """Return one line for operators and the audit trail."""
        share = 100.0 * self.bad / self.total if self.total else 0.0
        where = f" of class {self.request_class}" if self.request_class else ""
        return (
            f"{self.signal}{where}: {self.bad} of {self.total} bad "
            f"({share:.1f} %), at most {100 * self.expected_rate:.1f} % "
            f"expected; log evidence {self.log_evidence:.1f}"
        )


def compare(
    reference: VersionStats,
    version: VersionStats,
    signal: Signal,
    request_class: str | None = None,
    extra: float = 0.0,
) -> Evidence:
    """Return the evidence that the version is worse in one signal.

    ``extra`` is added to the expected rate: harm that hits every version
    alike and thus is not this version's.
    """
    count = _counter(reference, signal)
    by_class: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for stratum, counts in reference.strata.items():
        bad, total = count(stratum.request_class, counts)
        by_class[stratum.request_class][0] += bad
        by_class[stratum.request_class][1] += total
    bads = totals = 0
    expected = variance = 0.0
    for stratum, counts in version.strata.items():
        if request_class not in (None, stratum.request_class):
            continue
        class_bad, class_total = by_class[stratum.request_class]
        bad, total = count(stratum.request_class, counts)
        if not class_total or not total:
            continue
        own = reference.strata.get(stratum)
        own_bad, own_total = (
            count(stratum.request_class, own) if own else (0, 0)
        )
        weight = min(CLASS_WEIGHT, class_total)
        class_rate = (class_bad + 0.5) / (class_total + 1.0)
        rate = own_bad + weight * class_rate
        rate /= own_total + weight
        bads += bad
        totals += total
        expected += total * rate
        spread = max(rate * (1.0 - rate), 1e-4) / (own_total + weight)
        variance += total * total * spread
    if totals < MIN_TOTAL:
        return Evidence(signal, request_class, bads, totals, 1.0, 0.0)
    bound = (expected + REFERENCE_DEVIATIONS * sqrt(variance)) / totals
    bound = min(1.0, bound + MARGINS[signal] + extra)
    found = log_evidence(bads, totals, bound)
    return Evidence(signal, request_class, bads, totals, bound, found)


def compare_all(
    reference: VersionStats, version: VersionStats
) -> list[Evidence]:
    """Return the evidence of every signal, overall and by class."""
    groups: tuple[str | None, ...] = (None, *version.classes())
    if len(groups) == 2:
        groups = (None,)
    return [
        compare(reference, version, signal, group)
        for signal in SIGNALS
        for group in groups
    ]


def rate_of(stats: VersionStats, signal: Signal) -> tuple[float, int]:
    """Return a signal's rate and count; latency against its own edge."""
    count = _counter(stats, signal)
    bads = totals = 0
    for stratum, counts in stats.strata.items():
        bad, total = count(stratum.request_class, counts)
        bads += bad
        totals += total
    return (bads / totals if totals else 0.0), totals


def rise(
    reference: VersionStats, recent: VersionStats, signal: Signal
) -> tuple[float, int]:
    """Return how much a signal's rate rose since, and out of how many."""
    count = _counter(reference, signal)
    rates = []
    for stats in (reference, recent):
        pairs = [count(s.request_class, c) for s, c in stats.strata.items()]
        bad = sum(pair[0] for pair in pairs)
        total = sum(pair[1] for pair in pairs)
        rates.append((bad / total if total else 0.0, total))
    return rates[1][0] - rates[0][0], min(rates[0][1], rates[1][1])


def _counter(reference: VersionStats, signal: Signal) -> Counter:
    if signal == "errors":
        return _count_errors
    if signal == "ratings":
        return _count_not_passed
    edges = _slow_edges(reference)

    def count_slow(request_class: str, counts: ClassStats) -> tuple[int, int]:
        edge = edges.get(request_class)
        answered = counts.requests - counts.errors
        if edge is None:
            return 0, 0
        return sum(counts.latency_counts[edge:]), answered

    return count_slow


def _count_errors(_: str, counts: ClassStats) -> tuple[int, int]:
    return counts.errors, counts.requests


def _count_not_passed(_: str, counts: ClassStats) -> tuple[int, int]:
    return counts.rated - counts.passed, counts.rated


def _slow_edges(reference: VersionStats) -> dict[str, int]:
    """Return by class the first bucket that is slow for the reference."""
    sums: dict[str, list[int]] = {}
    for stratum, counts in reference.strata.items():
        known = sums.setdefault(
            stratum.request_class, [0] * len(counts.latency_counts)
        )
        for index, count in enumerate(counts.latency_counts):
            known[index] += count
    return {name: _edge(counts) for name, counts in sums.items()}


def _edge(counts: list[int]) -> int:
    allowed = SLOW_SHARE * sum(counts)
    above = 0
    for index in range(len(counts) - 1, -1, -1):
        above += counts[index]
        if above > allowed:
            return index + 1
    return 0


__all__ = [
    "compare",
    "compare_all",
    "Evidence",
    "MIN_TOTAL",
    "rate_of",
    "rise",
    "Signal",
    "SIGNALS",
]
