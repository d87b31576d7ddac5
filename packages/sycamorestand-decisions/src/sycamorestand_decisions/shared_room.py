"""An entry's part of the free slots that it shares with other entries.

The load pattern is a service near its capacity with many entries. If each
entry counted every free slot as its own, all would take the same slots until
they learn of each other's requests, and requests would queue at the servers.
If each had a fixed share, slots of quiet entries would stay free while
requests wait at busy ones.

An entry may use the slots that its running requests hold and a share of the
free ones. Half of the share follows its share of the requests in flight, half
is the same for all entries, so that an entry with new callers gets room too.
All figures are taken as they were `KNOWN_AFTER_S` ago, also those of the entry
itself, because what others know of it is that old. The capacities of all
entries then add up to the slots, plus at most one for each entry, which an
entry may always use. With its own newest figures, each entry would take its
share of the same free slots again until it learns of the others' requests.
"""

from __future__ import annotations

from collections import deque
from typing import Final
from typing import NamedTuple

# A load report reaches the other entries within a second.
KNOWN_AFTER_S: Final = 1.0


class SharedRoom(NamedTuple):
    """What an entry knows of the slots of a target's servers.

    ``in_flight`` counts the requests of all entries there, and
    ``own_in_flight`` those of this entry among them.
    """

    free_slots: int
    in_flight: int
    own_in_flight: int


class RoomShare:
    """How many requests of one target an entry may run.

    >>> share = RoomShare()
    >>> share.capacity(SharedRoom(20, 60, 30), 10, 100, 0.0)
    36
    >>> share.capacity(SharedRoom(14, 66, 36), 10, 100, 0.5)
    36
    """

    def __init__(self) -> None:
        self._own: deque[tuple[float, int]] = deque()

    def capacity(
        self, room: SharedRoom, entries: int, limit: int, now_s: float
    ) -> int:
        """Return the number of requests that may run, at most ``limit``.

        ``entries`` is the number of entries, 0 if it is not known.
        """
        own = self._own
        own.append((now_s, room.own_in_flight))
        while len(own) > 1 and own[1][0] <= now_s - KNOWN_AFTER_S:
            own.popleft()
        known = own[0][1]
        free = max(0, room.free_slots + room.own_in_flight - known)
        others = max(0, room.in_flight - room.own_in_flight)
        part = _part(SharedRoom(free, others + known, known), entries)
        return min(max(1, known + part), limit)


def _part(room: SharedRoom, entries: int) -> int:
    if room.free_slots < 1:
        return 0
    if room.in_flight:
        share = room.own_in_flight / room.in_flight
        if entries:
            share = (share + 1.0 / entries) / 2
    else:
        share = 1.0 / max(1, entries)
    return max(1, int(room.free_slots * share))


__all__ = ["KNOWN_AFTER_S", "RoomShare", "SharedRoom"]
