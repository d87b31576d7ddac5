"""The audit trail: an entry for each change, within a limit of bytes.

Each replica keeps the same entries, as the limits are the same everywhere.
The oldest ones go first; operators who need them longer export them.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from itertools import accumulate
from typing import Final

from sycamorestand_state.codec import encoded_size_bytes
from sycamorestand_state.results import AuditEntry

# The trail is in memory and in every snapshot. At 600 bytes a change this is
# two weeks of 460 changes a day.
MAX_TRAIL_BYTES: Final = 4 * 1024 * 1024
MAX_ENTRIES: Final = 20_000
# Bounds the size of an entry; the first lines show the intent. Those of a
# difference leave room for what follows from it.
MAX_LINES: Final = 256
MAX_LINES_CHARACTERS: Final = 16_384
# Room for the line that counts the others.
LAST_LINE_CHARACTERS: Final = 100
MAX_TEXT_CHARACTERS: Final = 2_000


class AuditTrail:
    """The entries of the newest changes, oldest first."""

    def __init__(self, entries: Iterable[AuditEntry] = ()) -> None:
        self._entries: list[AuditEntry] = []
        self._sizes_bytes: list[int] = []
        self.size_bytes = 0
        for entry in entries:
            self.append(entry)

    @property
    def entries(self) -> list[AuditEntry]:
        """The entries; callers must not change them."""
        return self._entries

    def after(self, index: int, limit: int) -> list[AuditEntry]:
        """Return up to ``limit`` entries after an index of the log."""
        first = self._position(index)
        return self._entries[first : first + limit]

    def revision_at(self, index: int) -> int | None:
        """Return the revision after an applied index of the log.

        Returns None if the trail does not reach back that far.
        """
        count = self._position(index)
        return self._entries[count - 1].revision if count else None

    def append(self, entry: AuditEntry) -> None:
        """Add an entry, shortened to its limits, and drop the oldest ones."""
        kept = _within_limits(entry)
        size_bytes = encoded_size_bytes(kept)
        self._entries.append(kept)
        self._sizes_bytes.append(size_bytes)
        self.size_bytes += size_bytes
        surplus = 0
        while (
            self.size_bytes > MAX_TRAIL_BYTES
            or len(self._entries) - surplus > MAX_ENTRIES
        ):
            self.size_bytes -= self._sizes_bytes[surplus]
            surplus += 1
        del self._entries[:surplus]
        del self._sizes_bytes[:surplus]

    def _position(self, index: int) -> int:
        return bisect_right(self._entries, index, key=lambda e: e.log_index)


def within_limits(lines: tuple[str, ...], what: str) -> tuple[str, ...]:
    """Return the first lines, and one that counts the others.

    ``what`` names what a line is, such as ``differences``. Lines that this
    has returned stay as they are: a replica that reads them from a snapshot
    limits them again.
    """
    size = sum(len(line) for line in lines)
    if len(lines) <= MAX_LINES and size <= MAX_LINES_CHARACTERS:
        return lines
    room = MAX_LINES_CHARACTERS - LAST_LINE_CHARACTERS
    ends = accumulate(len(line) for line in lines[: MAX_LINES - 1])
    count = sum(end <= room for end in ends)
    first = lines[:count] or (lines[0][:room],)
    left = len(lines) - len(first)
    return (*first, f"and {left} more {what}") if left else first


def _within_limits(entry: AuditEntry) -> AuditEntry:
    return entry._replace(
        operator=entry.operator[:MAX_TEXT_CHARACTERS],
        change_id=entry.change_id[:MAX_TEXT_CHARACTERS],
        difference=within_limits(entry.difference, "lines"),
        evidence=entry.evidence[:MAX_TEXT_CHARACTERS],
        subject=entry.subject[:MAX_TEXT_CHARACTERS],
        message=entry.message[:MAX_TEXT_CHARACTERS],
    )


__all__ = [
    "AuditTrail",
    "MAX_LINES",
    "MAX_TRAIL_BYTES",
    "within_limits",
]
