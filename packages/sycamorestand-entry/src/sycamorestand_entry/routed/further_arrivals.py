"""Arrivals that one call spends beyond its first one."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sycamorestand_entry.routed.decision_log import ArrivalDenied

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_decisions.urgent_requests import Place
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.routed.call import RoutedCall


class FurtherArrivals:
    """Spend the arrival budget of the service that one call is sent to.

    The call has no arrival to spend before `record_first`.
    """

    def __init__(self, context: EntryContext, call: RoutedCall) -> None:
        self._context = context
        self._call = call
        self._service = ""
        self._place: Place | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether the call has asked in vain for an urgent arrival."""
        return self._place is not None

    def set_service(self, service: str) -> None:
        """Set the service that the next attempt goes to."""
        if service != self._service:
            self.withdraw()
        self._service = service

    def record_first(self) -> None:
        """Record the first arrival of the call, which earns budget."""
        now_s = self._context.now_s()
        self._context.arrivals.record_first_arrival(self._service, now_s)
        self._context.loans.trade()
        self._count("first")

    async def has_spare(self) -> bool:
        """Return whether an attempt may be made that is only an improvement.

        It may not while requests wait that get no answer otherwise.
        """
        waiting = self._context.urgent_requests
        if waiting.has_any(self._service):
            return False
        has_spare = await self._check(self._context.arrivals.has_spare)
        return has_spare and not waiting.has_any(self._service)

    async def spend(self) -> bool:
        """Spend one arrival; return False and log it if none is left."""
        allowed = await self._check(self._context.arrivals.try_spend)
        if allowed:
            self._record_further()
        else:
            self._record_denied()
        return allowed

    async def request_urgent(self) -> bool:
        """Spend an arrival without which the caller gets no answer.

        If none is left for this call, return False and keep its place among
        the waiting calls until it asks again or `withdraw` is called.
        """
        waiting = self._context.urgent_requests
        is_new = self._place is None
        if self._place is None:
            deadline_at_s = self._call.deadline_at_s
            self._place = waiting.join(self._service, deadline_at_s)
        if await self._check(self._spend_in_turn, borrow=self._is_first()):
            self.withdraw()
            self._record_further()
            return True
        if is_new:
            self._record_denied()
        return False

    def withdraw(self) -> None:
        """Give up the place among the calls that wait for an arrival."""
        if self._place is not None:
            self._context.urgent_requests.leave(self._place)
            self._place = None

    def _is_first(self) -> bool:
        assert self._place is not None
        return self._context.urgent_requests.has_turn(self._place, 1.0)

    def _spend_in_turn(self, service: str, entries: int, now_s: float) -> bool:
        """Spend an arrival if it is this call's turn."""
        budget = self._context.arrivals
        left = math.inf
        if self._context.settings.allowance.ratio:
            left = budget.share(service, entries, now_s).left
        assert self._place is not None
        if not self._context.urgent_requests.has_turn(self._place, left):
            return False
        return budget.try_spend(service, entries, now_s)

    async def _check(
        self, budget: Callable[[str, int, float], bool], borrow: bool = True
    ) -> bool:
        """Check the arrival budget, if need be after borrowing."""
        context = self._context

        def is_allowed() -> bool:
            entries = context.control.entry_count()
            return budget(self._service, entries, context.now_s())

        if is_allowed():
            return True
        if not borrow:
            return False
        await context.loans.borrow(self._service)
        return is_allowed()

    def _record_further(self) -> None:
        self._context.loans.trade()
        self._count("further")

    def _record_denied(self) -> None:
        context = self._context
        entries = context.control.entry_count()
        share = context.arrivals.share(self._service, entries, context.now_s())
        self._call.log.add(ArrivalDenied(self._service, *share))
        context.loans.trade()
        self._count("denied")

    def _count(self, kind: str) -> None:
        labels = {"service": self._service, "kind": kind}
        self._context.metrics.arrivals.inc(labels)


__all__ = ["FurtherArrivals"]
