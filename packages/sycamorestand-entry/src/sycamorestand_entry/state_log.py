"""Log lines for changes of state, which counters can't show in order."""

from __future__ import annotations

import logging
import time
from typing import Final
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from sycamorestand_entry.context import EntryContext

_LOG = logging.getLogger(__name__)
LOOK_EVERY_S: Final = 0.25


class SeenState:
    """What was logged last, so that only changes are logged."""

    def __init__(self) -> None:
        self.revision = -1
        self.entries = 0
        self.ejected: set[str] = set()
        self.leaving: set[str] = set()


async def log_changes(context: EntryContext) -> None:
    """Log changes until cancelled."""
    seen = SeenState()
    while True:
        log_new(context, seen)
        await anyio.sleep(LOOK_EVERY_S)


def log_new(context: EntryContext, seen: SeenState) -> None:
    """Log what differs from what was seen, and remember it."""
    revision = context.control.in_force().revision
    if revision != seen.revision:
        seen.revision = revision
        _LOG.info("configuration in force", extra={"revision": revision})
    entries = context.control.entry_count()
    if entries != seen.entries:
        seen.entries = entries
        _LOG.info("entries counted", extra={"entries": entries})
    _log_servers(context, seen)


def _log_servers(context: EntryContext, seen: SeenState) -> None:
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
    _log_names("backend server ejected", ejected - seen.ejected)
    _log_names("backend server back", seen.ejected - ejected)
    _log_names("backend server leaving", leaving - seen.leaving)
    seen.ejected = ejected
    seen.leaving = leaving


def _log_names(message: str, names: set[str]) -> None:
    for name in sorted(names):
        _LOG.info(message, extra={"backend_server": name})


__all__ = ["log_changes", "log_new", "SeenState"]
