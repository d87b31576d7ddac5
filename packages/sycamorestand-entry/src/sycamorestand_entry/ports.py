"""What the data path of an entry needs from the rest of the system."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING
from typing import TypeVar

from sycamorestand_model.nodes import EntryAddress
from sycamorestand_model.nodes import VersionSample

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

    All synchronous members answer from memory. `lease_remaining_s` is
    zero or less where new work must be refused; it reads the clock at
    every call, so that a process suspended past its lease sees it.
    """

    def in_force(self) -> InForce: ...

    def lease_remaining_s(self) -> float: ...

    def backend_servers(self) -> Mapping[str, Announcement]: ...

    def addresses(self) -> tuple[EntryAddress, ...]: ...

    def entry_count(self) -> int:
        """Return how many entries there are, 0 while that is not known.

        `addresses` holds only those that callers are told of.
        """
        ...

    def report(self, sample: VersionSample) -> None: ...

    def send(self, message: Message) -> None:
        """Send the control process a message that needs no answer."""
        ...

    def add_listener(
        self, kind: type[M], listener: Callable[[M], None]
    ) -> None:
        """Call ``listener`` with each message of a kind that comes."""
        ...

    def set_stopping(self) -> None: ...

    async def announce(self, announcement: Announcement) -> None: ...

    async def write_ledger(
        self, records: Sequence[LedgerRecord]
    ) -> list[LedgerResult]:
        """Return when the records are durable.

        Raises `LedgerUnavailable` where that could not be established:
        the records may or may not have been applied.
        """
        ...


__all__ = ["ControlPort", "EntryAddress", "VersionSample"]
