"""Attempts of one routed call: whether to make another, and at which server.

A server may be full, lost, hang or break off its answer. Without retries the
caller would see each such fault; without bounds on the retries a fault of a
few servers would multiply the load on the others.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_entry.errors import BackendFailed
from sycamorestand_entry.errors import DeadlineExceeded
from sycamorestand_entry.errors import NoBackendServer
from sycamorestand_entry.errors import NotAllowed
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.errors import Run
from sycamorestand_entry.routed.decision_log import NotImproved
from sycamorestand_entry.routed.decision_log import NotReached
from sycamorestand_entry.routed.decision_log import NotRepeated
from sycamorestand_entry.routed.decision_log import Sent
from sycamorestand_entry.routed.exchange import Exchange
from sycamorestand_entry.routed.further_arrivals import FurtherArrivals
from sycamorestand_entry.routed.messages import Destination
from sycamorestand_entry.routed.targets import next_target
from sycamorestand_entry.upstream import ConnectFailed
from sycamorestand_model.declarations import VERSION_SEPARATOR

if TYPE_CHECKING:
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.routed.call import RoutedCall
    from sycamorestand_entry.routed.header_names import HeaderNames
    from sycamorestand_entry.routed.messages import EngineOptions
    from sycamorestand_entry.upstream import UpstreamConnection
    from sycamorestand_model.backend_servers import Announcement

# A caller that retried at once would meet the same state.
RETRY_AFTER_S: Final = 0.5
# The route has changed already, so a retry finds the new one at once.
MOVED_RETRY_S: Final = 0.1
# Failed connections do not count as attempts, but a call must not dial for
# its whole timeout if all servers of a service are gone. A refused connection
# costs a millisecond, and the next server may be running: with a limit of
# four dials, a crash of five of nine servers failed requests although the
# other four were free. A connection that hangs costs a connect timeout.
MAX_DIALS: Final = 16
MAX_DIAL_S: Final = 1.0
# An entry earns several arrivals a second. A caller whose stream ends after
# this time resumes it sooner than the entry could.
MAX_ARRIVAL_WAIT_S: Final = 1.0
# Share of the call's remaining time. The rest is for the answer.
ARRIVAL_WAIT_SHARE: Final = 0.5
ARRIVAL_POLL_S: Final = 0.1


class Attempts:
    """Make the attempts of one call within its budgets.

    ``sent`` counts the requests written to servers, ``runs`` the streams
    that a server began. ``may_have_run`` is true once a request was written
    and its server did not report that it had not run it.
    """

    def __init__(
        self,
        context: EntryContext,
        header_names: HeaderNames,
        call: RoutedCall,
    ) -> None:
        self.context = context
        self.header_names = header_names
        self.call = call
        self.sent = 0
        self.runs = 0
        self.may_have_run = False
        self._arrivals = FurtherArrivals(context, call)
        self._tried: set[str] = set()
        self._sent_to: set[str] = set()
        self._unreachable: set[str] = set()
        self._lost: set[str] = set()
        self._no_fallback = ""
        self._failed_dials = 0
        self._dialled_s = 0.0

    @property
    def left(self) -> int:
        """Return the number of attempts that the route still allows.

        Attempts at servers that were lost do not count: the limit keeps a
        request from loading many servers, and those do no work any more.
        """
        limit = self.call.route.max_attempts
        return max(0, limit + len(self._lost) - self.sent)

    def record_lost(self, exchange: Exchange) -> None:
        """Record that an attempt ended because its server was lost."""
        self.may_have_run = True
        self._lost.add(exchange.destination.server.name)
        if exchange.has_begun:
            self.runs = max(0, self.runs - 1)

    async def may_replace_lost(self) -> bool:
        """Return whether the call may go on after its server was lost.

        The retry budget does not apply. It keeps a failing pool from
        getting more work, and this server gets none.
        """
        reason = self._reason_not_to_run_again()
        if reason:
            self.call.log.add(NotRepeated(reason))
            return False
        give_up_s = self.context.now_s() + self._arrival_wait_s()
        try:
            while not await self._arrivals.request_urgent():
                if self.context.now_s() >= give_up_s:
                    return False
                await anyio.sleep(ARRIVAL_POLL_S)
        finally:
            self._arrivals.withdraw()
        return True

    def _arrival_wait_s(self) -> float:
        """Return how long a call waits for an arrival after a loss.

        A caller that has resumed its stream already may not do so again, so
        its call waits for as long as the caller does.
        """
        call = self.call
        limit_s = call.remaining_s() * ARRIVAL_WAIT_SHARE
        if self.header_names.last_event in call.values:
            return limit_s
        return min(limit_s, MAX_ARRIVAL_WAIT_S)

    async def may_retry(self, overloaded: bool) -> bool:
        """Return whether the call may be retried at another server now.

        After an ``overloaded`` refusal, which reports that the request did
        not run, a retry spends only from the arrival budget. A request that
        may have run must be repeatable, and its retry also spends from the
        retry budget.
        """
        reason = self._reason_not_to_retry(overloaded)
        if reason:
            self.call.log.add(NotRepeated(reason))
            return False
        return await self._arrivals.spend()

    async def may_escalate(self) -> bool:
        """Return whether the call may escalate to a larger model."""
        limit = "" if await self._arrivals.has_spare() else "arrivals_kept"
        return await self._may_spend_on_improvement("climb", limit)

    async def may_switch_server(self, target: str) -> bool:
        """Return whether to leave a slow server for one not tried yet."""
        candidates = self.context.servers.candidates(
            target, self.context.now_s()
        )
        if all(server.name in self._tried for server in candidates):
            return False
        limit = "arrivals_kept"
        if await self._arrivals.has_spare():
            limit = self._reason_not_to_retry(overloaded=False)
        return await self._may_spend_on_improvement("move", limit)

    async def may_fall_back(self, target: str) -> bool:
        """Return whether the call may make its fallback attempt.

        If no attempt at a new server is left, the fallback goes to a server
        that had the request before. If no server is available, the call
        keeps waiting for the current one.
        """
        reason = self._reason_not_to_run_again()
        if not reason and not self.context.servers.has_available_server(
            target, self.context.now_s(), self._allowed_servers()
        ):
            reason = "no server takes work"
        if reason:
            if reason != self._no_fallback:
                self.call.log.add(NotRepeated(reason))
            self._no_fallback = reason
            return False
        return await self._arrivals.request_urgent()

    @property
    def is_waiting_for_arrival(self) -> bool:
        """Whether the fallback waits for an arrival."""
        return self._arrivals.is_waiting

    def cancel_fallback(self) -> None:
        """Give up the wait for the fallback's arrival."""
        self._arrivals.withdraw()

    async def _may_spend_on_improvement(self, wish: str, limit: str) -> bool:
        if limit:
            self.call.log.add(NotImproved(wish, limit.replace(" ", "_")))
            return False
        return await self._arrivals.spend()

    def _reason_not_to_retry(self, overloaded: bool) -> str:
        reason = self._reason_not_to_repeat(overloaded)
        if reason or overloaded:
            return reason
        now_s = self.context.now_s()
        customer = self.call.customer
        if self.context.retries.spend_retry(customer, now_s, "error"):
            return ""
        return "retry budget spent"

    def _reason_not_to_repeat(self, overloaded: bool) -> str:
        if not self.left:
            return "no attempt left"
        expiry = self.call.expiry_reason()
        if expiry:
            return expiry
        if not overloaded and not self.call.may_repeat:
            return "it must not run twice"
        return ""

    def _reason_not_to_run_again(self) -> str:
        """Return why the call may not run once more, empty if it may.

        Only servers that began the answer, and were not lost since, count
        against the route's limit here.
        """
        if self.runs >= self.call.route.max_attempts:
            return "no attempt left"
        return self.call.expiry_reason()

    async def open(self, target: str, options: EngineOptions) -> Exchange:
        """Choose a server, write the request to it and return the exchange.

        Servers that accept no connection are skipped. Raises a
        `RequestError` if no server is available or the request may not be
        dispatched.
        """
        while True:
            target = next_target(self.context, self.call, target)
            self._arrivals.set_service(target.partition(VERSION_SEPARATOR)[0])
            server = self._choose_server(target, options)
            self._tried.add(server.name)
            connection = await self._connect(target, server)
            if connection is None:
                continue
            destination = Destination(target, server, options)
            exchange = Exchange(
                self.context,
                self.header_names,
                self.call,
                destination,
                connection,
            )
            try:
                exchange.send()
            except NoBackendServer:
                # The server left while the connection was opened.
                self._count_failed_dial()
                continue
            except NotAllowed as error:
                # The request was allowed when it came, and its route or
                # customer was removed since. The caller retries and gets
                # the answer of the new configuration.
                raise NoBackendServer(error.message, MOVED_RETRY_S) from None
            if not self.sent:
                self._arrivals.record_first()
            self.sent += 1
            self._sent_to.add(server.name)
            self._log_sent(destination)
            return exchange

    def correct_run_state(self, error: RequestError) -> RequestError:
        """Return the error, or one that does not wrongly report "not run"."""
        if self.may_have_run:
            return self.final_error(error.message)
        return error

    def final_error(self, message: str) -> RequestError:
        """Return the error for a call that no server answered.

        It tells the caller whether the request may have run.
        """
        run: Run = "unknown" if self.may_have_run else "not_run"
        if self.call.remaining_s() <= 0:
            return DeadlineExceeded(message, None, run)
        if self.may_have_run:
            return BackendFailed(message, None, run)
        return NoBackendServer(message, RETRY_AFTER_S)

    def _choose_server(
        self, target: str, options: EngineOptions
    ) -> Announcement:
        servers = self.context.servers
        now_s = self.context.now_s()
        known = servers.find_available(target, options.known, now_s)
        if known is not None and options.known not in self._unreachable:
            return known
        return servers.choose(
            target,
            now_s,
            frozenset(self._tried),
            options.affinity_key,
            self.sent > 0 and self.call.may_repeat,
            self._allowed_servers(),
        )

    def _allowed_servers(self) -> set[str] | None:
        """Return the names of the servers to choose from, None for all."""
        if self.left:
            return None
        return self._sent_to - self._unreachable - self._lost

    async def _connect(
        self, target: str, server: Announcement
    ) -> UpstreamConnection | None:
        begin_s = self.context.now_s()
        try:
            return await self.context.pool.acquire(
                server.address, self._max_idle_s(server.name)
            )
        except ConnectFailed:
            now_s = self.context.now_s()
            self._dialled_s += now_s - begin_s
            servers = self.context.servers
            servers.record_start(target, server.name, now_s)
            servers.record_finish(target, server.name, now_s, 0.0, "error")
            self._unreachable.add(server.name)
            self.call.log.add(NotReached(server.name))
            self._count_failed_dial()
            return None

    def _log_sent(self, destination: Destination) -> None:
        servers = self.context.servers
        now_s = self.context.now_s()
        load = destination.server.load
        sent = Sent(
            destination.target,
            destination.server.name,
            destination.wanted.model.decode("latin-1"),
            servers.candidate_count(destination.target),
            servers.in_flight(destination.target, destination.server.name),
            load.running + load.queued,
            int(servers.report_age_s(destination.server, now_s) * 1000),
            destination.wanted.rank,
            destination.wanted.last_event.decode("latin-1"),
        )
        self.call.log.add(sent)

    def _max_idle_s(self, server: str) -> float:
        if self.call.may_repeat and self.sent == 0:
            return self.context.settings.pool_idle_s
        if server in self._sent_to:
            # A late answer to the first attempt at this server echoes the
            # same attempt id as the answer to this one. Only a new
            # connection tells them apart.
            return 0.0
        # A request that may not be repeated must not be lost on an idle
        # connection that went silent, and a retry must not meet a second
        # such connection.
        return self.context.settings.silent_idle_s

    def _count_failed_dial(self) -> None:
        """Count a server that could not be reached; raise after too many."""
        self._failed_dials += 1
        exhausted = (
            self._failed_dials >= MAX_DIALS or self._dialled_s >= MAX_DIAL_S
        )
        if exhausted or self.call.remaining_s() <= 0:
            raise self.final_error("no backend server takes a connection")


__all__ = ["Attempts", "RETRY_AFTER_S"]
