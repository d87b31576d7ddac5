from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from sycamorestand_control.voter_repair import MembershipChange
from sycamorestand_control.voter_repair import next_change
from sycamorestand_control.voter_repair import ObservedMember
from sycamorestand_control.voter_repair import SILENCE_S
from sycamorestand_control.voter_repair import waiting_reason

LEADER = ObservedMember("a", "a:1", 0.0, voter=True)
OTHER = ObservedMember("b", "b:1", 0.1, voter=True)
HEALTHY = ObservedMember("c", "c:1", 0.1, voter=True)
# Silent for a short time, because it restarts or its VM is busy.
SLOW = ObservedMember("c", "c:1", SILENCE_S - 0.1, voter=True)
LOST = ObservedMember("c", "c:1", SILENCE_S, voter=True)
SPARE = ObservedMember("n", "n:1", 0.2)
WIPED = ObservedMember("n", "c:1", 0.2)
WANTED = 3


def change_for(
    members: list[ObservedMember], *joiners: ObservedMember
) -> MembershipChange | None:
    return next_change("a", members, joiners, WANTED)


class TestLostDisk:
    def test_another_id_at_its_address_replaces_it_at_once(self) -> None:
        """A VM restarts within a second on an empty data folder.

        Another VM may be lost four seconds later, so the new process must
        be a voter by then: the leader does not wait for `SILENCE_S`.
        """
        wiped = SLOW._replace(silent_s=1.0)
        members = [LEADER, OTHER, wiped]
        assert change_for(members, WIPED) == MembershipChange(
            "add", "n", "c:1"
        )
        members.append(WIPED)
        assert change_for(members, WIPED) == MembershipChange("promote", "n")
        members[-1] = WIPED._replace(voter=True)
        assert change_for(members, WIPED) == MembershipChange("remove", "c")

    def test_the_original_disk_returns(self) -> None:
        """A VM starts on an empty folder, then on its original disk.

        The original id was heard more recently than the new id, so the
        leader removes the new id and keeps the voter.
        """
        empty = WIPED._replace(silent_s=1.0)
        assert change_for(
            [LEADER, OTHER, HEALTHY, empty], empty
        ) == MembershipChange("remove", "n")

    def test_the_replacement_loses_its_disk_too(self) -> None:
        """The joining process loses its disk and asks under a third id."""
        first = WIPED._replace(silent_s=1.0)
        third = ObservedMember("m", "c:1", 0.1)
        members = [LEADER, OTHER, LOST, first]
        assert change_for(members, third) == MembershipChange("remove", "n")
        assert change_for(members[:3], third) == MembershipChange(
            "add", "m", "c:1"
        )


class TestLostVm:
    def test_a_spare_waits_until_a_voter_is_silent_for_long(self) -> None:
        members = [LEADER, OTHER, SLOW]
        assert change_for(members, SPARE) == MembershipChange(
            "add", "n", "n:1"
        )
        assert change_for([*members, SPARE], SPARE) is None
        lost = [LEADER, OTHER, LOST, SPARE]
        assert change_for(lost, SPARE) == MembershipChange("promote", "n")

    def test_no_change_without_a_joiner(self) -> None:
        """A voter is lost for hours and no other process asks to join."""
        assert change_for([LEADER, OTHER, LOST]) is None

    def test_a_new_leader_completes_a_replacement(self) -> None:
        """The leader fails between the promotion and the removal."""
        newcomer = SPARE._replace(voter=True)
        assert change_for([LEADER, OTHER, LOST, newcomer]) == MembershipChange(
            "remove", "c"
        )

    def test_no_live_voter_is_removed(self) -> None:
        newcomer = SPARE._replace(voter=True)
        assert change_for([LEADER, OTHER, HEALTHY, newcomer]) is None

    def test_no_promotion_without_a_majority(self) -> None:
        """Two of three voters are silent; with four, three must be alive."""
        away = OTHER._replace(silent_s=1.0)
        assert change_for([LEADER, away, LOST, SPARE], SPARE) is None

    def test_a_silent_learner_is_removed(self) -> None:
        gone = SPARE._replace(silent_s=SILENCE_S)
        assert change_for([LEADER, OTHER, HEALTHY, gone]) == MembershipChange(
            "remove", "n"
        )


observed_members = st.builds(
    ObservedMember,
    st.sampled_from("bcdefg"),
    st.sampled_from(["b:1", "c:1", "d:1"]),
    st.floats(0.0, 10.0),
    st.booleans(),
)


class TestAnyView:
    @settings(derandomize=True)
    @given(
        st.lists(
            observed_members,
            max_size=5,
            unique_by=lambda member: member.member_id,
        ),
        st.lists(
            observed_members,
            max_size=3,
            unique_by=lambda member: member.member_id,
        ),
    )
    def test_a_change_leaves_a_live_majority(
        self, others: list[ObservedMember], joiners: list[ObservedMember]
    ) -> None:
        """No voter is removed unless it is surplus and a majority remains."""
        members = {member.member_id: member for member in [LEADER, *others]}
        change = next_change("a", list(members.values()), joiners, WANTED)
        if change is None:
            return
        assert change.member_id != "a"
        voters = [m for m in members.values() if m.voter]
        subject = members.get(change.member_id)
        if change.kind == "add":
            assert subject is None
        elif change.kind == "promote":
            assert subject is not None
            assert not subject.voter
            alive = sum(m.silent_s < 0.8 for m in voters) + 1
            assert 2 * alive > len(voters) + 1
        elif subject is not None and subject.voter:
            assert len(voters) > WANTED
            rest = [m for m in voters if m is not subject]
            assert 2 * sum(m.silent_s < 0.8 for m in rest) > len(rest)


class TestWaitingReason:
    def test_reason_why_a_spare_does_not_vote(self) -> None:
        """No line said why a process that asked to join was not let in."""

        def reason(*members: ObservedMember) -> str:
            return waiting_reason("a", members, (SPARE,), WANTED)

        assert "none is lost" in reason(LEADER, OTHER, HEALTHY)
        lost_too = OTHER._replace(silent_s=SILENCE_S)
        assert "too few" in reason(LEADER, lost_too, LOST)
        fourth = ObservedMember("d", "d:1", 0.1, voter=True)
        assert "removed first" in reason(LEADER, OTHER, LOST, fourth)
        assert "no learner" in reason(LEADER, OTHER, LOST)
