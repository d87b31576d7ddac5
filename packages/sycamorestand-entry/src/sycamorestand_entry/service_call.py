"""One HTTP exchange with a plain service, after a check by the gate."""

from __future__ import annotations

import time
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_entry.errors import ServersLimited
from sycamorestand_entry.gate import check_dispatch
from sycamorestand_entry.gate import DispatchIntent
from sycamorestand_entry.left_requests import ServerRequest
from sycamorestand_entry.server_limits import LIMIT_HEADER
from sycamorestand_entry.server_notices import LEAVING_HEADER
from sycamorestand_entry.server_notices import read_notice
from sycamorestand_entry.servers import LIMIT_RETRY_S
from sycamorestand_entry.slots import CHAT_PRIORITIES
from sycamorestand_entry.slots import SERVICE_CALL_S
from sycamorestand_entry.slots import SlotRequest
from sycamorestand_entry.upstream import BrokenConnection
from sycamorestand_entry.upstream import MalformedAnswer
from sycamorestand_entry.upstream import ServerLost
from sycamorestand_entry.upstream import SilentConnection
from sycamorestand_entry.upstream import UpstreamError

if TYPE_CHECKING:
    from sycamorestand_decisions.selection import Outcome
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.request_parts import RequestParts
    from sycamorestand_entry.upstream import UpstreamConnection
    from sycamorestand_model.backend_servers import Announcement

FORWARDED_HEADERS = (b"content-type", b"accept", b"accept-language")


class ServiceCall(NamedTuple):
    """A call to a plain service; ``target`` is path and query.

    ``parts`` are the names by which control knows it.
    """

    customer: str
    weight: float
    service: str
    request_key: str
    method: str
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    priority: str
    deadline_at_s: float
    parts: RequestParts


class ServiceAnswer(NamedTuple):
    """A complete answer of a plain service.

    ``not_run`` is set if the service states that it did not run the call.
    """

    status: int
    content_type: str
    body: bytes
    not_run: bool


class CallFailed(UpstreamError):
    """The call was written, but no complete answer came."""


class CallLost(CallFailed):
    """The call was written, and its ``server`` was lost since."""

    def __init__(self, server: str) -> None:
        super().__init__("its server is lost")
        self.server = server


async def exchange(
    context: EntryContext,
    call: ServiceCall,
    server: Announcement,
    connection: UpstreamConnection,
    limit_s: float,
    claim_held: bool | None,
) -> ServiceAnswer:
    """Write the call and return its answer.

    Raises a `RequestError` if the gate refuses the call, before any byte
    is written, and `CallFailed` if the call may have run. A call with a
    claim does not end when its server is lost: it must not run again, and
    a late answer is recorded.
    """
    watch = context.part_watch
    blocked = watch.blocked_for(call.parts)
    intent = DispatchIntent(
        call.customer,
        "",
        call.service,
        server.name,
        claim_held=claim_held,
        blocked=blocked,
    )
    refusal = check_dispatch(context.control, intent, watch.may_try)
    held = context.server_limits.held
    if refusal is None and not held.is_open(server.name, context.now_s()):
        # Requests that were chosen for it at the same time took the room.
        refusal = ServersLimited("the server is at its limit", LIMIT_RETRY_S)
    if refusal is not None:
        context.pool.release(server.address, connection)
        context.metrics.refused_dispatches.inc({"code": refusal.code})
        raise refusal
    for part, block in blocked.items():
        watch.use_trial(part, block)
    context.metrics.dispatches.inc({"version": call.service})
    outcome: Outcome = "cancelled"
    has_left = True
    begin_s = time.monotonic()
    context.servers.record_start(call.service, server.name, begin_s)
    try:
        connection.send(
            _encode(call, server),
            call.method == "HEAD",
            on_loss="end" if claim_held is None else "wait",
        )
        answer = await _read_answer(context, connection, limit_s, server)
        outcome = "overloaded" if answer.not_run else "ok"
        has_left = False
        if answer.not_run:
            for part, block in blocked.items():
                watch.return_trial(part, block)
        return answer
    except ServerLost as error:
        raise CallLost(server.name) from error
    except UpstreamError as error:
        silent = isinstance(error, SilentConnection)
        outcome = "timeout" if silent else "error"
        if isinstance(error, BrokenConnection):
            call.parts.has_broken = True
            watch.record_broken(server, _server_request(call))
            has_left = False
        raise CallFailed(str(error)) from error
    finally:
        if has_left:
            watch.record_left(server, _server_request(call), call.parts.fate)
        now_s = time.monotonic()
        context.servers.record_finish(
            call.service, server.name, now_s, now_s - begin_s, outcome
        )
        context.pool.release(server.address, connection)


def _server_request(call: ServiceCall) -> ServerRequest:
    return ServerRequest(
        call.request_key, call.customer, (), True, call.parts.whole
    )


async def _read_answer(
    context: EntryContext,
    connection: UpstreamConnection,
    limit_s: float,
    server: Announcement,
) -> ServiceAnswer:
    sent_s = context.now_s()
    end_s = sent_s + limit_s
    head = await connection.read_head(limit_s)
    context.server_limits.record_answer(
        server.name, head.status, head.headers.get(LIMIT_HEADER), sent_s
    )
    context.server_limits.record_notice(
        server, head.status, read_notice(head, LEAVING_HEADER), sent_s
    )
    parts: list[bytes] = []
    size = 0
    try:
        while part := await connection.read_body(
            max(0.0, end_s - context.now_s())
        ):
            parts.append(part)
            size += len(part)
            context.answer_memory.hold(len(part))
            if size > context.settings.max_answer_bytes:
                raise MalformedAnswer("its answer is too large")
    except MalformedAnswer:
        connection.close()
        raise
    finally:
        context.answer_memory.release(size)
    content_type = head.headers.get(b"content-type", b"").decode("latin-1")
    not_run = head.status in (429, 503) and b"x-not-run" in head.headers
    return ServiceAnswer(head.status, content_type, b"".join(parts), not_run)


async def acquire_slot(context: EntryContext, call: ServiceCall) -> int:
    """Wait for a slot; raise a `RequestError` if the call is refused."""
    return await context.slots.acquire(
        SlotRequest(
            call.customer,
            call.weight,
            call.service,
            CHAT_PRIORITIES[call.priority],
            call.deadline_at_s,
            SERVICE_CALL_S,
            key=call.request_key,
        )
    )


def _encode(call: ServiceCall, server: Announcement) -> bytes:
    lines = [
        b"%s %s HTTP/1.1" % (call.method.encode(), call.target),
        b"host: " + server.address.encode(),
        b"content-length: %d" % len(call.body),
        b"x-request-key: " + call.request_key.encode(),
        b"x-customer: " + call.customer.encode(),
    ]
    for name in FORWARDED_HEADERS:
        if name in call.headers:
            lines.append(name + b": " + call.headers[name])
    return b"\r\n".join(lines) + b"\r\n\r\n" + call.body


__all__ = [
    "acquire_slot",
    "CallFailed",
    "CallLost",
    "exchange",
    "ServiceAnswer",
    "ServiceCall",
]
