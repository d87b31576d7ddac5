"""Roll-out control: wait, advance to the next step, or stop the version.

A new version may be worse than the old one: it may give wrong answers, fail,
be slow, or be bad for one class of requests only. A roll-out by time alone
exposes everyone to it before anyone looks. Here, after every batch of counts,
the new version is compared with the old one on the same classes in the same
blocks of time, with a sequential test that may be read at any time. The
roll-out advances only with enough evidence that the version is healthy.

A rating service that is down gives no ratings, so the roll-out waits. A biased
one lowers the ratings of the old version in the same blocks as well, so there
is no difference and the roll-out does not stop.

The probability of a false stop of the whole roll-out follows from the
profile's weight of exposure (`objective.false_stop_probability`, at most 8 in
10,000) and is divided among all signals and classes.
"""

from __future__ import annotations

from math import log
from typing import Final
from typing import NamedTuple

from sycamorestand_decisions.comparison import compare_all
from sycamorestand_decisions.comparison import Evidence
from sycamorestand_decisions.objective import false_stop_probability
from sycamorestand_decisions.verdicts import Advance
from sycamorestand_decisions.verdicts import Continue
from sycamorestand_decisions.verdicts import Stop
from sycamorestand_decisions.verdicts import Verdict
from sycamorestand_decisions.version_stats import add_late_rating
from sycamorestand_decisions.version_stats import add_sample
from sycamorestand_decisions.version_stats import empty_stats
from sycamorestand_decisions.version_stats import merge
from sycamorestand_decisions.version_stats import rated_by_class
from sycamorestand_decisions.version_stats import VersionStats
from sycamorestand_decisions.version_watch import VersionWatch
from sycamorestand_model.declarations import Objective
from sycamorestand_model.declarations import Rollout

# Evidence of ten to one for harm does not stop the roll-out, but keeps it from
# advancing.
SUSPECT_LOG_EVIDENCE: Final = log(10.0)
# If a roll-out must end within a time, its steps see about a dozen requests.
# Evidence of five to one, with a smaller allowance for the uncertainty of the
# reference, is then the most that can be expected. If it stops a healthy
# version, the roll-out of that version is ordered again.
DOUBT_LOG_EVIDENCE: Final = log(5.0)
DOUBT_DEVIATIONS: Final = 1.0
# A dozen requests say little about a class with a high expected rate, such as
# requests whose timeout is shorter than their answer takes: 8 bad of 11, where
# 3 were expected, stopped a healthy version.
MAX_DOUBT_RATE: Final = 0.25
# By definition, half of the answers exceed the median.
MEDIAN_SIGNAL: Final = "typical latency"
# Ratings that a step needs if there are ratings at all. Thirty detect a drop
# of 20 percentage points at about two standard deviations.
MIN_RATED: Final = 30
# Ratings of each class that full use needs; each earlier step needs a fourth
# of the next one. At full use there is no old version left to compare with, so
# ratings from then on are no evidence. When they were counted, one in six
# roll-outs of a version that was bad for one class was completed.
CLASS_RATED_FOR_FULL: Final = 200
# Classes below this share of the ratings would delay every roll-out, so they
# are not waited for.
SMALL_CLASS_SHARE: Final = 0.05


class StepStart(NamedTuple):
    """Time and counts at which the current step began."""

    step: int = 0
    started_s: float = 0.0
    requests: int = 0
    rated: int = 0


FROM_THE_START: Final = StepStart()
EQUAL_WEIGHTS: Final = Objective()


def evaluate_rollout(
    old: VersionStats,
    new: VersionStats,
    rollout: Rollout,
    now_s: float,
    start: StepStart = FROM_THE_START,
    objective: Objective = EQUAL_WEIGHTS,
) -> Verdict:
    """Return the verdict on the new version from the current counts."""
    evidence = compare_all(old, new)
    limit = log(len(evidence) / false_stop_probability(objective))
    harmful = [e for e in evidence if e.log_evidence >= limit]
    if harmful:
        worst = max(harmful, key=_strength)
        reason = f"worse {worst.signal} than the old version"
        return Stop(reason, tuple(e.text() for e in harmful))
    return _step_verdict(old, new, rollout, now_s, start, evidence)


class RolloutMonitor:
    """Counts and the current step of one running roll-out.

    After an interruption, a new monitor is made with the committed step. Its
    counts start from zero, so a step may take longer, but none is skipped.
    """

    def __init__(
        self,
        rollout: Rollout,
        now_s: float,
        step: int = 0,
        objective: Objective = EQUAL_WEIGHTS,
    ) -> None:
        self.rollout = rollout
        self.step = step
        self._objective = objective
        self._start = StepStart(step, now_s)
        self.old = empty_stats()
        self.new = empty_stats()

    @property
    def share(self) -> float:
        """The share of new work that the new version gets."""
        return self.rollout.shares[self.step]

    def observe(
        self,
        is_new: bool,
        request_class: str,
        now_s: float,
        failed: bool,
        latency_ms: float,
        passed: bool | None,
    ) -> None:
        """Count one request of either version."""
        stats = self.new if is_new else self.old
        add_sample(stats, request_class, now_s, failed, latency_ms, passed)

    def add(self, old: VersionStats, new: VersionStats) -> None:
        """Add the counts since an entry's last report."""
        self.old = merge((self.old, old))
        self.new = merge((self.new, new))

    def check(self, now_s: float) -> Verdict:
        """Return the verdict from the current counts."""
        return evaluate_rollout(
            self.old,
            self.new,
            self.rollout,
            now_s,
            self._start,
            self._objective,
        )

    def comparison_lines(self) -> tuple[str, ...]:
        """Return a line of evidence for each signal, overall and by class."""
        return tuple(e.text() for e in compare_all(self.old, self.new))

    def advance(self, now_s: float) -> bool:
        """Go to the next step; return False if the roll-out is complete."""
        if self.step + 1 >= len(self.rollout.shares):
            return False
        self.step += 1
        self._start = StepStart(
            self.step, now_s, self.new.requests, self.new.rated
        )
        return True


def _step_verdict(
    old: VersionStats,
    new: VersionStats,
    rollout: Rollout,
    now_s: float,
    start: StepStart,
    evidence: list[Evidence],
) -> Verdict:
    elapsed_s = now_s - start.started_s
    step_s = rollout.step_s(start.step)
    if elapsed_s < step_s:
        return Continue(f"{elapsed_s:.0f} s of {step_s:.0f} s")
    requests = new.requests - start.requests
    if rollout.patience_s:
        doubt = _strongest_sign_of_harm(old, new)
        if elapsed_s >= step_s + rollout.patience_s:
            return _verdict_at_limit(requests, doubt)
        if doubt.log_evidence >= DOUBT_LOG_EVIDENCE:
            return Continue(f"in doubt {doubt.text()}")
    if requests < rollout.min_samples:
        return Continue(f"{requests} of {rollout.min_samples} requests")
    rated = new.rated - start.rated
    if old.rated and rated < MIN_RATED:
        return Continue(f"{rated} of {MIN_RATED} ratings")
    lacking = _class_lacking_ratings(old, new, len(rollout.shares), start)
    if lacking is not None:
        return Continue(f"too few ratings of class {lacking}")
    worst = max(evidence, key=_strength)
    if worst.log_evidence >= SUSPECT_LOG_EVIDENCE:
        return Continue(f"suspect {worst.text()}")
    return Advance(f"healthy after {requests} requests, {rated} rated")


def _strongest_sign_of_harm(old: VersionStats, new: VersionStats) -> Evidence:
    """Return the strongest evidence of harm, whether or not it suffices."""
    evidence = compare_all(old, new, DOUBT_DEVIATIONS)
    overall = evidence[0]
    clear = [
        e
        for e in evidence
        if e.signal == MEDIAN_SIGNAL or e.expected_rate <= MAX_DOUBT_RATE
    ]
    return max(clear, key=_strength, default=overall)


def _verdict_at_limit(requests: int, worst: Evidence) -> Verdict:
    """Return the verdict when the step's time limit has passed.

    A roll-out with a time limit that is stopped wrongly is ordered again; one
    that goes on with a bad version reaches every caller.
    """
    if worst.log_evidence >= DOUBT_LOG_EVIDENCE:
        return Stop("suspect at the time limit", (worst.text(),))
    if not requests:
        return Continue("no request yet")
    return Advance(f"nothing against it after {requests} requests")


def _class_lacking_ratings(
    old: VersionStats, new: VersionStats, steps: int, start: StepStart
) -> str | None:
    """Return a class with too few ratings for the next step, or None."""
    needed = CLASS_RATED_FOR_FULL / 4 ** max(0, steps - 2 - start.step)
    old_rated, new_rated = rated_by_class(old), rated_by_class(new)
    total = sum(old_rated.values())
    for name, rated in sorted(old_rated.items()):
        if not rated or rated < SMALL_CLASS_SHARE * total:
            continue
        if new_rated.get(name, 0) < needed:
            return name
    return None


def _strength(evidence: Evidence) -> float:
    return evidence.log_evidence


__all__ = [
    "add_late_rating",
    "add_sample",
    "Advance",
    "Continue",
    "empty_stats",
    "evaluate_rollout",
    "merge",
    "RolloutMonitor",
    "StepStart",
    "Stop",
    "Verdict",
    "VersionStats",
    "VersionWatch",
]
