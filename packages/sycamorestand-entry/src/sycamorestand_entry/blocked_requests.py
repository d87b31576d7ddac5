"""Refuses requests that would end the servers that run them."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_entry.gate import check_parts
from sycamorestand_model.request_digest import is_request

if TYPE_CHECKING:
    from sycamorestand_entry.errors import RequestError
    from sycamorestand_entry.part_watch import PartWatch
    from sycamorestand_entry.request_parts import RequestParts

# Control answers an entry that asks for a trial within a few tenths.
TRIAL_WAIT_S: Final = 1.0
TRIAL_POLL_S: Final = 0.1


async def check_blocked(
    watch: PartWatch, parts: RequestParts
) -> RequestError | None:
    """Return why a request is refused, None if it may be sent.

    A blocked request or part may come rarely, and each time to another entry.
    Where a trial of it is due, it waits for the permission, which no later
    request may be there to use.
    """
    refusal = check_parts(watch.blocked_for(parts), watch.may_try)
    if refusal is None:
        return None
    with anyio.move_on_after(TRIAL_WAIT_S):
        while refusal is not None and _ask_for_trial(watch, parts):
            await anyio.sleep(TRIAL_POLL_S)
            refusal = check_parts(watch.blocked_for(parts), watch.may_try)
    return refusal


def _ask_for_trial(watch: PartWatch, parts: RequestParts) -> bool:
    """Ask control for a trial of the request; return whether one is due."""
    blocked = watch.blocked_for(parts)
    is_due = all(
        watch.is_trial_due(part, block) or watch.may_try(part, block)
        for part, block in blocked.items()
    )
    if is_due:
        for part in blocked:
            watch.record_refused(parts.customer, part)
    return is_due


def record_refusal(watch: PartWatch, parts: RequestParts) -> None:
    """Record for which prompt parts a request is refused, if that counts.

    A trial goes to an entry that asks for it. If it were asked before the
    trial is due, no request with the part might be left there to use it.
    """
    for part, block in watch.blocked_for(parts).items():
        if not is_request(part) and watch.is_trial_due(part, block):
            watch.record_refused(parts.customer, part)


__all__ = ["check_blocked", "record_refusal"]
