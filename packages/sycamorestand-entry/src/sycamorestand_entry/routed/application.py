"""ASGI application that answers routed requests."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import logging
import math
import time
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio

from sycamorestand_decisions.affinity import prefix_key
from sycamorestand_decisions.attempt_timeouts import AnswerTime
from sycamorestand_decisions.stopping import may_outlast_stop
from sycamorestand_entry.blocked_requests import check_blocked
from sycamorestand_entry.errors import DeadlineExceeded
from sycamorestand_entry.errors import InternalError
from sycamorestand_entry.errors import MemoryFull
from sycamorestand_entry.errors import NoLease
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.errors import RequestTimeout
from sycamorestand_entry.errors import Stopping
from sycamorestand_entry.errors import UnknownPath
from sycamorestand_entry.http_messages import CallerGone
from sycamorestand_entry.http_messages import read_body
from sycamorestand_entry.http_messages import Request
from sycamorestand_entry.http_messages import Responder
from sycamorestand_entry.http_protocol import ABORT
from sycamorestand_entry.http_protocol import TARGET
from sycamorestand_entry.http_protocol import WRITE_NOW
from sycamorestand_entry.request_parts import RequestParts
from sycamorestand_entry.routed.admitted import admitted
from sycamorestand_entry.routed.attempts import Attempts
from sycamorestand_entry.routed.call import ANONYMOUS
from sycamorestand_entry.routed.call import forwarded_headers
from sycamorestand_entry.routed.call import read_deadline_s
from sycamorestand_entry.routed.call import read_prompt_parts
from sycamorestand_entry.routed.call import read_values
from sycamorestand_entry.routed.call import RoutedCall
from sycamorestand_entry.routed.decision_log import DecisionLog
from sycamorestand_entry.routed.decision_log import ForwardedFor
from sycamorestand_entry.routed.decision_log import Held
from sycamorestand_entry.routed.forwarded import answer_forwarded
from sycamorestand_entry.routed.forwarding import ATTEMPT_HEADER
from sycamorestand_entry.routed.forwarding import open_attempt
from sycamorestand_entry.routed.forwarding import refusal_headers
from sycamorestand_entry.routed.messages import signed_request
from sycamorestand_entry.routed.prompt_attempt import record_blocked
from sycamorestand_entry.routed.refusals import caller_timeout_s
from sycamorestand_entry.routed.refusals import lease_retry_s
from sycamorestand_entry.routed.refusals import refusal_fields
from sycamorestand_entry.routed.refusals import refuse
from sycamorestand_entry.routed.streams import StreamBroken
from sycamorestand_entry.routed.streams import StreamRelay
from sycamorestand_entry.routed.targets import choose_target
from sycamorestand_entry.routed.targets import record_session
from sycamorestand_entry.routed.whole_answers import read_whole_answer
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.prompt_parts import tracked_parts
from sycamorestand_model.request_digest import RequestContent
from sycamorestand_model.route_table import RouteTable
from sycamorestand_model.urgency import UrgencyLevels

if TYPE_CHECKING:
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.http_messages import Receive
    from sycamorestand_entry.http_messages import Send
    from sycamorestand_entry.routed.header_names import HeaderNames
    from sycamorestand_entry.routed.headers import RawHeaders
    from sycamorestand_entry.routed.messages import WholeAnswer
    from sycamorestand_model.in_force import InForce
    from sycamorestand_model.routes import Route

LOG: Final = logging.getLogger(__name__)
# A request that still runs so long after its deadline is cancelled.
DEADLINE_GRACE_S: Final = 0.1
# Other entries can answer a retry at once.
STOPPING_RETRY_S: Final = 0.1

Application = Callable[[Any, "Receive", "Send"], Awaitable[None]]


class _CachedRoutes(NamedTuple):
    """What is computed once for each revision of the configuration."""

    revision: int
    routes: RouteTable
    urgency: UrgencyLevels


class _Caller(NamedTuple):
    """The customer of a request; the fields are those of `RoutedCall`."""

    customer: str
    priority: int
    weight: float
    urgency: int


class RoutedEntry:
    """Answer the routed requests of one entry process."""

    def __init__(
        self, context: EntryContext, header_names: HeaderNames
    ) -> None:
        self._context = context
        self._header_names = header_names
        self._cached_routes = _CachedRoutes(
            -1, RouteTable({}), UrgencyLevels(Declarations())
        )

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        extensions = scope["extensions"]
        responder = Responder(
            send, self._context.stopping, extensions.get(WRITE_NOW)
        )
        log = DecisionLog()
        # This result stays if the task is cancelled because the process ends.
        result = "process_ended"
        detail: dict[str, Any] = {}
        try:
            await self._answer(scope, receive, responder, log)
            result = "ok"
        except RequestError as error:
            result = error.code
            detail = refusal_fields(error)
            await refuse(responder, error, _marks(scope, error))
        except CallerGone:
            result = "caller_gone"
        except StreamBroken as error:
            result = "stream_broken"
            detail = {"reason": str(error)}
            extensions[ABORT]()
        except Exception:
            result = InternalError.code
            LOG.exception("request failed", extra={"request": log.request})
            if responder.started:
                extensions[ABORT]()
            else:
                failure = InternalError("the entry failed")
                await refuse(responder, failure, _marks(scope, failure))
        finally:
            self._context.metrics.count_routed_request(
                log.route.kind if log.route else "none",
                result,
                log.elapsed_ms() / 1000,
                log.first_byte_ms / 1000,
            )
            # A crowd of these has one line in a while, see `HttpBudget`.
            if result != MemoryFull.code:
                log.write(result, responder.status, detail)

    async def _answer(
        self,
        scope: Any,
        receive: Receive,
        responder: Responder,
        log: DecisionLog,
    ) -> None:
        call = await self._read_call(scope, receive, log)
        self._refuse_if_stopping(call)
        await self._refuse_if_blocked(call)
        failure: Exception | None = None
        cancelled = True
        async with anyio.create_task_group() as tasks:
            # Bounds every wait, also that for a caller that does not read.
            limit_s = call.remaining_s() + DEADLINE_GRACE_S
            tasks.cancel_scope.deadline = anyio.current_time() + limit_s
            tasks.start_soon(
                _cancel_on_disconnect, receive, tasks.cancel_scope
            )
            try:
                await self._run(call, responder)
            except (RequestError, StreamBroken) as error:
                # Raised after the task group, which would wrap it.
                failure = error
            cancelled = False
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure
        if cancelled and call.remaining_s() > 0:
            raise CallerGone
        if cancelled and responder.started:
            raise StreamBroken("its time is over")
        if cancelled:
            raise DeadlineExceeded("its time is over")

    async def _read_call(
        self, scope: Any, receive: Receive, log: DecisionLog
    ) -> RoutedCall:
        received_s = time.monotonic()
        context = self._context
        raw = scope["headers"]
        values = read_values(raw, self._header_names)
        log.request = values.get(self._header_names.attempt, b"").decode(
            "latin-1"
        )
        timeout_s = caller_timeout_s(
            values.get(self._header_names.deadline_ms, b"")
        )
        can_serve = await self._wait_at_start(
            "lease", self._can_serve, timeout_s, log
        )
        in_force = context.control.in_force()
        log.revision = in_force.revision
        log.lease_ms = int(context.control.lease_remaining_s() * 1000)
        if not can_serve:
            raise NoLease(
                "this entry's configuration may be out of date",
                lease_retry_s(timeout_s),
            )
        route = self._find_route(in_force, values, scope["raw_path"])
        log.route = route
        caller = self._identify_caller(in_force, route, values)
        log.customer = caller.customer
        deadline_at_s = read_deadline_s(
            values, self._header_names, route, received_s
        )
        request = Request(
            scope["method"],
            scope["path"],
            scope["raw_path"],
            scope["query_string"],
            values,
            receive,
        )
        limit_bytes = in_force.declarations.limits.max_body_bytes
        parts = read_prompt_parts(
            values.get(self._header_names.prompt_parts, b"")
        )
        body = await _read_body_before(deadline_at_s, request, limit_bytes)
        content = RequestContent(
            caller.customer,
            scope["method"].encode(),
            values.get(b"host", b""),
            scope["extensions"][TARGET],
            body,
        )
        call = RoutedCall(
            route,
            caller.customer,
            caller.priority,
            caller.weight,
            content.method,
            content.target,
            values.get(self._header_names.attempt, b""),
            values.get(self._header_names.session, b"").decode("latin-1"),
            forwarded_headers(raw, self._header_names),
            values,
            body,
            deadline_at_s,
            log,
            self._context.stop_deadline_s,
            RequestParts(
                content,
                tracked_parts(caller.customer, parts[:-1]),
                self._context.control.in_force,
            ),
            prompt_parts=parts,
            urgency=caller.urgency,
        )
        log.shared_parts = parts[:-1]
        return self._with_forwarded_attempt(call)

    def _with_forwarded_attempt(self, call: RoutedCall) -> RoutedCall:
        """Return the call with the attempt that another entry asks for."""
        value = call.values.get(ATTEMPT_HEADER)
        if value is None:
            return call
        settings = self._context.settings
        forwarded = open_attempt(
            value, signed_request(call), settings.forwarding_key, settings.vm
        )
        call.log.add(
            ForwardedFor(
                forwarded.target, forwarded.last_event.decode("latin-1")
            )
        )
        return call._replace(forwarded=forwarded)

    async def _wait_at_start(
        self,
        missing: str,
        ready: Callable[[], bool],
        left_s: float,
        log: DecisionLog,
    ) -> bool:
        """Wait until ``ready`` while the entry is starting.

        ``missing`` names what is not ready, for the log; ``left_s`` is the
        time that the caller still waits. Return whether it became ready.
        """
        if ready():
            return True
        begin_ms = log.elapsed_ms()
        is_ready = await self._context.start_hold.wait_until(ready, left_s)
        waited_ms = log.elapsed_ms() - begin_ms
        if waited_ms > 0:
            log.add(Held(missing, waited_ms))
        return is_ready

    def _refuse_if_stopping(self, call: RoutedCall) -> None:
        """Refuse a request if the end of this process may cut its answer.

        If no other entry can answer it, the request is accepted.
        """
        context = self._context
        now_s = context.now_s()
        ends_in_s = context.stop_deadline_s() - now_s
        if math.isinf(ends_in_s) or not context.has_other_serving_entry():
            return
        route = call.route
        event_gap_s = max(
            context.event_gap(target.service).delay_s(now_s)
            for target in route.targets
        )
        longest_s = context.answer_times.max_total_s(
            route.name, event_gap_s, now_s
        )
        if may_outlast_stop(ends_in_s, call.deadline_at_s - now_s, longest_s):
            raise Stopping(
                "this VM stops before the answer would end", STOPPING_RETRY_S
            )

    async def _refuse_if_blocked(self, call: RoutedCall) -> None:
        """Refuse a request that would end the server that begins it."""
        watch = self._context.part_watch
        refusal = await check_blocked(watch, call.parts)
        if refusal is not None:
            record_blocked(watch, call)
            raise refusal

    def _can_serve(self) -> bool:
        control = self._context.control
        routes = control.in_force().declarations.routes
        return bool(routes) and control.lease_remaining_s() > 0

    def _find_route(
        self, in_force: InForce, values: dict[bytes, bytes], raw_path: bytes
    ) -> Route:
        if self._cached_routes.revision != in_force.revision:
            declarations = in_force.declarations
            self._cached_routes = _CachedRoutes(
                in_force.revision,
                RouteTable(declarations.routes),
                UrgencyLevels(declarations),
            )
        host = values.get(b"host", b"").decode("latin-1")
        route = self._cached_routes.routes.find(
            host, raw_path.decode("latin-1")
        )
        if route is None:
            raise UnknownPath("no route leads there")
        return route

    def _identify_caller(
        self, in_force: InForce, route: Route, values: dict[bytes, bytes]
    ) -> _Caller:
        levels = self._cached_routes.urgency
        if route.public or not in_force.declarations.customers:
            urgency = levels.level(None, route)
            return _Caller(ANONYMOUS, route.priority, 1.0, urgency)
        customer = self._context.authenticator.customer(values, in_force)
        priority = customer.priority
        if priority is None:
            priority = route.priority
        urgency = levels.level(customer, route)
        return _Caller(customer.name, priority, customer.weight, urgency)

    async def _run(self, call: RoutedCall, responder: Responder) -> None:
        context = self._context
        # An entry that has just started learns the servers from control,
        # which knows none yet if it has just started as well.
        if context.start_hold.is_starting():
            await self._wait_at_start(
                "server",
                lambda: _has_server(context, call),
                call.remaining_s(),
                call.log,
            )
        attempts = Attempts(context, self._header_names, call)
        if call.forwarded is not None:
            await answer_forwarded(attempts, call.forwarded, responder)
            return
        target = choose_target(context, call)
        record_session(context, call, target)
        try:
            async with admitted(attempts, target) as admission:
                answer = await self._run_admitted(attempts, target, responder)
                admission.failed = answer is not None and answer.status >= 500
                if answer is not None:
                    call.log.record_first_byte()
                    await _send_answer(responder, answer)
        finally:
            record_session(context, call, target)
        # Not at the end of an attempt: the answer of a small model may be
        # dropped, and the request end the servers of a larger one.
        if self._header_names.last_event not in call.values:
            context.part_watch.record_answered(call.parts)
        if not admission.failed:
            context.retries.record_success(call.customer, time.monotonic())

    async def _run_admitted(
        self, attempts: Attempts, target: str, responder: Responder
    ) -> WholeAnswer | None:
        call = attempts.call
        begin_s = time.monotonic()
        if call.route.kind == "stream":
            key = prefix_key(call.prompt_parts)
            relay = StreamRelay(attempts, responder, key)
            return await self._relay_stream(relay, call, target)
        answer = await read_whole_answer(attempts, target)
        duration_s = time.monotonic() - begin_s
        self._context.answer_times.record_answer(
            call.route.name, AnswerTime(duration_s, 0.0, 0)
        )
        return answer

    async def _relay_stream(
        self, relay: StreamRelay, call: RoutedCall, target: str
    ) -> WholeAnswer | None:
        times = self._context.answer_times
        started_s = self._context.now_s()
        times.record_started(call.route.name, started_s)
        try:
            return await relay.run(target)
        finally:
            times.record_stopped(call.route.name, started_s)


def make_routed_application(
    header_names: HeaderNames,
) -> Callable[[EntryContext], Application]:
    """Return a factory for the application of an entry process."""

    def make(context: EntryContext) -> Application:
        return RoutedEntry(context, header_names)

    return make


def _marks(scope: Any, error: RequestError) -> RawHeaders:
    """Return the headers of a refusal that only another entry gets."""
    names = {name for name, _ in scope["headers"]}
    return refusal_headers(error) if ATTEMPT_HEADER in names else []


def _has_server(context: EntryContext, call: RoutedCall) -> bool:
    target = choose_target(context, call)
    return bool(context.servers.candidates(target, context.now_s()))


async def _cancel_on_disconnect(
    receive: Receive, scope: anyio.CancelScope
) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


async def _send_answer(responder: Responder, answer: WholeAnswer) -> None:
    await responder.start(answer.status, answer.headers)
    await responder.finish(answer.body)


async def _read_body_before(
    deadline_at_s: float, request: Request, limit_bytes: int
) -> bytes:
    """Return the body, or raise `RequestTimeout` at the deadline."""
    try:
        with anyio.fail_after(max(0.0, deadline_at_s - time.monotonic())):
            return await read_body(request, limit_bytes)
    except TimeoutError:
        raise RequestTimeout("the request's body came too late") from None


__all__ = ["DeadlineExceeded", "make_routed_application", "RoutedEntry"]
