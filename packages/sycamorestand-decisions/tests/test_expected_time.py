"""Choice of servers by expected time, against the way that stood before.

Entries with late shared sums send requests to simulated servers that differ in
speed. The result is how many callers are served within their target.
"""

from __future__ import annotations

from collections import Counter
from collections import deque
import heapq
import itertools
import math
from random import Random
from typing import NamedTuple
from typing import TYPE_CHECKING

import pytest

from sycamorestand_decisions.selection import Candidate
from sycamorestand_decisions.selection import ServerSelector
from sycamorestand_decisions.server_room import Work
from sycamorestand_model.server_loads import LoadHeader
from sycamorestand_model.server_loads import ObservedLoad

if TYPE_CHECKING:
    from collections.abc import Callable

SLOTS = 24
SHARE_EVERY_S = 0.5
REPORT_EVERY_S = 1.0
LONG = Work(0.2, 1.6)
SHORT = Work(0.02, 0.1)


class Setting(NamedTuple):
    """Servers, entries and load of one simulation."""

    usual: tuple[float, ...]
    entries: int = 10
    per_s: float = 110.0
    for_s: float = 10.0
    burst: Callable[[float], float] = lambda _: 1.0
    factor: Callable[[int, float], float] = lambda _, __: 1.0
    liars: frozenset[int] = frozenset()


class Server:
    """A simulated engine that runs requests in slots and queues others."""

    def __init__(self) -> None:
        self.running = 0
        self.queue: deque[tuple[float, int, float, Work]] = deque()
        self.own: Counter[int] = Counter()
        self.arrivals: list[float] = []


class Pool:
    """Entries that choose servers, in simulated time."""

    def __init__(self, setting: Setting, soonest: bool, seed: int) -> None:
        self.setting = setting
        self.random = Random(seed)
        self.servers = [Server() for _ in setting.usual]
        self.headers: list[dict[int, tuple[LoadHeader, float]]] = [
            {} for _ in range(setting.entries)
        ]
        self.shared: dict[int, tuple[LoadHeader, float]] = {}
        self.sums: tuple[float, list[Counter[int]]] = (-math.inf, [])
        self.next_sums = self.sums
        self.reports: list[Candidate] = []
        self.latencies_s: dict[Work, list[float]] = {LONG: [], SHORT: []}
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.ids = itertools.count()
        self.selectors = [
            ServerSelector(self.random, self.observer(n) if soonest else None)
            for n in range(setting.entries)
        ]
        for number, selector in enumerate(self.selectors):
            selector.set_place(number / setting.entries)

    def run(self) -> Pool:
        setting = self.setting
        self.at(0.0, self.report)
        self.at(0.0, self.share)
        self.at(0.01, self.arrive)
        while self.events:
            now_s, _, event = heapq.heappop(self.events)
            if now_s > setting.for_s + 15.0:
                break
            event(now_s)
        return self

    def at(self, at_s: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (at_s, next(self.ids), event))

    def arrive(self, now_s: float) -> None:
        setting = self.setting
        if now_s >= setting.for_s:
            return
        rate = setting.per_s * setting.burst(now_s)
        self.at(now_s + self.random.expovariate(rate), self.arrive)
        work = LONG if self.random.random() < 0.5 else SHORT
        entry = self.random.randrange(setting.entries)
        selector = self.selectors[entry]
        age_s = now_s % REPORT_EVERY_S
        known = [c._replace(age_s=age_s) for c in self.reports]
        name = selector.choose(known, now_s, work=work)
        assert name is not None
        selector.record_start(name, now_s)
        server = self.servers[int(name)]
        server.own[entry] += 1
        server.arrivals.append(now_s)
        server.queue.append((now_s, entry, now_s, work))
        self.start_next(int(name), now_s)

    def start_next(self, number: int, now_s: float) -> None:
        server = self.servers[number]
        while server.queue and server.running < SLOTS:
            sent_s, entry, _, work = server.queue.popleft()
            server.running += 1
            slow = self.slowness(number, now_s)
            batch = 1.0 + 0.5 * server.running / SLOTS
            first_s = work.prefill_s * slow
            end_s = now_s + first_s + work.answer_s * slow * batch
            run = (number, entry, sent_s, work)
            self.at(now_s + first_s, lambda t, run=run: self.begin(t, *run))
            self.at(end_s, lambda t, run=run: self.end(t, *run))

    def begin(
        self, now_s: float, number: int, entry: int, sent_s: float, _: Work
    ) -> None:
        header = (self.header(number, now_s), now_s)
        self.headers[entry][number] = self.shared[number] = header
        self.selectors[entry].record_first_byte(
            str(number), now_s, now_s - sent_s
        )

    def end(
        self, now_s: float, number: int, entry: int, sent_s: float, work: Work
    ) -> None:
        self.servers[number].running -= 1
        self.servers[number].own[entry] -= 1
        self.selectors[entry].record_finish(
            str(number), now_s, now_s - sent_s, "ok"
        )
        self.latencies_s[work].append(now_s - sent_s)
        self.start_next(number, now_s)

    def slowness(self, number: int, now_s: float) -> float:
        setting = self.setting
        return setting.usual[number] * setting.factor(number, now_s)

    def header(self, number: int, now_s: float) -> LoadHeader:
        if number in self.setting.liars:
            return LoadHeader(0, 0, SLOTS, 0.5)
        server = self.servers[number]
        slow = self.slowness(number, now_s)
        return LoadHeader(server.running, len(server.queue), SLOTS, slow)

    def report(self, now_s: float) -> None:
        self.reports = [
            Candidate(str(n), SLOTS, s.running, len(s.queue))
            for n, s in enumerate(self.servers)
        ]
        self.at(now_s + REPORT_EVERY_S, self.report)

    def share(self, now_s: float) -> None:
        """Send the sums, which arrive with the next ones."""
        self.sums = self.next_sums
        self.next_sums = (now_s, [Counter(s.own) for s in self.servers])
        for number, header in list(self.shared.items()):
            for own in self.headers:
                own[number] = max(
                    own.get(number, header), header, key=lambda h: h[1]
                )
        self.at(now_s + SHARE_EVERY_S, self.share)

    def observer(self, entry: int) -> Callable[[str, float], ObservedLoad]:
        def observed(name: str, now_s: float) -> ObservedLoad:
            number = int(name)
            header, at_s = self.headers[entry].get(number, (None, -math.inf))
            usual = 0.0
            if header is not None:
                usual = self.setting.usual[number]
                usual = 0.5 if number in self.setting.liars else usual
            own = self.servers[number].own[entry]
            made_s, sums = self.sums
            others = 0
            if sums:
                others = sums[number].total() - sums[number][entry]
            return ObservedLoad(
                header, now_s - at_s, usual, own, 0, others, 0, now_s - made_s
            )

        return observed

    def served(self, long_s: float, short_s: float) -> int:
        """Return the number of callers served within their target."""
        long = sum(t <= long_s for t in self.latencies_s[LONG])
        return long + sum(t <= short_s for t in self.latencies_s[SHORT])


UNEVEN = (0.55,) * 3 + (1.2,) * 9
UNEVEN = (0.55,) * 3 + (1.2,) * 9


def triple_burst(now_s: float) -> float:
    return 3.0 if 3.0 <= now_s < 5.0 else 1.0


def slow_in_turn(number: int, now_s: float) -> float:
    """Each quarter of the servers is slow for half a second in turn."""
    return 2.5 if number % 4 == int(now_s * 2) % 4 else 1.0


class TestServedInTime:
    """A choice by counts alone sends long answers to slow servers.

    ``gain`` is by how many in a hundred more callers are served in time than
    by the choice of the lower expected wait of two.
    """

    @pytest.mark.parametrize(
        ("setting", "gain"),
        [
            (Setting(UNEVEN, per_s=160.0), 20),
            (Setting(UNEVEN, entries=330, per_s=160.0), 15),
            (Setting(UNEVEN, burst=triple_burst), 15),
            (Setting(UNEVEN, per_s=130.0, factor=slow_in_turn), 20),
            (Setting(UNEVEN, per_s=130.0, liars=frozenset({11})), 20),
        ],
        ids=["uneven", "330 entries", "burst", "disturbed", "liar"],
    )
    def test_more_callers_than_before(
        self, setting: Setting, gain: float
    ) -> None:
        shares = []
        for soonest in (False, True):
            pool = Pool(setting, soonest, seed=1).run()
            ended = sum(len(times) for times in pool.latencies_s.values())
            shares.append(pool.served(2.0, 0.15) / ended)
        assert shares[1] >= shares[0] * (1 + gain / 100)

    @pytest.mark.parametrize("entries", [10, 330])
    def test_no_server_gets_twice_its_fair_share(self, entries: int) -> None:
        """Entries all followed the same late sums to the idlest server."""
        setting = Setting((1.0,) * 24, entries, per_s=300.0)
        pool = Pool(setting, soonest=True, seed=1).run()
        window_s = 2.0
        fair = setting.per_s * window_s / len(pool.servers)
        for server in pool.servers:
            windows = Counter(int(at // window_s) for at in server.arrivals)
            assert max(windows.values()) <= 2 * fair
