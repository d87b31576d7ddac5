"""A group without progress tells why, since when, and who answers."""

from __future__ import annotations

import logging

import pytest

from sycamorestand_control.progress_watch import GroupProgress
from sycamorestand_control.progress_watch import ProgressWatch
from sycamorestand_control.progress_watch import REPEAT_S
from sycamorestand_control.progress_watch import SETTLE_S

STUCK = GroupProgress("no leader", ("b:1",), ("c:1",))
FINE = GroupProgress("")


class TestProgressWatch:
    def test_group_without_a_leader_tells_who_answers(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """The last voter of a group had no line while callers got silence."""
        state = [FINE]
        watch = ProgressWatch(0, lambda: state[0])
        with caplog.at_level(logging.INFO):
            watch.check(10.0)
            state[0] = STUCK
            watch.check(11.0)
            watch.check(11.0 + SETTLE_S / 2)
            assert not caplog.records
            watch.check(11.0 + SETTLE_S)
            watch.check(12.0 + SETTLE_S)
            watch.check(11.0 + SETTLE_S + REPEAT_S)
            state[0] = STUCK._replace(answering=("b:1", "c:1"), silent=())
            watch.check(12.0 + SETTLE_S + REPEAT_S)
            state[0] = FINE
            watch.check(13.0 + SETTLE_S + REPEAT_S)
        lines = [
            (r.message, getattr(r, "for_s", None), getattr(r, "silent", None))
            for r in caplog.records
        ]
        assert lines == [
            ("group makes no progress", SETTLE_S, ("c:1",)),
            ("group makes no progress", SETTLE_S + REPEAT_S, ("c:1",)),
            ("group makes no progress", SETTLE_S + REPEAT_S + 1.0, ()),
            ("group makes progress again", None, None),
        ]

    def test_election_has_no_line(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """A line at each planned change of leaders would mean nothing."""
        state = [STUCK]
        watch = ProgressWatch(0, lambda: state[0])
        with caplog.at_level(logging.INFO):
            watch.check(1.0)
            state[0] = FINE
            watch.check(1.0 + SETTLE_S)
        assert not caplog.records
