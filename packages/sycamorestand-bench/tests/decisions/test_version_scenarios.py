from __future__ import annotations

import pytest

from sycamorestand_bench.decisions.placement_model import placement
from sycamorestand_bench.decisions.rollout_model import Fault
from sycamorestand_bench.decisions.version_scenarios import cascade
from sycamorestand_bench.decisions.version_scenarios import rollout
from sycamorestand_bench.decisions.version_scenarios import rollout_healthy
from sycamorestand_bench.decisions.version_scenarios import rollout_interrupted
from sycamorestand_bench.decisions.version_scenarios import rollout_rating
from sycamorestand_bench.decisions.version_scenarios import turns_bad
from sycamorestand_bench.decisions.workload import User

BOTH = pytest.mark.parametrize("user", ["guild", "authority"])
SEED = 3


class TestCascade:
    @BOTH
    @pytest.mark.parametrize("case", ["cascade", "cascade-drift"])
    def test_near_the_oracle_and_at_the_target(
        self, case: str, user: User
    ) -> None:
        """Classes differ in what the cheap version can answer.

        Callers get the quality target at a cost near that of somebody who
        knows every pass rate. Always cheap first misses the target.
        """
        figures = cascade(case, user, SEED)
        assert figures["product"]["over_oracle"] <= 1.2
        assert figures["product"]["under_strong"] >= 0.3
        assert figures["product"]["over_target"] >= 0.0
        assert figures["product"]["worst_class"] >= 0.85
        assert figures["cheap-first"]["over_target"] < 0.0

    def test_late_ratings_keep_the_target(self) -> None:
        """No rating comes while a caller waits, and 30 % come later.

        Learning takes longer and costs more, but the quality holds.
        """
        figures = cascade("cascade-late-ratings", "guild", SEED)
        assert figures["product"]["over_target"] >= 0.0
        assert figures["product"]["under_strong"] >= 0.2


class TestRollout:
    @BOTH
    @pytest.mark.parametrize("fault", ["wrong", "errors", "slow"])
    def test_a_bad_version_is_stopped_early(
        self, fault: Fault, user: User
    ) -> None:
        """The new version gives wrong answers, fails, or is slow.

        Fewer than one in a hundred of a day's requests see it; by time
        alone it would be rolled out to everybody within the hour.
        """
        figures = rollout(fault, user, SEED)
        assert figures["product"]["stopped"] == 1.0
        assert figures["product"]["exposed_share"] <= 0.01
        assert figures["fixed-time"]["completed"] == 1.0

    def test_bad_for_one_class(self) -> None:
        figures = rollout("one-class", "guild", SEED)
        assert figures["product"]["stopped"] == 1.0

    def test_an_interruption_changes_nothing_but_time(self) -> None:
        """The leader changes in the middle of each step.

        The next one begins with the committed step and no counts: a good
        version is completed, a bad one stopped.
        """
        figures = rollout_interrupted("guild", SEED)
        assert figures["product"]["healthy_completed"] == 1.0
        assert figures["product"]["stopped"] == 1.0
        assert figures["product"]["exposed_share"] <= 0.01

    @pytest.mark.parametrize("fault", ["rating-down", "rating-biased"])
    def test_a_faulty_rating_service_stops_nothing(self, fault: Fault) -> None:
        figures = rollout_rating(fault, "authority", SEED)
        assert figures["product"]["stopped"] == 0.0

    def test_healthy_versions_are_completed(self) -> None:
        figures = rollout_healthy("guild", SEED)
        assert figures["product"]["false_stops"] == 0.0
        assert figures["product"]["completed"] == 1.0


class TestTurnsBad:
    @BOTH
    @pytest.mark.parametrize("fault", ["wrong", "errors"])
    def test_is_found_long_after_the_roll_out(
        self, fault: Fault, user: User
    ) -> None:
        """A version has served well for hours, then it turns bad.

        There is no old version to compare with; its own past and the
        other versions show it before 1 % of a day's requests.
        """
        figures = turns_bad(fault, user, SEED)
        assert figures["product"]["stopped"] == 1.0
        assert figures["product"]["exposed_share"] <= 0.01

    @pytest.mark.parametrize(
        "fault", ["rating-down", "rating-biased", "healthy"]
    )
    def test_nothing_is_withdrawn_for_other_causes(self, fault: Fault) -> None:
        figures = turns_bad(fault, "guild", SEED)
        assert figures["product"]["stopped"] == 0.0


class TestPlacement:
    @BOTH
    def test_follows_demand_with_few_loads(self, user: User) -> None:
        """Demand of three versions swings over a day.

        Static placement leaves an eighth of it unmet; following every
        minute loads nearly twice as often as with hysteresis.
        """
        figures = placement(user, SEED)
        product = figures["product"]
        assert product["unmet"] <= 0.5 * figures["static"]["unmet"]
        assert product["loads"] < figures["greedy"]["loads"]
