"""Encoding of routed requests and checks of the servers' answers."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_entry.routed.forwarding import ATTEMPT_HEADER
from sycamorestand_entry.routed.forwarding import ForwardedAttempt
from sycamorestand_entry.routed.forwarding import FORWARDING_HEADERS
from sycamorestand_entry.routed.forwarding import seal_attempt
from sycamorestand_entry.routed.forwarding import SignedRequest
from sycamorestand_entry.routed.headers import ANSWER_HOP_HEADERS
from sycamorestand_entry.routed.headers import BODILESS_METHODS
from sycamorestand_entry.routed.headers import named_by_connection

if TYPE_CHECKING:
    from sycamorestand_decisions.server_room import Work
    from sycamorestand_entry.routed.call import RoutedCall
    from sycamorestand_entry.routed.header_names import HeaderNames
    from sycamorestand_entry.routed.headers import RawHeaders
    from sycamorestand_entry.upstream import ResponseHead
    from sycamorestand_model.backend_servers import Announcement

WRONG_SERVER: Final = 421
RETRY_STATUSES: Final = frozenset({500, 502, 504})
# Callers take these statuses to mean that the request did not run and never
# will. A server that sends one without the ``not_run`` header may have run
# the request, so the entry does not forward them.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
IDENTITY: Final = b"identity"


class EngineOptions(NamedTuple):
    """Options of one attempt, most of them for a stream at an engine.

    ``model`` is the model that shall answer, empty if the caller named one;
    ``last_event`` is the id of the last event that the caller has; ``rank``
    is the scheduling rank at the engine, 0 first. The server is selected
    by the prefix cache key ``affinity_key``, unless the server ``known`` is
    available: it has already read the prompt. ``work`` is what the attempt
    is expected to need.
    """

    affinity_key: str = ""
    model: bytes = b""
    last_event: bytes = b""
    rank: int = 0
    known: str = ""
    work: Work | None = None


class Destination(NamedTuple):
    """The server of a service or version that an attempt goes to.

    ``wanted`` are the options for the engine there. If another entry forwards
    the attempt, ``entry`` is its VM, ``key`` its key for such requests,
    ``server`` has its address, and the servers ``tried`` must not get it.
    """

    target: str
    server: Announcement
    wanted: EngineOptions
    entry: str = ""
    key: bytes = b""
    tried: frozenset[str] = frozenset()


class WholeAnswer(NamedTuple):
    """A complete answer of a backend server.

    ``headers`` are those that the caller gets. ``not_run`` is true if the
    server reported that it did not run the request.
    """

    status: int
    headers: RawHeaders
    body: bytes
    not_run: bool


def says_not_run(head: ResponseHead, names: HeaderNames) -> bool:
    """Return whether the server reports that it did not run the request."""
    return head.status == WRONG_SERVER or names.not_run in head.headers


def rejection_reason(
    head: ResponseHead, names: HeaderNames, call: RoutedCall
) -> str:
    """Return why an answer is not accepted for this call, empty if it is.

    An answer with a content encoding is rejected, as callers request none.
    Where servers stamp their answers, a success must carry the stamp and
    echo the attempt: without the echo it may be a late answer to an earlier
    request on the connection.
    """
    encoding = head.headers.get(b"content-encoding", IDENTITY)
    if encoding.lower() != IDENTITY:
        return "its body is encoded"
    if not names.stamp or not 200 <= head.status < 300:
        return ""
    if names.stamp not in head.headers:
        return "its success has no signature"
    if call.attempt and names.attempt not in head.headers:
        return "its success names no request"
    return ""


def answer_headers(head: ResponseHead, length: int | None) -> RawHeaders:
    """Return the headers of a server's answer that the caller gets.

    ``length`` is the size of the body in bytes. It is None for an answer
    without a body, such as one to ``HEAD``, and for a stream; no content
    length is added then.
    """
    hop_names = named_by_connection(list(head.headers.items()))
    headers = [
        (name, value)
        for name, value in head.headers.items()
        if name not in ANSWER_HOP_HEADERS
        and name not in FORWARDING_HEADERS
        and name not in hop_names
    ]
    if length is not None:
        headers.append((b"content-length", b"%d" % length))
    return headers


def encode_request(
    names: HeaderNames, call: RoutedCall, destination: Destination
) -> bytes:
    """Return the bytes of the request to a server.

    The deadline header carries the milliseconds left, at least 1.
    """
    wanted = destination.wanted
    lines = [b"%s %s HTTP/1.1" % (call.method, call.target)]
    replaced = {names.model} if wanted.model else set()
    if wanted.last_event:
        replaced.add(names.last_event)
        lines.append(b"%s: %s" % (names.last_event, wanted.last_event))
    for name, value in call.headers:
        if name not in replaced:
            lines.append(b"%s: %s" % (name, value))
    if wanted.model:
        lines.append(b"%s: %s" % (names.model, wanted.model))
    lines.append(b"%s: %d" % (names.deadline_ms, _left_ms(call)))
    lines.append(b"%s: %s" % (names.server, destination.server.name.encode()))
    if call.customer:
        lines.append(b"%s: %s" % (names.customer, call.customer.encode()))
    if call.route.kind == "stream":
        lines.append(b"%s: %d" % (names.priority, wanted.rank))
    return _with_body(lines, call)


def encode_forwarded(
    names: HeaderNames, call: RoutedCall, destination: Destination
) -> bytes:
    """Return the bytes of the request to an entry that forwards it.

    That is the caller's request, its key included, with the deadline that is
    left. The other entry adds what a server needs.
    """
    wanted = destination.wanted
    attempt = ForwardedAttempt(
        destination.entry,
        destination.target,
        wanted.affinity_key,
        wanted.model,
        wanted.last_event,
        wanted.rank,
        tuple(destination.tried),
    )
    lines = [b"%s %s HTTP/1.1" % (call.method, call.target)]
    lines += [b"%s: %s" % (name, value) for name, value in call.headers]
    if b"authorization" in call.values:
        lines.append(b"authorization: " + call.values[b"authorization"])
    lines.append(b"%s: %d" % (names.deadline_ms, _left_ms(call)))
    sealed = seal_attempt(attempt, signed_request(call), destination.key)
    lines.append(b"%s: %s" % (ATTEMPT_HEADER, sealed))
    return _with_body(lines, call)


def signed_request(call: RoutedCall) -> SignedRequest:
    """Return the parts of the call that a forwarding signature covers."""
    return SignedRequest(call.method, call.target, call.attempt, call.body)


def _left_ms(call: RoutedCall) -> int:
    return max(1, int(call.remaining_s() * 1000))


def _with_body(lines: list[bytes], call: RoutedCall) -> bytes:
    if call.body or call.method not in BODILESS_METHODS:
        lines.append(b"content-length: %d" % len(call.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + call.body


__all__ = [
    "answer_headers",
    "Destination",
    "encode_forwarded",
    "encode_request",
    "EngineOptions",
    "NOT_RUN_STATUSES",
    "rejection_reason",
    "RETRY_STATUSES",
    "says_not_run",
    "signed_request",
    "WholeAnswer",
]
