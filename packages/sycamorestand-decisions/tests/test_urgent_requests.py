"""The order of requests that get no answer without a further arrival."""

from __future__ import annotations

import math
from random import Random
from typing import Final
from typing import NamedTuple

from hypothesis import settings
from hypothesis.stateful import Bundle
from hypothesis.stateful import consumes
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.strategies import floats
from hypothesis.strategies import integers
from hypothesis.strategies import just
from hypothesis.strategies import sampled_from
import pytest

from sycamorestand_decisions.arrivals import Allowance
from sycamorestand_decisions.arrivals import ArrivalBudget
from sycamorestand_decisions.arrivals import EARNED_SHARE
from sycamorestand_decisions.urgent_requests import Place
from sycamorestand_decisions.urgent_requests import UrgentRequests

SERVICE: Final = "words"
SERVICES: Final = (SERVICE, "images", "")
ALLOWANCE: Final = Allowance(ratio=0.9, slack=60.0, window_s=10.0)
ENTRIES: Final = 10
STEP_S: Final = 0.1
REQUEST_EVERY_STEPS: Final = 2


class TestOrder:
    @pytest.mark.parametrize("joined", [(9.0, 4.0, 6.0), (4.0, 6.0, 9.0)])
    def test_shortest_deadline_goes_first(
        self, joined: tuple[float, ...]
    ) -> None:
        """The first that asked would go, and others reach their deadline."""
        waiting = UrgentRequests()
        places = [waiting.join(SERVICE, deadline) for deadline in joined]
        assert deadlines_next(waiting, places, 1.0) == [4.0]

    def test_equal_deadlines_go_in_the_order_of_joining(self) -> None:
        waiting = UrgentRequests()
        first, second = (waiting.join(SERVICE, 4.0) for _ in range(2))
        assert first != second
        assert waiting.has_turn(first, 1.0)
        assert not waiting.has_turn(second, 1.0)

    def test_later_request_with_a_shorter_deadline_overtakes(self) -> None:
        waiting = UrgentRequests()
        late = waiting.join(SERVICE, 9.0)
        assert waiting.has_turn(late, 1.0)
        soon = waiting.join(SERVICE, 4.0)
        assert waiting.has_turn(soon, 1.0)
        assert not waiting.has_turn(late, 1.0)

    @pytest.mark.parametrize(
        ("left", "expected"),
        [
            (0.0, []),
            (0.99, []),
            (1.0, [4.0]),
            (2.9, [4.0, 6.0]),
            (3.0, [4.0, 6.0, 9.0]),
            (math.inf, [4.0, 6.0, 9.0]),
        ],
    )
    def test_as_many_are_next_as_arrivals_are_left(
        self, left: float, expected: list[float]
    ) -> None:
        """With one at a time, arrivals that are left would go unused."""
        waiting = UrgentRequests()
        places = [waiting.join(SERVICE, d) for d in (9.0, 4.0, 6.0)]
        assert deadlines_next(waiting, places, left) == expected


class TestServices:
    def test_services_have_queues_of_their_own(self) -> None:
        """A request would wait for the budget of another service."""
        waiting = UrgentRequests()
        waiting.join(SERVICE, 4.0)
        other = waiting.join("images", 9.0)
        assert waiting.has_turn(other, 1.0)

    def test_request_waits_at_its_own_service_only(self) -> None:
        """Improvements would be denied at services where none waits."""
        waiting = UrgentRequests()
        place = waiting.join(SERVICE, 4.0)
        assert waiting.has_any(SERVICE)
        assert not waiting.has_any("images")
        waiting.leave(place)
        assert not waiting.has_any(SERVICE)


class TestLeaving:
    @pytest.mark.parametrize("leaving", [0, 1, 2])
    def test_others_move_up_when_one_leaves(self, leaving: int) -> None:
        """A caller that is gone would hold up all requests behind it."""
        waiting = UrgentRequests()
        places = [waiting.join(SERVICE, d) for d in (4.0, 6.0, 9.0)]
        waiting.leave(places.pop(leaving))
        expected = [place.deadline_at_s for place in places]
        assert deadlines_next(waiting, places, 1.0) == expected[:1]
        assert deadlines_next(waiting, places, 2.0) == expected

    def test_request_that_joins_again_gets_a_new_place(self) -> None:
        waiting = UrgentRequests()
        first = waiting.join(SERVICE, 4.0)
        second = waiting.join(SERVICE, 4.0)
        waiting.leave(first)
        again = waiting.join(SERVICE, 4.0)
        assert again not in (first, second)
        assert waiting.has_turn(second, 1.0)
        assert not waiting.has_turn(again, 1.0)

    def test_all_leave_in_any_order(self) -> None:
        waiting = UrgentRequests()
        places = [waiting.join(SERVICE, float(n % 4)) for n in range(20)]
        Random(1).shuffle(places)
        for place in places:
            assert waiting.has_any(SERVICE)
            waiting.leave(place)
        assert not waiting.has_any(SERVICE)


class Granted(NamedTuple):
    """An arrival that a request got, and the step when it got it."""

    step: int
    deadline_at_s: float


class LostServer:
    """One entry after the loss of a server, in steps of `STEP_S`.

    Streams of the server wait for an arrival, and poll in random order. Each
    new request earns a part of an arrival and wishes to climb.
    """

    def __init__(self, streams: int, left: int, seed: int) -> None:
        self.random = Random(seed)
        self.waiting = UrgentRequests()
        self.budget = ArrivalBudget(ALLOWANCE)
        self.step = 0
        self.granted: list[Granted] = []
        self.climbs: list[int] = []
        self.denied_climbs: list[int] = []
        self.requests = 30
        for _ in range(self.requests):
            self.budget.record_first_arrival(SERVICE, 0.0)
        while self.left() >= left + 1:
            self.budget.try_spend(SERVICE, ENTRIES, 0.0)
        self.left_at_begin = self.left()
        deadlines = [5.0 + number for number in range(streams)]
        self.random.shuffle(deadlines)
        self.places = [self.waiting.join(SERVICE, d) for d in deadlines]

    @property
    def now_s(self) -> float:
        """The time since the loss."""
        return self.step * STEP_S

    def left(self) -> float:
        """Return the arrivals that the entry may still add."""
        return self.budget.share(SERVICE, ENTRIES, self.now_s).left

    def run(self, duration_s: float) -> None:
        """Play all steps of this time."""
        for _ in range(round(duration_s / STEP_S)):
            # The polls of streams and new requests come in any order.
            if self.random.random() < 0.5:
                self._request()
                self._poll()
            else:
                self._poll()
                self._request()
            self.step += 1

    def _poll(self) -> None:
        self.random.shuffle(self.places)
        for place in list(self.places):
            has_turn = self.waiting.has_turn(place, self.left())
            if has_turn and self.budget.try_spend(
                SERVICE, ENTRIES, self.now_s
            ):
                self.waiting.leave(place)
                self.places.remove(place)
                self.granted.append(Granted(self.step, place.deadline_at_s))

    def _request(self) -> None:
        if self.step % REQUEST_EVERY_STEPS:
            return
        self.requests += 1
        self.budget.record_first_arrival(SERVICE, self.now_s)
        may_climb = not self.waiting.has_any(SERVICE)
        may_climb = may_climb and self.budget.has_spare(
            SERVICE, ENTRIES, self.now_s, 0.25
        )
        if may_climb and self.budget.try_spend(SERVICE, ENTRIES, self.now_s):
            self.climbs.append(self.step)
        else:
            self.denied_climbs.append(self.step)


@pytest.mark.parametrize("seed", range(20))
class TestLoad:
    """Ten streams of a lost server, and an arrival for three of them."""

    def test_streams_go_in_the_order_of_deadlines(self, seed: int) -> None:
        """Those with little time left would be cut off by their deadlines."""
        play = LostServer(streams=10, left=3, seed=seed)
        play.run(10.0)
        steps = sorted({granted.step for granted in play.granted})
        in_order = [
            granted.deadline_at_s
            for step in steps
            for granted in sorted(g for g in play.granted if g.step == step)
        ]
        assert in_order == sorted(in_order)
        assert len(in_order) == 10

    def test_arrivals_that_are_left_are_used_at_once(self, seed: int) -> None:
        """Streams would wait although the entry has arrivals for them."""
        play = LostServer(streams=10, left=3, seed=seed)
        play.run(STEP_S)
        assert len(play.granted) >= 3
        deadlines = {granted.deadline_at_s for granted in play.granted}
        assert {5.0, 6.0, 7.0} <= deadlines

    def test_each_stream_gets_what_is_earned(self, seed: int) -> None:
        """A stream would wait for long behind requests that came later.

        The budget earns 3.6 arrivals a second, so the last of seven that
        wait at first has its own after 2 s.
        """
        play = LostServer(streams=10, left=3, seed=seed)
        play.run(10.0)
        requests_a_step = 1 / REQUEST_EVERY_STEPS
        earned_a_step = ALLOWANCE.ratio * EARNED_SHARE * requests_a_step
        needed_steps = (10 - play.left_at_begin) / earned_a_step
        last = max(granted.step for granted in play.granted)
        assert last <= needed_steps + 2 * REQUEST_EVERY_STEPS
        assert not play.places
        assert not play.waiting.has_any(SERVICE)

    def test_no_climb_is_granted_while_a_stream_waits(self, seed: int) -> None:
        """Climbs would spend what callers in mid-answer need."""
        play = LostServer(streams=10, left=3, seed=seed)
        play.run(10.0)
        last = max(granted.step for granted in play.granted)
        assert play.climbs
        assert min(play.climbs) >= last
        assert any(step < last for step in play.denied_climbs)

    def test_sum_stays_within_the_budget(self, seed: int) -> None:
        """The queue would add arrivals that the allowance does not have."""
        play = LostServer(streams=10, left=3, seed=seed)
        before = play.requests
        play.run(10.0)
        earned = (play.requests - before) * ALLOWANCE.ratio * EARNED_SHARE
        spent = len(play.granted) + len(play.climbs)
        assert spent <= play.left_at_begin + earned + 1e-6
        assert play.left() >= -1e-6


class UrgentQueue(RuleBasedStateMachine):
    """Requests that join, ask and leave in any order, beside a plain list."""

    places = Bundle("places")

    def __init__(self) -> None:
        super().__init__()
        self.waiting = UrgentRequests()
        # In the order of joining.
        self.joined: list[Place] = []

    @rule(
        target=places,
        service=sampled_from(SERVICES),
        deadline_at_s=integers(0, 5).map(float)
        | floats(0, 5)
        | just(math.inf),
    )
    def join(self, service: str, deadline_at_s: float) -> Place:
        place = self.waiting.join(service, deadline_at_s)
        assert (place.service, place.deadline_at_s) == (service, deadline_at_s)
        self.joined.append(place)
        return place

    @rule(place=consumes(places))
    def leave(self, place: Place) -> None:
        self.waiting.leave(place)
        self.joined.remove(place)

    @rule(
        place=places,
        left=floats(-2, 12) | integers(0, 12).map(float) | just(math.inf),
    )
    def ask_for_turn(self, place: Place, left: float) -> None:
        position = self._in_order(place.service).index(place) + 1
        assert self.waiting.has_turn(place, left) is (position <= left)

    @invariant()
    def each_request_has_one_place(self) -> None:
        assert len(set(self.joined)) == len(self.joined)
        for service in SERVICES:
            places = self._in_order(service)
            for count in range(len(places) + 1):
                first = [
                    place
                    for place in places
                    if self.waiting.has_turn(place, float(count))
                ]
                assert len(first) == count

    @invariant()
    def order_is_by_deadline_and_then_by_joining(self) -> None:
        for service in SERVICES:
            for number, place in enumerate(self._in_order(service)):
                assert self.waiting.has_turn(place, number + 1.0)
                assert not self.waiting.has_turn(place, number + 0.5)

    @invariant()
    def no_service_is_kept_without_places(self) -> None:
        services = {place.service for place in self.joined}
        for service in SERVICES:
            assert self.waiting.has_any(service) is (service in services)

    def _in_order(self, service: str) -> list[Place]:
        places = [place for place in self.joined if place.service == service]
        # Sorting is stable, so equal deadlines keep the order of joining.
        return sorted(places, key=lambda place: place.deadline_at_s)


UrgentQueue.TestCase.settings = settings(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)
TestUrgentQueue = UrgentQueue.TestCase


def deadlines_next(
    waiting: UrgentRequests, places: list[Place], left: float
) -> list[float]:
    """Return the sorted deadlines of those that ``left`` suffices for."""
    return sorted(
        place.deadline_at_s
        for place in places
        if waiting.has_turn(place, left)
    )
