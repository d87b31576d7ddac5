"""What the data path of an entry needs from the rest of the system."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from sycamorestand_model.backend_servers import Announcement
    from sycamorestand_model.in_force import InForce
    from sycamorestand_model.ledger import LedgerRecord
    from sycamorestand_model.ledger import LedgerResult


class EntryAddress(NamedTuple):
    """An address that callers may connect to, and what is known of it."""

    vm: str
    data_centre: str
    host: str
    port: int
    stopping: bool = False
    load: float = 0.0


class VersionSample(NamedTuple):
    """What one attempt on a version showed, for roll-outs and cascades.

    ``rating`` is 0 to 1, or None where none came. ``request_class`` is
    the class that the cascade learns by.
    """

    version: str
    request_class: str
    failed: bool
    first_token_ms: float
    total_ms: float
    rating: float | None
    cost_micros: int


class ControlPort(Protocol):
    """The entry's view of its control process.

    All synchronous members answer from memory. `lease_remaining_s` is
    zero or less where new work must be refused; it reads the clock at
    every call, so that a process suspended past its lease sees it.
    """

    def in_force(self) -> InForce: ...

    def lease_remaining_s(self) -> float: ...

    def backend_servers(self) -> Mapping[str, Announcement]: ...

    def addresses(self) -> tuple[EntryAddress, ...]: ...

    def report(self, sample: VersionSample) -> None: ...

    def set_stopping(self) -> None: ...

    async def announce(self, announcement: Announcement) -> None: ...

    async def ledger(
        self, records: Sequence[LedgerRecord]
    ) -> list[LedgerResult]:
        """Return when the records are durable.

        Raises `LedgerUnavailable` where that could not be established:
        the records may or may not have been applied.
        """
        ...


__all__ = ["ControlPort", "EntryAddress", "VersionSample"]
