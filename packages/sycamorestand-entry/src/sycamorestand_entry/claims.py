"""Claims of calls that must not be repeated, and what they answer.

A claim is durable before the first byte of the call is written, so a
second call with the key, at whatever entry, finds it: it gets the
recorded answer or is told that the first one runs or that its outcome
is unknown, and never causes a second run.
"""

from __future__ import annotations

import hashlib
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_entry.billing import wall_now_s
from sycamorestand_entry.billing import write_ledger
from sycamorestand_entry.errors import AnswerNotKept
from sycamorestand_entry.errors import KeyReused
from sycamorestand_entry.errors import OutcomeUnknown
from sycamorestand_entry.errors import Overloaded
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.errors import RequestKeyExpired
from sycamorestand_entry.errors import StillRunning
from sycamorestand_model.ledger import Claim
from sycamorestand_model.ledger import NOT_KEPT

if TYPE_CHECKING:
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_model.ledger import LedgerResult

RUNNING_RETRY_S: Final = 1.0
FULL_RETRY_S: Final = 10.0
FINGERPRINT_BYTES: Final = 16


class RecordedAnswer(NamedTuple):
    """The answer of an earlier run with the same key."""

    status: int
    content_type: str
    body: bytes


def fingerprint(*parts: bytes) -> str:
    """Return a hash that tells requests of different content apart."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


async def take_claim(
    context: EntryContext, claim: Claim
) -> RecordedAnswer | None:
    """Hold the claim, or return the recorded answer, or refuse."""
    # Until the ledger has answered, an earlier call with the key may have
    # run; "not run" would make the caller send it under another key.
    result = (await write_ledger(context, [claim], run="unknown"))[0]
    if result.state == "created":
        return None
    # The first send of this claim may have been applied and its answer
    # lost; the claim is held all the same.
    claimed = result.state == "exists" and result.claim_state == "claimed"
    if claimed and result.owner == claim.owner:
        return None
    return _read_result(result)


def make_claim(
    customer: str, request_key: str, content: str, owner: str
) -> Claim:
    """Return the claim of one attempt."""
    return Claim(customer, request_key, content, owner, wall_now_s())


def _read_result(result: LedgerResult) -> RecordedAnswer:
    if result.state == "exists" and result.claim_state == "done":
        if result.content_type == NOT_KEPT:
            raise AnswerNotKept("it ran; its answer was too large to keep")
        return RecordedAnswer(
            result.status, result.content_type, result.answer
        )
    raise _find_refusal(result)


def _find_refusal(result: LedgerResult) -> RequestError:
    if result.state == "conflict":
        return KeyReused("this request key came with other content before")
    if result.state == "full":
        return Overloaded("the ledger takes no new keys now", FULL_RETRY_S)
    if result.state == "expired":
        return RequestKeyExpired(
            "this request key is older than what is remembered"
        )
    if result.claim_state == "unknown":
        return OutcomeUnknown("whether the first attempt ran is unknown")
    return StillRunning("the first attempt has not finished", RUNNING_RETRY_S)


__all__ = [
    "fingerprint",
    "FULL_RETRY_S",
    "make_claim",
    "RecordedAnswer",
    "take_claim",
]
