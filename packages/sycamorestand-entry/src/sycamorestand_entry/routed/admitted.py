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
from sycamorestand_entry.slots import SlotRequest

if TYPE_CHECKING:
    from sycamorestand_entry.routed.attempts import Attempts

# Durations that admission control expects of a call and of a stream.
EXPECTED_CALL_S: Final = 0.05
EXPECTED_STREAM_S: Final = 1.0


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
    is_stream = call.route.kind == "stream"
    request = SlotRequest(
        call.customer,
        call.weight,
        target,
        "interactive",
        call.deadline_at_s,
        EXPECTED_STREAM_S if is_stream else EXPECTED_CALL_S,
    )
    try:
        slot = await attempts.context.slots.acquire(request)
    except RequestError:
        # The last server may have been lost while the request waited.
        if attempts.must_forward(target):
            return None
        raise
    waited_s = time.monotonic() - begin_s
    call.log.add(Admitted(target, int(waited_s * 1000)))
    return slot


__all__ = ["admitted", "Admission"]
