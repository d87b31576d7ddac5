"""What the HTTP servers of all processes share: a stop that cuts nothing.

uvicorn closes its listeners and its idle connections at once. The kernel
resets connections that wait to be accepted, and a connection on which a
request has arrived but was not read yet; their callers cannot tell whether
it has run.
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

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

POLL_INTERVAL_S: Final = 0.05
_LOG = logging.getLogger(__name__)


class HttpProtocol(HttpToolsProtocol):
    """A connection that is not closed as idle with a request on it."""

    def timeout_keep_alive_handler(self) -> None:
        """Close the idle connection, unless a request has arrived on it."""
        if not self.has_unread():
            super().timeout_keep_alive_handler()

    def shutdown(self) -> None:
        """Close where idle, or after the answer that is under way."""
        idle = self.cycle is None or self.cycle.response_complete
        if not idle or not self.has_unread():
            super().shutdown()

    def has_unread(self) -> bool:
        """Tell whether bytes of a request wait to be read.

        A busy process comes to its timers before it reads them.
        """
        readable = poll()
        readable.register(self.transport.get_extra_info("socket"), POLLIN)
        return bool(readable.poll(0))


class HttpServer(uvicorn.Server):
    """A server of these listeners whose planned stop resets nothing.

    Its configuration's ``http`` is an `HttpProtocol` class.
    """

    def __init__(
        self, config: uvicorn.Config, listeners: Sequence[socket.socket]
    ) -> None:
        super().__init__(config)
        self.listeners = listeners
        self._accepted: list[asyncio.Task[None]] = []

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signals to the process, which makes a planned stop of them."""
        yield

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Accept nothing new, and return when all connections are closed."""
        self.stop_accepting()
        await asyncio.gather(*self._accepted)
        await self.drain()
        await super().shutdown(sockets)

    async def drain(self) -> None:
        """Let what runs end; another server may bound or soften this."""
        await self.end_connections()

    def stop_accepting(self) -> None:
        """Take the connections that wait to be accepted, and no more."""
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
        """Close what is idle until no connection is left."""
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
