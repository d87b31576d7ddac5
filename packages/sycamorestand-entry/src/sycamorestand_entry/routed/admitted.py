"""The slot that a routed request holds while it runs."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
import time
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.routed.decision_log import Admitted
from sycamorestand_entry.routed.decision_log import NotAdmitted
from sycamorestand_entry.routed.engine_wait import call_work
from sycamorestand_entry.routed.engine_wait import EngineWait
from sycamorestand_entry.slots import SlotRequest

if TYPE_CHECKING:
    from sycamorestand_decisions.admission import Refused
    from sycamorestand_entry.routed.attempts import Attempts
    from sycamorestand_entry.routed.call import RoutedCall

MS: Final = 1000
# Times learned under overload must not exceed the timeout of the route.
# Otherwise all its requests would be refused, and without answers the times
# would never be corrected.
MAX_TIMEOUT_SHARE: Final = 0.9


class Admission:
    """Whether an admitted request failed, for the admission control."""

    def __init__(self) -> None:
        self.failed = True


@asynccontextmanager
async def admitted(
    attempts: Attempts, target: str
) -> AsyncIterator[Admission]:
    """Hold a slot of the target while the request runs.

    A request that another entry forwards takes a slot of that entry, as
    this one knows no server that could have one. Raises a `RequestError` if
    the admission refuses the request.
    """
    slots = attempts.context.slots
    admission = Admission()
    begin_s = time.monotonic()
    slot = await _acquire_slot(attempts, target)
    try:
        yield admission
    except anyio.get_cancelled_exc_class():
        if slot is not None:
            slots.cancel(slot)
            slot = None
        raise
    finally:
        if slot is not None:
            duration_s = time.monotonic() - begin_s
            slots.finish(slot, duration_s, admission.failed)


async def _acquire_slot(attempts: Attempts, target: str) -> int | None:
    """Return a slot of the target, None if another entry shall give one."""
    if attempts.must_forward(target):
        return None
    call = attempts.call
    begin_s = time.monotonic()
    try:
        slot = await attempts.context.slots.acquire(
            _slot_request(attempts, target, begin_s)
        )
    except RequestError as error:
        # The last server may have been lost while the request waited.
        if attempts.must_forward(target):
            return None
        if error.admission is not None:
            call.log.add(_not_admitted(call, target, error.admission))
        raise
    waited_s = time.monotonic() - begin_s
    call.log.add(Admitted(target, int(waited_s * MS), call.urgency))
    return slot


def _slot_request(
    attempts: Attempts, target: str, now_s: float
) -> SlotRequest:
    """Return what the call needs, expected for the smallest model.

    The target bounds the first event of a stream and the whole answer of a
    call.
    """
    call = attempts.call
    target_at_s = 0.0
    if call.route.target_latency_ms:
        left_ms = call.route.target_latency_ms - call.log.elapsed_ms()
        target_at_s = now_s + left_ms / MS
    if call.route.kind == "stream":
        work = EngineWait(attempts).work(target, 0)
        begin_s = work.prefill_s
        if attempts.header_names.last_event in call.values:
            # The caller has a part of the answer. Expected whole, the rest
            # would be refused although it ends in time.
            work = work._replace(answer_s=0.0)
    else:
        work = call_work(attempts.context, call.route.name)
        begin_s = work.answer_s
    longest_s = MAX_TIMEOUT_SHARE * call.route.timeout_ms / MS
    expected_s = min(work.prefill_s + work.answer_s, longest_s)
    return SlotRequest(
        call.customer,
        call.weight,
        target,
        call.urgency,
        call.deadline_at_s,
        expected_s,
        target_at_s,
        min(begin_s, expected_s),
        call.attempt.decode("latin-1"),
    )


def _not_admitted(
    call: RoutedCall, target: str, refused: Refused
) -> NotAdmitted:
    return NotAdmitted(
        target,
        call.urgency,
        refused.rule,
        refused.waiting,
        round(refused.expected_s, 3),
        round(refused.limit_s, 3),
        round(call.remaining_s(), 3),
    )


__all__ = ["admitted", "Admission"]
