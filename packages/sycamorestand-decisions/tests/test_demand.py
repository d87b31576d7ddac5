from __future__ import annotations

import pytest

from sycamorestand_decisions.demand import AverageDemand
from sycamorestand_decisions.demand import estimate_running
from sycamorestand_decisions.demand import FRESH_S
from sycamorestand_decisions.demand import make_demand
from sycamorestand_decisions.demand import RecentRequests
from sycamorestand_decisions.demand import ServerReport
from sycamorestand_decisions.demand import versions_in_use
from sycamorestand_decisions.placement import wanted_replicas
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import Model
from sycamorestand_model.declarations import Version
from sycamorestand_model.in_force import InForce
from sycamorestand_model.in_force import RolloutShare


def report(
    name: str, *versions: str, busy: int = 0, age_s: float | None = 1.0
) -> ServerReport:
    return ServerReport(name, versions, 16, busy, age_s)


def in_force(**fields: object) -> InForce:
    versions = {name: Version("m", name, 1, 1) for name in "1234"}
    model = Model("m", "1", versions, pinned_servers=2, fallback="3")
    declared = Declarations(models={"m": model})
    return InForce(declarations=declared)._replace(**fields)


class TestEstimateRunning:
    def test_splits_by_recent_shares(self) -> None:
        reports = [report("a", "x@1", "y@1", busy=8), report("b", "x@1")]
        running = estimate_running(reports, {"x@1": 0.3, "y@1": 0.1})
        assert running == pytest.approx({"x@1": 6.0, "y@1": 2.0})

    def test_without_counts_versions_count_alike(self) -> None:
        reports = [report("a", "x@1", "y@1", busy=8)]
        assert estimate_running(reports, {}) == {"x@1": 4.0, "y@1": 4.0}

    @pytest.mark.parametrize("age_s", [None, FRESH_S + 1.0])
    def test_a_silent_server_is_not_idle(self, age_s: float | None) -> None:
        """One of three busy servers stops reporting its load.

        If it counted as idle, demand would fall by a third and its version
        would lose a replica while the server still answers.
        """
        reports = [report(name, "x@1", busy=12) for name in "ab"]
        reports.append(report("c", "x@1", busy=0, age_s=age_s))
        assert estimate_running(reports, {})["x@1"] == pytest.approx(36.0)

    def test_no_report_at_all(self) -> None:
        running = estimate_running([report("a", "x@1", age_s=None)], {})
        assert running == {"x@1": 0.0}
        assert estimate_running([report("a")], {}) == {}


class TestAverageDemand:
    def test_a_short_burst_adds_no_replica(self) -> None:
        """Five times the demand arrives for ten seconds.

        A load takes minutes, so a replica for the burst would be ready long
        after its end. A lasting rise must be followed.
        """
        average = AverageDemand()
        average.add({"x@1": 9.0}, 0.0)
        for second in range(1, 11):
            average.add({"x@1": 45.0}, float(second))
        assert _wanted(average) == 1
        for second in range(11, 300):
            average.add({"x@1": 45.0}, float(second))
        assert _wanted(average) == 4

    def test_a_version_whose_work_ended_has_no_demand(self) -> None:
        average = AverageDemand()
        average.add({"x@1": 9.0}, 0.0)
        average.add({"x@1": 0.0}, 2000.0)
        assert average.means() == {}

    def test_a_clock_that_is_set_back_changes_no_mean(self) -> None:
        average = AverageDemand()
        average.add({"x@1": 9.0}, 100.0)
        average.add({"x@1": 90.0}, 50.0)
        assert average.means() == {"x@1": 9.0}


class TestRecentRequests:
    def test_shares_follow_a_shift_and_decay(self) -> None:
        recent = RecentRequests()
        recent.add("x@1", 1000, 0.0)
        recent.add("y@1", 1000, 1000.0)
        assert recent.shares(1000.0)["y@1"] > 0.9
        assert "x@1" not in recent.shares(4000.0)
        assert RecentRequests().shares(0.0) == {}


class TestVersionsInUse:
    def test_stable_running_rollout_and_fallback_are_pinned(self) -> None:
        shares = {"m": RolloutShare("2", 0.1, 1, "running")}
        used = versions_in_use(in_force(shares=shares))
        assert used == {"m@1": 2, "m@2": 2, "m@3": 2}

    def test_the_version_of_a_stopped_rollout_is_not_in_use(self) -> None:
        shares = {"m": RolloutShare("2", 0.1, 1, "stopped")}
        assert "m@2" not in versions_in_use(in_force(shares=shares))

    @pytest.mark.parametrize("field", ["withdrawn", "quarantined"])
    def test_withdrawn_and_quarantined_versions_are_not_in_use(
        self, field: str
    ) -> None:
        used = versions_in_use(in_force(**{field: ("m@1",)}))
        assert used == {"m@3": 2}

    def test_a_version_without_servers_gets_the_mean_capacity(self) -> None:
        demand = make_demand({}, {"m@1": 2}, [report("a", "x@1")])
        assert demand["m@1"].replica_capacity == 16
        assert wanted_replicas(demand["m@1"], 0) == 2


def _wanted(average: AverageDemand) -> int:
    demand = make_demand(average.means(), {}, [report("a", "x@1")])
    return wanted_replicas(demand["x@1"], 1)
