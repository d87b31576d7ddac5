"""One routed request as it was read, and what follows from it."""

from __future__ import annotations

import time
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_entry.errors import BadRequest
from sycamorestand_entry.routed.headers import HOP_HEADERS
from sycamorestand_entry.routed.headers import named_by_connection
from sycamorestand_entry.routed.headers import RawHeaders

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_entry.routed.decision_log import DecisionLog
    from sycamorestand_entry.routed.header_names import HeaderNames
    from sycamorestand_model.routes import Route

ANONYMOUS: Final = ""
MAX_DEADLINE_DIGITS: Final = 9
PROCESS_ENDS: Final = "the process ends"


class RoutedCall(NamedTuple):
    """A whole request of a caller under one route.

    ``target`` is path and query as they were sent. ``deadline_at_s`` is on
    the monotonic clock: the earlier of what the caller said and the
    route's timeout. ``headers`` are those that are passed on. ``log``
    takes what is decided about it. ``ends_at_s`` returns when the process
    ends, which may become known while the call runs.
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
    log: DecisionLog
    ends_at_s: Callable[[], float]

    @property
    def may_repeat(self) -> bool:
        """Tell whether the request may run more than once."""
        route = self.route
        return route.kind == "idempotent" or (
            route.kind == "stream" and route.resumable
        )

    def remaining_s(self) -> float:
        """Return what is left of the caller's and the route's time.

        Or of the process's: an answer that would come after its planned
        stop is cut, and the caller is not told what had run.
        """
        until_s = min(self.deadline_at_s, self.ends_at_s())
        return until_s - time.monotonic()

    def why_over(self) -> str:
        """Return what used up the time, empty while some is left."""
        if self.remaining_s() > 0:
            return ""
        if self.ends_at_s() < self.deadline_at_s:
            return PROCESS_ENDS
        return "its time is over"


def read_deadline_s(
    values: dict[bytes, bytes], wire: HeaderNames, route: Route, read_s: float
) -> float:
    """Return until when the caller waits, on the monotonic clock."""
    limit_ms = route.timeout_ms
    value = values.get(wire.deadline_ms)
    if value is not None:
        if not value.isdigit() or len(value) > MAX_DEADLINE_DIGITS:
            raise BadRequest("the deadline is no number of milliseconds")
        limit_ms = min(limit_ms, int(value))
    return read_s + limit_ms / 1000


def passed_headers(raw: RawHeaders, wire: HeaderNames) -> RawHeaders:
    """Return the headers that a server gets as the caller sent them.

    Without the key: a server, or whoever reads its logs, could call with
    it. Without what only the system may set: a caller could name itself
    another customer. What the request means stays even if ``Connection``
    names it: without its attempt or model it would be another request.
    """
    dropped = named_by_connection(raw) - _lasting(wire)
    return [
        (name, value)
        for name, value in raw
        if name not in HOP_HEADERS
        and name not in wire.own
        and name not in dropped
    ]


def read_values(raw: RawHeaders, wire: HeaderNames) -> dict[bytes, bytes]:
    """Return the headers by name, refusing contradictions.

    Two values for what decides about a request would let the entry judge
    by the one and the server by the other.
    """
    values: dict[bytes, bytes] = {}
    single = _lasting(wire) | {b"authorization"}
    for name, value in raw:
        if name in single and values.get(name, value) != value:
            raise BadRequest(f"header {name.decode('latin-1')} came twice")
        values[name] = value
    return values


def _lasting(wire: HeaderNames) -> frozenset[bytes]:
    return frozenset(
        {
            b"host",
            b"content-type",
            wire.attempt,
            wire.deadline_ms,
            wire.session,
            wire.model,
            wire.prompt_parts,
            wire.token_counts,
            wire.length_hint,
            wire.last_event,
        }
    )


__all__ = [
    "ANONYMOUS",
    "MAX_DEADLINE_DIGITS",
    "passed_headers",
    "PROCESS_ENDS",
    "RawHeaders",
    "read_deadline_s",
    "read_values",
    "RoutedCall",
]
