"""Tell which backend servers are cold, from what an entry knows of them.

A server that has just started, or has lost its caches, bears few requests a
second and ends under more. It looks idle, and every entry would send it the
next request. It says in its announcements how long it stays cold, but these
come late: a server that ended and is back, or whose data centre was empty
until a moment ago, may be cold before anybody is told. Such a server is
presumed to be cold until it announces itself anew, or has had the time to.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from sycamorestand_model.backend_servers import Announcement

# A server renews its announcement several times in a lease.
PRESUMED_LEASE_SHARE: Final = 0.5


class _Cold(NamedTuple):
    incarnation: int
    sequence: int
    until_s: float


class ColdServers:
    """The servers that are cold, by name, each until a moment."""

    def __init__(self) -> None:
        self._told: dict[str, _Cold] = {}
        self._presumed: dict[str, _Cold] = {}

    def update(
        self, servers: Mapping[str, Announcement], now_s: float
    ) -> None:
        """Take in the newest announcements of all servers.

        ``cold_left_s`` counts from here: the announcement may be older, so
        that a server is held to be cold for a little too long.
        """
        told = {}
        for server in servers.values():
            if server.cold_left_s <= 0:
                continue
            known = self._told.get(server.name)
            number = (server.incarnation, server.sequence)
            if known is None or known[:2] != number:
                known = _Cold(*number, now_s + server.cold_left_s)
            told[server.name] = known
        self._told = told
        self._presumed = {
            name: cold
            for name, cold in self._presumed.items()
            if cold.until_s > now_s
            and name in servers
            and not _is_newer(servers[name], cold)
        }

    def presume(self, servers: Iterable[Announcement], now_s: float) -> None:
        """Hold servers to be cold that may have turned so unnoticed."""
        for server in servers:
            until_s = now_s + PRESUMED_LEASE_SHARE * server.lease_s
            self._presumed[server.name] = _Cold(
                server.incarnation, server.sequence, until_s
            )

    def until_s(self) -> dict[str, float]:
        """Return until when each server is cold, some maybe in the past."""
        found = {name: cold.until_s for name, cold in self._presumed.items()}
        for name, cold in self._told.items():
            found[name] = max(cold.until_s, found.get(name, 0.0))
        return found


def _is_newer(server: Announcement, cold: _Cold) -> bool:
    return (server.incarnation, server.sequence) > cold[:2]


__all__ = ["ColdServers", "PRESUMED_LEASE_SHARE"]
