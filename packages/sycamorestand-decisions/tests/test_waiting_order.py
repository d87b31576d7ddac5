"""Callers served in time under load, against arrival order per customer."""

from __future__ import annotations

import heapq
from random import Random
from typing import NamedTuple

from hypothesis import given
from hypothesis import settings
from hypothesis.strategies import integers
from hypothesis.strategies import lists
from hypothesis.strategies import tuples

from sycamorestand_decisions.admission import Admission
from sycamorestand_decisions.admission import Refused
from sycamorestand_decisions.admission import Started
from sycamorestand_decisions.admission import Ticket

POOL = "words"


class Kind(NamedTuple):
    """Requests of one kind; ``rate`` is per second, times in seconds."""

    name: str
    priority: int
    rate: float
    work_s: float
    begin_s: float
    target_s: float
    deadline_s: float
    customer: str = "bank"


class Count(NamedTuple):
    """Requests of one kind: offered, answered by the deadline, in time."""

    offered: int = 0
    served: int = 0
    in_time: int = 0

    @property
    def served_share(self) -> float:
        """Share of the requests that were answered by their deadline."""
        return self.served / self.offered


def replay(
    kinds: list[Kind],
    slots: int,
    length_s: float,
    by_cost: bool = True,
    repeats: bool = False,
) -> dict[str, Count]:
    """Play Poisson arrivals of the kinds; return the counts by kind.

    Without ``by_cost``, all have one priority and no target, which is the
    order of arrival within a customer. With ``repeats``, the callers of the
    kind "flood" repeat a refused request ten times, a tenth of a second apart.
    """
    random = Random(7)
    admission = Admission()
    admission.set_capacity(POOL, slots)
    events: list[tuple[float, int, str, int]] = []
    made: list[tuple[Kind, float]] = []
    for kind in kinds:
        now_s = random.expovariate(kind.rate)
        while now_s < length_s:
            heapq.heappush(events, (now_s, len(made), "offer", 0))
            made.append((kind, now_s))
            now_s += random.expovariate(kind.rate)
    for tick in range(int((length_s + 30) * 4)):
        heapq.heappush(events, (tick / 4, -1, "tick", 0))
    counts = {kind.name: Count() for kind in kinds}
    seen: set[int] = set()

    def start(number: int, now_s: float) -> None:
        kind = made[number][0]
        heapq.heappush(events, (now_s + kind.work_s, number, "end", 0))
        begun[number] = now_s

    begun: dict[int, float] = {}
    while events:
        now_s, number, what, repeat = heapq.heappop(events)
        if what == "tick":
            admission.expire(now_s)
        elif what == "end":
            kind, came_s = made[number]
            admission.finish(number, now_s, kind.work_s, False)
            count = counts[kind.name]
            served = now_s - came_s <= kind.deadline_s
            first_s = begun[number] + kind.begin_s - came_s
            counts[kind.name] = count._replace(
                served=count.served + served,
                in_time=count.in_time
                + (served and first_s <= kind.target_s + 1e-9),
            )
        else:
            kind, came_s = made[number]
            if number not in seen:
                seen.add(number)
                count = counts[kind.name]
                counts[kind.name] = count._replace(offered=count.offered + 1)
            ticket = Ticket(
                number,
                kind.customer,
                1.0,
                POOL,
                kind.priority if by_cost else 2,
                came_s + kind.deadline_s,
                kind.work_s,
                now_s + kind.target_s if by_cost else 0.0,
                kind.begin_s,
                f"key-{number}",
            )
            answer = admission.offer(ticket, now_s)
            if isinstance(answer, Started):
                start(number, now_s)
            elif (
                isinstance(answer, Refused)
                and repeats
                and kind.name == "flood"
                and repeat < 10
            ):
                again = (now_s + 0.1, number, "offer", repeat + 1)
                heapq.heappush(events, again)
        for ready in admission.start_ready(now_s):
            start(ready.ticket_id, now_s)
    return counts


SUMMARY = Kind("summary", 2, 8.0, 2.0, 0.4, 4.0, 20.0)
GUIDANCE = Kind("guidance", 0, 6.0, 1.0, 0.05, 1.0, 15.0)


class TestBurst:
    def test_long_prompts_do_not_delay_urgent_requests(self) -> None:
        """Guards against urgent requests behind a burst of long prompts.

        The load is over twice the capacity; guidance alone is six tenths.
        """
        old = replay([SUMMARY, GUIDANCE], 10, 20.0, by_cost=False)
        new = replay([SUMMARY, GUIDANCE], 10, 20.0)
        assert new["guidance"].in_time >= 0.85 * new["guidance"].offered
        assert new["guidance"].in_time > 3 * old["guidance"].in_time
        assert new["guidance"].served_share >= new["summary"].served_share
        everyone = sum(count.in_time for count in new.values())
        assert everyone > sum(count.in_time for count in old.values())


class TestCustomer:
    def test_six_times_the_load_gets_only_its_share(self) -> None:
        """Guards against a customer that takes the share of others."""
        loud = GUIDANCE._replace(name="loud", rate=24.0, customer="loud")
        quiet = GUIDANCE._replace(name="quiet", rate=4.0, customer="quiet")
        new = replay([loud, quiet], 10, 20.0)
        assert new["quiet"].in_time >= 0.9 * new["quiet"].offered
        old = replay([loud, quiet], 10, 20.0, by_cost=False)
        assert new["loud"].in_time > old["loud"].in_time


class TestWork:
    LONG = Kind("long", 1, 2.0, 3.0, 0.5, 2.0, 12.0)
    SHORT = Kind("short", 1, 16.0, 0.4, 0.4, 1.5, 6.0)

    def test_short_requests_go_first_and_long_ones_are_served(self) -> None:
        """Guards against short work behind long work of one priority."""
        old = replay([self.LONG, self.SHORT], 10, 30.0, by_cost=False)
        new = replay([self.LONG, self.SHORT], 10, 30.0)
        assert new["short"].in_time >= 0.9 * new["short"].offered
        assert new["short"].in_time > old["short"].in_time
        assert new["long"].served >= 0.25 * new["long"].offered


class TestRepeats:
    def test_repeating_at_once_gains_nothing(self) -> None:
        """Guards against callers that repeat before their Retry-After.

        Of the same customer, with the same requests, they must not be served
        more often in time than those that do not repeat, and take less than a
        tenth from those.
        """
        flood = GUIDANCE._replace(name="flood", rate=12.0)
        calm = GUIDANCE._replace(name="calm", rate=12.0)
        once = replay([flood, calm], 10, 20.0)
        again = replay([flood, calm], 10, 20.0, repeats=True)
        calm_share = again["calm"].in_time / again["calm"].offered
        assert again["flood"].in_time / again["flood"].offered <= (
            1.1 * calm_share
        )
        assert again["calm"].in_time >= 0.9 * once["calm"].in_time

    def test_retry_times_are_spread_by_the_key(self) -> None:
        """Guards against refused callers that all return together."""
        admission = Admission()
        admission.set_capacity(POOL, 1)
        for number in range(10):
            admission.offer(Ticket(number, "a", 1.0, POOL, 2, 99.0, 1.0), 0.0)
        times: dict[str, float] = {}
        for number in range(100, 200):
            ticket = Ticket(number, "a", 1.0, POOL, 2, 3.0, 1.0)
            for key in (f"key-{number}", f"key-{number}"):
                answer = admission.offer(ticket._replace(key=key), 0.0)
                assert isinstance(answer, Refused)
                assert times.setdefault(key, answer.retry_after_s) == (
                    answer.retry_after_s
                )
        assert 1.3 < max(times.values()) / min(times.values()) <= 1.5


class TestLongBurst:
    def test_no_class_starves(self) -> None:
        """Guards against starvation of the lowest class in a long burst.

        The highest class alone needs more than all slots, and the lowest one
        has half of the requests; a tenth of the starts is too little for it.
        """
        kinds = [
            GUIDANCE._replace(rate=14.0),
            GUIDANCE._replace(name="middle", priority=1, rate=6.0),
            GUIDANCE._replace(name="lowest", priority=2, rate=20.0),
        ]
        new = replay(kinds, 10, 120.0)
        offered = sum(count.offered for count in new.values())
        served = sum(count.served for count in new.values()) / offered
        shares = [count.served_share for count in new.values()]
        assert shares[2] >= 0.25 * served
        assert shares[0] >= shares[1] >= shares[2]

    def test_small_lower_class_is_not_served_more_often(self) -> None:
        """Guards against a less urgent class served more than an urgent one.

        A tenth of the starts would serve the whole lower class.
        """
        kinds = [
            GUIDANCE._replace(rate=60.0),
            GUIDANCE._replace(name="lowest", priority=2, rate=1.0),
        ]
        new = replay(kinds, 10, 60.0)
        gap = new["lowest"].served_share - new["guidance"].served_share
        assert gap <= 0.05


REQUESTS = lists(
    tuples(integers(0, 9), integers(1, 40), integers(0, 3), integers(0, 30)),
    min_size=1,
    max_size=60,
)


class TestProperties:
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(REQUESTS)
    def test_no_request_starves(
        self, requests: list[tuple[int, int, int, int]]
    ) -> None:
        """All that wait start, each class by its turns, within their sum."""
        admission = Admission()
        admission.set_capacity(POOL, 1)
        waiting = 0
        for number, (priority, work, customer, target) in enumerate(requests):
            ticket = Ticket(
                *(number, f"c{customer}", 1.0, POOL, priority),
                *(1e4, work / 10, target / 10),
            )
            answer = admission.offer(ticket, 0.0)
            waiting += not isinstance(answer, Started | Refused)
        running = [0]
        starts = 0
        for step in range(waiting):
            admission.finish(running.pop(), 1.0 + step, 0.1, False)
            running += [t.ticket_id for t in admission.start_ready(1.0 + step)]
            starts += 1
            assert running
        assert starts == waiting
        assert admission.metrics()[POOL].waiting == 0

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(REQUESTS)
    def test_a_free_slot_serves_what_can_end_in_time(
        self, requests: list[tuple[int, int, int, int]]
    ) -> None:
        """No refusal while a slot is free, if the request ends in time."""
        admission = Admission()
        admission.set_capacity(POOL, 5)
        for number, (priority, work, customer, target) in enumerate(requests):
            is_free = len(admission.metrics()) == 0 or (
                admission.metrics()[POOL].in_flight < 5
            )
            ticket = Ticket(
                *(number, f"c{customer}", 1.0, POOL, priority),
                *(number + work / 10, work / 10, number + target / 10),
            )
            answer = admission.offer(ticket, float(number))
            if is_free:
                assert isinstance(answer, Started)
            if number % 2:
                admission.finish(number, number + 0.5, work / 10, False)
                admission.start_ready(number + 0.5)


class TestEarlyRepeat:
    def test_repeat_goes_behind_a_later_request(self) -> None:
        """Guards against a refused caller that overtakes by repeating."""
        admission = Admission()
        admission.set_capacity(POOL, 1)
        base = Ticket(0, "a", 1.0, POOL, 2, 30.0, 2.0, 20.0)
        admission.offer(base, 0.0)
        refused = base._replace(ticket_id=1, deadline_s=2.0, key="k")
        assert isinstance(admission.offer(refused, 0.0), Refused)
        repeat = refused._replace(ticket_id=2, deadline_s=30.0)
        admission.offer(repeat, 0.1)
        other = base._replace(ticket_id=3, expected_s=2.5, key="l")
        admission.offer(other, 0.2)
        admission.finish(0, 1.0, 1.0, False)
        assert [t.ticket_id for t in admission.start_ready(1.0)] == [3]
