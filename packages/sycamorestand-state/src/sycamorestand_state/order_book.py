"""The recorded orders to engines, and their transitions as pure functions.

The leader records an order as ``intended`` before it sends the order, and
records the outcome afterwards. The order book refuses an intent whose
fencing number is not above all earlier ones. A deposed leader therefore
cannot record, and so cannot send, an order after its successor has
recorded one.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

from sycamorestand_state.commands import RecordOrder
from sycamorestand_state.results import OrderRecord

INTENDED: Final = "intended"
UNFINISHED_PHASES: Final = frozenset({INTENDED, "unknown"})
FINISHED_PHASES: Final = frozenset({"done", "failed"})
# Finished orders are kept for operators; the audit trail lists them too.
MAX_FINISHED_ORDERS: Final = 500
# An engine writes it.
MAX_DETAIL_CHARACTERS: Final = 500


class OrderBook(NamedTuple):
    """Orders by id, and the highest recorded fencing number.

    The fencing number is the pair of ``term`` and ``sequence``.
    """

    orders: dict[str, OrderRecord] = {}
    term: int = 0
    sequence: int = 0


class OrderDecision(NamedTuple):
    """The result of a `RecordOrder`; ``finding`` is the refusal's reason."""

    book: OrderBook
    changed: bool
    finding: str = ""


def shortened(record: OrderRecord) -> OrderRecord:
    """Return the record with as much of its detail as is kept."""
    return record._replace(detail=record.detail[:MAX_DETAIL_CHARACTERS])


def record_order(book: OrderBook, command: RecordOrder) -> OrderDecision:
    """Record the intent or the outcome of an order, or refuse it.

    A resend of the last record of an order changes nothing.
    """
    record = shortened(OrderRecord(*command))
    known = book.orders.get(command.order_id)
    if known is not None and known._replace(now_s=record.now_s) == record:
        return OrderDecision(book, changed=False)
    finding = _finding(book, known, record)
    if finding:
        return OrderDecision(book, changed=False, finding=finding)
    return OrderDecision(_with_order(book, record), changed=True)


def _finding(
    book: OrderBook, known: OrderRecord | None, record: OrderRecord
) -> str:
    if record.phase == INTENDED:
        return _intent_finding(book, known, record)
    if record.phase not in UNFINISHED_PHASES | FINISHED_PHASES:
        return f"order {record.order_id}: unknown phase {record.phase!r}"
    if known is None:
        return f"order {record.order_id}: was never recorded as intended"
    if (known.term, known.sequence) != (record.term, record.sequence):
        return (
            f"order {record.order_id}: was sent again as "
            f"{known.term}.{known.sequence}"
        )
    if known.phase in FINISHED_PHASES:
        return f"order {record.order_id}: is {known.phase} already"
    return ""


def _intent_finding(
    book: OrderBook, known: OrderRecord | None, record: OrderRecord
) -> str:
    fence = (record.term, record.sequence)
    if fence <= (book.term, book.sequence):
        return (
            f"order {record.order_id}: fencing number {record.term}."
            f"{record.sequence} is not above {book.term}.{book.sequence}"
        )
    if known is not None and known.phase in FINISHED_PHASES:
        return f"order {record.order_id}: is {known.phase} already"
    for other in book.orders.values():
        same_server = other.backend_server == record.backend_server
        if other.order_id == record.order_id or not same_server:
            continue
        if other.phase in UNFINISHED_PHASES:
            return (
                f"order {other.order_id} to {record.backend_server} is not "
                "finished"
            )
    return ""


def _with_order(book: OrderBook, record: OrderRecord) -> OrderBook:
    orders = dict(book.orders)
    orders.pop(record.order_id, None)
    orders[record.order_id] = record
    finished = [
        order_id
        for order_id, order in orders.items()
        if order.phase in FINISHED_PHASES
    ]
    surplus = max(0, len(finished) - MAX_FINISHED_ORDERS)
    for order_id in finished[:surplus]:
        del orders[order_id]
    fence = max((book.term, book.sequence), (record.term, record.sequence))
    return OrderBook(orders, *fence)


__all__ = [
    "FINISHED_PHASES",
    "INTENDED",
    "MAX_FINISHED_ORDERS",
    "OrderBook",
    "OrderDecision",
    "record_order",
    "shortened",
    "UNFINISHED_PHASES",
]
