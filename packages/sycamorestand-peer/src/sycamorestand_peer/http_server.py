"""A base for HTTP servers whose planned stop resets no connection.

Its connections bound what they keep before a request's consumer has it.

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
from typing import NamedTuple

from sycamorestand_peer.byte_room import ByteRoom
from sycamorestand_peer.byte_room import RoomShare
from sycamorestand_peer.uvicorn_parts import Config
from sycamorestand_peer.uvicorn_parts import HttpToolsProtocol
from sycamorestand_peer.uvicorn_parts import Server

POLL_INTERVAL_S: Final = 0.05
# Of a head, or of trailers and chunk extensions since the last byte of a body.
MAX_FRAMING_BYTES: Final = 64 * 1024
# Of all heads that are incomplete, and of each one besides.
MAX_HEADS_BYTES: Final = 16 * 1024 * 1024
OWN_HEAD_BYTES: Final = 8 * 1024
# uvicorn has no timeout for the rest of a head, so connections that send
# only a part of one would use up the process's file descriptors.
HEAD_TIMEOUT_S: Final = 10.0
_LOG = logging.getLogger(__name__)


class RequestFault(NamedTuple):
    """Why the bytes of a connection are not read on."""

    status: int
    reason: str


HEAD_TOO_LARGE: Final = RequestFault(431, "the headers are too large")
HEAD_TIMED_OUT: Final = RequestFault(408, "the request's head did not come")
HEADS_TOO_MANY: Final = RequestFault(503, "too many heads are incomplete")
NO_REQUEST: Final = RequestFault(400, "the bytes received are no HTTP request")


class HttpProtocol(HttpToolsProtocol):
    """A connection that stays open while it has an unread request.

    It bounds what uvicorn does not: the bytes of a head, of trailers and of
    chunk extensions, and the time that a head may take. Trailers are not
    kept; uvicorn adds them to the headers.
    """

    head_timeout_s = HEAD_TIMEOUT_S
    # All connections of the process share it.
    heads_room = ByteRoom(MAX_HEADS_BYTES)
    _framing_bytes = 0
    _in_head = True
    _in_message = False
    _begun_messages = 0
    _head_timer: asyncio.TimerHandle | None = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        super().connection_made(transport)
        self._head_share = RoomShare(self.heads_room, OWN_HEAD_BYTES)
        self._begin_head()

    def connection_lost(self, exc: Exception | None) -> None:
        self._end_head()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        self._framing_bytes += len(data)
        self._begun_messages = 0
        is_between = not self._in_message
        super().data_received(data)
        if is_between and self._begun_messages == 1 and self._in_head:
            self._framing_bytes = len(data)
        if self._framing_bytes > MAX_FRAMING_BYTES:
            self._refuse(HEAD_TOO_LARGE)
        elif self._in_head and not self._hold_head():
            self._refuse(HEADS_TOO_MANY)

    def on_message_begin(self) -> None:
        self._in_message = True
        self._begun_messages += 1
        self._begin_head()
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_head:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        self._end_head()
        self._framing_bytes = 0
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        self._framing_bytes = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        self._in_message = False
        self._framing_bytes = 0
        super().on_message_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuse bytes that are not an HTTP request; uvicorn calls this."""
        self._refuse(NO_REQUEST)

    def refusal(self, fault: RequestFault) -> bytes:
        """Return the response to a head that is not read on."""
        head = (
            f"HTTP/1.1 {fault.status} Refused\r\n"
            "content-length: 0\r\n"
            "connection: close\r\n\r\n"
        )
        return head.encode()

    def timeout_keep_alive_handler(self) -> None:
        """Close the idle connection, unless a request has arrived on it."""
        if not self.has_unread():
            super().timeout_keep_alive_handler()

    def shutdown(self) -> None:
        """Close the connection now if idle, else after its response.

        An idle connection with an unread request is not closed.
        """
        if not (self._is_answered() and self.has_unread()):
            super().shutdown()

    def has_unread(self) -> bool:
        """Return whether a request has begun to arrive, also in the socket.

        The event loop of a busy process may run a timer before it reads
        bytes that have already arrived.
        """
        if self._in_head and self._framing_bytes > 0:
            return True
        readable = poll()
        readable.register(self.transport.get_extra_info("socket"), POLLIN)
        return bool(readable.poll(0))

    def _is_answered(self) -> bool:
        return self.cycle is None or self.cycle.response_complete

    def _begin_head(self) -> None:
        self._end_head()
        self._in_head = True
        self._framing_bytes = 0
        self._head_timer = self.loop.call_later(
            self.head_timeout_s, self._refuse, HEAD_TIMED_OUT
        )

    def _end_head(self) -> None:
        self._in_head = False
        self._head_share.release_all()
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _hold_head(self) -> bool:
        added_bytes = self._framing_bytes - self._head_share.held_bytes
        return self._head_share.take_fairly(added_bytes)

    def _refuse(self, fault: RequestFault) -> None:
        """Answer a request that is not read on, and close the connection.

        A response that is under way to an earlier one goes first.
        """
        in_head = self._in_head
        self._end_head()
        if self.transport.is_closing():
            return
        extra = {"status": fault.status, "reason": fault.reason}
        _LOG.info("connection refused", extra=extra)
        if in_head and not self._is_answered():
            self.cycle.keep_alive = False
            self.flow.pause_reading()
            return
        if in_head or self._is_unanswered():
            self.transport.write(self.refusal(fault))
        if not in_head:
            # The application must not write behind the refusal.
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        self.transport.close()

    def _is_unanswered(self) -> bool:
        """Return whether the request is the first, and not answered yet."""
        return not (self.pipeline or self.cycle.response_started)


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


__all__ = [
    "HEAD_TIMEOUT_S",
    "HEAD_TOO_LARGE",
    "HEADS_TOO_MANY",
    "HttpProtocol",
    "HttpServer",
    "MAX_FRAMING_BYTES",
    "MAX_HEADS_BYTES",
    "NO_REQUEST",
    "POLL_INTERVAL_S",
    "RequestFault",
]
