"""Tests of the findings for calls that get no answer."""

from __future__ import annotations

from sycamorestand_bench.quickstart.caller import Waiting
from sycamorestand_bench.soak.run import find_unanswered


class TestFindUnanswered:
    def test_finding_names_request_entry_and_age(self) -> None:
        """Guard against a soak that fails without naming the waiting call.

        An order gets no answer after a control process has ended. The soak
        must report a finding and not end with an error.
        """
        waiting = [Waiting("order-7", "127.0.0.1:4000", 10.0)]
        names = {"127.0.0.1:4000": "entry-1"}
        (finding,) = find_unanswered(waiting, names, 85.5)
        assert "order-7" in finding.what
        assert "entry-1" in finding.what
        assert "75.5 s" in finding.what
