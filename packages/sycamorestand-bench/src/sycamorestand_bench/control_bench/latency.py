"""Time changes until they are in force, and failovers of the leader."""

from __future__ import annotations

import time
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio

from sycamorestand_bench.control_bench.child import Children
from sycamorestand_bench.control_bench.links_process import LinksRun
from sycamorestand_bench.control_bench.orders import LINKS_MODULE
from sycamorestand_bench.control_bench.orders import send_order
from sycamorestand_bench.control_bench.orders import transferred_bytes

if TYPE_CHECKING:
    from sycamorestand_bench.control_bench.system import System
    from sycamorestand_bench.scenarios.relay import Child

ENTRIES: Final = 30
PROCESSES: Final = 2
PAUSE_S: Final = 0.15
IDLE_MEASURE_S: Final = 3.0


class InForceTimes(NamedTuple):
    """The seconds of each change and the bytes that it cost each entry.

    ``entries_behind`` counts the processes of links in which an entry lacks
    the last revision after the changes.
    """

    accepted_s: list[float]
    in_force_s: list[float]
    bytes_a_change: float
    entries_behind: int


def measure_in_force(system: System, changes: int) -> InForceTimes:
    """Apply changes one by one while 30 entries are attached."""
    controls = [system.addresses(first) for first in range(3)]
    with Children() as children:
        links = [
            children.start(
                LINKS_MODULE,
                LinksRun(f"vm-{number}", ENTRIES // PROCESSES, controls),
            )
            for number in range(PROCESSES)
        ]
        idle_bytes_per_s = _measure_bytes_per_s(links)
        begun_s = time.monotonic()
        before = [send_order(child) for child in links]
        accepted_s, in_force_s, revision = anyio.run(
            _apply_changes, system, changes
        )
        after = [send_order(child) for child in links]
        seconds = time.monotonic() - begun_s
    transferred = transferred_bytes(before, after)
    return InForceTimes(
        accepted_s,
        in_force_s,
        (transferred - idle_bytes_per_s * seconds) / changes / ENTRIES,
        sum(report.revision < revision for report in after),
    )


async def _apply_changes(
    system: System, changes: int
) -> tuple[list[float], list[float], int]:
    accepted_s = []
    in_force_s = []
    client = system.client()
    revision = 0
    for _ in range(changes):
        begun_s = time.monotonic()
        revision = await system.apply(client)
        accepted_s.append(time.monotonic() - begun_s)
        await system.wait_in_force(client, revision)
        in_force_s.append(time.monotonic() - begun_s)
        await anyio.sleep(PAUSE_S)
    return accepted_s, in_force_s, revision


class FailoverTimes(NamedTuple):
    """Seconds from each kill to a new leader, and to an accepted change."""

    leader_s: list[float]
    accepted_s: list[float]


def measure_failover(system: System, kills: int) -> FailoverTimes:
    """Kill the leader several times, each time applying a change at once."""
    times = FailoverTimes([], [])
    for _ in range(kills):
        old = anyio.run(system.leader)
        # The client does not get the killed leader's address. Its closed
        # port refuses at once, so the client would only skip it, and whether
        # it comes first in the client's list is chance.
        names = tuple(n for n in system.running_controls() if n != old)
        system.kill(old)
        anyio.run(_time_failover, system, names, times)
        system.restart(old)
    return times


async def _time_failover(
    system: System, names: tuple[str, ...], times: FailoverTimes
) -> None:
    begun_s = time.monotonic()

    async def watch_leader() -> None:
        await system.leader()
        times.leader_s.append(time.monotonic() - begun_s)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch_leader)
        await system.apply(system.client(names))
        times.accepted_s.append(time.monotonic() - begun_s)


def _measure_bytes_per_s(links: list[Child]) -> float:
    begun_s = time.monotonic()
    before = [send_order(child) for child in links]
    time.sleep(IDLE_MEASURE_S)
    after = [send_order(child) for child in links]
    return transferred_bytes(before, after) / (time.monotonic() - begun_s)


__all__ = [
    "FailoverTimes",
    "InForceTimes",
    "measure_failover",
    "measure_in_force",
]
