"""The replicated configuration as one immutable value.

The handler of a command takes the current value and returns a new one.
A refused command therefore has no side effects, and a snapshot holds the
value as it is.
"""

from __future__ import annotations

from typing import NamedTuple

from sycamorestand_model.declarations import Declarations
from sycamorestand_model.in_force import InForce
from sycamorestand_model.in_force import RolloutShare
from sycamorestand_model.prompt_parts import BlockedPart
from sycamorestand_state.results import ClusterIdentity
from sycamorestand_state.results import Outcome
from sycamorestand_state.results import RolloutState


class Withdrawal(NamedTuple):
    """Reason, operator and revision of a version's withdrawal."""

    revision: int
    operator: str
    reason: str


class ConfigurationState(NamedTuple):
    """The whole configuration at a revision; never changed in place."""

    revision: int = 0
    cluster: ClusterIdentity | None = None
    declarations: Declarations = Declarations()
    withdrawn: dict[str, Withdrawal] = {}
    quarantined: dict[str, str] = {}
    rollouts: dict[str, RolloutState] = {}
    draining_vms: dict[str, str] = {}
    session_key: bytes = b""
    previous_session_key: bytes = b""
    blocked_parts: dict[str, BlockedPart] = {}
    draining_data_centres: dict[str, str] = {}


class Decision(NamedTuple):
    """A handler's decision on a command, before the machine records it.

    ``state`` is the configuration to put in force, and equals the current
    one unless ``outcome`` is ``applied``.
    """

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
    """Return the decision to put ``state`` in force.

    ``difference`` describes the change to people, in lines.
    """
    return Decision(
        "applied", state, difference, notes=notes, evidence=evidence
    )


def refused(state: ConfigurationState, *findings: str) -> Decision:
    """Return the decision to refuse a command for all these reasons."""
    return Decision("refused", state, findings=findings)


def unchanged(state: ConfigurationState, note: str) -> Decision:
    """Return the decision that the state already is as requested."""
    return Decision("unchanged", state, notes=(note,))


def to_in_force(state: ConfigurationState) -> InForce:
    """Return the part of the configuration that entries act on."""
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
        blocked_parts=state.blocked_parts,
        draining_data_centres=tuple(sorted(state.draining_data_centres)),
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
