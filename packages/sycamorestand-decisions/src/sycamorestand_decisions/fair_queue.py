"""Fair queues of one pool: by priority, inside it by customer.

Start-time fair queueing: each customer carries the virtual time up to
which it has been served, which grows by expected service time over weight
with every start. The customer that is furthest behind goes next, and one
that was idle joins at the current virtual time, so that idling saves
nothing up. Without it, one queue for all gives a customer the share of the
servers that it asks for, not the share that it is due.

Shown by ``dev/bench decisions --scenario flood``.
"""

from __future__ import annotations

from collections import deque
import heapq
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

MIN_WEIGHT: Final = 0.001
MIN_COST_S: Final = 0.001


class Ticket(NamedTuple):
    """A request as admission sees it.

    ``pool`` is the model version or service that it wants, ``deadline_s``
    an absolute time, ``expected_s`` its expected time in service, and
    ``priority`` is "interactive" or "batch".
    """

    ticket_id: int
    customer: str
    weight: float
    pool: str
    priority: str
    deadline_s: float
    expected_s: float


class FairQueue:
    """The waiting requests of one pool.

    A removed request is only forgotten by id; its place in a customer's
    queue is dropped when it comes up, so that a removal costs no search.
    """

    def __init__(self, batch_share: float) -> None:
        self._classes = {
            "interactive": _PriorityClass(1.0 - batch_share),
            "batch": _PriorityClass(batch_share),
        }
        self._latest_s: dict[int, float] = {}
        self._tickets: dict[int, Ticket] = {}
        self._by_latest: list[tuple[float, int]] = []

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self._tickets)

    def count(self, customer: str, priority: str) -> int:
        """How many requests of this customer wait."""
        flow = self._classes[priority].flows.get(customer)
        return 0 if flow is None else flow.count

    def work_before_s(self, ticket: Ticket) -> float:
        """Return the service time that goes before a new request.

        The request's turn comes when the virtual time has reached its
        customer's, its own waiting work included; until then the others
        are served in proportion to their weights.
        """
        own = self._classes[ticket.priority]
        flow = own.flows.get(ticket.customer)
        if flow is None:
            return 0.0
        weight = own.weight if flow.count else own.weight + ticket.weight
        own_s = flow.waiting_s / max(ticket.weight, MIN_WEIGHT)
        ahead = max(0.0, flow.virtual_s - own.virtual_s) + own_s
        return ahead * weight / self._share(own)

    def push(self, ticket: Ticket, latest_s: float) -> None:
        """Let a request wait, at most until ``latest_s``."""
        self._tickets[ticket.ticket_id] = ticket
        self._latest_s[ticket.ticket_id] = latest_s
        heapq.heappush(self._by_latest, (latest_s, ticket.ticket_id))
        own = self._classes[ticket.priority]
        if not own.weight:
            # A class without waiting work must not save up service: back
            # from a pause it would shut the other class out.
            own.served = max(c.served for c in self._classes.values())
        own.push(ticket)

    def charge(self, ticket: Ticket) -> None:
        """Account for a request that started without waiting."""
        self._classes[ticket.priority].charge(ticket)

    def pop(self) -> Ticket | None:
        """Take out the request that is due next."""
        waiting = [c for c in self._classes.values() if c.weight > 0]
        for chosen in sorted(waiting, key=_served_for_share):
            ticket = chosen.pop(self._tickets)
            if ticket is not None:
                self._forget(ticket.ticket_id)
                return ticket
        return None

    def remove(self, ticket_id: int) -> None:
        """Forget a waiting request."""
        ticket = self._tickets.get(ticket_id)
        if ticket is not None:
            self._classes[ticket.priority].drop(ticket)
            self._forget(ticket_id)

    def overdue(self, now_s: float) -> list[Ticket]:
        """Return the requests whose latest start has passed."""
        late: list[Ticket] = []
        while self._by_latest and self._by_latest[0][0] < now_s:
            _, ticket_id = heapq.heappop(self._by_latest)
            ticket = self._tickets.get(ticket_id)
            if ticket is not None:
                late.append(ticket)
        return late

    def iter_waiting(self) -> Iterator[tuple[Ticket, float, float]]:
        """Yield each request, the work before it, its latest start."""
        for own in self._classes.values():
            rate = own.weight / self._share(own)
            for flow in own.flows.values():
                ahead = max(0.0, flow.virtual_s - own.virtual_s)
                for ticket in flow.tickets:
                    if ticket.ticket_id in self._tickets:
                        latest_s = self._latest_s[ticket.ticket_id]
                        yield ticket, ahead * rate, latest_s
                        ahead += _cost_s(ticket)

    def _share(self, own: _PriorityClass) -> float:
        """Return the part of the starts that a priority gets now."""
        active = [c.share for c in self._classes.values() if c.weight > 0]
        total = sum(active) + (0.0 if own.weight > 0 else own.share)
        return own.share / total

    def _forget(self, ticket_id: int) -> None:
        self._tickets.pop(ticket_id, None)
        self._latest_s.pop(ticket_id, None)


class _Flow:
    """What one customer has waiting in one priority class."""

    def __init__(self, virtual_s: float) -> None:
        self.tickets: deque[Ticket] = deque()
        self.virtual_s = virtual_s
        self.waiting_s = 0.0
        self.weight = 0.0
        self.count = 0


class _PriorityClass:
    """The customers of one priority, and which of them is due."""

    def __init__(self, share: float) -> None:
        self.share = share
        self.served = 0.0
        self.virtual_s = 0.0
        self.weight = 0.0
        self.flows: dict[str, _Flow] = {}
        self._order: list[tuple[float, str]] = []

    def push(self, ticket: Ticket) -> None:
        flow = self._flow(ticket.customer)
        if not flow.count:
            flow.weight = ticket.weight
            self.weight += ticket.weight
            flow.virtual_s = max(flow.virtual_s, self.virtual_s)
            heapq.heappush(self._order, (flow.virtual_s, ticket.customer))
        flow.tickets.append(ticket)
        flow.count += 1
        flow.waiting_s += ticket.expected_s

    def charge(self, ticket: Ticket) -> None:
        flow = self._flow(ticket.customer)
        start_s = max(flow.virtual_s, self.virtual_s)
        flow.virtual_s = start_s + _cost_s(ticket)
        # Also while nothing waits: else what a customer used of an idle
        # pool would be held against it when a queue forms, for as long.
        self.virtual_s = start_s
        self.served += ticket.expected_s / self.share

    def pop(self, waiting: dict[int, Ticket]) -> Ticket | None:
        while self._order:
            virtual_s, customer = heapq.heappop(self._order)
            flow = self.flows[customer]
            if not flow.count or virtual_s != flow.virtual_s:
                continue
            ticket = _pop_waiting(flow, waiting)
            if ticket is None:
                continue
            self.charge(ticket)
            self.drop(ticket)
            if flow.count:
                heapq.heappush(self._order, (flow.virtual_s, customer))
            return ticket
        return None

    def drop(self, ticket: Ticket) -> None:
        flow = self.flows[ticket.customer]
        flow.count -= 1
        flow.waiting_s = max(0.0, flow.waiting_s - ticket.expected_s)
        if not flow.count:
            flow.tickets.clear()
            flow.waiting_s = 0.0
            self.weight -= flow.weight
            if self.weight < MIN_WEIGHT / 2:
                self.weight = 0.0

    def _flow(self, customer: str) -> _Flow:
        flow = self.flows.get(customer)
        if flow is None:
            flow = self.flows[customer] = _Flow(self.virtual_s)
        return flow


def _pop_waiting(flow: _Flow, waiting: dict[int, Ticket]) -> Ticket | None:
    while flow.tickets:
        ticket = flow.tickets.popleft()
        if ticket.ticket_id in waiting:
            return ticket
    return None


def _cost_s(ticket: Ticket) -> float:
    weight = max(ticket.weight, MIN_WEIGHT)
    return max(ticket.expected_s, MIN_COST_S) / weight


def _served_for_share(priority: _PriorityClass) -> float:
    return priority.served


__all__ = ["FairQueue", "Ticket"]
