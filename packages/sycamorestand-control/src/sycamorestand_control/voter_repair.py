"""Choose the membership change that a leader makes to repair its group.

A voter may lose its disk or its VM while no operator is there to replace
it. Until it is replaced, the loss of a second voter leaves no majority. The
leader therefore repairs the group itself, one change at a time. Each change
follows only from the log's membership and from when each process was last
heard, so a new leader continues where the previous one stopped.

A lost voter is replaced only by a process that asks to join. A voter whose
address another id uses counts as lost after `TAKEN_OVER_SILENCE_S`: only
one process listens at an address, so the old id's disk is gone. Any other
voter counts as lost after `SILENCE_S`: a slow voter still answers, and a
voter that was only cut off becomes a learner again when it asks. A wrong
removal costs a replica but never a committed change, because a majority
that holds the log has to commit it.

New voters come from the data centres that have fewest, so that the loss of a
data centre takes no majority where there are enough of them.
"""

from __future__ import annotations

from collections import Counter
from typing import Final
from typing import Literal
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# A killed process restarts in about a second. A shorter limit would replace
# a voter at each restart while a spare asks to join. With a longer one the
# repair would not be finished when the next VM may be lost, 4 s after the
# start of the joining process.
SILENCE_S: Final = 2.5
# A live voter answers a heartbeat every 0.1 s. A leader that was just
# elected must not count a voter as lost before it has sent it a heartbeat.
TAKEN_OVER_SILENCE_S: Final = 0.5
# The same limit as in the consensus core, which promotes no learner that has
# been silent for longer.
ALIVE_WITHIN_S: Final = 0.8
# With two learners in the log, one remains as a spare when the other one is
# promoted.
MAX_LEARNERS: Final = 2


class ObservedMember(NamedTuple):
    """A member or a joining process, and how long it has been silent.

    ``data_centre`` is empty while it is not known.
    """

    member_id: str
    address: str
    silent_s: float
    voter: bool = False
    data_centre: str = ""


class MembershipChange(NamedTuple):
    """One change of a log's membership, for the replica to commit."""

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

    ``joiners`` are the processes that ask to join at present. A joiner that
    is already a member is in ``members`` as well.
    """
    voters = [m for m in members if m.voter]
    learners = [m for m in members if not m.voter]
    lost = _lost_voters(own_id, members, joiners)
    return (
        _remove_dead_learner(learners, joiners, members)
        or _remove_surplus(voters, lost, voters_wanted)
        or _promote(
            voters, lost, _still_asking(learners, joiners), voters_wanted
        )
        or _add(members, learners, joiners, lost)
    )


def waiting_reason(
    own_id: str,
    members: Sequence[ObservedMember],
    joiners: Sequence[ObservedMember],
    voters_wanted: int,
) -> str:
    """Return in words why no joiner becomes a voter now, for the log."""
    voters = [m for m in members if m.voter]
    lost = _lost_voters(own_id, members, joiners)
    alive = _count_alive([voter for voter in voters if voter not in lost])
    if len(voters) > voters_wanted:
        return f"{len(voters)} vote, a lost one is removed first"
    if len(voters) == voters_wanted and not lost:
        return f"{len(voters)} voters are wanted and none is lost"
    if alive + 1 <= (len(voters) + 1) // 2:
        return f"{alive} of {len(voters)} voters answer, too few for one more"
    return "no learner asks to join"


def _lost_voters(
    own_id: str,
    members: Sequence[ObservedMember],
    joiners: Sequence[ObservedMember],
) -> list[ObservedMember]:
    observed = (*members, *joiners)
    return [
        each
        for each in members
        if each.voter and each.member_id != own_id and _is_lost(each, observed)
    ]


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
    """Remove a learner that stopped asking to join or lost its disk."""
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
    # The remaining voters commit the removal, so they need a majority among
    # themselves; one more lost voter does not prevent it.
    if _count_alive(remaining) <= len(remaining) // 2:
        return None
    return MembershipChange("remove", lost[0].member_id)


def _promote(
    voters: Sequence[ObservedMember],
    lost: Sequence[ObservedMember],
    learners: Sequence[ObservedMember],
    voters_wanted: int,
) -> MembershipChange | None:
    """Promote a learner if a voter is missing or lost.

    One more voter may raise the majority by one. The live voters and the
    learner must reach it without the lost voters, or nothing could be
    committed any more.
    """
    if not learners or len(voters) > voters_wanted:
        return None
    if len(voters) == voters_wanted and not lost:
        return None
    staying = [voter for voter in voters if voter not in lost]
    if _count_alive(staying) + 1 <= (len(voters) + 1) // 2:
        return None
    lost_addresses = {voter.address for voter in lost}
    counts = Counter(voter.data_centre for voter in staying)
    chosen = min(
        learners,
        key=lambda each: (
            each.address not in lost_addresses,
            counts[each.data_centre],
        ),
    )
    return MembershipChange("promote", chosen.member_id)


def _add(
    members: Sequence[ObservedMember],
    learners: Sequence[ObservedMember],
    joiners: Sequence[ObservedMember],
    lost: Sequence[ObservedMember],
) -> MembershipChange | None:
    known = {member.member_id for member in members}
    lost_addresses = {voter.address for voter in lost}
    counts = Counter(member.data_centre for member in members)
    for joiner in sorted(joiners, key=lambda j: counts[j.data_centre]):
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


__all__ = [
    "MembershipChange",
    "next_change",
    "ObservedMember",
    "SILENCE_S",
    "waiting_reason",
]
