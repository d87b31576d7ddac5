"""The interface between the data path of an entry and its control link."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING
from typing import TypeVar

from sycamorestand_model.entry_reports import EntryAddress
from sycamorestand_model.entry_reports import VersionSample

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from sycamorestand_model.backend_servers import Announcement
    from sycamorestand_model.in_force import InForce
    from sycamorestand_model.ledger import LedgerRecord
    from sycamorestand_model.ledger import LedgerResult
    from sycamorestand_peer.messages import Message

M = TypeVar("M")


class ControlPort(Protocol):
    """The entry's view of its control process.

    All synchronous methods answer from memory. If `lease_remaining_s` is
    zero or less, new work must be refused. It reads the clock at every
    call, so that a process which was suspended until after the end of its
    lease refuses work at once.
    """

    def in_force(self) -> InForce: ...

    def lease_remaining_s(self) -> float: ...

    def backend_servers(self) -> Mapping[str, Announcement]:
        """Return the live servers by name, in a new mapping after a change."""
        ...

    def addresses(self) -> tuple[EntryAddress, ...]: ...

    def entry_count(self) -> int:
        """Return the number of entries, 0 while it is not known.

        `addresses` holds only the entries that callers are sent to.
        """
        ...

    def entry_place(self) -> float:
        """Return this entry's rank among all, from 0 to below 1."""
        ...

    def report(self, sample: VersionSample) -> None: ...

    def send(self, message: Message) -> None:
        """Send the control process a message; do not await an answer."""
        ...

    def add_listener(
        self, kind: type[M], listener: Callable[[M], None]
    ) -> None:
        """Call ``listener`` with each received message of the type."""
        ...

    def set_stopping(self) -> None: ...

    def set_unreached(self, services: frozenset[str]) -> None:
        """Tell control and other entries which services are not reached.

        These are the services and models that have servers of which this
        entry reaches none.
        """
        ...

    def record_leaving(self, server: Announcement) -> None:
        """Send the server no more work, as it said that it leaves.

        That holds until the server starts again, whatever its announcements
        say. Control is told, and its word holds for the other entries.
        """
        ...

    async def announce(self, announcement: Announcement) -> None: ...

    async def write_ledger(
        self, records: Sequence[LedgerRecord]
    ) -> list[LedgerResult]:
        """Write the records and return once they are durable.

        Raises `LedgerUnavailable` if that is not certain; the records may
        or may not have been applied.
        """
        ...


__all__ = ["ControlPort", "EntryAddress", "VersionSample"]
