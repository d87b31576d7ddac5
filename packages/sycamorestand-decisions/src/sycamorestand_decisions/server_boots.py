"""Tell from announcements which backend servers have ended by themselves.

A server that nobody asks between its end and its return is refused to nobody.
Its next boot announces itself with a higher incarnation, or with another name
at its address.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorestand_decisions.end_records import Server
    from sycamorestand_model.backend_servers import Announcement

MAX_PAST_BOOTS: Final = 2048


class _Place(NamedTuple):
    """What a boot is found by: its name or its address."""

    kind: str
    value: str


class ServerBoots:
    """The newest boot at each name and address.

    >>> from sycamorestand_model.backend_servers import Announcement
    >>> first = Announcement("s-1", "service", "10.0.0.1:80", "a", 1, 1, ())
    >>> boots = ServerBoots()
    >>> boots.ended([first])
    []
    >>> boots.ended([first._replace(incarnation=2)])
    [('s-1', 1)]
    """

    def __init__(self) -> None:
        self._newest: dict[_Place, Announcement] = {}
        self._past: OrderedDict[Server, None] = OrderedDict()

    def ended(self, servers: Iterable[Announcement]) -> list[Server]:
        """Return the boots that another one has followed since the last call.

        One that had said that it leaves has not ended by itself.
        """
        found: dict[Server, None] = {}
        newest: dict[_Place, Announcement] = {}
        for server in servers:
            for place in (
                _Place("name", server.name),
                _Place("address", server.address),
            ):
                known = newest.get(place) or self._newest.get(place, server)
                if _boot(server) in self._past:
                    newest.setdefault(place, known)
                    continue
                newest[place] = server
                if _boot(known) != _boot(server):
                    self._past[_boot(known)] = None
                    if not known.leaving:
                        found[_boot(known)] = None
        self._newest = {**self._newest, **newest}
        while len(self._newest) > 2 * MAX_PAST_BOOTS:
            del self._newest[next(iter(self._newest))]
        while len(self._past) > MAX_PAST_BOOTS:
            self._past.popitem(last=False)
        return list(found)


def _boot(server: Announcement) -> Server:
    return server.name, server.incarnation


__all__ = ["ServerBoots"]
