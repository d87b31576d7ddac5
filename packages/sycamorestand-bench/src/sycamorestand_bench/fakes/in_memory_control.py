"""A control process in memory that tells entries what a real one tells."""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_control.hub import EntryHub
from sycamorestand_control.tables import ControlName
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
    """The tables and the hub of one control process, with a fake mesh.

    Entries attach with `attach`; `deliver` hands a link all that was sent
    to it since, in its order.
    """

    def __init__(self, configuration: InForce) -> None:
        self._mesh = FakeMesh()
        mesh: Any = self._mesh
        leases: Any = _Leases(configuration.revision)
        name = ControlName("vm-control", DATA_CENTRES[0])
        tables = SharedTables(mesh, name, tuple)
        self._hub = EntryHub(
            mesh, leases, tables, lambda: configuration, tuple
        )
        self._requests = 0

    def attach(self, number: int) -> None:
        """Renew the lease of the entry with a number."""
        self._requests += 1
        request = LeaseRequest(
            entry_address(number), 1, self._requests, 0.0, 0
        )
        sender = entry_address(number).peer_address
        self._hub.handle_lease_request(sender, request)

    def deliver(self, link: ControlLink) -> None:
        """Tell a link what it is to know now."""
        self._hub._push_addresses()
        sent, self._mesh.sent = self._mesh.sent, []
        for address, message in sent:
            if address == link.mesh.address:
                link._handle_message(CONTROL, message)


def entry_address(number: int) -> EntryAddress:
    """Return the address of the entry with a number."""
    host = f"10.1.{number // 250}.{number % 250 + 1}"
    centre = DATA_CENTRES[number % len(DATA_CENTRES)]
    peer = f"{host}:7001"
    return EntryAddress(f"vm-{number}", centre, host, 80, peer_address=peer)


def make_link(number: int) -> ControlLink:
    """Return the link of the entry with a number, which is not run."""
    own = entry_address(number)
    settings = LinkSettings(
        own.vm, own.data_centre, own.peer_address, (CONTROL,), (b"k" * 32,)
    )
    return ControlLink(settings, lambda: own)


class FakeMesh:
    """Keeps what is sent, in place of a mesh."""

    incarnation = 1

    def __init__(self, address: str = CONTROL) -> None:
        self.address = address
        self.sent: list[tuple[str, Any]] = []

    def send(self, address: str, message: Any) -> None:
        self.sent.append((address, message))

    def close_link(self, address: str) -> None: ...

    def take_messages(self, kind: type) -> list[Any]:
        """Return the messages of a kind that were sent since."""
        matching = [m for _, m in self.sent if isinstance(m, kind)]
        self.sent = [(a, m) for a, m in self.sent if not isinstance(m, kind)]
        return matching


class _Leases:
    """Grants every lease, as a process with a quorum does."""

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
