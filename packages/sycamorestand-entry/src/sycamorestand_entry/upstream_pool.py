"""Pool of idle connections to backend servers."""

from __future__ import annotations

import asyncio
from collections import deque
import errno
import math
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_decisions.server_loss import ServerLoss
from sycamorestand_entry.dial_timeout import dial_timeout
from sycamorestand_entry.upstream import ConnectFailed
from sycamorestand_entry.upstream import ConnectTimedOut
from sycamorestand_entry.upstream import PeerActivity
from sycamorestand_entry.upstream import UpstreamConnection

if TYPE_CHECKING:
    from collections.abc import Callable

# Idle connections per address. Servers limit the connections of all clients
# together and reset those beyond the limit, so the connections that many
# entries keep after a burst must stay below it.
MAX_IDLE: Final = 16
# Share of the server's keep-alive timeout for which an idle connection is
# used. A request sent near the end of the timeout may cross the server's
# close, and then it is unknown whether it ran.
KEEP_ALIVE_SHARE: Final = 0.6
UNREACHABLE_ERRNOS: Final = frozenset(
    {errno.EHOSTDOWN, errno.EHOSTUNREACH, errno.ENETUNREACH}
)


class UpstreamPool:
    """Idle connections by address, reused for a limited time.

    ``on_refused`` is called with the address of a server that refuses a
    connection.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        idle_s: float,
        loss: ServerLoss | None = None,
    ) -> None:
        self.connect_timeout_s = connect_timeout_s
        self._idle_s = idle_s
        self._loss = loss or ServerLoss()
        self._idle: dict[str, deque[UpstreamConnection]] = {}
        self._in_use: dict[str, set[UpstreamConnection]] = {}
        self._activities: dict[str, PeerActivity] = {}
        self.on_refused: Callable[[str], None] = _ignore_address

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
                self._in_use.setdefault(address, set()).add(connection)
                return connection
            connection.close()
        try:
            connection = await self._connect(address, loop)
        except ConnectTimedOut:
            self._loss.record_timed_out_dial(address)
            raise
        except ConnectFailed:
            self._loss.record_refused_dial(address)
            self.on_refused(address)
            raise
        self._loss.record_accepted_dial(address)
        self._in_use.setdefault(address, set()).add(connection)
        return connection

    def release(self, address: str, connection: UpstreamConnection) -> None:
        """Keep the connection for another request, or close it if unusable."""
        if not connection.usable:
            connection.close()
            self._remove(address, connection)
            return
        now_s = asyncio.get_running_loop().time()
        connection.idle_since_s = now_s
        idle = self._idle.setdefault(address, deque())
        idle.append(connection)
        self._remove(address, connection)
        # The youngest connection is always reused first, so the older ones
        # of a burst would otherwise never be closed.
        while len(idle) > MAX_IDLE or _is_stale(idle[0], now_s, self._idle_s):
            idle.popleft().close()

    def idle_count(self, address: str) -> int:
        """Return the number of idle connections to the address."""
        return len(self._idle.get(address, ()))

    def addresses_in_use(self) -> list[str]:
        """Return the addresses at which a request may be waiting."""
        return list(self._in_use)

    def last_byte_s(self, address: str) -> float:
        """Return when a byte last came from the address."""
        activity = self._activities.get(address)
        return activity.last_byte_s if activity else -math.inf

    def waiting_since_s(self, address: str) -> float:
        """Return when the oldest request was sent that waits there.

        Requests that wait whatever becomes of the server do not count. The
        result is infinite if no other request waits.
        """
        connections = self._in_use.get(address, ())
        return min(
            (c.sent_s for c in connections if c.reacts_to_loss),
            default=math.inf,
        )

    def react_to_loss(self, address: str) -> int:
        """Wake or end what waits at a lost server; return how many requests.

        Idle connections to it are closed: after its return they stay silent.
        """
        for connection in self._idle.pop(address, ()):
            connection.close()
        waiting = [
            connection
            for connection in self._in_use.get(address, ())
            if connection.reacts_to_loss
        ]
        for connection in waiting:
            connection.react_to_loss()
        return len(waiting)

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
        activity = self._activities.setdefault(address, PeerActivity())
        try:
            async with dial_timeout(self.connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(loop, activity),
                    host.strip("[]"),
                    int(port),
                )
        except (OSError, OverflowError, ValueError) as error:
            if isinstance(error, TimeoutError) or _is_unreachable(error):
                raise ConnectTimedOut("it takes no connection") from error
            raise ConnectFailed("it takes no connection") from error
        connection.on_closed = lambda: self._remove(address, connection)
        return connection

    def _remove(self, address: str, connection: UpstreamConnection) -> None:
        """Remove a connection from those in use."""
        connections = self._in_use.get(address)
        if connections is not None:
            connections.discard(connection)
            if not connections:
                del self._in_use[address]
        if address not in self._in_use and not self._idle.get(address):
            self._activities.pop(address, None)


def _ignore_address(address: str) -> None:
    """Do nothing, as nobody asks."""


def _is_unreachable(error: Exception) -> bool:
    """Return whether the network found no way to the server.

    Its VM is down, or the link to it. Other errors of a dial are refusals,
    or faults of this process, such as too many open files.
    """
    return isinstance(error, OSError) and error.errno in UNREACHABLE_ERRNOS


def _is_stale(
    connection: UpstreamConnection, now_s: float, idle_s: float
) -> bool:
    expired = now_s - connection.idle_since_s > idle_s
    return expired or not connection.usable


__all__ = ["MAX_IDLE", "UpstreamPool"]
