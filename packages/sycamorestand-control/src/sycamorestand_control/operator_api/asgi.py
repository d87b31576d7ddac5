"""Read requests within size and time limits and respond, over ASGI."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
import contextlib
from typing import Any
from typing import Final
from typing import NamedTuple
from urllib.parse import parse_qs

import anyio
import msgspec

from sycamorestand_control.operator_api.errors import ApiError
from sycamorestand_control.operator_api.errors import BODY_TOO_LARGE
from sycamorestand_control.operator_api.errors import BODY_TOO_SLOW
from sycamorestand_control.operator_api.errors import INVALID_REQUEST
from sycamorestand_control.operator_api.errors import MALFORMED_JSON
from sycamorestand_control.operator_api.errors import NO_ROOM
from sycamorestand_peer.byte_room import ByteRoom
from sycamorestand_peer.byte_room import RoomShare

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
AsgiApp = Callable[[Scope, Receive, Send], Awaitable[None]]

MAX_QUERY_BYTES: Final = 2_048
MAX_QUERY_FIELDS: Final = 16
# Without a timeout, the buffer of a client that stops sending would be held
# for ever.
BODY_TIMEOUT_S: Final = 20.0


class Response(NamedTuple):
    """A status, a body that is encoded as JSON, and extra headers."""

    status: int
    body: Any
    headers: tuple[tuple[bytes, bytes], ...] = ()


def single_header(scope: Scope, name: bytes) -> str:
    """Return a header's value, or "" if it is absent or repeated.

    A proxy and this process might use different ones of repeated values.
    """
    values = [value for key, value in scope["headers"] if key == name]
    return values[0].decode("latin-1") if len(values) == 1 else ""


def parse_query(scope: Scope) -> dict[str, str]:
    """Return the fields of the query string.

    Raises `ApiError` if it is too long or malformed, or repeats a field.
    """
    raw = scope.get("query_string", b"")
    if len(raw) > MAX_QUERY_BYTES:
        raise ApiError(400, INVALID_REQUEST, "the query is too long")
    try:
        fields = parse_qs(
            raw.decode("ascii"),
            keep_blank_values=True,
            strict_parsing=bool(raw),
            errors="strict",
            max_num_fields=MAX_QUERY_FIELDS,
        )
    except ValueError as error:
        raise ApiError(
            400, INVALID_REQUEST, "the query cannot be read"
        ) from error
    if any(len(values) > 1 for values in fields.values()):
        raise ApiError(400, INVALID_REQUEST, "a query field is given twice")
    return {key: values[0] for key, values in fields.items()}


def decode_json(body: bytes) -> Any:
    """Return the content of a JSON body; raise `ApiError` if it is none."""
    try:
        return msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ApiError(
            400, MALFORMED_JSON, f"the body is not JSON: {error}"
        ) from error


async def respond(send: Send, response: Response) -> None:
    """Send a response with a JSON body."""
    content = msgspec.json.encode(response.body)
    await _send_response(
        send, response.status, b"application/json", content, response.headers
    )


async def respond_text(send: Send, content: bytes) -> None:
    """Send a plain-text response, such as the metrics."""
    await _send_response(send, 200, b"text/plain; version=0.0.4", content, ())


async def answer_lifespan(receive: Receive, send: Send) -> None:
    """Confirm the server's startup and shutdown events.

    The application needs no setup or cleanup.
    """
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


@contextlib.asynccontextmanager
async def read_body(
    scope: Scope, receive: Receive, max_bytes: int, room: ByteRoom
) -> AsyncIterator[bytes]:
    """Read the body of the request and hold it in ``room``.

    Raises `ApiError` if the body is larger than ``max_bytes``, takes longer
    than `BODY_TIMEOUT_S`, or finds no room.
    """
    declared_length = single_header(scope, b"content-length")
    declared_bytes = 0
    if declared_length.isdecimal():
        declared_bytes = int(declared_length)
    if declared_bytes > max_bytes:
        raise _body_too_large_error(max_bytes)
    held = RoomShare(room)
    try:
        _hold(held, declared_bytes)
        yield await _read_in_time(receive, max_bytes, held)
    finally:
        held.release_all()


async def _read_in_time(
    receive: Receive, max_bytes: int, held: RoomShare
) -> bytes:
    try:
        with anyio.fail_after(BODY_TIMEOUT_S):
            return await _read_chunks(receive, max_bytes, held)
    except TimeoutError as error:
        raise ApiError(
            408, BODY_TOO_SLOW, "the body did not arrive in time"
        ) from error


async def _read_chunks(
    receive: Receive, max_bytes: int, held: RoomShare
) -> bytes:
    body = bytearray()
    more = True
    while more:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ApiError(400, INVALID_REQUEST, "the client went away")
        body += message.get("body", b"")
        more = message.get("more_body", False)
        if len(body) > max_bytes:
            raise _body_too_large_error(max_bytes)
        _hold(held, len(body))
    return bytes(body)


def _hold(held: RoomShare, size_bytes: int) -> None:
    more_bytes = max(0, size_bytes - held.held_bytes)
    if not held.take(more_bytes):
        raise ApiError(
            503,
            NO_ROOM,
            "too many large requests wait here; ask another control process",
            retry_after_s=1,
        )


def _body_too_large_error(max_bytes: int) -> ApiError:
    return ApiError(
        413, BODY_TOO_LARGE, f"the body has more than {max_bytes:,} bytes"
    )


async def _send_response(
    send: Send,
    status: int,
    content_type: bytes,
    content: bytes,
    headers: tuple[tuple[bytes, bytes], ...],
) -> None:
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [
                (b"content-type", content_type),
                (b"content-length", str(len(content)).encode()),
                (b"cache-control", b"no-store"),
                *headers,
            ],
        }
    )
    await send({"type": "http.response.body", "body": content})


__all__ = [
    "answer_lifespan",
    "AsgiApp",
    "decode_json",
    "parse_query",
    "read_body",
    "Receive",
    "respond",
    "respond_text",
    "Response",
    "Scope",
    "Send",
    "single_header",
]
