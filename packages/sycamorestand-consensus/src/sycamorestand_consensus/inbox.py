"""Dispatch of received messages by group, sender, term and type."""

from __future__ import annotations

from sycamorestand_consensus.election import become_follower
from sycamorestand_consensus.election import can_campaign
from sycamorestand_consensus.election import on_vote_reply
from sycamorestand_consensus.election import on_vote_request
from sycamorestand_consensus.election import set_election_deadline
from sycamorestand_consensus.election import start_campaign
from sycamorestand_consensus.errors import SafetyViolated
from sycamorestand_consensus.follower import on_append
from sycamorestand_consensus.follower import on_snapshot_chunk
from sycamorestand_consensus.follower import reply_stale_leader
from sycamorestand_consensus.lease import ends_promise
from sycamorestand_consensus.lease import has_active_promise
from sycamorestand_consensus.lease import promise_to_leader
from sycamorestand_consensus.membership import find_member
from sycamorestand_consensus.messages import Append
from sycamorestand_consensus.messages import AppendReply
from sycamorestand_consensus.messages import Message
from sycamorestand_consensus.messages import SnapshotChunk
from sycamorestand_consensus.messages import SnapshotReply
from sycamorestand_consensus.messages import TimeoutNow
from sycamorestand_consensus.messages import VoteReply
from sycamorestand_consensus.messages import VoteRequest
from sycamorestand_consensus.raft_state import RaftState
from sycamorestand_consensus.raft_state import Role
from sycamorestand_consensus.raft_state import set_hard_state
from sycamorestand_consensus.replication import on_append_reply
from sycamorestand_consensus.replication import on_snapshot_reply


def handle_message(state: RaftState, message: Message) -> None:
    """Process one message; ignore those of other groups."""
    if message.to != state.member_id or not _is_from_own_group(state, message):
        return
    body = message.body
    if isinstance(body, Append | SnapshotChunk):
        _handle_leader_message(state, message, body)
    elif isinstance(body, VoteRequest):
        _handle_vote_request(state, message, body)
    elif isinstance(body, TimeoutNow):
        _handle_timeout_now(state, message)
    else:
        _handle_reply(state, message, body)


def _is_from_own_group(state: RaftState, message: Message) -> bool:
    if message.cluster == "":
        return False
    if state.hard.cluster != "":
        return message.cluster == state.hard.cluster
    return isinstance(message.body, Append | SnapshotChunk)


def _handle_leader_message(
    state: RaftState, message: Message, body: Append | SnapshotChunk
) -> None:
    if message.term < state.term:
        reply_stale_leader(state, message)
        return
    if state.role == Role.LEADER and message.term == state.term:
        raise SafetyViolated(f"{message.sender} leads in the same term")
    become_follower(state, message.term, message.sender)
    if state.hard.cluster == "":
        set_hard_state(state, state.hard._replace(cluster=message.cluster))
    promise_to_leader(state)
    set_election_deadline(state)
    if isinstance(body, Append):
        on_append(state, message, body)
    else:
        on_snapshot_chunk(state, message, body)


def _handle_vote_request(
    state: RaftState, message: Message, request: VoteRequest
) -> None:
    bypasses_promise = request.transfer or ends_promise(state, request)
    promised = has_active_promise(state) and not bypasses_promise
    if request.pre:
        on_vote_request(state, message, request, promised)
        return
    if promised:
        # The term is not adopted either. Otherwise followers would depose
        # a leader that still has a majority.
        return
    if message.term > state.term:
        become_follower(state, message.term, "")
    if message.term == state.term:
        on_vote_request(state, message, request, promised)


def _handle_timeout_now(state: RaftState, message: Message) -> None:
    if message.term != state.term or state.leader_id != message.sender:
        return
    if state.role == Role.FOLLOWER and can_campaign(state):
        start_campaign(state, transfer=True)


def _handle_reply(
    state: RaftState,
    message: Message,
    body: VoteReply | AppendReply | SnapshotReply,
) -> None:
    member = find_member(state.membership, message.sender)
    if member is None:
        # Replies from a member that was removed, or whose disk was
        # replaced, do not count, and their higher term deposes no leader.
        return
    if message.term > state.term:
        become_follower(state, message.term, "")
        return
    if isinstance(body, VoteReply):
        on_vote_reply(state, message, body)
    elif message.term < state.term or state.role != Role.LEADER:
        return
    elif isinstance(body, AppendReply):
        on_append_reply(state, message, body)
    else:
        on_snapshot_reply(state, message, body)


__all__ = ["handle_message"]
