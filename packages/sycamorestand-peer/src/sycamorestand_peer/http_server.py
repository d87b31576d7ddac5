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
import socket
from typing import Final

from sycamorestand_peer.http_connection import HttpProtocol
from sycamorestand_peer.uvicorn_parts import Config
from sycamorestand_peer.uvicorn_parts import Server

POLL_INTERVAL_S: Final = 0.05
# Connections that wait to be accepted, and those accepted in one iteration of
# the event loop: each has its descriptor before it can be refused.
BACKLOG: Final = 2048
ACCEPTS_PER_TURN: Final = 16
_LOG = logging.getLogger(__name__)


class HttpServer(Server):
    """A server on ``listeners`` whose planned stop resets no connection.

    The ``http`` setting of its configuration must be `HttpProtocol` or a
    subclass.
    """

    def __init__(
        self, config: Config, listeners: Sequence[socket.socket]
    ) -> None:
        config.backlog = ACCEPTS_PER_TURN
        super().__init__(config)
        self.listeners = listeners
        self._accepted: list[asyncio.Task[None]] = []

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers: the process handles signals itself."""
        yield

    async def startup(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Begin to accept connections."""
        await super().startup(sockets)
        # The event loop takes the backlog for the number of accepts as well.
        for listener in self.listeners:
            listener.listen(BACKLOG)

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
            for connection in _accept_all(listener):
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

    def _make_protocol(self) -> HttpProtocol:
        protocol: type[HttpProtocol] = self.config.http_protocol_class  # type: ignore[assignment]
        return protocol(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )


def _accept_all(listener: socket.socket) -> Iterator[socket.socket]:
    while True:
        try:
            connection, _ = listener.accept()
        except BlockingIOError:
            return
        except OSError as error:
            # A crowd in the backlog may be larger than what is left.
            _LOG.warning("connections reset", extra={"reason": str(error)})
            return
        yield connection


__all__ = ["HttpProtocol", "HttpServer", "POLL_INTERVAL_S"]
