"""Elections: candidacy, granting votes and counting them.

A member first holds a pre-vote and raises its term only if it could win.
So a member returns from a long partition with the term that it had before
and cannot depose a working leader.
"""

from __future__ import annotations

from typing import Final

from sycamorestand_consensus.lease import ended_term
from sycamorestand_consensus.lease import is_last_leader
from sycamorestand_consensus.lease import lease_start_s
from sycamorestand_consensus.membership import find_member
from sycamorestand_consensus.membership import voters
from sycamorestand_consensus.messages import Entry
from sycamorestand_consensus.messages import EntryKind
from sycamorestand_consensus.messages import HardState
from sycamorestand_consensus.messages import Message
from sycamorestand_consensus.messages import VoteReply
from sycamorestand_consensus.messages import VoteRequest
from sycamorestand_consensus.raft_state import append_entries
from sycamorestand_consensus.raft_state import RaftState
from sycamorestand_consensus.raft_state import Role
from sycamorestand_consensus.raft_state import send_after_sync
from sycamorestand_consensus.raft_state import send_now
from sycamorestand_consensus.raft_state import set_hard_state
from sycamorestand_consensus.replication import refresh_progress

# Bounds of the election timeout, in times that a vote takes to arrive.
MIN_TIMEOUT_DELAYS: Final = 2.0
MAX_TIMEOUT_DELAYS: Final = 6.0
MAX_VOTE_DELAY_S: Final = 2.0
MAX_REMEMBERED_REQUESTS: Final = 8


def set_election_deadline(state: RaftState) -> None:
    """Draw the next election timeout at random.

    Random timeouts make it rare that two candidates split the votes twice.
    They grow with the time that votes take: members that get little
    processor would otherwise campaign against each other before the votes
    of any of them have arrived, term after term. The last leader is the
    only member that has no promise to wait out after a restart. It retries
    every ``heartbeat_s`` until enough of the other members are up.
    """
    settings = state.settings
    delay_s = min(state.vote_delay_s, MAX_VOTE_DELAY_S)
    wait_s = state.random.uniform(
        max(settings.election_min_s, MIN_TIMEOUT_DELAYS * delay_s),
        max(settings.election_max_s, MAX_TIMEOUT_DELAYS * delay_s),
    )
    if _is_restarted_leader(state):
        wait_s = settings.heartbeat_s
    state.election_deadline_s = state.now_s + wait_s


def campaign_due_s(state: RaftState) -> float:
    """Return when this member campaigns unless it hears from a leader.

    A member waits until its promise to another leader expires. The last
    leader does not wait for its own promise after a restart, since that
    promise protected its own lease.
    """
    if _is_restarted_leader(state):
        return state.election_deadline_s
    return max(state.election_deadline_s, state.promise_until_s)


def _is_restarted_leader(state: RaftState) -> bool:
    """Return whether this is the last leader, shortly after its restart.

    After ``election_max_s`` the promises of the other members have
    expired, and any member with an up-to-date log may lead.
    """
    starting_s = state.now_s - state.started_s
    starting = starting_s < state.settings.election_max_s
    return starting and is_last_leader(state)


def become_follower(state: RaftState, term: int, leader_id: str) -> None:
    """Follow ``leader_id``, empty if it is unknown, in ``term``."""
    if term > state.term:
        cluster = state.hard.cluster
        set_hard_state(state, HardState(term, "", cluster))
    if leader_id:
        state.vote_delay_s = 0.0
    if state.role != Role.FOLLOWER:
        set_election_deadline(state)
    state.role = Role.FOLLOWER
    state.leader_id = leader_id
    state.votes.clear()
    state.progress.clear()
    state.barriers.clear()
    state.transfer = None
    state.transfer_campaign = False


def can_campaign(state: RaftState) -> bool:
    """Return whether this member is a voter whose disk is writable."""
    member = find_member(state.membership, state.member_id)
    return member is not None and member.voter and not state.blocked


def start_pre_vote(state: RaftState) -> None:
    """Ask for pre-votes, without raising the term."""
    set_election_deadline(state)
    state.role = Role.PRE_CANDIDATE
    state.leader_id = ""
    state.votes = {state.member_id: True}
    _request_votes(state, pre=True)
    _count_votes(state)


def start_campaign(state: RaftState, *, transfer: bool) -> None:
    """Raise the term, vote for itself and request the other votes.

    The requests also wait for the sync of that vote. A candidate that
    lost it in a crash could vote for another one in the same term.
    """
    set_election_deadline(state)
    state.role = Role.CANDIDATE
    state.leader_id = ""
    state.votes = {}
    state.transfer_campaign = transfer
    cluster = state.hard.cluster
    set_hard_state(state, HardState(state.term + 1, state.member_id, cluster))
    own_vote = VoteReply(state.term, pre=False, granted=True)
    send_after_sync(state, state.member_id, own_vote)
    _request_votes(state, pre=False)


def on_vote_request(
    state: RaftState, message: Message, request: VoteRequest, promised: bool
) -> None:
    """Grant or refuse a vote; the caller has adopted the term before.

    ``promised`` says that a promise to a leader forbids the vote.
    """
    granted = not promised and _can_grant_vote(state, message.sender, request)
    reply = VoteReply(request.campaign_term, request.pre, granted)
    if granted and not request.pre:
        cluster = state.hard.cluster
        set_hard_state(state, HardState(state.term, message.sender, cluster))
        set_election_deadline(state)
    send_after_sync(state, message.sender, reply)


def on_vote_reply(
    state: RaftState, message: Message, reply: VoteReply
) -> None:
    """Count a vote in the current election; ignore late replies."""
    _record_vote_delay(state, reply)
    expected = Role.PRE_CANDIDATE if reply.pre else Role.CANDIDATE
    campaign_term = state.term + 1 if reply.pre else state.term
    if state.role != expected or reply.campaign_term != campaign_term:
        return
    state.votes[message.sender] = reply.granted
    _count_votes(state)


def _record_vote_delay(state: RaftState, reply: VoteReply) -> None:
    requested_s = state.requested_s.get((reply.campaign_term, reply.pre))
    if requested_s is not None:
        state.vote_delay_s = state.now_s - requested_s


def _can_grant_vote(
    state: RaftState, candidate: str, request: VoteRequest
) -> bool:
    if state.blocked:
        return False
    # A member that is not in the membership of its own log has lost its
    # disk or was never admitted. Its empty log would let any candidate
    # win. A learner does vote when asked: an entry that it has not
    # received may have promoted it, and without its vote no candidate
    # could win.
    if find_member(state.membership, state.member_id) is None:
        return False
    if not _is_up_to_date(state, request):
        return False
    if request.pre:
        return request.campaign_term > state.term
    return request.campaign_term == state.term and (
        _has_vote_for(state, candidate)
    )


def _has_vote_for(state: RaftState, candidate: str) -> bool:
    return state.hard.voted_for in ("", candidate)


def _is_up_to_date(state: RaftState, request: VoteRequest) -> bool:
    theirs = (request.last_term, request.last_index)
    return theirs >= (state.log.last_term, state.log.last_index)


def _request_votes(state: RaftState, *, pre: bool) -> None:
    request = VoteRequest(
        campaign_term=state.term + 1 if pre else state.term,
        last_index=state.log.last_index,
        last_term=state.log.last_term,
        pre=pre,
        transfer=state.transfer_campaign and not pre,
        ended_term=ended_term(state, pre=pre),
    )
    state.requested_s[request.campaign_term, pre] = state.now_s
    if len(state.requested_s) > MAX_REMEMBERED_REQUESTS:
        del state.requested_s[next(iter(state.requested_s))]
    send = send_now if pre else send_after_sync
    for member_id in voters(state.membership):
        if member_id != state.member_id:
            send(state, member_id, request)


def _count_votes(state: RaftState) -> None:
    ids = voters(state.membership)
    granted = sum(state.votes.get(member_id, False) for member_id in ids)
    if granted <= len(ids) // 2:
        return
    if state.role == Role.PRE_CANDIDATE:
        start_campaign(state, transfer=False)
    else:
        _become_leader(state)


def _become_leader(state: RaftState) -> None:
    state.role = Role.LEADER
    state.leader_id = state.member_id
    state.votes.clear()
    state.lease_from_s = lease_start_s(state)
    state.transfer_campaign = False
    state.round += 1
    state.progress.clear()
    refresh_progress(state)
    # Entries of earlier terms are committed only through an entry of the
    # current term. Without this no-op they would wait for a proposal.
    index = state.log.last_index + 1
    state.term_start_index = index
    no_op = Entry(index, state.term, EntryKind.NO_OP, b"")
    append_entries(state, (no_op,))
    state.heartbeat_due_s = state.now_s + state.settings.heartbeat_s


__all__ = [
    "become_follower",
    "campaign_due_s",
    "can_campaign",
    "on_vote_reply",
    "on_vote_request",
    "set_election_deadline",
    "start_campaign",
    "start_pre_vote",
]
