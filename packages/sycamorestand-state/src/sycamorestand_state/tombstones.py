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
# An open hash takes ten times the bytes of a closed one, and a snapshot
# sorts all open ones; to close them costs a walk over their group.
MAX_OPEN_HASHES: Final = 16_384
_UNSIGNED_64: Final = "Q"


class _Generation(NamedTuple):
    """Keys by the time of their last change; ``closed`` is sorted."""

    opened: set[int]
    closed: array[int]


class GenerationState(NamedTuple):
    """The part of a snapshot that holds one group of hashes."""

    number: int
    opened: bytes
    closed: bytes


class Tombstones:
    """Hashes of used keys, in groups that are dropped when they are old."""

    def __init__(self, limit: int = MAX_TOMBSTONES) -> None:
        self._limit = limit
        self._generations: dict[int, _Generation] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    @property
    def is_full(self) -> bool:
        """Whether another key could be taken in."""
        return self._count >= self._limit

    def add(self, customer: str, key: str, changed_s: float) -> None:
        """Remember a key that was last changed at ``changed_s``."""
        number = int(changed_s // GENERATION_S)
        generation = self._generations.get(number)
        if generation is None:
            generation = _Generation(set(), array(_UNSIGNED_64))
            self._generations[number] = generation
        key_hash = _hash(customer, key)
        # The count must come out the same after a restart from a snapshot,
        # which holds equal hashes once.
        if key_hash in generation.opened or _contains(
            generation.closed, key_hash
        ):
            return
        generation.opened.add(key_hash)
        self._count += 1
        if len(generation.opened) >= MAX_OPEN_HASHES:
            self._generations[number] = _closed(generation)

    def holds(self, customer: str, key: str) -> bool:
        """Tell whether the key was used within the window."""
        if not self._count:
            return False
        key_hash = _hash(customer, key)
        return any(
            key_hash in generation.opened
            or _contains(generation.closed, key_hash)
            for generation in self._generations.values()
        )

    def expire(self, now_s: float) -> None:
        """Drop the groups whose youngest key is past the window."""
        oldest = int((now_s - WINDOW_S) // GENERATION_S)
        for number in [n for n in self._generations if n < oldest]:
            generation = self._generations.pop(number)
            self._count -= len(generation.opened) + len(generation.closed)

    def state(self) -> list[GenerationState]:
        """Return the groups in the form that a snapshot holds."""
        return [
            GenerationState(
                number,
                array(_UNSIGNED_64, sorted(generation.opened)).tobytes(),
                generation.closed.tobytes(),
            )
            for number, generation in self._generations.items()
        ]

    def load(self, state: list[GenerationState]) -> None:
        """Take the groups of a snapshot in place of one's own."""
        self._generations = {}
        self._count = 0
        for number, opened, closed in state:
            generation = _Generation(
                set(_unpack_hashes(opened)), _unpack_hashes(closed)
            )
            self._generations[number] = generation
            self._count += len(generation.opened) + len(generation.closed)


def _closed(generation: _Generation) -> _Generation:
    merged = sorted((*generation.closed, *sorted(generation.opened)))
    return _Generation(set(), array(_UNSIGNED_64, merged))


def _unpack_hashes(data: bytes) -> array[int]:
    hashes = array(_UNSIGNED_64)
    hashes.frombytes(data)
    return hashes


def _contains(hashes: array[int], wanted: int) -> bool:
    index = bisect_left(hashes, wanted)
    return index < len(hashes) and hashes[index] == wanted


def _hash(customer: str, key: str) -> int:
    text = f"{len(customer)}:{customer}{key}".encode()
    digest = hashlib.blake2b(text, digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


__all__ = [
    "GENERATION_S",
    "GenerationState",
    "MAX_TOMBSTONES",
    "Tombstones",
    "WINDOW_S",
]
