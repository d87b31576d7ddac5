"""Attempts of one call that are forwarded by another entry.

An entry whose links to all servers of a service are down would refuse its
callers, although other entries reach these servers. The attempt goes to one of
those instead, which makes it and relays the answer. All else stays here: the
retries, the escalations, the budgets, the order of events and the deadline. A
forwarded request is not forwarded again.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_entry.errors import NoBackendServer
from sycamorestand_entry.errors import Overloaded
from sycamorestand_entry.routed.decision_log import Forwarded
from sycamorestand_entry.routed.decision_log import NotForwarded
from sycamorestand_entry.routed.exchange import Exchange
from sycamorestand_entry.routed.messages import Destination
from sycamorestand_entry.upstream import ConnectFailed
from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.declarations import VERSION_SEPARATOR
from sycamorestand_model.home_regions import home_regions
from sycamorestand_model.home_regions import is_home

if TYPE_CHECKING:
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.errors import RequestError
    from sycamorestand_entry.routed.call import RoutedCall
    from sycamorestand_entry.routed.forwarding import Refusal
    from sycamorestand_entry.routed.header_names import HeaderNames
    from sycamorestand_entry.routed.messages import EngineOptions
    from sycamorestand_entry.upstream import UpstreamConnection
    from sycamorestand_model.entry_reports import EntryAddress

# Entries that one call asks in vain. Several may have lost their links with
# this one, and not yet told so; beyond that the next would refuse too.
MAX_REFUSALS: Final = 4
TOO_MANY_REQUESTS: Final = 429
RETRY_AFTER_S: Final = 0.5


class Forwarder:
    """Choose other entries for the attempts of one call, and connect."""

    def __init__(
        self,
        context: EntryContext,
        header_names: HeaderNames,
        call: RoutedCall,
    ) -> None:
        self._context = context
        self._header_names = header_names
        self._call = call
        self._asked_in_vain: set[str] = set()
        self.refusal: Refusal | None = None

    def is_possible(self, target: str) -> bool:
        """Return whether another entry may be asked for the target."""
        return self._next_entry(target) is not None

    async def open(
        self, target: str, options: EngineOptions, tried: frozenset[str]
    ) -> Exchange | None:
        """Send the attempt to another entry; return None if none takes it.

        Raises a `RequestError` if the request may not be dispatched.
        """
        while (entry := self._next_entry(target)) is not None:
            # Counted before the dial: the requests of a burst would choose
            # the same entry otherwise.
            self._context.peer_entries.record_start(entry.vm)
            exchange = None
            try:
                exchange = await self._send(target, entry, options, tried)
            finally:
                if exchange is None:
                    self._context.peer_entries.record_end(entry.vm)
            if exchange is not None:
                return exchange
        return None

    async def _send(
        self,
        target: str,
        entry: EntryAddress,
        options: EngineOptions,
        tried: frozenset[str],
    ) -> Exchange | None:
        connection = await self._connect(entry)
        if connection is None:
            return None
        server = _as_server(entry)
        exchange = Exchange(
            self._context,
            self._header_names,
            self._call,
            Destination(
                target, server, options, entry.vm, entry.forwarding_key, tried
            ),
            connection,
        )
        exchange.send()
        model = options.model.decode("latin-1")
        self._call.log.add(Forwarded(target, entry.vm, model))
        return exchange

    def record_refusal(self, vm: str, refusal: Refusal) -> None:
        """Record that the entry refused; it did not send the request."""
        self.refusal = refusal
        self._asked_in_vain.add(vm)
        now_s = self._context.now_s()
        self._context.peer_entries.record_refusal(
            vm, refusal.retry_after_s, now_s
        )
        self._count("refused")
        self._call.log.add(NotForwarded(vm, "it refused"))

    def refusal_error(self) -> RequestError:
        """Return the error for a call that no entry would forward."""
        message = "no other entry forwards it"
        refusal = self.refusal
        if refusal is not None and refusal.status == TOO_MANY_REQUESTS:
            return Overloaded(message, refusal.retry_after_s or RETRY_AFTER_S)
        return NoBackendServer(message, RETRY_AFTER_S)

    def _next_entry(self, target: str) -> EntryAddress | None:
        context = self._context
        if self._call.forwarded is not None:
            return None
        if len(self._asked_in_vain) >= MAX_REFUSALS:
            return None
        homes = home_regions(
            context.control.in_force(), self._call.customer, self._call.route
        )
        entries = [
            entry
            for entry in context.control.addresses()
            if not context.server_loss.is_unreachable(_peer_address(entry))
            and is_home(homes, entry.region)
        ]
        service = target.partition(VERSION_SEPARATOR)[0]
        return context.peer_entries.choose(
            entries, service, context.now_s(), self._asked_in_vain
        )

    async def _connect(self, entry: EntryAddress) -> UpstreamConnection | None:
        context = self._context
        try:
            return await context.pool.acquire(
                _peer_address(entry), context.settings.silent_idle_s
            )
        except ConnectFailed:
            self._asked_in_vain.add(entry.vm)
            context.peer_entries.record_unreachable(entry.vm, context.now_s())
            self._count("unreachable")
            self._call.log.add(
                NotForwarded(entry.vm, "it accepts no connection")
            )
            return None

    def _count(self, result: str) -> None:
        labels = {"direction": "out", "result": result}
        self._context.metrics.forwarded.inc(labels)


def _peer_address(entry: EntryAddress) -> str:
    host = f"[{entry.host}]" if ":" in entry.host else entry.host
    return f"{host}:{entry.port}"


def _as_server(entry: EntryAddress) -> Announcement:
    """Return the entry in the form of the server that an attempt goes to."""
    return Announcement(
        entry.vm,
        "service",
        _peer_address(entry),
        entry.data_centre,
        0,
        0,
        (),
    )


__all__ = ["Forwarder"]
