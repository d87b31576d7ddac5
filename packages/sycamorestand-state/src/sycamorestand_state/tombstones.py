"""Tombstones: hashes of used request keys whose full records were evicted.

A shard keeps the full record of a key while it has room. After the record
is evicted, an eight-byte hash marks the key as used until the window ends.
Without the tombstone, a late retry within the window would run, or be
charged, a second time. Among four million keys, the probability that two
share a hash is about one in two million; a request whose key collides is
refused.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
import hashlib
from typing import Final
from typing import NamedTuple

# A key stays known for at least this long after its last change.
WINDOW_S: Final = 86_400.0
# Each generation holds the keys of a span this long and expires as a
# whole, so a key may stay known for up to this much longer.
GENERATION_S: Final = 14_400.0
# These take 32 MB in sorted arrays, and allow for about 46 keys a second
# over the whole window.
MAX_TOMBSTONES: Final = 4_000_000
HASH_BYTES: Final = 8
# A hash in the open set takes ten times the bytes of one in the closed
# array, and a snapshot sorts the open set. Moving the open hashes into the
# array costs a pass over their generation.
MAX_OPEN_HASHES: Final = 16_384
_UNSIGNED_64: Final = "Q"


class _Generation(NamedTuple):
    """The key hashes of one time span.

    ``opened`` takes new hashes; ``closed`` is sorted and compact.
    """

    opened: set[int]
    closed: array[int]


class GenerationState(NamedTuple):
    """The part of a snapshot that holds one generation of hashes."""

    number: int
    opened: bytes
    closed: bytes


class Tombstones:
    """Hashes of used keys, in generations that expire as a whole."""

    def __init__(self, limit: int = MAX_TOMBSTONES) -> None:
        self._limit = limit
        self._generations: dict[int, _Generation] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    @property
    def is_full(self) -> bool:
        """Whether the number of hashes has reached the limit.

        A shard without room for another full record then refuses new keys.
        """
        return self._count >= self._limit

    def add(self, customer: str, key: str, changed_s: float) -> None:
        """Add the hash of a key that was last changed at ``changed_s``."""
        number = int(changed_s // GENERATION_S)
        generation = self._generations.get(number)
        if generation is None:
            generation = _Generation(set(), array(_UNSIGNED_64))
            self._generations[number] = generation
        key_hash = _hash(customer, key)
        # A snapshot holds equal hashes once, and the count after a restart
        # from it must be the same as before.
        if key_hash in generation.opened or _contains(
            generation.closed, key_hash
        ):
            return
        generation.opened.add(key_hash)
        self._count += 1
        if len(generation.opened) >= MAX_OPEN_HASHES:
            self._generations[number] = _close_generation(generation)

    def holds(self, customer: str, key: str) -> bool:
        """Return whether the key was used within the window."""
        if not self._count:
            return False
        key_hash = _hash(customer, key)
        return any(
            key_hash in generation.opened
            or _contains(generation.closed, key_hash)
            for generation in self._generations.values()
        )

    def expire(self, now_s: float) -> None:
        """Drop the generations whose newest key is past the window."""
        oldest = int((now_s - WINDOW_S) // GENERATION_S)
        for number in [n for n in self._generations if n < oldest]:
            generation = self._generations.pop(number)
            self._count -= len(generation.opened) + len(generation.closed)

    def state(self) -> list[GenerationState]:
        """Return the generations for a snapshot."""
        return [
            GenerationState(
                number,
                array(_UNSIGNED_64, sorted(generation.opened)).tobytes(),
                generation.closed.tobytes(),
            )
            for number, generation in self._generations.items()
        ]

    def load(self, state: list[GenerationState]) -> None:
        """Replace all generations by those of a snapshot."""
        self._generations = {}
        self._count = 0
        for number, opened, closed in state:
            generation = _Generation(
                set(_unpack_hashes(opened)), _unpack_hashes(closed)
            )
            self._generations[number] = generation
            self._count += len(generation.opened) + len(generation.closed)


def _close_generation(generation: _Generation) -> _Generation:
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
