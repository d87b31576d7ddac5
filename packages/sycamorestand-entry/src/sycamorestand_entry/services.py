"""``/services/{service}/{path}``: calls to plain services."""

from __future__ import annotations

import secrets
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_entry.billing import charge_once
from sycamorestand_entry.billing import service_charge
from sycamorestand_entry.blocked_requests import check_blocked
from sycamorestand_entry.callers import deadline_after
from sycamorestand_entry.callers import read_options
from sycamorestand_entry.callers import remaining_s
from sycamorestand_entry.claimed_call import ClaimedCall
from sycamorestand_entry.claims import RecordedAnswer
from sycamorestand_entry.errors import BadRequest
from sycamorestand_entry.errors import DeadlineExceeded
from sycamorestand_entry.errors import NotAllowed
from sycamorestand_entry.errors import RequestKeyMissing
from sycamorestand_entry.errors import UnknownService
from sycamorestand_entry.http_messages import read_body
from sycamorestand_entry.idempotent_call import call_idempotent
from sycamorestand_entry.request_parts import RequestParts
from sycamorestand_entry.service_call import ServiceCall
from sycamorestand_model.request_digest import RequestContent

if TYPE_CHECKING:
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.http_messages import Request
    from sycamorestand_entry.http_messages import Responder
    from sycamorestand_model.declarations import Service

PREFIX: Final = b"/services/"
SERVER_RETRY_S: Final = 1.0


async def answer_service(
    context: EntryContext, request: Request, responder: Responder
) -> None:
    """Answer one call; only idempotent calls may be sent twice."""
    in_force = context.control.in_force()
    customer = context.authenticator.customer(request.headers, in_force)
    name, target = _split_target(request)
    service = in_force.declarations.services.get(name)
    if service is None:
        raise UnknownService(f"there is no service {name!r}")
    if name not in customer.services:
        raise NotAllowed(f"service {name!r} is not yours to use")
    options = read_options(request.headers)
    idempotent = request.method in service.idempotent_methods
    if not idempotent and not options.request_key:
        raise RequestKeyMissing("send an Idempotency-Key with this call")
    body = await read_body(request, context.settings.max_body_bytes)
    call = ServiceCall(
        customer.name,
        customer.weight,
        name,
        options.request_key or secrets.token_hex(16),
        request.method,
        target,
        request.headers,
        body,
        options.priority,
        deadline_after(options.deadline_ms, service.default_deadline_ms),
        RequestParts(
            RequestContent(
                customer.name,
                request.method.encode(),
                b"",
                request.raw_path + b"?" + request.query,
                body,
            ),
            (),
            context.control.in_force,
        ),
    )
    refusal = await check_blocked(context.part_watch, call.parts)
    if refusal is not None:
        raise refusal
    if idempotent:
        await _answer_idempotent(context, call, service, responder)
    else:
        await _answer_once(context, call, service, responder)
    context.part_watch.record_answered(call.parts)


def _split_target(request: Request) -> tuple[str, bytes]:
    rest = request.raw_path[len(PREFIX) :]
    name, _, path = rest.partition(b"/")
    parts = path.lower().replace(b"%2e", b".").split(b"/")
    if b".." in parts or b"." in parts:
        raise BadRequest("the path must not hold '.' or '..' segments")
    target = b"/" + path
    if request.query:
        target += b"?" + request.query
    return name.decode("latin-1"), target


async def _answer_idempotent(
    context: EntryContext,
    call: ServiceCall,
    service: Service,
    responder: Responder,
) -> None:
    answer = await call_idempotent(context, call)
    cost = 0
    if answer.status < 500:
        cost = await charge_once(
            context, service_charge(call, service.call_micros)
        )
    recorded = RecordedAnswer(answer.status, answer.content_type, answer.body)
    await _send(responder, call, recorded, cost)


async def _answer_once(
    context: EntryContext,
    call: ServiceCall,
    service: Service,
    responder: Responder,
) -> None:
    claimed = ClaimedCall(context, call, service)
    # The call runs in a background task, which continues after the caller
    # has left or its deadline has passed. So a late answer is recorded too.
    context.start_background(claimed.run)
    with anyio.move_on_after(remaining_s(call.deadline_at_s)):
        await claimed.finished.wait()
    if not claimed.finished.is_set():
        claimed.abandon()
        raise DeadlineExceeded(
            "no answer yet; ask again with this key to get it",
            SERVER_RETRY_S,
            claimed.run_state,
        )
    if claimed.refusal is not None:
        raise claimed.refusal
    assert claimed.answer is not None
    await _send(responder, call, claimed.answer, claimed.cost_micros)


async def _send(
    responder: Responder, call: ServiceCall, answer: RecordedAnswer, cost: int
) -> None:
    await responder.answer(
        answer.status,
        answer.content_type.encode("latin-1"),
        answer.body,
        [
            (b"x-cost-micros", b"%d" % cost),
            (b"x-request-key", call.request_key.encode()),
        ],
    )


__all__ = ["answer_service", "PREFIX"]
