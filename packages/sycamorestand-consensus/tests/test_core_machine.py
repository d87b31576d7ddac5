from __future__ import annotations

from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.strategies import booleans
from hypothesis.strategies import integers
from hypothesis.strategies import sampled_from

from sycamorestand_bench.explore.cluster import Cluster
from sycamorestand_bench.explore.node import Node
from sycamorestand_consensus.raft_state import Role
from sycamorestand_consensus.settings import ReplicaSettings

NUMBERS = integers(0, 10_000)


class FaultyGroup(RuleBasedStateMachine):
    """A group under random faults; ``Checker`` raises on a violation.

    After each step, a term has at most one leader, no committed entry is
    lost or moved, states at equal indexes are equal, and at most one node
    holds a valid lease.
    """

    @initialize(
        seed=NUMBERS,
        voters=sampled_from((1, 3, 5)),
        append_bytes=sampled_from((1, 100_000)),
        trailing=sampled_from((0, 3)),
        few_bytes=sampled_from((1, 120, 100_000)),
    )
    def start(
        self,
        seed: int,
        voters: int,
        append_bytes: int,
        trailing: int,
        few_bytes: int,
    ) -> None:
        group = ReplicaSettings(
            max_append_bytes=append_bytes,
            max_inflight_bytes=few_bytes,
            max_backlog_bytes=few_bytes,
            snapshot_chunk_bytes=7,
            snapshot_every_bytes=few_bytes,
            trailing_entries=trailing,
            trailing_bytes=few_bytes,
        )
        self.cluster = Cluster(voters, group, seed)
        self.cluster.bootstrap(self.cluster.nodes)
        self.run_fairly(30)

    @rule(rounds=sampled_from((1, 5, 20, 40)))
    def run_fairly(self, rounds: int) -> None:
        for _ in range(rounds):
            self.propose_and_read()
            self.cluster.advance(0.1)
            self.cluster.exchange()

    @rule(seconds=sampled_from((0.001, 0.05, 0.9, 30.0)))
    def let_time_pass(self, seconds: float) -> None:
        self.cluster.advance(seconds)

    @rule(number=NUMBERS, keep=booleans())
    def deliver_out_of_order_or_twice(self, number: int, keep: bool) -> None:
        if self.cluster.messages:
            position = number % len(self.cluster.messages)
            self.cluster.deliver(position, keep=keep)

    @rule(number=NUMBERS)
    def lose_a_message(self, number: int) -> None:
        if self.cluster.messages:
            position = number % len(self.cluster.messages)
            self.cluster.messages.pop(position)

    @rule(number=NUMBERS, count=integers(1, 3))
    def sync(self, number: int, count: int) -> None:
        self.cluster.sync(self._member(number), count)

    @rule(number=NUMBERS, kept=integers(0, 1))
    def crash(self, number: int, kept: int) -> None:
        self.cluster.crash(self._member(number), kept)

    @rule(kept=integers(0, 1))
    def crash_the_leader(self, kept: int) -> None:
        self.propose_and_read()
        for leader in self.cluster.leaders():
            self.cluster.crash(leader, kept)

    @rule()
    def restart(self) -> None:
        for node in self.cluster.nodes:
            if not node.up and not node.wiped:
                node.start()
                node.pump()

    @rule(number=NUMBERS, inward=booleans(), outward=booleans())
    def cut_off(self, number: int, inward: bool, outward: bool) -> None:
        self.propose_and_read()
        node = self._member(number)
        self.cluster.isolate(node, inward=inward, outward=outward)

    @rule()
    def heal(self) -> None:
        self.cluster.cut.clear()

    @rule()
    def propose_and_read(self) -> None:
        for leader in self.cluster.leaders():
            self.cluster.propose(leader)
            self.cluster.read(leader)

    @rule(number=NUMBERS)
    def compact(self, number: int) -> None:
        node = self._member(number)
        if node.up:
            node.compact()
            node.pump()

    @rule(number=NUMBERS, full=booleans())
    def fill_disk(self, number: int, full: bool) -> None:
        node = self._member(number)
        node.set_disk_full(full)
        node.pump()

    @rule()
    def hand_over(self) -> None:
        for leader in self.cluster.leaders():
            self.cluster.transfer(leader, None)

    @rule(number=NUMBERS)
    def lose_a_disk_and_replace_it(self, number: int) -> None:
        lost = self._member(number)
        if len(self.cluster.nodes) >= 9 or not self.cluster.wipe(lost):
            return
        replacement = self.cluster.add_node()
        self.run_fairly(30)
        for step in (
            self.cluster.admit,
            self.cluster.promote,
        ):
            for leader in self.cluster.leaders():
                step(leader, replacement.name)
            self.run_fairly(5)
        for leader in self.cluster.leaders():
            self.cluster.remove(leader, lost.name)

    @invariant()
    def applied_entries_are_committed(self) -> None:
        if not hasattr(self, "cluster"):
            return
        for node in self.cluster.running():
            assert node.applied_index <= len(self.cluster.checker.committed)
            if node.core.state.role == Role.LEADER:
                assert not node.core.state.blocked

    def teardown(self) -> None:
        if hasattr(self, "cluster"):
            assert self.cluster.settle(), (
                "no progress after all faults were healed"
            )

    def _member(self, number: int) -> Node:
        return self.cluster.nodes[number % len(self.cluster.nodes)]


class TestCoreMachine(FaultyGroup.TestCase):
    settings = settings(max_examples=150, stateful_step_count=60)
