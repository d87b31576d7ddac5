"""When an entry leaves its control process."""

from __future__ import annotations

from sycamorestand_entry.control.attachment import Attachment
from sycamorestand_entry.control.attachment import BEHIND_GRACE_S
from sycamorestand_entry.control.attachment import MOVE_AFTER_S
from sycamorestand_entry.control.attachment import MOVE_DENIED_S
from sycamorestand_peer.messages import LeaseDenied

FIRST = "10.0.0.2:7000"
SECOND = "10.0.0.3:7000"
NO_QUORUM = LeaseDenied(0.0, "no_quorum", ())
BEHIND = LeaseDenied(0.0, "behind", ())


def attached() -> Attachment:
    """Return one that was granted a lease by the first of two."""
    attachment = Attachment((FIRST, SECOND), 99.0)
    attachment.granted(100.0)
    return attachment


class TestSilence:
    def test_after_three_renewals_without_a_grant_it_moves(self) -> None:
        attachment = attached()
        assert not attachment.is_time_to_move(99.9 + MOVE_AFTER_S)
        assert attachment.is_time_to_move(100.1 + MOVE_AFTER_S)
        attachment.move(101.3)
        assert attachment.address == SECOND
        assert not attachment.is_time_to_move(101.4)


class TestDenied:
    def test_it_leaves_a_process_that_says_it_has_no_quorum(self) -> None:
        """Half of control is cut off, and its entries' leases run out with it.

        Each request there was refused with no_lease until the entry had not
        been granted one for 1.2 s, though it had been told at once that this
        process has none to give: 335 refusals in three seconds.
        """
        attachment = attached()
        attachment.denied(FIRST, NO_QUORUM, 100.4)
        assert attachment.is_time_to_move(100.4)
        attachment.move(100.4)
        assert attachment.address == SECOND

    def test_while_nobody_has_a_quorum_it_takes_its_time(self) -> None:
        """There is no leader: everybody denies, and must get to elect one."""
        attachment = attached()
        attachment.denied(FIRST, NO_QUORUM, 100.4)
        attachment.move(100.4)
        attachment.denied(SECOND, NO_QUORUM, 100.41)
        assert not attachment.is_time_to_move(100.3 + MOVE_DENIED_S)
        assert attachment.is_time_to_move(100.5 + MOVE_DENIED_S)

    def test_a_denial_of_one_that_was_left_moves_nothing(self) -> None:
        attachment = attached()
        attachment.denied(SECOND, NO_QUORUM, 100.4)
        assert not attachment.is_time_to_move(100.4)

    def test_a_grant_makes_up_for_a_denial(self) -> None:
        attachment = attached()
        attachment.denied(FIRST, NO_QUORUM, 100.4)
        attachment.granted(100.5)
        assert not attachment.is_time_to_move(100.6)

    def test_one_that_first_sends_a_revision_is_kept_for_it(self) -> None:
        attachment = attached()
        attachment.denied(FIRST, BEHIND, 101.2)
        assert not attachment.is_time_to_move(101.1 + BEHIND_GRACE_S)
        assert attachment.is_time_to_move(101.3 + BEHIND_GRACE_S)
