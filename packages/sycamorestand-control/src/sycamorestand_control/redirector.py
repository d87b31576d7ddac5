"""A control process without a disk: it names the control processes with one.

A voter without a disk would lose its votes and its log at a restart. But the
process may be all that an entry or a joining control process finds in its
settings: an entry that started while these named no other would get no lease.
"""

from __future__ import annotations

import logging
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_control.joining import FORWARDED
from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.mesh import PeerMesh
from sycamorestand_peer.messages import JoinRequest
from sycamorestand_peer.messages import LeaseDenied
from sycamorestand_peer.messages import LeaseRequest
from sycamorestand_peer.messages import TableUpdate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from anyio.abc import TaskStatus

    from sycamorestand_peer.key_file import KeySource

LOG: Final = logging.getLogger(__name__)
# A control process sends an empty update each second.
HEARD_WITHIN_S: Final = 3.0
# Later, the process may have been replaced by one at another address.
FORGET_AFTER_S: Final = 3600.0
MAX_CONTROLS: Final = 64
CHECK_INTERVAL_S: Final = 0.5


class Redirector:
    """Answers lease and join requests with the control processes it knows.

    ``known`` are the addresses in the settings, with or without a disk. The
    control processes with one report to those addresses every second, so
    that the redirector hears of all that serve.
    """

    def __init__(
        self,
        address: str,
        cluster_keys: KeySource,
        known: Iterable[str],
    ) -> None:
        self._mesh = PeerMesh(address, cluster_keys, self._handle_message)
        self._known: dict[str, None] = {}
        self._heard_s: dict[str, float] = {}
        self._none_since_s = boottime_s()
        self._serving_logged = True
        self.add_known(known)

    def add_known(self, addresses: Iterable[str]) -> None:
        """Add addresses of control processes, from new settings."""
        for address in addresses:
            if address != self._mesh.address:
                self._known.pop(address, None)
                self._known[address] = None
        while len(self._known) > MAX_CONTROLS:
            del self._known[next(iter(self._known))]

    def serving(self) -> tuple[str, ...]:
        """Return the control processes with a disk that were just heard.

        The one that was heard last comes first.
        """
        oldest_s = boottime_s() - HEARD_WITHIN_S
        recent = [a for a, at_s in self._heard_s.items() if at_s > oldest_s]
        return tuple(sorted(recent, key=lambda a: -self._heard_s[a]))

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Answer until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_serving)
            await self._mesh.run(task_status=task_status)

    async def _watch_serving(self) -> None:
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self._log_serving(boottime_s())

    def _log_serving(self, now_s: float) -> None:
        """Log when no process that can answer is heard, and when one is."""
        serving = self.serving()
        none_for_s = round(now_s - self._none_since_s, 1)
        if serving:
            self._none_since_s = now_s
        if bool(serving) == self._serving_logged:
            return
        self._serving_logged = bool(serving)
        if serving:
            extra = {"serving": serving, "none_for_s": none_for_s}
            LOG.info("control processes heard that can answer", extra=extra)
        else:
            extra = {"asked": self._controls(), "none_for_s": none_for_s}
            LOG.warning("no control process heard can answer", extra=extra)

    def _handle_message(self, sender: str, message: Any) -> None:
        match message:
            case TableUpdate():
                self._record_heard(sender)
            case LeaseRequest():
                denial = LeaseDenied(
                    message.sent_at_s, "no_quorum", self._controls()
                )
                self._mesh.send(sender, denial)
            case JoinRequest(call_id=call_id) if call_id != FORWARDED:
                self._forward(message)

    def _record_heard(self, sender: str) -> None:
        now_s = boottime_s()
        if sender not in self._heard_s:
            LOG.info("control process heard", extra={"control": sender})
        self._heard_s[sender] = now_s
        if len(self._heard_s) > MAX_CONTROLS:
            self._heard_s = {
                address: at_s
                for address, at_s in self._heard_s.items()
                if now_s - at_s < FORGET_AFTER_S
            }

    def _controls(self) -> tuple[str, ...]:
        """Return all addresses that may be of use, the surest first."""
        heard = sorted(self._heard_s, key=lambda a: -self._heard_s[a])
        return tuple(dict.fromkeys((*heard, *self._known)))[:MAX_CONTROLS]

    def _forward(self, request: JoinRequest) -> None:
        """Tell every control process of a joining one, as any may lead."""
        for address in self.serving():
            if address != request.address:
                self._mesh.send(address, request._replace(call_id=FORWARDED))


__all__ = ["Redirector"]
