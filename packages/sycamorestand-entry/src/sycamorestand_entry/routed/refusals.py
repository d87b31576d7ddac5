"""Refusals to callers of routes, and the times after which to retry."""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_entry.routed.call import MAX_DEADLINE_DIGITS

if TYPE_CHECKING:
    from sycamorestand_entry.errors import RequestError
    from sycamorestand_entry.http_messages import Responder
    from sycamorestand_entry.routed.headers import RawHeaders

# A partition cuts several entries off together, and the caller's list of
# addresses still names them for a second or two: the caller's only retry, if
# made at once, would reach another entry without a lease. Waiting for a share
# of the caller's timeout leaves the rest of it for the answer.
LEASE_RETRY_SHARE: Final = 0.3
MIN_LEASE_RETRY_S: Final = 0.1
MAX_LEASE_RETRY_S: Final = 2.2


async def refuse(
    responder: Responder, error: RequestError, marks: RawHeaders
) -> None:
    """Send an error answer, unless the caller's answer has begun.

    ``marks`` are further headers of the answer.
    """
    if responder.started:
        return
    headers = [*marks]
    if error.retry_after_s is not None:
        headers.append((b"retry-after", b"%.2f" % error.retry_after_s))
    body = error.message.encode()
    await responder.answer(error.status, b"text/plain", body, headers)


def refusal_fields(error: RequestError) -> dict[str, Any]:
    """Return the log fields that show what the refusal told the caller."""
    return {
        "reason": error.message,
        "run": error.run,
        "told_status": error.status,
        "retry_after_s": error.retry_after_s,
    }


def caller_timeout_s(deadline_ms: bytes) -> float:
    """Return the caller's timeout in seconds, 0 if it stated none."""
    is_valid = deadline_ms.isdigit() and len(deadline_ms) < MAX_DEADLINE_DIGITS
    return int(deadline_ms) / 1000 if is_valid else 0.0


def lease_retry_s(timeout_s: float) -> float:
    """Return the retry-after time of a refusal for lack of a lease.

    The time is in seconds. ``timeout_s`` is the timeout that the caller
    stated, 0 if it stated none.
    """
    after_s = max(MIN_LEASE_RETRY_S, timeout_s * LEASE_RETRY_SHARE)
    return min(MAX_LEASE_RETRY_S, after_s)


__all__ = ["caller_timeout_s", "lease_retry_s", "refusal_fields", "refuse"]
