"""Attempts of one routed call: which server next, and whether at all.

What it answers: a server is full, has gone, hangs or breaks off. Without
bounds on the attempts a fault of a few servers becomes a multiple of the
load on the others; without another attempt each such fault is the
caller's.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_entry.errors import BackendFailed
from sycamorestand_entry.errors import DeadlineExceeded
from sycamorestand_entry.errors import NoBackendServer
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.errors import Run
from sycamorestand_entry.routed.exchange import Aim
from sycamorestand_entry.routed.exchange import Exchange
from sycamorestand_entry.routed.targets import current_target
from sycamorestand_entry.upstream import ConnectFailed

if TYPE_CHECKING:
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.routed.call import RoutedCall
    from sycamorestand_entry.routed.wire import RouteWire

# A caller told to come back at once would meet the same state.
RETRY_AFTER_S: Final = 0.5
# Connections that could not be made count for no attempt, but a service
# whose servers are all gone must not be dialled for the whole timeout.
MAX_DIALS: Final = 4


class Attempts:
    """The attempts that one call may still make.

    ``may_have_run`` stays true once bytes were sent and no server said
    that it did not run them.
    """

    def __init__(
        self, context: EntryContext, wire: RouteWire, call: RoutedCall
    ) -> None:
        self.context = context
        self.wire = wire
        self.call = call
        self.sent = 0
        self.may_have_run = False
        self._tried: set[str] = set()
        self._dials = 0

    @property
    def left(self) -> int:
        """Return how many servers the call may still be sent to."""
        return max(0, self.call.route.max_attempts - self.sent)

    def may_go_on(self, overloaded: bool) -> bool:
        """Tell whether another server may be tried now.

        A refusal that says "not run" costs nothing but the attempt; what
        may have run draws on the retry budget and must be repeatable.
        """
        if not self.left or self.call.remaining_s() <= 0:
            return False
        if overloaded:
            return True
        if not self.call.may_repeat:
            return False
        now_s = self.context.now_s()
        customer = self.call.customer
        return self.context.retries.may_retry(customer, now_s, "error")

    async def open(
        self, target: str, affinity_key: str, model: bytes, last_event: bytes
    ) -> Exchange:
        """Return an exchange whose request was written.

        Raises a `RequestError` where no server can be had or the gate
        refuses.
        """
        while True:
            target = current_target(self.context, self.call, target)
            server = self._choose(target, affinity_key)
            self._tried.add(server.name)
            try:
                connection = await self.context.pool.acquire(
                    server.address, self._max_idle_s()
                )
            except ConnectFailed:
                self._count_failed_dial(target, server.name)
                continue
            aim = Aim(target, server, model, last_event)
            exchange = Exchange(
                self.context, self.wire, self.call, aim, connection
            )
            exchange.send()
            self.sent += 1
            return exchange

    def failure(self, message: str) -> RequestError:
        """Return the final answer to a call that no server answered."""
        run: Run = "unknown" if self.may_have_run else "not_run"
        if self.call.remaining_s() <= 0:
            return DeadlineExceeded(message, None, run)
        if self.may_have_run:
            return BackendFailed(message, None, run)
        return NoBackendServer(message, RETRY_AFTER_S)

    def _choose(self, target: str, affinity_key: str):  # type: ignore[no-untyped-def]
        return self.context.servers.choose(
            target,
            self.context.now_s(),
            frozenset(self._tried),
            affinity_key,
            self.sent > 0 and self.call.may_repeat,
        )

    def _max_idle_s(self) -> float:
        if self.call.may_repeat and self.sent == 0:
            return self.context.settings.pool_idle_s
        # What may not be repeated must not be lost on a connection that
        # went silent, and a repeat must not meet a second such one.
        return self.context.settings.silent_idle_s

    def _count_failed_dial(self, target: str, name: str) -> None:
        now_s = self.context.now_s()
        servers = self.context.servers
        servers.started(target, name, now_s)
        servers.finished(target, name, now_s, 0.0, "error")
        self._dials += 1
        if self._dials >= MAX_DIALS or self.call.remaining_s() <= 0:
            raise self.failure("no backend server takes a connection")


__all__ = ["Attempts", "RETRY_AFTER_S"]
