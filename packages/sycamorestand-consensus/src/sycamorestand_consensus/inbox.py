"""Which messages a member heeds, and what their terms make of it."""

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
    """Take in one message."""
    if message.to != state.member_id or not _is_of_group(state, message):
        return
    body = message.body
    if isinstance(body, Append | SnapshotChunk):
        _from_leader(state, message, body)
    elif isinstance(body, VoteRequest):
        _from_candidate(state, message, body)
    elif isinstance(body, TimeoutNow):
        _order_to_campaign(state, message)
    else:
        _answer(state, message, body)


def _is_of_group(state: RaftState, message: Message) -> bool:
    if message.cluster == "":
        return False
    if state.hard.cluster != "":
        return message.cluster == state.hard.cluster
    return isinstance(message.body, Append | SnapshotChunk)


def _from_leader(
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


def _from_candidate(
    state: RaftState, message: Message, request: VoteRequest
) -> None:
    passes = request.transfer or ends_promise(state, request)
    bound = has_active_promise(state) and not passes
    if request.pre:
        on_vote_request(state, message, request, bound)
        return
    if bound:
        # Not even the term is taken over: a leader whose majority is
        # intact would otherwise be deposed by its own followers.
        return
    if message.term > state.term:
        become_follower(state, message.term, "")
    if message.term == state.term:
        on_vote_request(state, message, request, bound)


def _order_to_campaign(state: RaftState, message: Message) -> None:
    if message.term != state.term or state.leader_id != message.sender:
        return
    if state.role == Role.FOLLOWER and can_campaign(state):
        start_campaign(state, transfer=True)


def _answer(
    state: RaftState,
    message: Message,
    body: VoteReply | AppendReply | SnapshotReply,
) -> None:
    known = find_member(state.membership, message.sender)
    if known is None:
        # A member that was removed, or whose disk was replaced, is not
        # counted and cannot depose a leader with a term of its own.
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
