"""Requests of an old and a new version, to measure exposure against.

Each request draws its class, errors, latency and rating; the leader looks
at the counts every `LOOK_S`. A day's requests are those that the user's
pool serves in a day at `REQUESTS_PER_S`; exposure is the share of them
that a bad version answered before new work left it.
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

# A fifth of what the queue model's servers could do: a day has nights.
REQUESTS_PER_S: Final[dict[User, float]] = {"guild": 4.0, "authority": 2.0}
DAY_S: Final = 86_400.0
LOOK_S: Final = 30.0
CLASS_SHARES: Final = {"short": 0.5, "review": 0.3, "chat": 0.2}
PASS_RATE: Final = {"short": 0.97, "review": 0.92, "chat": 0.9}
MEDIAN_MS: Final = {"short": 500.0, "review": 2_000.0, "chat": 1_200.0}
LATENCY_SIGMA: Final = 0.5
RATED_SHARE: Final = 0.5
ERROR_RATE: Final = 0.003
BAD_CLASS: Final = "chat"
WORSE_RATING: Final = 0.2
BAD_ERROR_RATE: Final = 0.05
SLOWER: Final = 2.0
RATING_BIAS: Final = 0.3
# Without a judge a person looks after this long: the baseline's best case.
FIXED_STEP_S: Final = 900.0
MODEL: Final = "nest"
OLD: Final = "nest@1"
NEW: Final = "nest@2"
OTHER: Final = "portal@1"


class Exposure(NamedTuple):
    """What one roll-out or watch came to."""

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
    """Roll out one new version, bad from its start or healthy.

    ``interrupted`` replaces the judge half-way through each step, as after
    a change of leader: it begins with the committed step and no counts.
    """
    random = np.random.default_rng(seed)
    rollout = Rollout(MODEL, NEW)
    objective = profile_of(user).objective
    monitor = RolloutMonitor(rollout, 0.0, objective=objective)
    exposed = 0
    now_s = started_s = 0.0
    was_cut = -1
    while now_s < hours * 3_600.0:
        exposed += _play(
            monitor, now_s, REQUESTS_PER_S[user] * scale, fault, random
        )
        now_s += LOOK_S
        if policy == "fixed-time":
            if now_s - started_s >= FIXED_STEP_S:
                started_s = now_s
                if not monitor.advance(now_s):
                    return Exposure(exposed, False, now_s, True)
            continue
        if interrupted and was_cut < monitor.step and now_s > started_s + 120:
            was_cut = monitor.step
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
    """Watch a version that turns bad long after its roll-out."""
    random = np.random.default_rng(seed)
    watch = VersionWatch()
    exposed = 0
    now_s = 0.0
    while now_s < hours * 3_600.0:
        bad = now_s >= bad_after_s
        now = fault if bad else "healthy"
        for version, share in ((OLD, 0.6), (OTHER, 0.4)):
            own = now if version == OLD or _hits_all(now) else "healthy"
            rate = REQUESTS_PER_S[user] * share
            stats = _draw(own, rate, now_s, random)
            exposed += _seen(stats, fault) if bad and version == OLD else 0
            watch.add(version, stats)
        now_s += LOOK_S
        verdicts = watch.check(now_s)
        if any(isinstance(verdict, Stop) for verdict in verdicts.values()):
            return Exposure(exposed, True, now_s - bad_after_s, False)
    return Exposure(exposed, False, now_s - bad_after_s, False)


def day_requests(user: User) -> float:
    """Return the requests of a day."""
    return REQUESTS_PER_S[user] * DAY_S


def _play(
    monitor: RolloutMonitor,
    now_s: float,
    rate: float,
    fault: Fault,
    random: np.random.Generator,
) -> int:
    """Serve the requests up to the next look; return the exposed ones."""
    # The fault of the rating service begins after ten minutes, in the
    # middle of the roll-out, and hits both versions.
    common = _hits_all(fault)
    old: Fault = fault if common and now_s >= 600.0 else "healthy"
    new: Fault = old if common else fault
    new_stats = _draw(new, rate * monitor.share, now_s, random)
    old_stats = _draw(old, rate * (1.0 - monitor.share), now_s, random)
    monitor.add(old_stats, new_stats)
    return _seen(new_stats, fault)


def _seen(stats: VersionStats, fault: Fault) -> int:
    """Count the requests that the fault can have touched."""
    if fault == "one-class":
        return select(stats, BAD_CLASS).requests
    return stats.requests


def _hits_all(fault: Fault) -> bool:
    return fault in ("rating-biased", "rating-down")


def _draw(
    fault: Fault, per_s: float, now_s: float, random: np.random.Generator
) -> VersionStats:
    """Draw the counts of one version up to the next look."""
    strata: dict[Stratum, ClassStats] = {}
    for name, share in CLASS_SHARES.items():
        requests = int(random.poisson(per_s * share * LOOK_S))
        if not requests:
            continue
        error_rate = BAD_ERROR_RATE if fault == "errors" else ERROR_RATE
        errors = int(random.binomial(requests, error_rate))
        answered = requests - errors
        rated_share = 0.0 if fault == "rating-down" else RATED_SHARE
        rated = int(random.binomial(answered, rated_share))
        passed = int(random.binomial(rated, _pass_rate(fault, name)))
        median_ms = MEDIAN_MS[name] * (SLOWER if fault == "slow" else 1.0)
        latencies_ms = median_ms * np.exp(
            random.normal(0.0, LATENCY_SIGMA, answered)
        )
        places = np.searchsorted(LATENCY_EDGES_MS, latencies_ms)
        counts = np.bincount(places, minlength=len(LATENCY_EDGES_MS) + 1)
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
        return rate - WORSE_RATING
    if fault == "rating-biased":
        return rate - RATING_BIAS
    return rate


__all__ = ["day_requests", "Exposure", "Fault", "run_rollout", "run_watch"]
