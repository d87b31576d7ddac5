"""Claims of non-idempotent requests: each runs at most once.

What it answers: a caller's retry, a resend on the way, two entries at
once, an entry that dies at any point. The one step that lets bytes go to a
backend server is `dispatch`, and it succeeds once for each attempt, and
only for the attempt that owns the claim. Whoever gets no answer to it must
not write. A claim goes back to be claimed again only from ``not_run``.

An attempt's name is used for one claim: an old ``not_run`` or an old claim
that arrives late names a spent attempt and cannot free, or take, what a
later attempt holds.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

from sycamorestand_model.ledger import Claim
from sycamorestand_model.ledger import Dispatch
from sycamorestand_model.ledger import LedgerResult
from sycamorestand_model.ledger import NOT_KEPT
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

# Nothing has been sent under a claim that was never dispatched, so this
# need only spare a living owner that waits in a queue: it would get a
# conflict at its dispatch and its caller a refusal.
TAKEOVER_AGE_S: Final = 5.0
# Longer than the default deadline and the time that an entry goes on
# listening; a late answer of the owner still replaces ``unknown``.
DISPATCHED_AGE_S: Final = 120.0
# A claim that was stamped this long before the ledger's clock waited in
# some suspended process; its key may have run and been forgotten since.
MAX_DELAY_S: Final = 3_600.0
MAX_CLAIMS: Final = 100_000
MAX_ANSWER_BYTES: Final = 262_144
MAX_ANSWERS_BYTES: Final = 33_554_432
# Attempts that a claim remembers; a retry budget ends far below it.
MAX_ATTEMPTS: Final = 16
# Takes the place of the content type where an answer was not, or is no
# longer, kept. With the type left as it was, an entry would hand out an
# empty body as the whole answer.


class ClaimLimits(NamedTuple):
    """Bounds of what is kept; the defaults are for one shard."""

    claims: int = MAX_CLAIMS
    answer_bytes: int = MAX_ANSWER_BYTES
    answers_bytes: int = MAX_ANSWERS_BYTES


class ClaimRecord(NamedTuple):
    """A claim as it is kept; ``spent`` are attempts that did not run."""

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

    Two lists of what exists already: a list of new pairs made the garbage
    collector walk the whole heap, 0.2 s for 50,000 claims.
    """

    keys: list[ClaimKey]
    records: list[ClaimRecord]


class ClaimBook:
    """All claims of a shard, the one changed last at the end."""

    def __init__(
        self, tombstones: Tombstones, limits: ClaimLimits | None = None
    ) -> None:
        self._limits = ClaimLimits() if limits is None else limits
        self._tombstones = tombstones
        self._records: dict[ClaimKey, ClaimRecord] = {}
        # Keys with a recorded answer, oldest first, so that the bound on
        # bytes need not search all claims.
        self._answer_sizes: dict[ClaimKey, int] = {}
        self._answers_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def answers_bytes(self) -> int:
        """How many bytes of recorded answers are kept."""
        return self._answers_bytes

    def claim(self, record: Claim, clock_s: float) -> LedgerResult:
        """Get or create the claim for a request key."""
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
        """Let the owner write to a backend server, once."""
        key = (record.customer, record.request_key)
        known = self._records.get(key)
        if known is None:
            return self._missing_claim_result(key)
        if known.owner != record.owner or known.state != CLAIMED:
            return _existing_claim_result(CONFLICT, known)
        self._put(key, known._replace(state=DISPATCHED, changed_s=clock_s))
        return LedgerResult(OK, DISPATCHED, record.owner)

    def outcome(self, record: Outcome, clock_s: float) -> LedgerResult:
        """Record how the owner's attempt ended."""
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
        """Drop claims that were last changed before the window."""
        oldest_s = clock_s - WINDOW_S
        while self._records:
            key = next(iter(self._records))
            if self._records[key].changed_s >= oldest_s:
                return
            self._drop(key)

    def state(self) -> ClaimsState:
        """Return all claims in order, as a snapshot holds them."""
        return ClaimsState(list(self._records), list(self._records.values()))

    def load(self, state: ClaimsState) -> None:
        """Take the claims of a snapshot in place of one's own."""
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
        # The owner may have died after the first byte was written: the
        # request may have run, and no retry may find that out by running.
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
            # In its place, as the order is that of the last change.
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


# From a claim's state to the outcomes that its owner may record. ``done``
# needs a dispatch before it; ``unknown`` is left only for ``done``, as a
# caller may have been told not to try again.
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
    return record._replace(content_type=NOT_KEPT, answer=b"")


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
