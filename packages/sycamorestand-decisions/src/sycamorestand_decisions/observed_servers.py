"""The subset of servers that an entry draws from, and their expected times.

The load pattern is many entries that share a pool of servers. An entry that
draws from all of them sends each a request every few seconds, and opens a
connection for nearly every one. It therefore draws from a subset. All entries
order the servers in the same circle, by a hash of their names, and each begins
at its own place, which is its rank among the entries. A server that leaves or
is new changes one server of a subset, or two if the subset continues at the
beginning of the circle. The numbers of entries that draw from any two servers
differ by a few at most. With rendezvous hashing, 2 to 12 of 22 entries would
draw from one of 45 servers. Full servers are passed over, so a burst spreads
to the next servers of the circle.
"""

from __future__ import annotations

import math
from typing import Final
from typing import TYPE_CHECKING
from zlib import crc32

from sycamorestand_decisions.server_room import estimate
from sycamorestand_decisions.server_room import expected_s
from sycamorestand_decisions.server_room import is_disturbed
from sycamorestand_decisions.server_room import OwnChanges

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Sequence

    from sycamorestand_decisions.candidates import Candidate
    from sycamorestand_decisions.server_room import Room
    from sycamorestand_decisions.server_room import Work
    from sycamorestand_model.server_loads import ObservedLoad

    Observed = Callable[[str, float], ObservedLoad]

# Two draws miss all of the fast servers, a quarter of a pool, more than half
# of the time.
DRAWS: Final = 4
# Entries see the same late reports. Expected times that differ by less than
# this share are taken as equal, so that not all entries follow them.
EQUAL_SHARE: Final = 0.1
SUBSET_SIZE: Final = 16
# Bounds the time of one choice while most servers of a large pool are full.
MAX_EXAMINED: Final = 64
# Interval between two looks for servers that begin to report their slowness.
REPORTING_CHECK_S: Final = 0.5
# Sets of candidates differ by version and by which servers are leaving. The
# bound limits the memory.
MAX_CIRCLES: Final = 64


class ObservedServers:
    """Servers of one pool whose load an entry observes.

    ``observed`` returns what is known of a server's load, by its name and the
    time. Without it no server reports its slowness.
    """

    def __init__(self, observed: Observed | None) -> None:
        self._observed = observed
        self._place = 0.0
        self._slots = 0
        self._kv_tokens = 0
        self._reporting: set[str] = set()
        self._check_at_s: dict[str, float] = {}
        self._circles: dict[tuple[str, ...], list[str]] = {}
        self._changes: dict[str, OwnChanges] = {}

    def set_engine(self, slots: int, kv_tokens: int) -> None:
        """Set the declared limits of one engine, 0 where there is none."""
        self._slots = slots
        self._kv_tokens = kv_tokens

    def set_place(self, place: float) -> None:
        """Set where the entry's subset begins, from 0 to below 1.

        It is the entry's rank among all, as a share of their number.
        """
        self._place = place

    def record_change(self, name: str, delta: int, now_s: float) -> None:
        """Record 1 for a request that started or -1 for one that ended."""
        if self._observed is None:
            return
        self._changes.setdefault(name, OwnChanges()).record(delta, now_s)

    def forget(self, name: str) -> None:
        """Drop the state of a server that has left for good."""
        self._reporting.discard(name)
        self._changes.pop(name, None)

    def any_reports_slowness(
        self, candidates: Sequence[Candidate], now_s: float
    ) -> bool:
        """Return whether any of the candidates reports its slowness.

        The servers of each version are checked every `REPORTING_CHECK_S`.
        """
        if self._observed is None or not candidates:
            return False
        # Versions have servers of their own, so the first one names its set.
        first = candidates[0].name
        if now_s >= self._check_at_s.get(first, -math.inf):
            if len(self._check_at_s) >= MAX_CIRCLES:
                self._check_at_s.clear()
            self._check_at_s[first] = now_s + REPORTING_CHECK_S
            for candidate in candidates:
                name = candidate.name
                if self._observed(name, now_s).usual_slowness > 0:
                    self._reporting.add(name)
                else:
                    self._reporting.discard(name)
        reporting = self._reporting
        return bool(reporting) and any(c.name in reporting for c in candidates)

    def members(
        self,
        candidates: Sequence[Candidate],
        now_s: float,
        is_usable: Callable[[Candidate], bool],
    ) -> list[Candidate]:
        """Return the servers to draw from, empty if none is usable.

        Full servers are among them only if fewer than `DRAWS` others are.
        """
        by_name = {c.name: c for c in candidates}
        members: list[Candidate] = []
        full: list[Candidate] = []
        for name in self._in_order(tuple(by_name)):
            candidate = by_name[name]
            if not is_usable(candidate):
                continue
            if self.room(candidate, now_s).free_slots < 1.0:
                full.append(candidate)
            else:
                members.append(candidate)
                if len(members) == SUBSET_SIZE:
                    break
        if len(members) < DRAWS:
            members += full[: SUBSET_SIZE - len(members)]
        return members

    def disturbed(
        self, candidates: Sequence[Candidate], now_s: float
    ) -> frozenset[str]:
        """Return the servers that are slow at this moment, unless all are.

        Calls of plain services are shorter than the loads that entries share
        are old. With the choice by expected time, all entries would send
        their calls to the server that was idle half a second ago.
        """
        names = frozenset(
            candidate.name
            for candidate in candidates
            if is_disturbed(self.load(candidate.name, now_s))
        )
        return names if len(names) < len(candidates) else frozenset()

    def load(self, name: str, now_s: float) -> ObservedLoad:
        """Return what is known of the server's load."""
        assert self._observed is not None
        return self._observed(name, now_s)

    def room(self, candidate: Candidate, now_s: float) -> Room:
        """Return the estimated load and speed of the server."""
        observed = self.load(candidate.name, now_s)
        slots = candidate.capacity
        if self._slots > 0:
            slots = min(slots, self._slots)
        own_since = 0
        changes = self._changes.get(candidate.name)
        if changes is not None and observed.header is not None:
            own_since = changes.since(now_s - observed.header_age_s)
        return estimate(observed, slots, self._kv_tokens, own_since)

    def expected_s(
        self, candidate: Candidate, now_s: float, work: Work, usual_s: float
    ) -> float:
        """Return the time after which a request would end at the server."""
        return expected_s(self.room(candidate, now_s), work, usual_s)

    def _in_order(self, names: tuple[str, ...]) -> Iterator[str]:
        """Yield the names from the entry's place on."""
        circle = self._circles.get(names)
        if circle is None:
            if len(self._circles) >= MAX_CIRCLES:
                self._circles.clear()
            circle = sorted(names, key=lambda n: (crc32(n.encode()), n))
            self._circles[names] = circle
        count = len(circle)
        begin = int(self._place * count)
        for offset in range(min(count, MAX_EXAMINED)):
            yield circle[(begin + offset) % count]


__all__ = [
    "DRAWS",
    "EQUAL_SHARE",
    "ObservedServers",
    "SUBSET_SIZE",
]
