"""A base for HTTP servers whose planned stop resets no connection.

On shutdown uvicorn closes its listeners and its idle connections at once.
The kernel then resets connections that wait to be accepted and connections
with a request that has arrived but was not read. Callers of reset
connections cannot tell whether their request has run.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import logging
from select import poll
from select import POLLIN
import socket
from typing import Final

from sycamorestand_peer.uvicorn_parts import Config
from sycamorestand_peer.uvicorn_parts import HttpToolsProtocol
from sycamorestand_peer.uvicorn_parts import Server

POLL_INTERVAL_S: Final = 0.05
_LOG = logging.getLogger(__name__)


class HttpProtocol(HttpToolsProtocol):
    """A connection that stays open while it has an unread request."""

    def timeout_keep_alive_handler(self) -> None:
        """Close the idle connection, unless a request has arrived on it."""
        if not self.has_unread():
            super().timeout_keep_alive_handler()

    def shutdown(self) -> None:
        """Close the connection now if idle, else after its response.

        An idle connection with an unread request is not closed.
        """
        idle = self.cycle is None or self.cycle.response_complete
        if not idle or not self.has_unread():
            super().shutdown()

    def has_unread(self) -> bool:
        """Return whether the socket holds unread bytes of a request.

        The event loop of a busy process may run a timer before it reads
        bytes that have already arrived.
        """
        readable = poll()
        readable.register(self.transport.get_extra_info("socket"), POLLIN)
        return bool(readable.poll(0))


class HttpServer(Server):
    """A server on ``listeners`` whose planned stop resets no connection.

    The ``http`` setting of its configuration must be `HttpProtocol` or a
    subclass.
    """

    def __init__(
        self, config: Config, listeners: Sequence[socket.socket]
    ) -> None:
        super().__init__(config)
        self.listeners = listeners
        self._accepted: list[asyncio.Task[None]] = []

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers: the process handles signals itself."""
        yield

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Stop accepting and return once all connections are closed."""
        self.stop_accepting()
        await asyncio.gather(*self._accepted)
        await self.drain()
        await super().shutdown(sockets)

    async def drain(self) -> None:
        """Wait for open connections to end; subclasses may limit the wait."""
        await self.end_connections()

    def stop_accepting(self) -> None:
        """Accept the connections in the backlog, then close the listeners."""
        loop = asyncio.get_running_loop()
        for listener in self.listeners:
            with contextlib.suppress(BlockingIOError):
                while True:
                    connection, _ = listener.accept()
                    self._accepted.append(
                        loop.create_task(self._serve_connection(connection))
                    )
        for server in self.servers:
            server.close()

    async def end_connections(self) -> None:
        """Close connections as they become idle, until none is left."""
        while connections := list(self.server_state.connections):
            for connection in connections:
                connection.shutdown()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _serve_connection(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._make_protocol, connection)
        except OSError as error:
            _LOG.info("connection lost", extra={"reason": str(error)})

    def _make_protocol(self) -> asyncio.Protocol:
        protocol: type[HttpProtocol] = self.config.http_protocol_class  # type: ignore[assignment]
        return protocol(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )


__all__ = ["HttpProtocol", "HttpServer", "POLL_INTERVAL_S"]
