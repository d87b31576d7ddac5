"""Serves the operators' interface on an address of this VM."""

from __future__ import annotations

import socket
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

import anyio
import uvicorn

from sycamorestand_control.errors import StartRefused
from sycamorestand_peer.http_server import HttpProtocol
from sycamorestand_peer.http_server import HttpServer

if TYPE_CHECKING:
    from sycamorestand_control.operator_api.asgi import AsgiApp

BACKLOG: Final = 256
# Operators' requests that run at a planned stop may end within this; a
# `replace-voter` that takes longer is safe to repeat elsewhere.
STOP_TIMEOUT_S: Final = 5.0


class OperatorServer:
    """One HTTP server for operators, health and metrics.

    The address is bound at once, so that a process whose port is taken
    says so in one line and ends, before it takes part in anything.
    """

    def __init__(self, application: AsgiApp, host: str, port: int) -> None:
        self._listener = _listen(host, port)
        self._server = HttpServer(_config(application), [self._listener])
        self._ended = anyio.Event()

    async def run(self) -> None:
        """Serve until `stop` or cancelled."""
        try:
            await self._server.serve(sockets=[self._listener])
        finally:
            self._listener.close()
            self._ended.set()

    async def stop(self) -> None:
        """Accept nothing new and let running requests end."""
        self._server.should_exit = True
        with anyio.move_on_after(STOP_TIMEOUT_S):
            await self._ended.wait()


def _listen(host: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
    except OSError as error:
        listener.close()
        raise StartRefused(
            f"operators' address {host}:{port} cannot be used: {error}"
        ) from error
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def _config(application: Any) -> uvicorn.Config:
    return uvicorn.Config(
        application,
        http=HttpProtocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
    )


__all__ = ["OperatorServer"]
