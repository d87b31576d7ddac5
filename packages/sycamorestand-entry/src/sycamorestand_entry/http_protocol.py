"""The server side of a connection: uvicorn's protocol with added limits.

uvicorn limits neither the request line nor the headers and answers a
malformed request with plain text. This protocol adds the limits and
answers with JSON. It also lets a stream write a part of its body without
an ASGI message, see ``docs/design/relay.md``. That depends on attributes
of uvicorn's httptools protocol in the pinned version; the tests of streams
cover them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any
from typing import Final

import msgspec

from sycamorestand_entry.errors import BadRequest
from sycamorestand_entry.errors import HeadersTooLarge
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.errors import RequestTimeout
from sycamorestand_entry.http_messages import error_content
from sycamorestand_peer.http_server import HttpProtocol

# Extensions in the ASGI scope of a request. `WRITE_NOW` is a function that
# writes a part of the body at once and returns whether that was possible.
WRITE_NOW: Final = "sycamorestand.write_now"
# `TARGET` is the request's path and query, exactly as sent.
TARGET: Final = "sycamorestand.target"
# `ABORT` is a function that closes the connection without ending the answer,
# so that a truncated answer does not look complete.
ABORT: Final = "sycamorestand.abort"
# More than `read_headers` accepts, because this limit also counts the
# request line and separators, and exceeding it closes the connection.
MAX_HEAD_BYTES: Final = 64 * 1024


# uvicorn has no timeout for the rest of a head, so connections that send
# only a part of one would use up the process's file descriptors.
HEAD_TIMEOUT_S: Final = 10.0
ABORT_S: Final = 0.2


class EntryProtocol(HttpProtocol):
    """One connection of a caller or a backend server."""

    head_timeout_s = HEAD_TIMEOUT_S
    _head_bytes = 0
    _in_head = True
    _head_timer: asyncio.TimerHandle | None = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        super().connection_made(transport)
        self._begin_head()

    def connection_lost(self, exc: Exception | None) -> None:
        self._end_head()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self._in_head:
            self._head_bytes += len(data)
        super().data_received(data)
        if self._in_head and self._head_bytes > MAX_HEAD_BYTES:
            self._refuse(HeadersTooLarge("the headers are too large"))

    def has_unread(self) -> bool:
        """Return whether a request has begun to arrive."""
        return (self._in_head and self._head_bytes > 0) or super().has_unread()

    def on_message_begin(self) -> None:
        self._begin_head()
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        self._end_head()
        super().on_headers_complete()
        if self.parser.should_upgrade():
            # The parser treats all bytes after such a request as another
            # protocol, so a further request would never be answered.
            self.cycle.keep_alive = False
        extensions: dict[str, Any] = {
            WRITE_NOW: _make_write_now(self.cycle),
            TARGET: self.url,
            ABORT: self._abort,
        }
        self.scope["extensions"] = extensions

    def _abort(self) -> None:
        transport = self.transport
        # Otherwise uvicorn logs the missing end as an application error.
        self.cycle.disconnected = True
        transport.close()
        # A caller that does not read would keep the connection open.
        self.loop.call_later(ABORT_S, transport.abort)

    def _begin_head(self) -> None:
        self._end_head()
        self._in_head = True
        self._head_bytes = 0
        self._head_timer = self.loop.call_later(
            self.head_timeout_s, self._time_out_head
        )

    def _end_head(self) -> None:
        self._in_head = False
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _time_out_head(self) -> None:
        self._refuse(RequestTimeout("the request's head did not come"))

    def send_400_response(self, msg: str) -> None:
        """Refuse bytes that are not an HTTP request; uvicorn calls this."""
        self._refuse(BadRequest("the bytes received are no HTTP request"))

    def _refuse(self, error: RequestError) -> None:
        self._end_head()
        if self.transport.is_closing():
            return
        body = msgspec.json.encode(error_content(error))
        head = (
            f"HTTP/1.1 {error.status} Refused\r\n"
            "content-type: application/json\r\n"
            f"content-length: {len(body)}\r\n"
            "connection: close\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
        self.transport.close()


def _make_write_now(cycle: Any) -> Callable[[bytes], bool]:
    transport = cycle.transport
    flow = cycle.flow

    def write_now(body: bytes) -> bool:
        if flow.write_paused or cycle.disconnected:
            return False
        transport.write(b"%x\r\n%b\r\n" % (len(body), body))
        return True

    return write_now


__all__ = ["ABORT", "EntryProtocol", "TARGET", "WRITE_NOW"]
