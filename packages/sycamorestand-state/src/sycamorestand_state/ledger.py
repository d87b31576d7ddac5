"""One shard of the ledger as a state machine on its replicated log.

A command is a batch of records, so that one write to disk serves many
requests. The machine applies the records in their order, and a record may
depend on an earlier one in the batch: an outcome ``not_run``, the next
claim and its dispatch may go in one batch.

The ledger's clock advances to the earliest of the leader's time stamp on
the batch and the entries' time stamps in it, and never goes back. A single
wrong clock, at the leader or at an entry, therefore cannot make keys expire
early.
"""

from __future__ import annotations

from collections.abc import Sequence
import hashlib
from typing import Any
from typing import Final
from typing import NamedTuple

import msgspec

from sycamorestand_model.ledger import Charge
from sycamorestand_model.ledger import Claim
from sycamorestand_model.ledger import Dispatch
from sycamorestand_model.ledger import LedgerRecord
from sycamorestand_model.ledger import LedgerResult
from sycamorestand_model.ledger import Outcome
from sycamorestand_model.ledger import Pin
from sycamorestand_state.charges import Bills
from sycamorestand_state.charges import ChargeBook
from sycamorestand_state.charges import ChargesState
from sycamorestand_state.charges import MAX_CHARGES
from sycamorestand_state.claims import ClaimBook
from sycamorestand_state.claims import ClaimLimits
from sycamorestand_state.claims import ClaimsState
from sycamorestand_state.claims import CONFLICT
from sycamorestand_state.codec import decode_fields
from sycamorestand_state.codec import decode_state
from sycamorestand_state.codec import encode_fields
from sycamorestand_state.codec import encode_state
from sycamorestand_state.errors import MalformedCommand
from sycamorestand_state.errors import SnapshotUnreadable
from sycamorestand_state.fault_guard import FaultGuard
from sycamorestand_state.pins import MAX_PINS
from sycamorestand_state.pins import PinBook
from sycamorestand_state.pins import PinsState
from sycamorestand_state.tombstones import GenerationState
from sycamorestand_state.tombstones import MAX_TOMBSTONES
from sycamorestand_state.tombstones import Tombstones

CODES: Final[dict[int, type[Any]]] = {
    1: Claim,
    2: Dispatch,
    3: Outcome,
    4: Charge,
    5: Pin,
}
SHARD_HASH_BYTES: Final = 8
# The end of the year 9999. A later time has no date, and could not be told
# from that of a broken clock.
MAX_CLOCK_S: Final = 253_402_300_799.0

_CODE_BY_KIND: Final = {kind: code for code, kind in CODES.items()}
_DECODERS: Final = {
    code: msgspec.msgpack.Decoder(kind) for code, kind in CODES.items()
}
_BATCH: Final = msgspec.msgpack.Decoder(
    tuple[float, list[tuple[int, msgspec.Raw]]]
)


class LedgerBatch(NamedTuple):
    """Records that are made durable together, and the leader's wall clock."""

    now_s: float
    records: list[LedgerRecord]


class LedgerLimits(NamedTuple):
    """Bounds on the number of records that one shard keeps."""

    claims: ClaimLimits = ClaimLimits()
    charges: int = MAX_CHARGES
    pins: int = MAX_PINS
    tombstones: int = MAX_TOMBSTONES


class LedgerFill(NamedTuple):
    """Number of records of each kind in a shard, and the bytes of answers.

    A shard at its bounds refuses new keys.
    """

    claims: int
    answers_bytes: int
    charges: int
    pins: int
    claim_tombstones: int
    charge_tombstones: int


class _Snapshot(NamedTuple):
    shard: int
    clock_s: float
    claims: ClaimsState
    claim_tombstones: list[GenerationState]
    charges: ChargesState
    charge_tombstones: list[GenerationState]
    pins: PinsState


class LedgerMachine:
    """Applies committed batches in the order of the shard's log."""

    def __init__(self, shard: int, limits: LedgerLimits | None = None) -> None:
        bounds = LedgerLimits() if limits is None else limits
        self._shard = shard
        self._clock_s = 0.0
        self._claim_tombstones = Tombstones(bounds.tombstones)
        self._charge_tombstones = Tombstones(bounds.tombstones)
        self._claims = ClaimBook(self._claim_tombstones, bounds.claims)
        self._charges = ChargeBook(self._charge_tombstones, bounds.charges)
        self._pins = PinBook(bounds.pins)
        self._guard = FaultGuard()

    @property
    def faults(self) -> int:
        """How many records were refused because their handler failed."""
        return self._guard.faults

    @property
    def shard(self) -> int:
        """The number of this shard."""
        return self._shard

    def check(self, command: bytes) -> None:
        """Raise `MalformedCommand` or `UnknownCommand` for unreadable bytes.

        The leader appends no batch that this raises for.
        """
        decode_batch(command)

    def apply(self, index: int, command: bytes) -> list[LedgerResult]:
        """Apply a batch and return the result of each of its records."""
        batch = decode_batch(command)
        self._advance_clock(batch)
        return [self._evaluate(index, record) for record in batch.records]

    def snapshot(self) -> bytes:
        """Return the whole state as bytes; equal states give equal bytes."""
        return encode_state(
            _Snapshot(
                self._shard,
                self._clock_s,
                self._claims.state(),
                self._claim_tombstones.state(),
                self._charges.state(),
                self._charge_tombstones.state(),
                self._pins.state(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot.

        Raises `SnapshotUnreadable` for bytes that are no snapshot of the
        ledger, and for a snapshot of another shard.
        """
        loaded = decode_state(data, _Snapshot)
        if loaded.shard != self._shard:
            raise SnapshotUnreadable(
                f"the snapshot is of shard {loaded.shard}, not {self._shard}"
            )
        self._clock_s = loaded.clock_s
        self._claims.load(loaded.claims)
        self._claim_tombstones.load(loaded.claim_tombstones)
        self._charges.load(loaded.charges)
        self._charge_tombstones.load(loaded.charge_tombstones)
        self._pins.load(loaded.pins)

    def bills(self, customer: str | None, after: int, limit: int) -> Bills:
        """Return the bills of a customer, or of all customers for None.

        ``after`` is 0 for the first page of charges, and the previous
        page's ``next_after`` for another one. ``limit`` bounds the page.
        """
        return self._charges.bills(customer, after, limit)

    def fill(self) -> LedgerFill:
        """Return the number of records held, to compare with the bounds."""
        return LedgerFill(
            len(self._claims),
            self._claims.answers_bytes,
            len(self._charges),
            len(self._pins),
            len(self._claim_tombstones),
            len(self._charge_tombstones),
        )

    def _advance_clock(self, batch: LedgerBatch) -> None:
        stamps_s = [
            record.now_s
            for record in batch.records
            if isinstance(record, Claim | Charge | Pin)
        ]
        if not stamps_s:
            return
        clock_s = min(batch.now_s, *stamps_s)
        if not self._clock_s < clock_s <= MAX_CLOCK_S:
            return
        self._clock_s = clock_s
        self._claims.expire(clock_s)
        self._claim_tombstones.expire(clock_s)
        self._charges.expire(clock_s)
        self._charge_tombstones.expire(clock_s)
        self._pins.expire(clock_s)

    def _evaluate(self, index: int, record: LedgerRecord) -> LedgerResult:
        return self._guard.call(
            lambda: self._apply_record(record),
            LedgerResult(CONFLICT),
            {"index": index, "kind": type(record).__name__},
        )

    def _apply_record(self, record: LedgerRecord) -> LedgerResult:
        match record:
            case Claim():
                return self._claims.claim(record, self._clock_s)
            case Dispatch():
                return self._claims.dispatch(record, self._clock_s)
            case Outcome():
                return self._claims.outcome(record, self._clock_s)
            case Charge():
                return self._charges.charge(record, self._clock_s)
            case Pin():
                return self._pins.pin(record, self._clock_s)


def encode_batch(records: Sequence[LedgerRecord], now_s: float) -> bytes:
    """Return a batch as the bytes to propose to the log.

    ``now_s`` is the leader's wall clock.
    """
    coded = [(_CODE_BY_KIND[type(record)], record) for record in records]
    return encode_fields((now_s, coded))


def decode_batch(data: bytes) -> LedgerBatch:
    """Return the batch that was encoded.

    Raises `MalformedCommand` if the bytes cannot be read, and
    `UnknownCommand` for a record of an unknown kind.
    """
    try:
        now_s, coded = _BATCH.decode(data)
    except msgspec.MsgspecError as error:
        raise MalformedCommand(f"not a batch: {error}") from error
    records = [
        decode_fields(_DECODERS, code, fields) for code, fields in coded
    ]
    return LedgerBatch(now_s, records)


def shard_of(customer: str, request_key: str, shard_count: int) -> int:
    """Return the shard of a request key, or of a pin's session name.

    All processes and releases must compute the same hash, so that all
    requests with a key reach the shard that holds its claim.
    """
    text = f"{len(customer)}:{customer}{request_key}".encode()
    digest = hashlib.blake2b(text, digest_size=SHARD_HASH_BYTES).digest()
    return int.from_bytes(digest, "big") % shard_count


__all__ = [
    "CODES",
    "decode_batch",
    "encode_batch",
    "LedgerBatch",
    "LedgerFill",
    "LedgerLimits",
    "LedgerMachine",
    "shard_of",
]
