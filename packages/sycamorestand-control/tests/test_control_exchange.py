"""Reports between control processes, over a mesh that keeps them."""

from __future__ import annotations

from typing import Any

import msgspec

from sycamorestand_control.control_directory import ControlDirectory
from sycamorestand_control.control_directory import ControlReport
from sycamorestand_control.control_exchange import ControlExchange
from sycamorestand_control.control_exchange import CONTROLS
from sycamorestand_peer.messages import TableUpdate

OWN = "10.0.0.1:1"
NAMED = "10.0.0.2:1"
STRANGER = "10.0.0.3:1"
TOLD = "10.0.0.4:1"
MEMBER = "10.0.0.5:1"
REPORT = ControlReport("vm", "dalton")


class FakeMesh:
    """Keeps what was sent, by address."""

    address = OWN

    def __init__(self) -> None:
        self.sent: list[tuple[str, ControlReport]] = []

    def send(self, address: str, message: TableUpdate) -> None:
        report = msgspec.msgpack.decode(message.payload, type=ControlReport)
        self.sent.append((address, report))

    def receivers(self) -> set[str]:
        """Return and forget to whom reports were sent."""
        receivers = {address for address, _ in self.sent}
        self.sent.clear()
        return receivers


def make_exchange(mesh: Any) -> ControlExchange:
    directory = ControlDirectory(OWN, (NAMED,))
    return ControlExchange(mesh, directory, lambda: REPORT, lambda: (MEMBER,))


def receive(exchange: ControlExchange, sender: str, *known: str) -> None:
    payload = msgspec.msgpack.encode(REPORT._replace(known=known))
    exchange.handle_report(sender, TableUpdate(CONTROLS, payload))


class TestAnswers:
    def test_unknown_process_and_those_that_it_knows_get_a_report(
        self,
    ) -> None:
        """A process that nobody named heard of nobody."""
        mesh = FakeMesh()
        receive(make_exchange(mesh), STRANGER, TOLD)
        assert {STRANGER, TOLD} <= mesh.receivers()

    def test_report_that_lists_this_process_is_not_answered(self) -> None:
        """Two processes answered each other's answers without end."""
        mesh = FakeMesh()
        exchange = make_exchange(mesh)
        receive(exchange, STRANGER)
        mesh.receivers()
        receive(exchange, STRANGER, OWN)
        receive(exchange, STRANGER)
        assert mesh.receivers() == set()

    def test_only_members_and_heard_processes_are_passed_on(self) -> None:
        """Processes told each other of a VM that was gone for ever."""
        mesh = FakeMesh()
        receive(make_exchange(mesh), STRANGER, TOLD)
        assert mesh.sent[0][1].known == (MEMBER, STRANGER)
