"""One run of a workload against a pool of model servers."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import Final
from typing import Literal
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_bench.decisions.baseline_rules import at_random
from sycamorestand_bench.decisions.baseline_rules import least_reported
from sycamorestand_bench.decisions.baseline_rules import round_robin
from sycamorestand_bench.decisions.clock import VirtualClock
from sycamorestand_bench.decisions.queue_model import ModelServer
from sycamorestand_bench.decisions.routing import BaselineEntry
from sycamorestand_bench.decisions.routing import ConcentratingEntry
from sycamorestand_bench.decisions.routing import ProductEntry
from sycamorestand_bench.decisions.routing import TICK_S
from sycamorestand_bench.decisions.workload import make_requests
from sycamorestand_bench.decisions.workload import Mix
from sycamorestand_bench.decisions.workload import SERVER_CAPACITY
from sycamorestand_bench.decisions.workload import Size
from sycamorestand_decisions.selection import Candidate

if TYPE_CHECKING:
    from sycamorestand_bench.decisions.routing import Result

Policy = Literal[
    "product", "round-robin", "random", "least-reported", "concentrate"
]

DRAIN_S: Final = 100.0
REPORT_EVERY_S: Final = 1.0
CACHE_EVENT_LATE_S: Final = 1.0
CACHE_EVENT_LOST: Final = 0.2
# Servers that are gone stay candidates until their lease has run out.
LEASE_S: Final = 2.0


class Faults(NamedTuple):
    """What is wrong with the servers in a scenario."""

    slow_speed: float = 1.0
    lost_from_s: float = 0.0
    lost_until_s: float = 0.0
    report_late_s: float = 0.3
    report_lost: float = 0.0
    failing: float = 0.0
    failing_from_s: float = 0.0
    failing_until_s: float = 0.0


class Run(NamedTuple):
    """What came of one run; ``waiting`` is sampled every `TICK_S`."""

    results: list[Result]
    waiting: list[tuple[float, int]]
    cache_hits: int
    served_by: dict[str, int]
    attempts: int


class ReportedPool:
    """The servers and the last report that arrived of each."""

    def __init__(
        self, clock: VirtualClock, size: Size, faults: Faults, random: Random
    ) -> None:
        self._clock = clock
        self._faults = faults
        self._random = random
        self._reports: dict[str, tuple[int, int, float]] = {}
        self._cached: tuple[float, list[Candidate]] = (-1.0, [])
        self.servers: dict[str, ModelServer] = {}
        for index in range(size.servers):
            speed = faults.slow_speed if index == 0 else 1.0
            name = f"s{index}"
            self.servers[name] = ModelServer(
                clock, name, SERVER_CAPACITY, speed
            )

    def candidates(self, now_s: float) -> list[Candidate]:
        """Return the candidates; ages are renewed every `TICK_S`."""
        made_s, made = self._cached
        if now_s - made_s < TICK_S and made:
            return made
        made = [
            self._candidate(server, now_s)
            for server in self.servers.values()
            if not self._is_known_lost(server, now_s)
        ]
        self._cached = (now_s, made)
        return made

    def report(self) -> None:
        """Let every server send a report; it arrives late or never."""
        for server in self.servers.values():
            if not server.up or self._random.random() < (
                self._faults.report_lost
            ):
                continue
            content = (server.running, server.queued, self._clock.now_s)
            arrival_s = self._clock.now_s + self._faults.report_late_s
            self._clock.at(
                arrival_s, partial(self._arrive, server.name, content)
            )

    def _arrive(self, name: str, content: tuple[int, int, float]) -> None:
        self._reports[name] = content

    def _candidate(self, server: ModelServer, now_s: float) -> Candidate:
        report = self._reports.get(server.name)
        if report is None:
            return Candidate(server.name, server.capacity)
        running, queued, sent_s = report
        age_s = now_s - sent_s
        return Candidate(server.name, server.capacity, running, queued, age_s)

    def _is_known_lost(self, server: ModelServer, now_s: float) -> bool:
        return not server.up and now_s > self._faults.lost_from_s + LEASE_S


def simulate(
    size: Size, mix: Mix, faults: Faults, policy: Policy, seed: int
) -> Run:
    """Run one workload under one policy; same seed, same workload."""
    clock = VirtualClock()
    requests = make_requests(size, mix, Random(seed))
    random = Random(seed + 1_000_003)
    pool = ReportedPool(clock, size, faults, random)
    results: list[Result] = []
    entries = [
        _entry(policy, clock, pool, results, random, size)
        for _ in range(size.entries)
    ]
    waiting: list[tuple[float, int]] = []
    _plan_faults(clock, pool, faults, random)
    _plan_cache_events(clock, pool, entries, random)

    def tick() -> None:
        for entry in entries:
            entry.tick()
        queued = sum(s.queued for s in pool.servers.values())
        held = sum(entry.waiting for entry in entries)
        waiting.append((clock.now_s, queued + held))
        clock.at(clock.now_s + TICK_S, tick)

    def report() -> None:
        pool.report()
        clock.at(clock.now_s + REPORT_EVERY_S, report)

    for request in requests:
        entry = entries[random.randrange(len(entries))]
        clock.at(request.arrival_s, partial(entry.arrive, request))
    clock.at(0.0, tick)
    clock.at(0.0, report)
    clock.run(mix.duration_s + DRAIN_S)
    return Run(
        results=results,
        waiting=waiting,
        cache_hits=sum(s.cache_hits for s in pool.servers.values()),
        served_by={s.name: s.served for s in pool.servers.values()},
        attempts=sum(s.submitted for s in pool.servers.values()),
    )


def _entry(
    policy: Policy,
    clock: VirtualClock,
    pool: ReportedPool,
    results: list[Result],
    random: Random,
    size: Size,
) -> BaselineEntry:
    if policy == "product":
        return ProductEntry(clock, pool, results, random, size.entries)
    if policy == "concentrate":
        return ConcentratingEntry(clock, pool, results, random, size.entries)
    rules = {
        "round-robin": round_robin(),
        "random": at_random(random),
        "least-reported": least_reported(random),
    }
    return BaselineEntry(clock, pool, results, rules[policy])


def _plan_faults(
    clock: VirtualClock, pool: ReportedPool, faults: Faults, random: Random
) -> None:
    if faults.failing:

        def fails() -> bool:
            inside = (
                faults.failing_from_s <= clock.now_s < faults.failing_until_s
            )
            return inside and random.random() < faults.failing

        for server in pool.servers.values():
            server.fails = fails
    if faults.lost_until_s > faults.lost_from_s:
        server = next(iter(pool.servers.values()))
        clock.at(faults.lost_from_s, server.lose)
        clock.at(faults.lost_until_s, server.come_back)


def _plan_cache_events(
    clock: VirtualClock,
    pool: ReportedPool,
    entries: list[BaselineEntry],
    random: Random,
) -> None:
    def publish(name: str, prefix: str, stored: bool) -> None:
        for entry in entries:
            if not isinstance(entry, ProductEntry):
                continue
            if random.random() < CACHE_EVENT_LOST:
                continue
            hear = partial(_hear, entry, name, prefix, stored)
            clock.at(clock.now_s + CACHE_EVENT_LATE_S, hear)

    for server in pool.servers.values():
        server.on_cache_event = publish


def _hear(entry: ProductEntry, name: str, prefix: str, stored: bool) -> None:
    entry.selector.cache_event(name, [prefix], stored, entry.clock.now_s)


__all__ = ["Faults", "Policy", "Run", "simulate"]
