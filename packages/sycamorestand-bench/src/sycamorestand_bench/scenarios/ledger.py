"""``dev/bench ledger``: measure charges a second with three real voters.

A majority syncs every record before its client gets the answer. The clients
are processes of the bench, each with a link like that of an entry.
"""

from __future__ import annotations

from collections.abc import Sequence
import json
from pathlib import Path
import tempfile
from typing import Any
from typing import Final

import defopt

from sycamorestand_bench.control_bench.fitting import fit_line
from sycamorestand_bench.control_bench.system import System
from sycamorestand_bench.ledger_bench.disk import measure_syncs
from sycamorestand_bench.ledger_bench.disk import SyncTimes
from sycamorestand_bench.ledger_bench.loads import LoadCost
from sycamorestand_bench.ledger_bench.loads import measure_loads
from sycamorestand_bench.processes import Cluster

LOADS: Final = (500, 1000, 2000, 3000)
SHARD_LOADS: Final = (2000, 4000)
SHARDS: Final = (1, 2, 4)
GOAL_RECORDS_PER_S: Final = 2000
GOAL_P99_MS: Final = 50.0
# An open-loop load counts as carried if at least this share of the offered
# records a second is done.
CARRIED_SHARE: Final = 0.95


def main(arguments: list[str]) -> int:
    """Run the measurements; return 0 if the goal is met, otherwise 1."""
    status: int = defopt.run(
        _bench, argv=arguments, cli_options="all", short={}
    )
    return status


def _bench(
    *,
    loads: Sequence[int] = LOADS,
    shard_loads: Sequence[int] = SHARD_LOADS,
    shards: Sequence[int] = SHARDS,
    as_entry: bool = False,
) -> int:
    """Measure the ledger on loopback.

    :param loads: records a second offered to a single shard
    :param shard_loads: records a second offered to more than one shard
    :param shards: numbers of shards, each measured in its own cluster
    :param as_entry: use the entry's client, which spaces the batches
    """
    costs: list[LoadCost] = []
    syncs = [_measure_syncs()]
    for count in shards:
        offered = loads if count == 1 else shard_loads
        costs += _measure(count, offered, as_entry)
    syncs.append(_measure_syncs())
    for line in lines_of(costs):
        print(line)
    for when, times in zip(("before", "after"), syncs, strict=True):
        print(
            f"a bare fsync of three files, {when}: p50 {times.p50_ms:.2f},"
            f" p99 {times.p99_ms:.1f}, longest {times.longest_ms:.1f} ms"
        )
    result = figures_of(costs)
    result["bare_fsync_p99_ms"] = [round(t.p99_ms, 2) for t in syncs]
    print(json.dumps(result))
    return 1 if result["goals_missed"] else 0


def _measure_syncs() -> SyncTimes:
    with tempfile.TemporaryDirectory() as folder:
        return measure_syncs(Path(folder))


def _measure(
    shards: int, loads: Sequence[int], as_entry: bool
) -> list[LoadCost]:
    with (
        tempfile.TemporaryDirectory() as folder,
        Cluster(Path(folder), "WARNING") as cluster,
    ):
        system = System(cluster)
        system.start(ledger_shards=shards)
        return measure_loads(system, shards, loads, as_entry)


def lines_of(costs: Sequence[LoadCost]) -> list[str]:
    """Return a header and one line for each load."""
    lines = [
        "shards offered/s done/s failed | p50 ms p99 ms |"
        " leader us, follower us a record, leader CPU % |"
        " bytes a record: disk, memory, sent"
    ]
    for cost in costs:
        waits = cost.waits
        lines.append(
            f"{cost.shards:6} {cost.offered_per_s:9.0f}"
            f" {waits.records_per_s:6.0f} {waits.failed:6} |"
            f" {waits.p50_ms:6.1f} {waits.p99_ms:6.1f} |"
            f" {cost.leader_us:6.0f} {cost.follower_us:6.0f}"
            f" {cost.leader_cpu_percent:6.1f} |"
            f" {cost.leader_disk_bytes:6.0f} {cost.leader_memory_bytes:6.0f}"
            f" {cost.leader_sent_bytes:6.0f}"
        )
    return lines


def figures_of(costs: Sequence[LoadCost]) -> dict[str, Any]:
    """Return the figures for the JSON line, with the names of missed goals."""
    single = [cost for cost in costs if cost.shards == 1]
    carried = [cost for cost in single if is_carried(cost)]
    figures: dict[str, Any] = {
        "loads": [
            {"shards": c.shards, "offered_per_s": c.offered_per_s}
            | {name: round(v, 2) for name, v in c.waits._asdict().items()}
            | {"leader_us": round(c.leader_us, 1)}
            for c in costs
        ],
        "carried_per_s": max((c.offered_per_s for c in carried), default=0),
        "carried_by_shards": {
            str(count): max(
                (
                    c.offered_per_s
                    for c in costs
                    if c.shards == count and is_carried(c)
                ),
                default=0,
            )
            for count in sorted({c.shards for c in costs})
        },
    }
    if len(single) > 1:
        # The line is fitted to the total CPU time a second. Its slope leaves
        # out the fixed cost of batches, which the time a record includes.
        line = fit_line(
            [
                (c.waits.records_per_s, c.leader_us * c.waits.records_per_s)
                for c in single
            ]
        )
        figures["leader_us_a_record_slope"] = round(line.slope, 1)
        rows = sum(c.waits.done for c in single)
        for name in ("leader_disk_bytes", "leader_memory_bytes"):
            total = sum(getattr(c, name) * c.waits.done for c in single)
            figures[f"{name}_a_record"] = round(total / rows, 1)
    met = figures["carried_per_s"] >= GOAL_RECORDS_PER_S
    figures["goals_missed"] = [] if met else ["carried_per_s"]
    return figures


def is_carried(cost: LoadCost) -> bool:
    """Return whether a load is carried.

    No record may fail, the 99th percentile must meet its goal, and the
    records done must reach `CARRIED_SHARE` of the offered ones.
    """
    return (
        cost.waits.failed == 0
        and cost.waits.p99_ms < GOAL_P99_MS
        and cost.waits.records_per_s >= CARRIED_SHARE * cost.offered_per_s
    )


__all__ = ["figures_of", "is_carried", "lines_of", "main"]
