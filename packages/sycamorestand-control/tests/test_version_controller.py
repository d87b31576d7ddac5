"""The leader's watch over versions, with its commands really applied."""

from __future__ import annotations

import time
from typing import Any

import msgspec
import pytest

from sycamorestand_control.version_controller import _step_elapsed_s
from sycamorestand_control.version_controller import VersionController
from sycamorestand_decisions.stats_rows import to_rows
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
    """A log of one voter: what is proposed is applied at once."""

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


class Scene:
    """A running roll-out and the keeper of the voter that leads."""

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
        self.take_over()

    def take_over(self) -> None:
        """Have a new leader go on, which has seen no reports."""
        self.groups = FakeGroups(self.machine)
        self.keeper = VersionController(
            self.groups,  # type: ignore[arg-type]
            self.machine,
        )
        self.keeper._sync_rollouts()

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
        self.last = report
        self.keeper.handle_report(report)

    async def look(self) -> None:
        await self.keeper.check(time.time())

    def rollout(self) -> Any:
        return self.machine.rollout("nest")


class TestRollout:
    async def test_a_healthy_version_goes_on_step_by_step(self) -> None:
        scene = Scene(HELP)
        for step in (1, 2):
            scene.report(OLD, 300)
            scene.report(NEW, 300)
            await scene.look()
            assert scene.rollout().step == step
        assert scene.rollout().state == "completed"

    async def test_a_step_tells_what_it_was_made_on(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """A bad version was let on, and no line told what had been seen."""
        scene = Scene(HELP)
        scene.report(OLD, 300)
        scene.report(NEW, 300)
        with caplog.at_level("INFO"):
            await scene.look()
        lines = [r for r in caplog.records if r.message == "version compared"]
        assert [vars(line)["verdict"] for line in lines] == ["Advance"]
        assert any("errors: 0 of 300" in t for t in vars(lines[0])["signals"])

    async def test_a_model_that_no_profile_names_is_rolled_out(self) -> None:
        """Only routes lead to the model, so no profile gives weights.

        The leader ended with an exception at its first look, and the next
        leader after it, as long as the roll-out stood.
        """
        scene = Scene()
        scene.report(OLD, 300)
        scene.report(NEW, 300)
        await scene.look()
        assert scene.rollout().step == 1

    async def test_a_version_with_errors_is_stopped_with_evidence(
        self,
    ) -> None:
        """The new version fails every third request at its first share."""
        scene = Scene(HELP)
        scene.report(OLD, 600)
        scene.report(NEW, 300, errors=100)
        await scene.look()
        assert scene.rollout().state == STOPPED
        assert scene.rollout().share == 0.0
        assert "error" in scene.rollout().reason
        assert scene.rollout().evidence

    async def test_a_new_leader_goes_on_at_the_committed_step(self) -> None:
        """The leader is lost in the middle of a roll-out.

        The next one has none of its counts. It holds the step that is
        committed until it has seen enough by itself, then goes on by one.
        """
        scene = Scene(HELP)
        scene.report(OLD, 300)
        scene.report(NEW, 300)
        await scene.look()
        scene.take_over()
        await scene.look()
        assert scene.rollout().step == 1
        assert scene.rollout().state == RUNNING
        scene.report(OLD, 300)
        scene.report(NEW, 300)
        await scene.look()
        assert scene.rollout().step == 2

    async def test_a_doubled_report_counts_once(self) -> None:
        scene = Scene(HELP)
        scene.report(OLD, 30)
        scene.report(NEW, 30)
        scene.send(scene.last)
        await scene.look()
        assert scene.rollout().step == 0


class TestTimeLimit:
    async def test_a_new_leader_counts_a_step_from_its_commit(self) -> None:
        """The leader is lost in the middle of a roll-out with a limit.

        Counted from the change of leaders, the step lasted up to twice its
        time, and a good version was not completed when it was due.
        """
        scene = Scene(HELP)
        declared = scene.machine.in_force().declarations.rollouts["nest"]
        limited = declared._replace(
            steps_s=(8.0, 2.0, 0.0), patience_s=1.0, min_samples=12
        )
        state = scene.rollout()._replace(stepped_s=time.time() - 6.0)
        assert 5.5 < _step_elapsed_s(limited, state) < 7.0
        # Its predecessor's clock may be seconds apart from its own.
        later = state._replace(stepped_s=time.time() + 60.0)
        assert _step_elapsed_s(limited, later) == 0.0
        earlier = state._replace(stepped_s=time.time() - 60.0)
        assert _step_elapsed_s(limited, earlier) == 8.0

    async def test_without_a_limit_a_step_begins_anew(self) -> None:
        scene = Scene(HELP)
        declared = scene.machine.in_force().declarations.rollouts["nest"]
        assert _step_elapsed_s(declared, scene.rollout()) == 0.0


class TestQuarantine:
    async def test_a_lifted_version_starts_with_a_clean_record(self) -> None:
        """Operators mend a version and lift its quarantine.

        With the old counts it would be quarantined again at once, and
        operators could not get it back at all.
        """
        scene = Scene(HELP)
        scene.report(OLD, 100, errors=50)
        bar = Quarantine("q", "ann", ANY_REVISION, OLD, "errors", 4.0)
        scene.machine.apply(50, encode_command(bar))
        await scene.look()
        assert OLD in scene.keeper._watch._recent
        lift = LiftQuarantine("l", "ann", ANY_REVISION, OLD, "mended", 5.0)
        scene.machine.apply(51, encode_command(lift))
        await scene.look()
        assert OLD not in scene.keeper._watch._recent

    async def test_the_last_version_is_not_taken_away(self) -> None:
        """Nothing else of the model may run: operators must decide."""
        scene = Scene(HELP)
        bar = Quarantine("q", "ann", ANY_REVISION, NEW, "errors", 4.0)
        scene.machine.apply(50, encode_command(bar))
        assert not scene.keeper._can_quarantine(OLD)
