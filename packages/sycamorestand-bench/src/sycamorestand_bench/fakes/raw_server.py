"""Answer HTTP requests with arbitrary bytes, to inject wire faults."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import re

import anyio
from anyio.abc import SocketStream
from anyio.abc import TaskStatus

# Returns the bytes to send for the n-th request, counted over all
# connections, or None to close the connection without an answer.
Script = Callable[[int, bytes], bytes | None]

_LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)


async def serve_script(
    script: Script,
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Answer requests by the script until cancelled.

    Reports the address as ``host:port`` to ``task_status``.
    """
    count = 0

    async def handle(stream: SocketStream) -> None:
        nonlocal count
        async with stream:
            while True:
                try:
                    request = await read_request(stream)
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                count += 1
                answer = script(count, request)
                if answer is None:
                    return
                await stream.send(answer)

    await serve_stream(handle, task_status=task_status)


async def serve_stream(
    handle: Callable[[SocketStream], Awaitable[None]],
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Call ``handle`` for each connection until cancelled.

    Reports the address as ``host:port`` to ``task_status``.
    """
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener:
        task_status.started(f"127.0.0.1:{port}")
        await listener.serve(handle)


async def read_request(stream: SocketStream) -> bytes:
    """Return the bytes of one request; its body must not be chunked."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    match = _LENGTH.search(data)
    length = int(match.group(1)) if match else 0
    end = data.index(b"\r\n\r\n") + 4 + length
    while len(data) < end:
        data += await stream.receive()
    return data


__all__ = ["read_request", "Script", "serve_script", "serve_stream"]
