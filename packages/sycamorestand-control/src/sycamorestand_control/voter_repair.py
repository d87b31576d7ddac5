"""Which change of voters a leader makes by itself, one at a time.

It answers a voter that lost its disk or its VM with nobody there to put
another one in its place: until that is done, a second loss leaves no
majority. Everything is decided from the log's membership and from who was
heard, so a new leader goes on where the one before it stopped.

A voter counts as lost only while somebody asks to take its place. At once
where another id is heard at its address: one process listens there, so the
old id's disk is gone. Elsewhere after `SILENCE_S`: a voter that is slow
still answers, and one that was only away becomes a learner again when it
asks. A mistake here costs a copy, never an accepted change: a voter is
removed by the votes of a majority that holds the log.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final
from typing import Literal
from typing import NamedTuple

# A killed process is back in about a second. With less, each restart next
# to a spare would cost a voter; with more, the repair is not over when the
# next VM may be lost, 4 s after the newcomer's start.
SILENCE_S: Final = 2.5
# A voter that lives answers a heartbeat each 0.1 s; a leader that was just
# elected must not take one for gone that it has not yet asked.
TAKEN_OVER_SILENCE_S: Final = 0.5
# As the agreement core, which takes no voter that is silent for longer.
ALIVE_WITHIN_S: Final = 0.8
# Two may wait in the log: one stays a spare when the other is needed.
MAX_LEARNERS: Final = 2


class ObservedMember(NamedTuple):
    """A member, or a process that asks to be one, and its silence."""

    member_id: str
    address: str
    silent_s: float
    voter: bool = False


class MembershipChange(NamedTuple):
    """One change of the membership."""

    kind: Literal["add", "promote", "remove"]
    member_id: str
    address: str = ""


def next_change(
    own_id: str,
    members: Sequence[ObservedMember],
    joiners: Sequence[ObservedMember],
    voters_wanted: int,
) -> MembershipChange | None:
    """Return the change that the leader ``own_id`` makes next, if any.

    ``joiners`` ask at present; those that are members already are in
    ``members`` as well.
    """
    voters = [m for m in members if m.voter]
    learners = [m for m in members if not m.voter]
    lost = [
        m
        for m in voters
        if m.member_id != own_id and _is_lost(m, (*members, *joiners))
    ]
    return (
        _remove_dead_learner(learners, joiners, members)
        or _remove_surplus(voters, lost, voters_wanted)
        or _promote(
            voters, lost, _still_asking(learners, joiners), voters_wanted
        )
        or _add(members, learners, joiners, lost)
    )


def _is_lost(
    voter: ObservedMember, observed: Sequence[ObservedMember]
) -> bool:
    if voter.silent_s >= SILENCE_S:
        return True
    return voter.silent_s >= TAKEN_OVER_SILENCE_S and _is_taken_over(
        voter, observed
    )


def _is_taken_over(
    member: ObservedMember, observed: Sequence[ObservedMember]
) -> bool:
    return any(
        other.address == member.address
        and other.member_id != member.member_id
        and other.silent_s < member.silent_s
        for other in observed
    )


def _remove_dead_learner(
    learners: Sequence[ObservedMember],
    joiners: Sequence[ObservedMember],
    members: Sequence[ObservedMember],
) -> MembershipChange | None:
    """Free the place of a learner that no longer asks, or lost its disk."""
    asking = {joiner.member_id for joiner in joiners}
    for learner in learners:
        gone = learner.member_id not in asking
        if (gone and learner.silent_s >= SILENCE_S) or _is_taken_over(
            learner, (*members, *joiners)
        ):
            return MembershipChange("remove", learner.member_id)
    return None


def _remove_surplus(
    voters: Sequence[ObservedMember],
    lost: Sequence[ObservedMember],
    voters_wanted: int,
) -> MembershipChange | None:
    if len(voters) <= voters_wanted or not lost:
        return None
    remaining = [voter for voter in voters if voter != lost[0]]
    # A removal is committed by those that stay, so another voter that was
    # lost meanwhile does not stop it.
    if _count_alive(remaining) <= len(remaining) // 2:
        return None
    return MembershipChange("remove", lost[0].member_id)


def _promote(
    voters: Sequence[ObservedMember],
    lost: Sequence[ObservedMember],
    learners: Sequence[ObservedMember],
    voters_wanted: int,
) -> MembershipChange | None:
    """Make a learner a voter where one is missing.

    With one more voter the majority may be larger by one: it must be there
    without the lost voter, or nothing could be committed any more.
    """
    if not learners or len(voters) > voters_wanted:
        return None
    if len(voters) == voters_wanted and not lost:
        return None
    staying = [voter for voter in voters if voter not in lost]
    if _count_alive(staying) + 1 <= (len(voters) + 1) // 2:
        return None
    lost_addresses = {voter.address for voter in lost}
    chosen = max(learners, key=lambda each: each.address in lost_addresses)
    return MembershipChange("promote", chosen.member_id)


def _add(
    members: Sequence[ObservedMember],
    learners: Sequence[ObservedMember],
    joiners: Sequence[ObservedMember],
    lost: Sequence[ObservedMember],
) -> MembershipChange | None:
    known = {member.member_id for member in members}
    lost_addresses = {voter.address for voter in lost}
    for joiner in joiners:
        if joiner.member_id in known:
            continue
        if len(learners) < MAX_LEARNERS or joiner.address in lost_addresses:
            return MembershipChange("add", joiner.member_id, joiner.address)
    return None


def _still_asking(
    learners: Sequence[ObservedMember], joiners: Sequence[ObservedMember]
) -> list[ObservedMember]:
    asking = {joiner.member_id for joiner in joiners}
    return [each for each in learners if each.member_id in asking]


def _count_alive(members: Sequence[ObservedMember]) -> int:
    return sum(member.silent_s < ALIVE_WITHIN_S for member in members)


__all__ = ["next_change", "ObservedMember", "SILENCE_S", "MembershipChange"]
