from __future__ import annotations

import logging
from typing import Any

import anyio
import pytest

from sycamorestand_consensus.errors import ChangeUnderWay
from sycamorestand_consensus.errors import MembershipRefused
from sycamorestand_consensus.replica_types import MemberStatus
from sycamorestand_control.membership import MembershipManager
from sycamorestand_peer.messages import JoinRequest


class FakeStatus:
    def __init__(self, members: list[MemberStatus]) -> None:
        self.members = tuple(members)
        self.role = "leader"


class FakeReplica:
    """A log whose learners catch up at once or not at all."""

    def __init__(self, catches_up: bool = True) -> None:
        self.members = [MemberStatus("old", "old:1", True, 1)]
        self.catches_up = catches_up
        self.calls: list[str] = []

    def status(self) -> FakeStatus:
        return FakeStatus(self.members)

    async def add_learner(self, member_id: str, address: str) -> None:
        self.calls.append(f"add {member_id}")
        self.members.append(MemberStatus(member_id, address, False, 0))

    async def promote(self, member_id: str) -> None:
        if not self.catches_up:
            raise MembershipRefused("it has not caught up")
        self.calls.append(f"promote {member_id}")
        self.members = [
            m._replace(voter=True) if m.member_id == member_id else m
            for m in self.members
        ]

    async def remove(self, member_id: str) -> None:
        self.calls.append(f"remove {member_id}")
        self.members = [m for m in self.members if m.member_id != member_id]


class BusyReplica(FakeReplica):
    """Refuses one change once, as if another one were under way."""

    def __init__(self, change: str) -> None:
        super().__init__()
        self._refused = change

    async def add_learner(self, member_id: str, address: str) -> None:
        self._refuse(f"add {member_id}")
        await super().add_learner(member_id, address)

    async def remove(self, member_id: str) -> None:
        self._refuse(f"remove {member_id}")
        await super().remove(member_id)

    def _refuse(self, change: str) -> None:
        if change == self._refused:
            self._refused = ""
            raise ChangeUnderWay("another change is not committed yet")


class FakeGroups:
    def __init__(self, replica: FakeReplica) -> None:
        self.replicas = {0: replica}

    def leader_address(self, group: int) -> str:
        return FakeMesh.address


class FakeMesh:
    address = "leader:1"

    def send(self, address: str, message: Any) -> None: ...


class Harness:
    def __init__(self, replica: FakeReplica) -> None:
        self.mesh = FakeMesh()
        self.replica = replica
        self.membership = MembershipManager(
            self.mesh,  # type: ignore[arg-type]
            FakeGroups(replica),  # type: ignore[arg-type]
            3,
        )

    def ask(self, member_id: str, address: str) -> None:
        request = JoinRequest(1, member_id, address, "vm")
        self.membership.handle_join_request(address, request)

    def waiting(self) -> list[str]:
        return [
            joiner.member_id for joiner in self.membership.waiting_joiners()
        ]


class TestReplace:
    @pytest.mark.anyio
    async def test_the_old_voter_is_removed_after_the_promotion(self) -> None:
        """A voter's disk is lost and a new process asks to join.

        If the old voter were removed first, the loss of another voter in
        between would leave a quorum that depends on an empty disk.
        """
        harness = Harness(FakeReplica())
        harness.ask("new", "new:1")
        await harness.membership.replace_voter(0, "old", "new")
        assert harness.replica.calls == [
            "add new",
            "promote new",
            "remove old",
        ]

    @pytest.mark.anyio
    async def test_a_repeated_call_makes_only_missing_changes(self) -> None:
        harness = Harness(FakeReplica())
        harness.ask("new", "new:1")
        await harness.replica.add_learner("new", "new:1")
        await harness.membership.replace_voter(0, "old", "new")
        await harness.membership.replace_voter(0, "old", "new")
        assert harness.replica.calls == [
            "add new",
            "promote new",
            "remove old",
        ]

    @pytest.mark.anyio
    async def test_a_process_that_does_not_ask_is_refused(self) -> None:
        harness = Harness(FakeReplica())
        with pytest.raises(MembershipRefused, match="does not ask"):
            await harness.membership.replace_voter(0, "old", "stranger")
        assert harness.replica.calls == []

    @pytest.mark.anyio
    @pytest.mark.parametrize("step", ["add new", "remove old"])
    async def test_a_change_under_way_is_waited_for(self, step: str) -> None:
        """The leader's own uncommitted change made a command fail."""
        replica = BusyReplica(step)
        harness = Harness(replica)
        harness.ask("new", "new:1")
        await harness.membership.replace_voter(0, "old", "new")
        assert replica.calls == ["add new", "promote new", "remove old"]

    @pytest.mark.anyio
    async def test_waiting_for_a_change_under_way_times_out(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Without a quorum no change is committed; the operator is told."""
        module = "sycamorestand_control.membership."
        monkeypatch.setattr(module + "CHANGE_WAIT_S", 0.0)
        harness = Harness(BusyReplica("remove old"))
        harness.ask("new", "new:1")
        with pytest.raises(ChangeUnderWay):
            await harness.membership.replace_voter(0, "old", "new")

    @pytest.mark.anyio
    async def test_a_learner_that_does_not_catch_up_is_removed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The new VM fails while it catches up.

        The operator gets an error after a bounded time, the old voter
        remains, and the learner is removed.
        """
        module = "sycamorestand_control.membership."
        monkeypatch.setattr(module + "CATCH_UP_S", 0.0)
        harness = Harness(FakeReplica(catches_up=False))
        harness.ask("new", "new:1")
        with pytest.raises(MembershipRefused, match="did not catch up"):
            await harness.membership.replace_voter(0, "old", "new")
        assert harness.replica.calls == ["add new", "remove new"]


class TestWaitingJoiners:
    def test_an_id_that_was_lost_with_its_disk_is_dropped(self) -> None:
        """A VM asks, loses its disk again and asks under another id.

        The first id will never answer. If it were listed, an operator could
        make it a voter that never votes.
        """
        harness = Harness(FakeReplica())
        harness.ask("first", "new:1")
        harness.ask("second", "new:1")
        assert harness.waiting() == ["second"]

    def test_a_member_is_not_listed(self) -> None:
        harness = Harness(FakeReplica())
        harness.ask("old", "old:1")
        assert harness.waiting() == []

    def test_a_process_that_stopped_asking_is_not_listed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A VM starts on an empty folder, then on its original disk.

        Its address answers, but the id of the empty folder no longer asks
        to join, so operators must not be told to admit it.
        """
        harness = Harness(FakeReplica())
        harness.ask("new", "new:1")
        assert harness.waiting() == ["new"]
        module = "sycamorestand_control.membership."
        monkeypatch.setattr(module + "JOINER_SILENCE_S", 0.0)
        assert harness.waiting() == []


class TestLog:
    @pytest.mark.anyio
    async def test_process_that_asks_to_join_is_logged_once(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """No line of the leader said that a process waits, and why."""
        caplog.set_level(logging.INFO, "sycamorestand_control.membership")
        harness = Harness(FakeReplica(catches_up=False))
        harness.ask("new", "new:1")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(harness.membership.run)
            with anyio.fail_after(5):
                while "control processes wait to vote" not in caplog.messages:
                    await anyio.sleep(0.02)
            harness.ask("new", "new:1")
            await anyio.sleep(0.5)
            tasks.cancel_scope.cancel()
        assert caplog.messages.count("control process asks to join") == 1
        reasons = [vars(record).get("reason") for record in caplog.records]
        assert "it has not caught up" in reasons
