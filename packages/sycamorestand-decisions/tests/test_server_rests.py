"""Rests that servers ask for, and their first requests afterwards."""

from __future__ import annotations

from collections import deque
from random import Random
from typing import Final

from hypothesis import given
from hypothesis import strategies as st
import pytest

from sycamorestand_decisions.server_rests import FIRST_REQUESTS
from sycamorestand_decisions.server_rests import MAX_RESTING_SERVERS
from sycamorestand_decisions.server_rests import NEXT_REQUEST_S
from sycamorestand_decisions.server_rests import RETURNED_AFTER
from sycamorestand_decisions.server_rests import ServerRests

STEP_S: Final = 0.01


def send_all(rests: ServerRests, now_s: float, most: int = 100) -> int:
    """Send requests until the server is closed; return their number."""
    sent = 0
    while sent < most and rests.is_open("s", now_s):
        rests.record_sent("s", now_s)
        sent += 1
    return sent


class TestRest:
    def test_shorter_time_does_not_end_a_longer_one(self) -> None:
        """The server got requests again after the shorter time."""
        rests = ServerRests()
        rests.record_rest("s", 1, 3.0, 0.0)
        rests.record_rest("s", 1, 0.5, 0.1)
        assert not rests.is_open("s", 2.9)
        assert rests.is_open("s", 3.0)

    def test_answer_to_an_earlier_request_does_not_end_it(self) -> None:
        rests = ServerRests()
        rests.record_rest("s", 1, 3.0, 0.0)
        rests.record_taken("s", 0.4)
        assert not rests.is_open("s", 1.0)

    def test_server_that_started_again_has_asked_for_nothing(self) -> None:
        rests = ServerRests()
        rests.record_rest("s", 1, 3.0, 0.0)
        rests.forget_restarted({"other": 5})
        rests.forget_restarted({"s": 1})
        assert not rests.is_open("s", 1.0)
        rests.forget_restarted({"s": 2})
        assert rests.is_open("s", 1.0)
        rests.record_rest("s", 2, 1.0, 1.0)
        assert rests.resting(1.0) == {"s": 2.0}

    def test_first_end_is_told(self) -> None:
        rests = ServerRests()
        rests.record_rest("a", 1, 3.0, 0.0)
        rests.record_rest("b", 1, 2.0, 0.0)
        assert rests.opens_in_s(("a", "b"), 0.5) == 1.5
        assert rests.opens_in_s(("a", "b", "c"), 0.5) == 0.0
        assert rests.opens_in_s((), 0.5) == 0.0

    def test_table_is_bounded(self) -> None:
        """Names of servers that come and go filled the memory."""
        rests = ServerRests()
        for number in range(2 * MAX_RESTING_SERVERS):
            rests.record_rest(f"s-{number}", 1, 3.0 + number, 0.0)
        assert len(rests.resting(0.0)) == MAX_RESTING_SERVERS
        assert not rests.is_open(f"s-{2 * MAX_RESTING_SERVERS - 1}", 0.0)

    @given(
        st.lists(
            st.tuples(st.floats(0.0, 2.0), st.floats(0.01, 5.0)), min_size=1
        )
    )
    def test_nothing_is_sent_before_each_end(
        self, asked: list[tuple[float, float]]
    ) -> None:
        rests = ServerRests()
        now_s = end_s = 0.0
        for pause_s, rest_s in asked:
            now_s += pause_s
            assert rests.is_open("s", now_s) == (now_s >= end_s)
            rests.record_rest("s", 1, rest_s, now_s)
            end_s = max(end_s, now_s + rest_s)
        assert not rests.is_open("s", end_s - 0.001)


class TestReturn:
    def test_requests_come_back_one_by_one(self) -> None:
        """All that had waited came in the first moment after the rest."""
        rests = ServerRests()
        rests.record_rest("s", 1, 1.0, 0.0)
        assert send_all(rests, 1.0) == FIRST_REQUESTS
        rests.record_taken("s", 1.0)
        assert send_all(rests, 1.1) == 2
        for _ in range(2):
            rests.record_taken("s", 1.1)
        assert send_all(rests, 1.2) == 4

    def test_server_that_takes_requests_is_like_any_other(self) -> None:
        rests = ServerRests()
        rests.record_rest("s", 1, 1.0, 0.0)
        for _ in range(RETURNED_AFTER):
            rests.record_taken("s", 1.0)
        assert not rests.has_any()
        assert send_all(rests, 1.0) == 100

    def test_request_without_an_answer_does_not_keep_it_closed(self) -> None:
        """The first request hung, and the server got no more."""
        rests = ServerRests()
        rests.record_rest("s", 1, 1.0, 0.0)
        assert send_all(rests, 1.0) == FIRST_REQUESTS
        assert not rests.is_open("s", 1.5)
        assert rests.is_open("s", 1.0 + NEXT_REQUEST_S)

    def test_server_that_turns_away_again_gets_few(self) -> None:
        rests = ServerRests()
        rests.record_rest("s", 1, 1.0, 0.0)
        now_s, sent = 1.0, 0
        while now_s < 6.0:
            if rests.is_open("s", now_s):
                rests.record_sent("s", now_s)
                rests.record_turned_away("s", now_s)
                sent += 1
            now_s += STEP_S
        assert sent <= 6


class TestManyEntries:
    @pytest.mark.parametrize("entries", [10, 330])
    def test_first_moment_after_a_rest_is_no_burst(self, entries: int) -> None:
        """A server that had rested got all entries' requests at once.

        Every entry has more to send than the server takes, and an answer
        takes 50 ms.
        """
        random = Random(1)
        held = [ServerRests() for _ in range(entries)]
        for rests in held:
            spread_s = random.uniform(0.0, min(3.0, 0.75 + entries * 0.01))
            rests.record_rest("s", 1, 3.0 + spread_s, random.uniform(0, 0.5))
        arrivals: list[float] = []
        running: deque[tuple[float, ServerRests, float]] = deque()
        now_s = 3.0
        while now_s < 3.6:
            while running and running[0][0] <= now_s:
                _, rests, sent_s = running.popleft()
                rests.record_taken("s", sent_s)
            for rests in held:
                for _ in range(send_all(rests, now_s, most=5)):
                    arrivals.append(now_s)
                    running.append((now_s + 0.05, rests, now_s))
            now_s += STEP_S
        first_s = arrivals[0]
        first = sum(at_s < first_s + 0.05 for at_s in arrivals)
        assert first <= max(4, entries / 10)
