"""Log of the routing decisions of one request, in their order.

With a request's id and the log an engineer can tell why the request was
refused, late or cut off. Each decision carries its inputs and their age.
A successful request writes one line with a summary of its decisions; any
other request also writes a line for each decision. The lines are written
when the request ends, so that logging delays no attempt.
"""

from __future__ import annotations

import logging
import time
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sycamorestand_model.routes import Route

LOG: Final = logging.getLogger(__name__)
# A request makes few attempts. The bound limits memory if a fault makes it
# decide endlessly; the first decisions are kept, as they show the cause.
MAX_DECISIONS: Final = 32
MS: Final = 1000
PLACE_DIGITS: Final = 6
# Callers choose the parts of their prompts and the names of these.
MAX_LOGGED_PARTS: Final = 8
MAX_PART_CHARACTERS: Final = 32
# The entry forwards a server's 5xx answer unchanged, but logs the request
# as failed, since the caller got no usable answer.
FAILED_STATUS: Final = 500


class Held(NamedTuple):
    """The request waited while the entry was starting.

    ``missing`` is ``lease`` or ``server``.
    """

    missing: str
    waited_ms: int


class Admitted(NamedTuple):
    """Admission control gave the request a slot of a service or version.

    ``priority`` is the urgency level of the request (`UrgencyLevels`).
    """

    target: str
    waited_ms: int
    priority: int


class NotAdmitted(NamedTuple):
    """Admission control refused the request a slot; it has not run.

    ``rule`` is ``too_long`` (the time in a slot is longer than what is left),
    ``no_server``, ``queue_full``, ``wait`` (the expected wait is too long) or
    ``overtaken`` (it waited until it could no longer end in time).
    ``expected`` and ``limit`` are those of `Refused`, in seconds, or in
    requests for ``queue_full``. ``priority`` is the urgency level of the
    request (`UrgencyLevels`). ``waiting`` requests waited, and ``left_s`` were
    left to the deadline.
    """

    target: str
    priority: int
    rule: str
    waiting: int
    expected: float
    limit: float
    left_s: float


class Sent(NamedTuple):
    """The request was written to a server.

    ``own_running`` counts the requests of this entry that run on the
    server, ``reported`` those of all entries as the server reported them
    ``report_age_ms`` ago. ``rank`` is the request's scheduling rank at the
    engine, 0 first.
    """

    target: str
    server: str
    model: str
    servers_known: int
    own_running: int
    reported: int
    report_age_ms: int
    rank: int
    after_event: str


class Forwarded(NamedTuple):
    """The request was sent to another entry, which forwards it.

    This entry reaches no server of the target.
    """

    target: str
    entry: str
    model: str


class NotForwarded(NamedTuple):
    """Another entry does not forward the request."""

    entry: str
    reason: str


class ForwardedFor(NamedTuple):
    """The request is forwarded for another entry, at this event of it."""

    target: str
    after_event: str


class NotReached(NamedTuple):
    """A connection to the server could not be opened."""

    server: str


class NotRepeated(NamedTuple):
    """The request is not retried at another server."""

    reason: str


class NotImproved(NamedTuple):
    """The request is not sent to a larger model or a faster server.

    ``wish`` is ``climb`` for a larger model or ``move`` for another server.
    ``bound`` is the limit that forbids it, such as ``arrivals_kept``: the
    rest of the arrival budget is reserved for requests without an answer and
    for improvements that are worth more; ``urgent_waiting``: requests without
    an answer wait for an arrival at this moment. ``left`` is that rest,
    ``most`` what the entry may keep, and ``reserve`` the share of ``most``
    above one arrival that this improvement must leave. ``strain`` is that of
    an escalation, as in `Climbed`.
    """

    wish: str
    bound: str
    left: float
    most: float
    reserve: float
    strain: float


class ArrivalDenied(NamedTuple):
    """The entry's share of the arrival budget allows no further attempt.

    ``entries`` is the number of entries that the share was computed for,
    ``first`` the number of requests first sent to the service within the
    window. ``left`` is the remaining budget, in arrivals, and ``most`` the
    largest budget that the entry may hold.
    """

    service: str
    entries: int
    first: int
    left: float
    most: float


class AttemptEnded(NamedTuple):
    """An attempt ended; ``reason`` is empty if its answer was used.

    ``events`` counts the events of a stream that came from the server.
    ``rest_ms`` is the rest that the server asked for, 0 if none, and
    ``says_leaving`` whether the server said that it leaves.
    """

    server: str
    outcome: str
    status: int
    first_byte_ms: int
    reason: str
    events: int = 0
    rest_ms: int = 0
    says_leaving: bool = False


class PartRefused(NamedTuple):
    """Servers have ended under requests with this part of the prompt.

    The part is blocked since ``revision``; the audit trail has the servers.
    ``trials`` are the requests with it that were let through since.
    """

    part: str
    revision: int
    trials: int


class Climbed(NamedTuple):
    """The answer was dropped and a larger model is asked.

    ``strain`` is the queue delay at the servers as a fraction of the
    route's target latency, weighted by the work of the escalation.
    """

    model: str
    confidence: int
    strain: float


class FellBack(NamedTuple):
    """The request falls back to the model and server that answer soonest.

    The attempt at ``server`` was abandoned for that, after the caller had
    received nothing for ``silent_ms``.
    """

    server: str
    silent_ms: int


class MovedOn(NamedTuple):
    """The attempt at a slow server was abandoned for another server.

    ``overtaken`` is true if the server had answered requests that were
    sent later, ``working`` if it was answering requests in their order.
    """

    server: str
    waited_ms: int
    overtaken: bool
    working: bool


Decision = (
    Held
    | Admitted
    | NotAdmitted
    | Sent
    | Forwarded
    | NotForwarded
    | ForwardedFor
    | NotReached
    | NotRepeated
    | NotImproved
    | ArrivalDenied
    | AttemptEnded
    | PartRefused
    | Climbed
    | FellBack
    | MovedOn
)


class DecisionLog:
    """Collect the decisions about one request; `write` logs them.

    ``place`` is the hash, from 0 to 1, that selects the request's version;
    it is the same for all requests of a session.
    """

    def __init__(self) -> None:
        self.request = ""
        self.customer = ""
        self.route: Route | None = None
        self.revision = 0
        self.lease_ms = 0
        self.prompt_tokens = 0
        self.max_answer_tokens = 0
        self.length_hint = 0
        self.shared_parts: tuple[str, ...] = ()
        self.events = 0
        self.place = 0.0
        self.in_session = False
        self.first_byte_ms = -1
        self.longest_pause_ms = 0
        self._last_events_ms = -1
        self._received_s = time.monotonic()
        self._decisions: list[tuple[int, Decision]] = []

    def add(self, decision: Decision) -> None:
        """Record a decision with the time since the request came in."""
        if len(self._decisions) < MAX_DECISIONS:
            self._decisions.append((self.elapsed_ms(), decision))

    def elapsed_ms(self) -> int:
        """Return the milliseconds since the request came in."""
        return int((time.monotonic() - self._received_s) * MS)

    def silent_ms(self) -> int:
        """Return the milliseconds since the caller last received events.

        Before the first events, count from the time the request came in.
        """
        return self.elapsed_ms() - max(0, self._last_events_ms)

    def record_first_byte(self) -> None:
        """Record that the caller gets the first part of its answer."""
        if self.first_byte_ms < 0:
            self.first_byte_ms = self.elapsed_ms()

    def record_events(self, count: int) -> None:
        """Record that whole events of a stream went to the caller."""
        self.events += count
        now_ms = self.elapsed_ms()
        if self._last_events_ms >= 0:
            pause_ms = now_ms - self._last_events_ms
            self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
        self._last_events_ms = now_ms

    def is_late(self) -> bool:
        """Return whether the answer missed a latency target of its route.

        The targets bound the time to the first byte and the longest pause
        between events. A long pause, such as when another server resumes
        the stream of a lost one, delays the caller as a late start does.
        """
        route = self.route
        if route is None or self.first_byte_ms < 0:
            return False
        if self.first_byte_ms > route.target_latency_ms:
            return True
        return 0 < route.gap_target_ms < self.longest_pause_ms

    def write(self, result: str, status: int, detail: dict[str, Any]) -> None:
        """Log the request, with its decisions if it failed or was late.

        ``result`` is ``ok`` or the code of the error. ``detail`` adds
        fields to the request's line.
        """
        succeeded = result == "ok" and status < FAILED_STATUS
        succeeded = succeeded and not self.is_late()
        if not succeeded:
            self._write_decisions()
        fields = {
            "request": self.request,
            "customer": self.customer,
            "route": self.route.name if self.route else "",
            "result": result,
            "status": status,
            "late": self.is_late(),
            "took_ms": self.elapsed_ms(),
            "first_byte_ms": self.first_byte_ms,
            "longest_pause_ms": self.longest_pause_ms,
            "prompt_tokens": self.prompt_tokens,
            "max_answer_tokens": self.max_answer_tokens,
            "length_hint": self.length_hint,
            "shared_parts": self._logged_parts(),
            "events": self.events,
            "in_session": self.in_session,
            "place": round(self.place, PLACE_DIGITS),
            "revision": self.revision,
            "lease_ms": self.lease_ms,
            "path": " ".join(_summary(d) for _, d in self._decisions),
            "expendable": succeeded,
            **detail,
        }
        LOG.log(
            logging.INFO if succeeded else logging.WARNING,
            "request ended",
            extra=fields,
        )

    def _logged_parts(self) -> str:
        parts = self.shared_parts[:MAX_LOGGED_PARTS]
        return ",".join(part[:MAX_PART_CHARACTERS] for part in parts)

    def _write_decisions(self) -> None:
        for number, (after_ms, decision) in enumerate(self._decisions):
            extra = {
                "request": self.request,
                "number": number,
                "after_ms": after_ms,
                "decision": type(decision).__name__,
                **decision._asdict(),
            }
            LOG.info("request decision", extra=extra)


def _summary(decision: Decision) -> str:
    if isinstance(decision, Sent):
        return f"{decision.server}/{decision.model or '-'}"
    if isinstance(decision, Forwarded):
        return f"{decision.entry}/{decision.model or '-'}"
    if isinstance(decision, AttemptEnded):
        return decision.outcome
    if isinstance(decision, NotAdmitted):
        return f"not-admitted:{decision.rule}"
    if isinstance(decision, NotImproved):
        return f"no-{decision.wish}:{decision.bound}"
    return type(decision).__name__


__all__ = [
    "Admitted",
    "ArrivalDenied",
    "AttemptEnded",
    "Climbed",
    "Decision",
    "DecisionLog",
    "FellBack",
    "Forwarded",
    "ForwardedFor",
    "Held",
    "MAX_DECISIONS",
    "MovedOn",
    "NotAdmitted",
    "NotForwarded",
    "NotImproved",
    "NotReached",
    "NotRepeated",
    "PartRefused",
    "Sent",
]
