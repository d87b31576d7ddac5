"""``dev/bench explore``: run the consensus core under random faults.

Prints the results, and as the last line the same as JSON. Each fault is
printed with the seed and the step that reproduce it.
"""

from __future__ import annotations

import contextlib
import json
import time
from typing import NamedTuple

import defopt

from sycamorestand_bench.explore.mutants import MUTANTS
from sycamorestand_bench.explore.mutants import without_safeguard
from sycamorestand_bench.explore.run import Fault
from sycamorestand_bench.explore.run import run_seed
from sycamorestand_bench.explore.run import STEPS_A_RUN


class Summary(NamedTuple):
    """Totals of an exploration, and the faults found."""

    seed: int
    runs: int
    steps: int
    committed: int
    elections: int
    without: str
    faults: tuple[Fault, ...]


def explore(
    *, seed: int = 1, steps: int = 150_000, without: str = ""
) -> Summary:
    """Run consecutive seeds, starting with ``seed``, for ``steps`` in all.

    :param seed: seed of the first run
    :param steps: number of steps over all runs
    :param without: safeguard to disable; the exploration should find faults
    """
    if without and without not in MUTANTS:
        raise ValueError(
            f"unknown safeguard {without}; known: {sorted(MUTANTS)}"
        )
    summary = Summary(seed, 0, 0, 0, 0, without, ())
    guard = without_safeguard(without) if without else contextlib.nullcontext()
    with guard:
        while summary.steps < steps:
            remaining = min(STEPS_A_RUN, steps - summary.steps)
            result = run_seed(seed + summary.runs, remaining)
            new_faults = (result.fault,) if result.fault else ()
            summary = summary._replace(
                runs=summary.runs + 1,
                steps=summary.steps + max(1, result.steps),
                committed=summary.committed + result.committed,
                elections=summary.elections + result.elections,
                faults=summary.faults + new_faults,
            )
    return summary


def main(arguments: list[str]) -> int:
    """Explore and print the results; return 1 if a fault was found."""
    started_s = time.monotonic()
    summary = defopt.run(explore, argv=arguments)
    elapsed_s = time.monotonic() - started_s
    print(f"{summary.steps} steps in {summary.runs} runs, {elapsed_s:.1f} s")
    print(f"{summary.committed} entries, {summary.elections} elections")
    print(f"{len(summary.faults)} faults found")
    for fault in summary.faults:
        print(f"seed {fault.seed}, step {fault.step}: {fault.reason}")
    faults = [fault._asdict() for fault in summary.faults]
    print(json.dumps(summary._asdict() | {"faults": faults}))
    return 1 if summary.faults else 0


__all__ = ["Summary", "explore", "main"]
