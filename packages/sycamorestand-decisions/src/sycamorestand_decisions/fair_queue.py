"""Fair queues of one pool, by priority, customer and delay cost.

The queue implements start-time fair queueing among customers. Each customer
has a virtual time up to which it has been served; every start advances it by
the expected service time divided by the customer's weight. The customer with
the lowest virtual time is next. A customer that was idle joins at the current
virtual time, so it cannot accumulate credit while idle. With a single queue
for all customers, each would get the share of the servers that it asks for
rather than the share that its weight entitles it to. In a customer's turn its
request with the highest delay cost starts (`waiting_cost`).

The classes are the priorities of the tickets, 0 the highest. The highest class
that waits starts first, apart from a share of the starts that is kept for all
lower classes together while they wait; among these the same rule holds. A
class that got fewer of its requests started than `FLOOR_SHARE` of the share of
all requests since the queue was last empty comes first, because the kept share
can be too little where a lower class has much of the load.
"""

from __future__ import annotations

import heapq
import math
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_decisions.waiting_cost import AGED_WORK_SHARE
from sycamorestand_decisions.waiting_cost import costliest
from sycamorestand_decisions.waiting_cost import known_priority
from sycamorestand_decisions.waiting_cost import next_aged
from sycamorestand_decisions.waiting_cost import Urgency

if TYPE_CHECKING:
    from collections.abc import Iterator

MIN_WEIGHT: Final = 0.001
MIN_COST_S: Final = 0.001
# A class must be served at least a quarter as often as all requests; starts
# are whole and some started requests are late, so the floor is higher.
FLOOR_SHARE: Final = 0.3
# Above this number of offers, all counts are halved, so that a queue that is
# never empty follows the load of the last seconds.
MAX_COUNTED: Final = 1024


class Ticket(NamedTuple):
    """A request as admission control sees it.

    ``pool`` is the model version or service that the request needs.
    ``priority`` is 0 to 9, 0 the highest; for a routed call it is the level of
    `UrgencyLevels`. ``deadline_s`` and ``target_at_s``
    are absolute times; the latter is the latency target, 0 if there is none.
    ``expected_s`` is the expected time in a slot, of which ``begin_s`` passes
    before what the target bounds. A request that is repeated has the ``key``
    of the one before.
    """

    ticket_id: int
    customer: str
    weight: float
    pool: str
    priority: int
    deadline_s: float
    expected_s: float
    target_at_s: float = 0.0
    begin_s: float = 0.0
    key: str = ""

    def urgency(self, now_s: float, can_be_early: bool = True) -> Urgency:
        """Return the urgency of the request if it begins to wait now.

        Without ``can_be_early`` it counts as one that has missed its target.
        """
        start_by_s = math.inf
        if self.target_at_s:
            start_by_s = self.target_at_s - self.begin_s
        if not can_be_early:
            start_by_s = min(start_by_s, now_s - MIN_COST_S)
        return Urgency(
            known_priority(self.priority),
            now_s,
            start_by_s,
            self.deadline_s,
            self.expected_s,
        )


class FairQueue:
    """The waiting requests of one pool.

    ``lower_share`` is the share of the starts kept for lower classes.
    """

    def __init__(self, lower_share: float) -> None:
        self._lower_share = lower_share
        self._classes: dict[int, _PriorityClass] = {}
        self._latest_s: dict[int, float] = {}
        self._tickets: dict[int, Ticket] = {}
        self._by_latest: list[tuple[float, int]] = []

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._tickets)

    def count(self, customer: str, priority: int) -> int:
        """Return the number of waiting requests of a customer and priority."""
        flow = self._class(priority).flows.get(customer)
        return 0 if flow is None else len(flow.waiting)

    def record_offer(self, priority: int) -> None:
        """Count a new request, which may be refused, for its class."""
        if not self._tickets:
            for each in self._classes.values():
                each.offered = each.started = 0.0
        self._class(priority).offered += 1.0
        if sum(c.offered for c in self._classes.values()) > MAX_COUNTED:
            for each in self._classes.values():
                each.offered /= 2
                each.started /= 2

    def work_before_s(self, ticket: Ticket, urgency: Urgency) -> float:
        """Return the expected service time that precedes a new request.

        The request is due when the virtual time reaches that of its customer,
        including the customer's waiting work of a higher delay cost. Until
        then the other customers are served in proportion to their weights, and
        the higher classes before them, but for the kept share.
        """
        own = self._class(ticket.priority)
        flow = own.flows.get(ticket.customer)
        if flow is None:
            return self._ahead(own).work_before_s(0.0, ticket.expected_s)
        weight = own.weight if flow.waiting else own.weight + ticket.weight
        own_s = flow.work_before_s(urgency)
        own_s /= max(ticket.weight, MIN_WEIGHT)
        ahead = max(0.0, flow.virtual_s - own.virtual_s) + own_s
        before_s = ahead * weight
        return self._ahead(own).work_before_s(before_s, ticket.expected_s)

    def push(self, ticket: Ticket, urgency: Urgency, latest_s: float) -> None:
        """Queue a request that must start by ``latest_s``."""
        self._tickets[ticket.ticket_id] = ticket
        self._latest_s[ticket.ticket_id] = latest_s
        heapq.heappush(self._by_latest, (latest_s, ticket.ticket_id))
        own = self._class(ticket.priority)
        if not own.flows_waiting:
            # A class without waiting work must not accumulate credit.
            # Otherwise it would take every slot from the others after a pause.
            own.credit_s = 0.0
            waiting = self._waiting_classes()
            for higher in waiting:
                if higher.priority < own.priority and not any(
                    c.priority > higher.priority for c in waiting
                ):
                    higher.credit_s = min(higher.credit_s, 0.0)
        own.push(ticket, urgency)

    def charge(self, ticket: Ticket) -> None:
        """Charge a request that started without waiting to its customer."""
        self._class(ticket.priority).charge(ticket)

    def pop(self, now_s: float) -> Ticket | None:
        """Remove and return the request that is due next."""
        waiting = self._waiting_classes()
        if not waiting:
            return None
        chosen = self._neglected(waiting) or self._choose(waiting)
        ticket = chosen.pop(self._tickets, now_s)
        self._forget(ticket.ticket_id)
        self._credit(waiting, chosen, ticket.expected_s)
        return ticket

    def remove(self, ticket_id: int) -> None:
        """Remove a waiting request; an unknown id is ignored."""
        ticket = self._tickets.get(ticket_id)
        if ticket is not None:
            self._class(ticket.priority).drop(ticket)
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

    def iter_waiting(
        self, now_s: float
    ) -> Iterator[tuple[Ticket, float, float]]:
        """Yield each request, the service time before it, its latest start."""
        for own in self._waiting_classes():
            others = self._ahead(own)
            for flow in own.flows.values():
                ahead = max(0.0, flow.virtual_s - own.virtual_s)
                for ticket_id in flow.in_order(now_s):
                    ticket = self._tickets[ticket_id]
                    before_s = others.work_before_s(
                        ahead * own.weight, ticket.expected_s
                    )
                    yield ticket, before_s, self._latest_s[ticket_id]
                    ahead += _cost_s(ticket)

    def _class(self, priority: int) -> _PriorityClass:
        number = known_priority(priority)
        own = self._classes.get(number)
        if own is None:
            own = self._classes[number] = _PriorityClass(number)
        return own

    def _waiting_classes(self) -> list[_PriorityClass]:
        """Return the classes with waiting requests, the highest first."""
        waiting = [c for c in self._classes.values() if c.flows_waiting]
        return sorted(waiting, key=_priority)

    def _choose(self, waiting: list[_PriorityClass]) -> _PriorityClass:
        own = waiting[0]
        # No class is served more often than a higher one.
        lower = [c for c in waiting[1:] if c.served() <= own.served()]
        if own.credit_s <= 0 or not lower:
            return own
        return self._choose(lower)

    def _credit(
        self,
        waiting: list[_PriorityClass],
        chosen: _PriorityClass,
        work_s: float,
    ) -> None:
        """Credit the lower classes for work of ``chosen``, or charge them.

        The classes above the chosen one have let it start before them, and
        the chosen one owes its share to those below it.
        """
        for own in waiting[:-1]:
            if own is chosen:
                kept = self._lower_share / (1.0 - self._lower_share)
                own.credit_s += work_s * kept
                break
            own.credit_s = max(own.credit_s - work_s, -work_s)

    def _neglected(
        self, waiting: list[_PriorityClass]
    ) -> _PriorityClass | None:
        """Return the class that is served too rarely, None without one."""
        if len(waiting) < 2:
            return None
        offered = sum(c.offered for c in self._classes.values())
        started = sum(c.started for c in self._classes.values())
        if not offered:
            return None
        floor = FLOOR_SHARE * started / offered
        missing = {c.priority: floor * c.offered - c.started for c in waiting}
        worst = max(waiting, key=lambda own: missing[own.priority])
        # A class's first request must not go before those of higher classes.
        return worst if missing[worst.priority] >= 1.0 else None

    def _ahead(self, own: _PriorityClass) -> _Ahead:
        """Return what the other classes do to the waits of a class."""
        share = 1.0
        higher_s = 0.0
        has_lower = False
        for each in self._classes.values():
            if each.flows_waiting and each.priority < own.priority:
                higher_s += each.waiting_s
                share *= self._lower_share
            elif each.flows_waiting and each.priority > own.priority:
                has_lower = True
        if has_lower:
            share *= 1.0 - self._lower_share
        if higher_s:
            offered = sum(c.offered for c in self._classes.values())
            floor = FLOOR_SHARE * own.offered / max(1.0, offered)
            share = max(share, floor)
        return _Ahead(share, higher_s)

    def _forget(self, ticket_id: int) -> None:
        self._tickets.pop(ticket_id, None)
        self._latest_s.pop(ticket_id, None)


class _Ahead(NamedTuple):
    """The share of starts that a class gets, and the work of higher ones."""

    share: float
    higher_s: float

    def work_before_s(self, before_s: float, work_s: float) -> float:
        """Return the work before a request, with that of other classes.

        ``before_s`` is the work of its own class before it, ``work_s`` its
        own. The higher classes take all but the kept share for as long as
        their work lasts.
        """
        if not self.higher_s:
            return before_s / self.share
        by_share_s = (before_s + work_s) / self.share
        return min(by_share_s, before_s + self.higher_s)


class _Flow:
    """The waiting requests of one customer in one priority class."""

    def __init__(self, virtual_s: float) -> None:
        self.waiting: dict[int, Urgency] = {}
        self.virtual_s = virtual_s
        self.weight = 0.0
        self.aged_credit_s = 0.0

    def choose(self, now_s: float) -> int:
        """Return the id of the request that starts in the customer's turn."""
        aged = None
        if self.aged_credit_s >= 0:
            aged = next_aged(self.waiting.items(), now_s)
        if aged is not None:
            self.aged_credit_s -= self.waiting[aged].work_s
            return aged
        number = costliest(self.waiting.items(), now_s)
        kept = AGED_WORK_SHARE / (1.0 - AGED_WORK_SHARE)
        credit_s = self.aged_credit_s + self.waiting[number].work_s * kept
        self.aged_credit_s = min(0.0, credit_s)
        return number

    def in_order(self, now_s: float) -> list[int]:
        """Return the ids of the waiting requests by their delay cost."""
        waiting = self.waiting
        return sorted(waiting, key=lambda number: -waiting[number].cost(now_s))

    def work_before_s(self, urgency: Urgency) -> float:
        """Return the waiting work that starts before a new request."""
        now_s = urgency.arrived_s
        own_cost = urgency.cost(now_s)
        return sum(
            other.work_s
            for other in self.waiting.values()
            if other.cost(now_s) >= own_cost
        )


class _PriorityClass:
    """The customers of one priority, ordered by their virtual times.

    ``credit_s`` is the work that lower classes may start before this one.
    """

    def __init__(self, priority: int) -> None:
        self.priority = priority
        self.credit_s = 0.0
        self.virtual_s = 0.0
        self.weight = 0.0
        self.waiting_s = 0.0
        self.flows_waiting = 0
        self.offered = 0.0
        self.started = 0.0
        self.flows: dict[str, _Flow] = {}
        self._order: list[tuple[float, str]] = []

    def served(self) -> float:
        """Return the share of its requests that was started."""
        return self.started / self.offered if self.offered else 1.0

    def push(self, ticket: Ticket, urgency: Urgency) -> None:
        flow = self._flow(ticket.customer)
        if not flow.waiting:
            flow.weight = ticket.weight
            self.weight += ticket.weight
            self.flows_waiting += 1
            flow.virtual_s = max(flow.virtual_s, self.virtual_s)
            heapq.heappush(self._order, (flow.virtual_s, ticket.customer))
        flow.waiting[ticket.ticket_id] = urgency
        self.waiting_s += ticket.expected_s

    def charge(self, ticket: Ticket) -> None:
        flow = self._flow(ticket.customer)
        start_s = max(flow.virtual_s, self.virtual_s)
        flow.virtual_s = start_s + _cost_s(ticket)
        # The virtual time must also advance while no request waits. Otherwise,
        # when a queue forms, a customer would be kept back for as long as it
        # had used the idle pool.
        self.virtual_s = start_s
        self.started += 1.0

    def pop(self, tickets: dict[int, Ticket], now_s: float) -> Ticket:
        """Remove and return the next request; one must be waiting."""
        while True:
            virtual_s, customer = heapq.heappop(self._order)
            flow = self.flows[customer]
            if flow.waiting and virtual_s == flow.virtual_s:
                break
        number = flow.choose(now_s)
        ticket = tickets[number]
        self.charge(ticket)
        self.drop(ticket)
        if flow.waiting:
            heapq.heappush(self._order, (flow.virtual_s, customer))
        return ticket

    def drop(self, ticket: Ticket) -> None:
        flow = self.flows[ticket.customer]
        del flow.waiting[ticket.ticket_id]
        self.waiting_s = max(0.0, self.waiting_s - ticket.expected_s)
        if not flow.waiting:
            self.weight = max(0.0, self.weight - flow.weight)
            self.flows_waiting -= 1
            if not self.flows_waiting:
                self.weight = self.waiting_s = 0.0

    def _flow(self, customer: str) -> _Flow:
        flow = self.flows.get(customer)
        if flow is None:
            flow = self.flows[customer] = _Flow(self.virtual_s)
        return flow


def _cost_s(ticket: Ticket) -> float:
    weight = max(ticket.weight, MIN_WEIGHT)
    return max(ticket.expected_s, MIN_COST_S) / weight


def _priority(own: _PriorityClass) -> int:
    return own.priority


__all__ = ["FairQueue", "Ticket"]
