"""Scenarios for admission control, queueing and server selection."""

from __future__ import annotations

from math import nan
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_bench.decisions.figures import percentile
from sycamorestand_bench.decisions.queue_model import FULL_BATCH_SLOWDOWN
from sycamorestand_bench.decisions.queue_model import PREFILL_TOKENS_PER_S
from sycamorestand_bench.decisions.queue_model import TOKEN_S
from sycamorestand_bench.decisions.simulation import Faults
from sycamorestand_bench.decisions.simulation import Policy
from sycamorestand_bench.decisions.simulation import Run
from sycamorestand_bench.decisions.simulation import simulate
from sycamorestand_bench.decisions.workload import FLOODING
from sycamorestand_bench.decisions.workload import Mix
from sycamorestand_bench.decisions.workload import Request
from sycamorestand_bench.decisions.workload import SERVER_CAPACITY
from sycamorestand_bench.decisions.workload import SIZES
from sycamorestand_bench.decisions.workload import User

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_bench.decisions.figures import Figures
    from sycamorestand_bench.decisions.routing import Result

WARM_UP_S: Final = 10.0
BURST_FROM_S: Final = 15.0
BURST_S: Final = 10.0
BURST: Final = 5.0
AT_ONCE_MS: Final = 50.0
BASELINES: Final[tuple[Policy, ...]] = (
    "product",
    "round-robin",
    "random",
    "least-reported",
)
CONCENTRATION: Final[tuple[Policy, ...]] = ("product", "concentrate")


def steady(user: User, seed: int) -> Figures:
    """Send a constant load of 0.6 of the capacity."""
    return _compare(user, seed, Mix(0.6))


def burst(user: User, seed: int) -> Figures:
    """Send a load of 0.4 of the capacity, and five times that for 10 s.

    ``cleared_s`` is the time from the burst's start until few requests wait.
    """
    mix = Mix(0.4, 60.0, profile=_burst_profile, peak=BURST)
    figures: Figures = {}
    for policy in BASELINES:
        run = simulate(SIZES[user], mix, Faults(), policy, seed)
        figures[policy] = _figures(run, user, mix)
        figures[policy]["cleared_s"] = _cleared_s(run, user)
    return figures


def flood(user: User, seed: int) -> Figures:
    """Send 1.5 times the capacity, 90 % of it from two of ten customers.

    The figures are those of the eight other customers; ``p99_ratio``
    compares them with a run in which only these eight send requests.
    """
    mix = Mix(1.5, duration_s=90.0, flood_share=0.9)
    alone = simulate(
        SIZES[user], mix._replace(only_small=True), Faults(), "product", seed
    )
    alone_p99_s = _figures(alone, user, mix)["p99_s"]
    figures = _compare(user, seed, mix, _is_small)
    for row in figures.values():
        row["p99_ratio"] = row["p99_s"] / alone_p99_s
    return figures


def hot_keys(user: User, seed: int) -> Figures:
    """Send half of the requests with one of three session keys."""
    return _compare(user, seed, Mix(0.6, hot_share=0.5, prefix_share=0.3))


def slow_server(user: User, seed: int) -> Figures:
    """Make one server five times slower.

    ``p99_ratio`` compares with a run in which no server is slow.
    """
    mix = Mix(0.5, duration_s=60.0)
    healthy = simulate(SIZES[user], mix, Faults(), "product", seed)
    healthy_p99_s = _figures(healthy, user, mix)["p99_s"]
    figures = _compare(user, seed, mix, faults=Faults(slow_speed=0.2))
    for row in figures.values():
        row["p99_ratio"] = row["p99_s"] / healthy_p99_s
    return figures


def long_among_short(user: User, seed: int) -> Figures:
    """Make one of twenty requests thirteen times longer.

    The figures are those of the other requests.
    """
    return _compare(user, seed, Mix(0.7, long_share=0.05), _is_short)


def saturation_1_5(user: User, seed: int) -> Figures:
    """Send one and a half times the capacity."""
    return _compare(user, seed, Mix(1.5))


def saturation_3(user: User, seed: int) -> Figures:
    """Send three times the capacity."""
    return _compare(user, seed, Mix(3.0))


def server_lost(user: User, seed: int) -> Figures:
    """Take one server down at 15 s; it is up again, cold, at 30 s."""
    faults = Faults(lost_from_s=15.0, lost_until_s=30.0)
    return _compare(user, seed, Mix(0.6), faults=faults)


def error_storm(user: User, seed: int) -> Figures:
    """Let every server fail eight of ten requests for ten seconds."""
    faults = Faults(failing=0.8, failing_from_s=15.0, failing_until_s=25.0)
    return _compare(user, seed, Mix(0.6), faults=faults)


def late_reports(user: User, seed: int) -> Figures:
    """Delay load reports by two seconds and lose three of ten."""
    faults = Faults(report_late_s=2.0, report_lost=0.3)
    return _compare(user, seed, Mix(0.7), faults=faults)


def concentration(user: User, seed: int) -> Figures:
    """Compare spreading requests with filling one server after the other."""
    mix = Mix(0.4, prefix_share=0.8, prefixes=100)
    return _compare(user, seed, mix, policies=CONCENTRATION)


def _compare(
    user: User,
    seed: int,
    mix: Mix,
    counted: Callable[[Request], bool] = lambda _: True,
    faults: Faults = Faults(),  # noqa: B008
    policies: tuple[Policy, ...] = BASELINES,
) -> Figures:
    figures: Figures = {}
    for policy in policies:
        run = simulate(SIZES[user], mix, faults, policy, seed)
        figures[policy] = _figures(run, user, mix, counted)
    return figures


def _figures(
    run: Run,
    user: User,
    mix: Mix,
    counted: Callable[[Request], bool] = lambda _: True,
) -> dict[str, float]:
    results = [
        result
        for result in run.results
        if result.request.arrival_s >= WARM_UP_S and counted(result.request)
    ]
    answered = [r.latency_s for r in results if r.outcome == "ok"]
    refused = [1_000 * r.latency_s for r in results if r.outcome == "refused"]
    count = max(1, len(results))
    late = sum(r.outcome in ("late", "failed") for r in results)
    return {
        "p50_s": percentile(answered, 0.5),
        "p99_s": percentile(answered, 0.99),
        "answered": len(answered) / count,
        "late": late / count,
        "refused": len(refused) / count,
        "refusal_p99_ms": percentile(refused, 0.99),
        "refused_at_once": _share_at_once(refused),
        "useful": _useful_share(run, user, mix),
        "cache_hits": run.cache_hits / max(1, sum(run.served_by.values())),
        "attempts": run.attempts / max(1, len(run.results)),
        "servers_used": float(_servers_used(run)),
    }


def _share_at_once(refused_ms: list[float]) -> float:
    if not refused_ms:
        return nan
    return sum(ms <= AT_ONCE_MS for ms in refused_ms) / len(refused_ms)


def _useful_share(run: Run, user: User, mix: Mix) -> float:
    """Return the work answered in time as a share of full batches' work."""
    done_s = sum(
        _work_s(result)
        for result in run.results
        if result.outcome == "ok"
        and WARM_UP_S <= result.ended_s < mix.duration_s
    )
    seconds = mix.duration_s - WARM_UP_S
    return done_s / (seconds * SIZES[user].servers * SERVER_CAPACITY)


def _work_s(result: Result) -> float:
    request = result.request
    prefill_s = request.input_tokens / PREFILL_TOKENS_PER_S
    decode_s = request.output_tokens * TOKEN_S
    return (prefill_s + decode_s) * FULL_BATCH_SLOWDOWN


def _servers_used(run: Run) -> int:
    """Return the number of servers that served 99 % of the requests."""
    total = sum(run.served_by.values())
    done = used = 0
    for served in sorted(run.served_by.values(), reverse=True):
        if done >= 0.99 * total:
            break
        done += served
        used += 1
    return used


def _cleared_s(run: Run, user: User) -> float:
    """Return the time from the burst's start until few requests wait.

    Few means at most 5 % of the slots. The result is NaN if the waiting
    requests never exceeded that number.
    """
    slots = SIZES[user].servers * SERVER_CAPACITY
    since_burst = [w for w in run.waiting if w[0] >= BURST_FROM_S]
    busy = [when_s for when_s, count in since_burst if count > 0.05 * slots]
    return busy[-1] - BURST_FROM_S if busy else nan


def _burst_profile(now_s: float) -> float:
    inside = BURST_FROM_S <= now_s < BURST_FROM_S + BURST_S
    return BURST if inside else 1.0


def _is_small(request: Request) -> bool:
    return request.customer not in FLOODING


def _is_short(request: Request) -> bool:
    return not request.is_long


__all__ = [
    "burst",
    "concentration",
    "error_storm",
    "flood",
    "hot_keys",
    "late_reports",
    "long_among_short",
    "saturation_1_5",
    "saturation_3",
    "server_lost",
    "slow_server",
    "steady",
]
