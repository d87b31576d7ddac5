"""Admission at work: requests that wait, and the clock that serves them.

The decisions are `sycamorestand_decisions.admission`'s; here are the
waiting tasks. A request that the admission gives up on hears it at once,
with the time after which to come back.
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
from sycamorestand_decisions.admission import Refused
from sycamorestand_decisions.admission import Started
from sycamorestand_decisions.fair_queue import Ticket
from sycamorestand_entry.errors import NoBackendServer
from sycamorestand_entry.errors import Overloaded

if TYPE_CHECKING:
    from sycamorestand_decisions.admission import PoolMetrics
    from sycamorestand_entry.metrics import Metrics
    from sycamorestand_entry.servers import Servers

_LOG = logging.getLogger(__name__)
TICK_S: Final = 0.25
SERVER_RETRY_S: Final = 1.0
# What a request without a size of its own is expected to take; the
# admission learns the real ratio within some hundred requests.
SERVICE_CALL_S: Final = 0.05
FIRST_TOKEN_S: Final = 0.05
TOKEN_S: Final = 0.005
DEFAULT_TOKENS: Final = 256
# Callers send limits that they never expect to reach; taken as they are,
# every such request would be refused as impossible by its deadline.
MAX_EXPECTED_TOKENS: Final = 1024


class SlotRequest(NamedTuple):
    """Who wants to run what, until when."""

    customer: str
    weight: float
    target: str
    priority: str
    deadline_at_s: float
    expected_s: float


class Slots:
    """Slots of all versions and services on this entry."""

    def __init__(self, servers: Servers, metrics: Metrics) -> None:
        self._admission = Admission()
        self._servers = servers
        self._metrics = metrics
        self._ids = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[Refused | None]] = {}
        self._refreshed_s: dict[str, float] = {}
        self._without_slots: set[str] = set()

    async def acquire(self, request: SlotRequest) -> int:
        """Wait for a slot and return its id, or refuse."""
        begin_s = time.monotonic()
        self._refresh(request.target, begin_s)
        ticket = Ticket(next(self._ids), *request)
        result = self._admission.offer(ticket, begin_s)
        if isinstance(result, Refused):
            raise self._make_refusal(result)
        if not isinstance(result, Started):
            await self._wait(ticket.ticket_id)
            self._metrics.queue_wait.add({}, time.monotonic() - begin_s)
        self._metrics.admissions.inc({"result": type(result).__name__})
        return ticket.ticket_id

    def finish(self, slot: int, latency_s: float, failed: bool) -> None:
        """Give a slot back and learn from the time it was held."""
        now_s = time.monotonic()
        self._admission.finish(slot, now_s, latency_s, failed)
        self._start_ready(now_s)

    def cancel(self, slot: int) -> None:
        """Give a slot back, or leave the queue, without learning."""
        now_s = time.monotonic()
        self._admission.cancel(slot, now_s)
        self._start_ready(now_s)

    def metrics(self) -> dict[str, PoolMetrics]:
        """Return the admission's counters by version or service."""
        return self._admission.metrics()

    async def run_clock(self) -> None:
        """Follow the servers' capacity and refuse what became hopeless."""
        while True:
            await anyio.sleep(TICK_S)
            try:
                self._tick(time.monotonic())
            except Exception:
                # Without the clock every queue would stand still.
                _LOG.exception("admission's clock failed")

    def _tick(self, now_s: float) -> None:
        for target in self._refreshed_s:
            self._set_capacity(target, now_s)
        self._servers.forget_removed(now_s)
        self._start_ready(now_s)
        for ticket, refused in self._admission.expire(now_s):
            self._resolve(ticket.ticket_id, refused)

    async def _wait(self, ticket_id: int) -> None:
        future = asyncio.get_running_loop().create_future()
        self._waiting[ticket_id] = future
        try:
            refused = await future
        except asyncio.CancelledError:
            self._waiting.pop(ticket_id, None)
            self.cancel(ticket_id)
            raise
        if refused is not None:
            raise self._make_refusal(refused)

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
        # With no slot each request is refused; servers that came since the
        # last look must not wait for the next one.
        if stale or target in self._without_slots:
            self._set_capacity(target, now_s)

    def _set_capacity(self, target: str, now_s: float) -> None:
        self._refreshed_s[target] = now_s
        capacity = self._servers.capacity(target, now_s)
        if capacity:
            self._without_slots.discard(target)
        else:
            self._without_slots.add(target)
        self._admission.set_capacity(target, capacity)

    def _make_refusal(self, refused: Refused) -> Overloaded | NoBackendServer:
        self._metrics.admissions.inc({"result": refused.reason})
        if refused.reason.startswith("no backend server"):
            return NoBackendServer(refused.reason, refused.retry_after_s)
        return Overloaded(refused.reason, refused.retry_after_s)


def expected_chat_s(max_tokens: int) -> float:
    """Return the expected time of an answer of at most so many tokens."""
    return FIRST_TOKEN_S + TOKEN_S * min(max_tokens, MAX_EXPECTED_TOKENS)


__all__ = [
    "DEFAULT_TOKENS",
    "expected_chat_s",
    "SERVICE_CALL_S",
    "SlotRequest",
    "Slots",
]
