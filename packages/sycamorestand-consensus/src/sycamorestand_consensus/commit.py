"""Rules by which a leader commits entries and confirms reads."""

from __future__ import annotations

from collections.abc import Callable

from sycamorestand_consensus.membership import majority_value
from sycamorestand_consensus.membership import voters
from sycamorestand_consensus.progress import Barrier
from sycamorestand_consensus.raft_state import RaftState
from sycamorestand_consensus.raft_state import Role


def advance_commit(state: RaftState) -> None:
    """Commit the entries that a majority of voters has synced."""
    if state.role != Role.LEADER or not voters(state.membership):
        return
    index = int(majority_value(state.membership, _synced_index(state)))
    if index > state.commit_index and is_from_current_term(state, index):
        state.commit_index = index


def is_from_current_term(state: RaftState, index: int) -> bool:
    """Return whether the entry is of the leader's current term.

    A leader that never received an entry of an earlier term can overwrite
    it even after a majority has synced it. For an entry of the current
    term this is impossible: a later leader needs a vote from that
    majority, so its log contains the entry and all entries before it.
    """
    return state.log.term_at(index) == state.term


def confirm_barriers(state: RaftState) -> None:
    """Confirm the read barriers whose round a majority has answered."""
    if not state.barriers:
        return
    reached = majority_value(state.membership, _answered_round(state))
    waiting: list[Barrier] = []
    for barrier in state.barriers:
        target = state.confirmed if barrier.round <= reached else waiting
        target.append(barrier)
    state.barriers = waiting


def _synced_index(state: RaftState) -> Callable[[str], float]:
    def synced_index(member_id: str) -> float:
        if member_id == state.member_id:
            return state.stable_index
        return state.progress[member_id].match_index

    return synced_index


def _answered_round(state: RaftState) -> Callable[[str], float]:
    def answered_round(member_id: str) -> float:
        if member_id == state.member_id:
            return state.round
        return state.progress[member_id].acked_round

    return answered_round


__all__ = [
    "advance_commit",
    "confirm_barriers",
    "is_from_current_term",
]
