from __future__ import annotations

import json
from pathlib import Path

import pytest

from sycamorestand_bench.decisions.clock import VirtualClock
from sycamorestand_bench.decisions.decision_cost import decision_cost
from sycamorestand_bench.decisions.figures import spread
from sycamorestand_bench.decisions.queue_model import Listener
from sycamorestand_bench.decisions.queue_model import ModelServer
from sycamorestand_bench.decisions.queue_model import Work
from sycamorestand_bench.decisions.scenario_table import SCENARIOS
from sycamorestand_bench.scenarios.decisions import main


class TestMain:
    def test_last_line_is_json_with_every_goal(
        self, capsys: pytest.CaptureFixture[str], tmp_path: Path
    ) -> None:
        arguments = ["--scenario", "cascade-late-ratings", "--seed", "3"]
        status = main([*arguments, "--report", str(tmp_path)])
        last = json.loads(capsys.readouterr().out.splitlines()[-1])
        assert status == 0
        assert last["met"] is True
        assert {goal["user"] for goal in last["goals"]} == {
            "guild",
            "authority",
        }
        assert (tmp_path / "report.md").exists()
        assert (tmp_path / "cascade-late-ratings.png").exists()

    def test_unknown_scenario_gives_status_two(self) -> None:
        assert main(["--scenario", "nothing"]) == 2


class TestScenarios:
    def test_names_are_unique(self) -> None:
        names = [scenario.name for scenario in SCENARIOS]
        assert len(names) == len(set(names))

    def test_decision_cost_includes_the_slopes(self) -> None:
        row = decision_cost("guild", 1)["product"]
        assert row["cpu_us"] > 0
        assert "per_candidate_us" in row


class TestModelServer:
    def test_full_batch_is_slower_and_excess_requests_wait(self) -> None:
        ends: dict[int, float] = {}
        clock = VirtualClock()
        server = ModelServer(clock, "s", capacity=2)
        for number in range(3):
            self._submit(server, clock, number, ends)
        assert (server.running, server.queued) == (2, 1)
        clock.run(60.0)
        assert ends[0] == pytest.approx(1.15, rel=0.02)
        assert ends[2] == pytest.approx(2.15, rel=0.02)

    def test_going_down_fails_running_requests(self) -> None:
        ends: dict[int, float] = {}
        clock = VirtualClock()
        server = ModelServer(clock, "s", capacity=2)
        self._submit(server, clock, 1, ends)
        server.go_down()
        assert ends == {1: -1.0}

    def _submit(
        self,
        server: ModelServer,
        clock: VirtualClock,
        number: int,
        ends: dict[int, float],
    ) -> None:
        def finished(succeeded: bool) -> None:
            ends[number] = clock.now_s if succeeded else -1.0

        listener = Listener(lambda: None, finished)
        server.submit(Work(number, 0, 100), listener)


class TestSpread:
    def test_spread_ignores_nan(self) -> None:
        found = spread([3.0, 1.0, float("nan"), 2.0])
        assert found == (2.0, 1.0, 3.0)
