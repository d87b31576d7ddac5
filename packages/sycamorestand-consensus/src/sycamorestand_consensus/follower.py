"""Handling of the leader's entries and snapshots by a follower."""

from __future__ import annotations

from sycamorestand_consensus.messages import Append
from sycamorestand_consensus.messages import AppendReply
from sycamorestand_consensus.messages import Entry
from sycamorestand_consensus.messages import Message
from sycamorestand_consensus.messages import Snapshot
from sycamorestand_consensus.messages import SnapshotChunk
from sycamorestand_consensus.messages import SnapshotReply
from sycamorestand_consensus.messages import Stamp
from sycamorestand_consensus.raft_state import append_entries
from sycamorestand_consensus.raft_state import install_snapshot
from sycamorestand_consensus.raft_state import is_backlogged
from sycamorestand_consensus.raft_state import RaftState
from sycamorestand_consensus.raft_state import send_after_sync
from sycamorestand_consensus.raft_state import send_after_term_sync
from sycamorestand_consensus.raft_state import truncate_from


def on_append(state: RaftState, message: Message, append: Append) -> None:
    """Append entries from the leader and reply once they are synced."""
    if append.entries and (state.blocked or is_backlogged(state)):
        # Entries are dropped while the disk is full or hangs, since queueing
        # them would fill the memory. The reply to the next heartbeat tells
        # the leader which entries are missing.
        return
    append = _skip_snapshot_entries(state, append)
    if state.log.term_at(append.prev_index) != append.prev_term:
        _reply_mismatch(state, message.sender, append)
        return
    _append_new_entries(state, append.entries)
    matched = append.prev_index + len(append.entries)
    state.commit_index = max(
        state.commit_index, min(append.commit_index, matched)
    )
    if append.entries:
        _reply_match(state, message.sender, matched, append.stamp)
        return
    _reply_heartbeat(state, message.sender, matched, append.stamp)


def on_snapshot_chunk(
    state: RaftState, message: Message, chunk: SnapshotChunk
) -> None:
    """Collect a snapshot's chunks and install it once complete."""
    if state.blocked and chunk.data:
        return
    if chunk.last_index <= state.commit_index:
        state.incoming_snapshot = None
        _reply_match(state, message.sender, chunk.last_index, chunk.stamp)
        return
    collected = _collect_chunk(state, chunk)
    if len(collected) < chunk.total_bytes or state.blocked:
        reply = SnapshotReply(chunk.last_index, len(collected), chunk.stamp)
        send_after_sync(state, message.sender, reply)
        return
    snapshot = Snapshot(
        chunk.last_index, chunk.last_term, chunk.membership, bytes(collected)
    )
    state.incoming_snapshot = None
    install_snapshot(state, snapshot)
    _reply_match(state, message.sender, chunk.last_index, chunk.stamp)


def reply_stale_leader(state: RaftState, message: Message) -> None:
    """Tell a leader of an earlier term that a newer term has begun."""
    stamp = Stamp(0, 0.0)
    reply = AppendReply(False, 0, 0, 0, 0, stamp)
    send_after_sync(state, message.sender, reply)


def _skip_snapshot_entries(state: RaftState, append: Append) -> Append:
    start = state.log.start_index
    if append.prev_index >= start:
        return append
    # The entries that the snapshot covers are committed, so the leader's
    # log contains them too.
    kept = tuple(e for e in append.entries if e.log_index > start)
    return append._replace(
        prev_index=start, prev_term=state.log.start_term, entries=kept
    )


def _append_new_entries(state: RaftState, entries: tuple[Entry, ...]) -> None:
    for position, entry in enumerate(entries):
        own_term = state.log.term_at(entry.log_index)
        if own_term == entry.term:
            continue
        if own_term is not None:
            truncate_from(state, entry.log_index)
        append_entries(state, entries[position:])
        return


def _reply_match(
    state: RaftState, to: str, matched: int, stamp: Stamp
) -> None:
    reply = AppendReply(True, matched, 0, 0, 0, stamp)
    send_after_sync(state, to, reply)


def _reply_heartbeat(
    state: RaftState, to: str, matched: int, stamp: Stamp
) -> None:
    # The reply renews the leader's lease, so it does not wait for entries
    # that are being written. It acknowledges only those already synced.
    synced = min(matched, state.stable_index)
    reply = AppendReply(True, synced, 0, 0, 0, stamp)
    send_after_term_sync(state, to, reply)


def _reply_mismatch(state: RaftState, to: str, append: Append) -> None:
    last = state.log.last_index
    hint_index = last + 1
    hint_term = 0
    own_term = state.log.term_at(append.prev_index)
    if own_term is not None:
        hint_index = state.log.first_index_of_term_at(append.prev_index)
        hint_term = own_term
    reply = AppendReply(
        success=False,
        match_index=0,
        rejected_index=append.prev_index,
        hint_index=hint_index,
        hint_term=hint_term,
        stamp=append.stamp,
    )
    send_after_sync(state, to, reply)


def _collect_chunk(state: RaftState, chunk: SnapshotChunk) -> bytearray:
    incoming_snapshot = state.incoming_snapshot
    if incoming_snapshot is None or incoming_snapshot[:2] != (
        chunk.last_index,
        chunk.last_term,
    ):
        incoming_snapshot = (chunk.last_index, chunk.last_term, bytearray())
        state.incoming_snapshot = incoming_snapshot
    collected = incoming_snapshot[2]
    if chunk.offset_bytes == len(collected):
        collected.extend(chunk.data)
    return collected


__all__ = [
    "on_append",
    "on_snapshot_chunk",
    "reply_stale_leader",
]
