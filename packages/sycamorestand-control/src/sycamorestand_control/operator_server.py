"""Serve the operators' interface over HTTP."""

from __future__ import annotations

import functools
import socket
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_control.errors import StartRefused
from sycamorestand_peer.http_connection import HttpProtocol
from sycamorestand_peer.http_door import HttpDoor
from sycamorestand_peer.http_server import HttpServer
from sycamorestand_peer.uvicorn_parts import Config

if TYPE_CHECKING:
    from sycamorestand_control.operator_api.asgi import AsgiApp

BACKLOG: Final = 256
# At a planned stop, running requests have this long to complete. A longer
# `replace-voter` can safely be repeated at another control process.
STOP_TIMEOUT_S: Final = 5.0


class OperatorServer:
    """One HTTP server for operators, health and metrics.

    The constructor binds the address. If the port is in use, the process
    ends with one clear error before it joins its cluster. Raises
    `StartRefused`.
    """

    def __init__(self, application: AsgiApp, host: str, port: int) -> None:
        self._listener = _listen(host, port)
        self._server = HttpServer(_config(application), [self._listener])
        self._ended = anyio.Event()

    async def run(self) -> None:
        """Serve until `stop` is called or the task is cancelled."""
        try:
            await self._server.serve(sockets=[self._listener])
        finally:
            self._listener.close()
            self._ended.set()

    async def stop(self) -> None:
        """Stop accepting requests and wait for the running ones.

        Returns after `STOP_TIMEOUT_S` at the latest.
        """
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


def _config(application: Any) -> Config:
    return Config(
        application,
        http=functools.partial(HttpProtocol, door=HttpDoor()),  # type: ignore[arg-type]
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
    )


__all__ = ["OperatorServer"]
