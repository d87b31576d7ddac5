"""Measure the resources that control processes and an entry use."""

from __future__ import annotations

import time
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio

from sycamorestand_bench.control_bench.child import Children
from sycamorestand_bench.control_bench.links_process import LinksRun
from sycamorestand_bench.control_bench.links_process import Order
from sycamorestand_bench.control_bench.links_process import Report
from sycamorestand_bench.control_bench.orders import LINKS_MODULE
from sycamorestand_bench.control_bench.orders import send_order
from sycamorestand_bench.control_bench.usage import Rate
from sycamorestand_bench.control_bench.usage import rate_between
from sycamorestand_bench.control_bench.usage import read_usage

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sycamorestand_bench.control_bench.system import System
    from sycamorestand_bench.scenarios.relay import Child

SETTLE_S: Final = 1.5
# The wait after a decrease of servers: those that no longer announce
# themselves expire, which causes traffic.
EXPIRE_S: Final = 5.0
MEASURE_S: Final = 4.0
ANNOUNCING_LINKS: Final = 3
PROBE: Final = "probe-entry"
# The load of a measurement: entries at one control process, and servers.
Cell = tuple[int, int]


class CellCost(NamedTuple):
    """The resources that each role used at a number of entries and servers.

    ``hub`` is the follower to which all entries are attached, ``follower``
    has no entries, ``link`` is a process with the link of one entry, and
    ``entry`` is a complete entry process.
    """

    entries: int
    servers: int
    requests_per_s: float
    hub: Rate
    leader: Rate
    follower: Rate
    link: Rate
    entry: Rate
    link_frames_per_s: float
    servers_seen: int
    leases: int
    moves: int


class CostBench:
    """Entries at one follower, links that announce servers, and two probes.

    One probe is a process with a single link, the other an entry process.
    """

    def __init__(self, system: System, children: Children) -> None:
        self._system = system
        self._children = children
        self._groups: list[tuple[int, Child]] = []
        self._servers = 0
        self._leader = anyio.run(system.leader)
        names = list(system.cluster.controls)
        others = [name for name in names if name != self._leader]
        self._hub, self._follower = others
        self._at_hub = system.addresses(names.index(self._hub))
        everywhere = [system.addresses(n) for n in range(len(names))]
        self._announcer = children.start(
            LINKS_MODULE, LinksRun("feeder", ANNOUNCING_LINKS, everywhere)
        )
        self._probe = children.start(
            LINKS_MODULE, LinksRun("probe", 1, [self._at_hub])
        )
        system.cluster.start_entry(PROBE, "dc-0")
        system.cluster.wait_ready(PROBE)

    def measure(
        self, entries: int, servers: int, requests_per_s: float = 0.0
    ) -> CellCost:
        """Set the load of a cell, wait until it is stable and measure it."""
        fewer = servers < self._servers
        self._servers = servers
        self._attach(entries)
        send_order(self._announcer, Order(servers=servers))
        probe_order = Order(requests_per_s=requests_per_s)
        send_order(self._probe, probe_order)
        time.sleep(EXPIRE_S if fewer else SETTLE_S)
        pids = self._pids()
        before = read_usage(list(pids.values()))
        link_before = send_order(self._probe, probe_order)
        time.sleep(MEASURE_S)
        after = read_usage(list(pids.values()))
        link_after = send_order(self._probe, probe_order)
        rates = {
            role: rate_between(before[pid], after[pid])
            for role, pid in pids.items()
        }
        reports = [send_order(child) for _, child in self._groups]
        return CellCost(
            entries,
            servers,
            requests_per_s,
            **rates,
            link_frames_per_s=_transferred_frames(link_before, link_after)
            / MEASURE_S,
            servers_seen=link_after.servers_seen,
            leases=sum(report.leases for report in reports),
            moves=sum(report.moves for report in reports),
        )

    def _attach(self, entries: int) -> None:
        """Start or stop links so that the hub has this many entries.

        The probe counts as one of them.
        """
        wanted = entries - 1
        while self._groups and self._attached_entries() > wanted:
            count, child = self._groups.pop()
            self._children.stop(child)
        missing = wanted - self._attached_entries()
        if missing > 0:
            name = f"vm-{len(self._groups)}"
            run = LinksRun(name, missing, [self._at_hub])
            child = self._children.start(LINKS_MODULE, run)
            self._groups.append((missing, child))

    def _attached_entries(self) -> int:
        return sum(count for count, _ in self._groups)

    def _pids(self) -> dict[str, int]:
        cluster = self._system.cluster
        return {
            "hub": cluster.pid(self._hub),
            "leader": cluster.pid(self._leader),
            "follower": cluster.pid(self._follower),
            "link": self._probe.process.pid,
            "entry": cluster.pid(PROBE),
        }


def measure_cells(
    system: System, cells: Sequence[Cell], busy_requests_per_s: float
) -> list[CellCost]:
    """Measure every cell with an idle probe, then two further ones.

    The first further cell is the last given one with a busy probe. In the
    second, all entries except the probe were killed without leaving.
    """
    with Children() as children:
        bench = CostBench(system, children)
        costs = [bench.measure(*cell) for cell in cells]
        costs.append(bench.measure(*cells[-1], busy_requests_per_s))
        costs.append(bench.measure(1, 0))
    system.cluster.kill(PROBE)
    return costs


def cells_of(entries: Sequence[int], servers: Sequence[int]) -> list[Cell]:
    """Return cells that separate the slopes from their product term.

    The number of entries never decreases, because lost entries cost the
    control process time for a while. `measure_cells` measures that cost in
    a separate cell.
    """
    return [
        (entries[0], servers[0]),
        (entries[0], servers[-1]),
        *((count, servers[0]) for count in entries[1:]),
        *((entries[-1], count) for count in servers[1:]),
    ]


def _transferred_frames(before: Report, after: Report) -> int:
    return (
        after.sent_frames
        + after.received_frames
        - before.sent_frames
        - before.received_frames
    )


__all__ = ["Cell", "CellCost", "cells_of", "measure_cells"]
