"""When an entry leaves its control process for another one.

The load pattern is all entries of a process that is lost or cut off, at the
same moment. Who leaves late refuses its callers when its lease runs out; who
leaves early, while there is no leader anywhere, goes round all processes and
keeps them from electing one.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_entry.control.choice import ControlChoice
from sycamorestand_peer.relays import DIRECT_SILENCE_S

if TYPE_CHECKING:
    from sycamorestand_peer.messages import LeaseDenied

# Three renewals without a grant: one may be lost, and a control process
# may be busy, but after this the lease of 2 s needs another granter now.
MOVE_AFTER_S: Final = 1.2
# One that has no quorum says so; another one may have. Without a pause all
# entries would go round all control processes while there is no leader.
MOVE_DENIED_S: Final = 0.4
# One that denies because we are behind is well and sends the revision that
# is missing; it is left only if that takes longer than this.
BEHIND_GRACE_S: Final = 0.4


class Attachment:
    """The control process that an entry asks, and how it has answered."""

    def __init__(self, addresses: tuple[str, ...], now_s: float) -> None:
        self._choice = ControlChoice(addresses)
        self._granted_s = now_s
        self._answered_s = now_s
        self._moved_s = float("-inf")
        self._without_quorum = False

    @property
    def address(self) -> str:
        """Return the control process that the entry is attached to."""
        return self._choice.address

    def is_silent(self, now_s: float) -> bool:
        """Tell whether it is to be asked by another way as well."""
        return now_s - self._answered_s > DIRECT_SILENCE_S

    def is_time_to_move(self, now_s: float) -> bool:
        """Tell whether another control process is to be asked instead."""
        if self._without_quorum and now_s - self._moved_s > MOVE_DENIED_S:
            return True
        return now_s - self._granted_s > MOVE_AFTER_S

    def move(self, now_s: float) -> None:
        """Attach to the next one."""
        self._choice.move_on()
        self._begin(now_s)
        self._moved_s = now_s

    def granted(self, now_s: float) -> None:
        """Note that a lease was granted."""
        self._begin(now_s)
        self._answered_s = now_s

    def denied(self, sender: str, message: LeaseDenied, now_s: float) -> None:
        """Note that no lease was granted, and who else may grant one."""
        self._choice.add(message.controls)
        if sender != self.address:
            return
        if message.reason == "no_quorum":
            self._without_quorum = True
        elif message.reason == "behind":
            keeps_s = now_s - MOVE_AFTER_S + BEHIND_GRACE_S
            self._granted_s = max(self._granted_s, keeps_s)

    def learn(self, voters: tuple[str, ...], now_s: float) -> bool:
        """Go by the voters of now; return whether the entry moves."""
        moves = self._choice.learn(voters)
        if moves:
            self._begin(now_s)
        return moves

    def _begin(self, now_s: float) -> None:
        self._granted_s = now_s
        self._without_quorum = False


__all__ = ["Attachment"]
