from __future__ import annotations

import math

import pytest

from sycamorestand_decisions.server_room import estimate
from sycamorestand_decisions.server_room import expected_s
from sycamorestand_decisions.server_room import is_disturbed
from sycamorestand_decisions.server_room import slowness_now
from sycamorestand_decisions.server_room import Work
from sycamorestand_model.server_loads import LoadHeader
from sycamorestand_model.server_loads import ObservedLoad

NOTHING = ObservedLoad(None, math.inf, 0.0, 0, 0, 0, 0, math.inf)
LONG = Work(0.2, 2.0)


def told(running: int, waiting: int = 0, **fields: float) -> ObservedLoad:
    header = LoadHeader(running, waiting, 24, fields.pop("slowness", 1.0))
    load = NOTHING._replace(
        header=header, header_age_s=0.0, usual_slowness=1.0
    )
    return load._replace(**fields)  # type: ignore[arg-type]


class TestEstimate:
    def test_unknown_server_is_empty_and_usual(self) -> None:
        room = estimate(NOTHING, 24, 0)
        assert (room.free_slots, room.slowness, room.source) == (24, 1, "none")
        own = estimate(NOTHING._replace(own_requests=3), 24, 0)
        assert (own.free_slots, own.source) == (21, "own")

    def test_own_requests_are_counted_once(self) -> None:
        """The report counts them too, and was made before the last two."""
        room = estimate(told(10, own_requests=6), 24, 0, own_since=2)
        assert room.running == 12
        ended = estimate(told(10, own_requests=1), 24, 0, own_since=-3)
        assert ended.running == 7

    def test_newer_source_counts_the_others(self) -> None:
        loads = told(20, own_requests=2, others_requests=8, others_age_s=0.5)
        assert estimate(loads, 24, 0).source == "report"
        older = loads._replace(header_age_s=1.0)
        room = estimate(older, 24, 0)
        assert room.source == "shared"
        assert 9 < room.running < 10

    def test_others_decay_with_age(self) -> None:
        room = estimate(told(20, header_age_s=4.0), 24, 0)
        assert room.running == 10

    def test_report_of_an_idle_server_does_not_hide_known_work(self) -> None:
        """A server that always says that it is idle got every request."""
        room = estimate(told(0, others_requests=24, others_age_s=0.1), 24, 0)
        assert room.running > 11

    def test_tokens_limit_free_slots(self) -> None:
        loads = told(4, own_requests=4, own_tokens=40_000)
        room = estimate(loads, 24, 60_000)
        assert (room.free_slots, room.free_tokens) == (2, 20_000)
        assert estimate(loads, 24, 30_000).free_slots == 0

    def test_overflow_waits(self) -> None:
        room = estimate(told(24, 6), 48, 0)
        assert (room.running, room.waiting, room.free_slots) == (24, 6, 0)


class TestSlowness:
    def test_momentary_slowness_decays_within_a_second(self) -> None:
        values = [
            slowness_now(told(0, slowness=3.0, header_age_s=age_s))
            for age_s in (0.0, 0.5, 1.0, 5.0, math.inf)
        ]
        assert values == [3.0, 2.0, 1.0, 1.0, 1.0]

    @pytest.mark.parametrize(("said", "taken"), [(0.01, 0.1), (100.0, 10.0)])
    def test_absurd_slowness_is_limited(
        self, said: float, taken: float
    ) -> None:
        load = told(0, slowness=said, usual_slowness=said)
        assert slowness_now(load) == taken

    def test_disturbance_is_relative_and_recent(self) -> None:
        assert is_disturbed(told(0, slowness=1.6))
        assert not is_disturbed(told(0, slowness=1.6, usual_slowness=1.2))
        assert not is_disturbed(told(0, slowness=1.6, header_age_s=0.6))
        assert not is_disturbed(NOTHING)


class TestExpectedTime:
    def test_full_fast_server_is_preferred_only_for_long_work(self) -> None:
        fast = estimate(told(24, 9, slowness=0.5, usual_slowness=0.5), 24, 0)
        slow = estimate(told(12, slowness=1.2, usual_slowness=1.2), 24, 0)
        short = Work(0.02, 0.1)
        assert expected_s(fast, LONG, 1.5) < expected_s(slow, LONG, 1.5)
        assert expected_s(fast, short, 1.5) > expected_s(slow, short, 1.5)

    def test_each_further_request_takes_longer(self) -> None:
        times = [
            expected_s(estimate(told(min(n, 24), max(0, n - 24)), 24, 0), LONG)
            for n in range(60)
        ]
        assert all(a <= b for a, b in zip(times, times[1:], strict=False))
        assert all(0 < time < math.inf for time in times)
