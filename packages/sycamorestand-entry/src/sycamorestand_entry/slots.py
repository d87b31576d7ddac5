"""Admission control for requests: the queue of waiting tasks.

`sycamorestand_decisions.admission` decides which request starts; this
module keeps the waiting tasks and the periodic update. A request that the
admission refuses, on arrival or while queued, fails at once with the time
after which to retry.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import time
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio

from sycamorestand_decisions.admission import Admission
from sycamorestand_decisions.admission import NO_SERVER
from sycamorestand_decisions.admission import Refused
from sycamorestand_decisions.admission import Started
from sycamorestand_decisions.fair_queue import Ticket
from sycamorestand_decisions.shared_room import RoomShare
from sycamorestand_decisions.shared_room import SharedRoom
from sycamorestand_entry.errors import NoBackendServer
from sycamorestand_entry.errors import Overloaded

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_decisions.admission import PoolMetrics
    from sycamorestand_entry.metrics import Metrics
    from sycamorestand_entry.servers import Servers

_LOG = logging.getLogger(__name__)
TICK_S: Final = 0.25
SERVER_RETRY_S: Final = 1.0
# Expected durations of a call to a plain service, of the first token of an
# answer and of each further token. The admission learns the ratio of real to
# expected duration within some hundred requests.
SERVICE_CALL_S: Final = 0.05
FIRST_TOKEN_S: Final = 0.05
TOKEN_S: Final = 0.005
DEFAULT_TOKENS: Final = 256
# Callers set ``max_tokens`` far above what they expect to receive. Without
# this limit on the estimate, the admission would refuse such requests as
# unable to finish by their deadline.
MAX_EXPECTED_TOKENS: Final = 1024
# Priorities of the chat interface. Routed requests may be more urgent, and the
# two lowest priorities wait longer than others (`admission`).
CHAT_PRIORITIES: Final = {"interactive": 2, "batch": 8}


class SlotRequest(NamedTuple):
    """A request for a slot.

    ``target`` is a version or a plain service, ``priority`` a number from 0,
    the highest, to 9. ``deadline_at_s`` and ``target_at_s`` are on the
    monotonic clock; the latter is the latency target, 0 without one.
    ``expected_s`` is the expected time in the slot, of which ``begin_s``
    passes before what the latency target bounds. ``key`` is the same for
    repeats of the request.
    """

    customer: str
    weight: float
    target: str
    priority: int
    deadline_at_s: float
    expected_s: float
    target_at_s: float = 0.0
    begin_s: float = 0.0
    key: str = ""


def no_shared_room(target: str, now_s: float) -> SharedRoom | None:
    """Return None: the servers' loads are not shared among entries."""
    return None


def unknown_entry_count() -> int:
    """Return 0: the number of entries is not known."""
    return 0


class Slots:
    """The slots of all versions and plain services, as one entry sees them.

    ``shared_room`` returns what is known of the slots that all entries share,
    None where nothing is. ``entry_count`` returns the number of entries, 0 if
    it is not known.
    """

    def __init__(
        self,
        servers: Servers,
        metrics: Metrics,
        shared_room: Callable[
            [str, float], SharedRoom | None
        ] = no_shared_room,
        entry_count: Callable[[], int] = unknown_entry_count,
    ) -> None:
        self._admission = Admission()
        self._servers = servers
        self._metrics = metrics
        self._ids = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[Refused | None]] = {}
        self._refreshed_s: dict[str, float] = {}
        self._without_slots: set[str] = set()
        self._shared_room = shared_room
        self._entry_count = entry_count
        self._room_shares: dict[str, RoomShare] = {}

    async def acquire(self, request: SlotRequest) -> int:
        """Wait for a slot and return its id.

        Raises `Overloaded` or `NoBackendServer` if the admission refuses
        the request.
        """
        begin_s = time.monotonic()
        self._refresh(request.target, begin_s)
        ticket = Ticket(next(self._ids), *request)
        result = self._admission.offer(ticket, begin_s)
        if isinstance(result, Refused):
            raise self._make_refusal(result, request.priority)
        if not isinstance(result, Started):
            await self._wait(ticket)
            self._metrics.queue_wait.add({}, time.monotonic() - begin_s)
        self._metrics.admissions.inc({"result": type(result).__name__})
        return ticket.ticket_id

    def finish(self, slot: int, latency_s: float, failed: bool) -> None:
        """Release a slot and record how long the request held it."""
        now_s = time.monotonic()
        self._admission.finish(slot, now_s, latency_s, failed)
        self._start_ready(now_s)

    def cancel(self, slot: int) -> None:
        """Release a slot or leave the queue without recording a duration."""
        now_s = time.monotonic()
        self._admission.cancel(slot, now_s)
        self._start_ready(now_s)

    def metrics(self) -> dict[str, PoolMetrics]:
        """Return the admission's metrics by version or plain service."""
        return self._admission.metrics()

    async def run_periodic_update(self) -> None:
        """Update capacities and the queues periodically until cancelled.

        A queued request expires once it can no longer start or finish in
        time.
        """
        while True:
            await anyio.sleep(TICK_S)
            try:
                self._tick(time.monotonic())
            except Exception:
                # If this loop ended, no queue would be served any more.
                _LOG.exception("periodic update of the admission failed")

    def _tick(self, now_s: float) -> None:
        for target in self._refreshed_s:
            self._set_capacity(target, now_s)
        self._servers.forget_removed(now_s)
        self._start_ready(now_s)
        for ticket, refused in self._admission.expire(now_s):
            self._resolve(ticket.ticket_id, refused)

    async def _wait(self, ticket: Ticket) -> None:
        ticket_id = ticket.ticket_id
        future = asyncio.get_running_loop().create_future()
        self._waiting[ticket_id] = future
        try:
            refused = await future
        except asyncio.CancelledError:
            self._waiting.pop(ticket_id, None)
            self.cancel(ticket_id)
            raise
        if refused is not None:
            raise self._make_refusal(refused, ticket.priority)

    def _start_ready(self, now_s: float) -> None:
        for ticket in self._admission.start_ready(now_s):
            self._resolve(ticket.ticket_id, None)

    def _resolve(self, ticket_id: int, refused: Refused | None) -> None:
        future = self._waiting.pop(ticket_id, None)
        if future is not None and not future.done():
            future.set_result(refused)

    def _refresh(self, target: str, now_s: float) -> None:
        refreshed_s = self._refreshed_s.get(target)
        stale = refreshed_s is None or now_s - refreshed_s > TICK_S
        # A target without slots refuses every request, so its capacity is
        # read again at once: a server may have been announced since the
        # last update.
        if stale or target in self._without_slots:
            self._set_capacity(target, now_s)

    def _set_capacity(self, target: str, now_s: float) -> None:
        self._refreshed_s[target] = now_s
        capacity = self._servers.capacity(target, now_s)
        room = self._shared_room(target, now_s) if capacity else None
        if room is None:
            self._room_shares.pop(target, None)
        else:
            share = self._room_shares.setdefault(target, RoomShare())
            capacity = share.capacity(
                room, self._entry_count(), capacity, now_s
            )
        if capacity:
            self._without_slots.discard(target)
        else:
            self._without_slots.add(target)
        self._admission.set_capacity(target, capacity)

    def _make_refusal(
        self, refused: Refused, priority: int
    ) -> Overloaded | NoBackendServer:
        self._metrics.admissions.inc({"result": refused.reason})
        labels = {"priority": str(priority), "rule": refused.rule}
        self._metrics.admission_refused.inc(labels)
        kind = NoBackendServer if refused.rule == NO_SERVER else Overloaded
        error = kind(refused.reason, refused.retry_after_s)
        error.admission = refused
        return error


def expected_chat_s(max_tokens: int) -> float:
    """Return the expected duration of an answer with this token limit."""
    return FIRST_TOKEN_S + TOKEN_S * min(max_tokens, MAX_EXPECTED_TOKENS)


__all__ = [
    "CHAT_PRIORITIES",
    "DEFAULT_TOKENS",
    "expected_chat_s",
    "no_shared_room",
    "SERVICE_CALL_S",
    "SlotRequest",
    "Slots",
    "unknown_entry_count",
]
