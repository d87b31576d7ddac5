"""``dev/bench log``: measure the replicated log's throughput and restart.

Three replicas run in this process, each with its own folder and fsync. They
pass payloads directly to each other, without a network. The last line of
output is JSON.
"""

from __future__ import annotations

from collections.abc import Callable
import json
from pathlib import Path
import tempfile
import time
from typing import Final
from typing import NamedTuple

import anyio
import defopt

from sycamorestand_consensus.errors import MembershipRefused
from sycamorestand_consensus.replica import Replica
from sycamorestand_consensus.settings import ReplicaSettings
from sycamorestand_consensus.storage import Storage

GROUP: Final = 0
VOTERS: Final = 3
COMMAND: Final = b"x" * 100
IDLE_S: Final = 3.0
POLL_S: Final = 0.005
# The interval between snapshots is so long that none is taken, and a restart
# replays every entry.
SETTINGS: Final = ReplicaSettings(snapshot_every_entries=10_000_000)


class Throughput(NamedTuple):
    """Throughput and latency of proposals by concurrent callers."""

    callers: int
    proposals: int
    per_s: float
    p50_ms: float
    p99_ms: float


class Report(NamedTuple):
    """The measurements of one run.

    ``read_ms`` is the time to read the lone voter's files, ``restart_ms``
    the time until it has also replayed all entries.
    """

    throughput: tuple[Throughput, ...]
    idle_cpu_share: float
    entries_replayed: int
    read_ms: float
    restart_ms: float


class Counter:
    """A state machine that counts its commands."""

    def __init__(self) -> None:
        """Create a counter at zero."""
        self.count = 0

    def check(self, command: bytes) -> None:
        """Take every command."""

    def apply(self, index: int, command: bytes) -> object:
        """Count a command and return the new count."""
        self.count += 1
        return self.count

    def snapshot(self) -> bytes:
        """Return the count."""
        return str(self.count).encode()

    def restore(self, data: bytes) -> None:
        """Replace the count with one from a snapshot."""
        self.count = int(data or b"0")


def measure(
    *,
    callers: tuple[int, ...] = (1, 16, 128),
    proposals: int = 10_000,
    folder: Path | None = None,
) -> Report:
    """Measure throughput, then the restart of one voter.

    :param callers: numbers of concurrent callers, measured one after another
    :param proposals: number of proposals in each measurement
    :param folder: parent of the data folders; the temporary folder by default
    """
    with tempfile.TemporaryDirectory(dir=folder) as base:
        return anyio.run(_measure, Path(base), callers, proposals)


def main(arguments: list[str]) -> int:
    """Run the measurements and print the results."""
    report = defopt.run(measure, argv=arguments)
    for line in report.throughput:
        print(
            f"{line.callers} callers: {line.per_s:.0f} proposals/s, "
            f"p50 {line.p50_ms:.1f} ms, p99 {line.p99_ms:.1f} ms"
        )
    print(
        f"idle, {VOTERS} voters in one process: "
        f"{100 * report.idle_cpu_share:.1f} % of a core"
    )
    print(
        f"restart of a lone voter with {report.entries_replayed} entries: "
        f"{report.read_ms:.0f} ms to read its files, "
        f"{report.restart_ms:.0f} ms until it leads and has applied them "
        "(an election timeout included)"
    )
    lines = [line._asdict() for line in report.throughput]
    print(json.dumps(report._asdict() | {"throughput": lines}))
    return 0


async def _measure(
    base: Path, callers: tuple[int, ...], proposals: int
) -> Report:
    results = []
    async with anyio.create_task_group() as tasks:
        replicas = _make_replicas(base)
        for replica in replicas:
            tasks.start_soon(replica.run)
        leader = replicas[0]
        await leader.bootstrap([(leader.member_id, "0")])
        await _wait_until(lambda: leader.status().role == "leader")
        for replica in replicas[1:]:
            await _add_voter(leader, replica.member_id)
        for count in callers:
            results.append(await _propose_all(leader, count, proposals))
        idle = await _measure_idle_cpu()
        tasks.cancel_scope.cancel()
    lone_voter_folder = base / "alone"
    await _fill_log(lone_voter_folder, proposals)
    read_ms = _measure_read(lone_voter_folder)
    replayed, restart_ms = await _measure_restart(lone_voter_folder, proposals)
    return Report(tuple(results), idle, replayed, read_ms, restart_ms)


def _make_replicas(base: Path) -> list[Replica]:
    by_id: dict[str, Replica] = {}
    replicas = []
    for number in range(VOTERS):
        replica = _make_replica(base / str(number), by_id)
        by_id[replica.member_id] = replica
        replicas.append(replica)
    return replicas


def _make_replica(folder: Path, by_id: dict[str, Replica]) -> Replica:
    own_id = ""

    def send(to: str, payload: bytes) -> None:
        by_id[to].receive(own_id, payload)

    replica = Replica(folder, GROUP, SETTINGS, Counter(), send, time.monotonic)
    own_id = replica.member_id
    return replica


async def _add_voter(leader: Replica, member_id: str) -> None:
    await leader.add_learner(member_id, member_id)
    while True:
        try:
            await leader.promote(member_id)
            return
        except MembershipRefused:
            await anyio.sleep(POLL_S)


async def _propose_all(
    leader: Replica, callers: int, proposals: int
) -> Throughput:
    waits_s: list[float] = []
    remaining = iter(range(proposals))

    async def call() -> None:
        for _ in remaining:
            begin_s = time.monotonic()
            await leader.propose(COMMAND)
            waits_s.append(time.monotonic() - begin_s)

    started_s = time.monotonic()
    async with anyio.create_task_group() as tasks:
        for _ in range(callers):
            tasks.start_soon(call)
    elapsed_s = time.monotonic() - started_s
    waits_s.sort()
    return Throughput(
        callers=callers,
        proposals=proposals,
        per_s=proposals / elapsed_s,
        p50_ms=1000 * waits_s[proposals // 2],
        p99_ms=1000 * waits_s[proposals * 99 // 100],
    )


async def _measure_idle_cpu() -> float:
    begin_s = time.process_time()
    await anyio.sleep(IDLE_S)
    return (time.process_time() - begin_s) / IDLE_S


async def _fill_log(folder: Path, entries: int) -> None:
    async with anyio.create_task_group() as tasks:
        replica = _make_replica(folder, {})
        tasks.start_soon(replica.run)
        await replica.bootstrap([(replica.member_id, "0")])
        await _wait_until(lambda: replica.status().role == "leader")
        await _propose_all(replica, 128, entries)
        tasks.cancel_scope.cancel()


def _measure_read(folder: Path) -> float:
    storage = Storage(folder / f"group-{GROUP}", SETTINGS.segment_bytes)
    started_s = time.monotonic()
    storage.open(had_log=True)
    elapsed_s = time.monotonic() - started_s
    storage.close()
    return 1000 * elapsed_s


async def _measure_restart(folder: Path, entries: int) -> tuple[int, float]:
    started_s = time.monotonic()
    async with anyio.create_task_group() as tasks:
        replica = _make_replica(folder, {})
        tasks.start_soon(replica.run)
        await _wait_until(lambda: replica.status().applied_index >= entries)
        elapsed_s = time.monotonic() - started_s
        replayed = replica.status().applied_index
        tasks.cancel_scope.cancel()
    return replayed, 1000 * elapsed_s


async def _wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await anyio.sleep(POLL_S)


__all__ = ["Report", "main", "measure"]
