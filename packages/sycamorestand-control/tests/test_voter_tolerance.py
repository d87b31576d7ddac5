"""Which losses the voters survive, at every size of an installation."""

from __future__ import annotations

import logging

import pytest

from sycamorestand_control.voter_repair import next_change
from sycamorestand_control.voter_repair import ObservedMember
from sycamorestand_control.voter_tolerance import missing_voters
from sycamorestand_control.voter_tolerance import voter_tolerance
from sycamorestand_control.voter_watch import SETTLE_S
from sycamorestand_control.voter_watch import VoterWatch

# What the deploy file starts in a data centre of any size, with a disk.
CONTROLS = 2


def form(data_centres: int, each: int, wanted: int) -> list[str]:
    """Return the data centres of the voters of a cluster that forms."""
    joiners = [
        ObservedMember(f"{dc}-{n}", f"{dc}-{n}:1", 0.1, False, f"dc-{dc}")
        for dc in range(data_centres)
        for n in range(each)
    ]
    members = [joiners[0]._replace(voter=True)]
    for _ in range(100):
        change = next_change("0-0", members, joiners, wanted)
        if change is None:
            break
        if change.kind == "add":
            (joiner,) = [j for j in joiners if j.member_id == change.member_id]
            members.append(joiner)
        elif change.kind == "promote":
            members = [
                m._replace(voter=True)
                if m.member_id == change.member_id
                else m
                for m in members
            ]
    return [member.data_centre for member in members if member.voter]


class TestPlacement:
    @pytest.mark.parametrize("data_centres", [3, 4, 5])
    @pytest.mark.parametrize("machines", [1, 2])
    @pytest.mark.parametrize("each", [CONTROLS, 3, 5])
    def test_no_loss_that_is_allowed_takes_a_majority(
        self, data_centres: int, machines: int, each: int
    ) -> None:
        """Two wiped disks of three voters lost what was acknowledged."""
        wanted = 2 * machines + 1
        found = voter_tolerance(form(data_centres, each, wanted))
        assert found.lost_voters >= machines
        assert found.survives_data_centre
        assert missing_voters(found, wanted, True) == ()

    def test_lost_voter_is_replaced_from_the_emptiest_data_centre(
        self,
    ) -> None:
        """Both voters of one data centre, and a third, left no majority."""
        members = [
            ObservedMember("a1", "a1:1", 0.0, True, "a"),
            ObservedMember("a2", "a2:1", 0.1, True, "a"),
            ObservedMember("b1", "b1:1", 0.1, True, "b"),
            ObservedMember("b2", "b2:1", 9.0, True, "b"),
            ObservedMember("c1", "c1:1", 0.1, True, "c"),
            ObservedMember("a3", "a3:1", 0.1, False, "a"),
            ObservedMember("c2", "c2:1", 0.1, False, "c"),
        ]
        change = next_change("a1", members, members[5:], 5)
        assert change is not None
        assert (change.kind, change.member_id) == ("promote", "c2")


class TestMissing:
    def test_too_few_disks_are_named(self) -> None:
        found = voter_tolerance(("a", "b", "c"))
        (line,) = missing_voters(found, 5, True)
        assert "2 more control processes with a disk" in line
        assert "loss of 2" in line

    def test_full_data_centre_is_named(self) -> None:
        found = voter_tolerance(("a", "a", "a", "b", "b"))
        (line,) = missing_voters(found, 5, True)
        assert line.startswith("a has 3 of 5 voters")
        assert missing_voters(found, 5, False) == ()

    def test_logged_once_when_it_lasts(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Nobody noticed before the loss that the settings ask for more."""
        caplog.set_level(logging.INFO)
        missing: list[str] = ["2 more are needed"]
        watch = VoterWatch(lambda: tuple(missing))
        for now_s in (0.0, SETTLE_S - 1.0):
            watch.check(now_s)
        assert caplog.records == []
        for now_s in (SETTLE_S, SETTLE_S + 1.0):
            watch.check(now_s)
        assert [r.levelno for r in caplog.records] == [logging.WARNING]
        missing.clear()
        for now_s in (50.0, 50.0 + SETTLE_S):
            watch.check(now_s)
        assert len(caplog.records) == 2
