"""A routed request and its answer as they go between entry and server."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_entry.routed.headers import ANSWER_HOP_HEADERS
from sycamorestand_entry.routed.headers import BODILESS_METHODS
from sycamorestand_entry.routed.headers import named_by_connection

if TYPE_CHECKING:
    from sycamorestand_entry.routed.call import RoutedCall
    from sycamorestand_entry.routed.header_names import HeaderNames
    from sycamorestand_entry.routed.headers import RawHeaders
    from sycamorestand_entry.upstream import ResponseHead
    from sycamorestand_model.backend_servers import Announcement

WRONG_SERVER: Final = 421
RETRY_STATUSES: Final = frozenset({500, 502, 504})
# These promise that a request has not run and never will. A server that
# gives one without saying that it did not run the request may have run it.
PROMISES: Final = frozenset({408, 421, 429, 503})
IDENTITY: Final = b"identity"


class Wanted(NamedTuple):
    """What an attempt of a stream asks of an engine.

    ``model`` is the model that is to answer, empty where the caller named
    one; ``last_event`` the last event that the caller has; ``rank`` the
    place in the order in which the engine reads, 0 first. The server is
    looked for by ``affinity_key``, but the ``known`` one is taken where it
    is there: it has read the prompt.
    """

    affinity_key: str = ""
    model: bytes = b""
    last_event: bytes = b""
    rank: int = 0
    known: str = ""


class Aim(NamedTuple):
    """Where an attempt goes: a server of a service or version.

    ``wanted`` is what it asks of an engine there.
    """

    target: str
    server: Announcement
    wanted: Wanted


class WholeAnswer(NamedTuple):
    """A whole answer of a backend server; ``headers`` are passed on."""

    status: int
    headers: RawHeaders
    body: bytes
    not_run: bool


def says_not_run(head: ResponseHead, wire: HeaderNames) -> bool:
    """Tell whether the server says that it did not run the request."""
    return head.status == WRONG_SERVER or wire.not_run in head.headers


def foreign(head: ResponseHead, wire: HeaderNames, call: RoutedCall) -> str:
    """Return why an answer cannot be the server's own to this call.

    A success counts with the server's stamp only, where servers stamp
    their answers, and without an encoding that nobody asked for. One that
    names no request may be a late one to an earlier request on the
    connection.
    """
    coding = head.headers.get(b"content-encoding", IDENTITY)
    if coding.lower() != IDENTITY:
        return "its body is encoded"
    if not wire.stamp or not 200 <= head.status < 300:
        return ""
    if wire.stamp not in head.headers:
        return "its success has no signature"
    if call.attempt and wire.attempt not in head.headers:
        return "its success names no request"
    return ""


def answer_headers(head: ResponseHead, length: int | None) -> RawHeaders:
    """Return a server's headers as they are passed on to the caller.

    Without a ``length`` the server's own is kept where the answer has no
    body, as with ``HEAD``; a stream has none.
    """
    named = named_by_connection(list(head.headers.items()))
    headers = [
        (name, value)
        for name, value in head.headers.items()
        if name not in ANSWER_HOP_HEADERS and name not in named
    ]
    if length is not None:
        headers.append((b"content-length", b"%d" % length))
    return headers


def encode_request(wire: HeaderNames, call: RoutedCall, aim: Aim) -> bytes:
    """Return the request as the server gets it."""
    wanted = aim.wanted
    lines = [b"%s %s HTTP/1.1" % (call.method, call.target)]
    replaced = {wire.model} if wanted.model else set()
    if wanted.last_event:
        replaced.add(wire.last_event)
        lines.append(b"%s: %s" % (wire.last_event, wanted.last_event))
    for name, value in call.headers:
        if name not in replaced:
            lines.append(b"%s: %s" % (name, value))
    if wanted.model:
        lines.append(b"%s: %s" % (wire.model, wanted.model))
    left_ms = max(1, int(call.remaining_s() * 1000))
    lines.append(b"%s: %d" % (wire.deadline_ms, left_ms))
    lines.append(b"%s: %s" % (wire.server, aim.server.name.encode()))
    if call.customer:
        lines.append(b"%s: %s" % (wire.customer, call.customer.encode()))
    if call.route.kind == "stream":
        lines.append(b"%s: %d" % (wire.priority, wanted.rank))
    if call.body or call.method not in BODILESS_METHODS:
        lines.append(b"content-length: %d" % len(call.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + call.body


__all__ = [
    "Aim",
    "answer_headers",
    "encode_request",
    "foreign",
    "PROMISES",
    "RETRY_STATUSES",
    "says_not_run",
    "Wanted",
    "WholeAnswer",
]
