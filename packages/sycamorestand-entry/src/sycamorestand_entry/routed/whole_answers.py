"""Calls whose answer is read completely before it is forwarded.

The entry can check a complete answer, and retry the call at another server,
before the caller has received any of it.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_decisions.attempt_timeouts import call_limit_s
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.routed.attempts import ARRIVAL_POLL_S
from sycamorestand_entry.routed.engine_wait import call_work
from sycamorestand_entry.routed.exchange import ForwardingRefused
from sycamorestand_entry.routed.messages import EngineOptions
from sycamorestand_entry.routed.messages import NOT_RUN_STATUSES
from sycamorestand_entry.routed.messages import RETRY_STATUSES
from sycamorestand_entry.upstream import SlowAnswer
from sycamorestand_entry.upstream import UpstreamError

if TYPE_CHECKING:
    from sycamorestand_entry.routed.attempts import Attempts
    from sycamorestand_entry.routed.exchange import Exchange
    from sycamorestand_entry.routed.messages import WholeAnswer
    from sycamorestand_entry.upstream import ResponseHead

# A shorter wait is not worth a timer.
MIN_WAIT_S: Final = 0.05


async def read_whole_answer(attempts: Attempts, target: str) -> WholeAnswer:
    """Return a server's complete answer.

    If retries bring no other answer, an answer with a status of
    `RETRY_STATUSES` is returned. Raises a `RequestError` if no server gave
    an answer that can be forwarded.
    """
    last_failure: WholeAnswer | None = None
    work = call_work(attempts.context, attempts.call.route.name)
    while True:
        try:
            exchange = await attempts.open(target, EngineOptions(work=work))
        except RequestError as error:
            if last_failure is not None:
                return last_failure
            raise attempts.correct_run_state(error) from None
        try:
            answer = await _read_answer(attempts, exchange)
        except ForwardingRefused as refused:
            try:
                attempts.record_forwarding_refused(refused)
            except RequestError:
                if last_failure is not None:
                    return last_failure
                raise
            continue
        except SlowAnswer:
            attempts.may_have_run = True
            continue
        if answer is not None and answer.not_run:
            message = "every backend server is full"
            retry = await attempts.may_retry(overloaded=True)
        elif answer is None or answer.status in NOT_RUN_STATUSES:
            attempts.may_have_run = True
            message = "the backend server gave no whole answer"
            retry = await attempts.may_retry(overloaded=False)
        elif answer.status in RETRY_STATUSES:
            attempts.may_have_run = True
            last_failure = answer
            retry = await attempts.may_retry(overloaded=False)
        else:
            return answer
        if retry:
            continue
        if last_failure is not None:
            return last_failure
        raise attempts.final_error(message)


async def _read_answer(
    attempts: Attempts, exchange: Exchange
) -> WholeAnswer | None:
    """Return the answer, None if it broke off.

    Raises `SlowAnswer` if another server shall be asked instead, and
    `ForwardingRefused` as `Exchange.read_head` does.
    """
    try:
        head = await _read_head(attempts, exchange)
        exchange.record_first_byte()
        return await exchange.read_whole(head)
    except UpstreamError:
        return None
    finally:
        exchange.close()
        attempts.cancel_arrival_wait()


async def _read_head(attempts: Attempts, exchange: Exchange) -> ResponseHead:
    call = attempts.call
    move_after_s = limit_s = call_limit_s(max(0.0, call.remaining_s()))
    may_move = bool(attempts.left)
    while call.may_repeat and call.remaining_s() > 0:
        try:
            return await exchange.read_head(limit_s, soft=True)
        except SlowAnswer:
            if attempts.note_loss(
                exchange
            ) and await attempts.may_replace_lost(exchange):
                exchange.abandon_lost()
                raise
            if may_move and exchange.age_s() >= move_after_s:
                may_move = False
                target = exchange.destination.target
                # Without another server, keep waiting: this one may answer.
                if await attempts.may_switch_server(target):
                    exchange.abandon()
                    raise
        limit_s = max(MIN_WAIT_S, call.remaining_s())
        if may_move:
            limit_s = max(MIN_WAIT_S, move_after_s - exchange.age_s())
        if attempts.is_at_lost_server(exchange):
            limit_s = min(limit_s, ARRIVAL_POLL_S)
    return await exchange.read_head(max(0.0, call.remaining_s()))


__all__ = ["read_whole_answer"]
