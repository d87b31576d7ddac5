"""Tests of leader leases and promises in the Raft core."""

from __future__ import annotations

import pytest

from sycamorestand_bench.fakes.core_steps import append_success
from sycamorestand_bench.fakes.core_steps import CLUSTER
from sycamorestand_bench.fakes.core_steps import deliver
from sycamorestand_bench.fakes.core_steps import drain_and_sync
from sycamorestand_bench.fakes.core_steps import entry
from sycamorestand_bench.fakes.core_steps import leader_of
from sycamorestand_bench.fakes.core_steps import make_cluster
from sycamorestand_bench.fakes.core_steps import make_core
from sycamorestand_bench.fakes.core_steps import MEMBERS
from sycamorestand_bench.fakes.core_steps import run
from sycamorestand_bench.fakes.core_steps import SETTINGS
from sycamorestand_bench.fakes.core_steps import win_election
from sycamorestand_consensus.core import Core
from sycamorestand_consensus.errors import NotLeader
from sycamorestand_consensus.messages import Append
from sycamorestand_consensus.messages import HardState
from sycamorestand_consensus.messages import Recovered
from sycamorestand_consensus.messages import Snapshot
from sycamorestand_consensus.messages import Stamp
from sycamorestand_consensus.messages import VoteReply
from sycamorestand_consensus.messages import VoteRequest
from sycamorestand_consensus.raft_state import Role


class TestLease:
    def test_a_lease_counts_from_the_send_time_a_majority_answered(
        self,
    ) -> None:
        core = make_core(term=1)
        win_election(core, now_s=5.0)
        assert core.claim_lease_until_s(5.0) == 0.0
        deliver(core, "b", 2, append_success(1, Stamp(1, 5.0)), now_s=5.2)
        assert core.claim_lease_until_s(5.2) == 5.0 + SETTINGS.lease_s
        deliver(core, "b", 2, append_success(1, Stamp(1, 5.1)), now_s=5.3)
        assert core.claim_lease_until_s(5.3) == 5.1 + SETTINGS.lease_s

    def test_a_heartbeat_is_answered_while_entries_are_written(
        self,
    ) -> None:
        # A follower's disk is slow. If its heartbeat replies waited for
        # the sync, the leader would lose its lease and its leadership
        # because of a slow fsync.
        core = make_core(term=1)
        drain_and_sync(core, 0.0)
        entries = Append(0, 0, (entry(1, 1),), 0, Stamp(1, 1.0))
        deliver(core, "b", 1, entries, now_s=1.0)
        assert core.drain(1.0).batch is not None
        heartbeat = Append(1, 1, (), 0, Stamp(1, 1.1))
        deliver(core, "b", 1, heartbeat, now_s=1.1)
        (reply,) = core.drain(1.1).messages
        assert reply.body == append_success(0, Stamp(1, 1.1))

    def test_a_leader_that_steps_down_keeps_its_promise(self) -> None:
        # The leader granted leases under its own, then its disk fills up
        # and it steps down. If it voted for a successor now, that one
        # could lead while the granted leases are still running.
        core = make_core(term=1)
        win_election(core, now_s=5.0)
        deliver(core, "b", 2, append_success(1, Stamp(1, 5.0)), now_s=5.0)
        until_s = core.claim_lease_until_s(5.0)
        core.set_blocked(True, 5.1)
        core.set_blocked(False, 5.1)
        request = VoteRequest(3, 9, 2, pre=False, transfer=False)
        deliver(core, "c", 3, request, now_s=until_s - 0.01)
        assert core.state.term == 2
        deliver(core, "c", 3, request, now_s=until_s + 0.01)
        assert core.state.term == 3

    def test_a_leader_by_transfer_waits_before_its_first_lease(
        self,
    ) -> None:
        # A transfer bypasses all promises so that it takes milliseconds.
        # Leases of the old leader may still be running.
        cluster = make_cluster()
        old = leader_of(cluster)
        cluster.transfer(old, None)
        for _ in range(10):
            cluster.exchange()
        new = leader_of(cluster)
        assert new is not old
        assert new.core.claim_lease_until_s(new.local_s) == 0.0
        run(cluster, 1.0)
        assert new.core.claim_lease_until_s(new.local_s) > new.local_s

    def test_a_leader_claims_no_lease_after_ordering_a_transfer(self) -> None:
        # The order may arrive late, so the leader can no longer know that
        # it is the only leader. If the transfer fails, it must step down.
        cluster = make_cluster()
        leader = leader_of(cluster)
        cluster.transfer(leader, None)
        cluster.messages.clear()
        assert leader.core.claim_lease_until_s(leader.local_s) == 0.0
        with pytest.raises(NotLeader):
            leader.core.propose(b"x", leader.local_s)
        cluster.advance(SETTINGS.election_max_s + 0.1)
        assert leader.core.state.role == Role.FOLLOWER


class TestRestartedLeader:
    def test_a_restart_of_all_members_waits_for_no_promise(self) -> None:
        # All members are killed and restart within a second. Each follower
        # may have promised the leader not to vote, so without an
        # announcement nobody would lead for at least 0.8 s. The old
        # leader's lease was only in memory, so it can announce the end.
        cluster = make_cluster()
        old = leader_of(cluster)
        run(cluster, 1.0)
        for node in cluster.nodes:
            node.crash(kept=99)
        for node in cluster.nodes:
            node.start()
        run(cluster, 0.6)
        new = leader_of(cluster)
        assert new.name == old.name
        assert new.core.claim_lease_until_s(new.local_s) > new.local_s

    def test_a_restarted_follower_cannot_end_a_promise(self) -> None:
        # The leader keeps running while a follower restarts. With its own
        # vote and another one, the follower would lead while the leader's
        # lease is still running.
        core = make_core(term=3)
        request = VoteRequest(4, 9, 3, pre=False, transfer=False)
        deliver(core, "b", 4, request, now_s=0.1)
        assert core.state.term == 3

    @pytest.mark.parametrize(
        ("term", "ended_term", "granted"),
        [(3, 3, True), (2, 3, True), (4, 3, False), (3, 0, False)],
    )
    def test_a_restarted_leader_ends_promises_up_to_its_term(
        self, term: int, ended_term: int, granted: bool
    ) -> None:
        # A leader stops, another one is elected, and the first one
        # restarts. It does not know of its successor's lease, so a member
        # in the successor's term must keep its promise.
        core = make_core(term)
        request = VoteRequest(
            5, 9, 4, pre=True, transfer=False, ended_term=ended_term
        )
        deliver(core, "b", 4, request, now_s=0.1)
        (reply,) = core.drain(0.1).messages
        assert reply.body == VoteReply(5, pre=True, granted=granted)

    def test_the_ended_term_is_announced_in_one_election_only(self) -> None:
        # The first election after the restart fails. Another member may
        # have won in the meantime, so in the next one the member must not
        # declare any lease ended.
        snapshot = Snapshot(0, 0, MEMBERS, b"")
        hard = HardState(3, "a", CLUSTER, led=True)
        core = Core("a", SETTINGS, 1, Recovered(hard, snapshot, ()), 0.0)
        core.tick(0.2)
        first = core.drain(0.2).messages
        assert {message.body.ended_term for message in first} == {3}
        vote = VoteReply(4, pre=True, granted=True)
        deliver(core, "b", 3, vote, now_s=0.2)
        requests = drain_and_sync(core, 0.2)
        assert {message.body.ended_term for message in requests} == {3}
        core.tick(5.0)
        later = core.drain(5.0).messages
        assert {message.body.ended_term for message in later} == {0}

    def test_a_leader_by_transfer_records_leadership_with_a_lease(
        self,
    ) -> None:
        # The leader transfers leadership and the new leader crashes at
        # once. Leases of the old leader may still be running, and the new
        # one cannot declare them ended.
        cluster = make_cluster()
        cluster.transfer(leader_of(cluster), None)
        for _ in range(10):
            cluster.exchange()
        new = leader_of(cluster)
        run(cluster, 0.3)
        assert not new.core.state.hard.led
        run(cluster, 1.0)
        assert new.core.state.hard.led

    def test_a_leader_that_only_stepped_down_ends_no_promise(self) -> None:
        # The leader's disk was full for a moment, so it stepped down
        # without a restart. Others still hold leases granted under its own.
        core = make_core(term=1)
        win_election(core, now_s=5.0)
        core.tick(5.2)
        assert core.state.hard.led
        core.set_blocked(True, 5.3)
        core.set_blocked(False, 5.3)
        drain_and_sync(core, 5.3)
        core.tick(9.0)
        requests = core.drain(9.0).messages
        assert {message.body.ended_term for message in requests} == {0}
