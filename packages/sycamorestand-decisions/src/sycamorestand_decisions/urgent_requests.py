"""Order of the requests that get no answer without a further arrival.

The loss of a server strikes all requests that run there, at every entry at
the same moment, and under overload many more wait for a first event. The
budget (`arrivals`) has an arrival for a few of them at once, and earns the
others within a second or two. Without an order those that happen to ask at
the right moment win, and escalations, which only improve an answer, take
what callers in the middle of their answers need.

The requests queue, for each service those with the least time left first.
While any of them waits, improvements get none of the service's budget.
"""

from __future__ import annotations

from bisect import bisect_left
from bisect import insort
import itertools
from typing import NamedTuple


class Place(NamedTuple):
    """The place of one request in the queue of a service."""

    service: str
    deadline_at_s: float
    number: int


class UrgentRequests:
    """Requests of one entry that wait for an arrival.

    >>> waiting = UrgentRequests()
    >>> late, soon = waiting.join("words", 9.0), waiting.join("words", 4.0)
    >>> waiting.has_turn(late, 1.0), waiting.has_turn(soon, 1.0)
    (False, True)
    >>> waiting.has_turn(late, 2.0)
    True
    """

    def __init__(self) -> None:
        self._places: dict[str, list[Place]] = {}
        self._numbers = itertools.count()

    def join(self, service: str, deadline_at_s: float) -> Place:
        """Add a request with this deadline and return its place."""
        place = Place(service, deadline_at_s, next(self._numbers))
        insort(self._places.setdefault(service, []), place)
        return place

    def leave(self, place: Place) -> None:
        """Remove a request, whether or not it got an arrival."""
        places = self._places[place.service]
        places.remove(place)
        if not places:
            del self._places[place.service]

    def has_any(self, service: str) -> bool:
        """Return whether a request waits for an arrival at the service."""
        return service in self._places

    def has_turn(self, place: Place, left: float) -> bool:
        """Return whether ``left`` arrivals suffice up to this request."""
        return bisect_left(self._places[place.service], place) + 1 <= left


__all__ = ["Place", "UrgentRequests"]
