"""One bounded HTTP call on a connection of its own."""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio
import httpcore

from sycamorestand_control.errors import ControlError

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_REPLY_BYTES: Final = 4096
_FIRST_BYTE: Final = "http11.send_request_headers.started"
_FAULTS: Final = (
    OSError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    # A URL of the settings that cannot be called: it must not end the
    # process, whose other tasks have nothing to do with it.
    httpcore.UnsupportedProtocol,
    ValueError,
)


class NotSent(ControlError):
    """Not one byte of the request was written."""


class NoAnswer(ControlError):
    """The request may have arrived; no sound answer came in time."""


class Reply(NamedTuple):
    """An answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


async def call_once(
    method: str,
    url: str,
    body: bytes,
    timeout_s: float,
    may_send: Callable[[], bool] = lambda: True,
) -> Reply:
    """Call once, all within ``timeout_s``, and close the connection.

    ``may_send`` is asked after the connection is made, right before the
    first byte. Raises `NotSent` or `NoAnswer`.
    """
    began = False

    async def trace(event: str, _details: Any) -> None:
        nonlocal began
        if event == _FIRST_BYTE:
            if not may_send():
                raise NotSent("it was not allowed any more")
            began = True

    try:
        with anyio.fail_after(timeout_s):
            return await _call(method, url, body, trace)
    except _FAULTS as error:
        reason = f"{type(error).__name__} {error}".strip()
        raise (NoAnswer if began else NotSent)(reason) from error


async def _call(method: str, url: str, body: bytes, trace: Any) -> Reply:
    headers: dict[bytes | str, bytes | str] = {
        "Content-Type": "application/json",
        "Connection": "close",
    }
    async with (
        httpcore.AsyncConnectionPool(max_connections=1) as pool,
        pool.stream(
            method,
            url,
            headers=headers,
            content=body,
            extensions={"trace": trace},
        ) as response,
    ):
        received = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in response.headers
        }
        return Reply(response.status, received, await _read(response))


async def _read(response: httpcore.Response) -> bytes:
    data = b""
    async for part in response.aiter_stream():
        data += part
        if len(data) > MAX_REPLY_BYTES:
            raise httpcore.RemoteProtocolError("the answer is too long")
    return data


__all__ = ["call_once", "MAX_REPLY_BYTES", "NoAnswer", "NotSent", "Reply"]
