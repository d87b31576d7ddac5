"""Attempts of one routed call: whether to make another, and at which server.

A server may be full, lost, hang or break off its answer. Without retries the
caller would see each such fault; without bounds on the retries a fault of a
few servers would multiply the load on the others.
"""

from __future__ import annotations

import math
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_decisions.further_attempts import climb_reserve
from sycamorestand_decisions.further_attempts import move_reserve
from sycamorestand_entry.errors import BackendFailed
from sycamorestand_entry.errors import DeadlineExceeded
from sycamorestand_entry.errors import NoBackendServer
from sycamorestand_entry.errors import NotAllowed
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.errors import Run
from sycamorestand_entry.reservation import reserve_server
from sycamorestand_entry.routed.decision_log import NotImproved
from sycamorestand_entry.routed.decision_log import NotRepeated
from sycamorestand_entry.routed.decision_log import Sent
from sycamorestand_entry.routed.dials import Dials
from sycamorestand_entry.routed.ended_attempts import EndedAttempts
from sycamorestand_entry.routed.exchange import Exchange
from sycamorestand_entry.routed.forwarder import Forwarder
from sycamorestand_entry.routed.further_arrivals import FurtherArrivals
from sycamorestand_entry.routed.messages import Destination
from sycamorestand_entry.routed.server_choice import ServerChoice
from sycamorestand_entry.routed.targets import next_target
from sycamorestand_model.declarations import VERSION_SEPARATOR

if TYPE_CHECKING:
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.routed.call import RoutedCall
    from sycamorestand_entry.routed.exchange import ForwardingRefused
    from sycamorestand_entry.routed.further_arrivals import AttemptKind
    from sycamorestand_entry.routed.header_names import HeaderNames
    from sycamorestand_entry.routed.messages import EngineOptions

# A caller that retried at once would meet the same state.
RETRY_AFTER_S: Final = 0.5
# The route has changed already, so a retry finds the new one at once.
MOVED_RETRY_S: Final = 0.1
# An entry earns several arrivals a second. A caller whose stream ends after
# this time resumes it sooner than the entry could.
MAX_ARRIVAL_WAIT_S: Final = 1.0
ARRIVAL_POLL_S: Final = 0.1
LOGGED_DIGITS: Final = 2


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
        self._has_earned = False
        self._arrivals = FurtherArrivals(context, call)
        self._forwarder = Forwarder(context, header_names, call)
        self._no_urgent_attempt = ""
        self._lost_since_s = math.inf
        self._target = ""
        self._dials = Dials(context, call)
        self._choice = ServerChoice(context, call, self._dials)
        self._ended = EndedAttempts(context.part_watch, call)

    @property
    def left(self) -> int:
        """Return the number of attempts that the route still allows.

        Attempts at servers that were lost do not count: the limit keeps a
        request from loading many servers, and those do no work any more.
        """
        limit = self.call.route.max_attempts + self._choice.sent_to_lost
        return max(0, limit - self.sent)

    def is_at_lost_server(self, exchange: Exchange) -> bool:
        """Return whether the attempt's server is lost now."""
        address = exchange.destination.server.address
        return self.context.server_loss.is_lost(address)

    def note_loss(self, exchange: Exchange) -> bool:
        """Return whether the attempt's server is lost now, and note it."""
        name = exchange.destination.server.name
        if not self.is_at_lost_server(exchange):
            self._choice.lost.discard(name)
            self._lost_since_s = math.inf
            return False
        # The loss of an entry that forwards the attempt is none of its server.
        is_few = len(self._choice.lost) < self.call.route.max_attempts
        if is_few and not exchange.is_forwarded:
            self._choice.lost.add(name)
        self._lost_since_s = min(self._lost_since_s, self.context.now_s())
        return True

    async def may_replace_lost(self, exchange: Exchange) -> bool:
        """Return whether to leave a lost server for another one now.

        The retry budget does not apply. It keeps a failing pool from
        getting more work, and this server gets none. While no arrival is
        left the call keeps waiting for the server, which may come back.
        """
        kind: AttemptKind = "resume" if exchange.has_begun else "retry"
        reason = self._reason_not_to_replace(exchange)
        if reason:
            self._refuse_urgent(kind, reason)
            return False
        if not await self._arrivals.request_urgent(kind):
            return False
        if exchange.has_begun:
            self.runs = max(0, self.runs - 1)
        return True

    def _reason_not_to_replace(self, exchange: Exchange) -> str:
        route = self.call.route
        if self.runs - exchange.has_begun >= route.max_attempts:
            return "no attempt left"
        return self._reason_no_server(exchange.destination.target)

    def has_waited_for_arrival(self) -> bool:
        """Return whether to end an attempt that waits at a lost server.

        Once it has ended, its caller can resume its stream by itself. A
        caller that has done so already may not do it again.
        """
        if self.header_names.last_event in self.call.values:
            return False
        waited_s = self.context.now_s() - self._lost_since_s
        return waited_s >= MAX_ARRIVAL_WAIT_S

    async def may_retry(self, overloaded: bool) -> bool:
        """Return whether the call may be retried at another server now.

        After an ``overloaded`` refusal, which reports that the request did
        not run, a retry spends only from the arrival budget. A request that
        may have run must be repeatable, and its retry also spends from the
        retry budget.
        """
        reason = self._reason_not_to_retry(overloaded)
        if reason:
            self._refuse_repeat("retry", reason)
            return False
        return await self._arrivals.spend("retry")

    async def may_resume(self) -> bool:
        """Return whether to resume a stream that broke off.

        If no arrival is left, wait for one as after the loss of a server:
        the caller has a part of its answer.
        """
        reason = self._reason_not_to_retry(overloaded=False)
        if reason:
            self._refuse_repeat("resume", reason)
            return False
        give_up_s = self.context.now_s() + MAX_ARRIVAL_WAIT_S
        try:
            while not await self._arrivals.request_urgent("resume"):
                if self.context.now_s() >= give_up_s:
                    return False
                await anyio.sleep(ARRIVAL_POLL_S)
        finally:
            self._arrivals.withdraw()
        return self.call.remaining_s() > 0

    async def may_escalate(self, confidence: int, strain: float) -> bool:
        """Return whether the call may escalate to a larger model.

        ``confidence`` is that of the answer to drop, ``strain`` the delay at
        the servers weighted by the work of the escalation.
        """
        reserve = climb_reserve(confidence)
        bound = await self._arrivals.improvement_bound(reserve)
        return await self._may_spend_on_improvement(
            "climb", bound, reserve, strain
        )

    def refuse_escalation(self, bound: str, strain: float) -> None:
        """Log the bound that forbids an escalation that the answer needs.

        Without the strain, and with an attempt left, the call would escalate.
        """
        self._refuse_improvement("climb", bound, 0.0, strain)

    async def may_switch_server(self, target: str) -> bool:
        """Return whether to leave a slow server for one not tried yet.

        An attempt that another entry forwards is not moved: that entry has
        chosen among all servers.
        """
        if self._is_unreached(target):
            return False
        if not self._choice.has_untried(target):
            return False
        reserve = move_reserve(self.call.route.priority)
        bound = await self._arrivals.improvement_bound(reserve)
        bound = bound or self._reason_not_to_retry(overloaded=False)
        return await self._may_spend_on_improvement("move", bound, reserve)

    async def may_fall_back(self, target: str) -> bool:
        """Return whether the call may make its fallback attempt.

        If no attempt at a new server is left, the fallback goes to a server
        that had the request before. If no server is available, the call
        keeps waiting for the current one.
        """
        reason = ""
        if self.runs >= self.call.route.max_attempts:
            reason = "no attempt left"
        reason = reason or self._reason_no_server(target)
        if reason:
            self._refuse_urgent("fall_back", reason)
            return False
        return await self._arrivals.request_urgent("fall_back")

    def _reason_no_server(self, target: str) -> str:
        held = self._ended.reason_to_hold()
        if held:
            return held
        servers = self.context.servers
        now_s = self.context.now_s()
        allowed = self._choice.allowed(target, self.left > 0)
        if servers.has_available_server(target, now_s, allowed):
            return ""
        if self.must_forward(target):
            return ""
        return "no server takes work"

    def must_forward(self, target: str) -> bool:
        """Return whether the next attempt has to go through another entry.

        That is the case while this entry reaches none of the target's servers
        and another one does.
        """
        if not self.left or not self._is_unreached(target):
            return False
        return self._forwarder.is_possible(target)

    def _is_unreached(self, target: str) -> bool:
        return self.context.servers.is_unreached(
            target, self.context.now_s(), self._dials.unreachable
        )

    def exclude(self, servers: tuple[str, ...]) -> None:
        """Do not choose these servers if there are others."""
        self._choice.exclude(servers)

    def record_forwarding_refused(self, refused: ForwardingRefused) -> None:
        """Record that another entry did not send the request to a server.

        Raises the error for the caller if no further entry can be asked.
        """
        self.sent -= 1
        self._forwarder.record_refusal(refused.entry, refused.refusal)
        if self.call.remaining_s() <= 0:
            raise self.final_error("its time is over")
        is_unreached = self._is_unreached(self._target)
        if is_unreached and not self._forwarder.is_possible(self._target):
            raise self.correct_run_state(self._forwarder.refusal_error())

    def _refuse_urgent(self, kind: AttemptKind, reason: str) -> None:
        """Log once why an urgent attempt is not made.

        The call must not keep its place among those that wait for an
        arrival, where it would hold back the others.
        """
        self._arrivals.withdraw()
        if reason != self._no_urgent_attempt:
            self._refuse_repeat(kind, reason)
        self._no_urgent_attempt = reason

    @property
    def is_waiting_for_arrival(self) -> bool:
        """Whether the call has a place among those that wait for one."""
        return self._arrivals.is_waiting

    def cancel_arrival_wait(self) -> None:
        """Give up the place among the calls that wait for an arrival."""
        self._arrivals.withdraw()

    def _refuse_repeat(self, kind: AttemptKind, reason: str) -> None:
        self.call.log.add(NotRepeated(reason))
        self._arrivals.count_attempt(kind, reason)

    async def _may_spend_on_improvement(
        self,
        kind: AttemptKind,
        bound: str,
        reserve: float,
        strain: float = 0.0,
    ) -> bool:
        bound = bound or self._ended.reason_to_hold()
        if bound:
            self._refuse_improvement(kind, bound, reserve, strain)
            return False
        return await self._arrivals.spend(kind)

    def _refuse_improvement(
        self, kind: AttemptKind, bound: str, reserve: float, strain: float
    ) -> None:
        share = self._arrivals.share()
        refused = NotImproved(
            kind,
            bound.replace(" ", "_"),
            round(share.left, LOGGED_DIGITS),
            round(share.most, LOGGED_DIGITS),
            round(reserve, LOGGED_DIGITS),
            round(strain, LOGGED_DIGITS),
        )
        self.call.log.add(refused)
        self._arrivals.count_attempt(kind, bound)

    def _reason_not_to_retry(self, overloaded: bool) -> str:
        if not self.left:
            return "no attempt left"
        reason = self._ended.reason_not_to_repeat()
        reason = reason or self.call.expiry_reason()
        if reason:
            return reason
        if overloaded:
            return ""
        if not self.call.may_repeat:
            return "it must not run twice"
        now_s = self.context.now_s()
        customer = self.call.customer
        if self.context.retries.spend_retry(customer, now_s, "error"):
            return ""
        return "retry budget spent"

    async def open(self, target: str, options: EngineOptions) -> Exchange:
        """Choose a server, write the request to it and return the exchange.

        Servers that accept no connection are skipped. While this entry
        reaches no server of the target, another entry forwards the attempt.
        Raises a `RequestError` if no server is available or the request may
        not be dispatched.
        """
        while True:
            target = next_target(self.context, self.call, target)
            self._target = target
            self._arrivals.set_service(target.partition(VERSION_SEPARATOR)[0])
            if self.must_forward(target):
                exchange = await self._forward(target, options)
                if exchange is not None:
                    return exchange
            allowed = self._choice.allowed(target, self.left > 0)
            await reserve_server(
                self.context, target, self.call.remaining_s(), allowed
            )
            server = self._choice.choose(
                target, options, self.sent, self.left > 0
            )
            connection = await self._dials.connect(
                target,
                server,
                self._choice.max_idle_s(server.name, self.sent),
            )
            if connection is None:
                if self._should_forward_early(target):
                    exchange = await self._forward(target, options)
                    if exchange is not None:
                        return exchange
                self._refuse_hung_forwarding()
                self._check_dials()
                continue
            servers = self.context.servers
            if servers.is_over_limit(target, server, self.context.now_s()):
                self.context.pool.release(server.address, connection)
                self._dials.record_failure()
                self._check_dials()
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
                self._dials.record_failure()
                self._check_dials()
                continue
            except NotAllowed as error:
                raise _moved(error) from None
            self._choice.record_sent(server.name)
            self._ended.add(exchange)
            self._record_sent()
            self._log_sent(destination)
            return exchange

    async def _forward(
        self, target: str, options: EngineOptions
    ) -> Exchange | None:
        tried = self._choice.tried_servers()
        try:
            exchange = await self._forwarder.open(target, options, tried)
        except NotAllowed as error:
            raise _moved(error) from None
        if exchange is not None:
            self._choice.record_forwarded(exchange)
            self._ended.add(exchange)
            self._record_sent()
        return exchange

    def _refuse_hung_forwarding(self) -> None:
        """Raise if a dial for another entry has timed out.

        This entry's link may be down too, and the other entry can ask a
        further one.
        """
        if self.call.forwarded is not None and self._dials.has_timed_out:
            raise self.final_error("a backend server takes no connection")

    def _should_forward_early(self, target: str) -> bool:
        """Return whether to forward before all servers are known as lost.

        Dials that time out at several servers in a row would use up the time
        of a short call.
        """
        return (
            self._dials.show_lost_link
            and self.left > 0
            and self._forwarder.is_possible(target)
        )

    def _record_sent(self) -> None:
        # The entry that forwards the call to this one has recorded it.
        if not self._has_earned and self.call.forwarded is None:
            self._arrivals.record_first()
        self._has_earned = True
        self.sent += 1
        self._lost_since_s = math.inf

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

    def _check_dials(self) -> None:
        """Raise after too many servers that could not be reached."""
        if self._dials.is_exhausted or self.call.remaining_s() <= 0:
            raise self.final_error("no backend server takes a connection")


def _moved(error: NotAllowed) -> NoBackendServer:
    """Return the refusal of a request that was allowed when it came.

    Its route or customer was removed since. The caller retries and gets the
    answer of the new configuration.
    """
    return NoBackendServer(error.message, MOVED_RETRY_S)


__all__ = ["Attempts", "RETRY_AFTER_S"]
