"""A request for a chat completion, checked."""

from __future__ import annotations

import secrets
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from sycamorestand_entry.callers import deadline_after
from sycamorestand_entry.callers import read_options
from sycamorestand_entry.engine_run import EngineWork
from sycamorestand_entry.errors import BadRequest
from sycamorestand_entry.errors import NotAllowed
from sycamorestand_entry.errors import UnknownProfile
from sycamorestand_entry.http_messages import read_body

if TYPE_CHECKING:
    from sycamorestand_entry.callers import CallerOptions
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.http_messages import Request
    from sycamorestand_model.declarations import Customer
    from sycamorestand_model.declarations import Profile


class ChatRequest(NamedTuple):
    """What a caller asks for, and who it is."""

    customer: Customer
    profile: Profile
    options: CallerOptions
    request_key: str
    content: dict[str, Any]
    stream: bool
    deadline_at_s: float


async def read_chat(context: EntryContext, request: Request) -> ChatRequest:
    """Return the checked request, or refuse."""
    in_force = context.control.in_force()
    customer = context.authenticator.customer(request.headers, in_force)
    options = read_options(request.headers)
    body = await read_body(request, context.settings.max_body_bytes)
    content = _decode(body)
    name = content["model"]
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
        content.get("stream", False),
        deadline_after(options.deadline_ms, profile.default_deadline_ms),
    )


def engine_work(
    chat: ChatRequest, version: str, in_session: bool
) -> EngineWork:
    """Return what is asked of an engine of this version."""
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
        in_session,
    )


def _decode(body: bytes) -> dict[str, Any]:
    try:
        content = msgspec.json.decode(body, type=dict[str, Any])
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise BadRequest(f"the body is no JSON object: {error}") from None
    findings = []
    if not isinstance(content.get("model"), str):
        findings.append("'model' must name a profile")
    messages = content.get("messages")
    if not isinstance(messages, list) or not messages:
        findings.append("'messages' must be a list and not be empty")
    elif not all(isinstance(message, dict) for message in messages):
        findings.append("'messages' must hold objects")
    if not isinstance(content.get("stream", False), bool):
        findings.append("'stream' must be true or false")
    if findings:
        raise BadRequest("; ".join(findings))
    return content


__all__ = ["ChatRequest", "engine_work", "read_chat"]
