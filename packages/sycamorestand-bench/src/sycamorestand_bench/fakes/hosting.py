"""Serve the ASGI application of a fake on a loopback port."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import socket
from typing import Any

import anyio
from anyio.abc import TaskStatus
import msgspec
import uvicorn


class ConnectionAborted(Exception):
    """Raised by a fake to close a connection in the middle of an answer."""


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


async def serve_application(
    application: Any,
    port: int = 0,
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled; report ``host:port`` to ``task_status``.

    Port 0 lets the operating system choose a free port. On cancellation,
    the open connections are aborted.
    """
    listener = socket.socket(proto=socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    listener.listen(2048)
    listener.setblocking(False)
    config = uvicorn.Config(
        application,
        http="httptools",
        ws="none",
        lifespan="off",
        interface="asgi3",
        log_config=None,
        log_level="critical",
        access_log=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=60,
        timeout_graceful_shutdown=0,
    )
    server = _Server(config)
    host, bound_port = listener.getsockname()
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(server.serve, [listener])
            task_status.started(f"{host}:{bound_port}")
    finally:
        listener.close()
        for connection in list(server.server_state.connections):
            transport = connection.transport
            if transport is not None:
                transport.abort()


async def read_body(receive: Any) -> bytes:
    """Return the complete body of a request.

    Raises `ConnectionAborted` if the client disconnects before its end.
    """
    parts: list[bytes] = []
    more = True
    while more:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ConnectionAborted
        parts.append(message["body"])
        more = message["more_body"]
    return b"".join(parts)


async def send_answer(
    send: Any,
    status: int,
    body: bytes,
    kind: bytes = b"application/json",
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> None:
    """Send an answer with headers and body."""
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [
                (b"content-type", kind),
                (b"content-length", b"%d" % len(body)),
                *headers,
            ],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def send_json(send: Any, status: int, content: Any) -> None:
    """Send an answer whose body is the content encoded as JSON."""
    await send_answer(send, status, msgspec.json.encode(content))


__all__ = [
    "ConnectionAborted",
    "read_body",
    "send_answer",
    "send_json",
    "serve_application",
]
