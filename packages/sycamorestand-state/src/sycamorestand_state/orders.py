"""Decide which order the leader may send to an engine, and when.

A deposed leader may still believe that it leads. Two leaders would then
send conflicting orders, such as to load and unload a model, and some
engines ignore the fencing number that shows the newer order. Timing alone
therefore has to keep the orders of two leaders apart:

- the leader records an order in the log before it sends the order;
- it sends an order only while a quorum still confirms it as leader;
- a sent order takes effect within a bounded time, or not at all;
- a new leader sends its first order only after its predecessor's lease has
  expired, and resends an unfinished order only after that order's timeout
  as well.

All times are on the monotonic clock of one process, so the wall clocks of
two leaders may differ.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final
from typing import NamedTuple

from sycamorestand_state.commands import RecordOrder
from sycamorestand_state.leases import DRIFT_MARGIN
from sycamorestand_state.order_book import FINISHED_PHASES
from sycamorestand_state.order_book import INTENDED
from sycamorestand_state.order_book import UNFINISHED_PHASES
from sycamorestand_state.results import OrderRecord

# Timeout of the sender's whole call, from connecting to the answer. The
# sender then closes the connection; the engine acts on what it has read.
ORDER_TIMEOUT_S: Final = 5.0
# An engine may act up to this long after it has read the last byte.
ENGINE_DELAY_S: Final = 1.0
# Sending must begin within this time after the record of the intent was
# made. Otherwise the leader abandons the order and records it as failed.
SEND_WITHIN_S: Final = 2.0
TERM_SHIFT: Final = 32


class FencingNumber(NamedTuple):
    """The number of an order, above those of all earlier orders.

    It is ordered by the leader's term, then by the order's sequence.
    """

    term: int
    sequence: int

    def as_integer(self) -> int:
        """Return the number as one integer, for engines that take one."""
        return self.term << TERM_SHIFT | self.sequence


class OrderIssuer:
    """Issues the orders of one leader during one term.

    ``leader_lease_s`` is the longest time for which a predecessor may
    believe that it leads after its last contact with a quorum.
    """

    def __init__(
        self, term: int, became_leader_s: float, leader_lease_s: float
    ) -> None:
        self._term = term
        self._sequence = 0
        self._earliest_order_s = became_leader_s + _with_drift_margin(
            leader_lease_s
        )
        # By backend server, the time after which the last sent order of
        # this leader can no longer take effect.
        self._settled_at_s: dict[str, float] = {}
        self._intended_at_s: dict[str, float] = {}
        self._sent: set[str] = set()

    @property
    def earliest_order_s(self) -> float:
        """The time at which the predecessor's lease has surely expired."""
        return self._earliest_order_s

    @property
    def earliest_resume_s(self) -> float:
        """The time after which no order of a predecessor can take effect."""
        return self._earliest_order_s + _settling_time_s()

    def next_order(
        self,
        now_s: float,
        backend_server: str,
        action: str,
        target: str,
        orders: Iterable[OrderRecord],
        wall_now_s: float,
    ) -> RecordOrder | None:
        """Return the record to commit before an order may be sent.

        Return None before `earliest_order_s`, and while the backend server
        has an unfinished order, as either of the two orders could then take
        effect last.
        """
        if now_s < self._earliest_order_s:
            return None
        if any(_is_unfinished_on(order, backend_server) for order in orders):
            return None
        if now_s < self._settled_at_s.get(backend_server, now_s):
            return None
        fence = self._next_fence()
        order_id = f"{fence.term}.{fence.sequence}"
        return self._build_intent(
            now_s, order_id, fence, backend_server, action, target, wall_now_s
        )

    def resume(
        self, now_s: float, order: OrderRecord, wall_now_s: float
    ) -> RecordOrder | None:
        """Return the record to commit before an unfinished order is resent.

        The order keeps its id and gets a new fencing number. Return None
        while the order, as sent before, may still take effect.
        """
        if order not in self.unfinished((order,), now_s):
            return None
        return self._build_intent(
            now_s,
            order.order_id,
            self._next_fence(),
            order.backend_server,
            order.action,
            order.target,
            wall_now_s,
        )

    def claim_send(
        self, now_s: float, quorum_remaining_s: float, record: RecordOrder
    ) -> bool:
        """Mark an order as sent if it may be sent; return whether it may.

        Call it right before the first byte, after the record is committed.
        It returns True once for each order. It returns False if the
        process was suspended and `SEND_WITHIN_S` has passed, or if the
        quorum no longer confirms the leader.
        """
        fence = _fence_key(record)
        intended_at_s = self._intended_at_s.get(fence)
        if intended_at_s is None or fence in self._sent:
            return False
        if quorum_remaining_s <= 0.0 or now_s - intended_at_s >= SEND_WITHIN_S:
            return False
        self._sent.add(fence)
        self._settled_at_s[record.backend_server] = now_s + _settling_time_s()
        return True

    def build_outcome(
        self, record: RecordOrder, phase: str, detail: str, wall_now_s: float
    ) -> RecordOrder:
        """Return the record of an order's outcome, to be committed.

        The outcomes ``done`` and ``failed`` permit the next order to the
        backend server at once, so they are only for an order that can have
        no further effect.
        """
        fence = _fence_key(record)
        self._intended_at_s.pop(fence, None)
        self._sent.discard(fence)
        if phase in FINISHED_PHASES:
            self._settled_at_s.pop(record.backend_server, None)
        return record._replace(phase=phase, detail=detail, now_s=wall_now_s)

    def unfinished(
        self, orders: Iterable[OrderRecord], now_s: float
    ) -> tuple[OrderRecord, ...]:
        """Return the unfinished orders that may be resent now."""
        return tuple(
            order
            for order in orders
            if order.phase in UNFINISHED_PHASES
            and now_s >= self._resumable_at_s(order)
        )

    def _resumable_at_s(self, order: OrderRecord) -> float:
        if order.term != self._term:
            return self.earliest_resume_s
        fence = f"{order.term}.{order.sequence}"
        settled_at_s = self._settled_at_s.get(
            order.backend_server, float("-inf")
        )
        intended_at_s = self._intended_at_s.get(fence)
        if intended_at_s is None or fence in self._sent:
            return settled_at_s
        # The intent is recorded but the order not yet sent; `claim_send`
        # permits sending it until `SEND_WITHIN_S` has passed.
        return max(settled_at_s, intended_at_s + SEND_WITHIN_S)

    def _build_intent(
        self,
        now_s: float,
        order_id: str,
        fence: FencingNumber,
        backend_server: str,
        action: str,
        target: str,
        wall_now_s: float,
    ) -> RecordOrder:
        record = RecordOrder(
            order_id,
            fence.term,
            fence.sequence,
            backend_server,
            action,
            target,
            INTENDED,
            "",
            wall_now_s,
        )
        self._intended_at_s[_fence_key(record)] = now_s
        return record

    def _next_fence(self) -> FencingNumber:
        self._sequence += 1
        return FencingNumber(self._term, self._sequence)


def _is_unfinished_on(order: OrderRecord, backend_server: str) -> bool:
    return (
        order.backend_server == backend_server
        and order.phase in UNFINISHED_PHASES
    )


def _fence_key(record: RecordOrder) -> str:
    return f"{record.term}.{record.sequence}"


def _settling_time_s() -> float:
    return _with_drift_margin(ORDER_TIMEOUT_S + ENGINE_DELAY_S)


def _with_drift_margin(length_s: float) -> float:
    return length_s * (1.0 + DRIFT_MARGIN)


__all__ = [
    "ENGINE_DELAY_S",
    "FencingNumber",
    "ORDER_TIMEOUT_S",
    "OrderIssuer",
    "SEND_WITHIN_S",
]
