"""Takes servers out that fail most requests, by all entries' reports.

Every control process gathers what entries tell and asks its own for more. The
leader alone decides, and limits such a server as one that names a limit, so
that probes are shared by all entries and the first success ends it.
"""

from __future__ import annotations

import logging
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_control.groups import CONFIGURATION_GROUP
from sycamorestand_decisions.failing_servers import FailingServers
from sycamorestand_decisions.failing_servers import PROBES_PER_S
from sycamorestand_model.declarations import VERSION_SEPARATOR
from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.messages import ServersWatched

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from sycamorestand_control.groups import LogGroups
    from sycamorestand_control.limit_controller import LimitController
    from sycamorestand_model.backend_servers import Announcement
    from sycamorestand_peer.mesh import PeerMesh
    from sycamorestand_peer.messages import ServersSeen

LOG: Final = logging.getLogger(__name__)
TICK_S: Final = 0.2
REPEAT_INTERVAL_S: Final = 1.0
NOTHING_WATCHED: Final = ServersWatched(())


class FailureController:
    """Gathers failures, and limits servers that fail most requests.

    ``entries`` and ``others`` return the peer addresses of the entries
    attached here and of the other control processes.
    """

    def __init__(
        self,
        mesh: PeerMesh,
        groups: LogGroups,
        entries: Callable[[], Iterable[str]],
        others: Callable[[], Iterable[str]],
        servers: Callable[[], Mapping[str, Announcement]],
        limits: LimitController,
    ) -> None:
        self._mesh = mesh
        self._groups = groups
        self._entries = entries
        self._others = others
        self._servers = servers
        self._limits = limits
        self._failing = FailingServers()
        self._sent = NOTHING_WATCHED
        self._repeat_s = 0.0

    def handle_seen(self, sender: str, message: ServersSeen) -> None:
        """Add what an entry has seen, and tell the others of it."""
        now_s = boottime_s()
        for server, outcomes in message.servers.items():
            self._failing.record(server, outcomes, now_s)
        others = set(self._others())
        if sender not in others:
            for address in others:
                self._mesh.send(address, message)

    async def run(self) -> None:
        """Watch and decide until cancelled."""
        while True:
            await anyio.sleep(TICK_S)
            self.check(boottime_s())

    def check(self, now_s: float) -> None:
        """Tell the entries what to watch and, while leading, decide."""
        if self._failing.is_empty and self._sent == NOTHING_WATCHED:
            return
        services = {
            name: server.versions[0].partition(VERSION_SEPARATOR)[0]
            for name, server in self._servers().items()
            if server.versions and not server.leaving
        }
        watched = ServersWatched(self._failing.watch(services, now_s))
        self._push(watched, now_s)
        if not self._groups.is_leader(CONFIGURATION_GROUP):
            return
        limited = self._limits.limited_names
        for server in self._failing.find(services, limited, now_s):
            LOG.warning(
                "backend server fails most requests",
                extra={"backend_server": server, "probes_per_s": PROBES_PER_S},
            )
            self._limits.limit(server, PROBES_PER_S)

    def _push(self, message: ServersWatched, now_s: float) -> None:
        """Tell the entries attached here, repeatedly while any is watched."""
        is_due = message != NOTHING_WATCHED and now_s >= self._repeat_s
        if message == self._sent and not is_due:
            return
        self._sent = message
        self._repeat_s = now_s + REPEAT_INTERVAL_S
        for address in self._entries():
            self._mesh.send(address, message)


__all__ = ["FailureController", "TICK_S"]
