"""Limits for servers that fall over when they have to turn requests away.

Servers of a service may say in their answers that they are brittle: one that
has to turn away more than some requests in a second falls over, and its work
with it. Entries usually find a server's capacity by sending more until it
refuses, each on its own, and so many entries cause many refusals in the same
second. The servers that are left then get the load of those that fell, and
fall as well.

While a service is brittle, each entry therefore sends a server no more
requests at once than its equal part of the server's slots, so that all entries
together need no queue there, however short it is. Where there are more entries
than slots, each sends one at a time and rests between two of them, so that
half of the slots are in use on average. It begins with such a rest at a server
that is new or has come back, as all entries would send to it at once. A server
may still refuse now and then. The entry then leaves it alone for so long that
all entries together cause a quarter of the refusals that the server bears, and
for a random time about it, so that they do not return together. What cannot
be sent waits in the entry's admission, or is refused by it.
"""

from __future__ import annotations

import math
from random import Random
from typing import Final

# Servers that are brittle say so in each answer. An entry with few requests
# may get none for some seconds.
BRITTLE_FOR_S: Final = 5.0
REFUSED_SHARE: Final = 0.25
# Requests of many entries come at random. With this share of the slots in use
# on average, seldom all are.
USED_SHARE: Final = 0.5
DURATION_STEP: Final = 0.2
# A server that was no candidate for this long is new, or has come back.
UNSEEN_S: Final = 1.0
MIN_PAUSE_S: Final = 1.0
MAX_PAUSE_S: Final = 15.0
# A pause lasts between one and this many times its length, a rest between half
# and one and a half times.
PAUSE_SPREAD: Final = 2.0
REST_SPREAD: Final = 0.5


class BrittleServers:
    """Which servers of a service are brittle, as one entry sees them.

    >>> brittle = BrittleServers(Random(1))
    >>> brittle.limit(capacity=64, now_s=0.0)
    inf
    >>> brittle.record_answer(max_refused_per_s=8, entries=10, now_s=0.0)
    >>> brittle.limit(capacity=64, now_s=0.0)
    6
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._until_s = -math.inf
        self._max_refused_per_s = 0
        self._entries = 0
        self._paused_until_s: dict[str, float] = {}
        self._seen_s: dict[str, float] = {}
        self._duration_s = 0.0

    def record_answer(
        self, max_refused_per_s: int, entries: int, now_s: float
    ) -> None:
        """Record an answer that says that the server is brittle.

        ``entries`` is the number of all entries, 0 while it is not known.
        """
        self._until_s = now_s + BRITTLE_FOR_S
        self._max_refused_per_s = max(1, max_refused_per_s)
        self._entries = max(1, entries)

    def is_brittle(self, now_s: float) -> bool:
        """Return whether the servers of the service are brittle."""
        return now_s < self._until_s

    def limit(self, capacity: int, now_s: float) -> float:
        """Return how many requests this entry may run on one server.

        It is infinite while the servers are not brittle.
        """
        if not self.is_brittle(now_s):
            return math.inf
        return max(1, capacity // self._entries)

    def record_end(
        self, name: str, capacity: int, duration_s: float, now_s: float
    ) -> None:
        """Record the end of a request, after which the entry may rest."""
        if self.is_brittle(now_s) and self._entries > capacity:
            self._duration_s += DURATION_STEP * (duration_s - self._duration_s)
            self._rest(name, capacity, duration_s, now_s)

    def record_refusal(self, name: str, now_s: float) -> None:
        """Record that the server turned a request away for want of room."""
        if not self.is_brittle(now_s):
            return
        allowed_per_s = self._max_refused_per_s * REFUSED_SHARE
        pause_s = max(MIN_PAUSE_S, self._entries / allowed_per_s)
        pause_s *= self._random.uniform(1.0, PAUSE_SPREAD)
        self._pause(name, pause_s, now_s)

    def _forget_unseen(self, now_s: float) -> None:
        gone = [n for n, t in self._seen_s.items() if now_s - t > UNSEEN_S]
        for name in gone:
            del self._seen_s[name]

    def _rest(
        self, name: str, capacity: int, duration_s: float, now_s: float
    ) -> None:
        """Pause for so long that half of the slots are in use on average."""
        rests = self._entries / (USED_SHARE * capacity) - 1.0
        spread = self._random.uniform(1.0 - REST_SPREAD, 1.0 + REST_SPREAD)
        self._pause(name, duration_s * rests * spread, now_s)

    def _pause(self, name: str, pause_s: float, now_s: float) -> None:
        ended = [n for n, t in self._paused_until_s.items() if t <= now_s]
        for ended_name in ended:
            del self._paused_until_s[ended_name]
        until_s = now_s + min(MAX_PAUSE_S, pause_s)
        self._paused_until_s[name] = max(
            until_s, self._paused_until_s.get(name, until_s)
        )

    def is_paused(self, name: str, capacity: int, now_s: float) -> bool:
        """Return whether the server gets nothing new from this entry.

        It has to be asked of each server several times a second, also to
        notice the servers that are new.
        """
        if not self.is_brittle(now_s):
            return False
        unseen_s = now_s - self._seen_s.get(name, -math.inf)
        self._seen_s[name] = now_s
        if unseen_s > UNSEEN_S and self._entries > capacity:
            self._forget_unseen(now_s)
            self._rest(name, capacity, self._duration_s, now_s)
        return now_s < self._paused_until_s.get(name, -math.inf)


__all__ = ["BrittleServers"]
