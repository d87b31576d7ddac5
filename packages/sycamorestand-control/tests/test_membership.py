from __future__ import annotations

from typing import Any

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
    """A log whose learners catch up at once, or never."""

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
    """Refuses one step once, as an earlier change is not committed yet."""

    def __init__(self, step: str) -> None:
        super().__init__()
        self._refused = step

    async def add_learner(self, member_id: str, address: str) -> None:
        self._refuse(f"add {member_id}")
        await super().add_learner(member_id, address)

    async def remove(self, member_id: str) -> None:
        self._refuse(f"remove {member_id}")
        await super().remove(member_id)

    def _refuse(self, step: str) -> None:
        if step == self._refused:
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


class Scene:
    def __init__(self, replica: FakeReplica) -> None:
        self.mesh = FakeMesh()
        self.replica = replica
        self.admissions = MembershipManager(
            self.mesh,  # type: ignore[arg-type]
            FakeGroups(replica),  # type: ignore[arg-type]
            3,
        )

    def ask(self, member_id: str, address: str) -> None:
        request = JoinRequest(1, member_id, address, "vm")
        self.admissions.receive(address, request)

    def waiting(self) -> list[str]:
        return [
            joiner.member_id for joiner in self.admissions.waiting_joiners()
        ]


class TestReplace:
    @pytest.mark.anyio
    async def test_the_old_voter_goes_after_the_new_one_is_in(self) -> None:
        """A voter's disk is lost and a new one asks to join.

        Were the old one removed first, the loss of another voter in
        between would leave a quorum that rests on an empty disk.
        """
        scene = Scene(FakeReplica())
        scene.ask("new", "new:1")
        await scene.admissions.replace_voter(0, "old", "new")
        assert scene.replica.calls == ["add new", "promote new", "remove old"]

    @pytest.mark.anyio
    async def test_a_repeat_goes_on_where_the_first_ended(self) -> None:
        scene = Scene(FakeReplica())
        scene.ask("new", "new:1")
        await scene.replica.add_learner("new", "new:1")
        await scene.admissions.replace_voter(0, "old", "new")
        await scene.admissions.replace_voter(0, "old", "new")
        assert scene.replica.calls == ["add new", "promote new", "remove old"]

    @pytest.mark.anyio
    async def test_who_does_not_ask_is_not_admitted(self) -> None:
        scene = Scene(FakeReplica())
        with pytest.raises(MembershipRefused, match="does not ask"):
            await scene.admissions.replace_voter(0, "old", "stranger")
        assert scene.replica.calls == []

    @pytest.mark.anyio
    @pytest.mark.parametrize("step", ["add new", "remove old"])
    async def test_a_change_that_is_under_way_is_waited_for(
        self, step: str
    ) -> None:
        """The leader's own step was not committed, and the command refused."""
        replica = BusyReplica(step)
        scene = Scene(replica)
        scene.ask("new", "new:1")
        await scene.admissions.replace_voter(0, "old", "new")
        assert replica.calls == ["add new", "promote new", "remove old"]

    @pytest.mark.anyio
    async def test_one_that_is_never_committed_is_not(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Without a quorum nothing is committed, and the operator is told."""
        module = "sycamorestand_control.membership."
        monkeypatch.setattr(module + "CHANGE_WAIT_S", 0.0)
        scene = Scene(BusyReplica("remove old"))
        scene.ask("new", "new:1")
        with pytest.raises(ChangeUnderWay):
            await scene.admissions.replace_voter(0, "old", "new")

    @pytest.mark.anyio
    async def test_a_learner_that_lags_is_removed_again(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The new VM dies while it catches up.

        The operator is told after a bounded time, the old voter stays and
        the half-made member is gone.
        """
        module = "sycamorestand_control.membership."
        monkeypatch.setattr(module + "CATCH_UP_S", 0.0)
        scene = Scene(FakeReplica(catches_up=False))
        scene.ask("new", "new:1")
        with pytest.raises(MembershipRefused, match="did not catch up"):
            await scene.admissions.replace_voter(0, "old", "new")
        assert scene.replica.calls == ["add new", "remove new"]


class TestWaiting:
    def test_an_id_lost_with_its_disk_is_not_shown(self) -> None:
        """A VM asks, loses its disk again and asks under another id.

        The first id will never answer; shown as waiting, an operator
        would put it in as a voter that cannot vote.
        """
        scene = Scene(FakeReplica())
        scene.ask("first", "new:1")
        scene.ask("second", "new:1")
        assert scene.waiting() == ["second"]

    def test_a_member_does_not_wait(self) -> None:
        scene = Scene(FakeReplica())
        scene.ask("old", "old:1")
        assert scene.waiting() == []

    def test_who_no_longer_asks_does_not_wait(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A VM starts on an empty folder, then on its old disk.

        Its address answers, but the id of the empty folder is gone: it
        asks no more, so nobody must be told to put it in.
        """
        scene = Scene(FakeReplica())
        scene.ask("new", "new:1")
        assert scene.waiting() == ["new"]
        module = "sycamorestand_control.membership."
        monkeypatch.setattr(module + "JOINER_SILENCE_S", 0.0)
        assert scene.waiting() == []
