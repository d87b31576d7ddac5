"""How long a slow backend server is waited for."""

from __future__ import annotations

import pytest

from sycamorestand_decisions.patience import call_limit_s
from sycamorestand_decisions.patience import first_event_limits_s
from sycamorestand_decisions.patience import gap_limit_s
from sycamorestand_decisions.patience import Progress


class TestLimits:
    @pytest.mark.parametrize("left_s", [0.1, 0.6, 1.2, 2.5, 30.0])
    def test_call_leaves_time_for_another_server(self, left_s: float) -> None:
        limit_s = call_limit_s(left_s)
        assert limit_s <= left_s
        assert left_s < 0.8 or limit_s <= left_s / 2

    def test_overtaken_is_given_up_first(self) -> None:
        overtaken_s, whole_s = first_event_limits_s(4.0, 20.0)
        assert overtaken_s < whole_s <= 4.0

    def test_aim_as_long_as_the_callers_time_is_no_bound(self) -> None:
        """An answer is of use to the end of the caller's time.

        A server that hangs must be left while another can still answer,
        or every request on it fails by its caller's time.
        """
        _, whole_s = first_event_limits_s(5.0, 5.0)
        assert whole_s < 4.0

    def test_pause_of_a_calm_server_is_no_reason(self) -> None:
        assert gap_limit_s(1.2) > 2 * 1.2
        assert gap_limit_s(0.1) >= 1.0


class TestProgress:
    def test_queue_worked_off_in_turn_overtakes_nobody(self) -> None:
        """A server answers in turn, slowly; the last one waits longest."""
        progress = Progress()
        for sent_s in (1.0, 2.0, 3.0):
            progress.begun("s-1", sent_s)
        assert not progress.has_overtaken("s-1", 4.0)

    def test_request_that_hangs_is_overtaken(self) -> None:
        progress = Progress()
        progress.begun("s-1", 3.0)
        assert progress.has_overtaken("s-1", 1.0)
        assert not progress.has_overtaken("s-2", 1.0)

    def test_requests_sent_together_come_in_any_order(self) -> None:
        progress = Progress()
        progress.begun("s-1", 1.1)
        assert not progress.has_overtaken("s-1", 1.0)
