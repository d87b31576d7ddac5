"""Results of the configuration machine, and its records for readers."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple

Outcome = Literal["applied", "unchanged", "conflict", "refused"]


class ChangeResult(NamedTuple):
    """The answer to a change, equal for all resends but for ``duplicate``.

    ``revision`` is the revision that the change created, or the one in
    force if it created none. ``duplicate`` marks the answer to a resend.
    ``findings`` lists all reasons of a refusal. ``notes`` lists effects
    that an applied change did not have, such as bringing back a withdrawn
    version.
    """

    outcome: Outcome
    revision: int
    message: str = ""
    findings: tuple[str, ...] = ()
    notes: tuple[str, ...] = ()
    duplicate: bool = False


class AuditEntry(NamedTuple):
    """An entry of the audit trail, for the command at ``log_index``.

    ``revision`` is the revision in force after the command.
    ``difference`` is for people and never holds key hashes. ``subject`` is
    the version, model or VM that the change names. ``base_revision`` is -1
    if the change had no base. ``message`` is the operator's message, and
    ``evidence`` the system's own reason for the change.
    """

    log_index: int
    revision: int
    now_s: float
    operator: str
    change_id: str
    kind: str
    difference: tuple[str, ...]
    outcome: str
    evidence: str = ""
    subject: str = ""
    base_revision: int = -1
    message: str = ""


class RolloutState(NamedTuple):
    """The committed state of a roll-out.

    ``state`` is ``running``, ``stopped`` or ``completed``.
    ``started_revision`` identifies this run of the roll-out, so that a
    late step of an earlier run can be refused. ``stable`` is the model's
    stable version at the start of the roll-out.
    """

    model: str
    version: str
    stable: str
    step: int
    share: float
    state: str
    started_revision: int
    stepped_s: float
    reason: str = ""
    evidence: str = ""


class OrderRecord(NamedTuple):
    """An order to an engine; see `sycamorestand_state.orders`."""

    order_id: str
    term: int
    sequence: int
    backend_server: str
    action: str
    target: str
    phase: str
    detail: str
    now_s: float


class ClusterIdentity(NamedTuple):
    """The properties of a cluster that never change after its creation."""

    cluster_id: str
    shard_count: int
    created_s: float


__all__ = [
    "AuditEntry",
    "ChangeResult",
    "ClusterIdentity",
    "OrderRecord",
    "Outcome",
    "RolloutState",
]
