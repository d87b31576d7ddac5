"""Put loads on the ledger of a running system and measure their cost."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import time
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio
from hdrh.histogram import HdrHistogram
import msgspec

from sycamorestand_bench.control_bench.child import Children
from sycamorestand_bench.control_bench.restart import folder_bytes
from sycamorestand_bench.control_bench.usage import Rate
from sycamorestand_bench.control_bench.usage import rate_between
from sycamorestand_bench.control_bench.usage import read_usage
from sycamorestand_bench.control_bench.usage import Usage
from sycamorestand_bench.ledger_bench.client_process import ClientRun
from sycamorestand_bench.ledger_bench.client_process import Load
from sycamorestand_bench.ledger_bench.client_process import LoadResult
from sycamorestand_bench.ledger_bench.client_process import MAX_WAIT_US
from sycamorestand_bench.ledger_bench.client_process import SIGNIFICANT_DIGITS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sycamorestand_bench.control_bench.system import System
    from sycamorestand_bench.scenarios.relay import Child

CLIENTS: Final = 4
LOAD_S: Final = 2.5
RUNS: Final = 3
REST_S: Final = 2.0
MODULE: Final = "sycamorestand_bench.ledger_bench.client_process"
MICROSECONDS: Final = 1e6
MEGABYTE: Final = 1_000_000


class Waits(NamedTuple):
    """The counts and waits of one load over all clients."""

    done: int
    failed: int
    records_per_s: float
    p50_ms: float
    p99_ms: float


class LoadCost(NamedTuple):
    """The offered rate of one load, its waits and its cost per record.

    Every cost but ``leader_cpu_percent`` is per record. ``leader_us`` and
    ``follower_us`` (CPU time) and ``leader_sent_bytes`` count what exceeds
    the usage of the same process at rest.
    """

    shards: int
    offered_per_s: float
    waits: Waits
    leader_us: float
    follower_us: float
    leader_cpu_percent: float
    leader_memory_bytes: float
    leader_disk_bytes: float
    leader_sent_bytes: float


class LedgerBench:
    """Clients that are distributed over the control processes in turn."""

    def __init__(
        self,
        system: System,
        children: Children,
        shards: int,
        as_entry: bool,
    ) -> None:
        self._system = system
        self._shards = shards
        leader = anyio.run(system.leader)
        names = list(system.cluster.controls)
        follower = next(name for name in names if name != leader)
        self._leader = system.cluster.pid(leader)
        self._follower = system.cluster.pid(follower)
        self._folder = system.cluster.controls[leader].data_folder
        self._clients: list[Child] = [
            children.start(
                MODULE,
                ClientRun(
                    f"vm-{number}",
                    system.addresses(number % len(names))[0],
                    shards,
                    as_entry,
                ),
            )
            for number in range(CLIENTS)
        ]
        self._run(Load(10.0, 0.5))
        self._rest_rates = self._measure_rest()

    def measure(self, records_per_s: float) -> LoadCost:
        """Run one load, divided among the clients, and return its cost."""
        pids = [self._leader, self._follower]
        disk_before = folder_bytes(self._folder)
        before = read_usage(pids)
        results = self._run(Load(records_per_s / CLIENTS, LOAD_S))
        after = read_usage(pids)
        waits = combine(results)
        leader = rate_between(before[self._leader], after[self._leader])
        seconds = after[self._leader].at_s - before[self._leader].at_s
        records = max(1, waits.done)
        sent = leader.sent_bytes_per_s - self._rest_rates[0].sent_bytes_per_s
        memory = (
            after[self._leader].resident_mb - before[self._leader].resident_mb
        )
        return LoadCost(
            self._shards,
            records_per_s,
            waits,
            _extra_cpu_us(
                before, after, self._leader, self._rest_rates[0], records
            ),
            _extra_cpu_us(
                before, after, self._follower, self._rest_rates[1], records
            ),
            leader.cpu_percent,
            memory * MEGABYTE / records,
            (folder_bytes(self._folder) - disk_before) / records,
            sent * seconds / records,
        )

    def _run(self, load: Load) -> list[LoadResult]:
        line = msgspec.json.encode(load).decode()
        with ThreadPoolExecutor(len(self._clients)) as pool:
            answers = pool.map(lambda child: child.ask(line), self._clients)
            return [msgspec.convert(each, LoadResult) for each in answers]

    def _measure_rest(self) -> tuple[Rate, Rate]:
        pids = [self._leader, self._follower]
        before = read_usage(pids)
        time.sleep(REST_S)
        after = read_usage(pids)
        leader, follower = (
            rate_between(before[pid], after[pid]) for pid in pids
        )
        return leader, follower


def combine(results: Sequence[LoadResult]) -> Waits:
    """Merge the results of all clients into one."""
    waits = HdrHistogram(1, MAX_WAIT_US, SIGNIFICANT_DIGITS)
    for result in results:
        waits.decode_and_add(result.waits)
    done = sum(result.done for result in results)
    return Waits(
        done,
        sum(result.failed for result in results),
        done / max(result.seconds for result in results),
        waits.get_value_at_percentile(50) / 1000,
        waits.get_value_at_percentile(99) / 1000,
    )


def measure_loads(
    system: System, shards: int, loads: Sequence[float], as_entry: bool
) -> list[LoadCost]:
    """Run every load several times and return the median run of each."""
    with Children() as children:
        bench = LedgerBench(system, children, shards, as_entry)
        return [
            median_run([bench.measure(load) for _ in range(RUNS)])
            for load in loads
        ]


def median_run(runs: Sequence[LoadCost]) -> LoadCost:
    """Return the run whose 99th-percentile wait is the median.

    Its failures are those of all runs together. On a busy machine, other
    processes can dominate a single run, so the goals are compared with the
    median of several runs.
    """
    ordered = sorted(runs, key=lambda run: run.waits.p99_ms)
    middle = ordered[len(ordered) // 2]
    failed = sum(run.waits.failed for run in runs)
    return middle._replace(waits=middle.waits._replace(failed=failed))


def _extra_cpu_us(
    before: dict[int, Usage],
    after: dict[int, Usage],
    pid: int,
    rest: Rate,
    records: int,
) -> float:
    seconds = after[pid].at_s - before[pid].at_s
    used_s = after[pid].cpu_s - before[pid].cpu_s
    extra_s = used_s - rest.cpu_percent / 100 * seconds
    return extra_s * MICROSECONDS / records


__all__ = ["combine", "LoadCost", "measure_loads", "median_run", "Waits"]
