"""Tests of elections and commits in the Raft core."""

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
from sycamorestand_bench.fakes.core_steps import other_than
from sycamorestand_bench.fakes.core_steps import run
from sycamorestand_bench.fakes.core_steps import SETTINGS
from sycamorestand_bench.fakes.core_steps import STAMP
from sycamorestand_bench.fakes.core_steps import win_election
from sycamorestand_consensus.core import Core
from sycamorestand_consensus.errors import ProposalRefused
from sycamorestand_consensus.errors import SafetyViolated
from sycamorestand_consensus.messages import Append
from sycamorestand_consensus.messages import AppendReply
from sycamorestand_consensus.messages import HardState
from sycamorestand_consensus.messages import Recovered
from sycamorestand_consensus.messages import Snapshot
from sycamorestand_consensus.messages import VoteReply
from sycamorestand_consensus.messages import VoteRequest
from sycamorestand_consensus.raft_state import Role


class TestElection:
    def test_a_member_back_from_a_partition_deposes_no_leader(self) -> None:
        # A follower is partitioned for ten minutes, while its election
        # timeout fires again and again. Without pre-votes its term would
        # rise, and its return would depose the leader.
        cluster = make_cluster()
        leader = leader_of(cluster)
        term = leader.core.state.term
        cut = other_than(cluster, leader)
        cluster.isolate(cut, inward=True, outward=True)
        run(cluster, 600.0)
        cluster.cut.clear()
        run(cluster, 3.0)
        assert leader_of(cluster) is leader
        assert {n.core.state.term for n in cluster.nodes} == {term}

    @pytest.mark.parametrize("inward", [True, False])
    def test_a_leader_partitioned_one_way_steps_down(
        self, inward: bool
    ) -> None:
        # The leader either cannot send or cannot receive. In both cases no
        # majority answers it and its proposals fail, so it must step down
        # for another member to lead.
        cluster = make_cluster()
        old = leader_of(cluster)
        cluster.isolate(old, inward=inward, outward=not inward)
        run(cluster, 10.0)
        assert old.core.state.role != Role.LEADER
        assert leader_of(cluster) is not old

    def test_a_follower_that_cannot_receive_deposes_no_leader(self) -> None:
        # The follower can send but not receive, so it asks for pre-votes
        # all the time. The others hear from their leader and must refuse.
        cluster = make_cluster()
        leader = leader_of(cluster)
        unreachable = other_than(cluster, leader)
        cluster.isolate(unreachable, inward=True, outward=False)
        run(cluster, 30.0)
        assert leader_of(cluster) is leader

    def test_a_vote_is_sent_only_after_its_sync(self) -> None:
        # If a vote was sent before its sync, a crash in between would let
        # the member vote again in the same term, and two leaders could be
        # elected.
        core = make_core(term=1)
        request = VoteRequest(2, 5, 1, pre=False, transfer=False)
        deliver(core, "b", 2, request, now_s=5.0)
        output = core.drain(5.0)
        assert output.messages == ()
        assert output.batch is not None
        assert HardState(2, "b", CLUSTER) in output.batch.records
        core.mark_synced(output.batch.sequence, 5.0)
        (reply,) = core.drain(5.0).messages
        assert reply.body == VoteReply(2, pre=False, granted=True)

    @pytest.mark.parametrize(
        ("last_index", "last_term", "granted"),
        [(3, 2, True), (4, 2, True), (1, 3, True), (2, 2, False)],
    )
    def test_only_an_up_to_date_log_gets_a_vote(
        self, last_index: int, last_term: int, granted: bool
    ) -> None:
        core = make_core(3, (entry(1, 1), entry(2, 2), entry(3, 2)))
        request = VoteRequest(
            4, last_index, last_term, pre=False, transfer=False
        )
        deliver(core, "b", 4, request, now_s=5.0)
        (reply,) = drain_and_sync(core, 5.0)
        assert reply.body == VoteReply(4, pre=False, granted=granted)

    def test_a_restarted_member_does_not_vote_too_early(self) -> None:
        # The member answered a leader, crashed and restarted at once. The
        # leader's lease depends on that answer, so the member must not
        # vote before the promise, which it has forgotten, has expired.
        core = make_core(term=1)
        request = VoteRequest(2, 5, 1, pre=False, transfer=False)
        deliver(core, "b", 2, request, now_s=0.7)
        assert drain_and_sync(core, 0.7) == []
        assert core.state.term == 1
        deliver(core, "b", 2, request, now_s=0.81)
        assert len(drain_and_sync(core, 0.81)) == 1

    def test_a_member_outside_the_membership_grants_no_vote(self) -> None:
        # A member's disk was wiped and it returned with a new id and an
        # empty log. Any candidate's log is at least as up to date as that,
        # so its vote could elect a leader that lacks committed entries.
        fresh = Core(
            "a",
            SETTINGS,
            1,
            Recovered(HardState(1, "", CLUSTER), Snapshot(0, 0, (), b""), ()),
            now_s=0.0,
        )
        request = VoteRequest(2, 5, 1, pre=False, transfer=False)
        deliver(fresh, "b", 2, request, now_s=5.0)
        (reply,) = drain_and_sync(fresh, 5.0)
        assert reply.body == VoteReply(2, pre=False, granted=False)

    def test_votes_of_non_members_are_not_counted(self) -> None:
        core = make_core(term=1)
        core.tick(5.0)
        vote = VoteReply(2, pre=True, granted=True)
        deliver(core, "x", 1, vote, now_s=5.0)
        deliver(core, "y", 1, vote, now_s=5.0)
        assert core.state.role == Role.PRE_CANDIDATE


class TestCommit:
    def test_an_entry_of_an_earlier_term_is_not_committed_alone(
        self,
    ) -> None:
        # An entry of term 2 reaches a majority only now, in term 4. A
        # member with an entry of term 3 at the same index could still win
        # and overwrite it, so the majority alone must not commit it.
        core = make_core(3, (entry(1, 1), entry(2, 2)))
        win_election(core, now_s=5.0)
        deliver(core, "b", 4, append_success(2), now_s=5.0)
        assert core.drain(5.0).committed == ()
        deliver(core, "b", 4, append_success(3), now_s=5.0)
        indexes = [e.log_index for e in core.drain(5.0).committed]
        assert indexes == [1, 2, 3]

    def test_a_leader_counts_its_entries_only_after_its_sync(self) -> None:
        core = make_core(term=1)
        win_election(core, now_s=5.0)
        proposed = core.propose(b"x", 5.0)
        output = core.drain(5.0)
        deliver(core, "b", 2, append_success(proposed.log_index), now_s=5.0)
        first = [e.log_index for e in core.drain(5.0).committed]
        assert first == [1]
        assert output.batch is not None
        core.mark_synced(output.batch.sequence, 5.0)
        second = [e.log_index for e in core.drain(5.0).committed]
        assert second == [2]

    def test_many_proposals_are_sent_in_one_message(self) -> None:
        core = make_core(term=1)
        win_election(core, now_s=5.0)
        deliver(core, "b", 2, append_success(1), now_s=5.0)
        core.drain(5.0)
        for _ in range(100):
            core.propose(b"x", 5.0)
        output = core.drain(5.0)
        sizes = [
            len(m.body.entries)
            for m in output.messages
            if m.to == "b" and isinstance(m.body, Append)
        ]
        assert sizes == [100]

    def test_a_truncated_write_in_flight_does_not_count_as_synced(
        self,
    ) -> None:
        # Entries 1 to 3 of term 1 are being written when a leader of term
        # 2 replaces 2 and 3. When the first write ends, the disk holds the
        # old entries, so the member must not acknowledge the new ones.
        core = make_core(term=1)
        old = Append(0, 0, tuple(entry(i, 1) for i in (1, 2, 3)), 0, STAMP)
        deliver(core, "b", 1, old, now_s=1.0)
        first = core.drain(1.0).batch
        new = Append(1, 1, tuple(entry(i, 2) for i in (2, 3)), 0, STAMP)
        deliver(core, "c", 2, new, now_s=1.0)
        second = core.drain(1.0).batch
        assert first is not None
        assert second is not None
        core.mark_synced(first.sequence, 1.0)
        assert core.state.stable_index < 2
        assert core.drain(1.0).messages == ()
        core.mark_synced(second.sequence, 1.0)
        (reply,) = core.drain(1.0).messages
        assert reply.body == append_success(3)

    def test_a_delayed_append_does_not_truncate_later_entries(self) -> None:
        core = make_core(term=1)
        whole = Append(0, 0, tuple(entry(i, 1) for i in (1, 2, 3)), 0, STAMP)
        deliver(core, "b", 1, whole, now_s=1.0)
        delayed = Append(0, 0, (entry(1, 1),), 0, STAMP)
        deliver(core, "b", 1, delayed, now_s=1.0)
        assert core.state.log.last_index == 3

    def test_a_committed_entry_is_never_overwritten(self) -> None:
        # Only a faulty peer sends such an entry. The member must stop
        # instead of changing entries that it has applied.
        core = make_core(term=1)
        first = Append(0, 0, (entry(1, 1),), 1, STAMP)
        deliver(core, "b", 1, first, now_s=1.0)
        other = Append(0, 0, (entry(1, 2),), 1, STAMP)
        with pytest.raises(SafetyViolated):
            deliver(core, "c", 2, other, now_s=1.0)

    def test_the_hint_skips_a_whole_term(self) -> None:
        core = make_core(3, tuple(entry(i, 2) for i in range(1, 9)))
        probe = Append(8, 3, (), 0, STAMP)
        deliver(core, "b", 4, probe, now_s=1.0)
        (reply,) = drain_and_sync(core, 1.0)
        assert isinstance(reply.body, AppendReply)
        assert reply.body.hint_term == 2
        assert reply.body.hint_index == 1

    def test_too_large_and_too_many_proposals_are_refused(self) -> None:
        core = make_core(term=1)
        win_election(core, now_s=5.0)
        with pytest.raises(ProposalRefused):
            core.propose(b"x" * (SETTINGS.max_command_bytes + 1), 5.0)
        with pytest.raises(ProposalRefused):
            for _ in range(100):
                core.propose(b"x" * SETTINGS.max_command_bytes, 5.0)
