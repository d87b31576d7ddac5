"""Requests that this entry forwards for another one.

The other entry reaches no server of the service. It sends one attempt of its
caller's request. This entry makes just that attempt, under its own admission
and gate, and relays the server's answer as it comes. The other entry decides
on anything further. The answer tells it which server gave it, or whether the
request may have run.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_entry.errors import BackendFailed
from sycamorestand_entry.errors import NoBackendServer
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.routed.admitted import admitted
from sycamorestand_entry.routed.engine_wait import call_work
from sycamorestand_entry.routed.engine_wait import EngineWait
from sycamorestand_entry.routed.forwarding import SERVER_HEADER
from sycamorestand_entry.routed.messages import answer_headers
from sycamorestand_entry.routed.messages import EngineOptions
from sycamorestand_entry.routed.streams import END_OF_EVENT
from sycamorestand_entry.routed.streams import EVENT_STREAM
from sycamorestand_entry.routed.streams import StreamBroken
from sycamorestand_entry.upstream import ServerLost
from sycamorestand_entry.upstream import UpstreamError

if TYPE_CHECKING:
    from sycamorestand_decisions.server_room import Work
    from sycamorestand_entry.http_messages import Responder
    from sycamorestand_entry.routed.attempts import Attempts
    from sycamorestand_entry.routed.exchange import Exchange
    from sycamorestand_entry.routed.forwarding import ForwardedAttempt
    from sycamorestand_entry.routed.headers import RawHeaders
    from sycamorestand_entry.upstream import ResponseHead


# Other entries have learned by then that this one reaches no server.
UNREACHED_RETRY_S: Final = 1.0


async def answer_forwarded(
    attempts: Attempts, forwarded: ForwardedAttempt, responder: Responder
) -> None:
    """Make the attempt and relay its answer.

    Raises a `RequestError` if no server answered, at once if this entry does
    not reach a server of the target either, and `StreamBroken` if the answer
    broke off after a part of it was relayed.
    """
    result = "failed"
    try:
        await _answer(attempts, forwarded, responder)
        result = "answered"
    except RequestError as error:
        if error.run == "not_run":
            result = "refused"
        raise
    finally:
        labels = {"direction": "in", "result": result}
        attempts.context.metrics.forwarded.inc(labels)


async def _answer(
    attempts: Attempts, forwarded: ForwardedAttempt, responder: Responder
) -> None:
    context = attempts.context
    if context.servers.is_unreached(forwarded.target, context.now_s()):
        message = "this entry reaches no server either"
        raise NoBackendServer(message, UNREACHED_RETRY_S)
    async with admitted(attempts, forwarded.target) as admission:
        succeeded = await _make_attempt(attempts, forwarded, responder)
        admission.failed = not succeeded


async def _make_attempt(
    attempts: Attempts, forwarded: ForwardedAttempt, responder: Responder
) -> bool:
    """Make the attempt, relay its answer and return whether it succeeded."""
    attempts.exclude(forwarded.tried)
    options = EngineOptions(
        forwarded.affinity_key,
        forwarded.model,
        forwarded.last_event,
        forwarded.rank,
        work=_work(attempts, forwarded),
    )
    exchange = await attempts.open(forwarded.target, options)
    try:
        return await _relay(attempts, exchange, responder)
    except ServerLost as error:
        exchange.abandon_lost()
        raise _broken_off(str(error), responder) from None
    except UpstreamError as error:
        reason = exchange.record_failure(error)
        raise _broken_off(reason, responder) from None
    finally:
        exchange.close()


def _work(attempts: Attempts, forwarded: ForwardedAttempt) -> Work:
    route = attempts.call.route
    if route.kind != "stream":
        return call_work(attempts.context, route.name)
    model = forwarded.model.decode("latin-1")
    size = route.sizes.index(model) if model in route.sizes else 0
    return EngineWait(attempts).work(forwarded.target, size)


async def _relay(
    attempts: Attempts, exchange: Exchange, responder: Responder
) -> bool:
    call = attempts.call
    head = await exchange.read_head(max(0.0, call.remaining_s()))
    exchange.record_first_byte()
    server = exchange.destination.server.name
    kind = head.headers.get(b"content-type", b"")
    if call.route.kind == "stream" and kind.startswith(EVENT_STREAM):
        await _relay_stream(attempts, exchange, head, responder)
        return head.status < 500
    answer = await exchange.read_whole(head)
    call.log.record_first_byte()
    await responder.start(answer.status, _marked(answer.headers, server))
    await responder.finish(answer.body)
    return answer.status < 500


async def _relay_stream(
    attempts: Attempts,
    exchange: Exchange,
    head: ResponseHead,
    responder: Responder,
) -> None:
    call = attempts.call
    headers = answer_headers(head, None)
    server = exchange.destination.server.name
    call.log.record_first_byte()
    await responder.start(head.status, _marked(headers, server))
    last_read = END_OF_EVENT
    while data := await exchange.connection.read_body(
        max(0.0, call.remaining_s())
    ):
        last_read = data
        count = data.count(END_OF_EVENT)
        call.log.record_events(count)
        exchange.record_events(count)
        if responder.write_now is None or not responder.write_now(data):
            await responder.write(data)
    await exchange.check_stream_end(not last_read.endswith(END_OF_EVENT))
    exchange.record_status(head.status, not_run=False)
    await responder.finish()


def _broken_off(reason: str, responder: Responder) -> Exception:
    if responder.started:
        return StreamBroken(reason)
    return BackendFailed(reason)


def _marked(headers: RawHeaders, server: str) -> RawHeaders:
    return [*headers, (SERVER_HEADER, server.encode())]


__all__ = ["answer_forwarded"]
