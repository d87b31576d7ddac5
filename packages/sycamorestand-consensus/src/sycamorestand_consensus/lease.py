"""Promises that keep a second leader away while a lease runs.

A follower that hears a leader promises not to vote for ``election_min_s``.
A leader whose message was answered by a majority thus knows that nobody
else can win an election until ``election_min_s`` after it *sent* that
message, and claims the shorter ``lease_s`` of it. The difference covers
clocks that run at different rates. Promises are not taken back: a leader
that steps down keeps its own, and a member that restarts assumes that it
made one just before it stopped. So whatever was granted under a lease
ends before another leader holds one.

One member can say sooner that a lease has ended: the leader that held it,
once it has restarted. Its claims were in its memory and are gone with it.
Without this a restart of all members costs ``election_min_s`` and more
before the first of them may vote, in which nobody is served.
"""

from __future__ import annotations

from sycamorestand_consensus.membership import majority_value
from sycamorestand_consensus.membership import voters
from sycamorestand_consensus.messages import VoteRequest
from sycamorestand_consensus.raft_state import RaftState
from sycamorestand_consensus.raft_state import Role
from sycamorestand_consensus.raft_state import set_hard_state
from sycamorestand_consensus.settings import CLOCK_RATE_MARGIN


def promise_to_leader(state: RaftState) -> None:
    """Promise the leader that was just heard not to vote for a while."""
    until_s = state.now_s + state.settings.election_min_s
    state.promise_until_s = max(state.promise_until_s, until_s)


def assume_promise(state: RaftState) -> None:
    """Keep a promise that may have been forgotten in a restart.

    The member may have answered a leader just before it stopped, and the
    leader's lease may rest on that answer.
    """
    promise_to_leader(state)


def has_active_promise(state: RaftState) -> bool:
    """Tell whether a vote now could break a leader's lease."""
    until_s = state.promise_until_s
    if state.role == Role.LEADER:
        quorum_until_s = quorum_sent_s(state) + state.settings.election_min_s
        until_s = max(until_s, quorum_until_s)
    return state.now_s < until_s


def record_leadership(state: RaftState) -> None:
    """Record that this member leads, once it may claim a lease.

    Until then a lease of the leader before it may still run, of whose end
    this member could say nothing after a restart.
    """
    if not state.hard.led and state.now_s >= state.lease_from_s:
        set_hard_state(state, state.hard._replace(led=True))


def ended_term(state: RaftState, *, pre: bool) -> int:
    """Return the term whose lease ended with this member's restart.

    It is told in the election that follows that term and in no later one:
    by then another member may lead.
    """
    campaign_term = state.term + 1 if pre else state.term
    follows = campaign_term == state.term_led_before_start + 1
    return state.term_led_before_start if follows else 0


def is_last_leader(state: RaftState) -> bool:
    """Tell whether this member led its term until it restarted."""
    return 0 < state.term_led_before_start == state.term


def ends_promise(state: RaftState, request: VoteRequest) -> bool:
    """Tell whether a candidate says that the lease promised to is over.

    What this member promised it promised to a leader of its own term or
    of an earlier one. The lease of an earlier one had run out when
    ``ended_term`` had its first; a leader of a later term is unknown to
    the candidate, and keeps its promise.
    """
    return request.ended_term >= max(1, state.term)


def quorum_sent_s(state: RaftState) -> float:
    """Return the send time that a majority of voters has answered."""
    if not voters(state.membership):
        return state.lease_from_s

    def answered_s(member_id: str) -> float:
        if member_id == state.member_id:
            return state.now_s
        return state.progress[member_id].acked_sent_s

    return majority_value(state.membership, answered_s)


def lease_until_s(state: RaftState) -> float:
    """Return when the leader's lease ends; it may have ended already."""
    if state.role != Role.LEADER:
        return 0.0
    if state.commit_index < state.term_start_index:
        # Until an entry of the own term is committed, the membership that
        # the majority was counted in may itself be replaced.
        return 0.0
    if state.transfer is not None and state.transfer.ordered:
        return 0.0
    if state.now_s < state.lease_from_s:
        return 0.0
    return quorum_sent_s(state) + state.settings.lease_s


def claim_lease_s(state: RaftState) -> float:
    """Return when the leader's lease ends, and promise to honour it.

    Without the promise a deposed leader could elect its successor at once
    while leases that were granted under its own still run. The promise
    keeps the longest claim: a majority of a larger membership may have
    answered earlier messages only.
    """
    until_s = lease_until_s(state)
    state.promise_until_s = max(state.promise_until_s, until_s)
    return until_s


def lease_start_s(state: RaftState) -> float:
    """Return when a new leader may claim its first lease.

    An election that the old leader asked for passes over the promises, so
    its winner waits until any lease of the old leader has run out, on the
    slowest clock that the margin allows for.
    """
    if not state.transfer_campaign:
        return state.now_s
    clock_ratio = (1 + CLOCK_RATE_MARGIN) / (1 - CLOCK_RATE_MARGIN)
    return state.now_s + state.settings.lease_s * clock_ratio


__all__ = [
    "assume_promise",
    "claim_lease_s",
    "ended_term",
    "ends_promise",
    "is_last_leader",
    "has_active_promise",
    "lease_start_s",
    "lease_until_s",
    "record_leadership",
    "promise_to_leader",
    "quorum_sent_s",
]
