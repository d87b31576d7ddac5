"""What the configuration machine answers, and what it keeps for reading."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple

Outcome = Literal["applied", "unchanged", "conflict", "refused"]


class ChangeResult(NamedTuple):
    """The answer to one change, the same for every resend of it.

    ``revision`` is the one that the change made, or the one in force
    where it made none. ``duplicate`` tells a resend's answer from the
    first. ``findings`` are all reasons of a refusal; ``notes`` say what
    an applied change did not do, such as bring back a withdrawn version.
    """

    outcome: Outcome
    revision: int
    message: str = ""
    findings: tuple[str, ...] = ()
    notes: tuple[str, ...] = ()
    duplicate: bool = False


class AuditEntry(NamedTuple):
    """One line of the audit trail, from the command at ``log_index``.

    ``revision`` is the one in force after the command. ``difference`` is
    for people and never holds key hashes. ``subject`` is the version,
    model or VM that the change names, ``base_revision`` -1 where it was
    based on none, and ``message`` what the operator said to it;
    ``evidence`` is what the system itself had to say.
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
    """A roll-out as far as it is committed.

    ``state`` is ``running``, ``stopped`` or ``completed``.
    ``started_revision`` names this run of it, so that a late step of an
    earlier run is told apart; ``stable`` is the model's stable version
    when it began.
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
    """An order to an engine, see `sycamorestand_state.orders`."""

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
    """What the first start settled for good."""

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
