"""The operators' HTTP server during a planned stop."""

from __future__ import annotations

import socket
from typing import Any
from typing import Final

import anyio
import pytest

from sycamorestand_control.operator_server import OperatorServer

pytestmark = pytest.mark.anyio
REQUEST: Final = b"GET /operator/v1/status HTTP/1.1\r\nhost: a\r\n\r\n"
CALLERS: Final = 5


async def application(scope: Any, receive: Any, send: Any) -> None:
    """Answer every request with an empty success."""
    headers = [(b"content-length", b"0")]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    await send({"type": "http.response.body", "body": b""})


def connect_and_send(port: int) -> socket.socket:
    """Return a new connection after sending a request on it."""
    caller = socket.create_connection(("127.0.0.1", port), 1)
    caller.settimeout(5)
    caller.sendall(REQUEST)
    return caller


def free_port() -> int:
    """Return a port that nobody listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


async def read_answer(caller: socket.socket) -> bytes:
    """Return the next bytes of an answer, none after the connection ended."""
    return await anyio.to_thread.run_sync(caller.recv, 4096)


class TestStop:
    @pytest.mark.parametrize("kept", [False, True])
    async def test_requests_already_received_are_answered(
        self, kept: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A planned stop reset the connections of operators' requests."""
        port = free_port()
        server = OperatorServer(application, "127.0.0.1", port)
        shutdown = server._server.shutdown
        callers: list[socket.socket] = []

        async def send_before_shutdown(
            sockets: list[socket.socket] | None,
        ) -> None:
            # No other task of this thread runs until the stop begins.
            if kept:
                callers[0].sendall(REQUEST)
            else:
                callers.extend(connect_and_send(port) for _ in range(CALLERS))
            await shutdown(sockets)

        monkeypatch.setattr(server._server, "shutdown", send_before_shutdown)
        async with anyio.create_task_group() as group:
            group.start_soon(server.run)
            await anyio.sleep(0.2)
            if kept:
                callers.append(
                    await anyio.to_thread.run_sync(connect_and_send, port)
                )
                assert await read_answer(callers[0])
            await server.stop()
            answers = [await read_answer(caller) for caller in callers]
        for caller in callers:
            caller.close()
        assert len(answers) == (1 if kept else CALLERS)
        assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)
