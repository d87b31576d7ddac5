"""The leader's watch over versions: roll-out steps and quarantines."""

from __future__ import annotations

import logging
import time
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio
import msgspec

from sycamorestand_control.errors import ControlError
from sycamorestand_control.groups import CONFIGURATION_GROUP
from sycamorestand_decisions.demand import RecentRequests
from sycamorestand_decisions.rollout import RolloutMonitor
from sycamorestand_decisions.stats_rows import from_rows
from sycamorestand_decisions.stats_rows import StatsRow
from sycamorestand_decisions.verdicts import Advance
from sycamorestand_decisions.verdicts import Stop
from sycamorestand_decisions.version_stats import empty_stats
from sycamorestand_decisions.version_watch import VersionWatch
from sycamorestand_decisions.versions import choose_version
from sycamorestand_decisions.versions import may_run
from sycamorestand_model.declarations import Objective
from sycamorestand_model.declarations import version_id
from sycamorestand_model.declarations import VERSION_SEPARATOR
from sycamorestand_state.commands import ANY_REVISION
from sycamorestand_state.commands import encode_command
from sycamorestand_state.commands import Quarantine
from sycamorestand_state.commands import RolloutStep
from sycamorestand_state.commands import StopRollout
from sycamorestand_state.commands import SYSTEM
from sycamorestand_state.rollouts import RUNNING

if TYPE_CHECKING:
    from sycamorestand_control.groups import LogGroups
    from sycamorestand_decisions.version_stats import VersionStats
    from sycamorestand_model.declarations import Rollout
    from sycamorestand_peer.messages import SampleReport
    from sycamorestand_state.commands import Command
    from sycamorestand_state.configuration import ConfigurationMachine
    from sycamorestand_state.results import RolloutState

LOG: Final = logging.getLogger(__name__)
CHECK_INTERVAL_S: Final = 0.25
# The bound on false alarms counts on few looks, and a look at 35 versions
# takes milliseconds of the leader; half a minute is a third of a thousandth
# of a day's requests.
WATCH_EVERY_CHECKS: Final = 120
PROPOSE_TIMEOUT_S: Final = 3.0
MAX_REASON_CHARACTERS: Final = 400


class _Run(NamedTuple):
    """A monitor and the committed roll-out step that it watches."""

    started_revision: int
    step: int
    monitor: RolloutMonitor


class VersionController:
    """Adds up what entries report and acts on it while it leads.

    Counts are soft state: a new leader begins with none and with the step
    that is committed, so a step may last longer after a leader change but
    none is skipped and none is made twice (a step names the one it
    leaves).
    """

    def __init__(
        self, groups: LogGroups, configuration: ConfigurationMachine
    ) -> None:
        self._groups = groups
        self._configuration = configuration
        self._watch = VersionWatch()
        self._requests = RecentRequests()
        self._runs: dict[str, _Run] = {}
        self._seen: dict[str, tuple[int, int]] = {}
        self._barred: frozenset[str] = frozenset()
        self._checks = 0
        self.verdicts: dict[str, str] = {}

    def report(self, message: SampleReport) -> None:
        """Add an entry's counts; a doubled report is dropped."""
        number = (message.incarnation, message.sequence)
        if number <= self._seen.get(message.vm, (0, 0)):
            return
        self._seen[message.vm] = number
        rows = msgspec.msgpack.decode(message.rows, type=list[StatsRow])
        stats = from_rows(rows)
        for version, counts in stats.items():
            self._watch.add(version, counts)
            self._requests.add(version, counts.requests, time.time())
        for model, run in self._runs.items():
            old, new = self._compared(model, stats)
            run.monitor.add(old, new)

    def request_shares(self) -> dict[str, float]:
        """Return each version's share of the requests of late."""
        return self._requests.shares(time.time())

    async def run(self) -> None:
        """Judge at an interval, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if not self._groups.is_leader(CONFIGURATION_GROUP):
                self._runs.clear()
                continue
            await self.look(time.time())

    async def look(self, now_s: float) -> None:
        """Judge once and commit what follows."""
        self._follow_rollouts()
        self._follow_lifted()
        for command in self._commands(now_s):
            await self._commit(command)
        # What is reported from here on belongs to the step just made.
        self._follow_rollouts()

    def _commands(self, now_s: float) -> list[Command]:
        commands: list[Command] = []
        for model, run in self._runs.items():
            command = self._judge(model, run, now_s)
            if command is not None:
                commands.append(command)
        self._checks += 1
        if self._checks % WATCH_EVERY_CHECKS:
            return commands
        for version, verdict in self._watch.check(now_s).items():
            self.verdicts[version] = verdict.reason
            if isinstance(verdict, Stop) and self._may_quarantine(version):
                commands.append(_quarantine(version, verdict, now_s))
        return commands

    def _judge(self, model: str, run: _Run, now_s: float) -> Command | None:
        verdict = run.monitor.check(time.monotonic())
        self.verdicts[model] = verdict.reason
        if isinstance(verdict, Advance | Stop):
            LOG.info(
                "version compared",
                extra={
                    "model": model,
                    "step": run.step,
                    "verdict": type(verdict).__name__,
                    "reason": verdict.reason,
                    "signals": list(run.monitor.comparison_lines()),
                },
            )
        if isinstance(verdict, Stop):
            return StopRollout(
                f"stop-{model}-{run.started_revision}",
                SYSTEM,
                ANY_REVISION,
                model,
                run.started_revision,
                verdict.reason,
                _evidence(verdict),
                now_s,
            )
        if isinstance(verdict, Advance):
            return RolloutStep(
                f"step-{model}-{run.started_revision}-{run.step}",
                SYSTEM,
                ANY_REVISION,
                model,
                run.started_revision,
                run.step,
                run.step + 1,
                verdict.reason,
                now_s,
            )
        return None

    async def _commit(self, command: Command) -> None:
        try:
            result = await self._groups.propose(
                CONFIGURATION_GROUP, encode_command(command), PROPOSE_TIMEOUT_S
            )
        except ControlError as error:
            LOG.warning("not committed", extra={"reason": str(error)})
            return
        if not result.duplicate:
            LOG.info(
                "version decision",
                extra={"command": repr(command), "outcome": result.outcome},
            )

    def _follow_rollouts(self) -> None:
        running = {
            rollout.model: rollout
            for rollout in self._configuration.rollouts()
            if rollout.state == RUNNING
        }
        for model in set(self._runs) - set(running):
            del self._runs[model]
        for model, rollout in running.items():
            self._follow_rollout(model, rollout)

    def _follow_rollout(self, model: str, rollout: RolloutState) -> None:
        run = self._runs.get(model)
        # The time of day may jump by seconds and would cut a step short.
        now_s = time.monotonic()
        if run is None or run.started_revision != rollout.started_revision:
            declared = self._configuration.in_force().declarations
            monitor = RolloutMonitor(
                declared.rollouts[model],
                now_s - _passed_s(declared.rollouts[model], rollout),
                rollout.step,
                self._objective(model),
            )
            self._runs[model] = _Run(
                rollout.started_revision, rollout.step, monitor
            )
        elif run.step != rollout.step:
            run.monitor.step = rollout.step - 1
            run.monitor.advance(now_s)
            self._runs[model] = run._replace(step=rollout.step)

    def _follow_lifted(self) -> None:
        """Forget what a version did before operators let it back.

        Its counts would be the same evidence again, and it would be
        quarantined again at the next look, whatever was mended.
        """
        in_force = self._configuration.in_force()
        barred = frozenset((*in_force.quarantined, *in_force.withdrawn))
        for version in self._barred - barred:
            self._watch.forget(version)
            self.verdicts.pop(version, None)
        self._barred = barred

    def _objective(self, model: str) -> Objective:
        """Return the weights of the profile that most dreads exposure."""
        profiles = self._configuration.in_force().declarations.profiles
        objectives = [
            profile.objective
            for profile in profiles.values()
            if any(step.model == model for step in profile.steps)
        ]
        return max(
            objectives, key=lambda o: o.exposure_weight, default=Objective()
        )

    def _compared(
        self, model: str, stats: dict[str, VersionStats]
    ) -> tuple[VersionStats, VersionStats]:
        rollout = self._configuration.rollout(model)
        if rollout is None:
            return empty_stats(), empty_stats()
        old = stats.get(version_id(model, rollout.stable), empty_stats())
        new = stats.get(version_id(model, rollout.version), empty_stats())
        return old, new

    def _may_quarantine(self, identity: str) -> bool:
        """Tell whether another version of the model can take the work.

        Without one a quarantine would turn every request away on the word
        of a statistic; then operators are told and decide.
        """
        in_force = self._configuration.in_force()
        model_name = identity.partition(VERSION_SEPARATOR)[0]
        model = in_force.declarations.models.get(model_name)
        if model is None or not may_run(identity, model, in_force):
            return False
        without = in_force._replace(
            quarantined=(*in_force.quarantined, identity)
        )
        return choose_version(model, without, 0.0) is not None


def _passed_s(declared: Rollout, rollout: RolloutState) -> float:
    """Return how long the committed step has lasted before this leader.

    A time limit goes on while the leader changes. Clocks of two machines
    may differ by seconds, so it is never more than the step's least time.
    """
    if not declared.patience_s:
        return 0.0
    passed_s = time.time() - rollout.stepped_s
    return min(max(0.0, passed_s), declared.step_s(rollout.step))


def _quarantine(version: str, verdict: Stop, now_s: float) -> Quarantine:
    return Quarantine(
        f"quarantine-{version}-{int(now_s)}",
        SYSTEM,
        ANY_REVISION,
        version,
        _evidence(verdict),
        now_s,
    )


def _evidence(verdict: Stop) -> str:
    text = "; ".join((verdict.reason, *verdict.evidence))
    return text[:MAX_REASON_CHARACTERS]


__all__ = ["VersionController"]
