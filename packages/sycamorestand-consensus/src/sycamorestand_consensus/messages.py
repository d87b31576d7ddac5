"""Entries, memberships and the messages that members exchange."""

from __future__ import annotations

from enum import IntEnum
from typing import Final
from typing import NamedTuple


class EntryKind(IntEnum):
    """What the data of an entry is."""

    NO_OP = 0
    COMMAND = 1
    MEMBERSHIP = 2


class Entry(NamedTuple):
    """One place in the log."""

    log_index: int
    term: int
    kind: int
    data: bytes


class Member(NamedTuple):
    """A member of the group; learners receive entries and do not vote."""

    member_id: str
    address: str
    voter: bool


Membership = tuple[Member, ...]


class HardState(NamedTuple):
    """What a member must remember before it answers.

    ``cluster`` names the group that the member joined, so that two groups
    which were bootstrapped by mistake never exchange entries. ``led`` says
    that the member has led ``term``.
    """

    term: int = 0
    voted_for: str = ""
    cluster: str = ""
    led: bool = False


class Snapshot(NamedTuple):
    """The state machine after ``last_index``, and the membership there."""

    last_index: int
    last_term: int
    membership: Membership
    data: bytes


class Stamp(NamedTuple):
    """When a leader sent a message; followers send it back unread.

    ``sent_s`` is on the leader's own clock and dates its lease; ``round``
    counts read barriers, as two events can share one clock reading.
    """

    round: int
    sent_s: float


class VoteRequest(NamedTuple):
    """Ask for a vote, or with ``pre`` whether one would be given.

    ``transfer`` says that the leader itself asked for this election. The
    candidate led ``ended_term``, 0 for none, and has restarted since, so
    that no lease of that term runs any more.
    """

    campaign_term: int
    last_index: int
    last_term: int
    pre: bool
    transfer: bool
    ended_term: int = 0


class VoteReply(NamedTuple):
    """Answer a vote request of the same ``campaign_term``."""

    campaign_term: int
    pre: bool
    granted: bool


class Append(NamedTuple):
    """Carry entries after ``prev_index``, or none as a heartbeat."""

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    stamp: Stamp


class AppendReply(NamedTuple):
    """Tell the leader what is synced, or where the logs part.

    ``match_index`` is synced and equal to the leader's log where
    ``success``. Otherwise ``rejected_index`` is the ``prev_index`` that
    did not match and the hint names the first index of the term found
    there, so that a whole term is skipped at once.
    """

    success: bool
    match_index: int
    rejected_index: int
    hint_index: int
    hint_term: int
    stamp: Stamp


class SnapshotChunk(NamedTuple):
    """A part of a snapshot for a member that is too far behind.

    Without data it is a heartbeat that asks where to go on.
    """

    last_index: int
    last_term: int
    membership: Membership
    offset_bytes: int
    total_bytes: int
    data: bytes
    stamp: Stamp


class SnapshotReply(NamedTuple):
    """Ask for the part of the snapshot from ``offset_bytes`` on."""

    last_index: int
    offset_bytes: int
    stamp: Stamp


class TimeoutNow(NamedTuple):
    """Tell a caught-up voter to start an election at once."""


Body = (
    VoteRequest
    | VoteReply
    | Append
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TimeoutNow
)


class Message(NamedTuple):
    """A body with sender, receiver and the sender's term."""

    sender: str
    to: str
    cluster: str
    term: int
    body: Body


class LogAppend(NamedTuple):
    """Write entries after those that are on disk."""

    entries: tuple[Entry, ...]


class LogTruncate(NamedTuple):
    """Drop the entries from ``from_index`` on."""

    from_index: int


class SaveSnapshot(NamedTuple):
    """Make a snapshot durable.

    Without ``keep_log`` every entry on disk is dropped as well: they part
    from what the snapshot contains.
    """

    snapshot: Snapshot
    keep_log: bool


Record = HardState | LogAppend | LogTruncate | SaveSnapshot


class Batch(NamedTuple):
    """Records to write and sync together, in the order of ``sequence``."""

    sequence: int
    records: tuple[Record, ...]


class Recovered(NamedTuple):
    """What a member found on its disk at the start.

    ``entries`` follow ``snapshot.last_index``.
    """

    hard: HardState
    snapshot: Snapshot
    entries: tuple[Entry, ...]


EMPTY_SNAPSHOT: Final = Snapshot(0, 0, (), b"")


__all__ = [
    "EMPTY_SNAPSHOT",
    "Append",
    "AppendReply",
    "Batch",
    "Body",
    "Entry",
    "EntryKind",
    "HardState",
    "LogAppend",
    "LogTruncate",
    "Member",
    "Membership",
    "Message",
    "Record",
    "Recovered",
    "SaveSnapshot",
    "Snapshot",
    "SnapshotChunk",
    "SnapshotReply",
    "Stamp",
    "TimeoutNow",
    "VoteReply",
    "VoteRequest",
]
