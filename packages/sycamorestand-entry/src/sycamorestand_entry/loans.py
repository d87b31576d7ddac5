"""Exchange of arrival budget with the pool of the control process."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_peer.messages import ArrivalsLent
from sycamorestand_peer.messages import ArrivalTrade

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_decisions.arrivals import ArrivalBudget
    from sycamorestand_entry.ports import ControlPort

# A round trip to a control process in another data centre, with some time
# for its turn. A request waits no longer, as the pool may have nothing to
# lend.
ANSWER_WAIT_S: Final = 0.05


class Loans:
    """Gives the pool budget that the entry would lose, and borrows from it.

    The budget counts further arrivals, those after a request's first one.
    """

    def __init__(
        self,
        budget: ArrivalBudget,
        control: ControlPort,
        now_s: Callable[[], float],
    ) -> None:
        self._budget = budget
        self._control = control
        self._now_s = now_s
        self._answered = anyio.Event()
        control.add_listener(ArrivalsLent, self._on_lent)

    def trade(self, needed: str = "") -> None:
        """Send the control process a trade if one is due.

        ``needed`` is a service whose budget is too small now.
        """
        entries = self._control.entry_count()
        trade = self._budget.open_trade(entries, self._now_s(), needed)
        if trade is not None:
            self._answered = anyio.Event()
            self._control.send(ArrivalTrade(*trade))

    async def borrow(self, service: str) -> None:
        """Request budget for a service and wait briefly for the answer."""
        self.trade(service)
        if self._budget.expects_quick_reply:
            with anyio.move_on_after(ANSWER_WAIT_S):
                await self._answered.wait()

    def _on_lent(self, message: ArrivalsLent) -> None:
        self._budget.close_trade(message.number, message.lent)
        self._answered.set()


__all__ = ["ANSWER_WAIT_S", "Loans"]
