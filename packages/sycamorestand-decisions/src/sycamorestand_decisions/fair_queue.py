"""Fair queues of one pool, by priority and then by customer.

The queue implements start-time fair queueing. Each customer has a virtual time
up to which it has been served; every start advances it by the expected service
time divided by the customer's weight. The customer with the lowest virtual
time is next. A customer that was idle joins at the current virtual time, so it
cannot accumulate credit while idle. With a single queue for all customers,
each would get the share of the servers that it asks for rather than the share
that its weight entitles it to.
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
    """A request as admission control sees it.

    ``pool`` is the model version or service that the request needs,
    ``deadline_s`` an absolute time, ``expected_s`` the expected service time
    in seconds, and ``priority`` is "interactive" or "batch".
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

    Removing a request deletes only its id. Its place in the customer's queue
    is dropped when it reaches the head, so a removal needs no search.
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
        """Number of waiting requests."""
        return len(self._tickets)

    def count(self, customer: str, priority: str) -> int:
        """Return the number of waiting requests of a customer and priority."""
        flow = self._classes[priority].flows.get(customer)
        return 0 if flow is None else flow.count

    def work_before_s(self, ticket: Ticket) -> float:
        """Return the expected service time that precedes a new request.

        The request is due when the virtual time reaches that of its customer,
        including the customer's own waiting work. Until then the other
        customers are served in proportion to their weights.
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
        """Queue a request that must start by ``latest_s``."""
        self._tickets[ticket.ticket_id] = ticket
        self._latest_s[ticket.ticket_id] = latest_s
        heapq.heappush(self._by_latest, (latest_s, ticket.ticket_id))
        own = self._classes[ticket.priority]
        if not own.weight:
            # A class without waiting work must not accumulate credit.
            # Otherwise it would take every slot from the other class after a
            # pause.
            own.served = max(c.served for c in self._classes.values())
        own.push(ticket)

    def charge(self, ticket: Ticket) -> None:
        """Charge a request that started without waiting to its customer."""
        self._classes[ticket.priority].charge(ticket)

    def pop(self) -> Ticket | None:
        """Remove and return the request that is due next."""
        waiting = [c for c in self._classes.values() if c.weight > 0]
        for chosen in sorted(waiting, key=_served_for_share):
            ticket = chosen.pop(self._tickets)
            if ticket is not None:
                self._forget(ticket.ticket_id)
                return ticket
        return None

    def remove(self, ticket_id: int) -> None:
        """Remove a waiting request; an unknown id is ignored."""
        ticket = self._tickets.get(ticket_id)
        if ticket is not None:
            self._classes[ticket.priority].drop(ticket)
            self._forget(ticket_id)

    def overdue(self, now_s: float) -> list[Ticket]:
        """Return the requests whose latest start has passed, each one once."""
        late: list[Ticket] = []
        while self._by_latest and self._by_latest[0][0] < now_s:
            _, ticket_id = heapq.heappop(self._by_latest)
            ticket = self._tickets.get(ticket_id)
            if ticket is not None:
                late.append(ticket)
        return late

    def iter_waiting(self) -> Iterator[tuple[Ticket, float, float]]:
        """Yield each request, the service time before it, its latest start."""
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
        """Return the share of the starts that a priority class gets now."""
        active = [c.share for c in self._classes.values() if c.weight > 0]
        total = sum(active) + (0.0 if own.weight > 0 else own.share)
        return own.share / total

    def _forget(self, ticket_id: int) -> None:
        self._tickets.pop(ticket_id, None)
        self._latest_s.pop(ticket_id, None)


class _Flow:
    """The waiting requests of one customer in one priority class."""

    def __init__(self, virtual_s: float) -> None:
        self.tickets: deque[Ticket] = deque()
        self.virtual_s = virtual_s
        self.waiting_s = 0.0
        self.weight = 0.0
        self.count = 0


class _PriorityClass:
    """The customers of one priority, ordered by their virtual times."""

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
        # The virtual time must also advance while no request waits. Otherwise,
        # when a queue forms, a customer would be kept back for as long as it
        # had used the idle pool.
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
