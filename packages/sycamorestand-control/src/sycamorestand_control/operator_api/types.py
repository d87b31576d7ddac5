"""Messages of the operators' API, shared with ``sycactl``."""

from __future__ import annotations

from typing import Final
from typing import get_args
from typing import Literal
from typing import NamedTuple

from sycamorestand_model.declarations import Declarations
from sycamorestand_model.findings import Finding

Role = Literal["viewer", "operator", "admin"]

ChangeKind = Literal[
    "apply",
    "withdraw",
    "reinstate",
    "start-rollout",
    "stop-rollout",
    "quarantine",
    "lift-quarantine",
    "drain",
    "undrain",
    "drain-data-centre",
    "undrain-data-centre",
    "rotate-session-key",
    "release-part",
]

CHANGE_KINDS: Final[tuple[str, ...]] = get_args(ChangeKind)
ROLES: Final[tuple[str, ...]] = get_args(Role)


class OperatorIdentity(NamedTuple):
    """The name and the role of the operator who presented the key."""

    name: str
    role: Role


class ChangeRequest(NamedTuple):
    """An idempotent change of the configuration.

    The client chooses ``change_id`` and resends the change with the same id
    to any voter. ``base_revision`` is the revision that the change is based
    on; None skips the comparison. ``subject`` is a version identity for
    withdraw, reinstate, quarantine and lift-quarantine, a model for the
    roll-outs, a VM name for drain and undrain, a data centre for
    drain-data-centre and undrain-data-centre, and a prompt part for
    release-part. It is empty for apply and rotate-session-key. The API sets
    ``operator`` from the presented key and never reads it from the body.
    """

    change_id: str
    kind: ChangeKind
    base_revision: int | None = None
    subject: str = ""
    declarations: Declarations | None = None
    message: str = ""
    operator: str = ""


class Conflict(NamedTuple):
    """A change that was committed after the base revision."""

    revision: int
    operator: str
    change_id: str
    summary: str


class ChangeAnswer(NamedTuple):
    """The outcome of a change.

    A ``duplicate`` has the revision of the first answer. ``refused`` means
    that nothing was changed; ``findings`` or ``message`` give the reason.
    """

    outcome: Literal["accepted", "duplicate", "conflict", "refused"]
    revision: int
    message: str = ""
    findings: tuple[Finding, ...] = ()
    conflicts: tuple[Conflict, ...] = ()


class ReplaceVoterRequest(NamedTuple):
    """An idempotent request to add one voter and remove another.

    The API sets ``operator`` from the presented key.
    """

    change_id: str
    old_id: str
    new_id: str
    operator: str = ""


class DeclarationsAnswer(NamedTuple):
    """The committed declarations and their revision."""

    revision: int
    declarations: Declarations


class InForceAnswer(NamedTuple):
    """Whether a revision is in force at every live lease holder.

    The lease holders are control processes; each of them also acknowledges
    a revision for its entries. ``acknowledged`` of ``lease_holders`` act on
    the revision or a later one. ``waiting`` names the VMs of the others, or
    their peer addresses if the VM is not known.
    """

    revision: int
    in_force: bool
    lease_holders: int
    acknowledged: int
    waiting: tuple[str, ...] = ()


class VoterRow(NamedTuple):
    """A voter or learner as the answering control process sees it."""

    voter_id: str
    vm: str
    data_centre: str
    address: str
    role: Literal["leader", "follower", "candidate", "learner", "unknown"]
    applied_index: int
    silent_ms: int


class StatusAnswer(NamedTuple):
    """A summary of the control processes and the configuration.

    ``leader`` is a voter id, empty while there is no leader. ``alarms`` are
    conditions that an operator has to resolve, such as a full disk.
    """

    voter_id: str
    term: int
    leader: str
    revision: int
    in_force_revision: int
    voters: tuple[VoterRow, ...]
    withdrawn: tuple[str, ...] = ()
    quarantined: tuple[str, ...] = ()
    draining_vms: tuple[str, ...] = ()
    entry_count: int = 0
    backend_server_count: int = 0
    alarms: tuple[str, ...] = ()
    draining_data_centres: tuple[str, ...] = ()


class AuditEntry(NamedTuple):
    """A change or attempted change.

    For a change that the system made, ``operator`` is ``system`` and
    ``evidence`` holds the figures that led to it.
    """

    sequence: int
    at_s: float
    operator: str
    change_id: str
    kind: str
    subject: str
    base_revision: int | None
    revision: int
    outcome: str
    message: str = ""
    difference: tuple[str, ...] = ()
    evidence: str = ""


class AuditPage(NamedTuple):
    """A page of audit entries.

    A request with ``after`` set to ``next_after`` returns the next page.
    """

    entries: tuple[AuditEntry, ...]
    next_after: int
    more: bool = False


class BillRow(NamedTuple):
    """A charge of the ledger; a request key has exactly one."""

    sequence: int
    at_s: float
    customer: str
    request_key: str
    version: str
    cost_micros: int
    input_tokens: int
    output_tokens: int


class BillPage(NamedTuple):
    """A page of charges.

    A request with ``after`` set to ``next_after`` returns the next page.
    """

    rows: tuple[BillRow, ...]
    next_after: int
    more: bool = False


class NodeRow(NamedTuple):
    """An entry process and the state of its configuration lease."""

    vm: str
    data_centre: str
    address: str
    state: Literal["serving", "no-lease", "draining", "silent"]
    revision: int
    lease_left_ms: int
    control: str = ""
    open_requests: int = 0


class BackendRow(NamedTuple):
    """A backend server as it announced itself."""

    name: str
    kind: str
    address: str
    data_centre: str
    versions: tuple[str, ...]
    state: Literal["serving", "draining", "leaving", "expired"]
    capacity: int
    running: int = 0
    queued: int = 0
    announced_ms_ago: int = 0


class RoomRow(NamedTuple):
    """The load of a backend server that reports its slowness.

    ``requests`` and ``tokens`` are those in flight there from all entries.
    The figures before them are the newest that the server reported to an
    entry. None stands for what no entry has reported in the last seconds.
    """

    name: str
    serves: tuple[str, ...]
    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    slowness_percent: int | None = None
    age_ms: int | None = None
    requests: int | None = None
    tokens: int | None = None


class RolloutRow(NamedTuple):
    """A roll-out's committed progress and the reason for its state."""

    model: str
    from_version: str
    to_version: str
    state: str
    step: int
    share: float
    reason: str = ""


class Explanation(NamedTuple):
    """Lines of text on a subject's current state and the reasons for it.

    The subject is a version identity, model, customer, VM or backend
    server name, or ``customer/request-key`` for one request.
    """

    subject: str
    lines: tuple[str, ...]


class TransferAnswer(NamedTuple):
    """Which voter leads after a transfer of leadership."""

    leader: str
    term: int


__all__ = [
    "AuditEntry",
    "AuditPage",
    "BackendRow",
    "BillPage",
    "BillRow",
    "CHANGE_KINDS",
    "ChangeAnswer",
    "ChangeKind",
    "ChangeRequest",
    "Conflict",
    "DeclarationsAnswer",
    "Explanation",
    "InForceAnswer",
    "NodeRow",
    "OperatorIdentity",
    "ReplaceVoterRequest",
    "Role",
    "ROLES",
    "RolloutRow",
    "RoomRow",
    "StatusAnswer",
    "TransferAnswer",
    "VoterRow",
]
