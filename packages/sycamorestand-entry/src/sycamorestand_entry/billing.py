"""The price of a request and its single charge in the ledger."""

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
# ``expired``: the key was charged so long ago that the ledger has dropped
# the charge itself.
CHARGED_STATES: Final = ("created", "exists", "expired")
RESEND_PAUSE_S: Final = 0.05


def cost_micros(
    declarations: Declarations, identity: str, usage: Usage
) -> int:
    """Return the price of the tokens, rounded up to a whole micro-unit.

    It is 0 if the version is not declared.
    """
    version = find_version(declarations, identity)
    if version is None:
        return 0
    price = usage.input_tokens * version.input_micros_per_mtoken
    price += usage.output_tokens * version.output_micros_per_mtoken
    return -(-price // TOKENS_PER_PRICE)


async def charge_once(context: EntryContext, charge: Charge) -> int:
    """Store the charge durably and return the cost of the request.

    If an earlier attempt or another entry has charged the key already,
    that charge stands and its cost is returned.
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
    """Raise `LedgerFailed` if the ledger did not store the charge.

    If the shard is full or the charge is refused, the answer would be
    released unbilled. The caller has to ask again with the same key.
    """
    if result.state not in CHARGED_STATES:
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
    """Write the records, resending them until the ledger answers.

    Records are idempotent: a repeated one gets the answer of the first,
    except that a repeated dispatch gets ``conflict`` with its own owner.
    Raises `LedgerFailed`, with ``run`` as the state of the request, if no
    answer comes within ``ledger_timeout_s``.
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
    """Return the charge of an answered call to a plain service."""
    return Charge(
        call.customer,
        call.request_key,
        call.service,
        cost_micros,
        0,
        0,
        wall_now_s(),
    )


def wall_now_s() -> float:
    """Return the wall-clock time for the timestamps of records."""
    return time.time()


__all__ = [
    "charge_once",
    "cost_micros",
    "wall_now_s",
    "require_charged",
    "service_charge",
    "write_ledger",
]
