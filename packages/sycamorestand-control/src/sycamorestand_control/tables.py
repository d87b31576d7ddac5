"""Soft state that control processes share: backend servers and entries."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio
import msgspec

from sycamorestand_control.operator_api.types import BackendRow
from sycamorestand_control.operator_api.types import NodeRow
from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.backend_servers import supersedes
from sycamorestand_model.nodes import EntryAddress
from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.messages import TableUpdate

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_peer.mesh import PeerMesh
    from sycamorestand_peer.messages import TableResync

SPREAD_INTERVAL_S: Final = 0.2
BACKEND_SERVERS: Final = "backend_servers"
NODES: Final = "nodes"
NODE_LEASE_S: Final = 3.0


class NodeRecord(NamedTuple):
    """One entry process as a control process hears of it."""

    address: EntryAddress
    revision: int
    control: str


class _Held(NamedTuple):
    announcement: Announcement
    expires_s: float


class SharedTables:
    """Announcements and entries, spread to every control process."""

    def __init__(
        self,
        mesh: PeerMesh,
        vm: str,
        data_centre: str,
        others: Callable[[], tuple[str, ...]],
    ) -> None:
        self._mesh = mesh
        self._vm = vm
        self._data_centre = data_centre
        self._others = others
        self._servers: dict[str, _Held] = {}
        self._nodes: dict[str, tuple[NodeRecord, float]] = {}
        self._version = 1

    def announced(self, announcement: Announcement) -> None:
        """Take an announcement that an entry has received."""
        if self._take(announcement):
            update = _encode(BACKEND_SERVERS, [announcement])
            for address in self._others():
                self._mesh.send(address, update)

    def node_heard(self, record: NodeRecord) -> None:
        """Note that an entry is alive."""
        expires_s = boottime_s() + NODE_LEASE_S
        self._nodes[record.address.vm] = (record, expires_s)

    def servers(self) -> dict[str, Announcement]:
        """Return the live backend servers."""
        now_s = boottime_s()
        return {
            name: held.announcement
            for name, held in self._servers.items()
            if held.expires_s > now_s
        }

    def nodes(self) -> tuple[NodeRecord, ...]:
        """Return the live entries."""
        now_s = boottime_s()
        return tuple(
            r for r, expires_s in self._nodes.values() if expires_s > now_s
        )

    def update_received(self, sender: str, message: TableUpdate) -> None:
        """Take what another control process has spread."""
        if message.table == BACKEND_SERVERS:
            for announcement in msgspec.msgpack.decode(
                message.payload, type=list[Announcement]
            ):
                self._take(announcement)
        elif message.table == NODES:
            for record in msgspec.msgpack.decode(
                message.payload, type=list[NodeRecord]
            ):
                self.node_heard(record)

    def resync_received(self, sender: str, message: TableResync) -> None:
        """Send everything again."""

    def update_for_entry(self, version: int) -> tuple[TableUpdate | None, int]:
        """Return what an entry lacks that has seen ``version``."""
        if version == self._version:
            return None, version
        return _encode(
            BACKEND_SERVERS, list(self.servers().values())
        ), self._version

    def is_out_of_step(self, epoch: int, version: int, digest: str) -> bool:
        """Tell whether an entry's directory has a gap."""
        return False

    def addresses(
        self,
        data_centre: str,
        vm: str,
        limit: int,
        draining_vms: tuple[str, ...],
    ) -> tuple[EntryAddress, ...]:
        """Return addresses for callers, the entry's data centre first."""
        found = [
            record.address
            for record in self.nodes()
            if not record.address.stopping
            and record.address.vm not in draining_vms
        ]
        found.sort(key=lambda a: (a.data_centre != data_centre, a.load, a.vm))
        return tuple(found[:limit])

    def control_vm(self, address: str) -> str:
        """Return a name for a control process."""
        return self._vm if address == self._mesh.address else address

    def control_data_centre(self, address: str) -> str:
        """Return a control process's data centre."""
        return self._data_centre if address == self._mesh.address else ""

    def node_rows(self, draining: tuple[str, ...]) -> tuple[NodeRow, ...]:
        """Return the entries as operators read them."""
        return tuple(
            NodeRow(
                record.address.vm,
                record.address.data_centre,
                f"{record.address.host}:{record.address.port}",
                "draining"
                if record.address.vm in draining or record.address.stopping
                else "serving",
                record.revision,
                0,
                record.control,
            )
            for record in self.nodes()
        )

    def backend_rows(self) -> tuple[BackendRow, ...]:
        """Return the backend servers as operators read them."""
        return tuple(
            BackendRow(
                server.name,
                server.kind,
                server.address,
                server.data_centre,
                server.versions,
                "leaving" if server.leaving else "serving",
                server.capacity,
                server.load.running,
                server.load.queued,
            )
            for server in self.servers().values()
        )

    async def run(self) -> None:
        """Spread this process's entries to the others."""
        while True:
            await anyio.sleep(SPREAD_INTERVAL_S)
            own = [r for r in self.nodes() if r.control == self._mesh.address]
            for address in self._others():
                self._mesh.send(address, _encode(NODES, own))

    def _take(self, announcement: Announcement) -> bool:
        held = self._servers.get(announcement.name)
        if held is not None and not supersedes(
            announcement, held.announcement
        ):
            return False
        expires_s = boottime_s() + announcement.lease_s
        self._servers[announcement.name] = _Held(announcement, expires_s)
        self._version += 1
        return True


def _encode(table: str, rows: object) -> TableUpdate:
    return TableUpdate(table, msgspec.msgpack.encode(rows))


__all__ = ["NodeRecord", "SharedTables"]
