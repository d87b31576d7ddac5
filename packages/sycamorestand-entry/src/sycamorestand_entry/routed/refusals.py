"""What a caller on a route is told where it gets no answer."""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_entry.routed.call import MAX_DEADLINE_DIGITS

if TYPE_CHECKING:
    from sycamorestand_entry.errors import RequestError
    from sycamorestand_entry.http_messages import Responder

# Entries are cut off together, and a caller's list names those that are for
# a second or two yet: its one retry, made at once, would meet another of
# them. A share of its time leaves the rest for the answer.
LEASE_RETRY_SHARE: Final = 0.3
MIN_LEASE_RETRY_S: Final = 0.1
MAX_LEASE_RETRY_S: Final = 2.2


async def refuse(responder: Responder, error: RequestError) -> None:
    """Send a refusal, unless the answer has begun."""
    if responder.started:
        return
    headers = []
    if error.retry_after_s is not None:
        headers.append((b"retry-after", b"%.2f" % error.retry_after_s))
    body = error.message.encode()
    await responder.answer(error.status, b"text/plain", body, headers)


def refusal_fields(error: RequestError) -> dict[str, Any]:
    """Return what a refusal told the caller, as fields of its line."""
    return {
        "reason": error.message,
        "run": error.run,
        "told_status": error.status,
        "retry_after_s": error.retry_after_s,
    }


def stated_time_s(deadline_ms: bytes) -> float:
    """Return how long the caller says that it waits, 0 for nothing."""
    known = deadline_ms.isdigit() and len(deadline_ms) < MAX_DEADLINE_DIGITS
    return int(deadline_ms) / 1000 if known else 0.0


def lease_retry_s(whole_s: float) -> float:
    """Return when to come back to an entry without a lease."""
    after_s = max(MIN_LEASE_RETRY_S, whole_s * LEASE_RETRY_SHARE)
    return min(MAX_LEASE_RETRY_S, after_s)


__all__ = ["lease_retry_s", "refusal_fields", "refuse", "stated_time_s"]
