"""The replicated configuration as one immutable value.

Handlers of commands take it and return another one, so that a refused
command can leave nothing behind, and a snapshot is the value itself.
"""

from __future__ import annotations

from typing import NamedTuple

from sycamorestand_model.declarations import Declarations
from sycamorestand_model.in_force import InForce
from sycamorestand_model.in_force import RolloutShare
from sycamorestand_state.results import ClusterIdentity
from sycamorestand_state.results import Outcome
from sycamorestand_state.results import RolloutState


class Withdrawal(NamedTuple):
    """Why and since when a version gets no new work."""

    revision: int
    operator: str
    reason: str


class ConfigurationState(NamedTuple):
    """Everything that a revision settles; never changed in place."""

    revision: int = 0
    cluster: ClusterIdentity | None = None
    declarations: Declarations = Declarations()
    withdrawn: dict[str, Withdrawal] = {}
    quarantined: dict[str, str] = {}
    rollouts: dict[str, RolloutState] = {}
    draining_vms: dict[str, str] = {}
    session_key: bytes = b""
    previous_session_key: bytes = b""


class Decision(NamedTuple):
    """What a handler made of a command, before it is recorded."""

    outcome: Outcome
    state: ConfigurationState
    difference: tuple[str, ...] = ()
    findings: tuple[str, ...] = ()
    notes: tuple[str, ...] = ()
    evidence: str = ""


def applied(
    state: ConfigurationState,
    *difference: str,
    notes: tuple[str, ...] = (),
    evidence: str = "",
) -> Decision:
    """Accept: the new state and the lines that tell people about it."""
    return Decision(
        "applied", state, difference, notes=notes, evidence=evidence
    )


def refused(state: ConfigurationState, *findings: str) -> Decision:
    """Refuse for these reasons, all of them together."""
    return Decision("refused", state, findings=findings)


def unchanged(state: ConfigurationState, note: str) -> Decision:
    """Answer that what was asked for is so already."""
    return Decision("unchanged", state, notes=(note,))


def to_in_force(state: ConfigurationState) -> InForce:
    """Return what entries act on for this state."""
    shares = {
        model: RolloutShare(
            rollout.version, rollout.share, rollout.step, rollout.state
        )
        for model, rollout in state.rollouts.items()
    }
    return InForce(
        revision=state.revision,
        declarations=state.declarations,
        withdrawn=tuple(sorted(state.withdrawn)),
        quarantined=tuple(sorted(state.quarantined)),
        shares=shares,
        draining_vms=tuple(sorted(state.draining_vms)),
        session_key=state.session_key,
        previous_session_key=state.previous_session_key,
        ledger_shards=(
            state.cluster.shard_count if state.cluster is not None else 1
        ),
    )


__all__ = [
    "applied",
    "ConfigurationState",
    "Decision",
    "refused",
    "to_in_force",
    "unchanged",
    "Withdrawal",
]
