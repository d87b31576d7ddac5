"""Runs scenarios over users and seeds and checks the goals."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from math import isnan
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_bench.decisions.figures import spread
from sycamorestand_bench.decisions.scenario_table import find_scenarios
from sycamorestand_bench.decisions.scenario_table import SCENARIOS
from sycamorestand_bench.decisions.workload import SIZES

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sycamorestand_bench.decisions.figures import Figures
    from sycamorestand_bench.decisions.scenario_table import Goal
    from sycamorestand_bench.decisions.scenario_table import Scenario
    from sycamorestand_bench.decisions.workload import User

PROCESSES: Final = 4


class Outcome(NamedTuple):
    """Results of one scenario for one user.

    ``values`` holds one value for each seed, by policy and figure.
    """

    scenario: str
    user: User
    values: dict[str, dict[str, list[float]]]


class GoalResult(NamedTuple):
    """One goal, the measured value, and whether it meets the goal."""

    scenario: str
    user: User
    goal: Goal
    measured: float
    met: bool


class _Job(NamedTuple):
    scenario: str
    user: User
    seed: int


def run_scenarios(
    scenarios: Sequence[Scenario], seeds: Sequence[int]
) -> list[Outcome]:
    """Run every scenario for both users and all seeds, in processes."""
    jobs = [
        _Job(scenario.name, user, seed)
        for scenario in scenarios
        for user in SIZES
        for seed in seeds
    ]
    with ProcessPoolExecutor(PROCESSES) as pool:
        all_figures = list(pool.map(_run_job, jobs, chunksize=4))
    outcomes: dict[tuple[str, User], Outcome] = {}
    for job, figures in zip(jobs, all_figures, strict=True):
        key = (job.scenario, job.user)
        outcome = outcomes.setdefault(key, Outcome(*key, {}))
        _collect(outcome, figures)
    return list(outcomes.values())


def evaluate_goals(outcomes: Sequence[Outcome]) -> list[GoalResult]:
    """Compare the product's figures with every goal of the scenarios.

    A goal whose figure has no value, or only NaNs, is not met.
    """
    results = []
    for outcome in outcomes:
        for goal in find_scenarios(outcome.scenario)[0].goals:
            values = outcome.values["product"].get(goal.figure, [])
            measured = _aggregate(goal, values)
            met = _is_met(goal, measured)
            results.append(
                GoalResult(outcome.scenario, outcome.user, goal, measured, met)
            )
    return results


def _run_job(job: _Job) -> Figures:
    scenario = next(s for s in SCENARIOS if s.name == job.scenario)
    return scenario.measure(job.user, job.seed)


def _collect(outcome: Outcome, figures: Figures) -> None:
    for policy, row in figures.items():
        known = outcome.values.setdefault(policy, {})
        for figure, value in row.items():
            known.setdefault(figure, []).append(value)


def _aggregate(goal: Goal, values: list[float]) -> float:
    if goal.over == "sum":
        return sum(values)
    found = spread(values)
    if goal.over == "median":
        return found.median
    return found.most if goal.kind == "at most" else found.least


def _is_met(goal: Goal, measured: float) -> bool:
    if isnan(measured):
        return False
    if goal.kind == "at most":
        return measured <= goal.bound
    return measured >= goal.bound


__all__ = ["GoalResult", "evaluate_goals", "Outcome", "run_scenarios"]
