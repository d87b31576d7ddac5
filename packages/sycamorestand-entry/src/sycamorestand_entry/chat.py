"""``POST /v1/chat/completions``: from a request to a billed answer."""

from __future__ import annotations

import secrets
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio
from anyio.abc import TaskGroup
import msgspec

from sycamorestand_entry.answers import assemble
from sycamorestand_entry.billing import charge_once
from sycamorestand_entry.billing import cost_micros
from sycamorestand_entry.billing import now_s
from sycamorestand_entry.callers import deadline_after
from sycamorestand_entry.callers import read_options
from sycamorestand_entry.engine_run import EngineRun
from sycamorestand_entry.engine_run import EngineWork
from sycamorestand_entry.errors import BadRequest
from sycamorestand_entry.errors import NotAllowed
from sycamorestand_entry.errors import NoVersion
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.errors import UnknownProfile
from sycamorestand_entry.gate import check_version
from sycamorestand_entry.gate import DispatchIntent
from sycamorestand_entry.http_messages import CallerGone
from sycamorestand_entry.http_messages import error_content
from sycamorestand_entry.http_messages import EVENT_STREAM
from sycamorestand_entry.http_messages import JSON
from sycamorestand_entry.http_messages import read_body
from sycamorestand_entry.sessions import Session
from sycamorestand_entry.sessions import sign_session
from sycamorestand_entry.sse import DONE
from sycamorestand_entry.sse import encode_event
from sycamorestand_model.declarations import version_id
from sycamorestand_model.ledger import Charge

if TYPE_CHECKING:
    from sycamorestand_entry.callers import CallerOptions
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.http_messages import Receive
    from sycamorestand_entry.http_messages import Request
    from sycamorestand_entry.http_messages import Responder
    from sycamorestand_model.declarations import Customer
    from sycamorestand_model.declarations import Profile


class ChatRequest(NamedTuple):
    """A checked request for a chat completion."""

    customer: Customer
    profile: Profile
    options: CallerOptions
    request_key: str
    content: dict[str, Any]
    stream: bool
    deadline_at_s: float


async def answer_chat(
    context: EntryContext, request: Request, responder: Responder
) -> None:
    """Answer one request; the caller's leaving cancels the work."""
    chat = await _read_chat(context, request)
    failure: RequestError | None = None
    finished = False
    async with anyio.create_task_group() as group:
        group.start_soon(_cancel_when_gone, request.receive, group)
        try:
            await _run_chat(context, chat, responder)
        except RequestError as error:
            failure = error
        finished = True
        group.cancel_scope.cancel()
    if failure is not None:
        raise failure
    if not finished:
        raise CallerGone


async def _cancel_when_gone(receive: Receive, group: TaskGroup) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    group.cancel_scope.cancel()


async def _read_chat(context: EntryContext, request: Request) -> ChatRequest:
    in_force = context.control.in_force()
    customer = context.authenticator.customer(request.headers, in_force)
    options = read_options(request.headers)
    body = await read_body(request, context.settings.max_body_bytes)
    try:
        content = msgspec.json.decode(body, type=dict[str, Any])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadRequest(f"the body is no JSON object: {error}") from None
    name = content.get("model")
    if not isinstance(name, str):
        raise BadRequest("'model' must name a profile")
    if not isinstance(content.get("messages"), list):
        raise BadRequest("'messages' must be a list")
    stream = content.get("stream", False)
    if not isinstance(stream, bool):
        raise BadRequest("'stream' must be true or false")
    profile = in_force.declarations.profiles.get(name)
    if profile is None:
        raise UnknownProfile(f"there is no profile {name!r}")
    if name not in customer.profiles:
        raise NotAllowed(f"profile {name!r} is not yours to use")
    return ChatRequest(
        customer,
        profile,
        options,
        options.request_key or secrets.token_hex(16),
        content,
        stream,
        deadline_after(options.deadline_ms, profile.default_deadline_ms),
    )


async def _run_chat(
    context: EntryContext, chat: ChatRequest, responder: Responder
) -> None:
    version = _choose_version(context, chat)
    run = EngineRun(context, _engine_work(chat, version))
    try:
        await run.start()
        if chat.stream:
            await _stream(context, chat, run, version, responder)
        else:
            await _answer_whole(context, chat, run, version, responder)
    finally:
        run.close()


def _choose_version(context: EntryContext, chat: ChatRequest) -> str:
    in_force = context.control.in_force()
    for step in reversed(chat.profile.steps):
        model = in_force.declarations.models.get(step.model)
        if model is None:
            continue
        names = [model.stable, *sorted(model.versions)]
        for name in names:
            identity = version_id(model.name, name)
            intent = DispatchIntent(
                chat.customer.name, chat.profile.name, identity, ""
            )
            if check_version(in_force, intent) is None:
                return identity
    raise NoVersion("every version that you may use is withdrawn")


def _engine_work(chat: ChatRequest, version: str) -> EngineWork:
    content = dict(chat.content)
    content["model"] = version
    content["stream"] = True
    content["stream_options"] = {"include_usage": True}
    return EngineWork(
        chat.customer.name,
        chat.profile.name,
        version,
        chat.request_key,
        msgspec.json.encode(content),
        chat.options.priority,
        chat.deadline_at_s,
    )


async def _stream(
    context: EntryContext,
    chat: ChatRequest,
    run: EngineRun,
    version: str,
    responder: Responder,
) -> None:
    try:
        while events := await run.next_events():
            if not run.released:
                headers = _headers(context, chat, version, EVENT_STREAM)
                await responder.start(200, headers)
                run.released = True
            await responder.write(events)
        ending = await _charge(context, chat, run, version)
        await responder.finish(encode_event(ending) + DONE)
    except RequestError as error:
        if not responder.started:
            raise
        await responder.finish(encode_event(error_content(error)))


async def _answer_whole(
    context: EntryContext,
    chat: ChatRequest,
    run: EngineRun,
    version: str,
    responder: Responder,
) -> None:
    parts: list[bytes] = []
    attempt = run.attempt
    while events := await run.next_events():
        if run.attempt != attempt:
            attempt = run.attempt
            parts.clear()
        parts.append(events)
    ending = await _charge(context, chat, run, version)
    body = msgspec.json.encode(assemble(b"".join(parts), ending))
    cost = ending["sycamorestand"]["cost_micros"]
    headers = _headers(context, chat, version, JSON)
    headers.append((b"content-length", b"%d" % len(body)))
    headers.append((b"x-cost-micros", b"%d" % cost))
    await responder.start(200, headers)
    await responder.finish(body)


async def _charge(
    context: EntryContext, chat: ChatRequest, run: EngineRun, version: str
) -> dict[str, Any]:
    usage = run.usage
    assert usage is not None
    declarations = context.control.in_force().declarations
    cost = await charge_once(
        context,
        Charge(
            chat.customer.name,
            chat.request_key,
            version,
            cost_micros(declarations, version, usage),
            usage.input_tokens,
            usage.output_tokens,
            now_s(),
        ),
    )
    ending = run.ending or {"choices": [], "usage": None}
    ending["sycamorestand"] = {
        "cost_micros": cost,
        "version": version,
        "request_key": chat.request_key,
        "session_token": _session_token(context, chat, version),
    }
    return ending


def _session_token(
    context: EntryContext, chat: ChatRequest, version: str
) -> str:
    name = chat.options.session_name or chat.request_key
    session = Session(chat.customer.name, name, version)
    return sign_session(session, context.control.in_force().session_key)


def _headers(
    context: EntryContext, chat: ChatRequest, version: str, kind: bytes
) -> list[tuple[bytes, bytes]]:
    token = _session_token(context, chat, version)
    return [
        (b"content-type", kind),
        (b"x-request-key", chat.request_key.encode()),
        (b"x-session-token", token.encode()),
        (b"x-version", version.encode()),
    ]


__all__ = ["answer_chat"]
