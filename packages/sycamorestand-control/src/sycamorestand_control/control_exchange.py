"""Reports that control processes, with or without a disk, send each other.

The other processes are found through the settings, the members of the log
and the reports themselves. A report is sent each second, at once when it
changes or a process is learned of, and as the answer to one that does not
know this process yet, so that a process that has started knows the others as
soon as one of them is reached.
"""

from __future__ import annotations

import logging
from typing import Final
from typing import TYPE_CHECKING

import anyio
import msgspec

from sycamorestand_control.control_directory import ControlReport
from sycamorestand_control.control_directory import MAX_CONTROLS
from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.messages import TableUpdate

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_control.control_directory import ControlDirectory
    from sycamorestand_peer.mesh import PeerMesh

LOG: Final = logging.getLogger(__name__)
CONTROLS: Final = "controls"
REPORT_INTERVAL_S: Final = 1.0
CHECK_INTERVAL_S: Final = 0.1
# Two processes that cannot list each other, as both know too many, would
# otherwise answer each other's answers without end.
ANSWER_INTERVAL_S: Final = 0.2


def no_members() -> tuple[str, ...]:
    """Return no address, for a process that keeps no log."""
    return ()


class ControlExchange:
    """Sends the report of this process and records those of the others.

    ``own_report`` returns the report without the processes known, and
    ``members`` the peer addresses of the members of the log.
    """

    def __init__(
        self,
        mesh: PeerMesh,
        directory: ControlDirectory,
        own_report: Callable[[], ControlReport],
        members: Callable[[], tuple[str, ...]] = no_members,
    ) -> None:
        self._mesh = mesh
        self._directory = directory
        self._own_report = own_report
        self._members = members
        self._sent_to: set[str] = set()
        self._answered_s: dict[str, float] = {}

    def addresses(self) -> tuple[str, ...]:
        """Return all other control processes, the members first."""
        every = dict.fromkeys((*self._members(), *self._directory.addresses()))
        every.pop(self._mesh.address, None)
        return tuple(every)[:MAX_CONTROLS]

    def handle_report(self, sender: str, message: TableUpdate) -> None:
        """Record a report, and report to those who do not know this one."""
        report = msgspec.msgpack.decode(message.payload, type=ControlReport)
        if self._directory.report_of(sender) is None:
            extra = {"control": sender, "has_disk": report.has_disk}
            LOG.info("control process heard", extra=extra)
        self._directory.record(sender, report)
        unknowing = set(self.addresses()) - self._sent_to
        if self._mesh.address not in report.known:
            now_s = boottime_s()
            answered_s = self._answered_s.get(sender, 0.0)
            if now_s - answered_s >= ANSWER_INTERVAL_S:
                self._answered_s[sender] = now_s
                unknowing.add(sender)
        if unknowing:
            self._send(unknowing, self._own_report())

    async def run(self) -> None:
        """Report until cancelled."""
        next_s = 0.0
        last: ControlReport | None = None
        while True:
            now_s = boottime_s()
            report = self._own_report()
            if now_s >= next_s or report != last:
                next_s, last = now_s + REPORT_INTERVAL_S, report
                addresses = set(self.addresses())
                self._sent_to &= addresses
                self._answered_s = {
                    address: at_s
                    for address, at_s in self._answered_s.items()
                    if address in addresses
                }
                self._send(addresses, report)
            await anyio.sleep(CHECK_INTERVAL_S)

    def _send(self, addresses: set[str], report: ControlReport) -> None:
        heard = self._directory.heard_lately()
        known = tuple(dict.fromkeys((*self._members(), *heard)))
        report = report._replace(known=known[:MAX_CONTROLS])
        self._directory.record(self._mesh.address, report)
        payload = msgspec.msgpack.encode(report)
        for address in addresses:
            self._mesh.send(address, TableUpdate(CONTROLS, payload))
        self._sent_to |= addresses


__all__ = ["ControlExchange", "CONTROLS"]
