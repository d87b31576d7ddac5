"""Types of declared routes and of the engines that they lead to.

A route maps requests to services by their host and the prefix of their
path. It serves callers that send plain HTTP to a service and name no
profile. It declares which calls may be repeated, how long a caller may
wait, and to which models of an engine a request may escalate.
"""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple

CallKind = Literal["idempotent", "once", "stream"]


class RouteTarget(NamedTuple):
    """A service that a route leads to, and its weight among the targets."""

    service: str
    weight: int = 1


class Route(NamedTuple):
    """The rules for requests to one host under one path prefix.

    An ``idempotent`` call may be repeated. A ``once`` call, and a
    ``stream`` that is not ``resumable``, run at most once for each attempt
    of the caller. ``max_attempts`` limits how many servers one attempt of
    the caller is sent to. ``priority`` 0 is the most urgent. ``sizes``
    names models of the service's engines from the smallest to the
    largest; a request may escalate from each to the next. Callers
    disconnect from a stream that sends nothing for ``silence_limit_ms``,
    also before its first event; 0 means that they wait until their
    timeout. Requests run only in the ``home_regions``, in any region if
    there are none.
    """

    name: str
    host: str
    path_prefix: str
    targets: tuple[RouteTarget, ...]
    kind: CallKind
    timeout_ms: int
    target_latency_ms: int = 0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    gap_target_ms: int = 0
    sizes: tuple[str, ...] = ()
    silence_limit_ms: int = 0
    home_regions: tuple[str, ...] = ()


class ModelSize(NamedTuple):
    """A model that an engine holds, and its cost per 1,000 output tokens."""

    name: str
    cost: float


class EngineTraits(NamedTuple):
    """The capabilities and limits of the engines of a service.

    ``kv_tokens`` is the size of the KV cache in tokens, and
    ``kv_token_bytes`` the size of one token in it. ``event_tokens`` is how
    many tokens one event of a stream holds.
    """

    slots: int
    kv_tokens: int
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0
    can_move: bool = False
    can_back_up: bool = False
    event_tokens: int = 1
    max_event_calls: int = 0
    pin_ms: float = 0.0
    hold_ms: float = 0.0
    handle_s: float = 0.0
    sizes: tuple[ModelSize, ...] = ()


class CallerLimits(NamedTuple):
    """Limits on the size and duration of requests, and on idle connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 15_000


class SourceDocument(NamedTuple):
    """The document from which declarations were read, and its number.

    If operators number their documents, the one with the highest number is
    in force. Its bytes are stored as they were sent, so that operators
    read back the same document.
    """

    number: int = 0
    content: bytes = b""


__all__ = [
    "CallerLimits",
    "CallKind",
    "EngineTraits",
    "ModelSize",
    "Route",
    "RouteTarget",
    "SourceDocument",
]
