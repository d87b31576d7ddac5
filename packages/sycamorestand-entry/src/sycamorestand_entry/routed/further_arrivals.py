"""Arrivals that one call spends beyond its first one."""

from __future__ import annotations

import math
from typing import Final
from typing import Literal
from typing import TYPE_CHECKING

from sycamorestand_decisions.arrivals import URGENT_SHARE
from sycamorestand_entry.routed.decision_log import ArrivalDenied

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_decisions.arrivals import Share
    from sycamorestand_decisions.urgent_requests import Place
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.routed.call import RoutedCall


# The kinds of further attempts, as operators see them.
AttemptKind = Literal["climb", "move", "retry", "resume", "fall_back"]
NO_ARRIVAL: Final = "no_arrival"
ARRIVALS_KEPT: Final = "arrivals_kept"
URGENT_WAITING: Final = "urgent_waiting"


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

    async def improvement_bound(self, reserve: float) -> str:
        """Return why an attempt that only improves an answer is denied.

        The result is empty if the attempt may be made. It must leave the
        ``reserve``, a share of what may be kept above one arrival. It may not
        be made while requests wait that get no answer otherwise. A loan does
        not cover more than `URGENT_SHARE`, so an attempt with a larger reserve
        does not wait for one.
        """
        waiting = self._context.urgent_requests
        budget = self._context.arrivals

        def has_spare(service: str, entries: int, now_s: float) -> bool:
            return budget.has_spare(service, entries, now_s, reserve)

        if waiting.has_any(self._service):
            return URGENT_WAITING
        borrow = reserve <= URGENT_SHARE
        if not await self._check(has_spare, borrow):
            return ARRIVALS_KEPT
        return URGENT_WAITING if waiting.has_any(self._service) else ""

    def share(self) -> Share:
        """Return the entry's part of the budget of the call's service."""
        context = self._context
        entries = context.control.entry_count()
        return context.arrivals.share(self._service, entries, context.now_s())

    def count_attempt(self, kind: AttemptKind, denied_by: str = "") -> None:
        """Count the decision about a further attempt.

        ``denied_by`` is the bound that forbids it, empty if it is made.
        """
        labels = {
            "service": self._service,
            "kind": kind,
            "decision": "denied" if denied_by else "made",
            "bound": denied_by.replace(" ", "_"),
        }
        self._context.metrics.further_attempts.inc(labels)

    async def spend(self, kind: AttemptKind) -> bool:
        """Spend one arrival; return False and log it if none is left."""
        allowed = await self._check(self._context.arrivals.try_spend)
        if allowed:
            self._record_further(kind)
        else:
            self._record_denied(kind)
        return allowed

    async def request_urgent(self, kind: AttemptKind) -> bool:
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
            self._record_further(kind)
            return True
        if is_new:
            self._record_denied(kind)
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

    def _record_further(self, kind: AttemptKind) -> None:
        self._context.loans.trade()
        self._count("further")
        self.count_attempt(kind)

    def _record_denied(self, kind: AttemptKind) -> None:
        self._call.log.add(ArrivalDenied(self._service, *self.share()))
        self._context.loans.trade()
        self._count("denied")
        self.count_attempt(kind, NO_ARRIVAL)

    def _count(self, kind: str) -> None:
        labels = {"service": self._service, "kind": kind}
        self._context.metrics.arrivals.inc(labels)


__all__ = ["AttemptKind", "FurtherArrivals"]
