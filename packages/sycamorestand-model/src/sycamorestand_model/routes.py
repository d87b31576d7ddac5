"""What operators declare of routes: which requests go to which service.

A route names requests by the host and the beginning of their path, in place
of a profile's name, for callers that speak plain HTTP to a service. It
says what may be repeated, how long a caller may be kept waiting, and over
which models of an engine a request may climb.
"""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple

CallKind = Literal["idempotent", "once", "stream"]


class RouteTarget(NamedTuple):
    """A service and its share of the route's requests, by weight."""

    service: str
    weight: int = 1


class Route(NamedTuple):
    """Requests of one host under one path prefix.

    ``kind`` says what may be repeated: an ``idempotent`` call may run
    again, a ``once`` call and a ``stream`` that is not ``resumable`` run
    at most once for each attempt of the caller. ``max_attempts`` bounds
    the servers that one attempt of a caller is sent to. Rank 0 of
    ``priority`` is the most urgent. ``sizes`` are models of the service's
    engines, the smallest first; a request may climb from one to the next.
    A caller leaves a stream that is silent for ``silence_limit_ms``, also
    before its first event; 0 is for callers that wait until their time is
    over.
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


class ModelSize(NamedTuple):
    """A model that an engine holds, and its cost per 1,000 tokens made."""

    name: str
    cost: float


class EngineTraits(NamedTuple):
    """What the engines of a service can do, and their limits.

    ``kv_tokens`` is the memory for prompts in tokens of
    ``kv_token_bytes``; ``event_tokens`` is how many tokens one event of a
    stream holds.
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
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 15_000


class SourceDocument(NamedTuple):
    """The document that declarations were made from, and its number.

    Where operators number their documents the highest one is in force;
    it is kept as it was sent, so that it can be read back unchanged.
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
