from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from sycamorestand_control.voter_repair import MembershipChange
from sycamorestand_control.voter_repair import next_change
from sycamorestand_control.voter_repair import ObservedMember
from sycamorestand_control.voter_repair import SILENCE_S

LEADER = ObservedMember("a", "a:1", 0.0, voter=True)
OTHER = ObservedMember("b", "b:1", 0.1, voter=True)
WELL = ObservedMember("c", "c:1", 0.1, voter=True)
# Restarting, or on a busy VM: silent, and not for long.
SLOW = ObservedMember("c", "c:1", SILENCE_S - 0.1, voter=True)
LOST = ObservedMember("c", "c:1", SILENCE_S, voter=True)
SPARE = ObservedMember("n", "n:1", 0.2)
WIPED = ObservedMember("n", "c:1", 0.2)
WANTED = 3


def step(
    members: list[ObservedMember], *joiners: ObservedMember
) -> MembershipChange | None:
    return next_change("a", members, joiners, WANTED)


class TestLostDisk:
    def test_another_id_at_its_address_takes_its_place_at_once(self) -> None:
        """A VM comes back a second later with an empty data folder.

        Four seconds after that another one may be lost, so the newcomer
        must be a voter by then; nothing is waited for.
        """
        wiped = SLOW._replace(silent_s=1.0)
        members = [LEADER, OTHER, wiped]
        assert step(members, WIPED) == MembershipChange("add", "n", "c:1")
        members.append(WIPED)
        assert step(members, WIPED) == MembershipChange("promote", "n")
        members[-1] = WIPED._replace(voter=True)
        assert step(members, WIPED) == MembershipChange("remove", "c")

    def test_the_old_disk_is_back(self) -> None:
        """A VM starts on an empty folder, then on its old disk.

        The old id answers later than the new one, so it stays.
        """
        empty = WIPED._replace(silent_s=1.0)
        assert step([LEADER, OTHER, WELL, empty], empty) == MembershipChange(
            "remove", "n"
        )

    def test_lost_twice(self) -> None:
        """The newcomer loses its disk as well and asks under a third id."""
        first = WIPED._replace(silent_s=1.0)
        third = ObservedMember("m", "c:1", 0.1)
        members = [LEADER, OTHER, LOST, first]
        assert step(members, third) == MembershipChange("remove", "n")
        assert step(members[:3], third) == MembershipChange("add", "m", "c:1")


class TestLostVm:
    def test_a_spare_waits_until_a_voter_is_silent_for_long(self) -> None:
        members = [LEADER, OTHER, SLOW]
        assert step(members, SPARE) == MembershipChange("add", "n", "n:1")
        assert step([*members, SPARE], SPARE) is None
        lost = [LEADER, OTHER, LOST, SPARE]
        assert step(lost, SPARE) == MembershipChange("promote", "n")

    def test_nobody_asks(self) -> None:
        """A voter is away for hours and no other machine is there."""
        assert step([LEADER, OTHER, LOST]) is None

    def test_a_new_leader_ends_what_another_began(self) -> None:
        """The leader ends between the promotion and the removal."""
        newcomer = SPARE._replace(voter=True)
        assert step([LEADER, OTHER, LOST, newcomer]) == MembershipChange(
            "remove", "c"
        )

    def test_all_four_are_there(self) -> None:
        newcomer = SPARE._replace(voter=True)
        assert step([LEADER, OTHER, WELL, newcomer]) is None

    def test_not_below_a_majority(self) -> None:
        """Two of three are silent: a fourth voter would need three."""
        away = OTHER._replace(silent_s=1.0)
        assert step([LEADER, away, LOST, SPARE], SPARE) is None

    def test_a_learner_that_went_frees_its_place(self) -> None:
        gone = SPARE._replace(silent_s=SILENCE_S)
        assert step([LEADER, OTHER, WELL, gone]) == MembershipChange(
            "remove", "n"
        )


seen = st.builds(
    ObservedMember,
    st.sampled_from("bcdefg"),
    st.sampled_from(["b:1", "c:1", "d:1"]),
    st.floats(0.0, 10.0),
    st.booleans(),
)


class TestAnyView:
    @settings(derandomize=True)
    @given(
        st.lists(seen, max_size=5, unique_by=lambda each: each.member_id),
        st.lists(seen, max_size=3, unique_by=lambda each: each.member_id),
    )
    def test_a_change_leaves_a_live_majority(
        self, others: list[ObservedMember], joiners: list[ObservedMember]
    ) -> None:
        """Whatever is heard, no voter goes without need or majority."""
        members = {each.member_id: each for each in [LEADER, *others]}
        found = next_change("a", list(members.values()), joiners, WANTED)
        if found is None:
            return
        assert found.member_id != "a"
        voters = [m for m in members.values() if m.voter]
        subject = members.get(found.member_id)
        if found.kind == "add":
            assert subject is None
        elif found.kind == "promote":
            assert subject is not None
            assert not subject.voter
            alive = sum(m.silent_s < 0.8 for m in voters) + 1
            assert 2 * alive > len(voters) + 1
        elif subject is not None and subject.voter:
            assert len(voters) > WANTED
            rest = [m for m in voters if m is not subject]
            assert 2 * sum(m.silent_s < 0.8 for m in rest) > len(rest)
