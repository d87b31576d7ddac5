"""Requests and responses of the HTTP server, as handlers use them."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
from typing import Any
from typing import Final
from typing import NamedTuple

import anyio
import msgspec

from sycamorestand_entry.errors import BadRequest
from sycamorestand_entry.errors import BodyTooLarge
from sycamorestand_entry.errors import HeadersTooLarge
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.errors import RequestTimeout

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

# Long enough for a large body over a slow line.
BODY_TIMEOUT_S: Final = 30.0
JSON: Final = b"application/json"
EVENT_STREAM: Final = b"text/event-stream"
# Headers that affect decisions; a repeated one would be ambiguous.
SINGLE_HEADERS: Final = frozenset(
    {
        b"authorization",
        b"idempotency-key",
        b"x-deadline-ms",
        b"x-priority",
        b"x-session",
        b"x-session-token",
    }
)


class CallerGone(Exception):
    """The caller disconnected before its request was complete."""


class Request(NamedTuple):
    """One request; `read_body` reads its body later, up to a limit."""

    method: str
    path: str
    raw_path: bytes
    query: bytes
    headers: dict[bytes, bytes]
    receive: Receive


class Responder:
    """Sends one answer and records whether it has started.

    ``write_now`` writes a part of a chunked body at once and returns
    whether that was possible; see `sycamorestand_entry.http_protocol`.
    """

    def __init__(
        self,
        send: Send,
        closing: bool,
        write_now: Callable[[bytes], bool] | None = None,
    ) -> None:
        self.started = False
        self.status = 0
        self.write_now = write_now
        self._send = send
        self._closing = closing

    async def start(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Send the status and headers."""
        self.started = True
        self.status = status
        if self._closing:
            headers.append((b"connection", b"close"))
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    async def write(self, body: bytes) -> None:
        """Send a part of the body; wait while the caller reads slowly."""
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": True}
        )

    async def finish(self, body: bytes = b"") -> None:
        """Send the last part of the body."""
        await self._send({"type": "http.response.body", "body": body})

    async def answer(
        self,
        status: int,
        content_type: bytes,
        body: bytes,
        headers: list[tuple[bytes, bytes]] | None = None,
    ) -> None:
        """Send a complete answer."""
        all_headers = [
            (b"content-type", content_type),
            (b"content-length", b"%d" % len(body)),
        ]
        await self.start(status, all_headers + (headers or []))
        await self.finish(body)

    async def refuse(self, error: RequestError) -> None:
        """Send an error as JSON, with ``Retry-After`` if it is known."""
        headers = []
        if error.retry_after_s is not None:
            seconds = max(1, round(error.retry_after_s + 0.499))
            headers.append((b"retry-after", b"%d" % seconds))
        body = msgspec.json.encode(error_content(error))
        await self.answer(error.status, JSON, body, headers)


def read_headers(
    raw: list[tuple[bytes, bytes]], limit_bytes: int
) -> dict[bytes, bytes]:
    """Return the headers by lower-case name.

    Raises `HeadersTooLarge` beyond the limit, and `BadRequest` if one of
    `SINGLE_HEADERS` is repeated.
    """
    headers: dict[bytes, bytes] = {}
    size = 0
    for name, value in raw:
        size += len(name) + len(value)
        if name in headers and name in SINGLE_HEADERS:
            raise BadRequest(f"header {name.decode('latin-1')} came twice")
        headers[name] = value
    if size > limit_bytes:
        raise HeadersTooLarge(f"headers are limited to {limit_bytes} bytes")
    return headers


async def read_body(request: Request, limit_bytes: int) -> bytes:
    """Return the whole body.

    Raises `BodyTooLarge` beyond the limit, `RequestTimeout` if the body is
    not complete in time, `CallerGone` if the caller disconnects before, and
    `BadRequest` if ``Content-Length`` is not a number.
    """
    declared = request.headers.get(b"content-length", b"0")
    if not declared.isdigit():
        raise BadRequest("content-length is no number")
    if int(declared) > limit_bytes:
        raise BodyTooLarge(f"bodies are limited to {limit_bytes} bytes")
    try:
        with anyio.fail_after(BODY_TIMEOUT_S):
            return await _read_parts(request.receive, limit_bytes)
    except TimeoutError:
        raise RequestTimeout("the request's body did not come") from None


async def _read_parts(receive: Receive, limit_bytes: int) -> bytes:
    parts: list[bytes] = []
    size = 0
    more = True
    while more:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGone
        parts.append(message["body"])
        size += len(parts[-1])
        if size > limit_bytes:
            raise BodyTooLarge(f"bodies are limited to {limit_bytes} bytes")
        more = message["more_body"]
    return b"".join(parts)


def error_content(error: RequestError) -> dict[str, Any]:
    """Return the JSON content that describes an error."""
    content: dict[str, Any] = {
        "code": error.code,
        "message": error.message,
        "run": error.run,
    }
    if error.retry_after_s is not None:
        content["retry_after_s"] = round(error.retry_after_s, 3)
    return {"error": content}


__all__ = [
    "CallerGone",
    "error_content",
    "EVENT_STREAM",
    "JSON",
    "Message",
    "read_body",
    "read_headers",
    "Receive",
    "Request",
    "Responder",
    "Send",
]
