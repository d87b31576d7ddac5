"""Make one HTTP call with a timeout and a size limit on a new connection."""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio

from sycamorestand_control.errors import ControlError

if TYPE_CHECKING:
    from collections.abc import Callable

    import httpcore

MAX_REPLY_BYTES: Final = 4096
_SEND_STARTED: Final = "http11.send_request_headers.started"


class NotSent(ControlError):
    """Raised if no byte of the request was written."""


class NoAnswer(ControlError):
    """Raised if the request may have arrived, but no valid answer came."""


class Reply(NamedTuple):
    """An HTTP response; header names are in lower case."""

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
    """Send one request, return the response and close the connection.

    ``timeout_s`` limits the whole call, including connecting. ``may_send``
    is called after the connection is made, right before the first byte is
    written. Raises `NotSent` or `NoAnswer`.
    """
    may_have_arrived = False

    async def trace(event: str, _details: Any) -> None:
        nonlocal may_have_arrived
        if event == _SEND_STARTED:
            if not may_send():
                raise NotSent("it was not allowed any more")
            may_have_arrived = True

    try:
        with anyio.fail_after(timeout_s):
            return await _send_request(method, url, body, trace)
    except _call_errors() as error:
        reason = f"{type(error).__name__} {error}".strip()
        raise (NoAnswer if may_have_arrived else NotSent)(reason) from error


def _call_errors() -> tuple[type[Exception], ...]:
    """Return the errors of a call. Evaluated only when one is raised."""
    import httpcore

    return (
        OSError,
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        # An unusable URL in the settings raises these. It must not end the
        # process, as the other tasks don't need that URL.
        httpcore.UnsupportedProtocol,
        ValueError,
    )


async def _send_request(
    method: str, url: str, body: bytes, trace: Any
) -> Reply:
    # Only control processes that order engines make calls. The import takes
    # 0.03 s of processor time, so it is not made at the start of a process.
    import httpcore

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
        return Reply(response.status, received, await _read_body(response))


async def _read_body(response: httpcore.Response) -> bytes:
    import httpcore

    data = b""
    async for chunk in response.aiter_stream():
        data += chunk
        if len(data) > MAX_REPLY_BYTES:
            raise httpcore.RemoteProtocolError("the answer is too long")
    return data


__all__ = ["call_once", "MAX_REPLY_BYTES", "NoAnswer", "NotSent", "Reply"]
