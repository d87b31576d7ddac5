"""Which backend servers there are, as far as this process has heard.

There is no list of backend servers: they announce themselves, each with an
incarnation that grows with its starts and a sequence that grows with its
announcements. A restart under the same address is a new incarnation.
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
    """Membership of backend servers, and beside it their loads.

    ``origin`` names this process; ``epoch`` grows with its starts.
    """

    def __init__(self, origin: str, epoch: int) -> None:
        super().__init__(origin, epoch, _without_load, _is_leaving)
        self._loads = LoadBook()

    def announce(self, announcement: Announcement, now_s: float) -> bool:
        """Take an announcement at first hand; False where it is old."""
        accepted = super().announce(announcement, now_s)
        if accepted:
            self._loads.report(announcement, now_s)
        return accepted

    def expire(self, now_s: float) -> tuple[str, ...]:
        """Drop what has run out and return the servers that are gone."""
        gone = super().expire(now_s)
        self._loads.forget(gone)
        return gone

    def servers(self) -> dict[str, Announcement]:
        """Return all known servers by name, leaving ones among them."""
        return self.records()

    def loads(self, names: Iterable[str], now_s: float) -> LoadUpdate:
        """Return the coarse loads of the servers that somebody uses."""
        return self._loads.update(names, now_s)

    def apply_loads(self, update: LoadUpdate, now_s: float) -> None:
        """Take the loads that another process told."""
        self._loads.apply(update, now_s)

    def load(self, name: str, now_s: float) -> LoadReport | None:
        """Return the load last heard of a server, with its age now."""
        return self._loads.load(name, now_s)


def _without_load(announcement: Announcement) -> Announcement:
    return announcement._replace(load=LoadReport())


def _is_leaving(announcement: Announcement) -> bool:
    return announcement.leaving


__all__ = ["BackendDirectory", "DirectoryDelta", "subset"]
