"""Pins of sessions: the version that serves all requests of a session.

Callers name their sessions. Two entries that handle the first two requests
of a session at the same time may choose different versions. The pin that
comes first in the log decides for both entries.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

from sycamorestand_model.ledger import LedgerResult
from sycamorestand_model.ledger import Pin
from sycamorestand_state.claims import CREATED
from sycamorestand_state.claims import EXISTS
from sycamorestand_state.claims import FULL

# A session without a request for this long loses its pin.
MAX_IDLE_S: Final = 7 * 86_400.0
MAX_PINS: Final = 200_000


class PinRecord(NamedTuple):
    """The pinned version of a session, and the time of its last request."""

    version: str
    used_s: float


PinKey = tuple[str, str]


class PinsState(NamedTuple):
    """The part of a snapshot that holds the pins.

    The two lists refer to existing keys and records. A single list would
    need a new pair for each pin, and so many new objects make the garbage
    collector walk the whole heap: 0.2 s for 50,000 claims.
    """

    keys: list[PinKey]
    records: list[PinRecord]


class PinBook:
    """All pins of a shard, ordered by their last use, newest last."""

    def __init__(self, limit: int = MAX_PINS) -> None:
        self._limit = limit
        self._records: dict[PinKey, PinRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def pin(self, record: Pin, clock_s: float) -> LedgerResult:
        """Return the session's pinned version, or pin the given one.

        The result is ``full`` if the session has no pin and the shard
        holds as many pins as its limit allows.
        """
        key = (record.customer, record.session)
        known = self._records.pop(key, None)
        if known is not None:
            self._records[key] = PinRecord(known.version, clock_s)
            return LedgerResult(EXISTS, version=known.version)
        # Evicting the pin of a session in use would silently move that
        # session to another version, so a new session is refused instead.
        if len(self._records) >= self._limit:
            return LedgerResult(FULL)
        self._records[key] = PinRecord(record.version, clock_s)
        return LedgerResult(CREATED, version=record.version)

    def expire(self, clock_s: float) -> None:
        """Drop the pins of sessions that were idle for too long."""
        oldest_s = clock_s - MAX_IDLE_S
        while self._records:
            key = next(iter(self._records))
            if self._records[key].used_s >= oldest_s:
                return
            del self._records[key]

    def state(self) -> PinsState:
        """Return all pins in their order, for a snapshot."""
        return PinsState(list(self._records), list(self._records.values()))

    def load(self, state: PinsState) -> None:
        """Replace all pins by those of a snapshot."""
        self._records = dict(zip(*state, strict=True))


__all__ = [
    "MAX_IDLE_S",
    "MAX_PINS",
    "PinBook",
    "PinKey",
    "PinRecord",
    "PinsState",
]
