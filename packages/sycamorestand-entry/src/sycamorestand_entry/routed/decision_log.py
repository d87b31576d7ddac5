"""What was decided about one request, in the order of the decisions.

An engineer who has a request's id and the logs can tell from these lines
why it was refused, late or cut. Each decision carries the inputs that it
was made on and their age. A request that went well costs one line, with
its decisions in short; any other has a line for each decision as well.
Lines are written when the request ends, so nothing waits for them.
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
# Attempts are few; a fault that makes a request decide without end must not
# fill the memory. The first ones tell the cause.
MAX_DECISIONS: Final = 32
MS: Final = 1000
PLACE_DIGITS: Final = 6
# A server's own failure is passed on as it is; the caller has no answer.
FAILED_STATUS: Final = 500


class Held(NamedTuple):
    """The request waited for an entry that was starting."""

    missing: str
    waited_ms: int


class Admitted(NamedTuple):
    """Admission gave it a slot of this service or version."""

    target: str
    waited_ms: int


class Sent(NamedTuple):
    """It was written to a server.

    ``own_running`` are this entry's requests there, ``reported`` those of
    all entries as the server told them ``report_age_ms`` ago; ``rank`` is
    its place in the order in which an engine reads.
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


class NotReached(NamedTuple):
    """No connection to a server could be made."""

    server: str


class NotRepeated(NamedTuple):
    """No other server is asked."""

    reason: str


class NotImproved(NamedTuple):
    """A larger model, or a server that is sooner, is not asked.

    ``wish`` is ``climb`` or ``move``; ``bound`` is what is in its way, such
    as ``arrivals_kept``: what is left is for requests without an answer.
    """

    wish: str
    bound: str


class ArrivalDenied(NamedTuple):
    """No other server is asked: the entry's share of arrivals is spent.

    ``entries`` is how many entries it took itself to be one of, ``first``
    how many requests it sent to the service in the window; it has ``left``
    a part of an arrival, of ``most`` that it may keep.
    """

    service: str
    entries: int
    first: int
    left: float
    most: float


class AttemptEnded(NamedTuple):
    """An attempt is over; ``reason`` is empty where the answer is used."""

    server: str
    outcome: str
    status: int
    first_byte_ms: int
    reason: str


class Climbed(NamedTuple):
    """The answer was dropped for a larger model's.

    ``strain`` is the wait at the servers as a share of the route's aim.
    """

    model: str
    confidence: int
    strain: float


class FellBack(NamedTuple):
    """Another server is asked for whatever can be had soonest.

    The caller had seen nothing for ``silent_ms``.
    """

    server: str
    silent_ms: int


class MovedOn(NamedTuple):
    """A server that kept the request waiting was left for another.

    ``overtaken``: it had answered later requests. ``working``: it was
    answering others in their turn.
    """

    server: str
    waited_ms: int
    overtaken: bool
    working: bool


Decision = (
    Held
    | Admitted
    | Sent
    | NotReached
    | NotRepeated
    | NotImproved
    | ArrivalDenied
    | AttemptEnded
    | Climbed
    | FellBack
    | MovedOn
)


class DecisionLog:
    """The decisions about one request; `ended` writes them.

    ``place`` is what its version is chosen by, the same for all requests
    of a session.
    """

    def __init__(self) -> None:
        self.request = ""
        self.customer = ""
        self.route: Route | None = None
        self.revision = 0
        self.lease_ms = 0
        self.prompt_tokens = 0
        self.place = 0.0
        self.in_session = False
        self.first_byte_ms = -1
        self.longest_pause_ms = 0
        self._passed_on_ms = -1
        self._begun_s = time.monotonic()
        self._decisions: list[tuple[int, Decision]] = []

    def add(self, decision: Decision) -> None:
        """Note a decision with the time since the request was read."""
        if len(self._decisions) < MAX_DECISIONS:
            self._decisions.append((self.elapsed_ms(), decision))

    def elapsed_ms(self) -> int:
        """Return the time since the request was read."""
        return int((time.monotonic() - self._begun_s) * MS)

    def silent_ms(self) -> int:
        """Return for how long the caller has seen nothing new."""
        return self.elapsed_ms() - max(0, self._passed_on_ms)

    def answer_began(self) -> None:
        """Note that the caller gets the first part of its answer."""
        if self.first_byte_ms < 0:
            self.first_byte_ms = self.elapsed_ms()

    def events_passed_on(self) -> None:
        """Note that whole events of a stream went to the caller."""
        now_ms = self.elapsed_ms()
        if self._passed_on_ms >= 0:
            pause_ms = now_ms - self._passed_on_ms
            self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
        self._passed_on_ms = now_ms

    def is_late(self) -> bool:
        """Tell whether the answer began, or paused, beyond its targets.

        A stream that pauses for long, as when its server is lost and
        another goes on with it, is as late for its caller as one that
        begins late.
        """
        route = self.route
        if route is None or self.first_byte_ms < 0:
            return False
        if self.first_byte_ms > route.target_latency_ms:
            return True
        return 0 < route.gap_target_ms < self.longest_pause_ms

    def ended(self, result: str, status: int, detail: dict[str, Any]) -> None:
        """Write the request's line, and more where it went wrong.

        ``result`` is ``ok``, or the code of what went wrong.
        """
        well = result == "ok" and status < FAILED_STATUS
        well = well and not self.is_late()
        if not well:
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
            "in_session": self.in_session,
            "place": round(self.place, PLACE_DIGITS),
            "revision": self.revision,
            "lease_ms": self.lease_ms,
            "path": " ".join(_short(d) for _, d in self._decisions),
            "expendable": well,
            **detail,
        }
        LOG.log(
            logging.INFO if well else logging.WARNING,
            "request ended",
            extra=fields,
        )

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


def _short(decision: Decision) -> str:
    if isinstance(decision, Sent):
        return f"{decision.server}/{decision.model or '-'}"
    if isinstance(decision, AttemptEnded):
        return decision.outcome
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
    "Held",
    "MAX_DECISIONS",
    "MovedOn",
    "NotImproved",
    "NotReached",
    "NotRepeated",
    "Sent",
]
