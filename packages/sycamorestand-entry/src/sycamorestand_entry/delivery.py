"""Delivery of answers; the charge is durable before the last bytes go out."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from sycamorestand_entry.answers import assemble
from sycamorestand_entry.billing import charge_once
from sycamorestand_entry.billing import wall_now_s
from sycamorestand_entry.errors import BackendFailed
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.http_messages import error_content
from sycamorestand_entry.http_messages import EVENT_STREAM
from sycamorestand_entry.http_messages import JSON
from sycamorestand_entry.sessions import Session
from sycamorestand_entry.sessions import sign_session
from sycamorestand_entry.sse import DONE
from sycamorestand_entry.sse import encode_event
from sycamorestand_entry.sse import MalformedStream
from sycamorestand_model.ledger import Charge

if TYPE_CHECKING:
    from sycamorestand_entry.chat_request import ChatRequest
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.engine_run import EngineRun
    from sycamorestand_entry.http_messages import Responder


class Delivery(NamedTuple):
    """One answer to deliver.

    ``cost_micros`` is the cost of the earlier steps of the cascade.
    """

    context: EntryContext
    chat: ChatRequest
    responder: Responder
    session_name: str
    version: str
    run: EngineRun
    cost_micros: int


async def collect_events(run: EngineRun) -> bytes:
    """Return all events of a run, without those of restarted attempts."""
    parts: list[bytes] = []
    attempt = run.attempt
    while events := await run.next_events():
        if run.attempt != attempt:
            attempt = run.attempt
            parts.clear()
        parts.append(events)
    return b"".join(parts)


async def stream_events(delivery: Delivery) -> None:
    """Forward events as they come; report a later failure as an event."""
    run = delivery.run
    responder = delivery.responder
    try:
        while events := await run.next_events():
            if not run.released:
                run.released = True
                run.write_now = responder.write_now
                await responder.start(200, _headers(delivery, EVENT_STREAM))
            await responder.write(events)
        final_event = await _charge(delivery)
        if not run.released:
            await responder.start(200, _headers(delivery, EVENT_STREAM))
        await responder.finish(encode_event(final_event) + DONE)
    except RequestError as error:
        if not responder.started:
            raise
        # Without this event the caller could take the part that it has for
        # a complete answer.
        await responder.finish(encode_event(error_content(error)))
        raise


async def send_collected(delivery: Delivery, events: bytes) -> None:
    """Send a complete answer, as a stream or as JSON, as requested."""
    responder = delivery.responder
    if delivery.chat.stream:
        final_event = await _charge(delivery)
        await responder.start(200, _headers(delivery, EVENT_STREAM))
        await responder.finish(events + encode_event(final_event) + DONE)
        return
    try:
        answer = assemble(events)
    except MalformedStream as error:
        # This precedes the charge: a malformed answer isn't billed.
        raise BackendFailed(f"the answer is malformed: {error}") from None
    final_event = await _charge(delivery)
    answer["usage"] = final_event.get("usage")
    answer["sycamorestand"] = final_event["sycamorestand"]
    body = msgspec.json.encode(answer)
    cost = final_event["sycamorestand"]["cost_micros"]
    headers = _headers(delivery, JSON)
    headers.append((b"content-length", b"%d" % len(body)))
    headers.append((b"x-cost-micros", b"%d" % cost))
    await responder.start(200, headers)
    await responder.finish(body)


async def _charge(delivery: Delivery) -> dict[str, Any]:
    run = delivery.run
    chat = delivery.chat
    usage = run.usage
    assert usage is not None
    cost = await charge_once(
        delivery.context,
        Charge(
            chat.customer.name,
            chat.request_key,
            delivery.version,
            delivery.cost_micros + run.cost_micros(),
            usage.input_tokens,
            usage.output_tokens,
            wall_now_s(),
        ),
    )
    final_event = run.final_event or {
        "choices": [],
        "usage": {
            "prompt_tokens": usage.input_tokens,
            "completion_tokens": usage.output_tokens,
            "total_tokens": sum(usage),
        },
    }
    final_event["sycamorestand"] = {
        "cost_micros": cost,
        "version": delivery.version,
        "request_key": chat.request_key,
        "session_token": _session_token(delivery),
    }
    return final_event


def _session_token(delivery: Delivery) -> str:
    session = Session(
        delivery.chat.customer.name, delivery.session_name, delivery.version
    )
    key = delivery.context.control.in_force().session_key
    return sign_session(session, key)


def _headers(
    delivery: Delivery, content_type: bytes
) -> list[tuple[bytes, bytes]]:
    return [
        (b"content-type", content_type),
        (b"x-request-key", delivery.chat.request_key.encode()),
        (b"x-session-token", _session_token(delivery).encode()),
        (b"x-version", delivery.version.encode()),
    ]


__all__ = ["collect_events", "Delivery", "send_collected", "stream_events"]
