"""Rendezvous hashing: choose subsets of names without a shared table.

Every process computes the same weight for a pair of chooser and name. When
a name is removed, only the choosers that used it choose another one; a new
name displaces at most one name of each subset.
"""

from __future__ import annotations

from collections.abc import Iterable
import hashlib
from typing import Final

WEIGHT_BYTES: Final = 8


def weight(chooser: str, name: str) -> int:
    """Return the weight of ``name`` for ``chooser``, equal everywhere."""
    text = f"{len(chooser)}:{chooser}{name}".encode()
    digest = hashlib.blake2b(text, digest_size=WEIGHT_BYTES).digest()
    return int.from_bytes(digest, "big")


def subset(
    entry_name: str, names: Iterable[str], size: int
) -> tuple[str, ...]:
    """Return the names that an entry uses, the highest weight first.

    Example: ``subset("vm-3", directory.servers(), 24)``.
    """
    ranked = sorted(
        names, key=lambda name: (weight(entry_name, name), name), reverse=True
    )
    return tuple(ranked[:size])


__all__ = ["subset", "weight"]
