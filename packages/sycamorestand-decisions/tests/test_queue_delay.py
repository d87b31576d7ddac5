"""Tests of the queueing delay estimated from one entry's observations."""

from __future__ import annotations

import pytest

from sycamorestand_decisions.queue_delay import DECAY_TIME_S
from sycamorestand_decisions.queue_delay import QueueDelay


class TestQueueDelay:
    def test_without_observations_there_is_no_delay(self) -> None:
        assert QueueDelay().delay_s(100.0) == 0.0

    def test_a_burst_shows_within_a_second_and_decays(self) -> None:
        # Four requests a second wait 0.1 s each; in a burst, sixteen a
        # second wait 2 s each. The estimate must rise within the burst and
        # fall soon after it.
        delay = QueueDelay()
        for number in range(20):
            delay.observe(number / 4, 0.1)
        assert delay.delay_s(5.0) < 0.1
        for number in range(16):
            delay.observe(5.0 + number / 16, 2.0)
        assert delay.delay_s(6.0) > 1.2
        for number in range(12):
            delay.observe(6.0 + number / 4, 0.1)
        assert delay.delay_s(9.0) < 0.5

    def test_one_long_wait_does_not_look_like_a_burst(self) -> None:
        # One server of ten hangs; the other nine answer immediately.
        delay = QueueDelay()
        for number in range(10):
            delay.observe(number * 0.1, 2.0 if number == 5 else 0.0)
        assert delay.delay_s(1.0) < 0.3

    def test_the_delay_decays_without_requests(self) -> None:
        delay = QueueDelay()
        delay.observe(0.0, 4.0)
        assert delay.delay_s(10 * DECAY_TIME_S) < 0.01

    @pytest.mark.parametrize("waited_s", [-3.0, 0.0])
    def test_a_prefill_faster_than_expected_is_no_delay(
        self, waited_s: float
    ) -> None:
        delay = QueueDelay()
        delay.observe(0.0, waited_s)
        assert delay.delay_s(0.0) == 0.0
