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
from sycamorestand_entry.errors import NotAllowed
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.errors import Run
from sycamorestand_entry.routed.decision_log import ArrivalDenied
from sycamorestand_entry.routed.decision_log import NotImproved
from sycamorestand_entry.routed.decision_log import NotReached
from sycamorestand_entry.routed.decision_log import NotRepeated
from sycamorestand_entry.routed.decision_log import Sent
from sycamorestand_entry.routed.exchange import Exchange
from sycamorestand_entry.routed.messages import Aim
from sycamorestand_entry.routed.targets import current_target
from sycamorestand_entry.upstream import ConnectFailed
from sycamorestand_model.declarations import VERSION_SEPARATOR

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.routed.call import RoutedCall
    from sycamorestand_entry.routed.header_names import HeaderNames
    from sycamorestand_entry.routed.messages import Wanted
    from sycamorestand_entry.upstream import UpstreamConnection
    from sycamorestand_model.backend_servers import Announcement

# A caller told to come back at once would meet the same state.
RETRY_AFTER_S: Final = 0.5
# The route itself has moved; whoever comes back at once meets the new one.
MOVED_RETRY_S: Final = 0.1
# Connections that could not be made count for no attempt, but a service
# whose servers are all gone must not be dialled for the whole timeout. What
# is refused costs a millisecond and the next server may be there: bounded by
# four dials, a crash of five of nine servers failed requests that the other
# four were free for. What hangs costs a connect timeout.
MAX_DIALS: Final = 16
MAX_DIAL_S: Final = 1.0
# A packet that is lost on the way makes a single one fail.
DIALS_TO_BE_SURE: Final = 2


class Attempts:
    """The attempts that one call may still make.

    ``may_have_run`` stays true once bytes were sent and no server said
    that it did not run them. ``runs`` are the streams that a server began.
    """

    def __init__(
        self, context: EntryContext, wire: HeaderNames, call: RoutedCall
    ) -> None:
        self.context = context
        self.wire = wire
        self.call = call
        self.sent = 0
        self.runs = 0
        self.may_have_run = False
        self._service = ""
        self._tried: set[str] = set()
        self._sent_to: set[str] = set()
        self._dialled_in_vain: set[str] = set()
        self._dials = 0
        self._dialled_s = 0.0

    @property
    def left(self) -> int:
        """Return how many servers the call may still be sent to."""
        return max(0, self.call.route.max_attempts - self.sent)

    async def may_go_on(self, overloaded: bool) -> bool:
        """Tell whether another server may be tried now.

        A refusal that says "not run" draws on the budget of arrivals
        alone; what may have run on the retry budget as well, and must be
        repeatable.
        """
        reason = self._reason_to_end(overloaded)
        if reason:
            self.call.log.add(NotRepeated(reason))
            return False
        return await self._may_arrive_again()

    async def may_climb(self) -> bool:
        """Tell whether a larger model may be asked instead."""
        bound = "" if await self._has_spare() else "arrivals_kept"
        return await self._may_improve("climb", bound)

    async def may_move(self, target: str) -> bool:
        """Tell whether to leave a slow server for one not tried yet."""
        candidates = self.context.servers.candidates(
            target, self.context.now_s()
        )
        if all(server.name in self._tried for server in candidates):
            return False
        bound = "arrivals_kept"
        if await self._has_spare():
            bound = self._reason_to_end(overloaded=False)
        return await self._may_improve("move", bound)

    async def may_fall_back(self, target: str) -> bool:
        """Tell whether to ask once more, at the last moment.

        Of those that it was sent to, only servers that began it count as
        attempts. It goes back to one of them where no new one may be had;
        where none takes work, the one that is waited for is the best.
        """
        reason = ""
        if self.runs >= self.call.route.max_attempts:
            reason = "no attempt left"
        elif not self.context.servers.has_available_server(
            target, self.context.now_s(), self._allowed()
        ):
            reason = "no server takes work"
        if reason:
            self.call.log.add(NotRepeated(reason))
            return False
        return await self._may_arrive_again()

    async def is_lost(self, server: Announcement) -> bool:
        """Tell whether a server that sends nothing takes no connection.

        One that is busy, or has put a request off, takes it at once.
        """
        for _ in range(DIALS_TO_BE_SURE):
            try:
                connection = await self.context.pool.acquire(
                    server.address, max_idle_s=0.0
                )
            except ConnectFailed:
                continue
            connection.close()
            return False
        return True

    async def _has_spare(self) -> bool:
        """Tell whether an arrival may be spent on what is not urgent."""
        return await self._asked(self.context.arrivals.has_spare)

    async def _asked(self, budget: Callable[[str, int, float], bool]) -> bool:
        """Ask the budget; once more with what the pool lends meanwhile."""
        context = self.context

        def ask() -> bool:
            entries = context.control.entry_count()
            return budget(self._service, entries, context.now_s())

        if ask():
            return True
        await context.loans.borrow(self._service)
        return ask()

    async def _may_improve(self, wish: str, bound: str) -> bool:
        if bound:
            self.call.log.add(NotImproved(wish, bound.replace(" ", "_")))
            return False
        return await self._may_arrive_again()

    async def _may_arrive_again(self) -> bool:
        context = self.context
        service = self._service
        may = await self._asked(context.arrivals.try_spend)
        if not may:
            entries = context.control.entry_count()
            share = context.arrivals.share(service, entries, context.now_s())
            self.call.log.add(ArrivalDenied(service, *share))
        context.loans.trade()
        self._count_arrival("further" if may else "denied")
        return may

    def _count_arrival(self, kind: str) -> None:
        labels = {"service": self._service, "kind": kind}
        self.context.metrics.arrivals.inc(labels)

    def _reason_to_end(self, overloaded: bool) -> str:
        if not self.left:
            return "no attempt left"
        over = self.call.why_over()
        if over:
            return over
        if overloaded:
            return ""
        if not self.call.may_repeat:
            return "it must not run twice"
        now_s = self.context.now_s()
        customer = self.call.customer
        if self.context.retries.may_retry(customer, now_s, "error"):
            return ""
        return "retry budget spent"

    async def open(self, target: str, wanted: Wanted) -> Exchange:
        """Return an exchange whose request was written.

        Raises a `RequestError` where no server can be had or the gate
        refuses.
        """
        while True:
            target = current_target(self.context, self.call, target)
            self._service = target.partition(VERSION_SEPARATOR)[0]
            server = self._choose(target, wanted)
            self._tried.add(server.name)
            connection = await self._connect(target, server)
            if connection is None:
                continue
            aim = Aim(target, server, wanted)
            exchange = Exchange(
                self.context, self.wire, self.call, aim, connection
            )
            try:
                exchange.send()
            except NoBackendServer:
                # It left while the connection was made.
                self._count_dial()
                continue
            except NotAllowed as error:
                # The request was allowed when it came. That its route or
                # customer is gone is for the next request to hear.
                raise NoBackendServer(error.message, MOVED_RETRY_S) from None
            if not self.sent:
                now_s = self.context.now_s()
                self.context.arrivals.record_first_arrival(
                    self._service, now_s
                )
                self.context.loans.trade()
                self._count_arrival("first")
            self.sent += 1
            self._sent_to.add(server.name)
            self._log_sent(aim)
            return exchange

    def truthful(self, error: RequestError) -> RequestError:
        """Return a refusal that claims no more than what is certain."""
        if self.may_have_run:
            return self.failure(error.message)
        return error

    def failure(self, message: str) -> RequestError:
        """Return the final answer to a call that no server answered."""
        run: Run = "unknown" if self.may_have_run else "not_run"
        if self.call.remaining_s() <= 0:
            return DeadlineExceeded(message, None, run)
        if self.may_have_run:
            return BackendFailed(message, None, run)
        return NoBackendServer(message, RETRY_AFTER_S)

    def _choose(self, target: str, wanted: Wanted) -> Announcement:
        servers = self.context.servers
        now_s = self.context.now_s()
        known = servers.find_available(target, wanted.known, now_s)
        if known is not None and wanted.known not in self._dialled_in_vain:
            return known
        return servers.choose(
            target,
            now_s,
            frozenset(self._tried),
            wanted.affinity_key,
            self.sent > 0 and self.call.may_repeat,
            self._allowed(),
        )

    def _allowed(self) -> set[str] | None:
        """Return the servers that it may still be sent to, None for all."""
        if self.left:
            return None
        return self._sent_to - self._dialled_in_vain

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
            self._dialled_in_vain.add(server.name)
            self.call.log.add(NotReached(server.name))
            self._count_dial()
            return None

    def _log_sent(self, aim: Aim) -> None:
        servers = self.context.servers
        now_s = self.context.now_s()
        load = aim.server.load
        sent = Sent(
            aim.target,
            aim.server.name,
            aim.wanted.model.decode("latin-1"),
            servers.candidate_count(aim.target),
            servers.in_flight(aim.target, aim.server.name),
            load.running + load.queued,
            int(servers.report_age_s(aim.server, now_s) * 1000),
            aim.wanted.rank,
            aim.wanted.last_event.decode("latin-1"),
        )
        self.call.log.add(sent)

    def _max_idle_s(self, name: str) -> float:
        if self.call.may_repeat and self.sent == 0:
            return self.context.settings.pool_idle_s
        if name in self._sent_to:
            # A late second answer to the first attempt there would bear
            # the same name as the one that is waited for now.
            return 0.0
        # What may not be repeated must not be lost on a connection that
        # went silent, and a repeat must not meet a second such one.
        return self.context.settings.silent_idle_s

    def _count_dial(self) -> None:
        self._dials += 1
        spent = self._dials >= MAX_DIALS or self._dialled_s >= MAX_DIAL_S
        if spent or self.call.remaining_s() <= 0:
            raise self.failure("no backend server takes a connection")


__all__ = ["Attempts", "RETRY_AFTER_S"]
