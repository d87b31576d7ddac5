"""Choose the other entry that forwards a request to a backend server.

An entry whose own links to all servers of a service are down has callers
that it would have to refuse, although other entries reach these servers.
It lets one of those forward their requests.

Often many entries lose their links together, for example most of a data
centre. If all of them used the nearest entry that is left, or asked it again
as soon as it refused, that one would fail under the load of all. The choice is
therefore spread: of two entries drawn at random, the one with fewer forwarded
requests of this entry is taken. It stays within the data centre only while
at least half of the entries there reach the service. An entry that refuses, or
does not accept a connection in time, gets nothing for a while, unless there is
no other one: it may have refused one customer's requests only, or this process
was busy. The number of requests under way at other entries is bounded.
"""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence

    from sycamorestand_model.entry_reports import EntryAddress

MAX_FORWARDED: Final = 256
UNREACHABLE_PAUSE_S: Final = 1.0
# An entry's refusal may ask for more, but its load changes within this time.
MAX_PAUSE_S: Final = 1.0
MIN_PAUSE_S: Final = 0.05
SAMPLE_SIZE: Final = 2


class PeerEntries:
    """The other entries, as the forwarder of requests sees them.

    >>> from sycamorestand_model.entry_reports import EntryAddress
    >>> own = EntryAddress("vm-1", "a", "10.0.0.1", 80, unreached=("words",))
    >>> other = EntryAddress("vm-2", "a", "10.0.0.2", 80, forwarding_key=b"k")
    >>> peers = PeerEntries(own.vm, own.data_centre)
    >>> peers.choose([own, other], "words", 0.0).vm
    'vm-2'
    """

    def __init__(
        self, vm: str, data_centre: str, random: Random | None = None
    ) -> None:
        self._vm = vm
        self._data_centre = data_centre
        self._random = random or Random()
        self._in_flight: Counter[str] = Counter()
        self._paused_until_s: dict[str, float] = {}

    @property
    def total(self) -> int:
        """The number of forwarded requests under way."""
        return self._in_flight.total()

    def choose(
        self,
        entries: Sequence[EntryAddress],
        service: str,
        now_s: float,
        exclude: Collection[str] = (),
    ) -> EntryAddress | None:
        """Return the entry for one attempt, None if none is usable."""
        if self.total >= MAX_FORWARDED:
            return None
        usable = [
            entry
            for entry in entries
            if entry.vm != self._vm
            and entry.forwarding_key
            and not entry.stopping
            and service not in entry.unreached
            and entry.vm not in exclude
        ]
        calm = [e for e in usable if not self._is_paused(e.vm, now_s)]
        usable = self._nearest(entries, calm or usable)
        drawn = self._random.sample(usable, min(SAMPLE_SIZE, len(usable)))
        return min(drawn, key=lambda e: self._in_flight[e.vm], default=None)

    def record_start(self, vm: str) -> None:
        """Count a request that was sent to the entry."""
        self._in_flight[vm] += 1

    def record_end(self, vm: str) -> None:
        """Count the end of a request at the entry."""
        self._in_flight[vm] -= 1
        if self._in_flight[vm] <= 0:
            del self._in_flight[vm]

    def record_refusal(
        self, vm: str, retry_after_s: float, now_s: float
    ) -> None:
        """Prefer other entries for the time that this one asks for."""
        pause_s = min(MAX_PAUSE_S, max(MIN_PAUSE_S, retry_after_s))
        self._pause(vm, now_s + pause_s, now_s)

    def record_unreachable(self, vm: str, now_s: float) -> None:
        """Prefer other entries for a while, as it accepts no connection."""
        self._pause(vm, now_s + UNREACHABLE_PAUSE_S, now_s)

    def _is_paused(self, vm: str, now_s: float) -> bool:
        return now_s < self._paused_until_s.get(vm, now_s)

    def _pause(self, vm: str, until_s: float, now_s: float) -> None:
        ended = [n for n, t in self._paused_until_s.items() if t <= now_s]
        for name in ended:
            del self._paused_until_s[name]
        self._paused_until_s[vm] = until_s

    def _nearest(
        self, entries: Sequence[EntryAddress], usable: list[EntryAddress]
    ) -> list[EntryAddress]:
        """Return those of this data centre if they can bear the load."""
        local = [e for e in usable if e.data_centre == self._data_centre]
        there = sum(e.data_centre == self._data_centre for e in entries)
        return local if local and 2 * len(local) >= there else usable


__all__ = ["MAX_FORWARDED", "PeerEntries"]
