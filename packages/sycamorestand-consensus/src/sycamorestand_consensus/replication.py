"""Log replication from the leader to the other members.

The leader probes a member until their logs are known to match, then
pipelines entries without waiting for replies. A member whose next entry
was compacted away receives the snapshot in chunks. Every message carries
a stamp, so each reply also shows that the member is alive and renews the
lease.
"""

from __future__ import annotations

from sycamorestand_consensus.commit import advance_commit
from sycamorestand_consensus.messages import Append
from sycamorestand_consensus.messages import AppendReply
from sycamorestand_consensus.messages import Entry
from sycamorestand_consensus.messages import Message
from sycamorestand_consensus.messages import Snapshot
from sycamorestand_consensus.messages import SnapshotChunk
from sycamorestand_consensus.messages import SnapshotReply
from sycamorestand_consensus.messages import Stamp
from sycamorestand_consensus.progress import Progress
from sycamorestand_consensus.progress import SendMode
from sycamorestand_consensus.raft_state import RaftState
from sycamorestand_consensus.raft_state import send_now


def replicate(state: RaftState) -> None:
    """Send each member the entries that its send mode allows now."""
    for member_id, progress in state.progress.items():
        _send_entries(state, member_id, progress)


def send_heartbeats(state: RaftState) -> None:
    """Send a heartbeat to each member.

    A member that lost earlier messages rejects the heartbeat, so that
    the leader sends the entries again.
    """
    state.heartbeat_due_s = state.now_s + state.settings.heartbeat_s
    for member_id, progress in state.progress.items():
        if progress.mode == SendMode.SNAPSHOT:
            _send_chunk(state, member_id, progress, with_data=False)
        else:
            _send_append(state, member_id, progress, with_entries=False)


def refresh_progress(state: RaftState) -> None:
    """Add and remove progress records to match the membership."""
    other_ids = {m.member_id for m in state.membership}
    other_ids.discard(state.member_id)
    # Sorted, since the order of a set differs between processes and a run
    # that found a fault could not be replayed.
    for member_id in sorted(other_ids - state.progress.keys()):
        next_index = state.log.last_index + 1
        state.progress[member_id] = Progress(next_index, state.now_s)
    for member_id in state.progress.keys() - other_ids:
        del state.progress[member_id]


def restart_snapshots(state: RaftState) -> None:
    """Send the newest snapshot to members that receive a useless one.

    The log no longer holds what follows it. A member that is down would
    otherwise keep its snapshot in this one's memory.
    """
    for progress in state.progress.values():
        snapshot = progress.snapshot
        if snapshot is None or snapshot.last_index >= state.log.start_index:
            continue
        progress.snapshot = state.snapshot
        progress.offset_bytes = 0
        progress.awaiting_reply = False


def on_append_reply(
    state: RaftState, message: Message, reply: AppendReply
) -> None:
    """Record how far a member has synced, or where its log diverges."""
    progress = state.progress.get(message.sender)
    if progress is None:
        return
    _record_ack(progress, reply.stamp)
    if reply.success:
        _on_success(state, progress, reply)
    else:
        _on_mismatch(state, progress, reply)


def on_snapshot_reply(
    state: RaftState, message: Message, reply: SnapshotReply
) -> None:
    """Send the chunk of the snapshot that the member asks for."""
    progress = state.progress.get(message.sender)
    if progress is None:
        return
    _record_ack(progress, reply.stamp)
    snapshot = progress.snapshot
    if progress.mode != SendMode.SNAPSHOT or snapshot is None:
        return
    if reply.last_index != snapshot.last_index:
        return
    if reply.offset_bytes == progress.offset_bytes and progress.awaiting_reply:
        # The chunk may still be in flight. Sending it again for each
        # heartbeat that is answered meanwhile would duplicate it.
        progress.awaiting_reply = False
        return
    progress.offset_bytes = reply.offset_bytes
    _send_chunk(state, message.sender, progress, with_data=True)


def _record_ack(progress: Progress, stamp: Stamp) -> None:
    progress.acked_round = max(progress.acked_round, stamp.round)
    progress.acked_sent_s = max(progress.acked_sent_s, stamp.sent_s)


def _on_success(
    state: RaftState, progress: Progress, reply: AppendReply
) -> None:
    progress.match_index = max(progress.match_index, reply.match_index)
    inflight = progress.inflight
    while inflight and inflight[0] <= progress.match_index:
        inflight.popleft()
    if progress.mode == SendMode.PROBE:
        progress.mode = SendMode.PIPELINE
        progress.next_index = progress.match_index + 1
    elif progress.mode == SendMode.SNAPSHOT:
        _finish_snapshot(progress)
    advance_commit(state)


def _finish_snapshot(progress: Progress) -> None:
    snapshot = progress.snapshot
    if snapshot is None or progress.match_index < snapshot.last_index:
        return
    progress.snapshot = None
    progress.mode = SendMode.PIPELINE
    progress.next_index = progress.match_index + 1


def _on_mismatch(
    state: RaftState, progress: Progress, reply: AppendReply
) -> None:
    if progress.mode == SendMode.SNAPSHOT:
        return
    if reply.rejected_index <= progress.match_index:
        return
    if progress.mode == SendMode.PROBE and (
        reply.rejected_index != progress.next_index - 1
    ):
        return
    hint = _next_from_hint(state, reply)
    retry_index = min(hint, reply.rejected_index)
    progress.next_index = max(progress.match_index + 1, retry_index)
    progress.mode = SendMode.PROBE
    progress.awaiting_reply = False
    progress.inflight.clear()


def _next_from_hint(state: RaftState, reply: AppendReply) -> int:
    if reply.hint_term == 0:
        return reply.hint_index
    below = min(reply.rejected_index, state.log.last_index) + 1
    last = state.log.last_index_of_term(reply.hint_term, below)
    return reply.hint_index if last is None else last + 1


def _send_entries(
    state: RaftState, member_id: str, progress: Progress
) -> None:
    if progress.mode == SendMode.SNAPSHOT:
        return
    if progress.next_index <= state.log.start_index:
        _begin_snapshot(state, member_id, progress)
        return
    if progress.mode == SendMode.PROBE:
        if not progress.awaiting_reply:
            _send_append(state, member_id, progress, with_entries=True)
            progress.awaiting_reply = True
        return
    while progress.next_index <= state.log.last_index and _may_send_more(
        state, progress
    ):
        last = _send_append(state, member_id, progress, with_entries=True)
        progress.inflight.append(last)
        progress.next_index = last + 1


def _may_send_more(state: RaftState, progress: Progress) -> bool:
    settings = state.settings
    sent_bytes = state.log.size_between(
        progress.match_index + 1, progress.next_index - 1
    )
    return (
        len(progress.inflight) < settings.max_inflight_messages
        and sent_bytes < settings.max_inflight_bytes
    )


def _send_append(
    state: RaftState,
    member_id: str,
    progress: Progress,
    *,
    with_entries: bool,
) -> int:
    prev_index = progress.next_index - 1
    prev_term = state.log.term_at(prev_index)
    if prev_term is None:
        # The entry was compacted away in the meantime. The next call of
        # ``replicate`` starts the snapshot, whose first chunk serves as a
        # heartbeat.
        return prev_index
    entries: tuple[Entry, ...] = ()
    if with_entries:
        limit = state.settings.max_append_bytes
        entries = state.log.batch_from(progress.next_index, limit)
    body = Append(
        prev_index, prev_term, entries, state.commit_index, _stamp(state)
    )
    send_now(state, member_id, body)
    return prev_index + len(entries)


def _begin_snapshot(
    state: RaftState, member_id: str, progress: Progress
) -> None:
    progress.mode = SendMode.SNAPSHOT
    progress.snapshot = _snapshot_to_send(state)
    progress.offset_bytes = 0
    progress.inflight.clear()
    _send_chunk(state, member_id, progress, with_data=True)


def _snapshot_to_send(state: RaftState) -> Snapshot:
    """Return the newest snapshot, or one that others receive already.

    So at most two are in memory, as long as the log still holds what follows
    the older one.
    """
    useful = [
        progress.snapshot
        for progress in state.progress.values()
        if progress.snapshot is not None
        and progress.snapshot.last_index >= state.log.start_index
    ]
    return max(useful, default=state.snapshot, key=lambda s: s.last_index)


def _send_chunk(
    state: RaftState,
    member_id: str,
    progress: Progress,
    *,
    with_data: bool,
) -> None:
    snapshot = progress.snapshot
    if snapshot is None:
        return
    if with_data:
        progress.awaiting_reply = True
    start = progress.offset_bytes
    size = state.settings.snapshot_chunk_bytes if with_data else 0
    body = SnapshotChunk(
        last_index=snapshot.last_index,
        last_term=snapshot.last_term,
        membership=snapshot.membership,
        offset_bytes=start,
        total_bytes=len(snapshot.data),
        data=snapshot.data[start : start + size],
        stamp=_stamp(state),
    )
    send_now(state, member_id, body)


def _stamp(state: RaftState) -> Stamp:
    return Stamp(state.round, state.now_s)


__all__ = [
    "on_append_reply",
    "on_snapshot_reply",
    "refresh_progress",
    "replicate",
    "restart_snapshots",
    "send_heartbeats",
]
