"""Tests of the hub and the lease service with an in-memory log and mesh."""

from __future__ import annotations

import logging
from typing import Any

import pytest

from sycamorestand_bench.fakes.in_memory_control import FakeMesh
from sycamorestand_control.control_directory import ControlDirectory
from sycamorestand_control.hub import EntryHub
from sycamorestand_control.lease_service import LeaseService
from sycamorestand_control.tables import SharedTables
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.entry_reports import EntryAddress
from sycamorestand_model.in_force import InForce
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
# Longer than any lease that a granter may have granted before its restart.
AFTER_OLD_LEASES_S = 10.0


class Clock:
    def __init__(self) -> None:
        self.now_s = 1_000.0

    def __call__(self) -> float:
        return self.now_s


class FakeReplica:
    """A log that this process leads, with a leader lease that tests set."""

    def __init__(self) -> None:
        self.role = "leader"
        self.term = 1
        self.lease_s = 0.7
        self.applied_index = 5

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


class Harness:
    """A control process that leads, and its entries' lease requests."""

    def __init__(self) -> None:
        self.mesh = FakeMesh(CONTROL)
        self.replica = FakeReplica()
        self.configuration = InForce(revision=1)
        self.revisions = {self.replica.applied_index: 1}
        self.voters = ("10.0.0.1:8001", "127.0.0.1:8001")
        mesh: Any = self.mesh
        groups: Any = FakeGroups(self.replica)
        self.leases = LeaseService(
            mesh,
            groups,
            lambda: self.configuration.revision,
            self.revisions.get,
        )
        self.tables = SharedTables(
            mesh, ControlDirectory(mesh.address), lambda: ()
        )
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
        self.replica.applied_index += 1
        self.revisions[self.replica.applied_index] = revision
        self.leases.revision_applied()
        self.hub.revision_applied()

    def request_lease(
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
async def harness(clock: Clock) -> Harness:
    harness = Harness()
    await harness.renew_own()
    clock.now_s += AFTER_OLD_LEASES_S
    await harness.renew_own()
    return harness


class TestEntryLease:
    async def test_an_entry_with_the_newest_revision_gets_a_lease(
        self, harness: Harness
    ) -> None:
        harness.request_lease(1)
        (grant,) = harness.mesh.take_messages(LeaseGrantMessage)
        assert grant.sent_at_s == 77.0
        assert 0 < grant.length_s <= 2.0

    async def test_each_lease_comes_with_the_number_of_entries(
        self, harness: Harness
    ) -> None:
        """There are more entries than addresses for callers."""
        for number in range(20):
            sender = f"127.0.0.1:{9_100 + number}"
            harness.request_lease(1, f"vm-{number}", sender)
        harness.mesh.sent.clear()
        harness.request_lease(1, "vm-0", "127.0.0.1:9100")
        (count,) = harness.mesh.take_messages(EntryCount)
        assert count.entries == 20

    async def test_an_outdated_entry_gets_the_revision_first(
        self, harness: Harness
    ) -> None:
        """An entry starts, or was cut off while a version was withdrawn.

        Its request is denied and it gets the newest configuration. It gets
        the lease only once it has acknowledged that configuration.
        """
        harness.request_lease(0)
        (denied,) = harness.mesh.take_messages(LeaseDenied)
        assert denied.reason == "behind"
        (push,) = harness.mesh.take_messages(ConfigurationPush)
        assert unpack_configuration(push).revision == 1
        harness.request_lease(1)
        assert harness.mesh.take_messages(LeaseGrantMessage)

    async def test_the_document_is_not_sent_to_entries(
        self, harness: Harness
    ) -> None:
        """An operator's document of 1,100 routes comes into force.

        It would be two thirds of the bytes on each entry's link and delay
        the leases behind it. Entries only need its number.
        """
        harness.configuration = InForce(
            2, Declarations(document=SourceDocument(7, b"x" * 9))
        )
        harness.hub.revision_applied()
        harness.request_lease(1)
        (push,) = harness.mesh.take_messages(ConfigurationPush)
        in_force = unpack_configuration(push)
        assert in_force.revision == 2
        assert in_force.declarations.document == SourceDocument(7)
        assert harness.configuration.declarations.document.content

    async def test_without_a_quorum_no_lease_is_granted(
        self, harness: Harness, clock: Clock
    ) -> None:
        """The process is in the minority of a long partition.

        Its own lease expires, so it must grant no more leases. The denial
        names the other control processes to the entry.
        """
        harness.replica.lease_s = 0.0
        for _ in range(10):
            clock.now_s += 0.4
            await harness.renew_own()
        harness.request_lease(1)
        (denied,) = harness.mesh.take_messages(LeaseDenied)
        assert denied.reason == "no_quorum"
        assert denied.controls == ("127.0.0.1:8002",)

    async def test_an_entry_lease_ends_before_the_granters_lease(
        self, harness: Harness, clock: Clock
    ) -> None:
        harness.replica.lease_s = 0.0
        clock.now_s += 1.5
        harness.request_lease(1)
        (grant,) = harness.mesh.take_messages(LeaseGrantMessage)
        assert grant.length_s < harness.leases.remaining_s()


class TestOwnLease:
    async def test_each_loss_and_regain_is_logged_once(
        self,
        harness: Harness,
        clock: Clock,
        caplog: pytest.LogCaptureFixture,
    ) -> None:
        """Messages to a process without a lease may reach no other process."""
        caplog.set_level(logging.INFO)
        for lease_s in (0.7, 0.7, 0.0, 0.0, 0.7):
            harness.replica.lease_s = lease_s
            clock.now_s += 2.0
            await harness.renew_own()
            harness.leases._log_lease_change()
        lines = [r.message for r in caplog.records if "lease" in r.message]
        assert lines == [
            "control lease held",
            "control lease lost",
            "control lease held",
        ]


class TestInForce:
    async def test_a_revision_waits_for_the_last_live_entry(
        self, harness: Harness, clock: Clock
    ) -> None:
        """A version is withdrawn while one entry is silent.

        Until that entry's lease has expired, the entry may still send the
        version new work, so the revision must not count as in force.
        """
        harness.request_lease(1)
        harness.request_lease(1, "vm-2", "127.0.0.1:9002")
        await harness.renew_own()
        harness.apply(2)
        harness.request_lease(2)
        await harness.renew_own()
        status = harness.leases.in_force(2)
        assert status is not None
        assert not status.in_force
        clock.now_s += 2.1
        harness.request_lease(2)
        await harness.renew_own()
        status = harness.leases.in_force(2)
        assert status is not None
        assert status.in_force

    async def test_a_new_leader_waits_out_its_predecessors_leases(
        self, harness: Harness
    ) -> None:
        harness.replica.term = 2
        await harness.renew_own()
        status = harness.leases.in_force(1)
        assert status is not None
        assert not status.in_force

    async def test_a_deposed_leader_grants_and_reports_nothing(
        self, harness: Harness
    ) -> None:
        harness.replica.role = "follower"
        assert harness.leases.in_force(1) is None
        request = ControlLeaseRequest("127.0.0.1:8003", 1.0, 1, 1)
        harness.leases.handle_request("127.0.0.1:8003", request)
        assert harness.mesh.take_messages(ControlLeaseGranted) == []


class TestDifferentState:
    """Guards against entries that serve what no leader acknowledged."""

    @pytest.mark.parametrize(
        ("revision", "applied_index", "grants"),
        [(1, 5, 1), (2, 5, 0), (1, 0, 1), (2, 9, 1)],
        ids=["equal", "another revision", "older release", "not known here"],
    )
    async def test_process_that_applied_the_log_differently_gets_no_lease(
        self,
        harness: Harness,
        revision: int,
        applied_index: int,
        grants: int,
    ) -> None:
        request = ControlLeaseRequest(
            "127.0.0.1:8003", 1.0, revision, revision, applied_index
        )
        harness.leases.handle_request("127.0.0.1:8003", request)
        sent = harness.mesh.take_messages(ControlLeaseGranted)
        assert len(sent) == grants
        assert len(harness.leases.differing) == 1 - grants


class TestAddresses:
    async def test_a_stopping_entry_is_not_in_the_address_list(
        self, harness: Harness
    ) -> None:
        harness.request_lease(1)
        harness.request_lease(1, "vm-2", "127.0.0.1:9002")
        harness.hub._push_addresses()
        first = harness.mesh.take_messages(AddressList)
        assert {a.vm for a in first[0].addresses} == {"vm-1", "vm-2"}
        harness._sequence += 1
        stopping = EntryAddress("vm-2", "dalton", "127.0.0.1", 80, True)
        request = LeaseRequest(stopping, 5, harness._sequence, 1.0, 1)
        harness.hub.handle_lease_request("127.0.0.1:9002", request)
        assert harness.tables.stopping_vms() == {"vm-2"}
        harness.hub._push_addresses()
        second = harness.mesh.take_messages(AddressList)
        assert {a.vm for a in second[0].addresses} == {"vm-1"}

    async def test_a_silent_entry_is_detached(
        self, harness: Harness, clock: Clock
    ) -> None:
        harness.request_lease(1)
        clock.now_s += 60.0
        harness.hub._detach_silent(clock())
        assert harness.hub.attached_vms() == ()


class TestControlList:
    async def test_an_entry_gets_the_address_of_a_new_voter(
        self, clock: Clock
    ) -> None:
        """A voter is replaced by one at an address that no entry knows.

        Each new list is sent once, with the voter on the entry's own VM
        first. Without it, entries would find no control process after
        further replacements.
        """
        harness = Harness()
        harness.request_lease(0)
        harness.hub._push_controls()
        harness.hub._push_controls()
        lists = harness.mesh.take_messages(ControlList)
        assert [m.addresses for m in lists] == [
            ("127.0.0.1:8001", "10.0.0.1:8001")
        ]
        harness.voters = ("127.0.0.1:8001", "10.0.0.9:8001")
        harness.hub._push_controls()
        (new_list,) = harness.mesh.take_messages(ControlList)
        assert set(new_list.addresses) == set(harness.voters)
