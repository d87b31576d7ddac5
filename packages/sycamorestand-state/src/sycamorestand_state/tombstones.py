"""Keys that were used and must not be taken for new ones, in few bytes.

A full record is kept for as long as there is room for it. After that, and
until the window is over, eight bytes of a hash say that the key was used.
Without them a retry that comes late within the window would run, or be
charged, a second time. Two of four million keys share a hash with a
chance of about one in two million; what then happens is a refusal.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
import hashlib
from typing import Final
from typing import NamedTuple

# A key is remembered for at least this long after its last change.
WINDOW_S: Final = 86_400.0
# Keys go in groups of this age span, so they stay up to this much longer.
GENERATION_S: Final = 14_400.0
# 32 MB in closed groups; about 46 keys a second over the whole window.
MAX_TOMBSTONES: Final = 4_000_000
HASH_BYTES: Final = 8
_UNSIGNED_64: Final = "Q"


class _Generation(NamedTuple):
    """Keys by the time of their last change; sorted once it is closed."""

    opened: set[int]
    closed: array[int]


class Tombstones:
    """Hashes of used keys, in groups that are dropped when they are old."""

    def __init__(self, limit: int = MAX_TOMBSTONES) -> None:
        self._limit = limit
        self._generations: dict[int, _Generation] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    @property
    def full(self) -> bool:
        """Whether another key could be taken in."""
        return self._count >= self._limit

    def add(self, customer: str, key: str, changed_s: float) -> None:
        """Remember a key that was last changed at ``changed_s``."""
        number = int(changed_s // GENERATION_S)
        generation = self._generations.get(number)
        if generation is None:
            self._close_others()
            generation = _Generation(set(), array(_UNSIGNED_64))
            self._generations[number] = generation
        hashed = _hash(customer, key)
        # The count must come out the same after a restart from a snapshot,
        # which holds equal hashes once.
        if hashed in generation.opened or _found(generation.closed, hashed):
            return
        generation.opened.add(hashed)
        self._count += 1

    def holds(self, customer: str, key: str) -> bool:
        """Tell whether the key was used within the window."""
        if not self._count:
            return False
        hashed = _hash(customer, key)
        return any(
            hashed in generation.opened or _found(generation.closed, hashed)
            for generation in self._generations.values()
        )

    def expire(self, now_s: float) -> None:
        """Drop the groups whose youngest key is past the window."""
        oldest = int((now_s - WINDOW_S) // GENERATION_S)
        for number in [n for n in self._generations if n < oldest]:
            generation = self._generations.pop(number)
            self._count -= len(generation.opened) + len(generation.closed)

    def state(self) -> list[tuple[int, bytes]]:
        """Return the groups in the form that a snapshot holds."""
        return [
            (number, _sorted_hashes(generation).tobytes())
            for number, generation in self._generations.items()
        ]

    def load(self, state: list[tuple[int, bytes]]) -> None:
        """Take the groups of a snapshot in place of one's own."""
        self._generations = {}
        self._count = 0
        for number, data in state:
            closed = array(_UNSIGNED_64)
            closed.frombytes(data)
            self._generations[number] = _Generation(set(), closed)
            self._count += len(closed)

    def _close_others(self) -> None:
        for number, generation in self._generations.items():
            if generation.opened:
                closed = _sorted_hashes(generation)
                self._generations[number] = _Generation(set(), closed)


def _sorted_hashes(generation: _Generation) -> array[int]:
    if not generation.opened:
        return generation.closed
    return array(
        _UNSIGNED_64, sorted((*generation.opened, *generation.closed))
    )


def _found(hashes: array[int], wanted: int) -> bool:
    place = bisect_left(hashes, wanted)
    return place < len(hashes) and hashes[place] == wanted


def _hash(customer: str, key: str) -> int:
    text = f"{len(customer)}:{customer}{key}".encode()
    digest = hashlib.blake2b(text, digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


__all__ = ["GENERATION_S", "MAX_TOMBSTONES", "Tombstones", "WINDOW_S"]
