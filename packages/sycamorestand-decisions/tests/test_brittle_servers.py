"""Servers that fall over when they turn too many requests away."""

from __future__ import annotations

from collections import deque
import heapq
from random import Random
from typing import Final
from typing import NamedTuple

import pytest

from sycamorestand_decisions.brittle_servers import BRITTLE_FOR_S
from sycamorestand_decisions.brittle_servers import BrittleServers
from sycamorestand_decisions.brittle_servers import MAX_PAUSE_S
from sycamorestand_decisions.candidates import Candidate
from sycamorestand_decisions.candidates import Outcome
from sycamorestand_decisions.selection import ServerSelector

DOWN_S: Final = 4.0
WORK_S: Final = 0.06
ROUND_TRIP_S: Final = 0.004
LENGTH_S: Final = 20.0
# Servers say that they are brittle for this time before their queues shrink.
TOLD_S: Final = 3.0


class _Result(NamedTuple):
    """The end of a request of one entry at a server."""

    server: str
    entry: int
    outcome: Outcome
    duration_s: float


class Server:
    """A server that falls over if it turns too many requests away.

    ``places`` are its slots and its queue, ``refused_s`` the times of recent
    refusals.
    """

    def __init__(self, name: str, slots: int, max_refused_per_s: int) -> None:
        self.name = name
        self.slots = slots
        self.queue = 4 * slots
        self.max_refused_per_s = max_refused_per_s
        self.running = 0
        self.falls = 0
        self.served = 0
        self._back_s = 0.0
        self._refused_s: deque[float] = deque()

    def is_down(self, now_s: float) -> bool:
        return now_s < self._back_s

    def accepts(self, now_s: float) -> bool:
        """Return whether there is room for one more, and fall if need be."""
        if self.running < self.slots + self.queue:
            self.running += 1
            return True
        self._refused_s.append(now_s)
        while self._refused_s[0] <= now_s - 1.0:
            self._refused_s.popleft()
        is_told = now_s > TOLD_S
        if is_told and len(self._refused_s) > self.max_refused_per_s:
            self._refused_s.clear()
            self.falls += 1
            self.running = 0
            self._back_s = now_s + DOWN_S
        return False


class Load:
    """Entries that send requests to a few servers for some seconds."""

    def __init__(self, entries: int, slots: int, per_s: float) -> None:
        self.random = Random(1)
        self.servers = [Server(f"s-{n}", slots, 5) for n in range(3)]
        self.selectors = [
            ServerSelector(Random(n)) for n in range(1, entries + 1)
        ]
        self.candidates = [Candidate(s.name, slots) for s in self.servers]
        self.per_s = per_s
        self.tells = True
        self._events: list[tuple[float, int, _Result]] = []
        self._count = 0

    @property
    def falls(self) -> int:
        return sum(server.falls for server in self.servers)

    @property
    def served(self) -> int:
        return sum(server.served for server in self.servers)

    def run(self, burst_at_s: float = -1.0) -> None:
        """Play the load; at one moment 200 more requests come at once."""
        now_s = 0.0
        has_burst = burst_at_s < 0
        while now_s < LENGTH_S:
            if now_s > TOLD_S:
                for server in self.servers:
                    server.queue = 0
            now_s += self.random.expovariate(self.per_s)
            self._finish_until(now_s)
            self._send(now_s)
            if not has_burst and now_s >= burst_at_s:
                has_burst = True
                for _ in range(200):
                    self._send(now_s)

    def _send(self, now_s: float) -> None:
        entry = self.random.randrange(len(self.selectors))
        selector = self.selectors[entry]
        up = [
            c
            for c, s in zip(self.candidates, self.servers, strict=True)
            if not s.is_down(now_s)
        ]
        if selector.capacity(up, now_s) <= self._in_flight(entry):
            return
        name = selector.choose(up, now_s)
        if name is None:
            return
        selector.record_start(name, now_s)
        server = next(s for s in self.servers if s.name == name)
        is_taken = server.accepts(now_s)
        wait_s = max(1.0, server.running / server.slots)
        after_s = ROUND_TRIP_S + (WORK_S * wait_s if is_taken else 0.0)
        outcome: Outcome = "ok" if is_taken else "overloaded"
        self._count += 1
        result = _Result(name, entry, outcome, after_s)
        event = (now_s + after_s, self._count, result)
        heapq.heappush(self._events, event)

    def _in_flight(self, entry: int) -> int:
        selector = self.selectors[entry]
        return sum(selector.in_flight(s.name) for s in self.servers)

    def _finish_until(self, now_s: float) -> None:
        while self._events and self._events[0][0] <= now_s:
            at_s, _, result = heapq.heappop(self._events)
            name = result.server
            server = next(s for s in self.servers if s.name == name)
            selector = self.selectors[result.entry]
            if self.tells:
                selector.record_brittle(
                    server.max_refused_per_s, len(self.selectors), at_s
                )
            if result.outcome == "ok":
                server.running = max(0, server.running - 1)
                server.served += not server.is_down(at_s)
            selector.record_finish(
                name, at_s, result.duration_s, result.outcome
            )


class TestOverload:
    @pytest.mark.parametrize(
        ("entries", "slots"), [(10, 6), (10, 64), (3, 6), (40, 6)]
    )
    def test_servers_do_not_fall(self, entries: int, slots: int) -> None:
        """Each entry looked for the limit, and together they passed it."""
        capacity_per_s = 3 * slots / WORK_S
        load = Load(entries, slots, 3.0 * capacity_per_s)
        load.run()
        assert load.falls <= 2
        # Unequal entries leave some slots unused; the servers must not idle.
        assert load.served >= 0.3 * capacity_per_s * LENGTH_S

    def test_without_the_limit_they_fall(self) -> None:
        """Shows that the load above is one that brings servers down."""
        load = Load(10, 6, 900.0)
        load.tells = False
        load.run()
        assert load.falls > 10

    def test_burst_does_not_bring_them_down(self) -> None:
        """All entries sent their part of it at the same moment."""
        load = Load(10, 6, 150.0)
        load.run(burst_at_s=8.0)
        assert load.falls <= 2


class TestLimit:
    def test_entries_share_the_slots(self) -> None:
        brittle = BrittleServers(Random(1))
        brittle.record_answer(5, 10, 0.0)
        assert brittle.limit(64, 1.0) == 6
        assert brittle.limit(6, 1.0) == 1

    def test_ends_after_the_last_answer_that_says_so(self) -> None:
        """The limit stayed for as long as the process ran."""
        brittle = BrittleServers(Random(1))
        brittle.record_answer(5, 10, 0.0)
        assert brittle.is_brittle(BRITTLE_FOR_S - 0.1)
        assert not brittle.is_brittle(BRITTLE_FOR_S + 0.1)

    def test_unknown_number_of_entries_is_no_division_by_zero(self) -> None:
        brittle = BrittleServers(Random(1))
        brittle.record_answer(0, 0, 0.0)
        assert brittle.limit(6, 0.0) == 6

    def test_pause_is_bounded(self) -> None:
        """A server that bears no refusal got no work for minutes."""
        brittle = BrittleServers(Random(1))
        brittle.record_answer(1, 300, 0.0)
        brittle.record_refusal("a", 0.0)
        brittle.is_paused("a", 6, MAX_PAUSE_S - 0.5)
        brittle.record_answer(1, 300, MAX_PAUSE_S)
        assert not brittle.is_paused("a", 6, MAX_PAUSE_S + 0.1)
