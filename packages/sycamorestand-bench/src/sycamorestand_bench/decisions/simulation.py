"""Simulates one workload on a pool of model servers."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import Final
from typing import Literal
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_bench.decisions.baseline_rules import least_reported_load
from sycamorestand_bench.decisions.baseline_rules import random_choice
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
# A lost server stays a candidate until its lease has expired.
LEASE_S: Final = 2.0


class Faults(NamedTuple):
    """Faults of the servers and their load reports in a scenario.

    ``slow_speed`` and the loss apply to the first server, the other faults
    to all. ``report_lost`` and ``failing`` are shares from 0 to 1.
    """

    slow_speed: float = 1.0
    lost_from_s: float = 0.0
    lost_until_s: float = 0.0
    report_late_s: float = 0.3
    report_lost: float = 0.0
    failing: float = 0.0
    failing_from_s: float = 0.0
    failing_until_s: float = 0.0


class Run(NamedTuple):
    """Result of one run.

    ``waiting`` holds the time and the number of waiting requests, sampled
    every `TICK_S`.
    """

    results: list[Result]
    waiting: list[tuple[float, int]]
    cache_hits: int
    served_by: dict[str, int]
    attempts: int


class ReportedPool:
    """The servers, and the load report of each that arrived last."""

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
        """Return the candidates, built anew at most every `TICK_S`."""
        created_s, candidates = self._cached
        if now_s - created_s < TICK_S and candidates:
            return candidates
        candidates = [
            self._candidate(server, now_s)
            for server in self.servers.values()
            if not self._is_known_lost(server, now_s)
        ]
        self._cached = (now_s, candidates)
        return candidates

    def report(self) -> None:
        """Send a load report from every server that is up.

        A report arrives late, or is lost, as the faults say.
        """
        for server in self.servers.values():
            if not server.up or self._random.random() < (
                self._faults.report_lost
            ):
                continue
            content = (server.running, server.queued, self._clock.now_s)
            arrival_s = self._clock.now_s + self._faults.report_late_s
            self._clock.call_at(
                arrival_s, partial(self._store_report, server.name, content)
            )

    def _store_report(
        self, name: str, content: tuple[int, int, float]
    ) -> None:
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
    """Run one workload under one policy.

    The same seed gives the same workload under every policy.
    """
    clock = VirtualClock()
    requests = make_requests(size, mix, Random(seed))
    random = Random(seed + 1_000_003)
    pool = ReportedPool(clock, size, faults, random)
    results: list[Result] = []
    entries = [
        _make_entry(policy, clock, pool, results, random, size)
        for _ in range(size.entries)
    ]
    waiting: list[tuple[float, int]] = []
    _schedule_faults(clock, pool, faults, random)
    _connect_cache_events(clock, pool, entries, random)

    def tick() -> None:
        for entry in entries:
            entry.tick()
        queued = sum(s.queued for s in pool.servers.values())
        held = sum(entry.waiting for entry in entries)
        waiting.append((clock.now_s, queued + held))
        clock.call_at(clock.now_s + TICK_S, tick)

    def report() -> None:
        pool.report()
        clock.call_at(clock.now_s + REPORT_EVERY_S, report)

    for request in requests:
        entry = entries[random.randrange(len(entries))]
        clock.call_at(request.arrival_s, partial(entry.arrive, request))
    clock.call_at(0.0, tick)
    clock.call_at(0.0, report)
    clock.run(mix.duration_s + DRAIN_S)
    return Run(
        results=results,
        waiting=waiting,
        cache_hits=sum(s.cache_hits for s in pool.servers.values()),
        served_by={s.name: s.served for s in pool.servers.values()},
        attempts=sum(s.submitted for s in pool.servers.values()),
    )


def _make_entry(
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
        "random": random_choice(random),
        "least-reported": least_reported_load(random),
    }
    return BaselineEntry(clock, pool, results, rules[policy])


def _schedule_faults(
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
        clock.call_at(faults.lost_from_s, server.go_down)
        clock.call_at(faults.lost_until_s, server.come_up)


def _connect_cache_events(
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
            deliver = partial(
                _deliver_cache_event, entry, name, prefix, stored
            )
            clock.call_at(clock.now_s + CACHE_EVENT_LATE_S, deliver)

    for server in pool.servers.values():
        server.on_cache_event = publish


def _deliver_cache_event(
    entry: ProductEntry, name: str, prefix: str, stored: bool
) -> None:
    entry.selector.cache_event(name, [prefix], stored, entry.clock.now_s)


__all__ = ["Faults", "Policy", "Run", "simulate"]
