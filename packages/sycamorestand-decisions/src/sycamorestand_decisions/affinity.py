"""Affinity of sessions and prompt prefixes to servers with cached state.

Sessions and prompts share long prefixes. Without affinity, every turn pays for
its whole prompt again. Consistent hashing places the keys, so a server that is
lost or added moves only its own part of the keys, and all entries agree
without messages. Cache events of the engines arrive late and with gaps. They
are hints that may name a better server; no request waits for them or relies on
them.
"""

from __future__ import annotations

from bisect import bisect
from collections import OrderedDict
from typing import Final
from typing import TYPE_CHECKING
from zlib import crc32

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence

POINTS_PER_SERVER: Final = 64
MAX_HINTS: Final = 20_000
# Engines evict prefixes within minutes under load, and the event about an
# eviction may be lost. An older hint is no better than the hash ring.
HINT_TTL_S: Final = 120.0


class HashRing:
    """Consistent hash ring of the servers that were last set."""

    def __init__(self) -> None:
        self._names: tuple[str, ...] = ()
        self._points: list[int] = []
        self._owners: list[str] = []

    def set_names(self, names: tuple[str, ...]) -> None:
        """Rebuild the ring if the names differ from the current ones."""
        if names == self._names:
            return
        self._names = names
        placed = sorted(
            (crc32(f"{name}#{point}".encode()), name)
            for name in names
            for point in range(POINTS_PER_SERVER)
        )
        self._points = [point for point, _ in placed]
        self._owners = [name for _, name in placed]

    def owners(self, key: str, count: int) -> list[str]:
        """Return the first ``count`` distinct servers for a key."""
        found: list[str] = []
        size = len(self._owners)
        start = bisect(self._points, crc32(key.encode()))
        for offset in range(size):
            owner = self._owners[(start + offset) % size]
            if owner not in found:
                found.append(owner)
                if len(found) == count:
                    break
        return found


class CacheHints:
    """Servers that reported to hold a prefix, by prefix key."""

    def __init__(self) -> None:
        self._holders: OrderedDict[str, dict[str, float]] = OrderedDict()

    def record_event(
        self, name: str, keys: Sequence[str], stored: bool, now_s: float
    ) -> None:
        """Record a cache event, which may be late or duplicated."""
        for key in keys:
            if stored:
                self._holders.setdefault(key, {})[name] = now_s
                self._holders.move_to_end(key)
            elif key in self._holders:
                self._holders[key].pop(name, None)
        while len(self._holders) > MAX_HINTS:
            self._holders.popitem(last=False)

    def holders(
        self, key: str, now_s: float, known: Collection[str]
    ) -> list[str]:
        """Return the servers that may hold the key, newest hint first."""
        holders = self._holders.get(key)
        if not holders:
            return []
        fresh = [
            (heard_s, name)
            for name, heard_s in holders.items()
            if now_s - heard_s < HINT_TTL_S and name in known
        ]
        return [name for _, name in sorted(fresh, reverse=True)]


def prefix_key(parts: Sequence[str]) -> str:
    """Return the affinity key of a prompt from its parts, shared ones first.

    The last part belongs to this request alone. With a key from it, requests
    that share a prefix would go to different servers, and each server would
    read the prefix again. The part before the last is the longest prefix that
    other requests share.

    >>> prefix_key(["system", "club", "question"])
    'club'
    """
    return parts[-2] if len(parts) > 1 else "".join(parts)


__all__ = ["CacheHints", "HashRing", "prefix_key"]
