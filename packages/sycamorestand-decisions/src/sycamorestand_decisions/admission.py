"""Admission control: start, queue or refuse the requests of each pool.

Admission control handles bursts, saturation, and customers that send most of
the load. Without it, every request goes to a backend server at once. The
servers queue first come, first served, a customer that floods the queue delays
all others, and answers arrive after their deadlines, so the servers spend
their time on work that no caller waits for.

Each pool (a model version or a service) has a number of slots. A request
starts while a slot is free; otherwise it waits in the queue of its customer. A
freed slot goes to the highest priority that waits, within it to the customer
that has received the least service relative to its weight (start-time fair
queueing), and within its turn to the request whose delay costs most
(`waiting_cost`). A request that cannot start early enough to meet its deadline
is refused when it is offered, together with the time after which to retry. A
request that already waits is refused as soon as it can no longer start in
time. A request that is repeated before that time counts as one that has missed
its target, so that repeating early gains nothing.

* `MAX_WAIT_S` bounds the wait, because a longer wait adds latency but no
  throughput: the slots are busy anyway. With 6 s, a burst of five times the
  load is cleared 15 s after it began. With 4 s, four percentage points fewer
  of the burst's requests are answered; without a bound, clearing the burst
  takes 25 s.
* `LOWER_SHARE` gives all lower classes together a tenth of the starts under
  pressure. That prevents their starvation and is too little for callers of
  the highest class to notice.
"""

from __future__ import annotations

from collections import Counter
from typing import Final
from typing import NamedTuple
from zlib import crc32

from sycamorestand_decisions.fair_queue import FairQueue
from sycamorestand_decisions.fair_queue import Ticket
from sycamorestand_decisions.service_times import ServiceTimes
from sycamorestand_decisions.waiting_cost import known_priority
from sycamorestand_decisions.waiting_cost import Urgency

MAX_WAIT_S: Final = 6.0
# From this priority on, no person waits for the answers.
BACKGROUND_PRIORITY: Final = 8
BACKGROUND_MAX_WAIT_S: Final = 60.0
# A request waits only if it is expected to start within this share of its
# slack. Shares shrink as other customers arrive, and a request that is
# admitted and refused later has waited in vain.
ADMIT_SLACK_SHARE: Final = 0.6
# Expected service times are off by a factor of up to two in both directions.
# While a slot is free, admission refuses only a request that would miss its
# deadline at half its expected time.
MIN_SERVICE_SHARE: Final = 0.5
# A long request may wait this long for the next free slot, since with a free
# slot it would have started.
MIN_SLACK_S: Final = 1.0
# A customer with no running and no waiting request may exceed the slots by
# this share. With the few slots of one entry, the next one becomes free only
# after a quarter of a second; without an extra slot, the floods of other
# customers would cause the customer this delay. Pools of up to five slots get
# no extra slot, which would be a large part of them.
OVERCOMMIT_SHARE: Final = 0.1
MAX_WAITING_PER_CUSTOMER: Final = 512
MAX_WAITING_PER_POOL: Final = 2048
LOWER_SHARE: Final = 0.1
# A caller that retries immediately would be refused again.
MIN_RETRY_AFTER_S: Final = 0.5
MAX_RETRY_AFTER_S: Final = 30.0
# Callers that were refused at the same moment must not return together.
RETRY_SPREAD: Final = 0.2
# Bounds the memory of a pool; the oldest keys are dropped.
MAX_REFUSED_KEYS: Final = 4096
# A waiting request is refused early only if even this share of its estimated
# wait is too long. Estimates for a few slots are off by that much, and half of
# the requests refused at the whole estimate would have started in time.
EXPIRE_WAIT_SHARE: Final = 0.6
# Interval between new estimates for waiting requests. Shares change only as
# customers come and go, and the cost of a check grows with the queue length.
RECHECK_S: Final = 0.25

NO_SERVER: Final = "no_server"


class Started(NamedTuple):
    """The request holds a slot from now on."""

    ticket_id: int


class Waiting(NamedTuple):
    """The request waits in the queue; ``expected_wait_s`` is an estimate."""

    ticket_id: int
    expected_wait_s: float


class Refused(NamedTuple):
    """The request did not run and will not; ``retry_after_s`` is advice.

    ``rule`` names the rule of the refusal: ``too_long``, ``no_server``,
    ``queue_full``, ``wait`` or ``overtaken``. ``expected_s`` was over
    ``limit_s``: half of the expected time in a slot for ``too_long``, the
    expected wait for ``wait``, and for ``queue_full`` the number of waiting
    requests, not a time. For ``overtaken`` they are the expected wait and the
    time to the deadline, either of which may be the larger. ``waiting`` is the
    number of waiting requests.
    """

    reason: str
    retry_after_s: float
    rule: str = ""
    expected_s: float = 0.0
    limit_s: float = 0.0
    waiting: int = 0


class PoolMetrics(NamedTuple):
    """Counters of one pool since the process start, and its current state."""

    slots: int
    in_flight: int
    waiting: int
    started: int
    refused_deadline: int
    refused_full: int
    refused_expired: int
    cancelled: int


class Admission:
    """Slots, queues and refusals of every pool of one entry process.

    ``offer`` decides on a new request. After ``finish``, ``cancel`` or
    ``set_capacity``, the caller must call ``start_ready`` to get the requests
    that may start now. At least every `RECHECK_S` it must call ``expire`` to
    get the requests to refuse. Every wait ends with exactly one start, refusal
    or cancellation.

    >>> admission = Admission()
    >>> admission.set_capacity("nest@1", 1)
    >>> first = Ticket(1, "guild", 1.0, "nest@1", 2, 9.0, 1.0)
    >>> admission.offer(first, 0.0)
    Started(ticket_id=1)
    """

    def __init__(self) -> None:
        self._pools: dict[str, _Pool] = {}
        self._pool_of: dict[int, _Pool] = {}

    def set_capacity(self, pool: str, slots: int) -> None:
        """Set how many requests of a pool may run at the same time."""
        known = self._pool(pool)
        if slots < known.slots:
            known.next_recheck_s = 0.0
        known.slots = slots

    def offer(
        self, ticket: Ticket, now_s: float
    ) -> Started | Waiting | Refused:
        """Start a new request, queue it, or refuse it."""
        pool = self._pool(ticket.pool)
        pool.queue.record_offer(ticket.priority)
        refused = _refuse_too_long(pool, ticket, now_s)
        if refused is not None:
            return refused
        if pool.can_start_at_once(ticket):
            pool.queue.charge(ticket)
            self._start(pool, ticket)
            return Started(ticket.ticket_id)
        if pool.slots < 1:
            pool.refused_full += 1
            retry_after_s = _spread_s(MIN_RETRY_AFTER_S, ticket)
            reason = "no backend server for it"
            return Refused(reason, retry_after_s, NO_SERVER)
        return self._queue(pool, ticket, now_s)

    def start_ready(self, now_s: float) -> list[Ticket]:
        """Give free slots to waiting requests and return these requests."""
        ready: list[Ticket] = []
        for pool in self._pools.values():
            while pool.queue.waiting and pool.free_slots() > 0:
                ticket = pool.queue.pop(now_s)
                if ticket is None:
                    break
                self._start(pool, ticket)
                ready.append(ticket)
        return ready

    def finish(
        self, ticket_id: int, now_s: float, latency_s: float, failed: bool
    ) -> None:
        """Free the slot of a started request and learn from its latency.

        Only successful requests update the estimates of service times.
        """
        pool = self._pool_of.pop(ticket_id, None)
        if pool is None:
            return
        ticket = pool.release(ticket_id)
        if ticket is not None and not failed:
            pool.times.observe(ticket.expected_s, latency_s)

    def expire(self, now_s: float) -> list[tuple[Ticket, Refused]]:
        """Remove and return the waiting requests that cannot start in time."""
        refused: list[tuple[Ticket, Refused]] = []
        for pool in self._pools.values():
            if not pool.queue.waiting:
                continue
            for ticket in pool.find_expired(now_s):
                pool.queue.remove(ticket.ticket_id)
                self._pool_of.pop(ticket.ticket_id, None)
                pool.refused_expired += 1
                wait_s = pool.expected_wait_s(ticket, ticket.urgency(now_s))
                answer = Refused(
                    "cannot start in time",
                    pool.record_refusal(ticket, now_s, wait_s),
                    "overtaken",
                    wait_s,
                    ticket.deadline_s - now_s,
                    pool.queue.waiting,
                )
                refused.append((ticket, answer))
        return refused

    def cancel(self, ticket_id: int, now_s: float) -> None:
        """Remove a waiting or started request whose caller has gone."""
        pool = self._pool_of.pop(ticket_id, None)
        if pool is None:
            return
        pool.cancelled += 1
        if pool.release(ticket_id) is None:
            pool.queue.remove(ticket_id)

    def metrics(self) -> dict[str, PoolMetrics]:
        """Return the counters of every pool by its name."""
        return {name: pool.metrics() for name, pool in self._pools.items()}

    def _queue(
        self, pool: _Pool, ticket: Ticket, now_s: float
    ) -> Waiting | Refused:
        """Queue a request that has to wait, or refuse it."""
        urgency = ticket.urgency(now_s, not pool.is_early(ticket, now_s))
        wait_s = pool.expected_wait_s(ticket, urgency)
        waiting = pool.queue.waiting
        if (limit := _full_limit(pool, ticket)) <= waiting:
            pool.refused_full += 1
            return Refused(
                "queue full",
                pool.record_refusal(ticket, now_s, wait_s),
                "queue_full",
                float(waiting),
                float(limit),
                waiting,
            )
        slack_s = _slack_s(pool, ticket, now_s)
        longest_s = min(_max_wait_s(ticket), ADMIT_SLACK_SHARE * slack_s)
        if wait_s > longest_s:
            pool.refused_deadline += 1
            return Refused(
                "cannot start in time",
                pool.record_refusal(ticket, now_s, wait_s),
                "wait",
                wait_s,
                longest_s,
                waiting,
            )
        pool.queue.push(ticket, urgency, now_s + slack_s)
        self._pool_of[ticket.ticket_id] = pool
        return Waiting(ticket.ticket_id, wait_s)

    def _start(self, pool: _Pool, ticket: Ticket) -> None:
        pool.in_flight[ticket.ticket_id] = ticket
        pool.running[ticket.customer] += 1
        pool.started += 1
        self._pool_of[ticket.ticket_id] = pool

    def _pool(self, name: str) -> _Pool:
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = _Pool()
        return pool


class _Pool:
    """Slots, queue and counters of one pool."""

    def __init__(self) -> None:
        self.slots = 0
        self.in_flight: dict[int, Ticket] = {}
        self.running: Counter[str] = Counter()
        self.queue = FairQueue(LOWER_SHARE)
        self.times = ServiceTimes()
        self.next_recheck_s = 0.0
        self.refused_until_s: dict[str, float] = {}
        self.started = 0
        self.refused_deadline = 0
        self.refused_full = 0
        self.refused_expired = 0
        self.cancelled = 0

    def free_slots(self) -> int:
        return self.slots - len(self.in_flight)

    def release(self, ticket_id: int) -> Ticket | None:
        ticket = self.in_flight.pop(ticket_id, None)
        if ticket is not None:
            self.running[ticket.customer] -= 1
            if not self.running[ticket.customer]:
                del self.running[ticket.customer]
        return ticket

    def can_start_at_once(self, ticket: Ticket) -> bool:
        if self.free_slots() > 0 and not self.queue.waiting:
            return True
        if not self.slots or ticket.customer in self.running:
            return False
        extra = round(OVERCOMMIT_SHARE * self.slots)
        waiting = self.queue.count(ticket.customer, ticket.priority)
        return self.free_slots() > -extra and not waiting

    def is_early(self, ticket: Ticket, now_s: float) -> bool:
        """Return whether the request is repeated before its retry time."""
        return now_s < self.refused_until_s.get(_repeat_key(ticket), now_s)

    def record_refusal(
        self, ticket: Ticket, now_s: float, wait_s: float
    ) -> float:
        """Return when to retry, and store it for the request's key."""
        wait_s = wait_s if self.slots else 0.0
        wait_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        retry_after_s = _spread_s(wait_s, ticket)
        if ticket.key:
            if len(self.refused_until_s) >= MAX_REFUSED_KEYS:
                self.refused_until_s.pop(next(iter(self.refused_until_s)))
            self.refused_until_s[_repeat_key(ticket)] = now_s + retry_after_s
        return retry_after_s

    def expected_wait_s(self, ticket: Ticket, urgency: Urgency) -> float:
        """Estimate the wait for the customer's turn and a free slot."""
        before_s = self.queue.work_before_s(ticket, urgency)
        before_s = self.times.mean_s(before_s)
        return (before_s + self.times.typical_s) / max(1, self.slots)

    def find_expired(self, now_s: float) -> list[Ticket]:
        """Return the waiting requests that cannot start in time.

        Requests past their latest start are found at every call. The estimate
        for all others runs once in `RECHECK_S`.
        """
        overdue = self.queue.overdue(now_s)
        if now_s < self.next_recheck_s or self.slots < 1:
            return overdue
        self.next_recheck_s = now_s + RECHECK_S
        known = {ticket.ticket_id for ticket in overdue}
        for ticket, before_s, latest_s in self.queue.iter_waiting(now_s):
            wait_s = (
                EXPIRE_WAIT_SHARE * self.times.mean_s(before_s) / self.slots
            )
            if now_s + wait_s > latest_s and ticket.ticket_id not in known:
                overdue.append(ticket)
        return overdue

    def metrics(self) -> PoolMetrics:
        return PoolMetrics(
            slots=self.slots,
            in_flight=len(self.in_flight),
            waiting=self.queue.waiting,
            started=self.started,
            refused_deadline=self.refused_deadline,
            refused_full=self.refused_full,
            refused_expired=self.refused_expired,
            cancelled=self.cancelled,
        )


def _refuse_too_long(
    pool: _Pool, ticket: Ticket, now_s: float
) -> Refused | None:
    """Refuse a request that cannot end in time even if it starts now."""
    # A ratio above one comes from waits at the servers, which end sooner than
    # the ratio falls again.
    min_service_s = MIN_SERVICE_SHARE * min(
        ticket.expected_s, pool.times.mean_s(ticket.expected_s)
    )
    left_s = ticket.deadline_s - now_s
    if min_service_s <= left_s:
        return None
    pool.refused_deadline += 1
    return Refused(
        "cannot finish in time",
        _spread_s(MIN_RETRY_AFTER_S, ticket),
        "too_long",
        min_service_s,
        left_s,
        pool.queue.waiting,
    )


def _full_limit(pool: _Pool, ticket: Ticket) -> int:
    """Return the number of waiting requests at which this one is refused."""
    own = pool.queue.count(ticket.customer, ticket.priority)
    others = pool.queue.waiting - own
    return min(MAX_WAITING_PER_POOL, others + MAX_WAITING_PER_CUSTOMER)


def _max_wait_s(ticket: Ticket) -> float:
    if known_priority(ticket.priority) >= BACKGROUND_PRIORITY:
        return BACKGROUND_MAX_WAIT_S
    return MAX_WAIT_S


def _slack_s(pool: _Pool, ticket: Ticket, now_s: float) -> float:
    needed_s = pool.times.high_s(ticket.expected_s)
    return max(MIN_SLACK_S, ticket.deadline_s - now_s - needed_s)


def _repeat_key(ticket: Ticket) -> str:
    """Return what repeats share; callers of two customers may use one key."""
    return f"{ticket.customer} {ticket.key}"


def _spread_s(wait_s: float, ticket: Ticket) -> float:
    """Return the time spread by the request's key, the same for each key."""
    key = ticket.key or f"{ticket.customer} {ticket.ticket_id}"
    place = crc32(key.encode()) / 0xFFFFFFFF
    return wait_s * (1.0 - RETRY_SPREAD + 2.0 * RETRY_SPREAD * place)


__all__ = [
    "Admission",
    "MAX_WAIT_S",
    "MAX_WAITING_PER_CUSTOMER",
    "MAX_WAITING_PER_POOL",
    "NO_SERVER",
    "PoolMetrics",
    "Refused",
    "Started",
    "Ticket",
    "Waiting",
]
