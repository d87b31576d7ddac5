"""An entry moves to another control process at the right time."""

from __future__ import annotations

from sycamorestand_entry.control.attachment import Attachment
from sycamorestand_entry.control.attachment import BEHIND_GRACE_S
from sycamorestand_entry.control.attachment import DENIED_MOVE_PAUSE_S
from sycamorestand_entry.control.attachment import MOVE_AFTER_S
from sycamorestand_peer.messages import LeaseDenied

FIRST = "10.0.0.2:7000"
SECOND = "10.0.0.3:7000"
NO_QUORUM = LeaseDenied(0.0, "no_quorum", ())
BEHIND = LeaseDenied(0.0, "behind", ())


def make_attachment() -> Attachment:
    """Return an attachment to the first of two, which granted a lease."""
    attachment = Attachment((FIRST, SECOND), 99.0)
    attachment.record_grant(100.0)
    return attachment


class TestSilence:
    def test_entry_moves_after_three_renewals_without_a_grant(self) -> None:
        attachment = make_attachment()
        assert not attachment.should_move(99.9 + MOVE_AFTER_S)
        assert attachment.should_move(100.1 + MOVE_AFTER_S)
        attachment.move(101.3)
        assert attachment.address == SECOND
        assert not attachment.should_move(101.4)


class TestDenial:
    def test_entry_leaves_a_process_without_quorum_at_once(self) -> None:
        """Half of control is cut off and can grant no leases.

        Its entries refused each request with no_lease until they had had no
        grant for 1.2 s, although the denials had told them at once that the
        process had no quorum: 335 refusals in three seconds.
        """
        attachment = make_attachment()
        attachment.record_denial(FIRST, NO_QUORUM, 100.4)
        assert attachment.should_move(100.4)
        attachment.move(100.4)
        assert attachment.address == SECOND

    def test_entry_pauses_between_moves_while_there_is_no_quorum(self) -> None:
        """Without a leader all control processes deny.

        The requests of all entries must not delay their election.
        """
        attachment = make_attachment()
        attachment.record_denial(FIRST, NO_QUORUM, 100.4)
        attachment.move(100.4)
        attachment.record_denial(SECOND, NO_QUORUM, 100.41)
        assert not attachment.should_move(100.3 + DENIED_MOVE_PAUSE_S)
        assert attachment.should_move(100.5 + DENIED_MOVE_PAUSE_S)

    def test_denial_by_another_process_causes_no_move(self) -> None:
        attachment = make_attachment()
        attachment.record_denial(SECOND, NO_QUORUM, 100.4)
        assert not attachment.should_move(100.4)

    def test_grant_clears_an_earlier_denial(self) -> None:
        attachment = make_attachment()
        attachment.record_denial(FIRST, NO_QUORUM, 100.4)
        attachment.record_grant(100.5)
        assert not attachment.should_move(100.6)

    def test_entry_waits_for_a_process_that_sends_a_revision(self) -> None:
        attachment = make_attachment()
        attachment.record_denial(FIRST, BEHIND, 101.2)
        assert not attachment.should_move(101.1 + BEHIND_GRACE_S)
        assert attachment.should_move(101.3 + BEHIND_GRACE_S)
