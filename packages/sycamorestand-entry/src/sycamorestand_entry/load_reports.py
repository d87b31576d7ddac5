"""Reports this entry's work at servers to control and receives the sums."""

from __future__ import annotations

from itertools import islice
import logging
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_peer.messages import EntryLoads
from sycamorestand_peer.messages import SharedLoads

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_decisions.observed_loads import ObservedLoads
    from sycamorestand_entry.metrics import Metrics
    from sycamorestand_entry.ports import ControlPort

_LOG = logging.getLogger(__name__)
REPORT_INTERVAL_S: Final = 0.5
# More than the servers at which one entry has requests at the target size.
MAX_PER_MESSAGE: Final = 256


class LoadReports:
    """Sends the reports of `ObservedLoads` and stores the received sums."""

    def __init__(
        self,
        control: ControlPort,
        observed: ObservedLoads,
        metrics: Metrics,
        now_s: Callable[[], float],
    ) -> None:
        self._control = control
        self._observed = observed
        self._metrics = metrics
        self._now_s = now_s
        control.add_listener(SharedLoads, self._on_shared)

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            try:
                self.send()
            except Exception:
                _LOG.exception("report of server loads failed")

    def send(self) -> None:
        """Send what has changed, if anything has."""
        self._observed.forget_except(self._control.backend_servers())
        report = iter(self._observed.take_report(self._now_s()).items())
        while loads := dict(islice(report, MAX_PER_MESSAGE)):
            self._control.send(EntryLoads(loads))
            self._metrics.load_messages.inc({"direction": "out"})

    def _on_shared(self, message: SharedLoads) -> None:
        if message.is_partial:
            return
        known = self._control.backend_servers()
        loads = {n: load for n, load in message.loads.items() if n in known}
        self._observed.record_shared(loads, self._now_s())
        self._metrics.load_messages.inc({"direction": "in"})


__all__ = ["LoadReports", "REPORT_INTERVAL_S"]
