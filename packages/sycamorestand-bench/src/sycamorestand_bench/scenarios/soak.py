"""``dev/bench soak``: random faults on real processes, promises checked."""

from __future__ import annotations

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
from sycamorestand_bench.soak.run import play
from sycamorestand_bench.soak.run import targets
from sycamorestand_bench.soak.schedule import decode
from sycamorestand_bench.soak.schedule import draw
from sycamorestand_bench.soak.schedule import encode
from sycamorestand_bench.soak.schedule import Schedule

EXAMPLES: Final = Path("examples")


def main(arguments: list[str]) -> int:
    """Run soaks; 0 only if no promise was broken."""
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
    """Start a system on loopback, harm it, and check every promise.

    :param seed: the first seed; the faults follow from it
    :param seeds: how many seeds to play, one after the other
    :param seconds: how long faults begin in each
    :param replay: a file with a schedule to play in place of seeds
    :param logs: where folders of soaks with findings are left
    :param mutant: a safeguard to take out; findings have to come
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
        failed += _play_one(schedule, Path(logs) if logs else None)
    return 1 if failed else 0


def make_folder(logs: Path | None) -> Path:
    """Return a new folder for one soak's logs, below ``logs`` if given."""
    if logs is not None:
        logs.mkdir(parents=True, exist_ok=True)
    return Path(tempfile.mkdtemp(prefix="soak-", dir=logs))


def _play_one(schedule: Schedule, logs: Path | None) -> bool:
    """Play a schedule, print what came of it, and tell whether it failed."""
    folder = make_folder(logs)
    (folder / "schedule").write_bytes(encode(schedule))
    begin_s = time.monotonic()
    try:
        outcome = play(folder, EXAMPLES, schedule)
    except Exception:
        # The next seeds are played all the same.
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


__all__ = ["main", "make_folder"]
