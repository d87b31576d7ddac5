"""Compare the counts of a version with those of a reference, by signal.

Each signal counts bad results out of a total: failed requests, refused ones,
answers slower than nine of ten answers of the reference, and ratings that did
not pass. The expected rate of a healthy version is the rate of the reference,
weighted with the version's own mix of classes and blocks of time, plus a
harmless margin, plus the uncertainty of the reference's own counts.
"""

from __future__ import annotations

from functools import reduce
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

Signal = Literal[
    "errors",
    "refusals",
    "ratings",
    "latency",
    "typical latency",
    "far latency",
]
CountFunction: TypeAlias = "Callable[[str, ClassStats], tuple[int, int]]"

# Signals that can be compared with a version's own past. The load was
# different then, which changes the median of all answers more than the share
# of slow ones, and so may the callers be, whose mistakes are refused.
PAST_SIGNALS: Final[tuple[Signal, ...]] = ("errors", "ratings", "latency")
SIGNALS: Final[tuple[Signal, ...]] = (
    *PAST_SIGNALS,
    "refusals",
    "typical latency",
    "far latency",
)
# Differences that no user would act on: half an error in a hundred, one in
# twenty more that is refused, two answers in a hundred rated worse, one in
# twenty more that is slow, three in twenty more that take longer than the
# median, two in a hundred that take far longer than nearly all.
MARGINS: Final[dict[Signal, float]] = {
    "errors": 0.005,
    "refusals": 0.05,
    "ratings": 0.02,
    "latency": 0.05,
    "typical latency": 0.15,
    "far latency": 0.02,
}
# Standard deviations added for the uncertainty of the reference. An error in
# the reference is the same at every evaluation, so the sequential test does
# not average it out. With 1.6, a watch of healthy versions stopped one of
# five.
REFERENCE_DEVIATIONS: Final = 3.0
MIN_VARIANCE: Final = 1e-4
# Weight, in requests, with which the counts of its class are added to a
# stratum that has few requests.
CLASS_WEIGHT: Final = 50.0
# Shares of a reference's answers that count as slow. Prompts and queues spread
# the slowest tenth so widely that a version twice as slow may not show there,
# but it does at the median. Of a version that is several times slower for a
# part of its requests, a dozen answers differ too little in either; but there
# are some among them that the reference has none of.
SLOW_SHARES: Final[dict[Signal, float]] = {
    "latency": 0.1,
    "typical latency": 0.5,
    "far latency": 0.02,
}
# Latency buckets by which a far answer lies beyond those: 1.4 times as slow.
FAR_BUCKETS: Final = 1
MIN_TOTAL: Final = 6


class Evidence(NamedTuple):
    """The result of one comparison.

    ``log_evidence`` is the natural logarithm of the likelihood ratio of a
    worse version to a healthy one.
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
    extra: float = 0.0,
    by_block: bool = True,
    deviations: float = REFERENCE_DEVIATIONS,
) -> list[Evidence]:
    """Return the evidence in one signal, first overall, then by class.

    With ``by_block``, only blocks in which the reference has counts are
    compared, since in other blocks a worse version cannot be told apart from a
    changed rating service. Without it, the reference is from another time, and
    ``extra`` is the change that other versions show since; it is added to the
    expected rate.
    """
    count = _count_function(reference, signal)
    by_class = _totals_by_class(reference, count)
    sums: dict[str, _Sums] = {}
    for stratum, counts in version.strata.items():
        name = stratum.request_class
        class_counts = by_class.get(name, NO_COUNTS)
        bad, total = count(name, counts)
        if not class_counts.total or not total:
            continue
        expected = _Expected(class_counts.bad, class_counts.total)
        if by_block:
            own = reference.strata.get(stratum)
            if own is None:
                continue
            expected = _shrink_to_class(count(name, own), class_counts)
        rate = (expected.bad + 0.5) / (expected.total + 1.0)
        spread = max(rate * (1.0 - rate), MIN_VARIANCE)
        unsure = total * sqrt(spread / expected.total)
        found = _Sums(
            bad,
            total,
            total * rate,
            unsure**2 if by_block else 0.0,
            0.0 if by_block else unsure,
        )
        sums[name] = _add_sums(sums.get(name, NO_SUMS), found)
    overall = reduce(_add_sums, sums.values(), NO_SUMS)
    evidence = [_make_evidence(signal, None, overall, extra, deviations)]
    if len(sums) > 1:
        for name in sorted(sums):
            evidence.append(
                _make_evidence(signal, name, sums[name], extra, deviations)
            )
    return evidence


def compare_all(
    reference: VersionStats,
    version: VersionStats,
    deviations: float = REFERENCE_DEVIATIONS,
) -> list[Evidence]:
    """Return the evidence of every signal, overall and by class.

    A version that refused nothing has no evidence of refusals, which would
    weaken that of the others.
    """
    return [
        evidence
        for signal in SIGNALS
        if signal != "refusals" or version.refused
        for evidence in compare(
            reference, version, signal, deviations=deviations
        )
    ]


def rate_increase(
    reference: VersionStats, recent: VersionStats, signal: Signal
) -> tuple[float, int]:
    """Return the increase of a signal's rate, and the smaller total."""
    count = _count_function(reference, signal)
    before = _totals(reference, count)
    after = _totals(recent, count)
    if not before.total or not after.total:
        return 0.0, 0
    increase = after.bad / after.total - before.bad / before.total
    return increase, min(before.total, after.total)


class _Count(NamedTuple):
    bad: int
    total: int


class _Expected(NamedTuple):
    """Counts of a reference; they need not be integers."""

    bad: float
    total: float


class _Sums(NamedTuple):
    """Sums over strata.

    Blocks that are compared with their own reference have independent errors;
    ``variance`` sums their squares. Strata that are compared with the same
    reference have the same error; ``unsure`` sums their deviations.
    """

    bad: int
    total: int
    expected: float
    variance: float
    unsure: float


NO_COUNTS: Final = _Count(0, 0)
NO_SUMS: Final = _Sums(0, 0, 0.0, 0.0, 0.0)


def _add_sums(one: _Sums, two: _Sums) -> _Sums:
    return _Sums(
        one.bad + two.bad,
        one.total + two.total,
        one.expected + two.expected,
        one.variance + two.variance,
        one.unsure + two.unsure,
    )


def _shrink_to_class(own: tuple[int, int], class_counts: _Count) -> _Expected:
    """Return a block's counts plus those of its class, with bounded weight."""
    weight = min(CLASS_WEIGHT, class_counts.total)
    bad = own[0] + weight * class_counts.bad / class_counts.total
    return _Expected(bad, own[1] + weight)


def _make_evidence(
    signal: Signal,
    name: str | None,
    sums: _Sums,
    extra: float,
    deviations: float,
) -> Evidence:
    if sums.total < MIN_TOTAL:
        return Evidence(signal, name, sums.bad, sums.total, 1.0, 0.0)
    unsure = deviations * (sqrt(sums.variance) + sums.unsure)
    bound = (sums.expected + unsure) / sums.total
    bound = min(1.0, bound + MARGINS[signal] + extra)
    found = log_evidence(sums.bad, sums.total, bound)
    return Evidence(signal, name, sums.bad, sums.total, bound, found)


def _totals(stats: VersionStats, count: CountFunction) -> _Count:
    bad = total = 0
    for stratum, counts in stats.strata.items():
        found = count(stratum.request_class, counts)
        bad += found[0]
        total += found[1]
    return _Count(bad, total)


def _totals_by_class(
    stats: VersionStats, count: CountFunction
) -> dict[str, _Count]:
    totals: dict[str, _Count] = {}
    for stratum, counts in stats.strata.items():
        name = stratum.request_class
        bad, total = count(name, counts)
        known = totals.get(name, NO_COUNTS)
        totals[name] = _Count(known.bad + bad, known.total + total)
    return totals


def _count_function(reference: VersionStats, signal: Signal) -> CountFunction:
    if signal == "errors":
        return _count_errors
    if signal == "refusals":
        return _count_refused
    if signal == "ratings":
        return _count_not_passed
    edges = _slow_edges(reference, SLOW_SHARES[signal])
    if signal == "far latency":
        edges = {name: edge + FAR_BUCKETS for name, edge in edges.items()}

    def count_slow(request_class: str, counts: ClassStats) -> tuple[int, int]:
        edge = edges.get(request_class)
        answered = counts.requests - counts.errors
        if edge is None:
            return 0, 0
        return sum(counts.latency_counts[edge:]), answered

    return count_slow


def _count_errors(_: str, counts: ClassStats) -> tuple[int, int]:
    return counts.errors, counts.requests


def _count_refused(_: str, counts: ClassStats) -> tuple[int, int]:
    return counts.refused, counts.requests


def _count_not_passed(_: str, counts: ClassStats) -> tuple[int, int]:
    return counts.rated - counts.passed, counts.rated


def _slow_edges(reference: VersionStats, slow_share: float) -> dict[str, int]:
    """Return by class the first latency bucket that counts as slow."""
    sums: dict[str, list[int]] = {}
    for stratum, counts in reference.strata.items():
        known = sums.setdefault(
            stratum.request_class, [0] * len(counts.latency_counts)
        )
        for index, count in enumerate(counts.latency_counts):
            known[index] += count
    return {
        name: _slow_edge(counts, slow_share) for name, counts in sums.items()
    }


def _slow_edge(counts: list[int], slow_share: float) -> int:
    allowed = slow_share * sum(counts)
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
    "PAST_SIGNALS",
    "rate_increase",
    "Signal",
    "SIGNALS",
]
