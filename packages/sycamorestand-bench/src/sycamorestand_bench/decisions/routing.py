"""Entries that route a workload to model servers on a virtual clock.

`ProductEntry` uses the product's decision code. `BaselineEntry` forwards
every request immediately to the server that a baseline rule chooses.
"""

from __future__ import annotations

from functools import partial
from random import Random
from typing import Final
from typing import NamedTuple
from typing import Protocol
from typing import TYPE_CHECKING

from sycamorestand_bench.decisions.queue_model import Listener
from sycamorestand_bench.decisions.queue_model import Work
from sycamorestand_decisions.admission import Admission
from sycamorestand_decisions.admission import Refused
from sycamorestand_decisions.admission import Started
from sycamorestand_decisions.admission import Ticket
from sycamorestand_decisions.retry import RetryBudget
from sycamorestand_decisions.selection import Candidate
from sycamorestand_decisions.selection import ServerSelector

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from sycamorestand_bench.decisions.clock import VirtualClock
    from sycamorestand_bench.decisions.queue_model import ModelServer
    from sycamorestand_bench.decisions.workload import Request

POOL: Final = "model@1"
TICK_S: Final = 0.1
MAX_ATTEMPTS: Final = 3
FILL_SHARE: Final = 0.75


class Result(NamedTuple):
    """The final outcome of one request, and the time of it."""

    request: Request
    outcome: str
    ended_s: float

    @property
    def latency_s(self) -> float:
        """Time from the arrival to the final outcome."""
        return self.ended_s - self.request.arrival_s


class Pool(Protocol):
    """The servers, and the candidates that entries see.

    Candidates are built from load reports, which arrive late.
    """

    servers: dict[str, ModelServer]

    def candidates(self, now_s: float) -> Sequence[Candidate]: ...


class RequestState:
    """The state of one request in an entry.

    ``tried`` names the servers that failed it, ``number`` counts its
    attempts, and ``server`` and ``sent_s`` belong to the latest attempt.
    """

    def __init__(self, request: Request) -> None:
        self.request = request
        self.tried: frozenset[str] = frozenset()
        self.server = ""
        self.sent_s = 0.0
        self.number = 0
        self.ended = False


class BaselineEntry:
    """Sends each request immediately to the server that a rule chooses."""

    def __init__(
        self,
        clock: VirtualClock,
        pool: Pool,
        results: list[Result],
        choose: Callable[[Sequence[Candidate]], str],
    ) -> None:
        self.clock = clock
        self.pool = pool
        self.results = results
        self._choose = choose

    @property
    def waiting(self) -> int:
        """Number of waiting requests; always zero, as none is queued."""
        return 0

    def arrive(self, request: Request) -> None:
        """Send a new request to a server."""
        state = RequestState(request)
        self.clock.call_at(request.deadline_s, partial(self._time_out, state))
        self.send(state)

    def tick(self) -> None:
        """Do nothing; subclasses do their periodic work here."""

    def send(self, state: RequestState) -> None:
        """Start an attempt on the chosen server; without one, fail."""
        name = self.choose(state)
        if name is None:
            self.end(state, "failed")
            return
        state.server = name
        state.sent_s = self.clock.now_s
        state.number += 1
        number = state.number
        request = state.request
        self.on_sent(state)
        self.pool.servers[name].submit(
            Work(
                request.request_id,
                request.input_tokens,
                request.output_tokens,
                request.prefix,
            ),
            Listener(
                partial(self._first_byte, state, number),
                partial(self._finished, state, number),
            ),
        )

    def choose(self, state: RequestState) -> str | None:
        """Return the name of the server for an attempt, or None."""
        return self._choose(self.pool.candidates(self.clock.now_s))

    def on_sent(self, state: RequestState) -> None:
        """Handle the start of an attempt; does nothing here."""

    def on_first_byte(self, state: RequestState) -> None:
        """Handle the first byte of an attempt; does nothing here."""

    def on_finished(self, state: RequestState, outcome: str) -> None:
        """Handle the end of an attempt; does nothing here."""

    def may_retry(self, state: RequestState) -> bool:
        """Return whether a failed attempt may be retried; always true."""
        return True

    def end(self, state: RequestState, outcome: str) -> None:
        """Record the final outcome of a request."""
        state.ended = True
        self.results.append(Result(state.request, outcome, self.clock.now_s))

    def _first_byte(self, state: RequestState, number: int) -> None:
        if not state.ended and number == state.number:
            self.on_first_byte(state)

    def _finished(
        self, state: RequestState, number: int, succeeded: bool
    ) -> None:
        if state.ended or number != state.number:
            return
        if succeeded:
            self.on_finished(state, "ok")
            self.end(state, "ok")
            return
        self.on_finished(state, "error")
        state.tried |= {state.server}
        if state.number < MAX_ATTEMPTS and self.may_retry(state):
            self.send(state)
        else:
            self.end(state, "failed")

    def _time_out(self, state: RequestState) -> None:
        if state.ended:
            return
        if state.number:
            server = self.pool.servers[state.server]
            server.cancel(state.request.request_id)
            self.on_finished(state, "timeout")
        self.end(state, "late")


class ProductEntry(BaselineEntry):
    """Routes with the product's admission, selection and retries."""

    def __init__(
        self,
        clock: VirtualClock,
        pool: Pool,
        results: list[Result],
        random: Random,
        entries: int,
    ) -> None:
        super().__init__(clock, pool, results, lambda _: "")
        self.admission = Admission()
        self.selector = ServerSelector(random)
        self.retries = RetryBudget()
        self._waiting: dict[int, RequestState] = {}
        self._entries = entries
        self.tick()

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def arrive(self, request: Request) -> None:
        """Offer a new request to admission control."""
        state = RequestState(request)
        ticket = Ticket(
            ticket_id=request.request_id,
            customer=request.customer,
            weight=1.0,
            pool=POOL,
            priority=request.priority,
            deadline_s=request.deadline_s,
            expected_s=request.expected_s,
        )
        answer = self.admission.offer(ticket, self.clock.now_s)
        if isinstance(answer, Refused):
            self.end(state, "refused")
            return
        self.clock.call_at(request.deadline_s, partial(self._time_out, state))
        if isinstance(answer, Started):
            self.send(state)
        else:
            self._waiting[request.request_id] = state

    def tick(self) -> None:
        """Update the pool's capacity, and refuse or start waiting requests.

        Admission control decides which requests cannot start in time for
        their deadline and which can start now.
        """
        now_s = self.clock.now_s
        candidates = self.pool.candidates(now_s)
        slots = self.selector.capacity(candidates, now_s)
        self.admission.set_capacity(POOL, slots)
        for ticket, _ in self.admission.expire(now_s):
            state = self._waiting.pop(ticket.ticket_id)
            self.end(state, "refused")
        self._start_ready()

    def choose(self, state: RequestState) -> str | None:
        """Return the selector's choice among the servers not yet tried."""
        now_s = self.clock.now_s
        return self.selector.choose(
            self.pool.candidates(now_s),
            now_s,
            state.request.prefix,
            state.tried,
        )

    def on_sent(self, state: RequestState) -> None:
        """Record the start of the attempt in the selector."""
        self.selector.record_start(state.server, self.clock.now_s)

    def on_first_byte(self, state: RequestState) -> None:
        """Record the latency of the first byte in the selector."""
        now_s = self.clock.now_s
        latency_s = now_s - state.sent_s
        self.selector.record_first_byte(state.server, now_s, latency_s)

    def on_finished(self, state: RequestState, outcome: str) -> None:
        """Record the outcome in the selector and the retry budget."""
        now_s = self.clock.now_s
        latency_s = now_s - state.sent_s
        self.selector.record_finish(
            state.server,
            now_s,
            latency_s,
            outcome,  # type: ignore[arg-type]
        )
        if outcome == "ok":
            self.retries.record_success(state.request.customer, now_s)

    def may_retry(self, state: RequestState) -> bool:
        """Return whether the customer's retry budget allows a retry."""
        customer = state.request.customer
        return self.retries.spend_retry(customer, self.clock.now_s, "error")

    def end(self, state: RequestState, outcome: str) -> None:
        """Record the final outcome and free the request's slot."""
        super().end(state, outcome)
        request_id = state.request.request_id
        if outcome == "refused":
            return
        if state.number:
            now_s = self.clock.now_s
            latency_s = now_s - state.sent_s
            failed = outcome != "ok"
            self.admission.finish(request_id, now_s, latency_s, failed)
        else:
            self.admission.cancel(request_id, self.clock.now_s)
        self._waiting.pop(request_id, None)
        self._start_ready()

    def _start_ready(self) -> None:
        for ticket in self.admission.start_ready(self.clock.now_s):
            self.send(self._waiting.pop(ticket.ticket_id))


class ConcentratingEntry(ProductEntry):
    """Product entry that fills one server before it uses the next.

    Section 9 of the paper advises concentrating the traffic of one model.
    This entry follows that advice, for comparison with spreading the traffic.
    """

    def choose(self, state: RequestState) -> str | None:
        """Return the first untried server below its fill level.

        If no server is below it, the selector chooses.
        """
        now_s = self.clock.now_s
        known = self.selector.metrics(now_s)
        for candidate in self.pool.candidates(now_s):
            server_metrics = known.get(candidate.name)
            if candidate.name in state.tried:
                continue
            # All entries fill the same servers, each entry an equal part.
            filled = FILL_SHARE * candidate.capacity / self._entries
            if server_metrics is None or server_metrics.in_flight < filled:
                return candidate.name
        return super().choose(state)


__all__ = [
    "BaselineEntry",
    "ConcentratingEntry",
    "Pool",
    "ProductEntry",
    "Result",
    "TICK_S",
]
