"""Every message between the system's own processes, as typed data."""

from __future__ import annotations

from typing import NamedTuple

from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.entry_reports import EntryAddress
from sycamorestand_model.entry_reports import RatingCount


class Heartbeat(NamedTuple):
    """Keeps a link's echo moving while nothing else is sent."""


class LeaseRequest(NamedTuple):
    """An entry asks its control process for a configuration lease.

    ``sent_at_s`` is the entry's own clock and comes back in the grant,
    which counts from there. ``sequence`` counts the entry's requests.
    """

    address: EntryAddress
    incarnation: int
    sequence: int
    sent_at_s: float
    acked_revision: int


class LeaseGrantMessage(NamedTuple):
    """A lease of ``length_s`` counted from the request's ``sent_at_s``."""

    sent_at_s: float
    length_s: float
    revision: int


class EntryCount(NamedTuple):
    """How many entries there are, told with each lease.

    What all entries may add together is divided by it.
    """

    entries: int


class LeaseDenied(NamedTuple):
    """No lease now, and the control processes that may give one."""

    sent_at_s: float
    reason: str
    controls: tuple[str, ...]


class ConfigurationPush(NamedTuple):
    """A revision for an entry to apply and acknowledge.

    ``packed`` is made once for all entries by `pack_configuration`.
    """

    revision: int
    packed: bytes


class TableUpdate(NamedTuple):
    """Encoded changes of a table of soft state, such as backend servers."""

    table: str
    payload: bytes


class TableResync(NamedTuple):
    """Asks for the whole table, after a gap in its changes."""

    table: str


class AnnouncementRelay(NamedTuple):
    """A backend server's announcement, from an entry to its control."""

    announcement: Announcement


class AddressList(NamedTuple):
    """Addresses that callers may use, most useful first."""

    addresses: tuple[EntryAddress, ...]


class ControlList(NamedTuple):
    """The voters' peer addresses, the nearest to the entry first."""

    addresses: tuple[str, ...]


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
    held_revision: int


class Query(NamedTuple):
    """A question that only the leader can answer, as encoded fields."""

    call_id: int
    kind: str
    payload: bytes


class ControlLeaseGranted(NamedTuple):
    """The leader's lease to a control process."""

    sent_at_s: float
    length_s: float
    revision: int


class SampleReport(NamedTuple):
    """What a VM saw of versions since its last report, as encoded rows.

    ``sequence`` grows with each report, so that a doubled one is dropped.
    """

    vm: str
    incarnation: int
    sequence: int
    rows: bytes
    ratings: tuple[RatingCount, ...] = ()


class SharedRatings(NamedTuple):
    """Ratings that other entries were given since the last such message."""

    ratings: tuple[RatingCount, ...]


class SessionsStay(NamedTuple):
    """Sessions that go on with the version in use during a roll-out's step.

    Entries tell their control process, which tells all the others. The step is
    that of ``version`` of ``service``.
    """

    service: str
    version: str
    step: int
    places: tuple[int, ...]


class ArrivalTrade(NamedTuple):
    """What an entry gives to its control process's pool, and asks of it.

    By service, in arrivals; ``number`` comes back in the answer.
    """

    number: int
    given: dict[str, float]
    asked: dict[str, float]


class ArrivalsLent(NamedTuple):
    """What the pool lends to the entry that sent a trade."""

    number: int
    lent: dict[str, float]


class Relayed(NamedTuple):
    """A message between two processes that are cut off from each other.

    ``origin`` sends it to a third process, which passes it on to
    ``target`` with ``passed`` set; it is passed on once and no further.
    """

    origin: str
    target: str
    code: int
    body: bytes
    passed: bool = False


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
    | EntryCount
    | LeaseDenied
    | ConfigurationPush
    | AnnouncementRelay
    | AddressList
    | LedgerBatch
    | ProposalForward
    | CallReply
    | ReplicaPayload
    | ControlLeaseRequest
    | ControlLeaseGranted
    | Query
    | SampleReport
    | SessionsStay
    | SharedRatings
    | TableResync
    | TableUpdate
    | JoinRequest
    | ControlList
    | Relayed
    | ArrivalTrade
    | ArrivalsLent
)

__all__ = [
    "AddressList",
    "AnnouncementRelay",
    "ArrivalTrade",
    "ArrivalsLent",
    "CallReply",
    "ConfigurationPush",
    "ControlLeaseGranted",
    "ControlLeaseRequest",
    "ControlList",
    "EntryCount",
    "Heartbeat",
    "JoinRequest",
    "LeaseDenied",
    "LeaseGrantMessage",
    "LeaseRequest",
    "LedgerBatch",
    "Message",
    "ProposalForward",
    "Query",
    "Relayed",
    "ReplicaPayload",
    "SampleReport",
    "SessionsStay",
    "SharedRatings",
    "TableResync",
    "TableUpdate",
]
