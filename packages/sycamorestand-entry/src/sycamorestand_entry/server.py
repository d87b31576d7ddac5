"""Runs an entry: its HTTP server and its planned stop."""

from __future__ import annotations

from collections.abc import Callable
import functools
import logging
import math
from random import Random
import socket
from typing import Any
from typing import TYPE_CHECKING

import anyio
from anyio.abc import TaskStatus

from sycamorestand_entry.body_memory import hold_bodies
from sycamorestand_entry.context import EntryContext
from sycamorestand_entry.http_limits import declared_limits
from sycamorestand_entry.http_limits import own_limits
from sycamorestand_entry.http_protocol import EntryProtocol
from sycamorestand_entry.state_log import log_changes
from sycamorestand_entry.unreached import report_unreached
from sycamorestand_peer.http_connection import IDLE_SLACK_S
from sycamorestand_peer.http_door import HttpDoor
from sycamorestand_peer.http_server import HttpServer
from sycamorestand_peer.http_server import POLL_INTERVAL_S
from sycamorestand_peer.uvicorn_parts import Config

if TYPE_CHECKING:
    from sycamorestand_entry.ports import ControlPort
    from sycamorestand_entry.settings import EntrySettings

_LOG = logging.getLogger(__name__)


class RunningEntry:
    """A started entry, with the address that it listens on."""

    def __init__(self, context: EntryContext, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.stopped = anyio.Event()
        self.context = context
        self._stop = anyio.Event()

    def begin_stop(self) -> None:
        """Begin the planned stop; `serve_entry` returns at its end.

        Callers use an address for its time-to-live, so the entry first
        removes itself from the address answers and continues to accept
        connections for that time.
        """
        if self.context.stopping:
            return
        self.context.begin_stop()
        self.context.control.set_stopping()
        _LOG.info("planned stop begins")
        self._stop.set()

    async def wait_for_stop(self) -> None:
        """Wait until new connections need not be accepted any more."""
        await self._stop.wait()
        await anyio.sleep(accept_period_s(self.context.settings))


def accept_period_s(settings: EntrySettings) -> float:
    """Return how long a stopping entry still accepts new connections.

    Other entries hand out its address until they learn of the stop, and the
    last caller to get it uses it for the time-to-live. After a shorter
    period that caller's connection would be refused.
    """
    return settings.address_spread_s + settings.address_ttl_s


async def serve_entry(
    settings: EntrySettings,
    control: ControlPort,
    random: Random | None = None,
    application_factory: Callable[[EntryContext], Any] | None = None,
    *,
    task_status: TaskStatus[RunningEntry] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve callers and backend servers until a planned stop has ended.

    Example: ``entry = await group.start(serve_entry, settings, control)``
    returns a `RunningEntry` as soon as the entry accepts connections.
    ``random`` is the source of randomness of its decisions, and
    ``application_factory`` creates the application that answers callers, by
    default the one with all interfaces.
    """
    if application_factory is None:
        from sycamorestand_entry.application import make_application

        application_factory = make_application
    listener = _make_listener(settings)
    host, port = listener.getsockname()[:2]
    async with anyio.create_task_group() as background:
        context = EntryContext(settings, control, background, random)
        entry = RunningEntry(context, host, port)
        application = hold_bodies(application_factory(context))
        config = _uvicorn_config(context, application)
        server = _Server(config, [listener])
        if settings.stop_limit_s:
            left_s = settings.stop_limit_s - accept_period_s(settings)
            server.stop_limit_s = max(POLL_INTERVAL_S, left_s)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(context.slots.run_periodic_update)
                group.start_soon(context.server_watch.run)
                group.start_soon(context.part_watch.run)
                group.start_soon(context.outcome_reports.run)
                group.start_soon(context.load_reports.run)
                group.start_soon(report_unreached, context)
                group.start_soon(log_changes, context)
                group.start_soon(_exit_after_stop, entry, server)
                task_status.started(entry)
                await server.serve(sockets=[listener])
                group.cancel_scope.cancel()
        finally:
            context.pool.close()
            with anyio.CancelScope(shield=True):
                await context.rating.close()
    entry.stopped.set()
    _LOG.info("entry stopped")


class _Server(HttpServer):
    # Time limit for the shutdown, zero for no limit.
    stop_limit_s = 0.0

    async def drain(self) -> None:
        # Closing an idle connection would lose a request that is on its way.
        # Idle connections stay open until their keep-alive timers end; no
        # new ones are accepted.
        if self.stop_limit_s:
            await self._drain_within(self.stop_limit_s)
        grace_s = self.config.timeout_keep_alive + POLL_INTERVAL_S
        with anyio.move_on_after(grace_s):
            while self.server_state.connections:
                await anyio.sleep(POLL_INTERVAL_S)

    async def _drain_within(self, limit_s: float) -> None:
        """Wait for running requests up to the limit, then abort connections.

        Keep-alive timers may end long after the limit, so idle connections
        are closed. Each answer has announced the close, and callers have
        another address by now. A caller that uses the connection at this
        moment sees it closed without an answer; its request was not read.
        """
        with anyio.move_on_after(limit_s):
            await self.end_connections()
        for connection in list(self.server_state.connections):
            connection.transport.abort()


async def _exit_after_stop(entry: RunningEntry, server: _Server) -> None:
    await entry.wait_for_stop()
    server.should_exit = True


def _make_listener(settings: EntrySettings) -> socket.socket:
    # asyncio disables Nagle's algorithm only if the socket has the protocol
    # number of TCP. Otherwise the first token waits 40 ms for the client's
    # delayed ACK.
    family = socket.AF_INET6 if ":" in settings.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((settings.host, settings.port))
    listener.listen(2048)
    listener.setblocking(False)
    return listener


def _uvicorn_config(context: EntryContext, application: Any) -> Config:
    settings = context.settings
    if settings.follows_declared_limits:
        limits = declared_limits(context.control)
    else:
        limits = own_limits(settings)
    protocol = functools.partial(EntryProtocol, door=HttpDoor(limits))
    return Config(
        application,
        http=protocol,  # type: ignore[arg-type]
        ws="none",
        lifespan="off",
        interface="asgi3",
        log_config=None,
        log_level="error",
        access_log=False,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=math.ceil(settings.keep_alive_s + IDLE_SLACK_S),
    )


__all__ = [
    "accept_period_s",
    "RunningEntry",
    "serve_entry",
]
