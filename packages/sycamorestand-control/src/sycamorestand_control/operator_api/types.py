"""Messages of the operators' interface, shared with ``sycactl``."""

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
    "rotate-session-key",
]

CHANGE_KINDS: Final[tuple[str, ...]] = get_args(ChangeKind)
ROLES: Final[tuple[str, ...]] = get_args(Role)


class OperatorIdentity(NamedTuple):
    """Who presented the key, and what that operator may do."""

    name: str
    role: Role


class ChangeRequest(NamedTuple):
    """One change of the configuration, safe to resend to any voter.

    ``change_id`` is chosen by the client and kept for its resends.
    ``base_revision`` is the revision that the change was worked out
    against; None skips the comparison. ``subject`` is a version identity
    for withdraw, reinstate, quarantine and lift-quarantine, a model for
    the roll-outs and a VM name for drain and undrain; it is empty for
    apply and rotate-session-key. ``operator`` is set by the interface
    from the presented key and never read from the body.
    """

    change_id: str
    kind: ChangeKind
    base_revision: int | None = None
    subject: str = ""
    declarations: Declarations | None = None
    message: str = ""
    operator: str = ""


class Conflict(NamedTuple):
    """A change made since the base revision: who changed what, when."""

    revision: int
    operator: str
    change_id: str
    summary: str


class ChangeAnswer(NamedTuple):
    """The outcome of a change.

    A ``duplicate`` repeats the first answer's revision. ``refused`` means
    that nothing was changed; ``findings`` or ``message`` say why.
    """

    outcome: Literal["accepted", "duplicate", "conflict", "refused"]
    revision: int
    message: str = ""
    findings: tuple[Finding, ...] = ()
    conflicts: tuple[Conflict, ...] = ()


class ReplaceVoterRequest(NamedTuple):
    """Admit one voter and remove another, safe to resend.

    ``operator`` is set by the interface from the presented key.
    """

    change_id: str
    old_id: str
    new_id: str
    operator: str = ""


class DeclarationsAnswer(NamedTuple):
    """The committed declarations and the revision that they stand for."""

    revision: int
    declarations: Declarations


class InForceAnswer(NamedTuple):
    """How far a revision has come: in force everywhere, or waiting.

    ``acknowledged`` of ``lease_holders`` live entries act on the revision
    or a later one. ``waiting`` names VMs whose entry has not confirmed
    and whose lease still runs.
    """

    revision: int
    in_force: bool
    lease_holders: int
    acknowledged: int
    waiting: tuple[str, ...] = ()


class VoterRow(NamedTuple):
    """One voter or learner as the answering control process sees it."""

    voter_id: str
    vm: str
    data_centre: str
    address: str
    role: Literal["leader", "follower", "candidate", "learner", "unknown"]
    applied_index: int
    silent_ms: int


class StatusAnswer(NamedTuple):
    """The control processes and the configuration at a glance.

    ``leader`` is a voter id and empty while there is none. ``alarms``
    are conditions that need an operator, such as a full disk.
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


class AuditEntry(NamedTuple):
    """One change or attempted change; ``operator`` may be ``system``.

    ``evidence`` holds the figures behind a change that the system made.
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
    """Entries after a sequence number; ``next_after`` continues them."""

    entries: tuple[AuditEntry, ...]
    next_after: int
    more: bool = False


class BillRow(NamedTuple):
    """One charge of the ledger: exactly one for a request key."""

    sequence: int
    at_s: float
    customer: str
    request_key: str
    version: str
    cost_micros: int
    input_tokens: int
    output_tokens: int


class BillPage(NamedTuple):
    """Charges after a sequence number; ``next_after`` continues them."""

    rows: tuple[BillRow, ...]
    next_after: int
    more: bool = False


class NodeRow(NamedTuple):
    """One entry process and the state of its configuration lease."""

    vm: str
    data_centre: str
    address: str
    state: Literal["serving", "no-lease", "draining", "silent"]
    revision: int
    lease_left_ms: int
    control: str = ""
    open_requests: int = 0


class BackendRow(NamedTuple):
    """One backend server as it announced itself."""

    name: str
    kind: str
    address: str
    data_centre: str
    versions: tuple[str, ...]
    state: Literal["serving", "leaving", "expired"]
    capacity: int
    running: int = 0
    queued: int = 0
    announced_ms_ago: int = 0


class RolloutRow(NamedTuple):
    """A roll-out's committed progress and why it stands where it does."""

    model: str
    from_version: str
    to_version: str
    state: str
    step: int
    share: float
    reason: str = ""


class Explanation(NamedTuple):
    """Why the system treats a subject as it does, as lines of text.

    The subject is a version identity, model, profile, customer, VM or
    backend server name, or ``customer/request-key`` for one request.
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
    "StatusAnswer",
    "TransferAnswer",
    "VoterRow",
]
