"""Tells control how requests end at servers that fail some of them."""

from __future__ import annotations

from collections import Counter
import logging
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_model.entry_reports import ServerOutcomes
from sycamorestand_peer.messages import ServersSeen
from sycamorestand_peer.messages import ServersWatched

if TYPE_CHECKING:
    from sycamorestand_decisions.candidates import Outcome
    from sycamorestand_entry.ports import ControlPort

_LOG = logging.getLogger(__name__)
REPORT_INTERVAL_S: Final = 0.2
MAX_SERVERS: Final = 64


class OutcomeReports:
    """Counts failures at all servers, and successes at watched ones."""

    def __init__(self, control: ControlPort) -> None:
        self._control = control
        self._failed: Counter[str] = Counter()
        self._ok: Counter[str] = Counter()
        self._watched: frozenset[str] = frozenset()
        control.add_listener(ServersWatched, self._on_watched)

    def record(self, server: str, outcome: Outcome) -> None:
        """Count the end of an attempt."""
        if outcome == "error":
            self._failed[server] += 1
        elif outcome == "ok" and server in self._watched:
            self._ok[server] += 1

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            try:
                self.send()
            except Exception:
                _LOG.exception("report of failures failed")

    def send(self) -> None:
        """Send what was counted since the last time, if anything was."""
        if not self._failed and not self._ok:
            return
        servers = list(dict.fromkeys((*self._failed, *self._ok)))
        seen = {
            server: ServerOutcomes(self._failed[server], self._ok[server])
            for server in servers[:MAX_SERVERS]
        }
        self._failed.clear()
        self._ok.clear()
        self._control.send(ServersSeen(seen))

    def _on_watched(self, message: ServersWatched) -> None:
        self._watched = frozenset(message.servers)


__all__ = ["OutcomeReports"]
