"""Soft state that control processes share: backend servers and entries.

Each process receives the announcements of some servers and entries itself
and sends them to the other processes as versioned deltas. It sends the
merged table of backend servers to its entries, also as deltas. Nothing is
stored on disk: after a restart, servers and entries announce themselves
again within their leases.
"""

from __future__ import annotations

from collections.abc import Iterable
import logging
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio
import msgspec

from sycamorestand_model.entry_reports import EntryAddress
from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.messages import TableResync
from sycamorestand_peer.messages import TableUpdate
from sycamorestand_state.directory import BackendDirectory
from sycamorestand_state.directory import DirectoryDelta
from sycamorestand_state.leases import ENTRY_LEASE_S
from sycamorestand_state.loads import LoadUpdate
from sycamorestand_state.loads import MAX_LOADS
from sycamorestand_state.nodes import NodeDelta
from sycamorestand_state.nodes import NodeRecord
from sycamorestand_state.nodes import NodeRegistry
from sycamorestand_state.rendezvous import subset
from sycamorestand_state.versioned_map import UNKNOWN_VERSION

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_control.control_directory import ControlDirectory
    from sycamorestand_model.backend_servers import Announcement
    from sycamorestand_peer.mesh import PeerMesh
    from sycamorestand_peer.messages import LeaseRequest
    from sycamorestand_state.registry import Registry

LOG: Final = logging.getLogger(__name__)
SEND_INTERVAL_S: Final = 0.1
# A process without changes sends an empty delta as a keepalive. The other
# processes drop its records after three missed ones.
KEEPALIVE_INTERVAL_S: Final = 1.0
LOADS_INTERVAL_S: Final = 1.0
BACKEND_SERVERS: Final = "backend_servers"
ENTRIES: Final = "entries"
LOADS: Final = "loads"
# An entry that got no grant for this long refuses new work, so callers are
# no longer sent to it.
NODE_LEASE_S: Final = ENTRY_LEASE_S
# The number of servers whose load is sent to an entry. An entry chooses
# between two servers at a time, so further ones would be servers that it
# hardly uses.
LOADS_PER_ENTRY: Final = 24


class ControlName(NamedTuple):
    """The VM and data centre of a control process, for display."""

    vm: str
    data_centre: str


UNNAMED: Final = ControlName("", "")


class EntryState(NamedTuple):
    """The revision and lease of an entry attached to this process."""

    acked_revision: int
    lease_ends_s: float = 0.0


class SharedTables:
    """The backend servers and entries that this process knows.

    ``controls`` has the reports of the control processes. ``others`` returns
    the peer addresses of those that the tables are sent to.
    ``resyncs`` counts the deltas that showed a gap.
    """

    def __init__(
        self,
        mesh: PeerMesh,
        controls: ControlDirectory,
        others: Callable[[], tuple[str, ...]],
    ) -> None:
        self._mesh = mesh
        self._controls = controls
        self._others = others
        self._servers = BackendDirectory(mesh.address, mesh.incarnation)
        self._last_logged: dict[str, dict[str, object]] = {}
        self._entries = NodeRegistry(mesh.address, mesh.incarnation)
        mesh.add_incarnation_listener(self._servers.begin_epoch)
        mesh.add_incarnation_listener(self._entries.begin_epoch)
        self._states: dict[str, EntryState] = {}
        self._streams = {
            BACKEND_SERVERS: _DeltaStreams(
                mesh, BACKEND_SERVERS, self._servers
            ),
            ENTRIES: _DeltaStreams(mesh, ENTRIES, self._entries),
        }
        self.resyncs = 0

    def handle_announcement(self, announcement: Announcement) -> None:
        """Merge an announcement that an attached entry has relayed."""
        if self._servers.announce(announcement, boottime_s()):
            self._log_server(announcement)

    def _log_server(self, announcement: Announcement) -> None:
        """Log an announcement if any logged field has changed."""
        fields = {
            "server": announcement.name,
            "address": announcement.address,
            "versions": announcement.versions,
            "leaving": announcement.leaving,
            "incarnation": announcement.incarnation,
        }
        if self._last_logged.get(announcement.name) != fields:
            self._last_logged[announcement.name] = fields
            LOG.info("backend server announced", extra=fields)

    def record_entry(self, sender: str, message: LeaseRequest) -> None:
        """Record that an attached entry is alive, and its revision."""
        address = message.address
        record = NodeRecord(
            address.vm,
            address.vm,
            address.data_centre,
            message.incarnation,
            message.sequence,
            address.host,
            address.port,
            sender,
            address.stopping,
            address.load,
            NODE_LEASE_S,
            address.unreached,
            address.forwarding_key,
            address.region,
        )
        self._entries.announce(record, boottime_s())
        state = self._states.get(address.vm, EntryState(0))
        self._states[address.vm] = state._replace(
            acked_revision=message.acked_revision
        )

    def record_grant(self, vm: str, length_s: float) -> None:
        """Record a lease that was granted to an attached entry."""
        state = self._states.get(vm, EntryState(0))
        ends_s = boottime_s() + length_s
        self._states[vm] = state._replace(lease_ends_s=ends_s)

    def servers(self) -> dict[str, Announcement]:
        """Return the known backend servers by name."""
        return self._servers.servers()

    def entries(self) -> dict[str, NodeRecord]:
        """Return the known entries by VM."""
        return self._entries.nodes()

    def stopping_vms(self) -> frozenset[str]:
        """Return the VMs whose entry is in a planned stop."""
        nodes = self._entries.nodes().values()
        return frozenset(node.vm for node in nodes if node.stopping)

    def entry_state(self, vm: str) -> EntryState | None:
        """Return an entry's state, None if it is not attached here."""
        return self._states.get(vm)

    def control_name(self, address: str) -> ControlName:
        """Return the name of the control process with a peer address.

        Both of its parts are empty while the process is not known.
        """
        report = self._controls.report_of(address)
        if report is None:
            return UNNAMED
        return ControlName(report.vm, report.data_centre)

    def load(self, name: str) -> Any:
        """Return the last reported load of a backend server, if any."""
        return self._servers.load(name, boottime_s())

    def addresses(
        self,
        data_centre: str,
        caller: str,
        limit: int,
        draining_vms: tuple[str, ...],
    ) -> tuple[EntryAddress, ...]:
        """Return at most ``limit`` entry addresses, the best one first."""
        return tuple(
            EntryAddress(
                node.vm,
                node.data_centre,
                node.host,
                node.port,
                node.stopping,
                node.load,
                node.peer_address,
                node.unreached,
                node.forwarding_key,
                node.region,
            )
            for node in self._entries.addresses(
                caller, data_centre, limit, draining_vms
            )
        )

    def handle_update(self, sender: str, message: TableUpdate) -> None:
        """Merge a table update; request a full one if there is a gap."""
        now_s = boottime_s()
        if message.table == LOADS:
            update = msgspec.msgpack.decode(message.payload, type=LoadUpdate)
            self._servers.apply_loads(update, now_s)
            return
        if message.table == BACKEND_SERVERS:
            delta = msgspec.msgpack.decode(
                message.payload, type=DirectoryDelta
            )
            outcome = self._servers.apply_delta(delta, now_s)
        else:
            node_delta = msgspec.msgpack.decode(
                message.payload, type=NodeDelta
            )
            outcome = self._entries.apply_delta(node_delta, now_s)
        if outcome == "resync":
            self.resyncs += 1
            self._mesh.send(sender, TableResync(message.table))

    def handle_resync(self, sender: str, message: TableResync) -> None:
        """Have the next delta to the sender contain the full table."""
        stream = self._streams.get(message.table)
        if stream is not None:
            stream.reset(sender)

    def send_to_entry(self, address: str) -> None:
        """Send an entry the changes of backend servers that it lacks."""
        stream = self._streams[BACKEND_SERVERS]
        stream.send(address, merged=True)

    def send_loads_to_entry(self, address: str, vm: str) -> None:
        """Send an entry the loads of its preferred servers.

        These are at most `LOADS_PER_ENTRY`, chosen by rendezvous hashing.
        """
        names = subset(vm, self.servers(), LOADS_PER_ENTRY)
        self._send_loads(address, names)

    async def run(self) -> None:
        """Expire records and send deltas to the others, until cancelled."""
        next_loads_s = 0.0
        while True:
            await anyio.sleep(SEND_INTERVAL_S)
            now_s = boottime_s()
            for name in self._servers.expire(now_s):
                self._last_logged.pop(name, None)
                LOG.info("backend server gone", extra={"server": name})
            for vm in self._entries.expire(now_s):
                self._states.pop(vm, None)
                LOG.info("entry gone", extra={"entry": vm})
            for address in self._others():
                for stream in self._streams.values():
                    stream.send(address, merged=False)
            if now_s >= next_loads_s:
                next_loads_s = now_s + LOADS_INTERVAL_S
                self._send_own_loads()

    def _send_own_loads(self) -> None:
        own = self._servers.own_full().changed
        names = tuple(own)
        for start in range(0, len(names), MAX_LOADS):
            for address in self._others():
                self._send_loads(address, names[start:][:MAX_LOADS])

    def _send_loads(self, address: str, names: Iterable[str]) -> None:
        update = self._servers.loads(names, boottime_s())
        if update.loads:
            payload = msgspec.msgpack.encode(update)
            self._mesh.send(address, TableUpdate(LOADS, payload))


class _Sent(NamedTuple):
    version: int
    at_s: float


class _DeltaStreams:
    """Sends deltas of one table and tracks the version each peer has."""

    def __init__(
        self, mesh: PeerMesh, table: str, registry: Registry[Any]
    ) -> None:
        self._mesh = mesh
        self._table = table
        self._registry = registry
        self._sent: dict[str, _Sent] = {}

    def reset(self, address: str) -> None:
        """Make the next delta to a peer a full table."""
        self._sent.pop(address, None)

    def send(self, address: str, *, merged: bool) -> None:
        """Send a delta if the table has changed or a keepalive is due.

        With ``merged`` it contains the records of all processes, otherwise
        only those that this process received itself.
        """
        registry = self._registry
        version = registry.version if merged else registry.own_version
        sent = self._sent.get(address, _Sent(UNKNOWN_VERSION, 0.0))
        now_s = boottime_s()
        if (
            version == sent.version
            and now_s - sent.at_s < KEEPALIVE_INTERVAL_S
        ):
            return
        if merged:
            delta = registry.delta_since(sent.version) or registry.full()
        else:
            delta = (
                registry.own_delta_since(sent.version) or registry.own_full()
            )
        self._sent[address] = _Sent(version, now_s)
        payload = msgspec.msgpack.encode(delta)
        self._mesh.send(address, TableUpdate(self._table, payload))


__all__ = [
    "BACKEND_SERVERS",
    "ControlName",
    "EntryState",
    "LOADS",
    "SharedTables",
]
