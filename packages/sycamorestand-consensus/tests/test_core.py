"""Elections and commits of the core of a replica."""

from __future__ import annotations

import pytest

from sycamorestand_bench.fakes.core_steps import CLUSTER
from sycamorestand_bench.fakes.core_steps import entry
from sycamorestand_bench.fakes.core_steps import lead
from sycamorestand_bench.fakes.core_steps import leader_of
from sycamorestand_bench.fakes.core_steps import make_cluster
from sycamorestand_bench.fakes.core_steps import make_core
from sycamorestand_bench.fakes.core_steps import matched
from sycamorestand_bench.fakes.core_steps import other_than
from sycamorestand_bench.fakes.core_steps import run
from sycamorestand_bench.fakes.core_steps import say
from sycamorestand_bench.fakes.core_steps import SETTINGS
from sycamorestand_bench.fakes.core_steps import STAMP
from sycamorestand_bench.fakes.core_steps import sync
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
    def test_a_member_back_from_a_long_partition_deposes_nobody(self) -> None:
        # Callers of the leader see nothing. A follower is cut off for ten
        # minutes and its timeout fires again and again, then it returns.
        # Pre-vote kept its term, so the leader has no reason to step down.
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
    def test_a_leader_cut_off_one_way_steps_down(self, inward: bool) -> None:
        # Proposals at the old leader fail. It hears but is not heard, or
        # is heard but does not hear; either way no majority answers it, so
        # it steps down and another member leads.
        cluster = make_cluster()
        old = leader_of(cluster)
        cluster.isolate(old, inward=inward, outward=not inward)
        run(cluster, 10.0)
        assert old.core.state.role != Role.LEADER
        assert leader_of(cluster) is not old

    def test_a_deaf_follower_disturbs_nobody(self) -> None:
        # The follower hears nothing but is heard: it asks for pre-votes
        # all the time. The others hear their leader and refuse.
        cluster = make_cluster()
        leader = leader_of(cluster)
        deaf = other_than(cluster, leader)
        cluster.isolate(deaf, inward=True, outward=False)
        run(cluster, 30.0)
        assert leader_of(cluster) is leader

    def test_a_vote_leaves_after_its_sync(self) -> None:
        # A crash between vote and sync would let the member vote again in
        # the same term, and two leaders could be elected.
        core = make_core(term=1)
        request = VoteRequest(2, 5, 1, pre=False, transfer=False)
        say(core, "b", 2, request, now_s=5.0)
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
    def test_only_a_log_as_new_gets_the_vote(
        self, last_index: int, last_term: int, granted: bool
    ) -> None:
        core = make_core(3, (entry(1, 1), entry(2, 2), entry(3, 2)))
        request = VoteRequest(
            4, last_index, last_term, pre=False, transfer=False
        )
        say(core, "b", 4, request, now_s=5.0)
        (reply,) = sync(core, 5.0)
        assert reply.body == VoteReply(4, pre=False, granted=granted)

    def test_no_vote_for_a_while_after_a_restart(self) -> None:
        # The member answered a leader, crashed and came back at once. The
        # leader's lease rests on that answer, so it must not vote before
        # the promise that it forgot has run out.
        core = make_core(term=1)
        request = VoteRequest(2, 5, 1, pre=False, transfer=False)
        say(core, "b", 2, request, now_s=0.7)
        assert sync(core, 0.7) == []
        assert core.state.term == 1
        say(core, "b", 2, request, now_s=0.81)
        assert len(sync(core, 0.81)) == 1

    def test_a_member_that_nobody_admitted_gives_no_vote(self) -> None:
        # A disk was wiped; its machine came back with a new id and an
        # empty log. Any candidate is as new as that, so its vote would
        # help to elect a leader that misses committed entries.
        fresh = Core(
            "a",
            SETTINGS,
            1,
            Recovered(HardState(1, "", CLUSTER), Snapshot(0, 0, (), b""), ()),
            now_s=0.0,
        )
        request = VoteRequest(2, 5, 1, pre=False, transfer=False)
        say(fresh, "b", 2, request, now_s=5.0)
        (reply,) = sync(fresh, 5.0)
        assert reply.body == VoteReply(2, pre=False, granted=False)

    def test_votes_of_strangers_are_not_counted(self) -> None:
        core = make_core(term=1)
        core.tick(5.0)
        yes = VoteReply(2, pre=True, granted=True)
        say(core, "x", 1, yes, now_s=5.0)
        say(core, "y", 1, yes, now_s=5.0)
        assert core.state.role == Role.PRE_CANDIDATE


class TestCommit:
    def test_an_entry_of_an_earlier_term_waits_for_one_of_the_own(
        self,
    ) -> None:
        # An entry of term 2 reaches a majority only now, in term 4. A
        # member with an entry of term 3 in its place could still win and
        # overwrite it, so it must not be called committed by itself.
        core = make_core(3, (entry(1, 1), entry(2, 2)))
        lead(core, now_s=5.0)
        say(core, "b", 4, matched(2), now_s=5.0)
        assert core.drain(5.0).committed == ()
        say(core, "b", 4, matched(3), now_s=5.0)
        indexes = [e.log_index for e in core.drain(5.0).committed]
        assert indexes == [1, 2, 3]

    def test_own_entries_count_after_the_own_sync(self) -> None:
        core = make_core(term=1)
        lead(core, now_s=5.0)
        proposed = core.propose(b"x", 5.0)
        output = core.drain(5.0)
        say(core, "b", 2, matched(proposed.log_index), now_s=5.0)
        first = [e.log_index for e in core.drain(5.0).committed]
        assert first == [1]
        assert output.batch is not None
        core.mark_synced(output.batch.sequence, 5.0)
        second = [e.log_index for e in core.drain(5.0).committed]
        assert second == [2]

    def test_many_proposals_leave_in_one_message(self) -> None:
        core = make_core(term=1)
        lead(core, now_s=5.0)
        say(core, "b", 2, matched(1), now_s=5.0)
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

    def test_a_write_that_was_truncated_under_way_does_not_count(
        self,
    ) -> None:
        # Entries 1 to 3 of term 1 are being written when a leader of term
        # 2 replaces 2 and 3. The first write ends: the disk holds the old
        # entries, so an answer that claims the new ones would be a lie.
        core = make_core(term=1)
        old = Append(0, 0, tuple(entry(i, 1) for i in (1, 2, 3)), 0, STAMP)
        say(core, "b", 1, old, now_s=1.0)
        first = core.drain(1.0).batch
        new = Append(1, 1, tuple(entry(i, 2) for i in (2, 3)), 0, STAMP)
        say(core, "c", 2, new, now_s=1.0)
        second = core.drain(1.0).batch
        assert first is not None
        assert second is not None
        core.mark_synced(first.sequence, 1.0)
        assert core.state.stable_index < 2
        assert core.drain(1.0).messages == ()
        core.mark_synced(second.sequence, 1.0)
        (reply,) = core.drain(1.0).messages
        assert reply.body == matched(3)

    def test_a_late_append_does_not_cut_what_came_after_it(self) -> None:
        core = make_core(term=1)
        whole = Append(0, 0, tuple(entry(i, 1) for i in (1, 2, 3)), 0, STAMP)
        say(core, "b", 1, whole, now_s=1.0)
        late = Append(0, 0, (entry(1, 1),), 0, STAMP)
        say(core, "b", 1, late, now_s=1.0)
        assert core.state.log.last_index == 3

    def test_a_committed_entry_is_never_overwritten(self) -> None:
        # Only a broken peer asks for this; the member stops rather than
        # change what it has applied.
        core = make_core(term=1)
        first = Append(0, 0, (entry(1, 1),), 1, STAMP)
        say(core, "b", 1, first, now_s=1.0)
        other = Append(0, 0, (entry(1, 2),), 1, STAMP)
        with pytest.raises(SafetyViolated):
            say(core, "c", 2, other, now_s=1.0)

    def test_the_hint_skips_a_whole_term(self) -> None:
        core = make_core(3, tuple(entry(i, 2) for i in range(1, 9)))
        probe = Append(8, 3, (), 0, STAMP)
        say(core, "b", 4, probe, now_s=1.0)
        (reply,) = sync(core, 1.0)
        assert isinstance(reply.body, AppendReply)
        assert reply.body.hint_term == 2
        assert reply.body.hint_index == 1

    def test_too_large_and_too_many_proposals_are_refused(self) -> None:
        core = make_core(term=1)
        lead(core, now_s=5.0)
        with pytest.raises(ProposalRefused):
            core.propose(b"x" * (SETTINGS.max_command_bytes + 1), 5.0)
        with pytest.raises(ProposalRefused):
            for _ in range(100):
                core.propose(b"x" * SETTINGS.max_command_bytes, 5.0)
