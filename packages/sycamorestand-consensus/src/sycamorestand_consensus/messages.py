"""Log entries, memberships and the messages between members."""

from __future__ import annotations

from enum import IntEnum
from typing import Final
from typing import NamedTuple


class EntryKind(IntEnum):
    """Kind of a log entry, which determines how its data is read."""

    NO_OP = 0
    COMMAND = 1
    MEMBERSHIP = 2


class Entry(NamedTuple):
    """One entry of the log."""

    log_index: int
    term: int
    kind: int
    data: bytes


class Member(NamedTuple):
    """A member of the group; a learner receives entries but has no vote."""

    member_id: str
    address: str
    voter: bool


Membership = tuple[Member, ...]


class HardState(NamedTuple):
    """State that a member must sync before it answers a message.

    ``cluster`` identifies the group that the member joined, so that two
    groups that were bootstrapped by mistake never exchange entries.
    ``led`` is set once the member may claim a lease as leader of ``term``.
    """

    term: int = 0
    voted_for: str = ""
    cluster: str = ""
    led: bool = False


class Snapshot(NamedTuple):
    """State machine and membership after the entry ``last_index``."""

    last_index: int
    last_term: int
    membership: Membership
    data: bytes


class Stamp(NamedTuple):
    """Send time and round of a leader's message; replies return it as is.

    ``sent_s`` is a reading of the leader's clock, from which its lease
    counts. ``round`` counts read barriers, since two events can have the
    same clock reading.
    """

    round: int
    sent_s: float


class VoteRequest(NamedTuple):
    """Ask for a vote, or with ``pre`` for a pre-vote.

    ``transfer`` marks an election that the leader ordered itself. The
    candidate led ``ended_term`` (0 for none) and has restarted since, so
    that no lease of that term is running.
    """

    campaign_term: int
    last_index: int
    last_term: int
    pre: bool
    transfer: bool
    ended_term: int = 0


class VoteReply(NamedTuple):
    """Answer the vote request with the same ``campaign_term``."""

    campaign_term: int
    pre: bool
    granted: bool


class Append(NamedTuple):
    """Send the entries after ``prev_index``, or none as a heartbeat."""

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    stamp: Stamp


class AppendReply(NamedTuple):
    """Report how far the log is synced, or where it diverges.

    On ``success`` the follower's log is synced and equal to the leader's
    up to ``match_index``. Otherwise ``rejected_index`` is the
    ``prev_index`` that did not match, ``hint_term`` the term of the
    follower's entry there and ``hint_index`` the first index of that
    term, so that the leader skips a whole term at once. Without an entry
    there, ``hint_term`` is 0 and ``hint_index`` is one after the
    follower's last entry.
    """

    success: bool
    match_index: int
    rejected_index: int
    hint_index: int
    hint_term: int
    stamp: Stamp


class SnapshotChunk(NamedTuple):
    """Send a chunk of a snapshot to a member that lags too far behind.

    A chunk without data is a heartbeat that asks for the next offset.
    """

    last_index: int
    last_term: int
    membership: Membership
    offset_bytes: int
    total_bytes: int
    data: bytes
    stamp: Stamp


class SnapshotReply(NamedTuple):
    """Ask for the chunk of the snapshot that begins at ``offset_bytes``."""

    last_index: int
    offset_bytes: int
    stamp: Stamp


class TimeoutNow(NamedTuple):
    """Order a caught-up voter to start an election at once."""


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
    """A message body with its sender, its receiver and the sender's term."""

    sender: str
    to: str
    cluster: str
    term: int
    body: Body


class LogAppend(NamedTuple):
    """Write entries after the last entry on disk."""

    entries: tuple[Entry, ...]


class LogTruncate(NamedTuple):
    """Delete the entries from ``from_index`` on."""

    from_index: int


class SaveSnapshot(NamedTuple):
    """Make a snapshot durable.

    Unless ``keep_log`` is set, all entries on disk are deleted as well,
    since they diverge from the snapshot's history.
    """

    snapshot: Snapshot
    keep_log: bool


Record = HardState | LogAppend | LogTruncate | SaveSnapshot


class Batch(NamedTuple):
    """Records to write and sync together; ``sequence`` orders batches."""

    sequence: int
    records: tuple[Record, ...]


class Recovered(NamedTuple):
    """State that a member recovered from its disk when it started.

    ``entries`` begin after ``snapshot.last_index``.
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
