"""What a soak says of calls that never end."""

from __future__ import annotations

from sycamorestand_bench.quickstart.caller import Waiting
from sycamorestand_bench.soak.run import find_unanswered


class TestFindUnanswered:
    def test_finding_names_request_entry_and_age(self) -> None:
        """A control process has ended, and an order gets no answer.

        The soak ended with an error of its own in place of a finding;
        which call waited, and where, was lost.
        """
        waiting = [Waiting("order-7", "127.0.0.1:4000", 10.0)]
        names = {"127.0.0.1:4000": "entry-1"}
        (finding,) = find_unanswered(waiting, names, 85.5)
        assert "order-7" in finding.what
        assert "entry-1" in finding.what
        assert "75.5 s" in finding.what
