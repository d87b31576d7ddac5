"""Tests of sessions that stay on their version during a step."""

from __future__ import annotations

from sycamorestand_decisions.retained_sessions import MAX_SEEN
from sycamorestand_decisions.retained_sessions import PLACE_COUNT
from sycamorestand_decisions.retained_sessions import RetainedSessions
from sycamorestand_decisions.retained_sessions import Step

STEP = Step("words", "v2", 0)
IDLE_S = 5.0


def seen(*places: float, at_s: float = 0.0) -> RetainedSessions:
    """Return sessions at these shares of the places, served at a time."""
    sessions = RetainedSessions(IDLE_S)
    for place in places:
        sessions.record_served("words", int(place * PLACE_COUNT), at_s)
    return sessions


class TestRetainedSessions:
    def test_a_step_announces_sessions_below_its_share_once(self) -> None:
        sessions = seen(0.05, 0.5)
        assert sessions.begin_step(STEP, 0.1, 1.0) == (
            int(0.05 * PLACE_COUNT),
        )
        assert sessions.begin_step(STEP, 0.1, 1.0) == ()

    def test_sessions_announced_before_the_step_begins_are_retained(
        self,
    ) -> None:
        """Another entry begins the step first and announces its sessions."""
        sessions = seen(0.05)
        sessions.retain(STEP, (7,))
        assert sessions.begin_step(STEP, 0.1, 1.0) == (
            int(0.05 * PLACE_COUNT),
        )
        assert sessions.is_retained(STEP, 7)

    def test_idle_sessions_are_not_retained(self) -> None:
        sessions = seen(0.05)
        assert sessions.begin_step(STEP, 0.1, IDLE_S + 0.1) == ()

    def test_sessions_of_another_service_are_not_announced(self) -> None:
        sessions = seen(0.05)
        other = STEP._replace(service="pictures")
        assert sessions.begin_step(other, 0.1, 1.0) == ()

    def test_a_later_step_retains_its_own_sessions(self) -> None:
        sessions = seen(0.05)
        sessions.begin_step(STEP, 0.1, 1.0)
        later = STEP._replace(number=1)
        assert not sessions.is_retained(later, int(0.05 * PLACE_COUNT))

    def test_a_flood_of_names_is_bounded(self) -> None:
        """Only the latest sessions are kept."""
        sessions = RetainedSessions(IDLE_S)
        for place in range(2 * MAX_SEEN):
            sessions.record_served("words", place, 0.0)
        announced = sessions.begin_step(STEP, 1.0, 0.0)
        assert len(announced) == MAX_SEEN
        assert 2 * MAX_SEEN - 1 in announced
