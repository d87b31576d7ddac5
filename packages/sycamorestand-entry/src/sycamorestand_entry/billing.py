"""What a request costs, and its one charge in the ledger."""

from __future__ import annotations

import time
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_entry.errors import LedgerFailed
from sycamorestand_model.declarations import find_version
from sycamorestand_model.errors import LedgerUnavailable
from sycamorestand_model.ledger import Charge

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.errors import Run
    from sycamorestand_entry.service_call import ServiceCall
    from sycamorestand_entry.sse import Usage
    from sycamorestand_model.declarations import Declarations
    from sycamorestand_model.ledger import LedgerRecord
    from sycamorestand_model.ledger import LedgerResult

TOKENS_PER_PRICE: Final = 1_000_000
LEDGER_RETRY_S: Final = 1.0
# ``expired``: the key was charged so long ago that only that is known.
CHARGED: Final = ("created", "exists", "expired")
RESEND_PAUSE_S: Final = 0.05


def cost_micros(
    declarations: Declarations, identity: str, usage: Usage
) -> int:
    """Return the price of the tokens, rounded up to a whole micro-unit."""
    version = find_version(declarations, identity)
    if version is None:
        return 0
    price = usage.input_tokens * version.input_micros_per_mtoken
    price += usage.output_tokens * version.output_micros_per_mtoken
    return -(-price // TOKENS_PER_PRICE)


async def charge_once(context: EntryContext, charge: Charge) -> int:
    """Make the charge durable and return what the request cost.

    Where the key has been charged before, by an earlier attempt or
    another entry, that charge stands and its cost is returned.
    """
    result = (await write_ledger(context, [charge], run="ran"))[0]
    context.metrics.charges.inc({"state": result.state})
    require_charged(result)
    context.metrics.tokens.add(
        {"version": charge.version}, charge.output_tokens
    )
    if result.state == "exists":
        return result.cost_micros
    return charge.cost_micros


def require_charged(result: LedgerResult) -> None:
    """Raise where the ledger did not take the charge.

    A full shard, or a charge that it refuses, has charged nothing: the
    answer would go out unbilled. The caller asks again with its key.
    """
    if result.state not in CHARGED:
        raise LedgerFailed(
            f"the ledger took no charge ({result.state}); ask again with"
            " this key",
            LEDGER_RETRY_S,
            "ran",
        )


async def write_ledger(
    context: EntryContext,
    records: Sequence[LedgerRecord],
    run: Run,
) -> list[LedgerResult]:
    """Return the ledger's answer, resending while there is time.

    Every record may be resent: a second one with the same content does
    no harm, and is answered like the first but for a dispatch, whose
    ``conflict`` names its own owner. ``run`` is what a refusal says of
    the request where the ledger stays silent.
    """
    begin_s = time.monotonic()
    try:
        with anyio.fail_after(context.settings.ledger_timeout_s):
            return await _write_until_answered(context, records)
    except TimeoutError:
        raise LedgerFailed(
            "the ledger gave no answer in time; ask again with this key",
            LEDGER_RETRY_S,
            run,
        ) from None
    finally:
        waited_s = time.monotonic() - begin_s
        context.metrics.ledger_wait.add({}, waited_s)


async def _write_until_answered(
    context: EntryContext, records: Sequence[LedgerRecord]
) -> list[LedgerResult]:
    while True:
        try:
            return await context.control.write_ledger(records)
        except LedgerUnavailable:
            context.metrics.ledger_failures.inc({})
            await anyio.sleep(RESEND_PAUSE_S)


def service_charge(call: ServiceCall, cost_micros: int) -> Charge:
    """Return the charge of a service's call that was answered."""
    return Charge(
        call.customer,
        call.request_key,
        call.service,
        cost_micros,
        0,
        0,
        now_s(),
    )


def now_s() -> float:
    """Return the wall-clock time that records carry."""
    return time.time()


__all__ = [
    "charge_once",
    "cost_micros",
    "now_s",
    "require_charged",
    "service_charge",
    "write_ledger",
]
