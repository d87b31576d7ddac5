"""Find servers that fail most requests, from what all entries see.

A server may say that it is well and fail every request. Each entry finds out
by itself, after some failures in a row. Where a service has few requests and
the installation many entries, each sees one or two of them, and every entry's
callers pay for the same lesson; requests that may not be repeated are lost.

The outcomes at all entries are therefore added up. After a few failures all
entries are asked for failures and successes at that server: those that saw a
failure would tell of few successes. A server that fails most of several
requests gets one now and then from one entry, in place of some from each,
until it answers again. A part of a service's servers only is taken out: if
more of them fail, the cause lies elsewhere.
"""

from __future__ import annotations

from collections import deque
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_model.entry_reports import ServerOutcomes

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

WINDOW_S: Final = 3.0
FAILURES_TO_WATCH: Final = 2
FAILURES: Final = 5
MIN_REQUESTS: Final = 8
FAILING_SHARE: Final = 0.5
MAX_SHARE: Final = 1 / 3
# For all entries to hear what is watched, and to tell of it.
SETTLE_S: Final = 0.5
# What a server that fails gets from all entries together, at most. An entry
# that may send it one may choose another server.
PROBES_PER_S: Final = 2.0
MAX_SERVERS: Final = 1024
MAX_WATCHED: Final = 64


class _Told(NamedTuple):
    at_s: float
    outcomes: ServerOutcomes


class FailingServers:
    """What entries have told of their requests, by server.

    >>> failing = FailingServers()
    >>> services = {"s-1": "stock", "s-2": "stock", "s-3": "stock"}
    >>> for number in range(12):
    ...     failing.record("s-1", ServerOutcomes(1, 0), number / 5)
    ...     watched = failing.watch(services, number / 5)
    >>> watched, failing.find(services, set(), 2.2)
    (('s-1',), ['s-1'])
    """

    def __init__(self) -> None:
        self._told: dict[str, deque[_Told]] = {}
        self._watched_s: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nothing was told lately."""
        return not self._told and not self._watched_s

    def record(
        self, server: str, outcomes: ServerOutcomes, now_s: float
    ) -> None:
        """Add what one entry has seen of a server."""
        if server not in self._told and len(self._told) >= MAX_SERVERS:
            return
        told = self._told.setdefault(server, deque())
        told.append(_Told(now_s, outcomes))

    def watch(
        self, services: Mapping[str, str], now_s: float
    ) -> tuple[str, ...]:
        """Return the servers of which all entries shall tell.

        ``services`` holds the service of each server that is announced.
        """
        self._drop_old(services, now_s)
        watched = [
            server
            for server, told in self._told.items()
            if _sum(told).failed >= FAILURES_TO_WATCH
        ]
        self._watched_s = {
            server: self._watched_s.get(server, now_s)
            for server in watched[:MAX_WATCHED]
        }
        return tuple(sorted(self._watched_s))

    def find(
        self,
        services: Mapping[str, str],
        limited: Collection[str],
        now_s: float,
    ) -> list[str]:
        """Return the servers to take out now, and forget them.

        Those that are ``limited`` are taken out already.
        """
        found: list[str] = []
        for server, since_s in list(self._watched_s.items()):
            told = self._told.get(server, deque())
            recent = _sum(
                [each for each in told if each.at_s >= since_s + SETTLE_S]
            )
            if server in limited or not _fails(recent):
                continue
            service = services.get(server)
            pool = [name for name, of in services.items() if of == service]
            out = sum(name in limited or name in found for name in pool)
            if out + 1 <= MAX_SHARE * len(pool):
                found.append(server)
                self._told.pop(server, None)
        return found

    def _drop_old(self, services: Mapping[str, str], now_s: float) -> None:
        for server, told in list(self._told.items()):
            while told and now_s - told[0].at_s > WINDOW_S:
                told.popleft()
            if not told or server not in services:
                del self._told[server]


def _sum(told: Collection[_Told]) -> ServerOutcomes:
    return ServerOutcomes(
        sum(each.outcomes.failed for each in told),
        sum(each.outcomes.ok for each in told),
    )


def _fails(seen: ServerOutcomes) -> bool:
    total = seen.failed + seen.ok
    if seen.failed < FAILURES or total < MIN_REQUESTS:
        return False
    return seen.failed >= FAILING_SHARE * total


__all__ = ["FailingServers", "PROBES_PER_S", "SETTLE_S", "WINDOW_S"]
