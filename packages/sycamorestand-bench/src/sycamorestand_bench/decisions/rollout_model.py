"""Simulation of roll-outs, to measure how many requests a bad version gets.

The class, error, latency and rating of each request are drawn at random;
the leader checks the counts every `CHECK_INTERVAL_S`. A day's requests are
those that the user's pool serves in a day at `REQUESTS_PER_S`. Exposure is
the share of a day's requests that a bad version answers before it gets no
more new requests.
"""

from __future__ import annotations

from typing import Final
from typing import Literal
from typing import NamedTuple
from typing import TYPE_CHECKING

import numpy as np

from sycamorestand_bench.decisions.cascade_model import profile_of
from sycamorestand_decisions.rollout import RolloutMonitor
from sycamorestand_decisions.rollout import Stop
from sycamorestand_decisions.verdicts import Advance
from sycamorestand_decisions.version_stats import BLOCK_S
from sycamorestand_decisions.version_stats import ClassStats
from sycamorestand_decisions.version_stats import LATENCY_EDGES_MS
from sycamorestand_decisions.version_stats import select
from sycamorestand_decisions.version_stats import Stratum
from sycamorestand_decisions.version_stats import VersionStats
from sycamorestand_decisions.version_watch import VersionWatch
from sycamorestand_model.declarations import Rollout

if TYPE_CHECKING:
    from sycamorestand_bench.decisions.workload import User

Fault = Literal[
    "healthy",
    "wrong",
    "slow",
    "errors",
    "one-class",
    "rating-biased",
    "rating-down",
]
RolloutPolicy = Literal["product", "fixed-time"]

# A fifth of the capacity of the queue model's servers, as the load is low at
# night.
REQUESTS_PER_S: Final[dict[User, float]] = {"guild": 4.0, "authority": 2.0}
DAY_S: Final = 86_400.0
CHECK_INTERVAL_S: Final = 30.0
CLASS_SHARES: Final = {"short": 0.5, "review": 0.3, "chat": 0.2}
PASS_RATE: Final = {"short": 0.97, "review": 0.92, "chat": 0.9}
MEDIAN_MS: Final = {"short": 500.0, "review": 2_000.0, "chat": 1_200.0}
LATENCY_SIGMA: Final = 0.5
RATED_SHARE: Final = 0.5
ERROR_RATE: Final = 0.003
BAD_CLASS: Final = "chat"
PASS_RATE_DROP: Final = 0.2
BAD_ERROR_RATE: Final = 0.05
SLOWDOWN: Final = 2.0
RATING_BIAS: Final = 0.3
# Without automatic checks, a person looks at the counts after this time, in
# the best case for the fixed-time baseline.
FIXED_STEP_S: Final = 900.0
MODEL: Final = "nest"
OLD: Final = "nest@1"
NEW: Final = "nest@2"
OTHER: Final = "portal@1"


class Exposure(NamedTuple):
    """Result of one roll-out or watch.

    ``exposed`` counts the requests of the new or watched version that the
    fault can have affected.
    """

    exposed: int
    stopped: bool
    seconds: float
    completed: bool


def run_rollout(
    user: User,
    fault: Fault,
    policy: RolloutPolicy,
    seed: int,
    hours: float = 24.0,
    interrupted: bool = False,
    scale: float = 1.0,
) -> Exposure:
    """Roll out one new version that is healthy or bad from its start.

    With ``interrupted``, a new monitor replaces the old one once in each
    step, as after a change of leader. The new monitor starts with the
    committed step and without counts. ``scale`` multiplies the request rate.
    """
    random = np.random.default_rng(seed)
    rollout = Rollout(MODEL, NEW)
    objective = profile_of(user).objective
    monitor = RolloutMonitor(rollout, 0.0, objective=objective)
    exposed = 0
    now_s = started_s = 0.0
    interrupted_step = -1
    while now_s < hours * 3_600.0:
        exposed += _serve_interval(
            monitor, now_s, REQUESTS_PER_S[user] * scale, fault, random
        )
        now_s += CHECK_INTERVAL_S
        if policy == "fixed-time":
            if now_s - started_s >= FIXED_STEP_S:
                started_s = now_s
                if not monitor.advance(now_s):
                    return Exposure(exposed, False, now_s, True)
            continue
        if (
            interrupted
            and interrupted_step < monitor.step
            and now_s > started_s + 120
        ):
            interrupted_step = monitor.step
            monitor = RolloutMonitor(rollout, now_s, monitor.step, objective)
            continue
        verdict = monitor.check(now_s)
        if isinstance(verdict, Stop):
            return Exposure(exposed, True, now_s, False)
        if isinstance(verdict, Advance):
            started_s = now_s
            if not monitor.advance(now_s):
                return Exposure(exposed, False, now_s, True)
    return Exposure(exposed, False, now_s, False)


def run_watch(
    user: User,
    fault: Fault,
    seed: int,
    bad_after_s: float = 14_400.0,
    hours: float = 5.5,
) -> Exposure:
    """Watch a version that turns bad long after its roll-out.

    The seconds of the result count from the time at which it turns bad.
    """
    random = np.random.default_rng(seed)
    watch = VersionWatch()
    exposed = 0
    now_s = 0.0
    while now_s < hours * 3_600.0:
        is_bad = now_s >= bad_after_s
        current_fault = fault if is_bad else "healthy"
        for version, share in ((OLD, 0.6), (OTHER, 0.4)):
            version_fault = (
                current_fault
                if version == OLD or _affects_all_versions(current_fault)
                else "healthy"
            )
            rate = REQUESTS_PER_S[user] * share
            stats = _draw_stats(version_fault, rate, now_s, random)
            exposed += (
                _count_exposed(stats, fault)
                if is_bad and version == OLD
                else 0
            )
            watch.add(version, stats)
        now_s += CHECK_INTERVAL_S
        verdicts = watch.check(now_s)
        if any(isinstance(verdict, Stop) for verdict in verdicts.values()):
            return Exposure(exposed, True, now_s - bad_after_s, False)
    return Exposure(exposed, False, now_s - bad_after_s, False)


def day_requests(user: User) -> float:
    """Return the number of requests that a user's pool serves in a day."""
    return REQUESTS_PER_S[user] * DAY_S


def _serve_interval(
    monitor: RolloutMonitor,
    now_s: float,
    rate: float,
    fault: Fault,
    random: np.random.Generator,
) -> int:
    """Serve requests until the next check; return how many are exposed."""
    # A fault of the rating service begins after ten minutes, in the middle
    # of the roll-out, and affects both versions.
    affects_all = _affects_all_versions(fault)
    old: Fault = fault if affects_all and now_s >= 600.0 else "healthy"
    new: Fault = old if affects_all else fault
    new_stats = _draw_stats(new, rate * monitor.share, now_s, random)
    old_stats = _draw_stats(old, rate * (1.0 - monitor.share), now_s, random)
    monitor.add(old_stats, new_stats)
    return _count_exposed(new_stats, fault)


def _count_exposed(stats: VersionStats, fault: Fault) -> int:
    """Count the requests that the fault can have affected."""
    if fault == "one-class":
        return select(stats, BAD_CLASS).requests
    return stats.requests


def _affects_all_versions(fault: Fault) -> bool:
    return fault in ("rating-biased", "rating-down")


def _draw_stats(
    fault: Fault, rate: float, now_s: float, random: np.random.Generator
) -> VersionStats:
    """Draw the counts of one version until the next check."""
    strata: dict[Stratum, ClassStats] = {}
    for name, share in CLASS_SHARES.items():
        requests = int(random.poisson(rate * share * CHECK_INTERVAL_S))
        if not requests:
            continue
        error_rate = BAD_ERROR_RATE if fault == "errors" else ERROR_RATE
        errors = int(random.binomial(requests, error_rate))
        answered = requests - errors
        rated_share = 0.0 if fault == "rating-down" else RATED_SHARE
        rated = int(random.binomial(answered, rated_share))
        passed = int(random.binomial(rated, _pass_rate(fault, name)))
        median_ms = MEDIAN_MS[name] * (SLOWDOWN if fault == "slow" else 1.0)
        latencies_ms = median_ms * np.exp(
            random.normal(0.0, LATENCY_SIGMA, answered)
        )
        buckets = np.searchsorted(LATENCY_EDGES_MS, latencies_ms)
        counts = np.bincount(buckets, minlength=len(LATENCY_EDGES_MS) + 1)
        strata[Stratum(name, int(now_s // BLOCK_S))] = ClassStats(
            requests=requests,
            errors=errors,
            latency_sum_ms=float(latencies_ms.sum()),
            latency_counts=tuple(counts.tolist()),
            rated=rated,
            passed=passed,
        )
    return VersionStats(strata)


def _pass_rate(fault: Fault, request_class: str) -> float:
    rate = PASS_RATE[request_class]
    if fault == "wrong" or (
        fault == "one-class" and request_class == BAD_CLASS
    ):
        return rate - PASS_RATE_DROP
    if fault == "rating-biased":
        return rate - RATING_BIAS
    return rate


__all__ = ["day_requests", "Exposure", "Fault", "run_rollout", "run_watch"]
