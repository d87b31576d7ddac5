"""Pins: the version that a session named by its caller keeps.

Two entries that see the first two requests of a session at once may choose
different versions; the first pin in the log settles it for both.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

from sycamorestand_model.ledger import LedgerResult
from sycamorestand_model.ledger import Pin
from sycamorestand_state.claims import CREATED
from sycamorestand_state.claims import EXISTS
from sycamorestand_state.claims import FULL

# A session that nobody asked about for this long is a new one.
MAX_IDLE_S: Final = 7 * 86_400.0
MAX_PINS: Final = 200_000


class PinRecord(NamedTuple):
    """The version that a session keeps, and when it was last asked for."""

    version: str
    used_s: float


PinKey = tuple[str, str]


class PinsState(NamedTuple):
    """The part of a snapshot that holds the pins.

    Two lists of what exists already: a list of new pairs made the garbage
    collector walk the whole heap, 0.2 s for 50,000 claims.
    """

    keys: list[PinKey]
    records: list[PinRecord]


class PinBook:
    """All pins of a shard, the one used last at the end."""

    def __init__(self, limit: int = MAX_PINS) -> None:
        self._limit = limit
        self._records: dict[PinKey, PinRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def pin(self, record: Pin, clock_s: float) -> LedgerResult:
        """Return the session's version, this one if it has none yet."""
        key = (record.customer, record.session)
        known = self._records.pop(key, None)
        if known is not None:
            self._records[key] = PinRecord(known.version, clock_s)
            return LedgerResult(EXISTS, version=known.version)
        # To forget a session that is in use would move it to another
        # version without a word, so a new one is turned away instead.
        if len(self._records) >= self._limit:
            return LedgerResult(FULL)
        self._records[key] = PinRecord(record.version, clock_s)
        return LedgerResult(CREATED, version=record.version)

    def expire(self, clock_s: float) -> None:
        """Drop sessions that have been idle for too long."""
        oldest_s = clock_s - MAX_IDLE_S
        while self._records:
            key = next(iter(self._records))
            if self._records[key].used_s >= oldest_s:
                return
            del self._records[key]

    def state(self) -> PinsState:
        """Return all pins in order, as a snapshot holds them."""
        return PinsState(list(self._records), list(self._records.values()))

    def load(self, state: PinsState) -> None:
        """Take the pins of a snapshot in place of one's own."""
        self._records = dict(zip(*state, strict=True))


__all__ = [
    "MAX_IDLE_S",
    "MAX_PINS",
    "PinBook",
    "PinKey",
    "PinRecord",
    "PinsState",
]
