"""Parsing and validation of requests for chat completions."""

from __future__ import annotations

import hashlib
import secrets
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from sycamorestand_decisions.request_class import request_class
from sycamorestand_decisions.request_class import RequestFeatures
from sycamorestand_entry.callers import deadline_after
from sycamorestand_entry.callers import read_options
from sycamorestand_entry.engine_wire import EngineWork
from sycamorestand_entry.errors import BadRequest
from sycamorestand_entry.errors import NotAllowed
from sycamorestand_entry.errors import UnknownProfile
from sycamorestand_entry.http_messages import read_body
from sycamorestand_entry.request_parts import RequestParts
from sycamorestand_entry.slots import DEFAULT_TOKENS
from sycamorestand_entry.slots import expected_chat_s
from sycamorestand_model.request_digest import RequestContent

if TYPE_CHECKING:
    from sycamorestand_entry.callers import CallerOptions
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.http_messages import Request
    from sycamorestand_model.declarations import Customer
    from sycamorestand_model.declarations import Profile

BYTES_PER_TOKEN: Final = 4
MAX_TOKENS: Final = 1_000_000
PREFIX_KEY_BYTES: Final = 8


class ChatRequest(NamedTuple):
    """A validated request and its customer.

    ``prefix_key`` identifies the prompt prefix that the request shares with
    others; ``input_tokens`` is an estimate from the size of the body.
    """

    customer: Customer
    profile: Profile
    options: CallerOptions
    request_key: str
    content: dict[str, Any]
    stream: bool
    deadline_at_s: float
    input_tokens: int
    max_tokens: int
    request_class: str
    prefix_key: str
    parts: RequestParts


async def read_chat(context: EntryContext, request: Request) -> ChatRequest:
    """Return the validated request; raise a `RequestError` if it is bad."""
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
    input_tokens = len(body) // BYTES_PER_TOKEN
    prefix_key = _prefix_key(customer.name, content["messages"])
    return ChatRequest(
        customer,
        profile,
        options,
        options.request_key or secrets.token_hex(16),
        content,
        content.get("stream", False),
        deadline_after(options.deadline_ms, profile.default_deadline_ms),
        input_tokens,
        _max_tokens(content),
        request_class(_features(content, input_tokens)),
        prefix_key,
        RequestParts(
            RequestContent(
                customer.name,
                request.method.encode(),
                b"",
                request.raw_path,
                body,
            ),
            (prefix_key,) if prefix_key else (),
            context.control.in_force,
        ),
    )


def engine_work(
    chat: ChatRequest, version: str, session_name: str
) -> EngineWork:
    """Return the request to an engine of this version.

    ``session_name`` is empty if the request belongs to no session.
    """
    content = dict(chat.content)
    content["model"] = version
    content["stream"] = True
    content["stream_options"] = {"include_usage": True}
    return EngineWork(
        chat.customer.name,
        chat.customer.weight,
        chat.profile.name,
        version,
        chat.request_key,
        msgspec.json.encode(content),
        chat.options.priority,
        chat.deadline_at_s,
        expected_chat_s(chat.max_tokens),
        chat.parts,
        session_name or chat.prefix_key,
        bool(session_name),
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
    tokens = content.get("max_tokens")
    is_integer = isinstance(tokens, int) and not isinstance(tokens, bool)
    if tokens is not None and not (is_integer and 0 < tokens <= MAX_TOKENS):
        findings.append(f"'max_tokens' must be 1 to {MAX_TOKENS}")
    if findings:
        raise BadRequest("; ".join(findings))
    return content


def _max_tokens(content: dict[str, Any]) -> int:
    return content.get("max_tokens") or DEFAULT_TOKENS


def _features(content: dict[str, Any], input_tokens: int) -> RequestFeatures:
    metadata = content.get("metadata")
    task = metadata.get("task") if isinstance(metadata, dict) else None
    turns = sum(
        message.get("role") == "user" for message in content["messages"]
    )
    return RequestFeatures(
        task if isinstance(task, str) else "",
        input_tokens,
        turns,
        bool(content.get("tools")),
    )


def _prefix_key(customer: str, messages: list[dict[str, Any]]) -> str:
    first = messages[0]
    if first.get("role") != "system":
        return ""
    digest = hashlib.blake2b(customer.encode(), digest_size=PREFIX_KEY_BYTES)
    digest.update(msgspec.json.encode(first))
    return digest.hexdigest()


__all__ = ["ChatRequest", "engine_work", "read_chat"]
