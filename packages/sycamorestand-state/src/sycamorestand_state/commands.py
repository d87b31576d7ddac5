"""Commands that change the configuration, as they stand in the log.

Every command carries the change id that its sender keeps for resends,
who asks, the revision it was based on, and the time that the leader
stamped. ``ANY_REVISION`` as base skips the comparison; see `BASED_KINDS`
for the changes that may not.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

from sycamorestand_model.declarations import Declarations
from sycamorestand_state.codec import make_codec

SYSTEM: Final = "system"
ANY_REVISION: Final = -1


class CreateCluster(NamedTuple):
    """First start: the one command that a new log begins with."""

    change_id: str
    operator: str
    now_s: float
    cluster_id: str
    session_key: bytes
    shard_count: int
    admin_key_hash: str
    base_revision: int = 0


class ApplyDeclarations(NamedTuple):
    """Replace all declarations by these, as one revision."""

    change_id: str
    operator: str
    base_revision: int
    declarations: Declarations
    message: str
    now_s: float


class Withdraw(NamedTuple):
    """Give a version no new work, until an explicit `Reinstate`."""

    change_id: str
    operator: str
    base_revision: int
    version: str
    reason: str
    now_s: float


class Reinstate(NamedTuple):
    """Let a withdrawn version have new work again."""

    change_id: str
    operator: str
    base_revision: int
    version: str
    reason: str
    now_s: float


class StartRollout(NamedTuple):
    """Begin the declared roll-out of a model at its first share."""

    change_id: str
    operator: str
    base_revision: int
    model: str
    evidence: str
    now_s: float


class RolloutStep(NamedTuple):
    """Move a running roll-out from its committed step to another.

    ``started_revision`` names the roll-out: the revision of its start.
    """

    change_id: str
    operator: str
    base_revision: int
    model: str
    started_revision: int
    from_step: int
    to_step: int
    evidence: str
    now_s: float


class StopRollout(NamedTuple):
    """Take all new work from the version that is rolled out."""

    change_id: str
    operator: str
    base_revision: int
    model: str
    started_revision: int
    reason: str
    evidence: str
    now_s: float


class Quarantine(NamedTuple):
    """Give a version no new work for now; `LiftQuarantine` ends it."""

    change_id: str
    operator: str
    base_revision: int
    version: str
    evidence: str
    now_s: float


class LiftQuarantine(NamedTuple):
    """Let a quarantined version have new work again."""

    change_id: str
    operator: str
    base_revision: int
    version: str
    evidence: str
    now_s: float


class DrainVm(NamedTuple):
    """Take the entries of a VM out of the addresses for callers."""

    change_id: str
    operator: str
    base_revision: int
    vm: str
    reason: str
    now_s: float


class UndrainVm(NamedTuple):
    """Give the entries of a VM out as addresses again."""

    change_id: str
    operator: str
    base_revision: int
    vm: str
    reason: str
    now_s: float


class RotateSessionKey(NamedTuple):
    """Sign session tokens with a new key from now on."""

    change_id: str
    operator: str
    base_revision: int
    session_key: bytes
    now_s: float


class RecordOrder(NamedTuple):
    """Record an order to an engine before it is sent, and how it ended.

    ``phase`` is ``intended`` before sending, then ``done``, ``failed`` or
    ``unknown``. ``failed`` means that nothing of it can still reach the
    engine: it said so, nothing was sent, or its time of flight is over;
    anything else is ``unknown``. ``action`` is ``load``, ``unload`` or
    ``change_role``; ``target`` a version identity or a role.
    """

    order_id: str
    term: int
    sequence: int
    backend_server: str
    action: str
    target: str
    phase: str
    detail: str
    now_s: float


Change = (
    CreateCluster
    | ApplyDeclarations
    | Withdraw
    | Reinstate
    | StartRollout
    | RolloutStep
    | StopRollout
    | Quarantine
    | LiftQuarantine
    | DrainVm
    | UndrainVm
    | RotateSessionKey
)
Command = Change | RecordOrder

# These need the revision that they were worked out against: each replaces
# everything, and would undo silently what another operator did meanwhile.
# Any other change says by itself what it does to one subject, so it may
# carry ANY_REVISION; with a base of the voter that happened to be asked, a
# resend through another voter would be another change.
BASE_REQUIRED_KINDS: Final = (CreateCluster, ApplyDeclarations)

CODES: Final = {
    1: CreateCluster,
    2: ApplyDeclarations,
    3: Withdraw,
    4: Reinstate,
    5: StartRollout,
    6: RolloutStep,
    7: StopRollout,
    8: Quarantine,
    9: LiftQuarantine,
    10: DrainVm,
    11: UndrainVm,
    12: RotateSessionKey,
    13: RecordOrder,
}
_CODEC: Final = make_codec(CODES)


def encode_command(command: Command) -> bytes:
    """Return the command as it is proposed to the log."""
    return _CODEC.encode(command)


def decode_command(data: bytes) -> Command:
    """Return the command, or raise where it cannot be read."""
    command: Command = _CODEC.decode(data)
    return command


__all__ = [
    "ANY_REVISION",
    "ApplyDeclarations",
    "BASE_REQUIRED_KINDS",
    "Change",
    "CODES",
    "Command",
    "CreateCluster",
    "decode_command",
    "DrainVm",
    "encode_command",
    "LiftQuarantine",
    "Quarantine",
    "RecordOrder",
    "Reinstate",
    "RolloutStep",
    "RotateSessionKey",
    "StartRollout",
    "StopRollout",
    "SYSTEM",
    "UndrainVm",
    "Withdraw",
]
