"""Log lines of a control process that belongs to no cluster."""

from __future__ import annotations

import logging

import pytest

from sycamorestand_control.forming_watch import FormingState
from sycamorestand_control.forming_watch import FormingWatch
from sycamorestand_control.forming_watch import REPEAT_S


class TestFormingWatch:
    def test_state_is_logged_at_a_change_and_while_it_lasts(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """A cluster that never formed left no line that said why."""
        caplog.set_level(logging.INFO)
        states: list[FormingState | None] = [None]
        waiting = FormingState("", "seeds not heard", ("c1",))
        watch = FormingWatch(lambda: states[0])
        states[0] = waiting
        assert watch.check(100.0)
        assert watch.check(100.2)
        assert len(caplog.records) == 1
        assert caplog.records[0].__dict__["waits_for"] == ["c1"]
        assert watch.check(100.0 + REPEAT_S)
        assert caplog.records[1].__dict__["for_s"] == REPEAT_S
        states[0] = waiting._replace(creator="c1", waits_for=())
        assert watch.check(101.0 + REPEAT_S)
        assert caplog.records[2].__dict__["for_s"] == 0.0
        states[0] = None
        assert not watch.check(102.0 + REPEAT_S)
        assert caplog.records[3].message == "cluster known"
        assert len(caplog.records) == 4

    def test_member_of_a_cluster_logs_nothing(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        caplog.set_level(logging.INFO)
        assert not FormingWatch(lambda: None).check(100.0)
        assert not caplog.records
