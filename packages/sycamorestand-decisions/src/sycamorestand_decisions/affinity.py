"""Where a session or prompt prefix finds its cached state again.

The load pattern is sessions and prompts that share long prefixes. Without
affinity every turn pays for its whole prompt again. Keys are placed by
consistent hashing, so that a server lost or added moves only its own part
of the keys and all entries agree without messages. Cache events of the
engines come late and with gaps: they are hints that may name a better
server, never a reason to wait for or to rely on one.

Shown by ``dev/bench decisions --scenario hot-keys`` and
``--scenario concentration``.
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
# Engines evict prefixes within minutes under load, and the event that
# tells so may be lost: an older hint says no more than the ring does.
HINT_TTL_S: Final = 120.0


class HashRing:
    """Consistent hashing over the servers last given."""

    def __init__(self) -> None:
        self._names: tuple[str, ...] = ()
        self._points: list[int] = []
        self._owners: list[str] = []

    def set_names(self, names: tuple[str, ...]) -> None:
        """Place these servers on the ring where they changed."""
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
    """Which servers said that they hold a prefix, newest first."""

    def __init__(self) -> None:
        self._holders: OrderedDict[str, dict[str, float]] = OrderedDict()

    def record_event(
        self, name: str, keys: Sequence[str], stored: bool, now_s: float
    ) -> None:
        """Take in one cache event; it may be late or doubled."""
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
    """Return what to place a prompt by, of its parts, the shared first.

    The last part is the request's own and no other has it: placed by that,
    requests that share a prefix go to a server each, and every one reads
    it again. The part before it is the longest prefix that they share.

    >>> prefix_key(["system", "club", "question"])
    'club'
    """
    return parts[-2] if len(parts) > 1 else "".join(parts)


__all__ = ["CacheHints", "HashRing", "prefix_key"]
