"""Run the entry hub of a control process in memory, without a network."""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_control.control_directory import ControlDirectory
from sycamorestand_control.control_directory import ControlReport
from sycamorestand_control.hub import EntryHub
from sycamorestand_control.tables import SharedTables
from sycamorestand_entry.control.link import ControlLink
from sycamorestand_entry.control.link import LinkSettings
from sycamorestand_model.entry_reports import EntryAddress
from sycamorestand_peer.messages import LeaseRequest
from sycamorestand_state.leases import ENTRY_LEASE_S
from sycamorestand_state.leases import LeaseGrant

if TYPE_CHECKING:
    from sycamorestand_model.in_force import InForce

CONTROL: Final = "10.0.0.1:7000"
DATA_CENTRES: Final = ("marietta", "gainesville", "dalton")


class InMemoryControl:
    """The shared tables and entry hub of one control process.

    Entries attach with `attach`. The hub sends to a `FakeMesh`, and
    `deliver` passes the messages on to a link in the order of sending.
    """

    def __init__(self, configuration: InForce) -> None:
        self._mesh = FakeMesh()
        mesh: Any = self._mesh
        leases: Any = _Leases(configuration.revision)
        directory = ControlDirectory(CONTROL)
        own = ControlReport("vm-control", DATA_CENTRES[0])
        directory.record(CONTROL, own)
        tables = SharedTables(mesh, directory, tuple)
        self._hub = EntryHub(
            mesh, leases, tables, lambda: configuration, tuple
        )
        self._requests = 0

    def attach(self, number: int) -> None:
        """Request a lease for the entry with this number."""
        self._requests += 1
        request = LeaseRequest(
            entry_address(number), 1, self._requests, 0.0, 0
        )
        sender = entry_address(number).peer_address
        self._hub.handle_lease_request(sender, request)

    def deliver(self, link: ControlLink) -> None:
        """Push address lists and deliver the link's pending messages.

        Pending messages to other addresses are dropped.
        """
        self._hub._push_addresses()
        sent, self._mesh.sent = self._mesh.sent, []
        for address, message in sent:
            if address == link.mesh.address:
                link._handle_message(CONTROL, message)


def entry_address(number: int) -> EntryAddress:
    """Return the address of the entry with this number."""
    host = f"10.1.{number // 250}.{number % 250 + 1}"
    centre = DATA_CENTRES[number % len(DATA_CENTRES)]
    peer = f"{host}:7001"
    return EntryAddress(f"vm-{number}", centre, host, 80, peer_address=peer)


def make_link(number: int) -> ControlLink:
    """Return a link for the entry with this number, without starting it."""
    own = entry_address(number)
    settings = LinkSettings(
        own.vm, own.data_centre, own.peer_address, (CONTROL,), (b"k" * 32,)
    )
    return ControlLink(settings, lambda: own)


class FakeMesh:
    """Stands in for `PeerMesh` and records the messages that are sent."""

    incarnation = 1

    def __init__(self, address: str = CONTROL) -> None:
        self.address = address
        self.sent: list[tuple[str, Any]] = []
        self.silences_s: dict[str, float] = {}

    def send(self, address: str, message: Any) -> None:
        self.sent.append((address, message))

    def silence_s(self, address: str) -> float:
        return self.silences_s.get(address, 0.0)

    def close_link(self, address: str) -> None: ...

    def add_incarnation_listener(self, listener: Any) -> None: ...

    def take_messages(self, kind: type) -> list[Any]:
        """Remove the recorded messages of one type and return them."""
        matching = [m for _, m in self.sent if isinstance(m, kind)]
        self.sent = [(a, m) for a, m in self.sent if not isinstance(m, kind)]
        return matching


class _Leases:
    """Grants every lease, like a control process that has a quorum."""

    def __init__(self, revision: int) -> None:
        self._revision = revision

    def grant_entry(self, holder: str, acked_revision: int) -> LeaseGrant:
        return LeaseGrant(ENTRY_LEASE_S, self._revision)

    def remaining_s(self) -> float:
        return ENTRY_LEASE_S


__all__ = [
    "CONTROL",
    "entry_address",
    "FakeMesh",
    "InMemoryControl",
    "make_link",
]
