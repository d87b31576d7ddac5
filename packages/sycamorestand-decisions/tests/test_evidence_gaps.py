"""A decision waits for entries that have moved, and not for ever."""

from __future__ import annotations

from sycamorestand_decisions.evidence_gaps import EvidenceGaps
from sycamorestand_decisions.evidence_gaps import LOST_AFTER_S
from sycamorestand_decisions.evidence_gaps import MAX_WAIT_S
from sycamorestand_decisions.evidence_gaps import MOVED_AFTER_S
from sycamorestand_decisions.evidence_gaps import TOLD_AFTER_S


class TestEvidenceGaps:
    def test_without_a_gap_a_decision_is_made_at_once(self) -> None:
        gaps = EvidenceGaps()
        gaps.record_silence(LOST_AFTER_S / 2, 1.0)
        assert gaps.may_decide(True, 1.0)

    def test_it_waits_until_entries_have_moved_and_told(self) -> None:
        gaps = EvidenceGaps()
        gaps.record_silence(MOVED_AFTER_S - 0.1, 1.0)
        gaps.record_silence(MOVED_AFTER_S + 0.1, 1.2)
        assert not gaps.may_decide(True, 1.2)
        assert gaps.may_decide(True, 1.0 + TOLD_AFTER_S)

    def test_process_that_was_never_heard_is_no_gap(self) -> None:
        gaps = EvidenceGaps()
        gaps.record_silence(float("inf"), 1.0)
        assert gaps.may_decide(True, 1.0)

    def test_gaps_without_end_do_not_put_it_off_for_ever(self) -> None:
        """Entries that came and went kept a request from being blocked."""
        gaps = EvidenceGaps()
        made = []
        for tick in range(round(2 * MAX_WAIT_S * 10)):
            gaps.record_gap(tick / 10)
            made.append(gaps.may_decide(True, tick / 10))
        assert made.index(True) == MAX_WAIT_S * 10

    def test_next_decision_waits_anew(self) -> None:
        gaps = EvidenceGaps()
        gaps.record_gap(1.0)
        assert not gaps.may_decide(True, 1.0)
        assert not gaps.may_decide(False, 1.1)
        gaps.record_gap(1.0 + MAX_WAIT_S)
        assert not gaps.may_decide(True, 1.0 + MAX_WAIT_S)
