"""The consensus core under faults, with automatic replacement of voters."""

from __future__ import annotations

import random
from typing import Final

import pytest

from sycamorestand_bench.explore.actions import ACTIONS
from sycamorestand_bench.explore.actions import WEIGHTS
from sycamorestand_bench.explore.cluster import Cluster
from sycamorestand_bench.explore.node import Node
from sycamorestand_consensus.settings import ReplicaSettings
from sycamorestand_control.voter_repair import next_change
from sycamorestand_control.voter_repair import ObservedMember
from sycamorestand_control.voter_repair import SILENCE_S

RUNS: Final = 60
STEPS: Final = 1_000
REPAIR_WEIGHT: Final = 3.0
FALSE_SILENCE_SHARE: Final = 0.05
# Only the repair changes the membership in these runs, no operator.
EXCLUDED_ACTIONS: Final = frozenset({"admit", "promote", "remove"})


def repair(cluster: Cluster, rng: random.Random) -> int:
    """Make the next repair step on each node that considers itself leader.

    Returns the number of steps.
    """
    steps = 0
    for leader in cluster.leaders():
        nodes = {node.name: node for node in cluster.nodes}
        members = [
            ObservedMember(
                member.member_id,
                member.address,
                _silent_s(nodes[member.member_id], leader, rng),
                member.voter,
            )
            for member in leader.core.state.membership
        ]
        joining = [
            ObservedMember(node.name, f"at-{node.name}", 0.1)
            for node in cluster.running()
        ]
        step = next_change(leader.name, members, joining, 3)
        if step is None:
            continue
        steps += 1
        actions = {"add": cluster.admit, "promote": cluster.promote}
        actions.get(step.kind, cluster.remove)(leader, step.member_id)
    return steps


def _silent_s(node: Node, leader: Node, rng: random.Random) -> float:
    if node is leader:
        return 0.0
    if node.wiped or rng.random() < FALSE_SILENCE_SHARE:
        return SILENCE_S
    return 0.1 if node.up else rng.choice((0.1, 1.0, SILENCE_S))


class TestExplore:
    @pytest.mark.parametrize("first_seed", range(0, RUNS, 10))
    def test_wrong_repairs_violate_no_invariant(self, first_seed: int) -> None:
        """Disks are lost, voters crash, and some are cut off or slow.

        Each node that considers itself leader replaces voters, and wrongly
        treats some of them as silent. No committed entry may be lost, no two
        nodes may lead the same term, and after the faults the group must
        make progress.
        """
        repairs = 0
        for seed in range(first_seed, first_seed + 10):
            rng = random.Random(seed)
            cluster = Cluster(3, ReplicaSettings(trailing_entries=3), seed)
            cluster.bootstrap(cluster.nodes)
            names = [name for name in ACTIONS if name not in EXCLUDED_ACTIONS]
            weights = [WEIGHTS[name] for name in names]
            for _ in range(STEPS):
                (name,) = rng.choices(
                    [*names, "repair"], [*weights, REPAIR_WEIGHT]
                )
                if name == "repair":
                    repairs += repair(cluster, rng)
                else:
                    ACTIONS[name](cluster, rng)
            assert cluster.settle(), seed
        assert repairs
