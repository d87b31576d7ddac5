"""In-memory part of the log."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from typing import Final

from sycamorestand_consensus.errors import SafetyViolated
from sycamorestand_consensus.messages import Entry

# Size of an entry's index, term, kind and framing on the wire, rounded up.
ENTRY_OVERHEAD_BYTES: Final = 32


class MemoryLog:
    """Entries after ``start_index``, the index that a snapshot covers."""

    def __init__(
        self,
        start_index: int,
        start_term: int,
        entries: Iterable[Entry] = (),
    ) -> None:
        """Start after a snapshot with the entries that follow it."""
        self.start_index = start_index
        self.start_term = start_term
        self._entries: list[Entry] = []
        # What all entries up to each of them take since the start, so that
        # the size of a part needs no pass over its entries.
        self._ends_bytes: list[int] = []
        self._start_bytes = 0
        self.append(entries)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.start_index + len(self._entries)

    @property
    def size_bytes(self) -> int:
        """Return what all entries in memory take."""
        return self.size_after(self.start_index)

    def size_after(self, index: int) -> int:
        """Return what the entries in memory after ``index`` take."""
        if not self._ends_bytes:
            return 0
        position = index - self.start_index
        before = self._start_bytes
        if position > 0:
            position = min(position, len(self._ends_bytes))
            before = self._ends_bytes[position - 1]
        return self._ends_bytes[-1] - before

    def size_between(self, first: int, last: int) -> int:
        """Return what the entries from ``first`` to ``last`` take."""
        return self.size_after(first - 1) - self.size_after(last)

    def index_before(self, last: int, max_bytes: int) -> int:
        """Return the index behind which at most ``max_bytes`` reach ``last``.

        It is ``last`` itself if the entry there is larger.
        """
        if last <= self.start_index:
            return last
        end_bytes = self._ends_bytes[last - self.start_index - 1]
        ends = [self._start_bytes, *self._ends_bytes]
        return self.start_index + bisect_left(ends, end_bytes - max_bytes)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.start_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not in memory."""
        if index == self.start_index:
            return self.start_term
        if self.start_index < index <= self.last_index:
            return self._entries[index - self.start_index - 1].term
        return None

    def first_index_of_term_at(self, index: int) -> int:
        """Return the first index in memory with the term of ``index``."""
        term = self.term_at(index)
        while self.term_at(index - 1) == term:
            index -= 1
        return index

    def last_index_of_term(self, term: int, below: int) -> int | None:
        """Return the last index below ``below`` with this term, if any."""
        index = min(below - 1, self.last_index)
        index_term = self.term_at(index)
        while index_term is not None and index_term > term:
            index -= 1
            index_term = self.term_at(index)
        return index if index_term == term else None

    def append(self, entries: Iterable[Entry]) -> None:
        """Append entries; raise ``SafetyViolated`` if they leave a gap."""
        for entry in entries:
            if entry.log_index != self.last_index + 1:
                reason = f"entry {entry.log_index} follows {self.last_index}"
                raise SafetyViolated(reason)
            before = self._start_bytes
            if self._ends_bytes:
                before = self._ends_bytes[-1]
            self._entries.append(entry)
            self._ends_bytes.append(before + entry_size_bytes(entry))

    def between(self, first: int, last: int) -> tuple[Entry, ...]:
        """Return the entries from ``first`` to ``last`` inclusive."""
        offset = self.start_index + 1
        return tuple(self._entries[first - offset : last + 1 - offset])

    def batch_from(self, first: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return at least one entry, and more up to ``max_bytes``."""
        chosen: list[Entry] = []
        size_bytes = 0
        position = first - self.start_index - 1
        while position < len(self._entries):
            entry = self._entries[position]
            size_bytes += entry_size_bytes(entry)
            if chosen and size_bytes > max_bytes:
                break
            chosen.append(entry)
            position += 1
        return tuple(chosen)

    def truncate_from(self, index: int) -> None:
        """Delete the entries from ``index`` on."""
        del self._entries[index - self.start_index - 1 :]
        del self._ends_bytes[index - self.start_index - 1 :]

    def compact_to(self, index: int) -> None:
        """Delete the entries up to ``index``, which a snapshot covers."""
        if index <= self.start_index:
            return
        term = self.term_at(index)
        if term is None:
            raise SafetyViolated(f"entry {index} to compact is not in memory")
        self._start_bytes = self._ends_bytes[index - self.start_index - 1]
        del self._entries[: index - self.start_index]
        del self._ends_bytes[: index - self.start_index]
        self.start_index = index
        self.start_term = term

    def reset(self, index: int, term: int) -> None:
        """Delete all entries and start after a snapshot."""
        self._entries.clear()
        self._ends_bytes.clear()
        self._start_bytes = 0
        self.start_index = index
        self.start_term = term


def entry_size_bytes(entry: Entry) -> int:
    """Return what an entry takes in a message, on disk and in memory."""
    return len(entry.data) + ENTRY_OVERHEAD_BYTES


__all__ = ["entry_size_bytes", "MemoryLog"]
