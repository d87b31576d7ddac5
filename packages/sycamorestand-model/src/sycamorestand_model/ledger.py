"""Records that entries ask the ledger to make durable, and its answers."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

# The content type that stands for an answer too large to be kept.
NOT_KEPT_CONTENT_TYPE: Final = "application/x-sycamorestand-not-kept"


class Claim(NamedTuple):
    """Get or create the claim of a non-idempotent request.

    ``fingerprint`` is a hash of the request's content, so that the same
    key with other content is told apart. ``owner`` names the attempt.
    """

    customer: str
    request_key: str
    fingerprint: str
    owner: str
    now_s: float


class Dispatch(NamedTuple):
    """State that the claim's request is about to reach a backend server."""

    customer: str
    request_key: str
    owner: str
    backend_server: str


class Outcome(NamedTuple):
    """Record how a claimed request ended.

    ``state`` is ``done``, ``not_run`` (another attempt may claim) or
    ``unknown``. ``answer`` is empty where it was larger than the bound.
    """

    customer: str
    request_key: str
    owner: str
    state: str
    status: int = 0
    content_type: str = ""
    answer: bytes = b""


class Charge(NamedTuple):
    """Charge a request once; a second charge for the key is a no-op."""

    customer: str
    request_key: str
    version: str
    cost_micros: int
    input_tokens: int
    output_tokens: int
    now_s: float


class Pin(NamedTuple):
    """Get or create the version that a named session keeps."""

    customer: str
    session: str
    version: str
    now_s: float


LedgerRecord = Claim | Dispatch | Outcome | Charge | Pin


class LedgerResult(NamedTuple):
    """The ledger's answer to one record, in the order of the batch.

    ``state`` is ``created``, ``exists``, ``ok``, ``conflict``,
    ``expired``, or ``full`` where the shard takes nothing new. For a claim
    that exists, ``claim_state`` is ``claimed``, ``dispatched``, ``done``
    or ``unknown`` and the recorded answer is filled in. For a pin,
    ``version`` is the one to keep.
    """

    state: str
    claim_state: str = ""
    owner: str = ""
    version: str = ""
    status: int = 0
    content_type: str = ""
    answer: bytes = b""
    cost_micros: int = 0


__all__ = [
    "Charge",
    "Claim",
    "Dispatch",
    "LedgerRecord",
    "LedgerResult",
    "NOT_KEPT_CONTENT_TYPE",
    "Outcome",
    "Pin",
]
