"""One routed request as it was read, and what follows from it."""

from __future__ import annotations

import time
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_entry.errors import BadRequest

if TYPE_CHECKING:
    from sycamorestand_entry.routed.wire import RouteWire
    from sycamorestand_model.routes import Route

RawHeaders = list[tuple[bytes, bytes]]

# Headers that concern one connection only (RFC 9110, 7.6.1), and those
# that frame the body, which is sent anew.
HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
ANONYMOUS: Final = ""
MAX_DEADLINE_DIGITS: Final = 9


class RoutedCall(NamedTuple):
    """A whole request of a caller under one route.

    ``target`` is path and query as they were sent. ``deadline_at_s`` is on
    the monotonic clock: the earlier of what the caller said and the
    route's timeout. ``headers`` are those that are passed on.
    """

    route: Route
    customer: str
    priority: int
    weight: float
    method: bytes
    target: bytes
    attempt: bytes
    session: str
    headers: RawHeaders
    values: dict[bytes, bytes]
    body: bytes
    deadline_at_s: float

    @property
    def may_repeat(self) -> bool:
        """Tell whether the request may run more than once."""
        route = self.route
        return route.kind == "idempotent" or (
            route.kind == "stream" and route.resumable
        )

    def remaining_s(self) -> float:
        """Return what is left of the caller's and the route's time."""
        return self.deadline_at_s - time.monotonic()


def read_deadline_s(
    values: dict[bytes, bytes], wire: RouteWire, route: Route, read_s: float
) -> float:
    """Return until when the caller waits, on the monotonic clock."""
    limit_ms = route.timeout_ms
    value = values.get(wire.deadline_ms)
    if value is not None:
        if not value.isdigit() or len(value) > MAX_DEADLINE_DIGITS:
            raise BadRequest("the deadline is no number of milliseconds")
        limit_ms = min(limit_ms, int(value))
    return read_s + limit_ms / 1000


def passed_headers(raw: RawHeaders, wire: RouteWire) -> RawHeaders:
    """Return the headers that a server gets as the caller sent them.

    Without the key: a server, or whoever reads its logs, could call with
    it. Without what only the system may set: a caller could name itself
    another customer.
    """
    named = _named_by_connection(raw)
    return [
        (name, value)
        for name, value in raw
        if name not in HOP_HEADERS
        and name not in wire.own
        and name not in named
    ]


def _named_by_connection(raw: RawHeaders) -> set[bytes]:
    named: set[bytes] = set()
    for name, value in raw:
        if name == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return named


__all__ = [
    "ANONYMOUS",
    "HOP_HEADERS",
    "passed_headers",
    "RawHeaders",
    "read_deadline_s",
    "RoutedCall",
]
