"""Rendezvous hashing: who uses which, with no table to agree on.

Each pair of names has a weight that all processes compute alike. When a
name goes, only those who had chosen it choose another; when one comes, it
displaces at most one of each subset.
"""

from __future__ import annotations

from collections.abc import Iterable
import hashlib
from typing import Final

WEIGHT_BYTES: Final = 8


def weight(chooser: str, name: str) -> int:
    """Return the stable weight of ``name`` for ``chooser``."""
    text = f"{len(chooser)}:{chooser}{name}".encode()
    digest = hashlib.blake2b(text, digest_size=WEIGHT_BYTES).digest()
    return int.from_bytes(digest, "big")


def subset(
    entry_name: str, names: Iterable[str], size: int
) -> tuple[str, ...]:
    """Return the names that an entry uses, the heaviest first.

    Example: ``subset("vm-3", directory.servers(), 24)``.
    """
    ranked = sorted(
        names, key=lambda name: (weight(entry_name, name), name), reverse=True
    )
    return tuple(ranked[:size])


__all__ = ["subset", "weight"]
