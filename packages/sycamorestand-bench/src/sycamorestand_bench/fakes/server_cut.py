"""Cut one entry off from all backend servers.

Callers, control and other entries still reach it, and the servers run on.
"""

from __future__ import annotations

import asyncio
from typing import Any
from typing import Literal
from typing import TYPE_CHECKING

from sycamorestand_entry.upstream import ConnectFailed
from sycamorestand_entry.upstream import ConnectTimedOut

if TYPE_CHECKING:
    from sycamorestand_bench.fakes.routed import RoutedLoopback
    from sycamorestand_entry.upstream import UpstreamConnection

CutKind = Literal["hang", "reset", "refuse"]


class ServerCut:
    """The links of one entry to all backend servers.

    With ``hang`` nothing arrives in either direction, and dials time out.
    With ``reset`` open connections are reset and dials refused; with
    ``refuse`` dials are refused and open connections live on. ``dials``
    counts the dials to servers.
    """

    def __init__(self, loopback: RoutedLoopback) -> None:
        self.dials = 0
        self._control = loopback.control
        self._pool = loopback.entry.context.pool
        self._connect = self._pool._connect
        self._kind: CutKind | None = None
        self._open: list[UpstreamConnection] = []
        self._pool._connect = self._dial  # type: ignore[method-assign]

    def begin(self, kind: CutKind) -> None:
        """Cut all links to servers."""
        self._kind = kind
        if kind == "refuse":
            return
        for connection in self._open:
            if kind == "reset":
                connection.connection_lost(ConnectionResetError())
            else:
                _silence(connection)
        self._open.clear()

    def heal(self) -> None:
        """Let new connections work again."""
        self._kind = None

    async def _dial(
        self, address: str, loop: asyncio.AbstractEventLoop
    ) -> UpstreamConnection:
        servers = self._control.backend_servers().values()
        if address not in {server.address for server in servers}:
            return await self._connect(address, loop)
        self.dials += 1
        if self._kind == "hang":
            await asyncio.sleep(self._pool.connect_timeout_s)
            raise ConnectTimedOut("it takes no connection")
        if self._kind is not None:
            raise ConnectFailed("it takes no connection")
        connection = await self._connect(address, loop)
        self._open.append(connection)
        return connection


class _DeadTransport:
    """Drops what is written, and passes on everything else."""

    def __init__(self, transport: Any) -> None:
        self._transport = transport

    def write(self, data: bytes) -> None:
        """Drop the bytes."""

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


def _silence(connection: Any) -> None:
    connection.data_received = lambda data: None
    connection._transport = _DeadTransport(connection._transport)


__all__ = ["CutKind", "ServerCut"]
