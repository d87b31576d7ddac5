"""Send one order to one engine with ``POST /orders``."""

from __future__ import annotations

from typing import Final
from typing import Literal
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from sycamorestand_control.orders.http_call import call_once
from sycamorestand_control.orders.http_call import NoAnswer
from sycamorestand_control.orders.http_call import NotSent
from sycamorestand_decisions.server_rests import read_rest_s
from sycamorestand_state.orders import FencingNumber

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_state.commands import RecordOrder

# Below `ORDER_TIMEOUT_S`, after which other code assumes that the call has
# ended. The difference allows for an event loop that cancels late.
ENGINE_TIMEOUT_S: Final = 4.0
DONE_STATUSES: Final = frozenset({200, 202})
STALE_STATUS: Final = 409
UNAVAILABLE_STATUS: Final = 503


class EngineOutcome(NamedTuple):
    """The outcome of an order, as a phase of the order book.

    The order book has no phase for a stale fencing number, see
    docs/design/orders.md. Such an order has the phase ``failed``, and
    ``superseded`` distinguishes it from other failures. ``rest_s`` is how
    long an engine that turned the order away wants no other one.
    """

    phase: Literal["done", "failed", "unknown"]
    detail: str
    superseded: bool = False
    rest_s: float = 0.0


async def send_order(
    address: str, record: RecordOrder, may_send: Callable[[], bool]
) -> EngineOutcome:
    """Send an order once and return its outcome.

    The outcome is ``failed`` only if the engine did not act on the
    order, and ``unknown`` if it may have.
    """
    url = f"http://{address}/orders"
    try:
        reply = await call_once(
            "POST", url, _encode_order(record), ENGINE_TIMEOUT_S, may_send
        )
    except NotSent as error:
        return EngineOutcome("failed", f"not sent: {error}")
    except NoAnswer as error:
        return EngineOutcome("unknown", f"no answer: {error}")
    outcome = _to_outcome(reply.status)
    if reply.status != UNAVAILABLE_STATUS:
        return outcome
    retry_after = reply.headers.get("retry-after", "").encode("latin-1")
    return outcome._replace(rest_s=read_rest_s(retry_after))


def _to_outcome(status: int) -> EngineOutcome:
    if status in DONE_STATUSES:
        return EngineOutcome("done", f"status {status}")
    if status == STALE_STATUS:
        return EngineOutcome("failed", "superseded: stale number", True)
    if 400 <= status < 500 or status == UNAVAILABLE_STATUS:
        return EngineOutcome("failed", f"refused: status {status}")
    # An engine that failed during the order may have begun to act on it.
    return EngineOutcome("unknown", f"status {status}")


def _encode_order(record: RecordOrder) -> bytes:
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
