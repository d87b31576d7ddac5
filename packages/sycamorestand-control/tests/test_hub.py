"""The hub and the lease service, over a log and a mesh in memory."""

from __future__ import annotations

import logging
from typing import Any

import pytest

from sycamorestand_bench.fakes.telling_control import Mailbox
from sycamorestand_control.hub import EntryHub
from sycamorestand_control.lease_service import LeaseService
from sycamorestand_control.tables import ControlName
from sycamorestand_control.tables import SharedTables
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.in_force import InForce
from sycamorestand_model.nodes import EntryAddress
from sycamorestand_model.routes import SourceDocument
from sycamorestand_peer.codec import unpack_configuration
from sycamorestand_peer.messages import AddressList
from sycamorestand_peer.messages import ConfigurationPush
from sycamorestand_peer.messages import ControlLeaseGranted
from sycamorestand_peer.messages import ControlLeaseRequest
from sycamorestand_peer.messages import ControlList
from sycamorestand_peer.messages import EntryCount
from sycamorestand_peer.messages import LeaseDenied
from sycamorestand_peer.messages import LeaseGrantMessage
from sycamorestand_peer.messages import LeaseRequest

pytestmark = pytest.mark.anyio
CONTROL = "127.0.0.1:8001"
ENTRY = "127.0.0.1:9001"
# Longer than any lease that a granter may have forgotten.
AFTER_OLD_LEASES_S = 10.0


class Clock:
    def __init__(self) -> None:
        self.now_s = 1_000.0

    def __call__(self) -> float:
        return self.now_s


class FakeReplica:
    """A log that this process leads while it has a quorum."""

    def __init__(self) -> None:
        self.role = "leader"
        self.term = 1
        self.lease_s = 0.7

    def status(self) -> FakeReplica:
        return self

    def leader_lease_remaining_s(self) -> float:
        return self.lease_s

    async def read_barrier(self) -> None: ...


class FakeGroups:
    def __init__(self, replica: FakeReplica) -> None:
        self.replicas = {0: replica}

    def leader_address(self, group: int) -> str:
        return "127.0.0.1:8002"


class Scene:
    """One control process that leads, and the entries that ask it."""

    def __init__(self) -> None:
        self.mesh = Mailbox(CONTROL)
        self.replica = FakeReplica()
        self.configuration = InForce(revision=1)
        self.voters = ("10.0.0.1:8001", "127.0.0.1:8001")
        mesh: Any = self.mesh
        groups: Any = FakeGroups(self.replica)
        self.leases = LeaseService(
            mesh, groups, lambda: self.configuration.revision
        )
        self.tables = SharedTables(mesh, ControlName("c", "d"), lambda: ())
        self.hub = EntryHub(
            mesh,
            self.leases,
            self.tables,
            lambda: self.configuration,
            lambda: ("127.0.0.1:8002",),
            lambda: self.voters,
        )
        self._sequence = 0

    async def renew_own(self) -> None:
        await self.leases._sync_term()
        self.leases._renew()

    def apply(self, revision: int) -> None:
        self.configuration = InForce(revision=revision)
        self.leases.revision_applied()
        self.hub.revision_applied()

    def ask(
        self, acked_revision: int, vm: str = "vm-1", sender: str = ENTRY
    ) -> None:
        self._sequence += 1
        address = EntryAddress(vm, "dalton", "127.0.0.1", 80)
        request = LeaseRequest(
            address, 5, self._sequence, 77.0, acked_revision
        )
        self.hub.handle_lease_request(sender, request)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    for module in ("hub", "lease_service"):
        name = f"sycamorestand_control.{module}.boottime_s"
        monkeypatch.setattr(name, clock)
    return clock


@pytest.fixture
async def scene(clock: Clock) -> Scene:
    scene = Scene()
    await scene.renew_own()
    clock.now_s += AFTER_OLD_LEASES_S
    await scene.renew_own()
    return scene


class TestEntryLease:
    async def test_an_entry_with_the_newest_revision_gets_one(
        self, scene: Scene
    ) -> None:
        scene.ask(1)
        (grant,) = scene.mesh.take(LeaseGrantMessage)
        assert grant.sent_at_s == 77.0
        assert 0 < grant.length_s <= 2.0

    async def test_with_each_lease_it_hears_how_many_entries_there_are(
        self, scene: Scene
    ) -> None:
        """More entries than callers are told addresses of."""
        for number in range(20):
            sender = f"127.0.0.1:{9_100 + number}"
            scene.ask(1, f"vm-{number}", sender)
        scene.mesh.sent.clear()
        scene.ask(1, "vm-0", "127.0.0.1:9100")
        (count,) = scene.mesh.take(EntryCount)
        assert count.entries == 20

    async def test_an_entry_behind_gets_the_revision_first(
        self, scene: Scene
    ) -> None:
        """An entry starts, or was cut off while a version was withdrawn.

        It is refused a lease and sent the newest configuration; once it
        has acknowledged that, it gets the lease.
        """
        scene.ask(0)
        (denied,) = scene.mesh.take(LeaseDenied)
        assert denied.reason == "behind"
        (push,) = scene.mesh.take(ConfigurationPush)
        assert unpack_configuration(push).revision == 1
        scene.ask(1)
        assert scene.mesh.take(LeaseGrantMessage)

    async def test_an_entry_is_told_no_document(self, scene: Scene) -> None:
        """An operator's document of 1,100 routes comes into force.

        Sent along, it would be two thirds of the bytes on each entry's
        link, and hold up leases behind it; entries need its number only.
        """
        scene.configuration = InForce(
            2, Declarations(document=SourceDocument(7, b"x" * 9))
        )
        scene.hub.revision_applied()
        scene.ask(1)
        (push,) = scene.mesh.take(ConfigurationPush)
        in_force = unpack_configuration(push)
        assert in_force.revision == 2
        assert in_force.declarations.document == SourceDocument(7)
        assert scene.configuration.declarations.document.content

    async def test_without_a_quorum_no_lease_is_granted(
        self, scene: Scene, clock: Clock
    ) -> None:
        """The process is on the far side of a partition for long.

        Its own lease runs out, and with it every lease that it gives;
        the entry is told of the other control processes.
        """
        scene.replica.lease_s = 0.0
        for _ in range(10):
            clock.now_s += 0.4
            await scene.renew_own()
        scene.ask(1)
        (denied,) = scene.mesh.take(LeaseDenied)
        assert denied.reason == "no_quorum"
        assert denied.controls == ("127.0.0.1:8002",)

    async def test_an_entry_lease_ends_before_its_granters(
        self, scene: Scene, clock: Clock
    ) -> None:
        scene.replica.lease_s = 0.0
        clock.now_s += 1.5
        scene.ask(1)
        (grant,) = scene.mesh.take(LeaseGrantMessage)
        assert grant.length_s < scene.leases.remaining_s()


class TestOwnLease:
    async def test_its_loss_and_return_are_logged_once(
        self,
        scene: Scene,
        clock: Clock,
        caplog: pytest.LogCaptureFixture,
    ) -> None:
        """What a process without a lease is told may reach nobody."""
        caplog.set_level(logging.INFO)
        for lease_s in (0.7, 0.7, 0.0, 0.0, 0.7):
            scene.replica.lease_s = lease_s
            clock.now_s += 2.0
            await scene.renew_own()
            scene.leases._log_lease_change()
        lines = [r.message for r in caplog.records if "lease" in r.message]
        assert lines == [
            "control lease held",
            "control lease lost",
            "control lease held",
        ]


class TestInForce:
    async def test_it_waits_for_the_last_live_entry(
        self, scene: Scene, clock: Clock
    ) -> None:
        """A version is withdrawn while one entry is silent.

        The revision is in force only when that entry's lease has run
        out: until then it may give the version new work.
        """
        scene.ask(1)
        scene.ask(1, "vm-2", "127.0.0.1:9002")
        await scene.renew_own()
        scene.apply(2)
        scene.ask(2)
        await scene.renew_own()
        status = scene.leases.in_force(2)
        assert status is not None
        assert not status.in_force
        clock.now_s += 2.1
        scene.ask(2)
        await scene.renew_own()
        status = scene.leases.in_force(2)
        assert status is not None
        assert status.in_force

    async def test_a_new_leader_waits_out_its_predecessors_leases(
        self, scene: Scene
    ) -> None:
        scene.replica.term = 2
        await scene.renew_own()
        status = scene.leases.in_force(1)
        assert status is not None
        assert not status.in_force

    async def test_a_deposed_leader_says_nothing(self, scene: Scene) -> None:
        scene.replica.role = "follower"
        assert scene.leases.in_force(1) is None
        request = ControlLeaseRequest("127.0.0.1:8003", 1.0, 1, 1)
        scene.leases.handle_request("127.0.0.1:8003", request)
        assert scene.mesh.take(ControlLeaseGranted) == []


class TestAddresses:
    async def test_a_stopping_entry_is_left_out(self, scene: Scene) -> None:
        scene.ask(1)
        scene.ask(1, "vm-2", "127.0.0.1:9002")
        scene.hub._push_addresses()
        first = scene.mesh.take(AddressList)
        assert {a.vm for a in first[0].addresses} == {"vm-1", "vm-2"}
        scene._sequence += 1
        stopping = EntryAddress("vm-2", "dalton", "127.0.0.1", 80, True)
        request = LeaseRequest(stopping, 5, scene._sequence, 1.0, 1)
        scene.hub.handle_lease_request("127.0.0.1:9002", request)
        assert scene.tables.stopping_vms() == {"vm-2"}
        scene.hub._push_addresses()
        second = scene.mesh.take(AddressList)
        assert {a.vm for a in second[0].addresses} == {"vm-1"}

    async def test_a_silent_entry_is_let_go(
        self, scene: Scene, clock: Clock
    ) -> None:
        scene.ask(1)
        clock.now_s += 60.0
        scene.hub._detach_silent(clock())
        assert scene.hub.attached_vms() == ()


class TestControlList:
    async def test_an_entry_learns_who_came_in_place_of_a_lost_voter(
        self, clock: Clock
    ) -> None:
        """A voter is replaced by one at an address that no entry knows.

        Entries are told once, the one on their own VM first; otherwise
        they would be without control after the next replacements.
        """
        scene = Scene()
        scene.ask(0)
        scene.hub._push_controls()
        scene.hub._push_controls()
        told = scene.mesh.take(ControlList)
        assert [m.addresses for m in told] == [
            ("127.0.0.1:8001", "10.0.0.1:8001")
        ]
        scene.voters = ("127.0.0.1:8001", "10.0.0.9:8001")
        scene.hub._push_controls()
        (told_again,) = scene.mesh.take(ControlList)
        assert set(told_again.addresses) == set(scene.voters)
