"""Lease requests, address lists and messages of an entry's control link."""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import NamedTuple

import pytest

from sycamorestand_bench.fakes.in_memory_control import FakeMesh
from sycamorestand_bench.fakes.in_memory_control import make_link
from sycamorestand_entry.control import link as link_module
from sycamorestand_entry.control.link import ControlLink
from sycamorestand_entry.control.link import LinkSettings
from sycamorestand_model.entry_reports import EntryAddress
from sycamorestand_peer.messages import AddressList
from sycamorestand_peer.messages import LeaseGrantMessage
from sycamorestand_peer.messages import SessionsStay

OWN = "10.0.0.1:7001"
CONTROL = "10.0.0.2:7000"
FORMER_CONTROL = "10.0.0.9:7000"
PEERS = ("10.0.0.3:7001", "10.0.0.4:7001")
ADDRESS = EntryAddress("vm-1", "a", "10.0.0.1", 80, peer_address=OWN)


class Sent(NamedTuple):
    relay: str
    address: str


class RecordingMesh:
    """Record what the link sends, and through which relay."""

    address = OWN
    incarnation = 1

    def __init__(self) -> None:
        self.sent: list[Sent] = []
        self.relay: str | None = None

    def send_directly(self, address: str, message: Any) -> None:
        self.sent.append(Sent("", address))

    def send_through(self, relay: str, address: str, message: Any) -> None:
        self.sent.append(Sent(relay, address))

    def relay_for(self, address: str) -> str | None:
        return self.relay


class TestLeaseRequests:
    def _make_link(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> tuple[ControlLink, RecordingMesh]:
        monkeypatch.setattr(link_module, "boottime_s", lambda: 100.0)
        settings = LinkSettings("vm-1", "a", OWN, (CONTROL,), (b"k" * 32,))
        link = ControlLink(settings, lambda: ADDRESS)
        mesh = RecordingMesh()
        link.mesh = mesh  # type: ignore[assignment]
        peers = [ADDRESS]
        for number, peer in enumerate(PEERS):
            name = f"vm-{number + 2}"
            peers.append(
                EntryAddress(name, "a", "10.0.0.9", 80, peer_address=peer)
            )
        link._handle_message(CONTROL, AddressList(tuple(peers)))
        link._handle_message(CONTROL, LeaseGrantMessage(100.0, 2.0, 0))
        return link, mesh

    def test_answered_requests_go_directly(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        link, mesh = self._make_link(monkeypatch)
        link._request_lease(100.4)
        assert mesh.sent == [Sent("", CONTROL)]

    def test_unanswered_requests_also_go_through_other_entries(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """An entry is cut off from control, and other entries are not.

        Its lease would expire after two seconds, and it would refuse work.
        It uses another entry each time, as one of them may be cut off too,
        and also sends directly, as the connection may work again.
        """
        link, mesh = self._make_link(monkeypatch)
        for now_s in (100.8, 101.2):
            link._request_lease(now_s)
        through = [sent for sent in mesh.sent if sent.relay]
        assert {sent.relay for sent in through} == set(PEERS)
        assert {sent.address for sent in mesh.sent} == {CONTROL}
        assert mesh.sent.count(Sent("", CONTROL)) == 2

    def test_relay_that_worked_is_kept(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        link, mesh = self._make_link(monkeypatch)
        mesh.relay = PEERS[1]
        for now_s in (100.8, 101.2, 101.6):
            link._request_lease(now_s)
        relays = {sent.relay for sent in mesh.sent if sent.relay}
        assert relays == {PEERS[1]}


class TestUnreachedServices:
    def test_they_are_told_with_the_next_lease_request(self) -> None:
        """Other entries and callers learn of them by the address lists."""
        settings = LinkSettings("vm-1", "a", OWN, (CONTROL,), (b"k" * 32,))
        link = ControlLink(settings, lambda: ADDRESS)
        link.set_unreached(frozenset({"words", "orders"}))
        request = link._make_lease_request(100.0)
        assert request.address.unreached == ("orders", "words")
        assert link.unreached == ("orders", "words")


class TestAddressLists:
    def test_list_of_another_control_process_is_ignored(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """An entry leaves a control process that was cut off.

        That process still sends lists for five seconds, while it loses all
        entries. 27 of 88 entries used its empty list and gave callers no
        address; the new process had sent its list once and did not repeat
        it.
        """
        monkeypatch.setattr(link_module, "boottime_s", lambda: 100.0)
        settings = LinkSettings("vm-1", "a", OWN, (CONTROL,), (b"k" * 32,))
        link = ControlLink(settings, lambda: ADDRESS)
        link._handle_message(CONTROL, AddressList((ADDRESS,)))
        link._handle_message(FORMER_CONTROL, AddressList(()))
        assert link.addresses() == (ADDRESS,)


class TestLeaseLog:
    def test_each_change_is_logged_once(
        self,
        monkeypatch: pytest.MonkeyPatch,
        caplog: pytest.LogCaptureFixture,
    ) -> None:
        """An entry starts, gets a lease, and loses it with its control.

        An engineer on call looks for each of the three in the log. A
        repeated line would look like a lease that was lost in between.
        """
        now_s = 100.0
        monkeypatch.setattr(link_module, "boottime_s", lambda: now_s)
        settings = LinkSettings("vm-1", "a", OWN, (CONTROL,), (b"k" * 32,))
        link = ControlLink(settings, lambda: ADDRESS)
        caplog.set_level("INFO")
        link._log_lease_change()
        link._handle_message(CONTROL, LeaseGrantMessage(100.0, 2.0, 0))
        link._log_lease_change()
        link._log_lease_change()
        now_s = 103.0
        link._log_lease_change()
        assert [record.message for record in caplog.records] == [
            "lease lost: refusing work",
            "lease held",
            "lease lost: refusing work",
        ]


class TestAddressesAfterMove:
    def test_list_received_before_the_move_is_used(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Control sends a list once; callers of a data centre got none."""
        link = make_link(1)
        link._handle_message(FORMER_CONTROL, AddressList((ADDRESS,)))
        assert link.addresses() == ()
        monkeypatch.setattr(link, "control_address", lambda: FORMER_CONTROL)
        assert link.addresses() == (ADDRESS,)

    def test_last_list_is_kept_without_a_new_one(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        link = make_link(1)
        link._handle_message(link.control_address(), AddressList((ADDRESS,)))
        assert link.addresses() == (ADDRESS,)
        monkeypatch.setattr(link, "control_address", lambda: FORMER_CONTROL)
        assert link.addresses() == (ADDRESS,)


class TestListeners:
    STAY: Final = SessionsStay("words", "v2", 0, (7,))

    def test_message_is_sent_to_control_and_received_from_it(self) -> None:
        link = make_link(1)
        fake_mesh = FakeMesh()
        link.mesh = fake_mesh  # type: ignore[assignment]
        received: list[SessionsStay] = []
        link.add_listener(SessionsStay, received.append)
        link.send(self.STAY)
        assert fake_mesh.sent == [(link.control_address(), self.STAY)]
        link._handle_message(link.control_address(), self.STAY)
        assert received == [self.STAY]
