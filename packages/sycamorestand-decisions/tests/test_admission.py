from __future__ import annotations

from collections import Counter

from hypothesis import settings
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.strategies import booleans
from hypothesis.strategies import floats
from hypothesis.strategies import integers
from hypothesis.strategies import sampled_from

from sycamorestand_decisions.admission import Admission
from sycamorestand_decisions.admission import MAX_WAITING_PER_CUSTOMER
from sycamorestand_decisions.admission import Refused
from sycamorestand_decisions.admission import Started
from sycamorestand_decisions.admission import Ticket
from sycamorestand_decisions.admission import Waiting

POOL = "nest@1"
INTERACTIVE = 2
BATCH = 8


def ticket(
    ticket_id: int,
    customer: str = "guild",
    weight: float = 1.0,
    priority: int = INTERACTIVE,
    deadline_s: float = 100.0,
    expected_s: float = 1.0,
) -> Ticket:
    return Ticket(
        ticket_id, customer, weight, POOL, priority, deadline_s, expected_s
    )


def admission_of(slots: int) -> Admission:
    admission = Admission()
    admission.set_capacity(POOL, slots)
    return admission


class TestOffer:
    def test_starts_while_a_slot_is_free(self) -> None:
        admission = admission_of(1)
        assert admission.offer(ticket(1), 0.0) == Started(1)
        assert isinstance(admission.offer(ticket(2), 0.0), Waiting)

    def test_refuses_immediately_a_request_that_cannot_start_in_time(
        self,
    ) -> None:
        """Guards against queueing a request that will be refused later.

        The pool has one slot and five seconds of waiting work. A request whose
        deadline is two seconds away is refused when it is offered, with the
        time after which to retry.
        """
        admission = admission_of(1)
        for number in range(6):
            admission.offer(ticket(number), 0.0)
        answer = admission.offer(ticket(9, deadline_s=2.5), 0.0)
        assert isinstance(answer, Refused)
        assert 1.0 <= answer.retry_after_s <= 30.0

    def test_refuses_a_request_too_long_for_its_deadline_despite_a_free_slot(
        self,
    ) -> None:
        answer = admission_of(1).offer(
            ticket(1, deadline_s=1.0, expected_s=5.0), 0.0
        )
        assert isinstance(answer, Refused)

    def test_refuses_where_no_server_has_the_version(self) -> None:
        answer = Admission().offer(ticket(1), 0.0)
        assert isinstance(answer, Refused)
        assert answer.retry_after_s > 0

    def test_queue_of_a_customer_is_bounded(self) -> None:
        """Guards against a queue that grows without bound.

        Its memory and the cost of each check would grow with it. A customer
        sends without pause while no request finishes. Its queue stops growing
        at the limit, and all further requests are refused.
        """
        admission = admission_of(1)
        for number in range(2 * MAX_WAITING_PER_CUSTOMER):
            admission.offer(ticket(number, expected_s=0.001), 0.0)
        metrics = admission.metrics()[POOL]
        assert metrics.waiting == MAX_WAITING_PER_CUSTOMER
        assert metrics.refused_full == MAX_WAITING_PER_CUSTOMER - 1


class TestFairness:
    def test_a_flooding_customer_does_not_delay_others(self) -> None:
        """One customer has a hundred requests waiting, another sends one.

        The single request gets the next free slot: customers are served in
        turn, not their requests in order of arrival.
        """
        admission = admission_of(1)
        for number in range(100):
            admission.offer(ticket(number, "flood", expected_s=0.05), 0.0)
        admission.offer(ticket(500, "small", expected_s=0.05), 0.0)
        admission.finish(0, 0.05, 0.05, False)
        (started,) = admission.start_ready(0.05)
        assert started.customer == "small"

    def test_use_of_an_idle_pool_is_not_charged_later(self) -> None:
        """One customer used an idle pool for long, then both send a lot.

        No request waited for the slots it used. From now on both customers get
        the same share; the new one must not get all slots until it has caught
        up.
        """
        admission = admission_of(1)
        for number in range(100):
            admission.offer(ticket(number, "old"), 0.0)
            admission.finish(number, 0.0, 1.0, False)
        admission.offer(ticket(100, "old", expected_s=0.01), 0.0)
        for number in range(200, 220):
            admission.offer(ticket(number, "old", expected_s=0.01), 0.0)
            admission.offer(ticket(number + 100, "new", expected_s=0.01), 0.0)
        starts = self._drain(admission, 100, 20)
        assert 8 <= sum(t.customer == "old" for t in starts) <= 12

    def test_a_pause_of_batch_work_earns_no_credit(self) -> None:
        """Interactive work runs alone for long, then batch work arrives.

        With credit for a tenth of that time, batch work would take every slot
        until it had caught up. It must get a tenth from now on and no more.
        """
        admission = admission_of(1)
        for number in range(50):
            admission.offer(ticket(number, expected_s=5.0), 0.0)
            admission.finish(number, 0.0, 5.0, False)
        admission.offer(ticket(60, expected_s=0.01), 0.0)
        for number in range(100, 140):
            admission.offer(ticket(number, "i", expected_s=0.01), 0.0)
            batch_ticket = ticket(
                number + 1_000, "b", priority=BATCH, expected_s=0.01
            )
            admission.offer(batch_ticket, 0.0)
        starts = self._drain(admission, 60, 20)
        assert sum(t.priority == BATCH for t in starts) <= 4

    def test_an_idle_customer_starts_beyond_the_slots(self) -> None:
        """All ten slots are taken by the long requests of one customer.

        The first request of another customer starts in the one slot beyond the
        ten; its second request waits.
        """
        admission = admission_of(10)
        for number in range(12):
            admission.offer(ticket(number, "flood"), 0.0)
        assert admission.metrics()[POOL].waiting == 2
        assert admission.offer(ticket(50, "small"), 0.0) == Started(50)
        assert isinstance(admission.offer(ticket(51, "small"), 0.0), Waiting)
        assert isinstance(admission.offer(ticket(52, "third"), 0.0), Waiting)

    def test_starts_follow_the_weights(self) -> None:
        counts = self._starts({"a": 3.0, "b": 1.0}, 40)
        assert 28 <= counts["a"] <= 32

    def test_batch_is_not_starved(self) -> None:
        """Guards against starvation of batch work by interactive work.

        Batch requests get about a tenth of the starts, so that they finish
        eventually; a larger share would delay interactive callers noticeably.
        """
        admission = admission_of(1)
        admission.offer(ticket(0), 0.0)
        for number in range(1, 101):
            admission.offer(ticket(number, "i", expected_s=0.01), 0.0)
            batch_ticket = ticket(
                number + 1_000, "b", priority=BATCH, expected_s=0.01
            )
            admission.offer(batch_ticket, 0.0)
        starts = self._drain(admission, 0, 50)
        assert 3 <= sum(t.priority == BATCH for t in starts) <= 8

    def _starts(self, weights: dict[str, float], count: int) -> Counter[str]:
        admission = admission_of(1)
        admission.offer(ticket(0, "first"), 0.0)
        number = 0
        for _ in range(count):
            for customer, weight in weights.items():
                number += 1
                admission.offer(
                    ticket(number, customer, weight, expected_s=0.01), 0.0
                )
        starts = self._drain(admission, 0, count)
        return Counter(t.customer for t in starts)

    def _drain(
        self, admission: Admission, running: int, count: int
    ) -> list[Ticket]:
        starts: list[Ticket] = []
        for _ in range(count):
            admission.finish(running, 1.0, 0.01, False)
            (started,) = admission.start_ready(1.0)
            starts.append(started)
            running = started.ticket_id
        return starts


class TestExpire:
    def test_refuses_as_soon_as_a_start_in_time_is_impossible(self) -> None:
        """Twelve requests wait when seven of eight slots are lost.

        The last of them can no longer start in time. They must be refused
        immediately, while the callers can still try elsewhere, rather than
        when their deadline has passed.
        """
        admission = admission_of(8)
        for number in range(8):
            admission.offer(ticket(number, expected_s=4.0), 0.0)
        for number in range(10, 22):
            admission.offer(
                ticket(number, deadline_s=20.0, expected_s=4.0), 0.0
            )
        admission.set_capacity(POOL, 1)
        refused = admission.expire(0.1)
        assert refused
        assert all(t.deadline_s > 1.0 for t, _ in refused)
        assert 10 not in {t.ticket_id for t, _ in refused}

    def test_no_request_is_refused_twice(self) -> None:
        admission = admission_of(1)
        admission.offer(ticket(1), 0.0)
        admission.offer(ticket(2, deadline_s=5.0), 0.0)
        assert [t.ticket_id for t, _ in admission.expire(99.0)] == [2]
        assert admission.expire(100.0) == []


class AdmissionMachine(RuleBasedStateMachine):
    """Check in any order of calls that no slot or request is lost."""

    def __init__(self) -> None:
        super().__init__()
        self.admission = admission_of(2)
        self.slots = 2
        self.now_s = 0.0
        self.number = 0
        self.running: set[int] = set()
        self.waiting: set[int] = set()

    @rule(
        customer=sampled_from("abc"),
        priority=sampled_from([INTERACTIVE, BATCH]),
        expected_s=floats(0.1, 5.0),
    )
    def offer(self, customer: str, priority: int, expected_s: float) -> None:
        self.number += 1
        answer = self.admission.offer(
            ticket(
                self.number,
                customer,
                priority=priority,
                deadline_s=self.now_s + 8.0,
                expected_s=expected_s,
            ),
            self.now_s,
        )
        if isinstance(answer, Started):
            self.running.add(self.number)
        elif isinstance(answer, Waiting):
            self.waiting.add(self.number)

    @rule(slots=integers(0, 4))
    def set_capacity(self, slots: int) -> None:
        self.admission.set_capacity(POOL, slots)
        self.slots = slots

    @rule(seconds=floats(0.0, 3.0))
    def wait(self, seconds: float) -> None:
        self.now_s += seconds
        for refused, _ in self.admission.expire(self.now_s):
            self.waiting.remove(refused.ticket_id)

    @rule(cancelled=booleans())
    def end_one(self, cancelled: bool) -> None:
        if self.running:
            number = min(self.running)
            self.running.remove(number)
            if cancelled:
                self.admission.cancel(number, self.now_s)
            else:
                self.admission.finish(number, self.now_s, 1.0, False)

    @rule()
    def cancel_waiting(self) -> None:
        if self.waiting:
            self.admission.cancel(self.waiting.pop(), self.now_s)

    @rule()
    def start_ready(self) -> None:
        before = len(self.running)
        for started in self.admission.start_ready(self.now_s):
            self.waiting.remove(started.ticket_id)
            self.running.add(started.ticket_id)
        if len(self.running) > before:
            assert len(self.running) <= self.slots
        if self.slots > len(self.running):
            assert not self.waiting

    @invariant()
    def counts_agree(self) -> None:
        metrics = self.admission.metrics()[POOL]
        assert metrics.in_flight == len(self.running)
        assert metrics.waiting == len(self.waiting)


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = settings(
    derandomize=True, max_examples=60, deadline=None
)
