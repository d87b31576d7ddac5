"""State of a running member and the changes that must be durable.

Every durable change goes through the functions of this module. They add
records to the open batch and hold back the messages that must not leave
before that batch is synced.
"""

from __future__ import annotations

from collections import deque
from enum import StrEnum
import random
from typing import NamedTuple

from sycamorestand_consensus.errors import SafetyViolated
from sycamorestand_consensus.log import MemoryLog
from sycamorestand_consensus.membership import decode_membership
from sycamorestand_consensus.messages import Batch
from sycamorestand_consensus.messages import Body
from sycamorestand_consensus.messages import Entry
from sycamorestand_consensus.messages import EntryKind
from sycamorestand_consensus.messages import HardState
from sycamorestand_consensus.messages import LogAppend
from sycamorestand_consensus.messages import LogTruncate
from sycamorestand_consensus.messages import Membership
from sycamorestand_consensus.messages import Message
from sycamorestand_consensus.messages import Record
from sycamorestand_consensus.messages import Recovered
from sycamorestand_consensus.messages import SaveSnapshot
from sycamorestand_consensus.messages import Snapshot
from sycamorestand_consensus.progress import Barrier
from sycamorestand_consensus.progress import Progress
from sycamorestand_consensus.progress import Transfer
from sycamorestand_consensus.settings import ReplicaSettings


class Role(StrEnum):
    """Raft role of a member in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class _InflightBatch(NamedTuple):
    sequence: int
    epoch: int
    last_index: int


class RaftState:
    """State of one member; the protocol's rules are in other modules.

    ``stable_index`` is the last entry known to be synced. Entries up to
    ``emitted_index`` were returned as committed or are in an installed
    snapshot. ``epoch`` counts truncations and resets of the log; batches
    of an earlier epoch do not advance ``stable_index``. ``open_sequence``
    is the number of the batch that collects records, ``snapshot_sequence``
    that of the batch with the newest snapshot.
    """

    def __init__(
        self,
        member_id: str,
        settings: ReplicaSettings,
        seed: int,
        recovered: Recovered,
        now_s: float,
    ) -> None:
        """Start as a follower with the state recovered from disk."""
        self.member_id = member_id
        self.settings = settings
        self.random = random.Random(seed)
        self.now_s = now_s
        self.blocked = False

        self.hard = recovered.hard
        self.snapshot = recovered.snapshot
        self.log = MemoryLog(
            recovered.snapshot.last_index, recovered.snapshot.last_term
        )
        self.memberships = [
            (recovered.snapshot.last_index, recovered.snapshot.membership)
        ]
        self.commit_index = recovered.snapshot.last_index
        self.emitted_index = recovered.snapshot.last_index
        self.install: Snapshot | None = None

        self.role = Role.FOLLOWER
        self.leader_id = ""
        self.started_s = now_s
        self.term_led_before_start = (
            recovered.hard.term if recovered.hard.led else 0
        )
        self.promise_until_s = now_s
        self.election_deadline_s = now_s
        self.votes: dict[str, bool] = {}
        # When the votes of the newest campaigns were requested, by term and
        # kind, and how long the newest vote took to arrive.
        self.requested_s: dict[tuple[int, bool], float] = {}
        self.vote_delay_s = 0.0
        self.transfer_campaign = False
        self.incoming_snapshot: tuple[int, int, bytearray] | None = None

        self.progress: dict[str, Progress] = {}
        self.heartbeat_due_s = now_s
        self.term_start_index = 0
        self.lease_from_s = now_s
        self.round = 0
        self.barriers: list[Barrier] = []
        self.confirmed: list[Barrier] = []
        self.transfer: Transfer | None = None

        self.epoch = 0
        self.open_sequence = 1
        self.synced_sequence = 0
        self.hard_state_sequence = 0
        self.snapshot_sequence = 0
        self.records: list[Record] = []
        self.inflight_batches: deque[_InflightBatch] = deque()
        self.held_messages: deque[tuple[int, Message]] = deque()
        self.outgoing: list[Message] = []
        self.loopback: deque[Message] = deque()

        self.log.append(recovered.entries)
        _record_memberships(self, recovered.entries)
        self.stable_index = self.log.last_index

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.hard.term

    @property
    def membership(self) -> Membership:
        """Return the membership in effect, which is the last in the log."""
        return self.memberships[-1][1]


def is_synced(state: RaftState) -> bool:
    """Return whether everything recorded so far is on disk."""
    return not state.records and (
        state.synced_sequence == state.open_sequence - 1
    )


def is_snapshot_synced(state: RaftState) -> bool:
    """Return whether the newest snapshot is on disk."""
    return state.synced_sequence >= state.snapshot_sequence


def is_backlogged(state: RaftState) -> bool:
    """Return whether too much of the log waits for this member's disk."""
    unsynced_bytes = state.log.size_after(state.stable_index)
    return unsynced_bytes > state.settings.max_backlog_bytes


def send_now(state: RaftState, to: str, body: Body) -> None:
    """Send a message that does not depend on unsynced records."""
    _enqueue_message(state, _make_message(state, to, body))


def send_after_sync(state: RaftState, to: str, body: Body) -> None:
    """Send a message once everything recorded so far is synced.

    A crash could erase a vote or an acknowledgement that was sent
    earlier: the member would vote twice in one term, or the leader would
    count an entry that a majority no longer holds.
    """
    message = _make_message(state, to, body)
    if is_synced(state):
        _enqueue_message(state, message)
        return
    last = state.open_sequence - (0 if state.records else 1)
    state.held_messages.append((last, message))


def send_after_term_sync(state: RaftState, to: str, body: Body) -> None:
    """Send a message once the term and vote are synced.

    Unlike ``send_after_sync``, it does not wait for entries.
    """
    if state.synced_sequence >= state.hard_state_sequence:
        send_now(state, to, body)
    else:
        send_after_sync(state, to, body)


def set_hard_state(state: RaftState, hard: HardState) -> None:
    """Change the term, vote or cluster and record the change."""
    if hard == state.hard:
        return
    state.hard = hard
    state.hard_state_sequence = state.open_sequence
    state.records.append(hard)


def append_entries(state: RaftState, entries: tuple[Entry, ...]) -> None:
    """Append entries to the log and record them."""
    state.log.append(entries)
    state.records.append(LogAppend(entries))
    _record_memberships(state, entries)


def truncate_from(state: RaftState, index: int) -> None:
    """Delete the entries from ``index`` on, which a new leader replaced.

    Raises ``SafetyViolated`` if the entry ``index`` is committed.
    """
    if index <= state.commit_index:
        raise SafetyViolated(
            f"entry {index} is committed and must not be overwritten"
        )
    state.log.truncate_from(index)
    state.records.append(LogTruncate(index))
    state.stable_index = min(state.stable_index, index - 1)
    # Writes in flight may still sync entries that this truncation
    # removes. The new epoch keeps them from being counted as synced.
    state.epoch += 1
    while state.memberships[-1][0] >= index:
        state.memberships.pop()


def save_snapshot(state: RaftState, snapshot: Snapshot) -> None:
    """Record a snapshot of this member's state and compact the log."""
    _record_snapshot(state, snapshot, keep_log=True)
    state.log.compact_to(max(_kept_index(state), state.log.start_index))
    _prune_memberships(state)


def install_snapshot(state: RaftState, snapshot: Snapshot) -> None:
    """Replace this member's state with the leader's snapshot."""
    keep_log = state.log.term_at(snapshot.last_index) == snapshot.last_term
    if keep_log:
        state.log.compact_to(snapshot.last_index)
        _prune_memberships(state)
    else:
        state.log.reset(snapshot.last_index, snapshot.last_term)
        state.memberships = [(snapshot.last_index, snapshot.membership)]
        state.stable_index = 0
        state.epoch += 1
    _record_snapshot(state, snapshot, keep_log=keep_log)
    state.commit_index = snapshot.last_index
    state.emitted_index = snapshot.last_index
    state.install = snapshot


def membership_at(state: RaftState, index: int) -> Membership:
    """Return the membership that was in effect at a committed index."""
    in_effect = state.memberships[0][1]
    for since, membership in state.memberships:
        if since <= index:
            in_effect = membership
    return in_effect


def close_batch(state: RaftState) -> Batch | None:
    """Close the open batch and return it; None if it is empty."""
    if not state.records:
        return None
    batch = Batch(state.open_sequence, tuple(state.records))
    state.records.clear()
    written = _InflightBatch(batch.sequence, state.epoch, state.log.last_index)
    state.inflight_batches.append(written)
    state.open_sequence += 1
    return batch


def mark_batches_synced(state: RaftState, sequence: int) -> None:
    """Record that batches up to ``sequence`` are synced.

    Sends the messages that waited for them and drops those of an
    earlier term.
    """
    while (
        state.inflight_batches
        and state.inflight_batches[0].sequence <= sequence
    ):
        written = state.inflight_batches.popleft()
        if _is_current(state, written):
            state.stable_index = written.last_index
    state.synced_sequence = max(state.synced_sequence, sequence)
    while state.held_messages and state.held_messages[0][0] <= sequence:
        _, message = state.held_messages.popleft()
        if message.term == state.term:
            _enqueue_message(state, message)


def _is_current(state: RaftState, written: _InflightBatch) -> bool:
    return written.epoch == state.epoch


def _make_message(state: RaftState, to: str, body: Body) -> Message:
    hard = state.hard
    return Message(state.member_id, to, hard.cluster, hard.term, body)


def _enqueue_message(state: RaftState, message: Message) -> None:
    if message.to == state.member_id:
        state.loopback.append(message)
    else:
        state.outgoing.append(message)


def _record_snapshot(
    state: RaftState, snapshot: Snapshot, *, keep_log: bool
) -> None:
    state.snapshot = snapshot
    state.snapshot_sequence = state.open_sequence
    state.records.append(SaveSnapshot(snapshot, keep_log))


def _kept_index(state: RaftState) -> int:
    """Return the index behind which the log is kept after a snapshot.

    A member that lags a little gets the entries behind it, and one that is
    receiving an earlier snapshot those that follow it, within limits. Without
    them it would need a whole snapshot once more.
    """
    settings = state.settings
    last = state.snapshot.last_index
    kept = max(
        last - settings.trailing_entries,
        state.log.index_before(last, settings.trailing_bytes),
    )
    limit = state.log.index_before(
        last, settings.snapshot_every_bytes + settings.trailing_bytes
    )
    received = [
        progress.snapshot.last_index
        for progress in state.progress.values()
        if progress.snapshot is not None
        and progress.snapshot.last_index >= limit
    ]
    return min([kept, *received])


def _record_memberships(state: RaftState, entries: tuple[Entry, ...]) -> None:
    for entry in entries:
        if entry.kind == EntryKind.MEMBERSHIP:
            membership = decode_membership(entry.data)
            state.memberships.append((entry.log_index, membership))


def _prune_memberships(state: RaftState) -> None:
    history = state.memberships
    while len(history) > 1 and history[1][0] <= state.log.start_index:
        history.pop(0)


__all__ = [
    "RaftState",
    "Role",
    "append_entries",
    "close_batch",
    "install_snapshot",
    "is_backlogged",
    "is_snapshot_synced",
    "is_synced",
    "mark_batches_synced",
    "membership_at",
    "save_snapshot",
    "send_after_sync",
    "send_after_term_sync",
    "send_now",
    "set_hard_state",
    "truncate_from",
]
