"""Records that entries store in the ledger, and the ledger's results."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

# Stored as the content type of an answer that is too large to be stored.
NOT_KEPT_CONTENT_TYPE: Final = "application/x-sycamorestand-not-kept"


class Claim(NamedTuple):
    """Get, create or take over the claim of a non-idempotent request.

    ``fingerprint`` is a hash of the request's content: a key that comes
    with other content is a conflict. ``owner`` names the attempt.
    """

    customer: str
    request_key: str
    fingerprint: str
    owner: str
    now_s: float


class Dispatch(NamedTuple):
    """Record that the owner is about to send the request to a server."""

    customer: str
    request_key: str
    owner: str
    backend_server: str


class Outcome(NamedTuple):
    """Record how a claimed request ended.

    ``state`` is ``done``, ``unknown``, or ``not_run``, after which another
    attempt may claim the request. ``answer`` is empty if the answer
    exceeded the size limit.
    """

    customer: str
    request_key: str
    owner: str
    state: str
    status: int = 0
    content_type: str = ""
    answer: bytes = b""


class Charge(NamedTuple):
    """Charge a request once; a second charge of its key changes nothing."""

    customer: str
    request_key: str
    version: str
    cost_micros: int
    input_tokens: int
    output_tokens: int
    now_s: float


class Pin(NamedTuple):
    """Get or create the pin of a named session to a version."""

    customer: str
    session: str
    version: str
    now_s: float


LedgerRecord = Claim | Dispatch | Outcome | Charge | Pin


class LedgerResult(NamedTuple):
    """The ledger's result for one record of a batch.

    Results come in the order of the records. ``state`` is ``created``,
    ``exists``, ``ok``, ``conflict``, ``expired``, or ``full`` if the shard
    has no room for a new key. For a claim that exists, ``claim_state`` is
    ``claimed``, ``dispatched``, ``done`` or ``unknown``, and the recorded
    answer is included. For a pin, ``version`` is the pinned version.
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
