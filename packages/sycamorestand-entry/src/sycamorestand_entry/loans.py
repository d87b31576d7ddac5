"""Trading further arrivals with the pool of the control process."""

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

# The way to a control process and back, between data centres, with some time
# for its turn. A request waits no longer for what it may not get.
ANSWER_WAIT_S: Final = 0.05


class Loans:
    """Gives what the entry's budget would lose, and borrows what it lacks."""

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
        control.add_listener(ArrivalsLent, self._lent)

    def trade(self, needed: str = "") -> None:
        """Send the control process a trade, where one is due.

        ``needed`` is a service that has too little left now.
        """
        entries = self._control.entry_count()
        trade = self._budget.open_trade(entries, self._now_s(), needed)
        if trade is not None:
            self._answered = anyio.Event()
            self._control.send(ArrivalTrade(*trade))

    async def borrow(self, service: str) -> None:
        """Ask for what a service lacks, and wait a moment for the answer."""
        self.trade(service)
        if self._budget.expects_quick_reply:
            with anyio.move_on_after(ANSWER_WAIT_S):
                await self._answered.wait()

    def _lent(self, message: ArrivalsLent) -> None:
        self._budget.close_trade(message.number, message.lent)
        self._answered.set()


__all__ = ["ANSWER_WAIT_S", "Loans"]
