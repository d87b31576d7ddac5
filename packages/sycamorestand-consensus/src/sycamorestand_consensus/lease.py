"""Leader leases, which rest on the followers' promises not to vote.

A follower that hears from a leader promises not to vote for
``election_min_s``. Once a majority has answered a message, the leader
knows that no other member can win an election until ``election_min_s``
after it *sent* that message, and claims a lease for the shorter
``lease_s``. The difference covers clocks that run at different rates.
Promises are never withdrawn: a leader that steps down keeps its own
promise, and a member that restarts assumes that it made one just before
it stopped. So everything that was granted under a lease expires before
another leader holds a lease.

Only the leader that held a lease can declare that it ended sooner, and
only after its own restart: its claims were in memory and are gone.
Without this rule a restart of all members would interrupt the service for
at least ``election_min_s``, before which no member may vote.
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
    """Promise the current leader not to vote for ``election_min_s``."""
    until_s = state.now_s + state.settings.election_min_s
    state.promise_until_s = max(state.promise_until_s, until_s)


def assume_promise(state: RaftState) -> None:
    """Renew a promise that a restart may have erased from memory.

    The member may have answered a leader just before it stopped, and the
    leader's lease may depend on that reply.
    """
    promise_to_leader(state)


def has_active_promise(state: RaftState) -> bool:
    """Return whether a vote now could violate a leader's lease."""
    until_s = state.promise_until_s
    if state.role == Role.LEADER:
        quorum_until_s = quorum_sent_s(state) + state.settings.election_min_s
        until_s = max(until_s, quorum_until_s)
    return state.now_s < until_s


def record_leadership(state: RaftState) -> None:
    """Record that this member leads, once it may claim a lease.

    Before that, a lease of the previous leader may still be running, and
    after a restart this member could not tell whether it has ended.
    """
    if not state.hard.led and state.now_s >= state.lease_from_s:
        set_hard_state(state, state.hard._replace(led=True))


def ended_term(state: RaftState, *, pre: bool) -> int:
    """Return the term whose lease ended with this member's restart.

    Only the election that directly follows that term announces it; later
    ones return 0, since another member may have led in between.
    """
    campaign_term = state.term + 1 if pre else state.term
    follows = campaign_term == state.term_led_before_start + 1
    return state.term_led_before_start if follows else 0


def is_last_leader(state: RaftState) -> bool:
    """Return whether this member led the current term until it restarted."""
    return 0 < state.term_led_before_start == state.term


def ends_promise(state: RaftState, request: VoteRequest) -> bool:
    """Return whether the candidate declares the promised lease ended.

    This member made its promise to a leader of its own term or of an
    earlier one. Leases of terms before ``ended_term`` had expired when
    the leader of ``ended_term`` claimed its first lease. If this member's
    term is later than ``ended_term``, the candidate does not know about
    leases of that later term, so the promise stays.
    """
    return request.ended_term >= max(1, state.term)


def quorum_sent_s(state: RaftState) -> float:
    """Return the latest send time that a majority has answered."""
    if not voters(state.membership):
        return state.lease_from_s

    def answered_s(member_id: str) -> float:
        if member_id == state.member_id:
            return state.now_s
        return state.progress[member_id].acked_sent_s

    return majority_value(state.membership, answered_s)


def lease_until_s(state: RaftState) -> float:
    """Return when the leader's lease ends, which may be in the past.

    Returns 0 if this member can hold no lease.
    """
    if state.role != Role.LEADER:
        return 0.0
    if state.commit_index < state.term_start_index:
        # Until an entry of the current term is committed, the membership
        # that defines the majority may itself be overwritten.
        return 0.0
    if state.transfer is not None and state.transfer.ordered:
        return 0.0
    if state.now_s < state.lease_from_s:
        return 0.0
    return quorum_sent_s(state) + state.settings.lease_s


def claim_lease_s(state: RaftState) -> float:
    """Return when the leader's lease ends and promise not to vote before.

    Without the promise a deposed leader could vote for a successor at
    once, while leases that were granted under its own are still running.
    The promise keeps the latest end that was claimed. A later call can
    return an earlier end, since the majority of a larger membership may
    have answered only earlier messages.
    """
    until_s = lease_until_s(state)
    state.promise_until_s = max(state.promise_until_s, until_s)
    return until_s


def lease_start_s(state: RaftState) -> float:
    """Return when a new leader may claim its first lease.

    A leadership transfer bypasses the promises, so its winner waits until
    any lease of the old leader has expired, even on the slowest clock
    within ``CLOCK_RATE_MARGIN``.
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
    "has_active_promise",
    "is_last_leader",
    "lease_start_s",
    "lease_until_s",
    "promise_to_leader",
    "quorum_sent_s",
    "record_leadership",
]
