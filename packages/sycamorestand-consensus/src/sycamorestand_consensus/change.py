"""Membership changes and leadership transfers.

A change takes effect when it is appended, and only one may be uncommitted
at a time. If two memberships differ by one member, every majority of one
shares a voter with every majority of the other, so two leaders cannot be
elected across one change. Across two changes they could.
"""

from __future__ import annotations

from typing import Final

from sycamorestand_consensus.errors import ChangeUnderWay
from sycamorestand_consensus.errors import MembershipRefused
from sycamorestand_consensus.errors import NotLeader
from sycamorestand_consensus.errors import TransferFailed
from sycamorestand_consensus.lease import claim_lease_s
from sycamorestand_consensus.membership import encode_membership
from sycamorestand_consensus.membership import find_member
from sycamorestand_consensus.membership import voters
from sycamorestand_consensus.membership import with_member
from sycamorestand_consensus.membership import without_member
from sycamorestand_consensus.messages import Entry
from sycamorestand_consensus.messages import EntryKind
from sycamorestand_consensus.messages import Member
from sycamorestand_consensus.messages import Membership
from sycamorestand_consensus.messages import TimeoutNow
from sycamorestand_consensus.progress import Transfer
from sycamorestand_consensus.raft_state import append_entries
from sycamorestand_consensus.raft_state import RaftState
from sycamorestand_consensus.raft_state import Role
from sycamorestand_consensus.raft_state import send_now
from sycamorestand_consensus.replication import refresh_progress

# Under load, a learner always lags by a few batches. Fewer entries than
# this are sent in one message, so the new voter does not delay commits.
PROMOTE_LAG_ENTRIES: Final = 64


def add_learner(state: RaftState, member_id: str, address: str) -> int:
    """Append a change that adds a learner; return its index.

    Changes the address instead if the member exists.
    """
    _check_change(state)
    existing = find_member(state.membership, member_id)
    voter = existing is not None and existing.voter
    member = Member(member_id, address, voter)
    return _append_change(state, with_member(state.membership, member))


def promote(state: RaftState, member_id: str) -> int:
    """Append a change that makes a learner a voter; return its index.

    Raises ``MembershipRefused`` until the learner has caught up.
    """
    _check_change(state)
    existing = find_member(state.membership, member_id)
    if existing is None:
        raise MembershipRefused(f"{member_id} is not a member")
    if existing.voter:
        raise MembershipRefused(f"{member_id} votes already")
    progress = state.progress[member_id]
    silent_s = state.now_s - progress.acked_sent_s
    if silent_s > state.settings.election_min_s:
        # Two voters need each other for a majority. Promoting a second one
        # that is down would stop a group that worked.
        raise MembershipRefused(f"{member_id} is silent for {silent_s:.1f} s")
    synced = progress.match_index
    lag_entries = state.commit_index - synced
    if lag_entries > PROMOTE_LAG_ENTRIES:
        # Before a voter has synced the log, the majorities that it is part
        # of hold fewer copies of an entry than they have voters.
        raise MembershipRefused(f"{member_id} is {lag_entries} entries behind")
    if synced < state.memberships[-1][0]:
        # A member votes only once its own log contains its admission. If
        # it was promoted earlier, it would refuse its vote, and after a
        # restart of the leader both would wait for each other forever.
        raise MembershipRefused(f"{member_id} has not synced its admission")
    member = existing._replace(voter=True)
    return _append_change(state, with_member(state.membership, member))


def remove(state: RaftState, member_id: str) -> int:
    """Append a change that removes another member; return its index."""
    _check_change(state)
    if member_id == state.member_id:
        raise MembershipRefused("the leader must hand over before it leaves")
    if find_member(state.membership, member_id) is None:
        raise MembershipRefused(f"{member_id} is not a member")
    return _append_change(state, without_member(state.membership, member_id))


def start_transfer(state: RaftState, target: str | None) -> None:
    """Stop proposals; transfer leadership once the target has caught up.

    Without a target, the most caught-up voter becomes the target.
    """
    _check_leader(state)
    if state.transfer is not None:
        raise TransferFailed("a hand-over is under way")
    chosen = _most_caught_up(state) if target is None else target
    member = find_member(state.membership, chosen)
    if member is None or not member.voter or chosen == state.member_id:
        raise TransferFailed(f"{chosen or 'nobody'} is no other voter")
    deadline_s = state.now_s + state.settings.election_max_s
    state.transfer = Transfer(chosen, deadline_s, ordered=False)
    advance_transfer(state)


def advance_transfer(state: RaftState) -> bool:
    """Order the target to campaign, or give up after the deadline.

    Returns whether this leader must step down. The order may arrive late,
    and the election that it starts bypasses every promise. So once it is
    sent, the leader claims no further lease in this term, and it steps
    down at the deadline instead of leading on.
    """
    transfer = state.transfer
    if transfer is None:
        return False
    progress = state.progress.get(transfer.target)
    if progress is None or state.now_s >= transfer.deadline_s:
        state.transfer = None
        return transfer.ordered
    caught_up = progress.match_index == state.log.last_index
    if caught_up and not transfer.ordered:
        claim_lease_s(state)
        state.transfer = transfer._replace(ordered=True)
        send_now(state, transfer.target, TimeoutNow())
    return False


def _check_leader(state: RaftState) -> None:
    if state.role != Role.LEADER:
        raise NotLeader(state.leader_id)


def _check_change(state: RaftState) -> None:
    _check_leader(state)
    if state.transfer is not None:
        raise MembershipRefused("leadership is being handed over")
    if state.commit_index < state.term_start_index:
        # A change by an earlier leader may still be uncommitted, and this
        # leader cannot tell. A second change could split the voters.
        raise ChangeUnderWay("no entry of this term is committed yet")
    if state.memberships[-1][0] > state.commit_index:
        raise ChangeUnderWay("another change is not committed yet")


def _append_change(state: RaftState, membership: Membership) -> int:
    index = state.log.last_index + 1
    data = encode_membership(membership)
    entry = Entry(index, state.term, EntryKind.MEMBERSHIP, data)
    append_entries(state, (entry,))
    refresh_progress(state)
    return index


def _most_caught_up(state: RaftState) -> str:
    others = [m for m in voters(state.membership) if m != state.member_id]
    if not others:
        return ""

    def freshness(member_id: str) -> tuple[int, float]:
        progress = state.progress[member_id]
        return progress.match_index, progress.acked_sent_s

    return max(others, key=freshness)


__all__ = [
    "add_learner",
    "advance_transfer",
    "promote",
    "remove",
    "start_transfer",
]
