"""Decide when an entry moves from its control process to another one.

When a control process is lost or cut off, all entries attached to it must
move at the same moment. An entry that moves too late lets its lease expire
and refuses its callers. Entries that move too early, while there is no leader
at all, poll all control processes in turn and slow down their election.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_entry.control.control_choice import ControlChoice
from sycamorestand_peer.relays import DIRECT_SILENCE_S

if TYPE_CHECKING:
    from sycamorestand_peer.messages import LeaseDenied

# Three renewals without a grant. One request may be lost and the control
# process may be busy, but after this time the lease of 2 s can only be kept
# if another control process grants the renewal.
MOVE_AFTER_S: Final = 1.2
# Shortest time between two moves after denials. A control process without a
# quorum says so, and another one may have it; without a pause all entries
# would poll all control processes in turn while there is no leader.
DENIED_MOVE_PAUSE_S: Final = 0.4
# A control process that denies a lease because this entry's configuration is
# behind is healthy and sends the missing revision. The entry moves only if
# that takes longer than this.
BEHIND_GRACE_S: Final = 0.4


class Attachment:
    """Track the control process that an entry uses and its answers.

    ``addresses`` are the known control processes, the nearest first. Times
    are seconds of one monotonic clock.
    """

    def __init__(self, addresses: tuple[str, ...], now_s: float) -> None:
        self._choice = ControlChoice(addresses)
        self._waiting_since_s = now_s
        self._last_grant_s = now_s
        self._moved_s = float("-inf")
        self._without_quorum = False

    @property
    def address(self) -> str:
        """Return the address of the control process in use."""
        return self._choice.address

    def is_silent(self, now_s: float) -> bool:
        """Return whether requests shall also go through another entry.

        That is so if no lease was granted for `DIRECT_SILENCE_S`.
        """
        return now_s - self._last_grant_s > DIRECT_SILENCE_S

    def should_move(self, now_s: float) -> bool:
        """Return whether the entry shall move to another control process."""
        if (
            self._without_quorum
            and now_s - self._moved_s > DENIED_MOVE_PAUSE_S
        ):
            return True
        return now_s - self._waiting_since_s > MOVE_AFTER_S

    def move(self, now_s: float) -> None:
        """Attach to the next control process."""
        self._choice.select_next()
        self._reset_grant_timer(now_s)
        self._moved_s = now_s

    def record_grant(self, now_s: float) -> None:
        """Record that a lease was granted."""
        self._reset_grant_timer(now_s)
        self._last_grant_s = now_s

    def record_denial(
        self, sender: str, message: LeaseDenied, now_s: float
    ) -> None:
        """Record a denied lease and the control processes that it names.

        A denial by a control process that the entry has left does not make
        it move again.
        """
        self._choice.add(message.controls)
        if sender != self.address:
            return
        if message.reason == "no_quorum":
            self._without_quorum = True
        elif message.reason == "behind":
            earliest_s = now_s - MOVE_AFTER_S + BEHIND_GRACE_S
            self._waiting_since_s = max(self._waiting_since_s, earliest_s)

    def update_voters(self, voters: tuple[str, ...], now_s: float) -> bool:
        """Replace the list of voters; return whether the entry moves."""
        moves = self._choice.update_voters(voters)
        if moves:
            self._reset_grant_timer(now_s)
        return moves

    def _reset_grant_timer(self, now_s: float) -> None:
        self._waiting_since_s = now_s
        self._without_quorum = False


__all__ = ["Attachment"]
