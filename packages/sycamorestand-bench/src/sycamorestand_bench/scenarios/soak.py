"""``dev/bench soak``: check guarantees of real processes under faults."""

from __future__ import annotations

from collections.abc import Callable
import json
import os
from pathlib import Path
import tempfile
import time
import traceback
from typing import Final

import defopt

from sycamorestand_bench.soak.mutants import sitecustomize as mutants
from sycamorestand_bench.soak.mutants.sitecustomize import MUTANT_VARIABLE
from sycamorestand_bench.soak.run import Outcome
from sycamorestand_bench.soak.run import play
from sycamorestand_bench.soak.run import targets
from sycamorestand_bench.soak.schedule import decode
from sycamorestand_bench.soak.schedule import draw
from sycamorestand_bench.soak.schedule import encode
from sycamorestand_bench.soak.schedule import Schedule

EXAMPLES: Final = Path("examples")


def main(arguments: list[str]) -> int:
    """Run soaks; return 0 if none has findings, otherwise 1."""
    result: int = defopt.run(soak, argv=arguments)
    return result


def soak(
    *,
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 20.0,
    replay: str = "",
    logs: str = "",
    mutant: str = "",
) -> int:
    """Inject faults into a system on loopback and check every guarantee.

    :param seed: the first seed; a seed determines the faults
    :param seeds: number of consecutive seeds to run
    :param seconds: period of each run in which new faults begin
    :param replay: file with a schedule to run instead of seeds
    :param logs: parent of the soaks' log folders; temporary by default
    :param mutant: safeguard to disable; the soak should report findings
    """
    failed = 0
    if mutant:
        os.environ[MUTANT_VARIABLE] = mutant
        os.environ["PYTHONPATH"] = str(Path(mutants.__file__).parent)
    if replay:
        schedules = [decode(Path(replay).read_bytes())]
    else:
        numbers = range(seed, seed + seeds)
        schedules = [draw(n, seconds, targets()) for n in numbers]
    for schedule in schedules:
        failed += run_schedule(
            schedule,
            Path(logs) if logs else None,
            lambda folder, steps: play(folder, EXAMPLES, steps),
        )
    return 1 if failed else 0


def make_folder(logs: Path | None) -> Path:
    """Return a new folder for one soak's logs, below ``logs`` if given."""
    if logs is not None:
        logs.mkdir(parents=True, exist_ok=True)
    return Path(tempfile.mkdtemp(prefix="soak-", dir=logs))


def run_schedule(
    schedule: Schedule,
    logs: Path | None,
    play_schedule: Callable[[Path, Schedule], Outcome],
) -> bool:
    """Run a schedule, print its result, and return whether it failed."""
    folder = make_folder(logs)
    (folder / "schedule").write_bytes(encode(schedule))
    begin_s = time.monotonic()
    try:
        outcome = play_schedule(folder, schedule)
    except Exception:
        # The remaining seeds still run.
        traceback.print_exc()
        print(f"FAILED seed {schedule.seed}, logs: {folder}", flush=True)
        return True
    if outcome.findings:
        print(encode(schedule).decode())
        for event in outcome.events:
            at_s = event.at_s - begin_s
            print(f"{at_s:7.2f} {event.what} {event.target}")
        print(f"logs: {folder}")
    for finding in outcome.findings:
        print(f"BROKEN {finding.promise}: {finding.what}")
    row = {
        "seed": schedule.seed,
        "findings": len(outcome.findings),
        "took_s": round(time.monotonic() - begin_s, 1),
        **outcome.figures,
    }
    print(json.dumps(row), flush=True)
    return bool(outcome.findings)


__all__ = ["main", "make_folder", "run_schedule"]
