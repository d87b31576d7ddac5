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

from sycamorestand_control.control_directory import ControlDirectory
from sycamorestand_control.control_directory import ControlReport
from sycamorestand_control.control_exchange import ControlExchange
from sycamorestand_control.control_exchange import CONTROLS
from sycamorestand_control.creator_appointer import CreatorAppointer
from sycamorestand_control.forming_watch import FormingWatch
from sycamorestand_control.joining import FORWARDED
from sycamorestand_control.joining import IN_CLUSTER
from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.mesh import PeerMesh
from sycamorestand_peer.messages import CallReply
from sycamorestand_peer.messages import JoinRequest
from sycamorestand_peer.messages import LeaseDenied
from sycamorestand_peer.messages import LeaseRequest
from sycamorestand_peer.messages import TableUpdate

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from anyio.abc import TaskStatus

    from sycamorestand_peer.key_file import KeySource

LOG: Final = logging.getLogger(__name__)
CHECK_INTERVAL_S: Final = 0.5
# A link carries a heartbeat each 0.5 s. Callers are sent to a process that
# was silent for longer only where all that serve were.
REACHED_WITHIN_S: Final = 1.5
REFUSAL_LOG_INTERVAL_S: Final = 1.0


class Redirector:
    """Answers lease and join requests with the control processes it knows.

    ``known`` are the addresses in the settings, with or without a disk;
    ``vm`` and ``data_centre`` are those of this process, and ``first_seeds``
    the seeds if this is the first start.
    """

    def __init__(
        self,
        address: str,
        cluster_keys: KeySource,
        known: Iterable[str],
        vm: str = "",
        data_centre: str = "",
        first_seeds: Sequence[str] = (),
    ) -> None:
        self._mesh = PeerMesh(address, cluster_keys, self._handle_message)
        self.directory = ControlDirectory(address, known)
        report = ControlReport(vm, data_centre, has_disk=False)
        self._exchange = ControlExchange(
            self._mesh, self.directory, lambda: report
        )
        self._appointer = CreatorAppointer(
            self._mesh, first_seeds, self.directory
        )
        self._forming_watch = FormingWatch(self._appointer.state)
        self._reported = anyio.Event()
        self._none_since_s = boottime_s()
        self._serving_logged = True
        self._refused = 0
        self._next_refusal_log_s = 0.0

    def set_control_addresses(self, addresses: Iterable[str]) -> None:
        """Replace the addresses of control processes in the settings."""
        self.directory.set_named(addresses)

    def serving(self) -> tuple[str, ...]:
        """Return the control processes that can answer orders and reads.

        The one that was heard last comes first.
        """
        serving = self.directory.serving()
        reached = tuple(
            address
            for address in serving
            if self._mesh.silence_s(address) < REACHED_WITHIN_S
        )
        return reached or serving

    async def wait_serving(self, timeout_s: float) -> tuple[str, ...]:
        """Return `serving`, or wait for the first; empty after a timeout."""
        with anyio.move_on_after(timeout_s):
            while not self.serving():
                await self._reported.wait()
        return self.serving()

    def refuse(self, path: str) -> str:
        """Log a call that nobody can answer, and return why in words.

        At most one line a second says how many there were.
        """
        reason = self._reason()
        self._refused += 1
        now_s = boottime_s()
        if now_s >= self._next_refusal_log_s:
            self._next_refusal_log_s = now_s + REFUSAL_LOG_INTERVAL_S
            extra = {"path": path, "calls": self._refused, "reason": reason}
            LOG.warning("calls refused", extra=extra)
            self._refused = 0
        return reason

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Answer until cancelled."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(self._mesh.run)
            tasks.start_soon(self._exchange.run)
            tasks.start_soon(self._watch_serving)
            tasks.start_soon(self._appointer.run)
            tasks.start_soon(self._forming_watch.run)
            task_status.started()

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
            asked = self._exchange.addresses()
            extra = {"asked": asked, "none_for_s": none_for_s}
            LOG.warning("no control process heard can answer", extra=extra)

    def _reason(self) -> str:
        heard = len(self.directory.with_disk())
        if heard:
            return f"none of {heard} control processes has a leader"
        asked = ", ".join(self._exchange.addresses())
        return f"no control process with a disk is heard; asked: {asked}"

    def _handle_message(self, sender: str, message: Any) -> None:
        match message:
            case TableUpdate(table=table) if table == CONTROLS:
                self._exchange.handle_report(sender, message)
                self._reported.set()
                self._reported = anyio.Event()
            case LeaseRequest():
                denial = LeaseDenied(
                    message.sent_at_s, "no_quorum", self._controls()
                )
                self._mesh.send(sender, denial)
            case JoinRequest(call_id=call_id) if call_id != FORWARDED:
                self._forward(message)
                self._answer_join(sender, call_id)

    def _controls(self) -> tuple[str, ...]:
        """Return all addresses that may be of use, the surest first."""
        ordered = (
            *self.serving(),
            *self.directory.with_disk(),
            *self._exchange.addresses(),
        )
        return tuple(dict.fromkeys(ordered))

    def _answer_join(self, sender: str, call_id: int) -> None:
        """Say whether a cluster exists; without one, it may be created.

        The asker's own earlier report is no cluster of another process: it
        may have been killed before the cluster that it began was synced.
        """
        has_cluster = self.directory.cluster_heard(besides=sender)
        payload = IN_CLUSTER if has_cluster else b""
        self._mesh.send(sender, CallReply(call_id, "", payload))

    def _forward(self, request: JoinRequest) -> None:
        """Tell every control process of a joining one, as any may lead."""
        for address in self.directory.with_disk():
            if address != request.address:
                self._mesh.send(address, request._replace(call_id=FORWARDED))


__all__ = ["Redirector"]
