"""``POST /orders``: one order on its way to one engine."""

from __future__ import annotations

from typing import Final
from typing import Literal
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from sycamorestand_control.orders.http_call import call_once
from sycamorestand_control.orders.http_call import NoAnswer
from sycamorestand_control.orders.http_call import NotSent
from sycamorestand_state.orders import FencingNumber

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_state.commands import RecordOrder

# Below `ORDER_TIMEOUT_S`, after which others count on nothing of the order
# being on its way; the rest is for a loop that is late to cancel.
ENGINE_TIMEOUT_S: Final = 4.0
DONE_STATUSES: Final = frozenset({200, 202})
STALE_STATUS: Final = 409
UNAVAILABLE_STATUS: Final = 503


class EngineOutcome(NamedTuple):
    """How an order ended, in the phases of the order book.

    The book has no phase for a stale number, see docs/design/orders.md:
    it is a failure, and ``superseded`` tells it from the others.
    """

    phase: Literal["done", "failed", "unknown"]
    detail: str
    superseded: bool = False


async def send_order(
    address: str, record: RecordOrder, may_send: Callable[[], bool]
) -> EngineOutcome:
    """Send an order once and tell what became of it."""
    url = f"http://{address}/orders"
    try:
        reply = await call_once(
            "POST", url, _body(record), ENGINE_TIMEOUT_S, may_send
        )
    except NotSent as error:
        return EngineOutcome("failed", f"not sent: {error}")
    except NoAnswer as error:
        return EngineOutcome("unknown", f"no answer: {error}")
    return _read_status(reply.status)


def _read_status(status: int) -> EngineOutcome:
    if status in DONE_STATUSES:
        return EngineOutcome("done", f"status {status}")
    if status == STALE_STATUS:
        return EngineOutcome("failed", "superseded: stale number", True)
    if 400 <= status < 500 or status == UNAVAILABLE_STATUS:
        return EngineOutcome("failed", f"refused: status {status}")
    # An engine that failed in the middle may have begun.
    return EngineOutcome("unknown", f"status {status}")


def _body(record: RecordOrder) -> bytes:
    fence = FencingNumber(record.term, record.sequence)
    return msgspec.json.encode(
        {
            "order_id": record.order_id,
            "term": record.term,
            "sequence": record.sequence,
            "fencing_number": fence.as_integer(),
            "action": record.action,
            "target": record.target,
        }
    )


__all__ = ["ENGINE_TIMEOUT_S", "EngineOutcome", "send_order"]
