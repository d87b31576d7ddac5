"""Tests of membership changes and recovery of the Raft core."""

from __future__ import annotations

import pytest

from sycamorestand_bench.fakes.core_steps import append_success
from sycamorestand_bench.fakes.core_steps import deliver
from sycamorestand_bench.fakes.core_steps import drain_and_sync
from sycamorestand_bench.fakes.core_steps import entry
from sycamorestand_bench.fakes.core_steps import leader_of
from sycamorestand_bench.fakes.core_steps import make_cluster
from sycamorestand_bench.fakes.core_steps import make_core
from sycamorestand_bench.fakes.core_steps import other_than
from sycamorestand_bench.fakes.core_steps import run
from sycamorestand_bench.fakes.core_steps import STAMP
from sycamorestand_bench.fakes.core_steps import win_election
from sycamorestand_consensus.errors import BootstrapRefused
from sycamorestand_consensus.errors import MembershipRefused
from sycamorestand_consensus.errors import TransferFailed
from sycamorestand_consensus.membership import find_member
from sycamorestand_consensus.messages import Append
from sycamorestand_consensus.messages import Message
from sycamorestand_consensus.messages import Stamp


class TestMembership:
    def test_a_second_uncommitted_change_is_refused(self) -> None:
        core = make_core(term=1)
        win_election(core, now_s=5.0)
        with pytest.raises(MembershipRefused, match="this term"):
            core.add_learner("d", "at-d", 5.0)
        deliver(core, "b", 2, append_success(1), now_s=5.0)
        index = core.add_learner("d", "at-d", 5.0)
        assert find_member(core.state.membership, "d") is not None
        with pytest.raises(MembershipRefused, match="not committed"):
            core.remove("c", 5.0)
        drain_and_sync(core, 5.0)
        deliver(core, "b", 2, append_success(index), now_s=5.0)
        core.remove("c", 5.0)
        assert find_member(core.state.membership, "c") is None

    def test_a_learner_is_promoted_once_it_has_synced(self) -> None:
        core = make_core(term=1)
        win_election(core, now_s=5.0)
        deliver(core, "b", 2, append_success(1), now_s=5.0)
        index = core.add_learner("d", "at-d", 5.0)
        drain_and_sync(core, 5.0)
        deliver(core, "b", 2, append_success(index), now_s=5.0)
        with pytest.raises(MembershipRefused, match="admission"):
            core.promote("d", 5.0)
        deliver(core, "d", 2, append_success(index, Stamp(1, 5.0)), now_s=5.0)
        with pytest.raises(MembershipRefused, match="silent"):
            core.promote("d", 9.0)
        core.promote("d", 5.1)
        found = find_member(core.state.membership, "d")
        assert found is not None
        assert found.voter

    @pytest.mark.parametrize("member_id", ["a", "x"])
    def test_neither_the_leader_nor_a_non_member_is_removed(
        self, member_id: str
    ) -> None:
        core = make_core(term=1)
        win_election(core, now_s=5.0)
        deliver(core, "b", 2, append_success(1), now_s=5.0)
        with pytest.raises(MembershipRefused):
            core.remove(member_id, 5.0)

    def test_an_overwritten_change_is_reverted(self) -> None:
        core = make_core(term=1)
        win_election(core, now_s=5.0)
        deliver(core, "b", 2, append_success(1), now_s=5.0)
        core.add_learner("d", "at-d", 5.0)
        replaced = Append(1, 2, (entry(2, 3),), 0, STAMP)
        deliver(core, "c", 3, replaced, now_s=5.0)
        assert find_member(core.state.membership, "d") is None

    def test_messages_of_another_group_are_ignored(self) -> None:
        # A second group is bootstrapped by mistake and sends messages to a
        # member of the first. The cluster ids differ, so the member must
        # ignore them.
        core = make_core(term=1)
        body = Append(0, 0, (entry(1, 9),), 1, STAMP)
        core.receive(Message("b", "a", "other", 9, body), 1.0)
        assert core.state.term == 1
        assert core.state.log.last_index == 0
        with pytest.raises(BootstrapRefused):
            core.bootstrap((("a", "at-a"),), 1.0)

    @pytest.mark.parametrize("target", ["a", "x"])
    def test_leadership_is_transferred_only_to_other_voters(
        self, target: str
    ) -> None:
        core = make_core(term=1)
        win_election(core, now_s=5.0)
        with pytest.raises(TransferFailed):
            core.transfer(target, 5.0)


class TestRecovery:
    def test_nothing_is_lost_with_a_second_disk_after_a_repair(self) -> None:
        # Two voters lose their disks within seconds. The first is replaced
        # by a new member, which is admitted, catches up from a snapshot
        # and is promoted. Then the second is lost for good. All committed
        # entries must remain and the group must continue.
        cluster = make_cluster(trailing_entries=0, snapshot_chunk_bytes=5)
        leader = leader_of(cluster)
        for _ in range(50):
            cluster.propose(leader)
        run(cluster, 1.0)
        for node in cluster.running():
            node.compact()
        lost = other_than(cluster, leader)
        assert cluster.wipe(lost)
        replacement = cluster.add_node()
        cluster.admit(leader, replacement.name)
        run(cluster, 1.0)
        cluster.promote(leader, replacement.name)
        run(cluster, 1.0)
        cluster.remove(leader, lost.name)
        run(cluster, 1.0)
        before = len(cluster.checker.committed)
        leader.crash(0)
        leader.wiped = True
        assert cluster.settle()
        assert len(cluster.checker.committed) > before
        assert leader_of(cluster).applied_index > before

    def test_a_restart_keeps_a_thousand_changes(self) -> None:
        # All members restart at once. The snapshot must bound the number
        # of replayed entries, and every change must be kept.
        cluster = make_cluster(trailing_entries=10)
        leader = leader_of(cluster)
        for number in range(1000):
            cluster.propose(leader)
            cluster.exchange()
            if number % 100 == 99:
                for node in cluster.running():
                    node.compact()
                    node.pump()
        run(cluster, 1.0)
        committed = len(cluster.checker.committed)
        assert committed > 1000
        for node in cluster.nodes:
            node.crash(0)
            node.start()
            log = node.core.state.log
            assert log.last_index - log.start_index < 120
        assert cluster.settle()
        assert leader_of(cluster).applied_index > committed

    def test_a_leader_with_a_full_disk_steps_down_and_catches_up(self) -> None:
        # The leader's disk fills up, so it must step down for another
        # member to lead. Once there is space, it must catch up without
        # loss.
        cluster = make_cluster()
        full = leader_of(cluster)
        full.set_disk_full(True)
        full.pump()
        run(cluster, 5.0)
        leader = leader_of(cluster)
        assert leader is not full
        cluster.propose(leader)
        run(cluster, 1.0)
        full.set_disk_full(False)
        run(cluster, 1.0)
        assert full.applied_index == len(cluster.checker.committed)
