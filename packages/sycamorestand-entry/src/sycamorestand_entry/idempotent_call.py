"""Idempotent calls to plain services, with at most two attempts.

Attempts at servers that were lost do not count.
"""

from __future__ import annotations

import time
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_entry.callers import remaining_s
from sycamorestand_entry.errors import BackendFailed
from sycamorestand_entry.errors import correct_run_state
from sycamorestand_entry.errors import DeadlineExceeded
from sycamorestand_entry.errors import Overloaded
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.reservation import reserve_server
from sycamorestand_entry.service_call import acquire_slot
from sycamorestand_entry.service_call import CallFailed
from sycamorestand_entry.service_call import CallLost
from sycamorestand_entry.service_call import exchange
from sycamorestand_entry.service_call import ServiceAnswer
from sycamorestand_entry.service_call import ServiceCall
from sycamorestand_entry.upstream import ConnectFailed
from sycamorestand_model.home_regions import home_regions

if TYPE_CHECKING:
    from sycamorestand_entry.context import EntryContext

# The first attempt and one retry on a new connection.
MAX_ATTEMPTS: Final = 2
SERVER_RETRY_S: Final = 1.0


async def call_idempotent(
    context: EntryContext, call: ServiceCall
) -> ServiceAnswer:
    """Return the service's answer; raise a `RequestError` if none came."""
    slot = await acquire_slot(context, call)
    begin_s = time.monotonic()
    failed = True
    try:
        answer = await _call_in_slot(context, call)
        failed = False
        return answer
    finally:
        context.slots.finish(slot, time.monotonic() - begin_s, failed)


async def _call_in_slot(
    context: EntryContext, call: ServiceCall
) -> ServiceAnswer:
    tried: set[str] = set()
    lost: set[str] = set()
    may_have_run = False
    error: Exception | None = None
    attempts = 0
    while (left := MAX_ATTEMPTS + len(lost) - attempts) > 0:
        limit_s = remaining_s(call.deadline_at_s)
        # Unless this is the last attempt, a shorter timeout applies, because
        # the pooled connection may be dead while new ones work.
        if left > 1:
            limit_s = min(limit_s, context.settings.first_byte_timeout_s)
        idle_s = context.settings.pool_idle_s if attempts == 0 else 0.0
        attempts += 1
        try:
            answer = await _attempt(context, call, limit_s, idle_s, tried)
            context.retries.record_success(call.customer, time.monotonic())
            return answer
        except ConnectFailed as failure:
            error = failure
        except CallLost as failure:
            # No retry is spent. The retry budget keeps a failing pool from
            # getting more work, and this server gets none.
            error = failure
            may_have_run = True
            lost.add(failure.server)
        except CallFailed as failure:
            error = failure
            may_have_run = True
            if not _spend_retry(context, call):
                break
        except RequestError as refusal:
            raise correct_run_state(refusal, may_have_run) from None
    failed = BackendFailed(
        f"the service failed: {error}", SERVER_RETRY_S, "not_run"
    )
    raise correct_run_state(failed, may_have_run)


async def _attempt(
    context: EntryContext,
    call: ServiceCall,
    limit_s: float,
    idle_s: float,
    tried: set[str],
) -> ServiceAnswer:
    if limit_s <= 0:
        raise DeadlineExceeded("the deadline passed", run="not_run")
    homes = home_regions(context.control.in_force(), call.customer)
    among = context.servers.names_in(homes)
    await reserve_server(context, call.service, limit_s, among)
    server = context.servers.choose(
        call.service, time.monotonic(), tried, again=True, among=among
    )
    tried.add(server.name)
    connection = await context.pool.acquire(server.address, idle_s)
    answer = await exchange(context, call, server, connection, limit_s, None)
    if answer.not_run:
        raise Overloaded("the service is overloaded", SERVER_RETRY_S)
    return answer


def _spend_retry(context: EntryContext, call: ServiceCall) -> bool:
    granted = context.retries.spend_retry(
        call.customer, time.monotonic(), "error"
    )
    result = "granted" if granted else "denied"
    context.metrics.retries.inc({"result": result})
    return granted


__all__ = ["call_idempotent"]
