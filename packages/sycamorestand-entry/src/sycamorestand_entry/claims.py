"""Claims of non-idempotent calls, and the answers recorded under them.

The claim is durable before the first byte of the call is written, so any
entry that gets a second call with the key finds it. That call receives the
recorded answer, or an error which says that the first call is still
running or that its outcome is unknown. It never runs the call again.
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
from sycamorestand_model.ledger import NOT_KEPT_CONTENT_TYPE

if TYPE_CHECKING:
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_model.ledger import LedgerResult

RUNNING_RETRY_S: Final = 1.0
FULL_RETRY_S: Final = 10.0
FINGERPRINT_BYTES: Final = 16


class RecordedAnswer(NamedTuple):
    """The recorded answer of an earlier call with the same key."""

    status: int
    content_type: str
    body: bytes


def fingerprint(*parts: bytes) -> str:
    """Return a hash of the parts and their lengths.

    The ledger compares it to detect a key that is reused for a different
    request.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


async def take_claim(
    context: EntryContext, claim: Claim
) -> RecordedAnswer | None:
    """Acquire the claim and return None, or return the recorded answer.

    Raises a `RequestError` if the claim is refused and no answer is recorded.
    """
    # Until the ledger answers, an earlier call with the key may have run.
    # On "not_run" the caller would send the call under another key.
    result = (await write_ledger(context, [claim], run="unknown"))[0]
    if result.state == "created":
        return None
    # The ledger may have applied an earlier send of this claim whose answer
    # was lost. This attempt then holds the claim.
    claimed = result.state == "exists" and result.claim_state == "claimed"
    if claimed and result.owner == claim.owner:
        return None
    return _read_result(result)


def make_claim(
    customer: str, request_key: str, content: str, owner: str
) -> Claim:
    """Return the claim record of one attempt, with the current time."""
    return Claim(customer, request_key, content, owner, wall_now_s())


def _read_result(result: LedgerResult) -> RecordedAnswer:
    if result.state == "exists" and result.claim_state == "done":
        if result.content_type == NOT_KEPT_CONTENT_TYPE:
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
