"""Draws faults at random and plays them; equal seeds play equal runs."""

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

# A run ends after this many steps and the next one begins afresh: most
# faults need few entries and elections, and many short runs vary more.
STEPS_A_RUN: Final = 1500


class Fault(NamedTuple):
    """A broken promise and how to play it again."""

    seed: int
    step: int
    reason: str


class RunResult(NamedTuple):
    """What one run did."""

    steps: int
    committed: int
    elections: int
    fault: Fault | None


def play(
    seed: int, steps: int, make_machine: MachineFactory = HashMachine
) -> RunResult:
    """Play one run; at its end everything heals and must go on."""
    draw = random.Random(seed)
    cluster = _make_cluster(seed, draw, make_machine)
    names = list(ACTIONS)
    weights = [_weight(name, draw) for name in names]
    fault = None
    step = 0
    try:
        while step < steps:
            step += 1
            name = draw.choices(names, weights)[0]
            ACTIONS[name](cluster, draw)
        if not cluster.settle():
            fault = Fault(seed, step, "no progress after all faults healed")
    except (FaultFound, ConsensusError) as error:
        fault = Fault(seed, step, f"{type(error).__name__}: {error}")
    terms = max(node.core.state.term for node in cluster.nodes)
    committed = len(cluster.checker.committed)
    return RunResult(step, committed, terms, fault)


def _make_cluster(
    seed: int, draw: random.Random, make_machine: MachineFactory
) -> Cluster:
    settings = ReplicaSettings(
        max_append_bytes=draw.choice((1, 100, 100_000)),
        max_inflight_messages=draw.choice((1, 4, 64)),
        snapshot_chunk_bytes=draw.choice((5, 100_000)),
        trailing_entries=draw.choice((0, 3)),
    )
    voters = draw.choice((3, 3, 3, 5))
    grown = draw.random() < 0.2
    cluster = Cluster(voters, settings, seed, make_machine)
    cluster.bootstrap(cluster.nodes[:1] if grown else cluster.nodes)
    return cluster


def _weight(name: str, draw: random.Random) -> float:
    # Each run stresses other faults: a weight that is the same in all of
    # them would leave the rare combinations unplayed.
    scale = draw.choice((0.0, 0.0, 0.0, 0.0, 0.5, 1.0, 3.0, 8.0))
    if name in ALWAYS:
        scale = draw.choice((0.5, 1.0, 2.0))
    return WEIGHTS[name] * scale


__all__ = [
    "STEPS_A_RUN",
    "Fault",
    "RunResult",
    "play",
]
