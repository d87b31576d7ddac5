"""``dev/bench decisions``: simulate the decisions on a virtual clock.

The product's decision code runs on simple models of servers, raters and
versions, and baselines run on the same requests.
"""

from __future__ import annotations

from pathlib import Path
from typing import Final

import defopt

from sycamorestand_bench.decisions.outcome import evaluate_goals
from sycamorestand_bench.decisions.outcome import run_scenarios
from sycamorestand_bench.decisions.report import goal_lines
from sycamorestand_bench.decisions.report import json_line
from sycamorestand_bench.decisions.report import table_lines
from sycamorestand_bench.decisions.report import write_report
from sycamorestand_bench.decisions.scenario_table import find_scenarios
from sycamorestand_bench.decisions.scenario_table import SCENARIOS

SEEDS: Final = 10


def main(arguments: list[str]) -> int:
    """Run the scenarios; return 0 if every goal is met, otherwise 1.

    The status is 2 if no scenario has the given name.
    """
    status: int = defopt.run(
        _bench, argv=arguments, cli_options="all", short={}
    )
    return status


def _bench(
    *,
    scenario: str | None = None,
    seed: int | None = None,
    report: Path | None = None,
) -> int:
    """Compare the decisions with their baselines and goals.

    :param scenario: name of one scenario, or the common start of several
    :param seed: the only seed to run; ten seeds by default
    :param report: folder for the report page and the plots
    """
    chosen = find_scenarios(scenario)
    if not chosen:
        print(f"no such scenario; known: {[s.name for s in SCENARIOS]}")
        return 2
    seeds = range(1, SEEDS + 1) if seed is None else [seed]
    outcomes = run_scenarios(chosen, seeds)
    results = evaluate_goals(outcomes)
    for line in table_lines(outcomes) + goal_lines(results):
        print(line)
    if report is not None:
        write_report(report, outcomes, results)
    print(json_line(results, seeds))
    return 0 if all(result.met for result in results) else 1


__all__ = ["main"]
