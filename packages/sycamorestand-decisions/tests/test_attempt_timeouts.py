"""Tests of how long an attempt waits for a slow backend server."""

from __future__ import annotations

import math

import pytest

from sycamorestand_decisions.attempt_timeouts import ANSWERS_KEPT
from sycamorestand_decisions.attempt_timeouts import AnswerTime
from sycamorestand_decisions.attempt_timeouts import AnswerTimes
from sycamorestand_decisions.attempt_timeouts import call_limit_s
from sycamorestand_decisions.attempt_timeouts import first_event_limits_s
from sycamorestand_decisions.attempt_timeouts import gap_limit_s
from sycamorestand_decisions.attempt_timeouts import PREFILL_TOKENS_PER_S
from sycamorestand_decisions.attempt_timeouts import ServerProgress
from sycamorestand_decisions.attempt_timeouts import short_prefill_limit_s


class TestLimits:
    @pytest.mark.parametrize("left_s", [0.1, 0.6, 1.2, 2.5, 30.0])
    def test_call_leaves_time_for_another_server(self, left_s: float) -> None:
        limit_s = call_limit_s(left_s)
        assert limit_s <= left_s
        assert left_s < 0.8 or limit_s <= left_s / 2

    def test_an_overtaken_request_is_abandoned_first(self) -> None:
        overtaken_s, otherwise_s = first_event_limits_s(4.0, 20.0)
        assert overtaken_s < otherwise_s <= 4.0

    def test_a_target_as_long_as_the_callers_time_is_no_limit(self) -> None:
        """Guards against waiting for a hanging server until the deadline.

        An answer is of use until the end of the caller's time. An attempt must
        leave a server that hangs while another server can still answer, or
        every request on it fails at its deadline.
        """
        _, otherwise_s = first_event_limits_s(5.0, 5.0)
        assert otherwise_s < 4.0

    def test_the_gap_limit_exceeds_gaps_of_a_calm_server(self) -> None:
        assert gap_limit_s(1.2) > 2 * 1.2
        assert gap_limit_s(0.1) >= 1.0


class TestShortPrefillLimit:
    def test_a_short_prefill_moves_long_before_its_target(self) -> None:
        """One server of five prefills a digest of 50,000 tokens.

        A question behind it would begin after two seconds there, and after a
        tenth of a second at any other server.
        """
        limit_s = short_prefill_limit_s(2.0, 0.02, 0.05)
        assert limit_s is not None
        assert limit_s < 0.15 * 2.0

    def test_a_long_prefill_does_not_move(self) -> None:
        """Another server would read the prompt a second time."""
        assert short_prefill_limit_s(2.0, 0.4, 0.0) is None

    def test_no_request_moves_during_a_burst(self) -> None:
        """Requests queue for half a second at every server.

        A request that moves would go to the end of a queue of the same length,
        and each move would spend budget that is needed when servers crash.
        """
        assert short_prefill_limit_s(2.0, 0.02, 0.5) is None


class TestServerProgress:
    def test_a_queue_served_in_order_overtakes_no_request(self) -> None:
        """A slow server answers in order; the last request waits longest."""
        progress = ServerProgress()
        for sent_s in (1.0, 2.0, 3.0):
            progress.record_first_event("s-1", sent_s, sent_s + 2.0)
        assert not progress.has_overtaken("s-1", 4.0)

    def test_request_that_hangs_is_overtaken(self) -> None:
        progress = ServerProgress()
        progress.record_first_event("s-1", 3.0, 3.5)
        assert progress.has_overtaken("s-1", 1.0)
        assert not progress.has_overtaken("s-2", 1.0)

    def test_requests_sent_together_may_be_answered_in_any_order(self) -> None:
        progress = ServerProgress()
        progress.record_first_event("s-1", 1.1, 1.5)
        assert not progress.has_overtaken("s-1", 1.0)

    def test_a_server_under_a_burst_is_not_at_fault(self) -> None:
        """In a burst, the server answers in order, each request later.

        Requests at the end of the queue are abandoned before their turn. When
        they counted as failures, five of them ejected the server, and its load
        moved to the other servers, which were ejected next.
        """
        progress = ServerProgress()
        abandoned = 0
        for number in range(8, 40):
            sent_s = number * 0.1
            abandoned_s = sent_s + 2.4
            in_turn = int(abandoned_s / 0.4)
            if in_turn >= number:
                continue
            progress.record_first_event("s-1", in_turn * 0.1, abandoned_s)
            abandoned += 1
            assert progress.is_serving_in_order("s-1", sent_s)
        assert abandoned > 5

    def test_a_server_that_answers_no_request_is_at_fault(self) -> None:
        progress = ServerProgress()
        progress.record_first_event("s-1", 1.0, 1.5)
        assert not progress.is_serving_in_order("s-1", 2.0)
        assert not progress.is_serving_in_order("s-2", 2.0)

    def test_a_server_that_skips_a_request_is_at_fault(self) -> None:
        progress = ServerProgress()
        progress.record_first_event("s-1", 3.0, 3.5)
        assert not progress.is_serving_in_order("s-1", 1.0)


class TestFirstEvent:
    @pytest.mark.parametrize("target_s", [0.5, 4.0])
    @pytest.mark.parametrize("left_s", [1.0, 20.0])
    def test_the_timeout_when_overtaken_is_the_shorter_one(
        self, target_s: float, left_s: float
    ) -> None:
        overtaken_s, otherwise_s = first_event_limits_s(target_s, left_s)
        assert 0 < overtaken_s <= otherwise_s

    def test_a_long_prompt_is_not_abandoned_during_its_prefill(self) -> None:
        """Guards against abandoning a prompt that is being read.

        A prompt of 37,000 tokens takes 2.9 s to read on a large model. It was
        abandoned after 2.4 s of a target of 4 s, and the next server started
        over and took another 2.9 s. The caller got the first event after
        6.1 s, and other requests waited at both servers.
        """
        limits_s = first_event_limits_s(4.0, 19.3, 37_000)
        assert min(limits_s) > 2.9

    def test_a_long_prompt_leaves_time_for_another_server(self) -> None:
        """The server that should read the prompt hangs instead."""
        tokens = 37_000
        _, limit_s = first_event_limits_s(4.0, 20.0, tokens)
        assert 20.0 - limit_s > 2 * tokens / PREFILL_TOKENS_PER_S


class TestAnswerTimes:
    def test_the_longest_of_the_last_answers_counts(self) -> None:
        times = AnswerTimes()
        assert times.max_answer_s("review") == 0.0
        for answer_s in (9.0, *(1.0 for _ in range(ANSWERS_KEPT - 1)), 2.0):
            times.record_answer("review", AnswerTime(0.5, answer_s, 10))
        assert times.max_answer_s("review") == 2.0
        assert times.max_total_s("review", 0.0, 5.0) == 2.5
        assert times.max_answer_s("quote") == 0.0

    def test_few_answers_give_no_maximum(self) -> None:
        """Soon after a start only short answers have ended."""
        times = AnswerTimes()
        assert times.max_total_s("review", 0.0, 5.0) == math.inf
        for _ in range(ANSWERS_KEPT - 1):
            times.record_answer("review", AnswerTime(0.1, 0.4, 5))
        assert times.max_total_s("review", 0.0, 5.0) == math.inf

    def test_servers_that_became_slow_make_answers_longer(self) -> None:
        """The long answers of the slow servers have not ended yet."""
        times = AnswerTimes()
        for _ in range(ANSWERS_KEPT):
            times.record_answer("review", AnswerTime(0.5, 2.0, 50))
        assert times.max_total_s("review", 0.2, 5.0) == 10.5

    def test_running_requests_count(self) -> None:
        """Answers that have ended say little about those that take long."""
        times = AnswerTimes()
        for _ in range(ANSWERS_KEPT):
            times.record_answer("review", AnswerTime(0.1, 0.4, 5))
        for at_s in (1.0, 2.0, 2.0):
            times.record_started("review", at_s)
        assert times.max_total_s("review", 0.0, 5.0) == 4.0
        for at_s in (2.0, 1.0, 2.0):
            times.record_stopped("review", at_s)
        assert times.max_total_s("review", 0.0, 5.0) == 0.5
