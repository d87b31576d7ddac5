"""The leader's control loop for versions: roll-outs and quarantines."""

from __future__ import annotations

import logging
import time
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio
import msgspec

from sycamorestand_control.commit import commit_decision
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
from sycamorestand_state.change_ids import unique_change_id
from sycamorestand_state.commands import ANY_REVISION
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
# Versions are checked for a quarantine every 30 s, once in 120 checks. The
# bound on false alarms holds only for few checks, and a check of 35 versions
# takes milliseconds of the leader's time. In 30 s a bad version gets at most
# a third of a thousandth of a day's requests.
QUARANTINE_EVERY_CHECKS: Final = 120
MAX_REASON_CHARACTERS: Final = 400


class _MonitoredRollout(NamedTuple):
    """A roll-out's monitor and the committed step that it compares."""

    started_revision: int
    step: int
    monitor: RolloutMonitor


class VersionController:
    """Sums the entries' reports and acts on them while it leads.

    The sums are soft state. A new leader starts with empty sums at the
    committed step, so a step may last longer after a leader change. No
    step is skipped or made twice, because each `RolloutStep` names the
    step that it leaves.
    """

    def __init__(
        self, groups: LogGroups, configuration: ConfigurationMachine
    ) -> None:
        self._groups = groups
        self._configuration = configuration
        self._watch = VersionWatch()
        self._requests = RecentRequests()
        self._monitored: dict[str, _MonitoredRollout] = {}
        self._last_reports: dict[str, tuple[int, int]] = {}
        self._blocked_versions: frozenset[str] = frozenset()
        self._checks = 0
        self.verdicts: dict[str, str] = {}

    def handle_report(self, message: SampleReport) -> None:
        """Add an entry's counts; drop a report that was received before."""
        report_id = (message.incarnation, message.sequence)
        if report_id <= self._last_reports.get(message.vm, (0, 0)):
            return
        self._last_reports[message.vm] = report_id
        rows = msgspec.msgpack.decode(message.rows, type=list[StatsRow])
        stats = from_rows(rows)
        for version, counts in stats.items():
            self._watch.add(version, counts)
            self._requests.add(version, counts.requests, time.time())
        for model, monitored in self._monitored.items():
            old, new = self._stats_to_compare(model, stats)
            monitored.monitor.add(old, new)

    def request_shares(self) -> dict[str, float]:
        """Return each version's share of recent requests, from 0 to 1."""
        return self._requests.shares(time.time())

    async def run(self) -> None:
        """Check all versions every `CHECK_INTERVAL_S`, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if not self._groups.is_leader(CONFIGURATION_GROUP):
                self._monitored.clear()
                continue
            await self.check(time.time())

    async def check(self, now_s: float) -> None:
        """Check all versions once and commit the resulting commands."""
        self._sync_rollouts()
        self._forget_unblocked()
        for command in self._decide(now_s):
            await commit_decision(self._groups, command, "version decision")
        # Reports that arrive from here on count for the new step.
        self._sync_rollouts()

    def _decide(self, now_s: float) -> list[Command]:
        commands: list[Command] = []
        for model, monitored in self._monitored.items():
            command = self._evaluate_rollout(model, monitored, now_s)
            if command is not None:
                commands.append(command)
        self._checks += 1
        if self._checks % QUARANTINE_EVERY_CHECKS:
            return commands
        for version, verdict in self._watch.check(now_s).items():
            self.verdicts[version] = verdict.reason
            if isinstance(verdict, Stop) and self._can_quarantine(version):
                commands.append(_quarantine(version, verdict, now_s))
        return commands

    def _evaluate_rollout(
        self, model: str, monitored: _MonitoredRollout, now_s: float
    ) -> Command | None:
        verdict = monitored.monitor.check(time.monotonic())
        self.verdicts[model] = verdict.reason
        if isinstance(verdict, Advance | Stop):
            LOG.info(
                "version compared",
                extra={
                    "model": model,
                    "step": monitored.step,
                    "verdict": type(verdict).__name__,
                    "reason": verdict.reason,
                    "signals": list(monitored.monitor.comparison_lines()),
                },
            )
        if isinstance(verdict, Stop):
            return StopRollout(
                unique_change_id("stop", model),
                SYSTEM,
                ANY_REVISION,
                model,
                monitored.started_revision,
                verdict.reason,
                _evidence(verdict),
                now_s,
            )
        if isinstance(verdict, Advance):
            return RolloutStep(
                unique_change_id("step", model, monitored.step),
                SYSTEM,
                ANY_REVISION,
                model,
                monitored.started_revision,
                monitored.step,
                monitored.step + 1,
                verdict.reason,
                now_s,
            )
        return None

    def _sync_rollouts(self) -> None:
        running = {
            rollout.model: rollout
            for rollout in self._configuration.rollouts()
            if rollout.state == RUNNING
        }
        for model in set(self._monitored) - set(running):
            del self._monitored[model]
        for model, rollout in running.items():
            self._sync_rollout(model, rollout)

    def _sync_rollout(self, model: str, rollout: RolloutState) -> None:
        monitored = self._monitored.get(model)
        # Wall-clock time may jump by seconds, which would cut a step short.
        now_s = time.monotonic()
        if (
            monitored is None
            or monitored.started_revision != rollout.started_revision
        ):
            declared = self._configuration.in_force().declarations
            monitor = RolloutMonitor(
                declared.rollouts[model],
                now_s - _step_elapsed_s(declared.rollouts[model], rollout),
                rollout.step,
                self._objective(model),
            )
            self._monitored[model] = _MonitoredRollout(
                rollout.started_revision, rollout.step, monitor
            )
        elif monitored.step != rollout.step:
            monitored.monitor.step = rollout.step - 1
            monitored.monitor.advance(now_s)
            self._monitored[model] = monitored._replace(step=rollout.step)

    def _forget_unblocked(self) -> None:
        """Drop the counts of versions that operators have unblocked.

        With its old counts, a version whose quarantine was lifted would be
        quarantined again at the next check, even if it has been fixed.
        """
        in_force = self._configuration.in_force()
        blocked = frozenset((*in_force.quarantined, *in_force.withdrawn))
        for version in self._blocked_versions - blocked:
            self._watch.forget(version)
            self.verdicts.pop(version, None)
        self._blocked_versions = blocked

    def _objective(self, model: str) -> Objective:
        """Return the objective with the highest exposure weight.

        Only profiles with a step on the model count. Where there are none,
        the default objective applies.
        """
        profiles = self._configuration.in_force().declarations.profiles
        objectives = [
            profile.objective
            for profile in profiles.values()
            if any(step.model == model for step in profile.steps)
        ]
        return max(
            objectives, key=lambda o: o.exposure_weight, default=Objective()
        )

    def _stats_to_compare(
        self, model: str, stats: dict[str, VersionStats]
    ) -> tuple[VersionStats, VersionStats]:
        rollout = self._configuration.rollout(model)
        if rollout is None:
            return empty_stats(), empty_stats()
        old = stats.get(version_id(model, rollout.stable), empty_stats())
        new = stats.get(version_id(model, rollout.version), empty_stats())
        return old, new

    def _can_quarantine(self, identity: str) -> bool:
        """Return whether another version of the model can take its work.

        Without one, a quarantine would refuse every request because of a
        statistical test alone. The verdict is then only shown to operators,
        who decide.
        """
        in_force = self._configuration.in_force()
        model_name = identity.partition(VERSION_SEPARATOR)[0]
        model = in_force.declarations.models.get(model_name)
        if model is None or not may_run(identity, model, in_force):
            return False
        after_quarantine = in_force._replace(
            quarantined=(*in_force.quarantined, identity)
        )
        return choose_version(model, after_quarantine, 0.0) is not None


def _step_elapsed_s(declared: Rollout, rollout: RolloutState) -> float:
    """Return the seconds that the step lasted before this process led.

    A time limit keeps running while the leader changes; without a limit
    the result is 0. The clocks of two machines may differ by seconds, so
    the result is capped at the step's shortest duration.
    """
    if not declared.patience_s:
        return 0.0
    elapsed_s = time.time() - rollout.stepped_s
    return min(max(0.0, elapsed_s), declared.step_s(rollout.step))


def _quarantine(version: str, verdict: Stop, now_s: float) -> Quarantine:
    return Quarantine(
        unique_change_id("quarantine", version),
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
