from __future__ import annotations

import pytest

from sycamorestand_model.declarations import Rollout
from sycamorestand_state.commands import ANY_REVISION
from sycamorestand_state.commands import Quarantine
from sycamorestand_state.commands import RolloutStep
from sycamorestand_state.commands import StopRollout
from sycamorestand_state.commands import SYSTEM
from sycamorestand_state.configuration import ConfigurationMachine
from sycamorestand_state.results import ChangeResult

from .configurations import Cluster
from .configurations import declare


@pytest.fixture
def cluster() -> Cluster:
    made = Cluster()
    made.declare(declare())
    return made


def step(
    cluster: Cluster, started: int, from_step: int, to_step: int
) -> ChangeResult:
    return cluster.run(
        RolloutStep(
            f"step-{next(cluster.ids)}",
            SYSTEM,
            ANY_REVISION,
            "nest",
            started,
            from_step,
            to_step,
            "210 samples, no harm",
            5.0,
        )
    )


def stop(cluster: Cluster, started: int) -> ChangeResult:
    return cluster.run(
        StopRollout(
            f"stop-{next(cluster.ids)}",
            SYSTEM,
            ANY_REVISION,
            "nest",
            started,
            "more errors",
            "9 of 100",
            6.0,
        )
    )


class TestRolloutSteps:
    def test_shares_follow_the_committed_step(self, cluster: Cluster) -> None:
        started = cluster.start()
        assert cluster.machine.in_force().shares["nest"].share == 0.1
        step(cluster, started, 0, 1)
        share = cluster.machine.in_force().shares["nest"]
        assert (share.share, share.step, share.state) == (0.5, 1, "running")
        step(cluster, started, 1, 2)
        share = cluster.machine.in_force().shares["nest"]
        assert (share.share, share.state) == (1.0, "completed")

    @pytest.mark.parametrize(
        ("from_step", "to_step"), [(1, 2), (0, 2), (0, 0), (0, -1)]
    )
    def test_a_step_that_does_not_fit_is_refused(
        self, cluster: Cluster, from_step: int, to_step: int
    ) -> None:
        started = cluster.start()
        result = step(cluster, started, from_step, to_step)
        assert result.outcome == "refused"

    def test_a_late_step_of_an_earlier_run_does_no_harm(
        self, cluster: Cluster
    ) -> None:
        """Callers would get more of a version on evidence that is void.

        A leader proposes step 0 -> 1 and is deposed. The roll-out is
        stopped and started anew, and is at step 0 again when the late
        step arrives: only the number of the run tells them apart.
        """
        started = cluster.start()
        stop(cluster, started)
        cluster.start()
        assert step(cluster, started, 0, 1).outcome == "refused"
        assert cluster.machine.in_force().shares["nest"].share == 0.1

    def test_a_new_leader_resumes_at_the_committed_step(
        self, cluster: Cluster
    ) -> None:
        started = cluster.start()
        step(cluster, started, 0, 1)
        restored = ConfigurationMachine()
        restored.restore(cluster.machine.snapshot())
        rollout = restored.rollout("nest")
        assert rollout is not None
        assert (rollout.step, rollout.started_revision) == (1, started)


class TestStoppedRollout:
    def test_stop_keeps_the_reason_and_gives_no_work(
        self, cluster: Cluster
    ) -> None:
        started = cluster.start()
        assert stop(cluster, started).outcome == "applied"
        assert stop(cluster, started).outcome == "unchanged"
        rollout = cluster.machine.rollout("nest")
        assert rollout is not None
        assert (rollout.share, rollout.reason) == (0.0, "more errors")
        assert rollout.evidence == "9 of 100"

    def test_late_evidence_does_not_stop_another_run(
        self, cluster: Cluster
    ) -> None:
        started = cluster.start()
        stop(cluster, started)
        cluster.start()
        assert stop(cluster, started).outcome == "refused"

    def test_quarantine_stops_it(self, cluster: Cluster) -> None:
        cluster.start()
        cluster.run(
            Quarantine("q", SYSTEM, ANY_REVISION, "nest@2", "errors", 6.0)
        )
        assert cluster.machine.in_force().shares["nest"].share == 0.0
        cluster.start()
        assert cluster.machine.in_force().shares["nest"].share == 0.0


class TestCompletedRollout:
    @pytest.fixture
    def completed(self, cluster: Cluster) -> Cluster:
        started = cluster.start()
        step(cluster, started, 0, 1)
        step(cluster, started, 1, 2)
        return cluster

    def test_it_holds_until_made_stable(self, completed: Cluster) -> None:
        completed.declare(declare(rollouts={}))
        assert completed.machine.in_force().shares["nest"].share == 1.0
        completed.declare(declare("2", rollouts={}))
        assert completed.machine.in_force().shares == {}

    def test_the_next_one_must_wait_for_that(self, completed: Cluster) -> None:
        """New work would fall back to version 1 without anybody's word.

        Version 2 is rolled out completely while the files still call 1
        stable. Declaring a roll-out of 3 would end the one of 2.
        """
        following = {"nest": Rollout("nest", "3")}
        result = completed.declare(declare(rollouts=following))
        assert result.outcome == "refused"
        assert "make it stable first" in result.message
        made = completed.declare(declare("2", rollouts=following))
        assert made.outcome == "applied"


class TestDeclaredAnew:
    def test_fewer_shares_keep_the_step_in_bounds(
        self, cluster: Cluster
    ) -> None:
        started = cluster.start()
        step(cluster, started, 0, 1)
        shorter = {"nest": Rollout("nest", "2", (0.2,))}
        cluster.declare(declare(rollouts=shorter))
        share = cluster.machine.in_force().shares["nest"]
        assert (share.step, share.share) == (0, 0.2)

    def test_no_longer_declared_ends_it(self, cluster: Cluster) -> None:
        cluster.start()
        cluster.declare(declare(rollouts={}))
        assert cluster.machine.in_force().shares == {}
