"""Commands of the replicated log that change the configuration.

Every change carries a change id, which its sender reuses for resends; the
operator who asks for it; the revision it is based on; and the leader's
wall clock. The base ``ANY_REVISION`` skips the comparison with the current
revision. `BASE_REQUIRED_KINDS` lists the changes that may not use it.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

from sycamorestand_model.declarations import Declarations
from sycamorestand_state.codec import make_codec

SYSTEM: Final = "system"
ANY_REVISION: Final = -1


class CreateCluster(NamedTuple):
    """Create the cluster; a new log must begin with this command."""

    change_id: str
    operator: str
    now_s: float
    cluster_id: str
    session_key: bytes
    shard_count: int
    admin_key_hash: str
    base_revision: int = 0


class ApplyDeclarations(NamedTuple):
    """Replace all declarations, in one new revision."""

    change_id: str
    operator: str
    base_revision: int
    declarations: Declarations
    message: str
    now_s: float


class Withdraw(NamedTuple):
    """Stop new work for a version until a `Reinstate` command."""

    change_id: str
    operator: str
    base_revision: int
    version: str
    reason: str
    now_s: float


class Reinstate(NamedTuple):
    """Allow new work for a withdrawn version again."""

    change_id: str
    operator: str
    base_revision: int
    version: str
    reason: str
    now_s: float


class StartRollout(NamedTuple):
    """Start the declared roll-out of a model at its first share."""

    change_id: str
    operator: str
    base_revision: int
    model: str
    evidence: str
    now_s: float


class RolloutStep(NamedTuple):
    """Move a running roll-out from its committed step to another.

    ``started_revision`` is the revision that started the roll-out, and
    identifies this run of it.
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
    """Stop a roll-out, so that its version gets no new work."""

    change_id: str
    operator: str
    base_revision: int
    model: str
    started_revision: int
    reason: str
    evidence: str
    now_s: float


class Quarantine(NamedTuple):
    """Stop new work for a version until a `LiftQuarantine` command."""

    change_id: str
    operator: str
    base_revision: int
    version: str
    evidence: str
    now_s: float


class LiftQuarantine(NamedTuple):
    """Allow new work for a quarantined version again."""

    change_id: str
    operator: str
    base_revision: int
    version: str
    evidence: str
    now_s: float


class DrainVm(NamedTuple):
    """Remove a VM's entries from the addresses that callers get."""

    change_id: str
    operator: str
    base_revision: int
    vm: str
    reason: str
    now_s: float


class UndrainVm(NamedTuple):
    """Add a VM's entries to the addresses that callers get again."""

    change_id: str
    operator: str
    base_revision: int
    vm: str
    reason: str
    now_s: float


class DrainDataCentre(NamedTuple):
    """Send the backend servers of a data centre no new work."""

    change_id: str
    operator: str
    base_revision: int
    data_centre: str
    reason: str
    now_s: float


class UndrainDataCentre(NamedTuple):
    """Send the backend servers of a data centre new work again."""

    change_id: str
    operator: str
    base_revision: int
    data_centre: str
    reason: str
    now_s: float


class RotateSessionKey(NamedTuple):
    """Replace the key that signs session tokens."""

    change_id: str
    operator: str
    base_revision: int
    session_key: bytes
    now_s: float


class BlockPart(NamedTuple):
    """Refuse the requests with a prompt part that has ended servers.

    They are refused to these customers, beside those whose requests are
    refused already, or to everyone.
    """

    change_id: str
    operator: str
    base_revision: int
    part: str
    customers: tuple[str, ...]
    is_for_everyone: bool
    is_certain: bool
    evidence: str
    now_s: float


class TryPart(NamedTuple):
    """Let one entry process send one request with a blocked prompt part.

    ``number`` counts the trials of the part, from 1.
    """

    change_id: str
    operator: str
    base_revision: int
    part: str
    number: int
    process: str
    now_s: float


class ReleasePart(NamedTuple):
    """Accept requests with a blocked prompt part again."""

    change_id: str
    operator: str
    base_revision: int
    part: str
    evidence: str
    now_s: float


class RecordOrder(NamedTuple):
    """Record the intent to send an order to an engine, or its outcome.

    ``phase`` is ``intended`` before the order is sent, then ``done``,
    ``failed`` or ``unknown``. ``failed`` means that the order can no longer
    reach the engine: the engine reported the failure, nothing was sent, or
    the order's timeout is over. Any other failure is ``unknown``.
    ``action`` is ``load``, ``unload`` or ``change_role``; ``target`` is a
    version identity or a role.
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
    | BlockPart
    | TryPart
    | ReleasePart
    | DrainDataCentre
    | UndrainDataCentre
)
Command = Change | RecordOrder

# These changes must name the revision that they are based on. Each replaces
# the whole configuration, and would otherwise silently undo what another
# operator did meanwhile. Any other change affects one subject only, so it
# may carry ANY_REVISION. If a voter filled in its own revision as the base,
# a resend through another voter would count as a different change.
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
    14: BlockPart,
    15: TryPart,
    16: ReleasePart,
    17: DrainDataCentre,
    18: UndrainDataCentre,
}
_CODEC: Final = make_codec(CODES)


def encode_command(command: Command) -> bytes:
    """Return a command as the bytes to propose to the log."""
    return _CODEC.encode(command)


def decode_command(data: bytes) -> Command:
    """Return the command that was encoded.

    Raises `MalformedCommand` if the bytes cannot be read, and
    `UnknownCommand` if this release does not know the command's code.
    """
    command: Command = _CODEC.decode(data)
    return command


__all__ = [
    "ANY_REVISION",
    "ApplyDeclarations",
    "BASE_REQUIRED_KINDS",
    "BlockPart",
    "Change",
    "CODES",
    "Command",
    "CreateCluster",
    "decode_command",
    "DrainDataCentre",
    "DrainVm",
    "encode_command",
    "LiftQuarantine",
    "Quarantine",
    "RecordOrder",
    "Reinstate",
    "ReleasePart",
    "RolloutStep",
    "RotateSessionKey",
    "StartRollout",
    "StopRollout",
    "SYSTEM",
    "TryPart",
    "UndrainDataCentre",
    "UndrainVm",
    "Withdraw",
]
