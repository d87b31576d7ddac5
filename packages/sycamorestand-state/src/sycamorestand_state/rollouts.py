"""Transitions of roll-outs: start, step, stop, completion and end.

Each step is a command in the log, so a new leader continues at the
committed step. A step names the run of the roll-out and the step that it
starts from. A late step of a deposed leader, or of an earlier run of the
same version, does not match these and is refused.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import Rollout
from sycamorestand_model.declarations import version_id
from sycamorestand_state.commands import ANY_REVISION
from sycamorestand_state.commands import RolloutStep
from sycamorestand_state.commands import StartRollout
from sycamorestand_state.commands import StopRollout
from sycamorestand_state.configuration_state import applied
from sycamorestand_state.configuration_state import ConfigurationState
from sycamorestand_state.configuration_state import Decision
from sycamorestand_state.configuration_state import refused
from sycamorestand_state.configuration_state import unchanged
from sycamorestand_state.results import RolloutState

RUNNING: Final = "running"
STOPPED: Final = "stopped"
COMPLETED: Final = "completed"
FULL_SHARE: Final = 1.0


class Reconciled(NamedTuple):
    """Roll-outs after a change, and lines that describe what changed."""

    rollouts: dict[str, RolloutState]
    difference: tuple[str, ...]


def start_rollout(
    state: ConfigurationState, command: StartRollout
) -> Decision:
    """Give the declared version its first share of new work."""
    declared = state.declarations.rollouts.get(command.model)
    if declared is None:
        return refused(
            state, f"rollouts.{command.model}: is not declared; declare it"
        )
    findings = _start_findings(state, declared)
    if findings:
        return refused(state, *findings)
    rollout = RolloutState(
        model=command.model,
        version=declared.version,
        stable=state.declarations.models[command.model].stable,
        step=0,
        share=declared.shares[0],
        state=_state_for_share(declared.shares[0]),
        started_revision=state.revision + 1,
        stepped_s=command.now_s,
        evidence=command.evidence,
    )
    return applied(
        _with_rollout(state, rollout),
        _audit_line(rollout, "started"),
        evidence=command.evidence,
    )


def step_rollout(state: ConfigurationState, command: RolloutStep) -> Decision:
    """Move a running roll-out a step forward, or to any earlier step."""
    rollout = state.rollouts.get(command.model)
    if rollout is None:
        return refused(state, f"rollouts.{command.model}: is not started")
    findings = _step_findings(state, rollout, command)
    if findings:
        return refused(state, *findings)
    share = state.declarations.rollouts[command.model].shares[command.to_step]
    stepped = rollout._replace(
        step=command.to_step,
        share=share,
        state=_state_for_share(share),
        stepped_s=command.now_s,
        evidence=command.evidence,
    )
    return applied(
        _with_rollout(state, stepped),
        _audit_line(stepped, f"step {command.from_step} -> {command.to_step}"),
        evidence=command.evidence,
    )


def stop_rollout(state: ConfigurationState, command: StopRollout) -> Decision:
    """Stop a roll-out, so that new work goes to the stable version.

    A completed roll-out can be stopped too, until it is made stable.
    """
    rollout = state.rollouts.get(command.model)
    if rollout is None:
        return refused(state, f"rollouts.{command.model}: is not started")
    if command.started_revision not in (
        ANY_REVISION,
        rollout.started_revision,
    ):
        return refused(
            state, _other_run_finding(rollout, command.started_revision)
        )
    if rollout.state == STOPPED:
        return unchanged(state, f"rollouts.{command.model}: stopped already")
    ended = stopped(rollout, command.reason, command.evidence, command.now_s)
    return applied(
        _with_rollout(state, ended),
        _audit_line(ended, f"stopped: {command.reason}"),
        evidence=command.evidence,
    )


def stop_for_version(
    state: ConfigurationState, identity: str, reason: str, now_s: float
) -> Reconciled:
    """Stop the roll-out of a withdrawn or quarantined version."""
    rollouts = dict(state.rollouts)
    lines = []
    for model, rollout in state.rollouts.items():
        if version_id(model, rollout.version) != identity:
            continue
        if rollout.state != STOPPED:
            rollouts[model] = stopped(rollout, reason, "", now_s)
            lines.append(_audit_line(rollouts[model], f"stopped: {reason}"))
    return Reconciled(rollouts, tuple(lines))


def reconcile(
    rollouts: dict[str, RolloutState], declarations: Declarations
) -> Reconciled:
    """Adjust the committed roll-outs to new declarations.

    A roll-out ends if its version is no longer declared, the model has
    another stable version, or, unless it is completed, its declaration was
    removed or names another version. A running one takes the new shares.
    """
    remaining = {}
    lines = []
    for model, rollout in sorted(rollouts.items()):
        updated, line = _reconcile_one(rollout, declarations)
        if updated is not None:
            remaining[model] = updated
        if line:
            lines.append(line)
    return Reconciled(remaining, tuple(lines))


def not_stable_findings(
    rollouts: dict[str, RolloutState], declarations: Declarations
) -> tuple[str, ...]:
    """Return findings for roll-outs that follow one not made stable yet.

    Declaring the next roll-out would end the completed one, and new work
    would silently go back to the old stable version.
    """
    findings = []
    for model, rollout in sorted(rollouts.items()):
        declared = declarations.rollouts.get(model)
        if rollout.state != COMPLETED or declared is None:
            continue
        if _end_reason(rollout, declarations):
            continue
        if declared.version != rollout.version:
            findings.append(
                f"rollouts.{model}: {rollout.version!r} is rolled out "
                "completely; make it stable first, or stop its roll-out"
            )
    return tuple(findings)


def stopped(
    rollout: RolloutState, reason: str, evidence: str, now_s: float
) -> RolloutState:
    """Return the roll-out as stopped for a reason, with share 0."""
    return rollout._replace(
        share=0.0,
        state=STOPPED,
        reason=reason,
        evidence=evidence,
        stepped_s=now_s,
    )


def _start_findings(
    state: ConfigurationState, declared: Rollout
) -> tuple[str, ...]:
    identity = version_id(declared.model, declared.version)
    current = state.rollouts.get(declared.model)
    findings = []
    if identity in state.withdrawn:
        findings.append(f"{identity}: is withdrawn; reinstate it first")
    if identity in state.quarantined:
        findings.append(f"{identity}: is quarantined; lift that first")
    if current is not None and current.state != STOPPED:
        findings.append(
            f"rollouts.{declared.model}: is {current.state} already, at "
            f"step {current.step}"
        )
    return tuple(findings)


def _step_findings(
    state: ConfigurationState, rollout: RolloutState, command: RolloutStep
) -> tuple[str, ...]:
    if command.started_revision != rollout.started_revision:
        return (_other_run_finding(rollout, command.started_revision),)
    if rollout.state != RUNNING:
        return (f"rollouts.{rollout.model}: is {rollout.state}",)
    if command.from_step != rollout.step:
        return (
            f"rollouts.{rollout.model}: is at step {rollout.step}, not "
            f"{command.from_step}",
        )
    last = len(state.declarations.rollouts[rollout.model].shares) - 1
    highest = min(rollout.step + 1, last)
    if not 0 <= command.to_step <= highest or command.to_step == rollout.step:
        return (
            f"rollouts.{rollout.model}: step {command.to_step} does not "
            f"follow {rollout.step}; the last one declared is {last}",
        )
    return ()


def _reconcile_one(
    rollout: RolloutState, declarations: Declarations
) -> tuple[RolloutState | None, str]:
    end_reason = _end_reason(rollout, declarations)
    if end_reason:
        return None, _audit_line(rollout, f"ended: {end_reason}")
    if rollout.state == COMPLETED:
        return rollout, ""
    declared = declarations.rollouts.get(rollout.model)
    if declared is None:
        return None, _audit_line(rollout, "ended: no longer declared")
    if declared.version != rollout.version:
        return None, _audit_line(rollout, f"ended for {declared.version!r}")
    if rollout.state == STOPPED:
        return rollout, ""
    step = min(rollout.step, len(declared.shares) - 1)
    share = declared.shares[step]
    if (step, share) == (rollout.step, rollout.share):
        return rollout, ""
    updated = rollout._replace(
        step=step, share=share, state=_state_for_share(share)
    )
    return updated, _audit_line(updated, "shares declared anew")


def _end_reason(rollout: RolloutState, declarations: Declarations) -> str:
    model = declarations.models.get(rollout.model)
    if model is None or rollout.version not in model.versions:
        return "the version is no longer declared"
    if model.stable != rollout.stable:
        return f"{model.stable!r} is stable now"
    return ""


def _with_rollout(
    state: ConfigurationState, rollout: RolloutState
) -> ConfigurationState:
    rollouts = {**state.rollouts, rollout.model: rollout}
    return state._replace(rollouts=rollouts)


def _state_for_share(share: float) -> str:
    return COMPLETED if share >= FULL_SHARE else RUNNING


def _other_run_finding(rollout: RolloutState, started_revision: int) -> str:
    return (
        f"rollouts.{rollout.model}: the run that started at revision "
        f"{started_revision} is over; the one in force started at "
        f"{rollout.started_revision}"
    )


def _audit_line(rollout: RolloutState, event: str) -> str:
    identity = version_id(rollout.model, rollout.version)
    return (
        f"rollouts.{rollout.model}: {identity} {event}, share "
        f"{rollout.share:g}, {rollout.state}"
    )


__all__ = [
    "COMPLETED",
    "FULL_SHARE",
    "not_stable_findings",
    "reconcile",
    "Reconciled",
    "RUNNING",
    "start_rollout",
    "step_rollout",
    "stop_for_version",
    "stop_rollout",
    "STOPPED",
    "stopped",
]
