"""``dev/bench control``: measure the cost and the latency of control.

The control processes are three real ones. The entries are control links,
which run as tasks in processes of the bench, except for one real entry
process.
"""

from __future__ import annotations

from collections.abc import Sequence
import json
from pathlib import Path
import tempfile
from typing import Final

import defopt

from sycamorestand_bench.control_bench.cost import cells_of
from sycamorestand_bench.control_bench.cost import measure_cells
from sycamorestand_bench.control_bench.latency import measure_failover
from sycamorestand_bench.control_bench.latency import measure_in_force
from sycamorestand_bench.control_bench.report import cell_lines
from sycamorestand_bench.control_bench.report import compare_with_goals
from sycamorestand_bench.control_bench.report import failover_figures
from sycamorestand_bench.control_bench.report import in_force_figures
from sycamorestand_bench.control_bench.report import json_figures
from sycamorestand_bench.control_bench.report import probe_figures
from sycamorestand_bench.control_bench.report import restart_figures
from sycamorestand_bench.control_bench.report import slope_lines
from sycamorestand_bench.control_bench.report import target_figures
from sycamorestand_bench.control_bench.restart import measure_restart
from sycamorestand_bench.control_bench.system import System
from sycamorestand_bench.control_bench.target import fit_figures
from sycamorestand_bench.processes import Cluster

PARTS: Final = ("in-force", "failover", "restart", "cost")
ENTRIES: Final = (5, 30, 60)
SERVERS: Final = (0, 100, 300)
CHANGES: Final = 30
KILLS: Final = 5
RESTART_CHANGES: Final = 10_000
# The target's peak of 13,000 requests a second, spread over 330 nodes.
BUSY_REQUESTS_PER_S: Final = 40.0
# Number of cells at the end that only the probes use, not the slopes.
PROBE_CELLS: Final = 2


def main(arguments: list[str]) -> int:
    """Run the measurements; return 0 if every goal is met, otherwise 1.

    The status is 2 if there is no such part.
    """
    status: int = defopt.run(
        _bench, argv=arguments, cli_options="all", short={}
    )
    return status


def _bench(
    *,
    part: str = "",
    entries: Sequence[int] = ENTRIES,
    servers: Sequence[int] = SERVERS,
    changes: int = CHANGES,
    kills: int = KILLS,
    restart_changes: int = RESTART_CHANGES,
) -> int:
    """Measure control on loopback.

    :param part: in-force, failover, restart or cost; all parts by default
    :param entries: numbers of entries at a control process, ascending
    :param servers: numbers of announced backend servers, ascending
    :param changes: number of changes timed until they are in force
    :param kills: number of times that the leader is killed
    :param restart_changes: number of changes before the timed restart
    """
    if part and part not in PARTS:
        print(f"no such part; known: {PARTS}")
        return 2
    figures: dict[str, float] = {}
    with (
        tempfile.TemporaryDirectory() as folder,
        Cluster(Path(folder), "WARNING") as cluster,
    ):
        system = System(cluster)
        system.start()
        if part in ("", "in-force"):
            figures |= in_force_figures(measure_in_force(system, changes))
        if part in ("", "failover"):
            figures |= failover_figures(measure_failover(system, kills))
        if part in ("", "cost"):
            figures |= _measure_cost(system, entries, servers)
        if part in ("", "restart"):
            restart = measure_restart(system, restart_changes)
            figures |= restart_figures(restart)
    compared = compare_with_goals(figures)
    for line in compared:
        print(line.line())
    result = json_figures(compared)
    print(json.dumps(result))
    return 1 if result["goals_missed"] else 0


def _measure_cost(
    system: System, entries: Sequence[int], servers: Sequence[int]
) -> dict[str, float]:
    cells = cells_of(entries, servers)
    costs = measure_cells(system, cells, BUSY_REQUESTS_PER_S)
    slopes = fit_figures(costs[:-PROBE_CELLS])
    for line in cell_lines(costs) + slope_lines(slopes):
        print(line)
    return probe_figures(costs) | target_figures(slopes, costs)


__all__ = ["main"]
