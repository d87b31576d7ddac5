"""Load reports of backend servers, kept separate from their membership.

Load changes with every request. If it were part of the membership, every
announcement would cause a delta. Load updates are therefore sent on their
own, only for the servers that the receiver uses, and with counts rounded
down in steps of about a quarter.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final
from typing import NamedTuple

from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.backend_servers import LoadReport

# An entry uses a subset of the servers; 64 reports take about 2 KB.
MAX_LOADS: Final = 64
# Counts below this are not rounded.
EXACT_BELOW: Final = 4
# An older report does not reflect the current load and is ignored.
MAX_AGE_S: Final = 30.0


class ServerLoad(NamedTuple):
    """The load of one server.

    ``incarnation`` and ``sequence`` order the reports of a server.
    """

    name: str
    incarnation: int
    sequence: int
    load: LoadReport


class LoadUpdate(NamedTuple):
    """The loads of the servers that one receiver uses."""

    loads: tuple[ServerLoad, ...]


class _Kept(NamedTuple):
    load: ServerLoad
    heard_s: float


class LoadBook:
    """The newest known load of each server."""

    def __init__(self) -> None:
        self._reports: dict[str, _Kept] = {}

    def report(self, announcement: Announcement, now_s: float) -> None:
        """Store the load of an announcement, unless a newer one is known."""
        load = ServerLoad(
            announcement.name,
            announcement.incarnation,
            announcement.sequence,
            announcement.load,
        )
        self._store_if_newer(load, now_s)

    def apply(self, update: LoadUpdate, now_s: float) -> None:
        """Store the loads that another process sent, unless outdated."""
        for load in update.loads:
            self._store_if_newer(load, now_s)

    def update(self, names: Iterable[str], now_s: float) -> LoadUpdate:
        """Return the rounded loads of the named servers, up to `MAX_LOADS`."""
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
        """Return a server's load with its current age.

        Return None if the load is unknown or older than `MAX_AGE_S`.
        """
        stored = self._reports.get(name)
        if stored is None:
            return None
        load = stored.load.load
        age_s = load.age_s + max(0.0, now_s - stored.heard_s)
        return load._replace(age_s=age_s) if age_s <= MAX_AGE_S else None

    def forget(self, names: Iterable[str]) -> None:
        """Remove the loads of servers that are gone."""
        for name in names:
            self._reports.pop(name, None)

    def _store_if_newer(self, load: ServerLoad, now_s: float) -> None:
        known = self._reports.get(load.name)
        if known is None or _is_newer(load, known.load):
            self._reports[load.name] = _Kept(load, now_s)


def coarse_count(count: int) -> int:
    """Return the count rounded down in steps of about a quarter.

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


def _is_newer(new: ServerLoad, old: ServerLoad) -> bool:
    return (new.incarnation, new.sequence) > (old.incarnation, old.sequence)


__all__ = [
    "coarse_count",
    "LoadBook",
    "LoadUpdate",
    "MAX_AGE_S",
    "MAX_LOADS",
    "ServerLoad",
]
