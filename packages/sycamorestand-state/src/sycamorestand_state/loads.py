"""Load reports, kept apart from membership: coarse, late and bounded.

Load changes with every request. Sent with the membership it would make a
delta of every announcement; so it goes by itself, only for the servers
that the receiver uses, in steps of about a quarter.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final
from typing import NamedTuple

from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.backend_servers import LoadReport

# A subset of servers an entry; 64 reports are about 2 KB.
MAX_LOADS: Final = 64
# Below this every count is told as it is.
EXACT_BELOW: Final = 4
# An older report says nothing about now.
MAX_AGE_S: Final = 30.0


class ServerLoad(NamedTuple):
    """One server's load; the numbers tell the newer of two reports."""

    name: str
    incarnation: int
    sequence: int
    load: LoadReport


class LoadUpdate(NamedTuple):
    """Loads of the servers that one receiver uses."""

    loads: tuple[ServerLoad, ...]


class _Kept(NamedTuple):
    load: ServerLoad
    heard_s: float


class LoadBook:
    """The last load known of each server."""

    def __init__(self) -> None:
        self._reports: dict[str, _Kept] = {}

    def report(self, announcement: Announcement, now_s: float) -> None:
        """Keep the load that came with an announcement."""
        load = ServerLoad(
            announcement.name,
            announcement.incarnation,
            announcement.sequence,
            announcement.load,
        )
        self._store_if_newer(load, now_s)

    def apply(self, update: LoadUpdate, now_s: float) -> None:
        """Keep the loads that another process told."""
        for load in update.loads:
            self._store_if_newer(load, now_s)

    def update(self, names: Iterable[str], now_s: float) -> LoadUpdate:
        """Return the coarse loads of at most `MAX_LOADS` of the names."""
        loads = []
        for name in names:
            stored = self._reports.get(name)
            load = self.load(name, now_s)
            if stored is not None and load is not None:
                loads.append(stored.load._replace(load=_coarse_report(load)))
            if len(loads) == MAX_LOADS:
                break
        return LoadUpdate(tuple(loads))

    def load(self, name: str, now_s: float) -> LoadReport | None:
        """Return a server's load with its age now, None if unknown."""
        stored = self._reports.get(name)
        if stored is None:
            return None
        load = stored.load.load
        age_s = load.age_s + max(0.0, now_s - stored.heard_s)
        return load._replace(age_s=age_s) if age_s <= MAX_AGE_S else None

    def forget(self, names: Iterable[str]) -> None:
        """Drop the loads of servers that are gone."""
        for name in names:
            self._reports.pop(name, None)

    def _store_if_newer(self, load: ServerLoad, now_s: float) -> None:
        known = self._reports.get(load.name)
        if known is None or _newer(load, known.load):
            self._reports[load.name] = _Kept(load, now_s)


def coarse_count(count: int) -> int:
    """Return the count in steps of about a quarter, never above it.

    Example: 9 gives 8, 13 gives 12 and 27 gives 24.
    """
    if count < EXACT_BELOW:
        return max(0, count)
    step = 1 << (count.bit_length() - 2)
    return count // step * step


def _coarse_report(load: LoadReport) -> LoadReport:
    return LoadReport(
        coarse_count(load.running),
        coarse_count(load.queued),
        float(coarse_count(int(load.tokens_per_s))),
        round(load.age_s, 1),
    )


def _newer(new: ServerLoad, old: ServerLoad) -> bool:
    return (new.incarnation, new.sequence) > (old.incarnation, old.sequence)


__all__ = [
    "coarse_count",
    "LoadBook",
    "LoadUpdate",
    "MAX_AGE_S",
    "MAX_LOADS",
    "ServerLoad",
]
