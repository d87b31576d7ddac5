"""Replace the control process by objects in memory."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

import anyio

from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.backend_servers import supersedes
from sycamorestand_model.errors import LedgerUnavailable
from sycamorestand_model.in_force import InForce
from sycamorestand_model.ledger import Charge
from sycamorestand_model.ledger import LedgerRecord
from sycamorestand_model.ledger import LedgerResult
from sycamorestand_model.ledger import Outcome
from sycamorestand_state.ledger import encode_batch
from sycamorestand_state.ledger import LedgerMachine

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from sycamorestand_entry.ports import EntryAddress
    from sycamorestand_entry.ports import VersionSample
    from sycamorestand_peer.messages import Message

M = TypeVar("M")


class FakeLedger:
    """A ledger that applies records to the real state machine, unlogged.

    Entries that share one instance share its claims. It uses the real
    machine because a copy of the rules can diverge from them: an earlier
    copy hid that the owner of a claim dispatches once.
    """

    def __init__(self) -> None:
        self.charges: dict[tuple[str, str], Charge] = {}
        self.outcomes: dict[tuple[str, str], Outcome] = {}
        self.repeated_charges = 0
        self._machine = LedgerMachine(0)
        self._index = 0

    def apply(self, records: Sequence[LedgerRecord]) -> list[LedgerResult]:
        """Apply a batch of records and return the result of each."""
        self._index += 1
        batch = encode_batch(records, time.time())
        results = self._machine.apply(self._index, batch)
        for record, result in zip(records, results, strict=True):
            self._record_result(record, result)
        return results

    def _record_result(
        self, record: LedgerRecord, result: LedgerResult
    ) -> None:
        if isinstance(record, Charge):
            if result.state == "created":
                self.charges[record.customer, record.request_key] = record
            else:
                self.repeated_charges += 1
        elif isinstance(record, Outcome) and result.state == "ok":
            self.outcomes[record.customer, record.request_key] = record


class FakeControlPort:
    """A `ControlPort` whose attributes a test sets directly.

    The first ``ledger_failures`` calls of `write_ledger` fail;
    ``lose_answers`` decides whether they apply their records.
    """

    def __init__(self, configuration: InForce, ledger: FakeLedger) -> None:
        self.configuration = configuration
        self.fake_ledger = ledger
        self.lease_s = 3.0
        self.servers: dict[str, Announcement] = {}
        self._returned: dict[str, Announcement] = {}
        self.entry_addresses: tuple[EntryAddress, ...] = ()
        self.entries = 0
        self.samples: list[VersionSample] = []
        self.sent_messages: list[Message] = []
        self.listeners: dict[type, Callable[[Any], None]] = {}
        self.stopping = False
        self.unreached: frozenset[str] = frozenset()
        self.ledger_delay_s = 0.0
        self.ledger_failures = 0
        self.lose_answers = False

    def in_force(self) -> InForce:
        return self.configuration

    def lease_remaining_s(self) -> float:
        return self.lease_s

    def backend_servers(self) -> dict[str, Announcement]:
        # Tests modify `servers`, but a returned mapping must not change.
        if self._returned != self.servers:
            self._returned = dict(self.servers)
        return self._returned

    def addresses(self) -> tuple[EntryAddress, ...]:
        return self.entry_addresses

    def entry_count(self) -> int:
        return self.entries

    def entry_place(self) -> float:
        return 0.0

    def report(self, sample: VersionSample) -> None:
        self.samples.append(sample)

    def send(self, message: Message) -> None:
        self.sent_messages.append(message)

    def add_listener(
        self, kind: type[M], listener: Callable[[M], None]
    ) -> None:
        self.listeners[kind] = listener

    def set_stopping(self) -> None:
        self.stopping = True

    def set_unreached(self, services: frozenset[str]) -> None:
        self.unreached = services

    def record_leaving(self, server: Announcement) -> None:
        if server.name in self.servers:
            self.servers[server.name] = server._replace(leaving=True)

    async def announce(self, announcement: Announcement) -> None:
        known = self.servers.get(announcement.name)
        if known is None or supersedes(announcement, known):
            self.servers[announcement.name] = announcement

    async def write_ledger(
        self, records: Sequence[LedgerRecord]
    ) -> list[LedgerResult]:
        """Apply the records after ``ledger_delay_s`` seconds.

        Raises `LedgerUnavailable` while ``ledger_failures`` is above zero
        and decrements it. With ``lose_answers`` such a call applies its
        records before it fails, like a ledger whose answer is lost.
        """
        await anyio.sleep(self.ledger_delay_s)
        failing = self.ledger_failures > 0
        if failing:
            self.ledger_failures -= 1
        if failing and not self.lose_answers:
            raise LedgerUnavailable("the fake ledger was set to fail")
        results = self.fake_ledger.apply(records)
        if failing:
            raise LedgerUnavailable("the fake ledger lost its answer")
        return results


__all__ = ["FakeControlPort", "FakeLedger"]
