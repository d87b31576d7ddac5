"""How an entry asks for its lease."""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import NamedTuple

import pytest

from sycamorestand_bench.fakes.telling_control import link_of
from sycamorestand_bench.fakes.telling_control import Mailbox
from sycamorestand_entry.control import link as link_module
from sycamorestand_entry.control.link import ControlLink
from sycamorestand_entry.control.link import LinkSettings
from sycamorestand_model.nodes import EntryAddress
from sycamorestand_peer.messages import AddressList
from sycamorestand_peer.messages import LeaseGrantMessage
from sycamorestand_peer.messages import SessionsStay

OWN = "10.0.0.1:7001"
CONTROL = "10.0.0.2:7000"
LEFT = "10.0.0.9:7000"
PEERS = ("10.0.0.3:7001", "10.0.0.4:7001")
ADDRESS = EntryAddress("vm-1", "a", "10.0.0.1", 80, peer_address=OWN)


class Sent(NamedTuple):
    relay: str
    address: str


class RecordingMesh:
    """Notes what the link sends, and by which way."""

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


class TestAsking:
    def _link(
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

    def test_answered_it_asks_directly(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        link, mesh = self._link(monkeypatch)
        link._ask(100.4)
        assert mesh.sent == [Sent("", CONTROL)]

    def test_unanswered_it_asks_through_other_entries_in_turn(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """An entry is cut off from control, other entries are not.

        Its lease would run out after two seconds, and it would refuse
        work. One of the others may be cut off like it, so it asks another
        each time, and directly too, as the cut may have healed.
        """
        link, mesh = self._link(monkeypatch)
        for now_s in (100.8, 101.2):
            link._ask(now_s)
        through = [sent for sent in mesh.sent if sent.relay]
        assert {sent.relay for sent in through} == set(PEERS)
        assert {sent.address for sent in mesh.sent} == {CONTROL}
        assert mesh.sent.count(Sent("", CONTROL)) == 2

    def test_the_way_that_worked_is_kept(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        link, mesh = self._link(monkeypatch)
        mesh.relay = PEERS[1]
        for now_s in (100.8, 101.2, 101.6):
            link._ask(now_s)
        relays = {sent.relay for sent in mesh.sent if sent.relay}
        assert relays == {PEERS[1]}


class TestTold:
    def test_addresses_of_a_process_that_was_left_are_not_taken(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """An entry leaves a control process that was cut off.

        That one goes on telling it for five seconds, and forgets all entries
        meanwhile. 27 of 88 entries took its empty list and sent on nobody who
        asked them for an address; the new process has told its own list once
        and does not repeat it.
        """
        monkeypatch.setattr(link_module, "boottime_s", lambda: 100.0)
        settings = LinkSettings("vm-1", "a", OWN, (CONTROL,), (b"k" * 32,))
        link = ControlLink(settings, lambda: ADDRESS)
        link._handle_message(CONTROL, AddressList((ADDRESS,)))
        link._handle_message(LEFT, AddressList(()))
        assert link.addresses() == (ADDRESS,)


class TestLeaseLines:
    def test_each_change_is_one_line(
        self,
        monkeypatch: pytest.MonkeyPatch,
        caplog: pytest.LogCaptureFixture,
    ) -> None:
        """An entry starts, gets a lease, and loses it with its control.

        On call, each of the three is looked for in the log; a line that
        stands twice looks like a lease that was lost in between.
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


class TestMoving:
    def test_a_list_that_came_before_the_move_is_used(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Control tells a list once; a data centre's callers got none."""
        link = link_of(1)
        link._handle_message(LEFT, AddressList((ADDRESS,)))
        assert link.addresses() == ()
        monkeypatch.setattr(link, "control_address", lambda: LEFT)
        assert link.addresses() == (ADDRESS,)

    def test_without_one_the_last_list_goes_on(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        link = link_of(1)
        link._handle_message(link.control_address(), AddressList((ADDRESS,)))
        assert link.addresses() == (ADDRESS,)
        monkeypatch.setattr(link, "control_address", lambda: LEFT)
        assert link.addresses() == (ADDRESS,)


class TestSessions:
    STAY: Final = SessionsStay("words", "v2", 0, (7,))

    def test_they_are_told_to_control_and_heard_from_it(self) -> None:
        link = link_of(1)
        mailbox = Mailbox()
        link.mesh = mailbox  # type: ignore[assignment]
        heard: list[SessionsStay] = []
        link.add_listener(SessionsStay, heard.append)
        link.send(self.STAY)
        assert mailbox.sent == [(link.control_address(), self.STAY)]
        link._handle_message(link.control_address(), self.STAY)
        assert heard == [self.STAY]
