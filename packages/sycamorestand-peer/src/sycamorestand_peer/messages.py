"""The messages between the system's own processes."""

from __future__ import annotations

from typing import NamedTuple

from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.entry_reports import EntryAddress
from sycamorestand_model.entry_reports import RatingCount
from sycamorestand_model.entry_reports import ServerOutcomes
from sycamorestand_model.prompt_parts import BlockedPart
from sycamorestand_model.prompt_parts import CustomerPart
from sycamorestand_model.prompt_parts import Suspect
from sycamorestand_model.server_loads import EntryLoad
from sycamorestand_model.server_loads import SharedLoad


class Heartbeat(NamedTuple):
    """Carries a link's echo while no other message is sent."""


class LeaseRequest(NamedTuple):
    """A request of an entry to its control process for a lease.

    ``sent_at_s`` is the entry's own clock. The grant returns it, and the
    lease is counted from it. ``sequence`` counts the entry's requests.
    """

    address: EntryAddress
    incarnation: int
    sequence: int
    sent_at_s: float
    acked_revision: int


class LeaseGrantMessage(NamedTuple):
    """A lease of ``length_s`` from the request's ``sent_at_s`` on."""

    sent_at_s: float
    length_s: float
    revision: int


class EntryCount(NamedTuple):
    """The number of entries, sent with each lease.

    Each entry divides the limits that all entries share by this number.
    ``rank`` is that of the receiver among their names, from 0 on.
    """

    entries: int
    rank: int = 0


class LeaseDenied(NamedTuple):
    """The refusal of a lease, with control processes that may grant one."""

    sent_at_s: float
    reason: str
    controls: tuple[str, ...]


class ConfigurationPush(NamedTuple):
    """A configuration revision for an entry to apply and acknowledge.

    `pack_configuration` encodes ``packed`` once for all entries.
    """

    revision: int
    packed: bytes


class TableUpdate(NamedTuple):
    """Encoded changes of a soft-state table, such as the backend servers."""

    table: str
    payload: bytes


class TableResync(NamedTuple):
    """A request for a whole table after a gap in its updates."""

    table: str


class AnnouncementRelay(NamedTuple):
    """A backend server's announcement, relayed by an entry to control."""

    announcement: Announcement


class AddressList(NamedTuple):
    """Entry addresses for callers, in order of preference."""

    addresses: tuple[EntryAddress, ...]


class ControlList(NamedTuple):
    """The voters' peer addresses, those nearest to the entry first."""

    addresses: tuple[str, ...]


class LedgerBatch(NamedTuple):
    """A command for one ledger shard, encoded by the state package."""

    call_id: int
    shard: int
    command: bytes


class ProposalForward(NamedTuple):
    """A command that a control process forwards to a group's leader."""

    call_id: int
    group: int
    command: bytes


class CallReply(NamedTuple):
    """The reply to a call; ``failure`` is empty on success."""

    call_id: int
    failure: str
    payload: bytes


class ReplicaPayload(NamedTuple):
    """An encoded message of the replicated log between voters of a group."""

    group: int
    sender: str
    payload: bytes


class ControlLeaseRequest(NamedTuple):
    """A request of a control process to the leader for a lease.

    The control process grants leases to entries only within this lease. It
    had ``held_revision`` after the entry ``applied_index`` of the log; 0
    comes from a release that does not tell.
    """

    control: str
    sent_at_s: float
    acked_revision: int
    held_revision: int
    applied_index: int = 0


class Query(NamedTuple):
    """A query that only the leader can answer, with encoded fields."""

    call_id: int
    kind: str
    payload: bytes


class ControlLeaseGranted(NamedTuple):
    """The leader's grant of a lease to a control process."""

    sent_at_s: float
    length_s: float
    revision: int


class SampleReport(NamedTuple):
    """A VM's samples of versions since its last report, as encoded rows.

    ``sequence`` increases with each report, so that duplicates are dropped.
    """

    vm: str
    incarnation: int
    sequence: int
    rows: bytes
    ratings: tuple[RatingCount, ...] = ()


class SharedRatings(NamedTuple):
    """Ratings that other entries received since the previous message."""

    ratings: tuple[RatingCount, ...]


class SessionsStay(NamedTuple):
    """Sessions that keep the version in use during a step of a roll-out.

    An entry sends them to its control process, which forwards them to all
    others. ``step`` is a step of the roll-out of ``version`` of ``service``.
    ``places`` are checksums of the sessions' names, by which a step of the
    roll-out selects sessions.
    """

    service: str
    version: str
    step: int
    places: tuple[int, ...]


class ServerEnded(NamedTuple):
    """A backend server that ended, with what it had of the sender's requests.

    An entry sends it to its control process, which forwards it to the others.
    It is sent more than once. ``incarnation`` is that of the server,
    ``process`` the id of the entry process that had the requests.
    """

    server: str
    incarnation: int
    process: str
    suspects: tuple[Suspect, ...]


class EndsWanted(NamedTuple):
    """The question for what others know of servers' ends.

    A new leader asks the other control processes, and a control process the
    entries that move to it. It is answered by `ServerEnded` messages.
    """


class PartsReport(NamedTuple):
    """What became of requests with watched or blocked prompt parts.

    Servers have begun to answer requests with the parts in ``sound`` and live
    on, and requests with those in ``refused`` were refused. ``process`` is
    the id of the entry process.
    """

    process: str
    sound: tuple[CustomerPart, ...]
    refused: tuple[CustomerPart, ...]


class ServerBoot(NamedTuple):
    """One start of a backend server."""

    server: str
    incarnation: int


class PartsWatched(NamedTuple):
    """The prompt parts of which control asks whether servers answer them.

    Those in ``blamed`` are about to be blocked, as soon as there is a leader.
    Those in ``cleared`` were, until another cause showed. Entries tell what
    has left the servers in ``ended``, of whose end some entry has told lately.
    """

    parts: tuple[str, ...]
    blamed: dict[str, BlockedPart] = {}
    cleared: tuple[str, ...] = ()
    ended: tuple[ServerBoot, ...] = ()


class ArrivalTrade(NamedTuple):
    """Arrival budget that an entry gives to a pool or requests from it.

    The pool is that of the entry's control process. ``given`` and ``asked``
    hold arrivals by service. The reply returns ``number``.
    """

    number: int
    given: dict[str, float]
    asked: dict[str, float]


class ArrivalsLent(NamedTuple):
    """Arrivals that the pool lends to an entry, by service.

    ``number`` is that of the entry's `ArrivalTrade`.
    """

    number: int
    lent: dict[str, float]


class TokensWanted(NamedTuple):
    """A question of an entry for tokens of servers that name a limit.

    It has ``wanted`` requests for any of the ``servers``. ``limits_per_s`` are
    limits that the entry knows, by server; `NO_LIMIT` is one that was taken
    back. A control process that is not the leader forwards it for an
    ``entry``, which is that entry's peer address. The reply returns
    ``number``.
    """

    number: int
    servers: tuple[str, ...]
    wanted: int
    limits_per_s: dict[str, float]
    entry: str = ""


class TokensGranted(NamedTuple):
    """The leader's answer to a `TokensWanted`: tokens by server."""

    number: int
    tokens: dict[str, int]
    entry: str = ""


class LimitsNamed(NamedTuple):
    """The limits that servers name, in requests a second, for all entries."""

    limits_per_s: dict[str, float]


class ServersSeen(NamedTuple):
    """How requests of an entry ended, by server, since its last report.

    It holds servers that failed some, and those that are watched.
    """

    servers: dict[str, ServerOutcomes]


class ServersWatched(NamedTuple):
    """The servers of which entries shall tell successes too."""

    servers: tuple[str, ...]


class EntryLoads(NamedTuple):
    """What an entry reports of the servers' load to its control process.

    ``loads`` has the servers, by name, at which the entry has requests or
    that reported a load to it since its last report. A server at which its
    last request has ended is reported once more.
    """

    loads: dict[str, EntryLoad]


class SharedLoads(NamedTuple):
    """The load of servers, summed over entries, by server name.

    A control process sends it to its entries. With ``is_partial`` it goes
    to the other control processes and holds the sums of the sender's
    entries alone.
    """

    loads: dict[str, SharedLoad]
    is_partial: bool = False


class Relayed(NamedTuple):
    """A message between two processes that cannot reach each other.

    ``origin`` sends it to a relay, which forwards it to ``target`` with
    ``passed`` set. A message is forwarded only once.
    """

    origin: str
    target: str
    code: int
    body: bytes
    passed: bool = False


class JoinRequest(NamedTuple):
    """A request of a control process with a new disk to join as a learner."""

    call_id: int
    member_id: str
    address: str
    vm: str


class CreationAppointment(NamedTuple):
    """The right to create the cluster, for the disk with a member id."""

    member_id: str


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
    | TokensWanted
    | TokensGranted
    | LimitsNamed
    | ServersSeen
    | ServersWatched
    | ServerEnded
    | PartsReport
    | PartsWatched
    | EndsWanted
    | EntryLoads
    | SharedLoads
    | CreationAppointment
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
    "CreationAppointment",
    "ServerBoot",
    "EndsWanted",
    "EntryCount",
    "EntryLoads",
    "Heartbeat",
    "JoinRequest",
    "LeaseDenied",
    "LeaseGrantMessage",
    "LeaseRequest",
    "LimitsNamed",
    "LedgerBatch",
    "Message",
    "PartsReport",
    "PartsWatched",
    "ProposalForward",
    "Query",
    "Relayed",
    "ReplicaPayload",
    "SampleReport",
    "ServerEnded",
    "ServersSeen",
    "ServersWatched",
    "SessionsStay",
    "SharedLoads",
    "SharedRatings",
    "TableResync",
    "TableUpdate",
    "TokensGranted",
    "TokensWanted",
]
