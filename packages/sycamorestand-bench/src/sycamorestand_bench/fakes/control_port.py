"""A control process in memory: plain dicts behind the entry's port."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.backend_servers import supersedes
from sycamorestand_model.errors import LedgerUnavailable
from sycamorestand_model.in_force import InForce
from sycamorestand_model.ledger import Charge
from sycamorestand_model.ledger import Claim
from sycamorestand_model.ledger import Dispatch
from sycamorestand_model.ledger import LedgerRecord
from sycamorestand_model.ledger import LedgerResult
from sycamorestand_model.ledger import Outcome
from sycamorestand_model.ledger import Pin

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sycamorestand_entry.ports import EntryAddress
    from sycamorestand_entry.ports import VersionSample

MISSING: Final = LedgerResult("conflict")


class FakeLedger:
    """Records of the ledger; entries that share it share their claims."""

    def __init__(self) -> None:
        self.charges: dict[tuple[str, str], Charge] = {}
        self.repeated_charges = 0
        self.pins: dict[tuple[str, str], str] = {}
        self.claims: dict[tuple[str, str], LedgerResult] = {}
        self.fingerprints: dict[tuple[str, str], str] = {}
        self.log: list[LedgerRecord] = []

    def apply(self, record: LedgerRecord) -> LedgerResult:
        """Apply one record and answer it as the ledger does."""
        self.log.append(record)
        match record:
            case Charge():
                return self._charge(record)
            case Pin():
                return self._pin(record)
            case Claim():
                return self._claim(record)
            case Dispatch():
                return self._dispatch(record)
            case Outcome():
                return self._outcome(record)

    def _charge(self, record: Charge) -> LedgerResult:
        key = (record.customer, record.request_key)
        known = self.charges.get(key)
        if known is not None:
            self.repeated_charges += 1
            return LedgerResult("exists", cost_micros=known.cost_micros)
        self.charges[key] = record
        return LedgerResult("created", cost_micros=record.cost_micros)

    def _pin(self, record: Pin) -> LedgerResult:
        key = (record.customer, record.session)
        state = "exists" if key in self.pins else "created"
        version = self.pins.setdefault(key, record.version)
        return LedgerResult(state, version=version)

    def _claim(self, record: Claim) -> LedgerResult:
        key = (record.customer, record.request_key)
        known = self.claims.get(key)
        if known is None or known.claim_state == "not_run":
            self.fingerprints[key] = record.fingerprint
            self.claims[key] = LedgerResult(
                "created", claim_state="claimed", owner=record.owner
            )
            return self.claims[key]
        if self.fingerprints[key] != record.fingerprint:
            return LedgerResult("conflict", owner=known.owner)
        return known._replace(state="exists")

    def _dispatch(self, record: Dispatch) -> LedgerResult:
        key = (record.customer, record.request_key)
        known = self.claims.get(key)
        if known is None or known.owner != record.owner:
            return MISSING
        self.claims[key] = known._replace(claim_state="dispatched")
        return LedgerResult("ok")

    def _outcome(self, record: Outcome) -> LedgerResult:
        key = (record.customer, record.request_key)
        known = self.claims.get(key)
        if known is None or known.owner != record.owner:
            return MISSING
        self.claims[key] = known._replace(
            claim_state=record.state,
            status=record.status,
            content_type=record.content_type,
            answer=record.answer,
        )
        return LedgerResult("ok")


class FakeControlPort:
    """A `ControlPort` whose state a test sets directly."""

    def __init__(self, configuration: InForce, ledger: FakeLedger) -> None:
        self.configuration = configuration
        self.records = ledger
        self.lease_s = 3.0
        self.servers: dict[str, Announcement] = {}
        self.entry_addresses: tuple[EntryAddress, ...] = ()
        self.samples: list[VersionSample] = []
        self.stopping = False
        self.ledger_delay_s = 0.0
        self.ledger_failures = 0
        self.lose_answers = False

    def in_force(self) -> InForce:
        return self.configuration

    def lease_remaining_s(self) -> float:
        return self.lease_s

    def backend_servers(self) -> dict[str, Announcement]:
        return self.servers

    def addresses(self) -> tuple[EntryAddress, ...]:
        return self.entry_addresses

    def report(self, sample: VersionSample) -> None:
        self.samples.append(sample)

    def set_stopping(self) -> None:
        self.stopping = True

    async def announce(self, announcement: Announcement) -> None:
        known = self.servers.get(announcement.name)
        if known is None or supersedes(announcement, known):
            self.servers[announcement.name] = announcement

    async def ledger(
        self, records: Sequence[LedgerRecord]
    ) -> list[LedgerResult]:
        """Apply the records; `ledger_failures` of the calls are refused.

        With `lose_answers` a refused call has applied its records.
        """
        await anyio.sleep(self.ledger_delay_s)
        failing = self.ledger_failures > 0
        if failing:
            self.ledger_failures -= 1
        if failing and not self.lose_answers:
            raise LedgerUnavailable("the fake ledger is told to fail")
        results = [self.records.apply(record) for record in records]
        if failing:
            raise LedgerUnavailable("the fake ledger lost its answer")
        return results


__all__ = ["FakeControlPort", "FakeLedger"]
