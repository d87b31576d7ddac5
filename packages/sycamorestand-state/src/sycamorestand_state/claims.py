"""Claims that let each non-idempotent request run at most once.

A request may reach several entries, by a caller's retry or a resend in the
network, and an entry may die at any point. An entry may send bytes to a
backend server only after a successful `dispatch`. A dispatch succeeds once
for each attempt, and only for the attempt that owns the claim. An entry
that gets no answer to its dispatch must not write. A claim that was
dispatched can be claimed again only after the outcome ``not_run``.

The name of an attempt is used for one claim only. A late ``not_run``, or a
late claim, of an earlier attempt therefore names a spent attempt, and
cannot release or take over the claim that a later attempt holds.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

from sycamorestand_model.ledger import Claim
from sycamorestand_model.ledger import Dispatch
from sycamorestand_model.ledger import LedgerResult
from sycamorestand_model.ledger import NOT_KEPT_CONTENT_TYPE
from sycamorestand_model.ledger import Outcome
from sycamorestand_state.tombstones import Tombstones
from sycamorestand_state.tombstones import WINDOW_S

CREATED: Final = "created"
EXISTS: Final = "exists"
OK: Final = "ok"
CONFLICT: Final = "conflict"
EXPIRED: Final = "expired"
FULL: Final = "full"

CLAIMED: Final = "claimed"
DISPATCHED: Final = "dispatched"
DONE: Final = "done"
UNKNOWN: Final = "unknown"
NOT_RUN: Final = "not_run"

# After this time another attempt may take over a claim that was never
# dispatched, as nothing was sent under it. The delay spares a live owner
# that waits in a queue: after a takeover its dispatch gets a conflict, and
# its caller a refusal.
TAKEOVER_AGE_S: Final = 5.0
# After this time a dispatched claim without an outcome becomes ``unknown``.
# It is longer than the default deadline and the time for which an entry
# waits for an answer; a late answer of the owner still replaces ``unknown``.
DISPATCHED_AGE_S: Final = 120.0
# A claim with a time stamp this far behind the ledger's clock waited in a
# suspended process. The request may have run meanwhile under another claim,
# whose key has expired since, so the late claim is refused.
MAX_DELAY_S: Final = 3_600.0
MAX_CLAIMS: Final = 100_000
MAX_ANSWER_BYTES: Final = 262_144
MAX_ANSWERS_BYTES: Final = 33_554_432
# How many spent attempts a claim can hold; a retry budget ends far below.
MAX_ATTEMPTS: Final = 16


class ClaimLimits(NamedTuple):
    """Bounds of one shard: number of claims, bytes of one and all answers."""

    claims: int = MAX_CLAIMS
    answer_bytes: int = MAX_ANSWER_BYTES
    answers_bytes: int = MAX_ANSWERS_BYTES


class ClaimRecord(NamedTuple):
    """A stored claim; ``spent`` names earlier attempts that did not run."""

    fingerprint: str
    owner: str
    state: str
    changed_s: float
    spent: tuple[str, ...] = ()
    status: int = 0
    content_type: str = ""
    answer: bytes = b""


ClaimKey = tuple[str, str]


class ClaimsState(NamedTuple):
    """The part of a snapshot that holds the claims.

    The two lists refer to existing keys and records. A single list would
    need a new pair for each claim, and so many new objects make the garbage
    collector walk the whole heap: 0.2 s for 50,000 claims.
    """

    keys: list[ClaimKey]
    records: list[ClaimRecord]


class ClaimBook:
    """All claims of a shard, ordered by their last change, newest last."""

    def __init__(
        self, tombstones: Tombstones, limits: ClaimLimits | None = None
    ) -> None:
        self._limits = ClaimLimits() if limits is None else limits
        self._tombstones = tombstones
        self._records: dict[ClaimKey, ClaimRecord] = {}
        # Sizes in bytes of the recorded answers, oldest first, so that
        # evicting answers need not search all claims.
        self._answer_sizes: dict[ClaimKey, int] = {}
        self._answers_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def answers_bytes(self) -> int:
        """The size of all recorded answers, in bytes."""
        return self._answers_bytes

    def claim(self, record: Claim, clock_s: float) -> LedgerResult:
        """Return the claim of a request key, or create or take it over.

        The result is ``created`` for a new claim and for one that the
        attempt took over, and ``exists``, with the state and any recorded
        answer, for a claim that it may not take over. It is ``conflict``
        if the key was used for other content or the attempt is spent,
        ``expired`` if only a tombstone of the key is left or the claim's
        time stamp is too old, and ``full`` if there is no room.
        """
        key = (record.customer, record.request_key)
        known = self._records.get(key)
        if known is None:
            return self._create(key, record, clock_s)
        if known.fingerprint != record.fingerprint:
            return _existing_claim_result(CONFLICT, known)
        if record.owner in known.spent:
            return _existing_claim_result(CONFLICT, known)
        if self._can_take_over(known, record, clock_s):
            return self._take_over(key, known, record, clock_s)
        known = self._mark_abandoned_unknown(key, known, record, clock_s)
        return _existing_claim_result(EXISTS, known)

    def dispatch(self, record: Dispatch, clock_s: float) -> LedgerResult:
        """Permit the owner, once, to write to a backend server."""
        key = (record.customer, record.request_key)
        known = self._records.get(key)
        if known is None:
            return self._missing_claim_result(key)
        if known.owner != record.owner or known.state != CLAIMED:
            return _existing_claim_result(CONFLICT, known)
        self._put(key, known._replace(state=DISPATCHED, changed_s=clock_s))
        return LedgerResult(OK, DISPATCHED, record.owner)

    def outcome(self, record: Outcome, clock_s: float) -> LedgerResult:
        """Record the outcome of the owner's attempt."""
        key = (record.customer, record.request_key)
        known = self._records.get(key)
        if known is None:
            return self._missing_claim_result(key)
        if known.owner != record.owner:
            return _existing_claim_result(CONFLICT, known)
        if known.state == record.state:
            return LedgerResult(OK, known.state, known.owner)
        if (known.state, record.state) == (DONE, UNKNOWN):
            return LedgerResult(OK, DONE, known.owner)
        if (known.state, record.state) not in _ALLOWED_OUTCOMES:
            return _existing_claim_result(CONFLICT, known)
        self._put(key, self._with_outcome(known, record, clock_s))
        self._evict_answers()
        return LedgerResult(OK, record.state, known.owner)

    def expire(self, clock_s: float) -> None:
        """Drop claims whose last change is older than the window."""
        oldest_s = clock_s - WINDOW_S
        while self._records:
            key = next(iter(self._records))
            if self._records[key].changed_s >= oldest_s:
                return
            self._drop(key)

    def state(self) -> ClaimsState:
        """Return all claims in their order, for a snapshot."""
        return ClaimsState(list(self._records), list(self._records.values()))

    def load(self, state: ClaimsState) -> None:
        """Replace all claims by those of a snapshot."""
        self._records = {}
        self._answer_sizes = {}
        self._answers_bytes = 0
        for key, record in zip(*state, strict=True):
            self._put(key, record)

    def _create(
        self, key: ClaimKey, record: Claim, clock_s: float
    ) -> LedgerResult:
        if self._tombstones.holds(*key):
            return LedgerResult(EXPIRED)
        if record.now_s < clock_s - MAX_DELAY_S:
            return LedgerResult(EXPIRED)
        if not self._make_room():
            return LedgerResult(FULL)
        created = ClaimRecord(
            record.fingerprint, record.owner, CLAIMED, clock_s
        )
        self._put(key, created)
        return LedgerResult(CREATED, CLAIMED, record.owner)

    def _can_take_over(
        self, known: ClaimRecord, record: Claim, clock_s: float
    ) -> bool:
        if known.state == NOT_RUN:
            return len(known.spent) < MAX_ATTEMPTS
        return (
            known.state == CLAIMED
            and known.owner != record.owner
            and len(known.spent) < MAX_ATTEMPTS
            and clock_s - known.changed_s >= TAKEOVER_AGE_S
        )

    def _take_over(
        self,
        key: ClaimKey,
        known: ClaimRecord,
        record: Claim,
        clock_s: float,
    ) -> LedgerResult:
        spent = known.spent
        if known.owner not in spent:
            spent = (*spent, known.owner)
        taken = ClaimRecord(
            known.fingerprint, record.owner, CLAIMED, clock_s, spent
        )
        self._put(key, taken)
        return LedgerResult(CREATED, CLAIMED, record.owner)

    def _mark_abandoned_unknown(
        self,
        key: ClaimKey,
        known: ClaimRecord,
        record: Claim,
        clock_s: float,
    ) -> ClaimRecord:
        # The owner may have died after it wrote the first byte, so the
        # request may have run, and a retry must not run it again.
        abandoned = (
            known.state == DISPATCHED
            and known.owner != record.owner
            and clock_s - known.changed_s >= DISPATCHED_AGE_S
        )
        if not abandoned:
            return known
        settled = known._replace(state=UNKNOWN, changed_s=clock_s)
        self._put(key, settled)
        return settled

    def _with_outcome(
        self, known: ClaimRecord, record: Outcome, clock_s: float
    ) -> ClaimRecord:
        ended = known._replace(state=record.state, changed_s=clock_s)
        if record.state == NOT_RUN:
            return ended._replace(spent=(*known.spent, known.owner))
        if record.state != DONE:
            return ended
        done = ended._replace(
            status=record.status,
            content_type=record.content_type,
            answer=record.answer,
        )
        fits = len(record.answer) <= self._limits.answer_bytes
        return done if fits else _without_answer(done)

    def _make_room(self) -> bool:
        if len(self._records) < self._limits.claims:
            return True
        if self._tombstones.is_full:
            return False
        key = next(iter(self._records))
        self._tombstones.add(*key, self._records[key].changed_s)
        self._drop(key)
        return True

    def _evict_answers(self) -> None:
        while self._answers_bytes > self._limits.answers_bytes:
            key = next(iter(self._answer_sizes))
            self._answers_bytes -= self._answer_sizes.pop(key)
            # Dropping the answer keeps the claim's position, as records
            # are ordered by their last change.
            self._records[key] = _without_answer(self._records[key])

    def _put(self, key: ClaimKey, record: ClaimRecord) -> None:
        self._drop(key)
        self._records[key] = record
        if record.answer:
            self._answer_sizes[key] = len(record.answer)
            self._answers_bytes += len(record.answer)

    def _drop(self, key: ClaimKey) -> None:
        self._records.pop(key, None)
        self._answers_bytes -= self._answer_sizes.pop(key, 0)

    def _missing_claim_result(self, key: ClaimKey) -> LedgerResult:
        expired = self._tombstones.holds(*key)
        return LedgerResult(EXPIRED if expired else CONFLICT)


# Pairs of a claim's state and an outcome that its owner may record then.
# ``done`` needs a dispatch before it. ``unknown`` can change only to
# ``done``, as a caller may have got the answer not to retry.
_ALLOWED_OUTCOMES: Final = frozenset(
    {
        (CLAIMED, NOT_RUN),
        (CLAIMED, UNKNOWN),
        (DISPATCHED, DONE),
        (DISPATCHED, NOT_RUN),
        (DISPATCHED, UNKNOWN),
        (UNKNOWN, DONE),
    }
)


def _without_answer(record: ClaimRecord) -> ClaimRecord:
    """Return the claim without its answer, marked as not kept.

    The marker replaces the content type. With the original type, an entry
    would return an empty body as the complete answer.
    """
    return record._replace(content_type=NOT_KEPT_CONTENT_TYPE, answer=b"")


def _existing_claim_result(state: str, known: ClaimRecord) -> LedgerResult:
    return LedgerResult(
        state=state,
        claim_state=known.state,
        owner=known.owner,
        status=known.status,
        content_type=known.content_type,
        answer=known.answer if state == EXISTS else b"",
    )


__all__ = [
    "ClaimBook",
    "CLAIMED",
    "ClaimKey",
    "ClaimLimits",
    "ClaimRecord",
    "ClaimsState",
    "CONFLICT",
    "CREATED",
    "DISPATCHED",
    "DISPATCHED_AGE_S",
    "DONE",
    "EXISTS",
    "EXPIRED",
    "FULL",
    "MAX_ANSWER_BYTES",
    "MAX_ANSWERS_BYTES",
    "MAX_ATTEMPTS",
    "MAX_CLAIMS",
    "MAX_DELAY_S",
    "NOT_RUN",
    "OK",
    "TAKEOVER_AGE_S",
    "UNKNOWN",
]
