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
    created = Cluster()
    created.declare(declare())
    return created


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
    def test_an_invalid_step_is_refused(
        self, cluster: Cluster, from_step: int, to_step: int
    ) -> None:
        started = cluster.start()
        result = step(cluster, started, from_step, to_step)
        assert result.outcome == "refused"

    def test_a_late_step_of_an_earlier_run_is_refused(
        self, cluster: Cluster
    ) -> None:
        """Guards against a step that is based on an earlier run's evidence.

        A leader proposes step 0 -> 1 and is deposed. The roll-out is
        stopped and started again, and is at step 0 when the late step
        arrives. Only the started revision distinguishes the two runs.
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
    def test_stop_keeps_the_reason_and_ends_new_work(
        self, cluster: Cluster
    ) -> None:
        started = cluster.start()
        assert stop(cluster, started).outcome == "applied"
        assert stop(cluster, started).outcome == "unchanged"
        rollout = cluster.machine.rollout("nest")
        assert rollout is not None
        assert (rollout.share, rollout.reason) == (0.0, "more errors")
        assert rollout.evidence == "9 of 100"

    def test_a_late_stop_of_an_earlier_run_is_refused(
        self, cluster: Cluster
    ) -> None:
        started = cluster.start()
        stop(cluster, started)
        cluster.start()
        assert stop(cluster, started).outcome == "refused"

    def test_quarantine_stops_a_rollout(self, cluster: Cluster) -> None:
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

    def test_a_completed_rollout_is_kept_until_it_is_stable(
        self, completed: Cluster
    ) -> None:
        completed.declare(declare(rollouts={}))
        assert completed.machine.in_force().shares["nest"].share == 1.0
        completed.declare(declare("2", rollouts={}))
        assert completed.machine.in_force().shares == {}

    def test_the_next_rollout_is_refused_until_the_last_is_stable(
        self, completed: Cluster
    ) -> None:
        """Guards against new work that silently returns to version 1.

        Version 2 is rolled out completely, and the declarations still name
        1 as stable. Declaring a roll-out of 3 would end that of 2.
        """
        following = {"nest": Rollout("nest", "3")}
        result = completed.declare(declare(rollouts=following))
        assert result.outcome == "refused"
        assert "make it stable first" in result.message
        accepted = completed.declare(declare("2", rollouts=following))
        assert accepted.outcome == "applied"


class TestChangedDeclarations:
    def test_fewer_shares_limit_the_step(self, cluster: Cluster) -> None:
        started = cluster.start()
        step(cluster, started, 0, 1)
        shorter = {"nest": Rollout("nest", "2", (0.2,))}
        cluster.declare(declare(rollouts=shorter))
        share = cluster.machine.in_force().shares["nest"]
        assert (share.step, share.share) == (0, 0.2)

    def test_removing_the_declaration_ends_the_rollout(
        self, cluster: Cluster
    ) -> None:
        cluster.start()
        cluster.declare(declare(rollouts={}))
        assert cluster.machine.in_force().shares == {}
