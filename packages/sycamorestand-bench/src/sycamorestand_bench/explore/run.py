"""Runs random faults on a cluster; equal seeds give equal runs."""

from __future__ import annotations

import random
from typing import Final
from typing import NamedTuple

from sycamorestand_bench.explore.actions import ACTIONS
from sycamorestand_bench.explore.actions import ALWAYS
from sycamorestand_bench.explore.actions import WEIGHTS
from sycamorestand_bench.explore.checks import FaultFound
from sycamorestand_bench.explore.checks import HashMachine
from sycamorestand_bench.explore.checks import MachineFactory
from sycamorestand_bench.explore.cluster import Cluster
from sycamorestand_consensus.errors import ConsensusError
from sycamorestand_consensus.settings import ReplicaSettings

# Steps of one run. Most faults need few entries and elections to appear, and
# many short runs vary more than one long run.
STEPS_A_RUN: Final = 1500


class Fault(NamedTuple):
    """A violated invariant, and the seed and step that reproduce it."""

    seed: int
    step: int
    reason: str


class RunResult(NamedTuple):
    """Counts of one run, and the fault it found, if any.

    ``elections`` is the highest term that a member reached.
    """

    steps: int
    committed: int
    elections: int
    fault: Fault | None


def run_seed(
    seed: int, steps: int, make_machine: MachineFactory = HashMachine
) -> RunResult:
    """Run random actions on a new cluster until a fault is found.

    After the last step all faults end, and the cluster must make progress
    again.
    """
    rng = random.Random(seed)
    cluster = _make_cluster(seed, rng, make_machine)
    names = list(ACTIONS)
    weights = [_draw_weight(name, rng) for name in names]
    fault = None
    step = 0
    try:
        while step < steps:
            step += 1
            name = rng.choices(names, weights)[0]
            ACTIONS[name](cluster, rng)
        if not cluster.settle():
            fault = Fault(seed, step, "no progress after all faults healed")
    except (FaultFound, ConsensusError) as error:
        fault = Fault(seed, step, f"{type(error).__name__}: {error}")
    terms = max(node.core.state.term for node in cluster.nodes)
    committed = len(cluster.checker.committed)
    return RunResult(step, committed, terms, fault)


def _make_cluster(
    seed: int, rng: random.Random, make_machine: MachineFactory
) -> Cluster:
    settings = ReplicaSettings(
        max_append_bytes=rng.choice((1, 100, 100_000)),
        max_inflight_messages=rng.choice((1, 4, 64)),
        snapshot_chunk_bytes=rng.choice((5, 100_000)),
        trailing_entries=rng.choice((0, 3)),
        **_draw_byte_limits(seed),
    )
    voters = rng.choice((3, 3, 3, 5))
    starts_alone = rng.random() < 0.2
    cluster = Cluster(voters, settings, seed, make_machine)
    cluster.bootstrap(cluster.nodes[:1] if starts_alone else cluster.nodes)
    return cluster


def _draw_byte_limits(seed: int) -> dict[str, int]:
    """Return small limits for every eighth seed, else none.

    They are drawn apart from what else the seed draws.
    """
    if seed % 8 != 1:
        return {}
    rng = random.Random(seed)
    names = (
        "max_backlog_bytes",
        "max_inflight_bytes",
        "snapshot_every_bytes",
        "trailing_bytes",
    )
    return {name: rng.choice((1, 100, 300, 100_000)) for name in names}


def _draw_weight(name: str, rng: random.Random) -> float:
    # Each run stresses other faults. With the same weights in all runs, rare
    # combinations would not occur.
    scale = rng.choice((0.0, 0.0, 0.0, 0.0, 0.5, 1.0, 3.0, 8.0))
    if name in ALWAYS:
        scale = rng.choice((0.5, 1.0, 2.0))
    return WEIGHTS[name] * scale


__all__ = [
    "STEPS_A_RUN",
    "Fault",
    "RunResult",
    "run_seed",
]
