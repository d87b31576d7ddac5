"""The agreement core under faults, with voters that replace themselves."""

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
WRONG_GUESS: Final = 0.05
# Operators do nothing in these runs.
LEFT_OUT: Final = frozenset({"admit", "promote", "remove"})


def repair(cluster: Cluster, draw: random.Random) -> int:
    """Make the step of whoever believes to lead; return how many."""
    steps = 0
    for leader in cluster.leaders():
        nodes = {node.name: node for node in cluster.nodes}
        members = [
            ObservedMember(
                member.member_id,
                member.address,
                _silent_s(nodes[member.member_id], leader, draw),
                member.voter,
            )
            for member in leader.core.state.membership
        ]
        asking = [
            ObservedMember(node.name, f"at-{node.name}", 0.1)
            for node in cluster.running()
        ]
        step = next_change(leader.name, members, asking, 3)
        if step is None:
            continue
        steps += 1
        act = {"add": cluster.admit, "promote": cluster.promote}
        act.get(step.kind, cluster.remove)(leader, step.member_id)
    return steps


def _silent_s(node: Node, leader: Node, draw: random.Random) -> float:
    if node is leader:
        return 0.0
    if node.wiped or draw.random() < WRONG_GUESS:
        return SILENCE_S
    return 0.1 if node.up else draw.choice((0.1, 1.0, SILENCE_S))


class TestExplore:
    @pytest.mark.parametrize("first_seed", range(0, RUNS, 10))
    def test_repairs_and_wrong_guesses_break_no_promise(
        self, first_seed: int
    ) -> None:
        """Disks are lost, voters crash, and some are cut off or slow.

        Whoever leads, or thinks so, replaces voters, some of them for a
        silence that was none. Nothing committed is lost, no two lead in a
        term, and when the faults end the group goes on.
        """
        repairs = 0
        for seed in range(first_seed, first_seed + 10):
            draw = random.Random(seed)
            cluster = Cluster(3, ReplicaSettings(trailing_entries=3), seed)
            cluster.bootstrap(cluster.nodes)
            names = [name for name in ACTIONS if name not in LEFT_OUT]
            weights = [WEIGHTS[name] for name in names]
            for _ in range(STEPS):
                (name,) = draw.choices(
                    [*names, "repair"], [*weights, REPAIR_WEIGHT]
                )
                if name == "repair":
                    repairs += repair(cluster, draw)
                else:
                    ACTIONS[name](cluster, draw)
            assert cluster.settle(), seed
        assert repairs
