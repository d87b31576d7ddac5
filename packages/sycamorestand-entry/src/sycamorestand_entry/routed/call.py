"""A routed request as the entry read it, with its deadline and headers."""

from __future__ import annotations

import time
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_entry.errors import BadRequest
from sycamorestand_entry.routed.forwarding import ATTEMPT_HEADER
from sycamorestand_entry.routed.forwarding import FORWARDING_HEADERS
from sycamorestand_entry.routed.headers import HOP_HEADERS
from sycamorestand_entry.routed.headers import named_by_connection
from sycamorestand_entry.routed.headers import RawHeaders

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_entry.request_parts import RequestParts
    from sycamorestand_entry.routed.decision_log import DecisionLog
    from sycamorestand_entry.routed.forwarding import ForwardedAttempt
    from sycamorestand_entry.routed.header_names import HeaderNames
    from sycamorestand_model.routes import Route

ANONYMOUS: Final = ""
MAX_DEADLINE_DIGITS: Final = 9
MAX_COUNT_DIGITS: Final = 9
PROCESS_ENDS: Final = "the process ends"


class RoutedCall(NamedTuple):
    """A complete request of a caller to one route.

    ``target`` is path and query as they were sent. ``deadline_at_s`` is on
    the monotonic clock: the earlier of the caller's deadline and the
    route's timeout. ``headers`` are those that are forwarded. ``log``
    collects the decisions about the call. ``ends_at_s`` returns when the
    process ends; a planned stop may begin while the call runs.
    ``forwarded`` is the attempt to make if another entry sent the call.
    ``prompt_parts`` names the parts of the prompt in their order; the last
    one belongs to this request or its session alone. ``parts`` are the names
    by which control knows the request. ``priority`` is the customer's, or the
    route's if the customer has none; it gives the rank at engines. ``urgency``
    is the level of `UrgencyLevels`, 0 the most urgent; admission goes by it.
    Moves and escalations go by the priority of the ``route``.
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
    parts: RequestParts
    forwarded: ForwardedAttempt | None = None
    prompt_parts: tuple[str, ...] = ()
    urgency: int = 0

    @property
    def may_repeat(self) -> bool:
        """Return whether the request may run more than once."""
        route = self.route
        return route.kind == "idempotent" or (
            route.kind == "stream" and route.resumable
        )

    def remaining_s(self) -> float:
        """Return the seconds until the call's deadline or the process's end.

        The end of the process counts, since a planned stop cuts an answer
        that is not complete by then, and the caller would not learn whether
        its request had run.
        """
        until_s = min(self.deadline_at_s, self.ends_at_s())
        return until_s - time.monotonic()

    def expiry_reason(self) -> str:
        """Return why the call's time is over, empty while some is left."""
        if self.remaining_s() > 0:
            return ""
        if self.ends_at_s() < self.deadline_at_s:
            return PROCESS_ENDS
        return "its time is over"


def read_deadline_s(
    values: dict[bytes, bytes],
    names: HeaderNames,
    route: Route,
    received_s: float,
) -> float:
    """Return the call's deadline on the monotonic clock.

    Raises `BadRequest` if the caller's deadline is not a number.
    """
    limit_ms = route.timeout_ms
    value = values.get(names.deadline_ms)
    if value is not None:
        if not value.isdigit() or len(value) > MAX_DEADLINE_DIGITS:
            raise BadRequest("the deadline is no number of milliseconds")
        limit_ms = min(limit_ms, int(value))
    return received_s + limit_ms / 1000


def read_prompt_parts(value: bytes) -> tuple[str, ...]:
    """Return the names in a header that lists the parts of a prompt.

    Example: ``read_prompt_parts(b"5c1e:800, 91bd:410")`` is
    ``("5c1e", "91bd")``.
    """
    if not value:
        return ()
    parts = value.decode("latin-1").split(",")
    return tuple(part.partition(":")[0].strip() for part in parts)


def read_token_counts(value: bytes) -> tuple[int, int]:
    """Return the tokens of a prompt and of the answer that it expects.

    A count that is missing or no number is 0.

    Example: ``read_token_counts(b"1200,350")`` is ``(1200, 350)``.
    """
    prompt, _, answer = value.partition(b",")
    return read_count(prompt), read_count(answer)


def read_count(value: bytes) -> int:
    """Return the number in a header's value, 0 if there is none."""
    digits = value.strip()
    is_count = digits.isdigit() and len(digits) <= MAX_COUNT_DIGITS
    return int(digits) if is_count else 0


def forwarded_headers(raw: RawHeaders, names: HeaderNames) -> RawHeaders:
    """Return the caller's headers that the entry forwards to a server.

    The API key is left out, as a server, or a reader of its logs, could
    make calls with it. So are the headers that only the system may set, as
    a caller could pose as another customer. Headers that define the request
    are kept even if ``Connection`` lists them: without its attempt or model
    it would be another request.
    """
    dropped = named_by_connection(raw) - _defining_headers(names)
    return [
        (name, value)
        for name, value in raw
        if name not in HOP_HEADERS
        and name not in names.own
        and name not in FORWARDING_HEADERS
        and name not in dropped
    ]


def read_values(raw: RawHeaders, names: HeaderNames) -> dict[bytes, bytes]:
    """Return the headers by name.

    Raises `BadRequest` if a header that defines the request came with two
    values: the entry could act on one of them and the server on the other.
    """
    values: dict[bytes, bytes] = {}
    single = _defining_headers(names) | {b"authorization", ATTEMPT_HEADER}
    for name, value in raw:
        if name in single and values.get(name, value) != value:
            raise BadRequest(f"header {name.decode('latin-1')} came twice")
        values[name] = value
    return values


def _defining_headers(names: HeaderNames) -> frozenset[bytes]:
    return frozenset(
        {
            b"host",
            b"content-type",
            names.attempt,
            names.deadline_ms,
            names.session,
            names.model,
            names.prompt_parts,
            names.token_counts,
            names.length_hint,
            names.last_event,
        }
    )


__all__ = [
    "ANONYMOUS",
    "forwarded_headers",
    "MAX_DEADLINE_DIGITS",
    "PROCESS_ENDS",
    "RawHeaders",
    "read_count",
    "read_deadline_s",
    "read_prompt_parts",
    "read_token_counts",
    "read_values",
    "RoutedCall",
]
