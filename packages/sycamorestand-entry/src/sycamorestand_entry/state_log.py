"""Log lines for changes of state, whose order counters do not show."""

from __future__ import annotations

import logging
import time
from typing import Final
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from sycamorestand_entry.context import EntryContext

_LOG = logging.getLogger(__name__)
POLL_S: Final = 0.25


class LoggedState:
    """The state at the last log lines; only differences are logged."""

    def __init__(self) -> None:
        self.revision = -1
        self.entries = 0
        self.ejected: set[str] = set()
        self.leaving: set[str] = set()
        self.draining_data_centres: set[str] = set()


async def log_changes(context: EntryContext) -> None:
    """Log changes of state until cancelled."""
    logged = LoggedState()
    while True:
        log_differences(context, logged)
        await anyio.sleep(POLL_S)


def log_differences(context: EntryContext, logged: LoggedState) -> None:
    """Log the differences from the logged state, and update it."""
    in_force = context.control.in_force()
    revision = in_force.revision
    if revision != logged.revision:
        logged.revision = revision
        _LOG.info("configuration in force", extra={"revision": revision})
    _log_data_centres(set(in_force.draining_data_centres), logged)
    entries = context.control.entry_count()
    if entries != logged.entries:
        logged.entries = entries
        _LOG.info("entries counted", extra={"entries": entries})
    _log_servers(context, logged)


def _log_data_centres(draining: set[str], logged: LoggedState) -> None:
    for name in sorted(draining - logged.draining_data_centres):
        extra = {"data_centre": name}
        _LOG.info("data centre gets no new work", extra=extra)
    for name in sorted(logged.draining_data_centres - draining):
        extra = {"data_centre": name}
        _LOG.info("data centre gets new work again", extra=extra)
    logged.draining_data_centres = draining


def _log_servers(context: EntryContext, logged: LoggedState) -> None:
    servers = context.servers.metrics(time.monotonic())
    ejected = {
        name
        for group in servers.values()
        for name, server in group.items()
        if server.ejected
    }
    leaving = {
        name
        for name, server in context.control.backend_servers().items()
        if server.leaving
    }
    _log_names("backend server ejected", ejected - logged.ejected)
    _log_names("backend server back", logged.ejected - ejected)
    _log_names("backend server leaving", leaving - logged.leaving)
    logged.ejected = ejected
    logged.leaving = leaving


def _log_names(message: str, names: set[str]) -> None:
    for name in sorted(names):
        _LOG.info(message, extra={"backend_server": name})


__all__ = ["log_changes", "log_differences", "LoggedState"]
