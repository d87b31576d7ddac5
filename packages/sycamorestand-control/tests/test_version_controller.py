"""Tests of the version controller with a configuration that applies."""

from __future__ import annotations

import time
from typing import Any

import msgspec
import pytest

from sycamorestand_control.version_controller import _quarantine
from sycamorestand_control.version_controller import _step_elapsed_s
from sycamorestand_control.version_controller import VersionController
from sycamorestand_decisions.stats_rows import to_rows
from sycamorestand_decisions.verdicts import Stop
from sycamorestand_decisions.version_stats import add_sample
from sycamorestand_decisions.version_stats import empty_stats
from sycamorestand_model.declarations import CascadeStep
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import Model
from sycamorestand_model.declarations import Operator
from sycamorestand_model.declarations import Profile
from sycamorestand_model.declarations import Rollout
from sycamorestand_model.declarations import Version
from sycamorestand_peer.messages import SampleReport
from sycamorestand_state.commands import ANY_REVISION
from sycamorestand_state.commands import ApplyDeclarations
from sycamorestand_state.commands import Command
from sycamorestand_state.commands import CreateCluster
from sycamorestand_state.commands import decode_command
from sycamorestand_state.commands import encode_command
from sycamorestand_state.commands import LiftQuarantine
from sycamorestand_state.commands import Quarantine
from sycamorestand_state.commands import StartRollout
from sycamorestand_state.configuration import ConfigurationMachine
from sycamorestand_state.rollouts import RUNNING
from sycamorestand_state.rollouts import STOPPED

pytestmark = pytest.mark.anyio
OLD, NEW = "nest@1", "nest@2"
SHARES = (0.1, 0.5, 1.0)
HELP = Profile("help", (CascadeStep("nest"),), 0.9)


class FakeGroups:
    """The log of a single voter, which applies each proposal at once."""

    def __init__(self, machine: ConfigurationMachine) -> None:
        self.machine = machine
        self.commands: list[Command] = []

    def is_leader(self, group: int) -> bool:
        return True

    async def propose(
        self, group: int, command: bytes, timeout_s: float
    ) -> Any:
        self.commands.append(decode_command(command))
        return self.machine.apply(len(self.commands) + 10, command)


class Harness:
    """A running roll-out and the version controller of the leader."""

    def __init__(self, *profiles: Profile) -> None:
        self.machine = ConfigurationMachine()
        versions = {n: Version("nest", n, 1, 1) for n in ("1", "2")}
        declarations = Declarations(
            models={"nest": Model("nest", "1", versions)},
            profiles={profile.name: profile for profile in profiles},
            rollouts={"nest": Rollout("nest", "2", SHARES, 50, 0.0)},
            operators={"ann": Operator("ann", ("b2$00$00",), "admin")},
        )
        for index, command in enumerate(
            (
                CreateCluster("c", "ann", 1.0, "id", b"k" * 32, 1, "h"),
                ApplyDeclarations("a", "ann", 1, declarations, "", 2.0),
                StartRollout("s", "ann", 2, "nest", "", 3.0),
            )
        ):
            result = self.machine.apply(index + 1, encode_command(command))
            assert result.outcome == "applied", result.message
        self.sequence = 0
        self.change_leader()

    def change_leader(self) -> None:
        """Replace the leader by one that has received no reports."""
        self.groups = FakeGroups(self.machine)
        self.controller = VersionController(
            self.groups,  # type: ignore[arg-type]
            self.machine,
        )
        self.controller._sync_rollouts()

    def declare_shares(self, shares: tuple[float, ...]) -> None:
        """Declare the roll-out again, with other shares."""
        in_force = self.machine.in_force()
        rollouts = {"nest": Rollout("nest", "2", shares, 50, 0.0)}
        command = ApplyDeclarations(
            f"declare-{in_force.revision}",
            "ann",
            in_force.revision,
            in_force.declarations._replace(rollouts=rollouts),
            "",
            4.0,
        )
        index = 100 + in_force.revision
        result = self.machine.apply(index, encode_command(command))
        assert result.outcome == "applied", result.message

    def report(self, version: str, requests: int, errors: int = 0) -> None:
        stats = empty_stats()
        for number in range(requests):
            failed = number < errors
            passed = None if failed else True
            add_sample(stats, "c", time.time(), failed, 100.0, passed)
        self.sequence += 1
        rows = msgspec.msgpack.encode(to_rows({version: stats}))
        self.send(SampleReport("vm-1", 1, self.sequence, rows))

    def send(self, report: SampleReport) -> None:
        self.last_report = report
        self.controller.handle_report(report)

    async def check(self) -> None:
        await self.controller.check(time.time())

    def rollout(self) -> Any:
        return self.machine.rollout("nest")


class TestRollout:
    async def test_a_healthy_version_advances_step_by_step(self) -> None:
        harness = Harness(HELP)
        for step in (1, 2):
            harness.report(OLD, 300)
            harness.report(NEW, 300)
            await harness.check()
            assert harness.rollout().step == step
        assert harness.rollout().state == "completed"

    async def test_an_advance_logs_the_compared_signals(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Without the log line, nobody can tell why a bad version advanced."""
        harness = Harness(HELP)
        harness.report(OLD, 300)
        harness.report(NEW, 300)
        with caplog.at_level("INFO"):
            await harness.check()
        lines = [r for r in caplog.records if r.message == "version compared"]
        assert [vars(line)["verdict"] for line in lines] == ["Advance"]
        assert any("errors: 0 of 300" in t for t in vars(lines[0])["signals"])

    async def test_a_model_without_a_profile_is_rolled_out(self) -> None:
        """Only routes use the model, so no profile gives its weights.

        The first check then raised in the leader, and in each leader after
        it for as long as the roll-out ran.
        """
        harness = Harness()
        harness.report(OLD, 300)
        harness.report(NEW, 300)
        await harness.check()
        assert harness.rollout().step == 1

    async def test_a_version_with_errors_is_stopped_with_evidence(
        self,
    ) -> None:
        """The new version fails a third of its requests at its first share."""
        harness = Harness(HELP)
        harness.report(OLD, 600)
        harness.report(NEW, 300, errors=100)
        await harness.check()
        assert harness.rollout().state == STOPPED
        assert harness.rollout().share == 0.0
        assert "error" in harness.rollout().reason
        assert harness.rollout().evidence

    async def test_a_new_leader_continues_at_the_committed_step(self) -> None:
        """The leader is lost during a roll-out.

        The next leader has none of its counts. It keeps the committed step
        until it has enough samples itself, then advances by one step.
        """
        harness = Harness(HELP)
        harness.report(OLD, 300)
        harness.report(NEW, 300)
        await harness.check()
        harness.change_leader()
        await harness.check()
        assert harness.rollout().step == 1
        assert harness.rollout().state == RUNNING
        harness.report(OLD, 300)
        harness.report(NEW, 300)
        await harness.check()
        assert harness.rollout().step == 2

    async def test_a_step_is_taken_again_after_its_shares_changed(
        self,
    ) -> None:
        """The second step got the outcome of the first: it stood still."""
        harness = Harness(HELP)
        harness.report(OLD, 300)
        harness.report(NEW, 300)
        await harness.check()
        assert harness.rollout().step == 1
        harness.declare_shares(SHARES[:1])
        harness.declare_shares(SHARES)
        await harness.check()
        assert harness.rollout().step == 0
        harness.report(OLD, 300)
        harness.report(NEW, 300)
        await harness.check()
        assert harness.rollout().step == 1

    async def test_a_duplicate_report_counts_once(self) -> None:
        harness = Harness(HELP)
        harness.report(OLD, 30)
        harness.report(NEW, 30)
        harness.send(harness.last_report)
        await harness.check()
        assert harness.rollout().step == 0


class TestTimeLimit:
    async def test_a_new_leader_times_a_step_from_its_commit(self) -> None:
        """The leader is lost during a roll-out with a time limit.

        Timed from the leader change, a step lasted up to twice its limit,
        and the roll-out of a good version completed too late.
        """
        harness = Harness(HELP)
        declared = harness.machine.in_force().declarations.rollouts["nest"]
        limited = declared._replace(
            steps_s=(8.0, 2.0, 0.0), patience_s=1.0, min_samples=12
        )
        state = harness.rollout()._replace(stepped_s=time.time() - 6.0)
        assert 5.5 < _step_elapsed_s(limited, state) < 7.0
        # The previous leader's clock may differ by seconds.
        later = state._replace(stepped_s=time.time() + 60.0)
        assert _step_elapsed_s(limited, later) == 0.0
        earlier = state._replace(stepped_s=time.time() - 60.0)
        assert _step_elapsed_s(limited, earlier) == 8.0

    async def test_without_a_limit_the_step_time_restarts(self) -> None:
        harness = Harness(HELP)
        declared = harness.machine.in_force().declarations.rollouts["nest"]
        assert _step_elapsed_s(declared, harness.rollout()) == 0.0


class TestQuarantine:
    async def test_lifting_a_quarantine_drops_the_old_counts(self) -> None:
        """Operators fix a version and lift its quarantine.

        With the old counts it would be quarantined again at once, and
        operators could never bring it back.
        """
        harness = Harness(HELP)
        harness.report(OLD, 100, errors=50)
        bar = Quarantine("q", "ann", ANY_REVISION, OLD, "errors", 4.0)
        harness.machine.apply(50, encode_command(bar))
        await harness.check()
        assert OLD in harness.controller._watch._recent
        lift = LiftQuarantine("l", "ann", ANY_REVISION, OLD, "mended", 5.0)
        harness.machine.apply(51, encode_command(lift))
        await harness.check()
        assert OLD not in harness.controller._watch._recent

    async def test_a_second_quarantine_at_the_same_time_is_another_change(
        self,
    ) -> None:
        """A clock that was set back shows the time of the first one again."""
        verdict = Stop("errors", ())
        ids = {_quarantine(OLD, verdict, 9.0).change_id for _ in range(2)}
        assert len(ids) == 2

    async def test_the_only_runnable_version_is_not_quarantined(self) -> None:
        """No other version of the model may run, so operators decide."""
        harness = Harness(HELP)
        bar = Quarantine("q", "ann", ANY_REVISION, NEW, "errors", 4.0)
        harness.machine.apply(50, encode_command(bar))
        assert not harness.controller._can_quarantine(OLD)
