"""Exchanges the sums of the work that all entries have at each server.

The sums are soft state of every control process. Nothing is written to a
log and no leader is needed, so that they are also sent while there is none.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from sycamorestand_decisions.load_sums import CONTROL_REPEAT_S
from sycamorestand_decisions.load_sums import ENTRY_REPEAT_S
from sycamorestand_decisions.load_sums import INTERVAL_S
from sycamorestand_decisions.load_sums import LoadSums
from sycamorestand_decisions.load_sums import UnsentLoads
from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.messages import SharedLoads

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Container
    from collections.abc import Iterable

    from sycamorestand_model.server_loads import SharedLoad
    from sycamorestand_peer.mesh import PeerMesh
    from sycamorestand_peer.messages import EntryLoads


class LoadExchange:
    """Adds up reports of entries, and exchanges the sums.

    ``entries`` and ``others`` return the peer addresses of the entries
    attached here and of the other control processes, ``servers`` the names
    of the servers that are announced. ``received`` and ``sent`` count
    messages, ``known_servers`` the servers in the last sums.
    """

    def __init__(
        self,
        mesh: PeerMesh,
        entries: Callable[[], Iterable[str]],
        others: Callable[[], Iterable[str]],
        servers: Callable[[], Container[str]],
    ) -> None:
        self._mesh = mesh
        self._entries = entries
        self._others = others
        self._servers = servers
        self._sums = LoadSums()
        self._to_entries = UnsentLoads(ENTRY_REPEAT_S)
        self._to_others = UnsentLoads(CONTROL_REPEAT_S)
        self.known_servers = 0
        self.received = 0
        self.sent = 0

    def handle_entry_loads(self, sender: str, message: EntryLoads) -> None:
        """Store what an entry reports."""
        self.received += 1
        self._sums.record_entry(sender, message.loads, boottime_s())

    def handle_shared_loads(self, sender: str, message: SharedLoads) -> None:
        """Store the partial sums of another control process."""
        if message.is_partial:
            self.received += 1
            self._sums.record_partial(sender, message.loads, boottime_s())

    async def run(self) -> None:
        """Exchange sums every `INTERVAL_S`, until cancelled."""
        while True:
            await anyio.sleep(INTERVAL_S)
            self.exchange(boottime_s())

    def exchange(self, now_s: float) -> None:
        """Send the partial sums to the others, the total to the entries."""
        partial, total = self._sums.sums(self._servers(), now_s)
        self.known_servers = len(total)
        for loads in self._to_entries.take(total, now_s):
            self._send(self._entries(), SharedLoads(loads))
        for loads in self._to_others.take(partial, now_s):
            self._send(self._others(), SharedLoads(loads, is_partial=True))

    def total(self) -> dict[str, SharedLoad]:
        """Return what all entries know and have at each server now."""
        return self._sums.sums(self._servers(), boottime_s()).total

    def oldest_age_s(self) -> float:
        """Return the age of the oldest report in the sums."""
        return self._sums.oldest_age_s(boottime_s())

    def _send(self, addresses: Iterable[str], message: SharedLoads) -> None:
        for address in addresses:
            self.sent += 1
            self._mesh.send(address, message)


__all__ = ["LoadExchange"]
