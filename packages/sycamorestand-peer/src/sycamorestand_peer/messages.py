"""Every message between the system's own processes, as typed data."""

from __future__ import annotations

from typing import NamedTuple

from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.in_force import InForce
from sycamorestand_model.nodes import EntryAddress


class Heartbeat(NamedTuple):
    """Keeps a link's echo moving while nothing else is sent."""


class LeaseRequest(NamedTuple):
    """An entry asks its control process for a configuration lease.

    ``sent_at_s`` is the entry's own clock and comes back in the grant,
    which counts from there. ``directory_version`` belongs to
    ``directory_origin``, the incarnation of the control process.
    """

    address: EntryAddress
    incarnation: int
    sent_at_s: float
    acked_revision: int
    directory_origin: int = 0
    directory_version: int = 0


class LeaseGrantMessage(NamedTuple):
    """A lease of ``length_s`` counted from the request's ``sent_at_s``."""

    sent_at_s: float
    length_s: float
    revision: int


class LeaseDenied(NamedTuple):
    """No lease now, and the control processes that may give one."""

    sent_at_s: float
    reason: str
    controls: tuple[str, ...]


class ConfigurationPush(NamedTuple):
    """A revision for an entry to apply and acknowledge."""

    in_force: InForce


class DirectoryUpdate(NamedTuple):
    """A change of the directory of backend servers.

    A ``full`` update replaces all; any other applies only on top of
    ``from_version``. ``digest`` is over the result, to find gaps.
    """

    origin: int
    from_version: int
    to_version: int
    full: bool
    announcements: tuple[Announcement, ...]
    removed: tuple[str, ...]
    digest: str


class DirectoryResync(NamedTuple):
    """An entry asks for the whole directory after a gap."""

    origin: int
    version: int


class AnnouncementRelay(NamedTuple):
    """An announcement on its way to every control process.

    ``received_age_s`` is how long ago the first process received it, so
    that a relayed lease does not start anew.
    """

    announcement: Announcement
    received_age_s: float
    hops: int


class AddressList(NamedTuple):
    """Addresses that callers may use, most useful first."""

    addresses: tuple[EntryAddress, ...]


class NodeReport(NamedTuple):
    """One control process tells the others which entries it serves."""

    control: str
    addresses: tuple[EntryAddress, ...]


class LedgerBatch(NamedTuple):
    """Records of one ledger shard, encoded by the state package."""

    call_id: int
    shard: int
    command: bytes


class ProposalForward(NamedTuple):
    """A command for a group's leader, from another control process."""

    call_id: int
    group: int
    command: bytes


class CallReply(NamedTuple):
    """The answer to a call; ``failure`` is empty on success."""

    call_id: int
    failure: str
    payload: bytes


class ReplicaPayload(NamedTuple):
    """Bytes of the replicated log between two voters of a group."""

    group: int
    sender: str
    payload: bytes


class ControlLeaseRequest(NamedTuple):
    """A control process asks the leader for the lease it grants from."""

    control: str
    sent_at_s: float
    acked_revision: int


class ControlLeaseGranted(NamedTuple):
    """The leader's lease to a control process."""

    sent_at_s: float
    length_s: float
    revision: int


class VersionCounts(NamedTuple):
    """Counts of one version and request class since the last report."""

    version: str
    request_class: str
    requests: int
    errors: int
    rated: int
    passed: int
    first_token_ms_sum: float
    first_token_ms_max: float
    first_token_ms_squares: float


class SampleReport(NamedTuple):
    """What a VM saw of versions since its last report."""

    vm: str
    incarnation: int
    sequence: int
    counts: tuple[VersionCounts, ...]


class JoinRequest(NamedTuple):
    """A control process with a new disk asks to be a learner."""

    call_id: int
    member_id: str
    address: str
    vm: str


Message = (
    Heartbeat
    | LeaseRequest
    | LeaseGrantMessage
    | LeaseDenied
    | ConfigurationPush
    | DirectoryUpdate
    | DirectoryResync
    | AnnouncementRelay
    | AddressList
    | NodeReport
    | LedgerBatch
    | ProposalForward
    | CallReply
    | ReplicaPayload
    | ControlLeaseRequest
    | ControlLeaseGranted
    | SampleReport
    | JoinRequest
)

__all__ = [
    "AddressList",
    "AnnouncementRelay",
    "CallReply",
    "ConfigurationPush",
    "ControlLeaseGranted",
    "ControlLeaseRequest",
    "DirectoryResync",
    "DirectoryUpdate",
    "Heartbeat",
    "JoinRequest",
    "LeaseDenied",
    "LeaseGrantMessage",
    "LeaseRequest",
    "LedgerBatch",
    "Message",
    "NodeReport",
    "ProposalForward",
    "ReplicaPayload",
    "SampleReport",
    "VersionCounts",
]
