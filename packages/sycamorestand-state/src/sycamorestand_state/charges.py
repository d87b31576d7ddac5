"""Charges: one for each customer and request key, and their daily totals.

A shard keeps a single charge until the window ends or the room is needed
for a newer one. A charge that was evicted for room leaves a tombstone of
its key; another charge for that key then gets ``expired``, which means that
the key was charged before. Daily totals never expire: there is one for each
customer, version and day.
"""

from __future__ import annotations

from datetime import datetime
from datetime import UTC
from typing import Final
from typing import NamedTuple

from sycamorestand_model.ledger import Charge
from sycamorestand_model.ledger import LedgerResult
from sycamorestand_state.claims import CONFLICT
from sycamorestand_state.claims import CREATED
from sycamorestand_state.claims import EXISTS
from sycamorestand_state.claims import EXPIRED
from sycamorestand_state.claims import FULL
from sycamorestand_state.tombstones import Tombstones
from sycamorestand_state.tombstones import WINDOW_S

MAX_CHARGES: Final = 100_000
# Only a faulty entry reports more than this for one request. Totals of
# such figures would exceed the 64-bit integers of a snapshot.
MAX_COST_MICROS: Final = 1_000_000_000_000
MAX_TOKENS: Final = 1_000_000_000
MAX_TOTAL: Final = 2**63 - 1
DAY_S: Final = 86_400.0


class ChargeLine(NamedTuple):
    """One charge; ``number`` counts a shard's charges, starting at 1."""

    number: int
    customer: str
    request_key: str
    version: str
    cost_micros: int
    input_tokens: int
    output_tokens: int
    charged_s: float


class DayTotal(NamedTuple):
    """The sum of a customer's charges for a version on a day (UTC)."""

    customer: str
    version: str
    day: str
    charges: int
    cost_micros: int
    input_tokens: int
    output_tokens: int


class Bills(NamedTuple):
    """Daily totals, and a page of single charges.

    ``next_after`` is the ``after`` of the query for the next page.
    Charges with numbers up to ``dropped_until`` are only in the totals.
    """

    totals: tuple[DayTotal, ...]
    charges: tuple[ChargeLine, ...]
    next_after: int
    dropped_until: int


TotalKey = tuple[str, str, int]


class ChargesState(NamedTuple):
    """The part of a snapshot that holds the charges."""

    lines: list[ChargeLine]
    totals: list[DayTotal]
    number: int
    dropped_until: int


class ChargeBook:
    """All charges of a shard, oldest first."""

    def __init__(
        self, tombstones: Tombstones, limit: int = MAX_CHARGES
    ) -> None:
        self._limit = limit
        self._tombstones = tombstones
        self._lines: dict[tuple[str, str], ChargeLine] = {}
        self._totals: dict[tuple[str, str, str], DayTotal] = {}
        self._number = 0
        self._dropped_until = 0

    def __len__(self) -> int:
        return len(self._lines)

    def charge(self, record: Charge, clock_s: float) -> LedgerResult:
        """Charge a request key once.

        The result of a repeated charge is ``exists`` with the version and
        cost of the first one. The result is ``expired`` if only a
        tombstone of the key is left, ``conflict`` if the figures are
        implausible or exceed `MAX_TOTAL` together with earlier ones, and
        ``full`` if there is no room.
        """
        key = (record.customer, record.request_key)
        known = self._lines.get(key)
        if known is not None:
            return LedgerResult(
                EXISTS,
                version=known.version,
                cost_micros=known.cost_micros,
            )
        if self._tombstones.holds(*key):
            return LedgerResult(EXPIRED)
        total = self._total_with(record, clock_s)
        if not _is_plausible(record) or _is_too_large(total):
            return LedgerResult(CONFLICT)
        if not self._make_room():
            return LedgerResult(FULL)
        self._add(key, record, clock_s)
        self._totals[total[:3]] = total
        return LedgerResult(
            CREATED, version=record.version, cost_micros=record.cost_micros
        )

    def expire(self, clock_s: float) -> None:
        """Drop single charges that are older than the window."""
        oldest_s = clock_s - WINDOW_S
        while self._lines:
            key = next(iter(self._lines))
            if self._lines[key].charged_s >= oldest_s:
                return
            self._drop(key)

    def bills(self, customer: str | None, after: int, limit: int) -> Bills:
        """Return totals and up to ``limit`` charges numbered above ``after``.

        ``customer`` None selects the bills of all customers.
        """
        page: list[ChargeLine] = []
        for line in self._lines.values():
            if len(page) == limit:
                break
            if line.number > after and customer in (None, line.customer):
                page.append(line)
        totals = (
            total
            for total in self._totals.values()
            if customer in (None, total.customer)
        )
        next_after = page[-1].number if page else after
        return Bills(
            tuple(sorted(totals)),
            tuple(page),
            next_after,
            self._dropped_until,
        )

    def state(self) -> ChargesState:
        """Return the charges and totals for a snapshot."""
        return ChargesState(
            list(self._lines.values()),
            sorted(self._totals.values()),
            self._number,
            self._dropped_until,
        )

    def load(self, state: ChargesState) -> None:
        """Replace all charges and totals by those of a snapshot."""
        self._lines = {
            (line.customer, line.request_key): line for line in state.lines
        }
        self._totals = {
            (total.customer, total.version, total.day): total
            for total in state.totals
        }
        self._number = state.number
        self._dropped_until = state.dropped_until

    def _add(
        self, key: tuple[str, str], record: Charge, clock_s: float
    ) -> None:
        self._number += 1
        self._lines[key] = ChargeLine(
            self._number,
            record.customer,
            record.request_key,
            record.version,
            record.cost_micros,
            record.input_tokens,
            record.output_tokens,
            clock_s,
        )

    def _total_with(self, record: Charge, clock_s: float) -> DayTotal:
        key = (record.customer, record.version, _utc_day(clock_s))
        total = self._totals.get(key, DayTotal(*key, 0, 0, 0, 0))
        return DayTotal(
            *key,
            total.charges + 1,
            total.cost_micros + record.cost_micros,
            total.input_tokens + record.input_tokens,
            total.output_tokens + record.output_tokens,
        )

    def _make_room(self) -> bool:
        if len(self._lines) < self._limit:
            return True
        if self._tombstones.is_full:
            return False
        key = next(iter(self._lines))
        self._tombstones.add(*key, self._lines[key].charged_s)
        self._drop(key)
        return True

    def _drop(self, key: tuple[str, str]) -> None:
        self._dropped_until = self._lines.pop(key).number


def _is_plausible(record: Charge) -> bool:
    return (
        0 <= record.cost_micros <= MAX_COST_MICROS
        and 0 <= record.input_tokens <= MAX_TOKENS
        and 0 <= record.output_tokens <= MAX_TOKENS
    )


def _is_too_large(total: DayTotal) -> bool:
    """Return whether a snapshot could not hold the total."""
    return max(*total[3:]) > MAX_TOTAL


def _utc_day(now_s: float) -> str:
    return datetime.fromtimestamp(now_s, UTC).date().isoformat()


__all__ = [
    "Bills",
    "ChargeBook",
    "ChargeLine",
    "ChargesState",
    "DayTotal",
    "MAX_CHARGES",
    "MAX_COST_MICROS",
    "MAX_TOKENS",
]
