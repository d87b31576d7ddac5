"""When the leader may send which order to an engine.

What it answers: two leaders that both believe to be one would load and
unload against each other, and some engines ignore the fencing number that
tells the orders apart. So an order is safe by time alone: it is recorded
in the log before it is sent; it is sent only while the quorum still backs
the leader; it is on its way for a bounded time; and a new leader sends its
first one only after its predecessor's lease, and touches an unfinished one
only after that order's time of flight as well.

Times here are of one process's monotonic clock, so the wall clocks of two
leaders need not agree.
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

# The sender's whole call, connection and answer, ends within this, and
# closes its connection. What the engine has read by then it acts on.
ORDER_TIMEOUT_S: Final = 5.0
# An engine may act a moment after it has read the last byte.
ENGINE_DELAY_S: Final = 1.0
# Sending begins within this after the record was committed, else the
# order is given up and recorded as failed.
SEND_WITHIN_S: Final = 2.0
TERM_SHIFT: Final = 32


class FencingNumber(NamedTuple):
    """Grows with every order of every leader."""

    term: int
    sequence: int

    def as_integer(self) -> int:
        """Return one number for engines that take a single one."""
        return self.term << TERM_SHIFT | self.sequence


class OrderIssuer:
    """One leader's orders, for as long as it leads in one term.

    ``leader_lease_s`` is the longest time for which a predecessor may
    believe to lead after its last contact with a quorum.
    """

    def __init__(
        self, term: int, became_leader_s: float, leader_lease_s: float
    ) -> None:
        self._term = term
        self._sequence = 0
        self._earliest_order_s = became_leader_s + _guarded(leader_lease_s)
        # When an order of this leader may at the latest have its effect.
        self._settled_s: dict[str, float] = {}
        self._intended_s: dict[str, float] = {}
        self._sent: set[str] = set()

    @property
    def earliest_order_s(self) -> float:
        """When the predecessor's lease has run out for certain."""
        return self._earliest_order_s

    @property
    def earliest_resume_s(self) -> float:
        """When no order of a predecessor can be on its way any more."""
        return self._earliest_order_s + _settle_s()

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

        None while the wait is not over, or while the server has another
        order that is not finished: it would not be known which of the two
        took effect last.
        """
        if now_s < self._earliest_order_s:
            return None
        if any(_is_open(order, backend_server) for order in orders):
            return None
        if now_s < self._settled_s.get(backend_server, now_s):
            return None
        fence = self._next_fence()
        order_id = f"{fence.term}.{fence.sequence}"
        return self._intend(
            now_s, order_id, fence, backend_server, action, target, wall_now_s
        )

    def resume(
        self, now_s: float, order: OrderRecord, wall_now_s: float
    ) -> RecordOrder | None:
        """Return the record that sends an unfinished order again.

        The order keeps its id and gets a new fencing number, once the old
        one can have no effect any more.
        """
        if order not in self.unfinished((order,), now_s):
            return None
        return self._intend(
            now_s,
            order.order_id,
            self._next_fence(),
            order.backend_server,
            order.action,
            order.target,
            wall_now_s,
        )

    def may_send(
        self, now_s: float, quorum_remaining_s: float, record: RecordOrder
    ) -> bool:
        """Tell, right before the first byte, whether an order may go.

        Its record must be committed. It goes once: a process that was
        suspended after the commit is past `SEND_WITHIN_S`, and one that
        lost its quorum has no backing any more.
        """
        fence = _fence_key(record)
        intended_s = self._intended_s.get(fence)
        if intended_s is None or fence in self._sent:
            return False
        if quorum_remaining_s <= 0.0 or now_s - intended_s >= SEND_WITHIN_S:
            return False
        self._sent.add(fence)
        self._settled_s[record.backend_server] = now_s + _settle_s()
        return True

    def outcome(
        self, record: RecordOrder, phase: str, detail: str, wall_now_s: float
    ) -> RecordOrder:
        """Return the record of how an order ended, to be committed.

        ``done`` and ``failed`` free the server for its next order, so
        they are only for an order of which nothing is on its way.
        """
        fence = _fence_key(record)
        self._intended_s.pop(fence, None)
        self._sent.discard(fence)
        if phase in FINISHED_PHASES:
            self._settled_s.pop(record.backend_server, None)
        return record._replace(phase=phase, detail=detail, now_s=wall_now_s)

    def unfinished(
        self, orders: Iterable[OrderRecord], now_s: float
    ) -> tuple[OrderRecord, ...]:
        """Return the orders that may be sent again now."""
        return tuple(
            order
            for order in orders
            if order.phase in UNFINISHED_PHASES
            and now_s >= self._resumable_s(order)
        )

    def _resumable_s(self, order: OrderRecord) -> float:
        if order.term != self._term:
            return self.earliest_resume_s
        fence = f"{order.term}.{order.sequence}"
        settled_s = self._settled_s.get(order.backend_server, float("-inf"))
        intended_s = self._intended_s.get(fence)
        if intended_s is None or fence in self._sent:
            return settled_s
        # Committed and not sent: `may_send` lets it go until then.
        return max(settled_s, intended_s + SEND_WITHIN_S)

    def _intend(
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
        self._intended_s[_fence_key(record)] = now_s
        return record

    def _next_fence(self) -> FencingNumber:
        self._sequence += 1
        return FencingNumber(self._term, self._sequence)


def _is_open(order: OrderRecord, backend_server: str) -> bool:
    return (
        order.backend_server == backend_server
        and order.phase in UNFINISHED_PHASES
    )


def _fence_key(record: RecordOrder) -> str:
    return f"{record.term}.{record.sequence}"


def _settle_s() -> float:
    return _guarded(ORDER_TIMEOUT_S + ENGINE_DELAY_S)


def _guarded(length_s: float) -> float:
    return length_s * (1.0 + DRIFT_MARGIN)


__all__ = [
    "ENGINE_DELAY_S",
    "FencingNumber",
    "ORDER_TIMEOUT_S",
    "OrderIssuer",
    "SEND_WITHIN_S",
]
