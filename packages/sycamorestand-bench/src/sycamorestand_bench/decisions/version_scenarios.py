"""Scenarios for cascades, roll-outs and versions that turn bad."""

from __future__ import annotations

from functools import partial
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_bench.decisions.cascade_model import CASES
from sycamorestand_bench.decisions.cascade_model import POLICIES
from sycamorestand_bench.decisions.cascade_model import run_cascade
from sycamorestand_bench.decisions.cascade_model import TARGET
from sycamorestand_bench.decisions.rollout_model import day_requests
from sycamorestand_bench.decisions.rollout_model import Exposure
from sycamorestand_bench.decisions.rollout_model import Fault
from sycamorestand_bench.decisions.rollout_model import run_rollout
from sycamorestand_bench.decisions.rollout_model import run_watch

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_bench.decisions.figures import Figures
    from sycamorestand_bench.decisions.workload import User

HEALTHY_ROLLOUTS_A_SEED: Final = 100
# Ten times the traffic gives the same counts in a tenth of the simulated
# time, with a tenth of the checks.
HEALTHY_SCALE: Final = 10.0
DOWN_HOURS: Final = 6.0


def cascade(case: str, user: User, seed: int) -> Figures:
    """Measure each policy's cost, quality and latency after the warm-up."""
    runs = {p: run_cascade(CASES[case], user, p, seed) for p in POLICIES}
    oracle = runs["oracle"].cost_micros
    strong = runs["always-strong"].cost_micros
    return {
        policy: {
            "cost_micros": run.cost_micros,
            "over_oracle": run.cost_micros / oracle,
            "under_strong": 1.0 - run.cost_micros / strong,
            "quality": run.quality,
            "over_target": run.quality - TARGET,
            "worst_class": run.worst_class,
            "latency_ms": run.latency_ms,
        }
        for policy, run in runs.items()
    }


def rollout(fault: Fault, user: User, seed: int) -> Figures:
    """Roll out a new version that is bad from its start."""
    product = run_rollout(user, fault, "product", seed)
    fixed = run_rollout(user, fault, "fixed-time", seed)
    return {
        "product": _exposure(product, user),
        "fixed-time": _exposure(fixed, user),
    }


def rollout_interrupted(user: User, seed: int) -> Figures:
    """Change the leader in each step of two roll-outs.

    One new version is healthy, the other gives wrong answers. The exposure
    is that of the wrong one.
    """
    healthy = run_rollout(user, "healthy", "product", seed, interrupted=True)
    wrong = run_rollout(user, "wrong", "product", seed, interrupted=True)
    figures = _exposure(wrong, user)
    figures["healthy_completed"] = float(healthy.completed)
    return {"product": figures}


def rollout_rating(fault: Fault, user: User, seed: int) -> Figures:
    """Roll out a healthy version while ratings are missing or biased."""
    run = run_rollout(user, fault, "product", seed, hours=DOWN_HOURS)
    return {"product": _exposure(run, user)}


def rollout_healthy(user: User, seed: int) -> Figures:
    """Roll out many healthy versions and count the false stops.

    Ten seeds together run a thousand roll-outs.
    """
    runs = [
        run_rollout(
            user,
            "healthy",
            "product",
            seed * HEALTHY_ROLLOUTS_A_SEED + number,
            scale=HEALTHY_SCALE,
        )
        for number in range(HEALTHY_ROLLOUTS_A_SEED)
    ]
    stopped = sum(run.stopped for run in runs)
    completed = sum(run.completed for run in runs)
    return {
        "product": {
            "false_stops": float(stopped),
            "completed": completed / len(runs),
            "seconds": sum(run.seconds for run in runs) / len(runs),
        }
    }


def turns_bad(fault: Fault, user: User, seed: int) -> Figures:
    """Let a version in full use turn bad after four hours."""
    return {"product": _exposure(run_watch(user, fault, seed), user)}


def with_fault(
    measure: Callable[[Fault, User, int], Figures], fault: Fault
) -> Callable[[User, int], Figures]:
    """Return the scenario that runs with a fault."""
    return partial(measure, fault)


def with_case(case: str) -> Callable[[User, int], Figures]:
    """Return the cascade scenario that runs with a case."""
    return partial(cascade, case)


def _exposure(run: Exposure, user: User) -> dict[str, float]:
    return {
        "exposed_share": run.exposed / day_requests(user),
        "stopped": float(run.stopped),
        "completed": float(run.completed),
        "seconds": run.seconds,
    }


__all__ = [
    "with_case",
    "with_fault",
    "rollout",
    "rollout_healthy",
    "rollout_interrupted",
    "rollout_rating",
    "turns_bad",
]
