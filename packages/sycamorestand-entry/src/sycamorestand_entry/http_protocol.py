"""The server side of a connection, for requests and streams.

Requests that are not read on are answered with JSON. The protocol also lets
a stream write a part of its body without an ASGI message, see
``docs/design/relay.md``.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import msgspec

from sycamorestand_entry.errors import BadRequest
from sycamorestand_entry.errors import HeadersTooLarge
from sycamorestand_entry.errors import MemoryFull
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.errors import RequestTimeout
from sycamorestand_entry.http_messages import error_content
from sycamorestand_peer.http_connection import HttpProtocol
from sycamorestand_peer.http_connection import RequestFault
from sycamorestand_peer.http_exchange import Exchange

# Extensions in the ASGI scope of a request. `WRITE_NOW` is a function that
# writes a part of the body at once and returns whether that was possible.
WRITE_NOW: Final = "sycamorestand.write_now"
# `TARGET` is the request's path and query, exactly as sent.
TARGET: Final = "sycamorestand.target"
# `ABORT` is a function that closes the connection without ending the answer,
# so that a truncated answer does not look complete.
ABORT: Final = "sycamorestand.abort"
ABORT_S: Final = 0.2
_ERRORS: Final[dict[int, type[RequestError]]] = {
    error.status: error
    for error in (BadRequest, HeadersTooLarge, MemoryFull, RequestTimeout)
}


class EntryProtocol(HttpProtocol):
    """One connection of a caller or a backend server."""

    def prepare(self, exchange: Exchange) -> None:
        """Add what the handlers use beside ASGI."""
        exchange.scope["extensions"] = {
            WRITE_NOW: _make_write_now(self, exchange),
            TARGET: self.target,
            ABORT: self._abort,
        }

    def _abort(self) -> None:
        # Otherwise the missing end is logged as an application error.
        self.disconnect()
        transport = self.transport
        transport.close()
        # A caller that does not read would keep the connection open.
        self.loop.call_later(ABORT_S, transport.abort)

    def refusal(self, fault: RequestFault) -> bytes:
        """Return the response, with its content as of other refusals."""
        error = _ERRORS[fault.status](fault.reason)
        body = msgspec.json.encode(error_content(error))
        head = (
            f"HTTP/1.1 {error.status} Refused\r\n"
            "content-type: application/json\r\n"
            f"content-length: {len(body)}\r\n"
            "connection: close\r\n\r\n"
        )
        return head.encode() + body


def _make_write_now(
    connection: HttpProtocol, exchange: Exchange
) -> Callable[[bytes], bool]:
    def write_now(body: bytes) -> bool:
        if connection.write_paused or exchange.disconnected:
            return False
        connection.write(b"%x\r\n%b\r\n" % (len(body), body))
        return True

    return write_now


__all__ = ["ABORT", "EntryProtocol", "TARGET", "WRITE_NOW"]
