"""The backend servers that this process knows, and their loads.

There is no configured list of backend servers: they announce themselves.
The incarnation of a server increases with each of its starts, also under
the same address, and the sequence with each announcement.
"""

from __future__ import annotations

from collections.abc import Iterable

from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.backend_servers import LoadReport
from sycamorestand_state.loads import LoadBook
from sycamorestand_state.loads import LoadUpdate
from sycamorestand_state.registry import Registry
from sycamorestand_state.rendezvous import subset
from sycamorestand_state.versioned_map import MapDelta

DirectoryDelta = MapDelta[Announcement]


class BackendDirectory(Registry[Announcement]):
    """Registry of the backend servers, and of their loads.

    ``origin`` names this process; ``epoch`` increases with its starts.
    """

    def __init__(self, origin: str, epoch: int) -> None:
        super().__init__(origin, epoch, _without_load, _is_leaving)
        self._loads = LoadBook()

    def announce(self, announcement: Announcement, now_s: float) -> bool:
        """Store an announcement and its load; return False if it is old."""
        accepted = super().announce(announcement, now_s)
        if accepted:
            self._loads.report(announcement, now_s)
        return accepted

    def expire(self, now_s: float) -> tuple[str, ...]:
        """Remove expired records; return the names of removed servers."""
        gone = super().expire(now_s)
        self._loads.forget(gone)
        return gone

    def servers(self) -> dict[str, Announcement]:
        """Return all known servers by name, including leaving ones."""
        return self.records()

    def loads(self, names: Iterable[str], now_s: float) -> LoadUpdate:
        """Return the rounded loads of the servers that a receiver uses."""
        return self._loads.update(names, now_s)

    def apply_loads(self, update: LoadUpdate, now_s: float) -> None:
        """Store the loads that another process sent."""
        self._loads.apply(update, now_s)

    def load(self, name: str, now_s: float) -> LoadReport | None:
        """Return a server's newest load with its current age.

        Return None if the load is unknown or too old.
        """
        return self._loads.load(name, now_s)


def _without_load(announcement: Announcement) -> Announcement:
    return announcement._replace(load=LoadReport())


def _is_leaving(announcement: Announcement) -> bool:
    return announcement.leaving


__all__ = ["BackendDirectory", "DirectoryDelta", "subset"]
