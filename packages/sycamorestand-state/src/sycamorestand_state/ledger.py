"""One shard of the ledger as a state machine on its replicated log.

A command is a batch of records, as one write to disk serves many requests.
Its records are answered in their order and may build on one another: an
outcome ``not_run``, the next claim and its dispatch may go in one batch.

The clock of the ledger is the earliest of the leader's stamp on the batch
and the entries' stamps in it, and never goes back. One wrong clock, at the
leader or at an entry, thus cannot make keys expire before their time.
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
from sycamorestand_state.codec import decode_fields
from sycamorestand_state.codec import decode_state
from sycamorestand_state.codec import encode_fields
from sycamorestand_state.codec import encode_state
from sycamorestand_state.errors import MalformedCommand
from sycamorestand_state.errors import SnapshotUnreadable
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

_CODE_BY_KIND: Final = {kind: code for code, kind in CODES.items()}
_DECODERS: Final = {
    code: msgspec.msgpack.Decoder(kind) for code, kind in CODES.items()
}
_BATCH: Final = msgspec.msgpack.Decoder(
    tuple[float, list[tuple[int, msgspec.Raw]]]
)


class LedgerBatch(NamedTuple):
    """Records that are made durable together, and the leader's time."""

    now_s: float
    records: list[LedgerRecord]


class LedgerLimits(NamedTuple):
    """Bounds of what one shard keeps."""

    claims: ClaimLimits = ClaimLimits()
    charges: int = MAX_CHARGES
    pins: int = MAX_PINS
    tombstones: int = MAX_TOMBSTONES


class LedgerFill(NamedTuple):
    """How much a shard holds; new keys are turned away at the bounds."""

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

    @property
    def shard(self) -> int:
        """The number of this shard."""
        return self._shard

    def apply(self, index: int, command: bytes) -> list[LedgerResult]:
        """Apply a batch and return the answer to each of its records."""
        batch = decode_batch(command)
        self._advance_clock(batch)
        return [self._apply_record(record) for record in batch.records]

    def snapshot(self) -> bytes:
        """Return the whole state; equal state gives equal bytes."""
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
        """Take the state of a snapshot in place of one's own."""
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
        """Return a customer's bills, those of all for None.

        ``after`` is 0 or the last page's ``next_after``.
        """
        return self._charges.bills(customer, after, limit)

    def fill(self) -> LedgerFill:
        """Return how much is held, to be watched against the bounds."""
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
        if clock_s <= self._clock_s:
            return
        self._clock_s = clock_s
        self._claims.expire(clock_s)
        self._claim_tombstones.expire(clock_s)
        self._charges.expire(clock_s)
        self._charge_tombstones.expire(clock_s)
        self._pins.expire(clock_s)

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
    """Return the batch as it is proposed, with the leader's wall clock."""
    coded = [(_CODE_BY_KIND[type(record)], record) for record in records]
    return encode_fields((now_s, coded))


def decode_batch(data: bytes) -> LedgerBatch:
    """Return the batch, or raise where it cannot be read."""
    try:
        now_s, coded = _BATCH.decode(data)
    except msgspec.MsgspecError as error:
        raise MalformedCommand(f"not a batch: {error}") from error
    records = [
        decode_fields(_DECODERS, code, fields) for code, fields in coded
    ]
    return LedgerBatch(now_s, records)


def shard_of(customer: str, request_key: str, shard_count: int) -> int:
    """Return the shard of a request key; a pin goes by its session name.

    The hash is stable between processes and releases, as the same key
    must always meet the same claim.
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
