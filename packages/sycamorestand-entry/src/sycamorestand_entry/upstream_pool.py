"""Pool of idle connections to backend servers."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Final

from sycamorestand_entry.upstream import ConnectFailed
from sycamorestand_entry.upstream import UpstreamConnection

# Idle connections per address. Servers limit the connections of all clients
# together and reset those beyond the limit, so the connections that many
# entries keep after a burst must stay below it.
MAX_IDLE: Final = 16
# Share of the server's keep-alive timeout for which an idle connection is
# used. A request sent near the end of the timeout may cross the server's
# close, and then it is unknown whether it ran.
KEEP_ALIVE_SHARE: Final = 0.6


class UpstreamPool:
    """Idle connections by address, reused for a limited time."""

    def __init__(self, connect_timeout_s: float, idle_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle_s = idle_s
        self._idle: dict[str, deque[UpstreamConnection]] = {}

    async def acquire(
        self, address: str, max_idle_s: float
    ) -> UpstreamConnection:
        """Return an idle connection, or a new one if there is none.

        The connection was idle for less than ``max_idle_s``; zero always
        gives a new one. Raises `ConnectFailed`.
        """
        loop = asyncio.get_running_loop()
        idle = self._idle.get(address)
        bound_s = min(max_idle_s, self._idle_s)
        while idle:
            age_s = loop.time() - idle[-1].idle_since_s
            if age_s >= bound_s:
                # All other idle connections are older. They are kept,
                # because a request with a higher limit may use them.
                break
            connection = idle.pop()
            usable_s = connection.keep_alive_s * KEEP_ALIVE_SHARE
            if connection.usable and age_s < usable_s:
                return connection
            connection.close()
        return await self._connect(address, loop)

    def release(self, address: str, connection: UpstreamConnection) -> None:
        """Keep the connection for another request, or close it if unusable."""
        if not connection.usable:
            connection.close()
            return
        now_s = asyncio.get_running_loop().time()
        connection.idle_since_s = now_s
        idle = self._idle.setdefault(address, deque())
        idle.append(connection)
        # The youngest connection is always reused first, so the older ones
        # of a burst would otherwise never be closed.
        while len(idle) > MAX_IDLE or _is_stale(idle[0], now_s, self._idle_s):
            idle.popleft().close()

    def idle_count(self, address: str) -> int:
        """Return the number of idle connections to the address."""
        return len(self._idle.get(address, ()))

    def close(self) -> None:
        """Close every idle connection."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()

    async def _connect(
        self, address: str, loop: asyncio.AbstractEventLoop
    ) -> UpstreamConnection:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(loop),
                    host.strip("[]"),
                    int(port),
                )
        except (OSError, ValueError) as error:
            raise ConnectFailed("it takes no connection") from error
        return connection


def _is_stale(
    connection: UpstreamConnection, now_s: float, idle_s: float
) -> bool:
    expired = now_s - connection.idle_since_s > idle_s
    return expired or not connection.usable


__all__ = ["MAX_IDLE", "UpstreamPool"]
