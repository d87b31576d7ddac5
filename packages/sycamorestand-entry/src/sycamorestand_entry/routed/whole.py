"""Calls whose answer is read whole before any of it is passed on.

A whole answer can be judged, and asked for again elsewhere, while the
caller has seen nothing of it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.routed.exchange import RETRY_STATUSES
from sycamorestand_entry.upstream import UpstreamError

if TYPE_CHECKING:
    from sycamorestand_entry.routed.attempts import Attempts
    from sycamorestand_entry.routed.exchange import Exchange
    from sycamorestand_entry.routed.exchange import WholeAnswer


async def whole_answer(attempts: Attempts, target: str) -> WholeAnswer:
    """Return a server's whole answer, or raise the final refusal."""
    failure: RequestError | None = None
    kept: WholeAnswer | None = None
    while True:
        try:
            exchange = await attempts.open(target, "", b"", b"")
        except RequestError as error:
            if kept is not None:
                return kept
            raise _worse(failure, error, attempts) from None
        answer = await _read(attempts, exchange)
        if answer is None:
            attempts.may_have_run = True
            if attempts.may_go_on(overloaded=False):
                continue
            raise attempts.failure("the backend server gave no whole answer")
        if answer.not_run:
            if attempts.may_go_on(overloaded=True):
                failure = attempts.failure("every backend server is full")
                continue
            raise attempts.failure("every backend server is full")
        if answer.status not in RETRY_STATUSES:
            return answer
        attempts.may_have_run = True
        kept = answer
        if not attempts.may_go_on(overloaded=False):
            return answer


async def _read(attempts: Attempts, exchange: Exchange) -> WholeAnswer | None:
    try:
        head = await exchange.read_head(_limit_s(attempts))
        exchange.first_byte()
        return await exchange.read_whole(head)
    except UpstreamError:
        return None
    finally:
        exchange.close()


def _limit_s(attempts: Attempts) -> float:
    """Return how long to wait for an answer to begin.

    What may be repeated elsewhere is given up early enough that a second
    attempt can still be in time; what may not is waited for to the end.
    """
    left_s = max(0.0, attempts.call.remaining_s())
    if attempts.call.may_repeat and attempts.left:
        return min(left_s, max(0.25, left_s / 3))
    return left_s


def _worse(
    failure: RequestError | None, error: RequestError, attempts: Attempts
) -> RequestError:
    if attempts.may_have_run:
        return attempts.failure(error.message)
    return failure or error


__all__ = ["whole_answer"]
