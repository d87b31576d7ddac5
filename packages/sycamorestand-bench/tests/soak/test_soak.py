"""Plays a short fixed schedule and the regression schedules."""

from __future__ import annotations

from pathlib import Path

import pytest

from sycamorestand_bench.scenarios.soak import make_folder
from sycamorestand_bench.soak.run import play
from sycamorestand_bench.soak.schedule import decode
from sycamorestand_bench.soak.schedule import Schedule
from sycamorestand_bench.soak.schedule import Step

ROOT = Path(__file__).parents[4]
EXAMPLES = ROOT / "examples"
CASES = sorted((Path(__file__).parent / "cases").glob("*.schedule"))
# One fault of each kind whose effect does not depend on chance, so that the
# test takes seconds. Schedules of random seeds are played by the command.
SHORT = Schedule(
    0,
    6.0,
    (
        Step(0.5, "kill", "entry-2", 0.2),
        Step(1.0, "freeze", "control-1", 1.5),
        Step(1.5, "silence", "entry-1>control-2", 0.0),
        Step(2.0, "one_way", "control-3>entry-3", 2.5),
        Step(3.0, "torn_tail", "control-2", 0.2),
        Step(0.2, "ending_prompt", "engines", 0.5),
        Step(2.5, "servers_cut", "entry-1", 2.0),
        Step(4.0, "stop", "entry-3", 0.2),
        Step(4.5, "servers_refused", "entry-1", 1.0),
        Step(4.5, "servers_hung", "entry-2", 1.0),
    ),
)


class TestSoak:
    def test_promises_hold_in_a_short_run(self, tmp_path: Path) -> None:
        """No promise is broken by overlapping faults under load.

        An entry is killed, a voter freezes, another voter's log ends in a
        torn frame, links go silent or one-way, entries are cut off from all
        backend servers in three ways, another one stops as planned, and
        requests with one prompt end the engines that begin them.
        """
        outcome = play(tmp_path, EXAMPLES, SHORT)
        assert outcome.findings == []
        assert outcome.figures["answered"] > 0

    @pytest.mark.parametrize("case", CASES, ids=lambda path: path.stem)
    def test_promises_hold_for_regression_schedule(
        self, tmp_path: Path, case: Path
    ) -> None:
        """Each file begins with a comment on the failure and its cause."""
        outcome = play(tmp_path, EXAMPLES, decode(case.read_bytes()))
        assert outcome.findings == []


class TestLogs:
    def test_missing_log_folder_is_created(self, tmp_path: Path) -> None:
        """Guard against a command that fails because the folder is missing."""
        folder = make_folder(tmp_path / "new" / "logs")
        assert folder.is_dir()
        assert folder.parent == tmp_path / "new" / "logs"
