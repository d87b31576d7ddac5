"""The Raft core: the protocol's rules without clock, network or disk.

The inputs are messages, ticks, proposals and completed syncs; each carries
the current time. ``drain`` returns the work for the owner since its last
call. The same inputs and seed produce the same outputs, so a fault that an
exploration finds can be replayed.

Example: a single member elects itself once its first batch is synced::

    core = Core("a", settings, 1, recovered, now_s=0.0)
    core.bootstrap((("a", "10.0.0.1:7000"),), 0.0)
    batch = core.drain(0.0).batch
    core.mark_synced(batch.sequence, 0.1)
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from sycamorestand_consensus import change
from sycamorestand_consensus.commit import advance_commit
from sycamorestand_consensus.commit import confirm_barriers
from sycamorestand_consensus.election import become_follower
from sycamorestand_consensus.election import campaign_due_s
from sycamorestand_consensus.election import can_campaign
from sycamorestand_consensus.election import set_election_deadline
from sycamorestand_consensus.election import start_pre_vote
from sycamorestand_consensus.errors import BootstrapRefused
from sycamorestand_consensus.errors import CommandRefused
from sycamorestand_consensus.errors import NotLeader
from sycamorestand_consensus.errors import ProposalRefused
from sycamorestand_consensus.inbox import handle_message
from sycamorestand_consensus.lease import assume_promise
from sycamorestand_consensus.lease import claim_lease_s
from sycamorestand_consensus.lease import quorum_sent_s
from sycamorestand_consensus.lease import record_leadership
from sycamorestand_consensus.membership import cluster_id
from sycamorestand_consensus.messages import Batch
from sycamorestand_consensus.messages import Entry
from sycamorestand_consensus.messages import EntryKind
from sycamorestand_consensus.messages import HardState
from sycamorestand_consensus.messages import Member
from sycamorestand_consensus.messages import Message
from sycamorestand_consensus.messages import Recovered
from sycamorestand_consensus.messages import Snapshot
from sycamorestand_consensus.progress import Barrier
from sycamorestand_consensus.raft_state import append_entries
from sycamorestand_consensus.raft_state import close_batch
from sycamorestand_consensus.raft_state import is_backlogged
from sycamorestand_consensus.raft_state import mark_batches_synced
from sycamorestand_consensus.raft_state import membership_at
from sycamorestand_consensus.raft_state import RaftState
from sycamorestand_consensus.raft_state import Role
from sycamorestand_consensus.raft_state import save_snapshot
from sycamorestand_consensus.raft_state import set_hard_state
from sycamorestand_consensus.replication import replicate
from sycamorestand_consensus.replication import restart_snapshots
from sycamorestand_consensus.replication import send_heartbeats
from sycamorestand_consensus.settings import ReplicaSettings


class Output(NamedTuple):
    """Work for the owner, to be done in the order of the fields.

    Messages may be sent at once. ``batch`` is to be written and synced,
    then reported with ``mark_synced``. ``install`` replaces the state of
    the state machine before ``committed`` is applied to it. A read whose
    barrier is in ``confirmed`` may proceed once its index is applied.
    """

    messages: tuple[Message, ...]
    batch: Batch | None
    install: Snapshot | None
    committed: tuple[Entry, ...]
    confirmed: tuple[Barrier, ...]


class Core:
    """Raft core of one member."""

    def __init__(
        self,
        member_id: str,
        settings: ReplicaSettings,
        seed: int,
        recovered: Recovered,
        now_s: float,
    ) -> None:
        """Start with the state recovered from disk."""
        self.state = RaftState(member_id, settings, seed, recovered, now_s)
        set_election_deadline(self.state)
        if not self.is_blank:
            assume_promise(self.state)

    @property
    def is_blank(self) -> bool:
        """Return whether this member belongs to no group yet."""
        return self.state.hard.cluster == ""

    def bootstrap(
        self, members: Sequence[tuple[str, str]], now_s: float
    ) -> None:
        """Start a new group; see ``Replica.bootstrap``."""
        state = self.state
        state.now_s = now_s
        ids = {member_id for member_id, _ in members}
        if not self.is_blank:
            raise BootstrapRefused("this member belongs to a group already")
        if state.member_id not in ids or len(ids) != len(members):
            raise BootstrapRefused("the list must name each member once")
        membership = tuple(sorted(Member(m, a, True) for m, a in members))
        set_hard_state(state, HardState(0, "", cluster_id(members)))
        save_snapshot(state, Snapshot(0, 0, membership, b""))
        state.memberships = [(0, membership)]
        set_election_deadline(state)
        if len(ids) == 1:
            state.election_deadline_s = now_s
        self.tick(now_s)

    def receive(self, message: Message, now_s: float) -> None:
        """Process a message from another member."""
        self.state.now_s = now_s
        handle_message(self.state, message)
        self._process_loopback()

    def mark_synced(self, sequence: int, now_s: float) -> None:
        """Record that all batches up to ``sequence`` are synced."""
        state = self.state
        state.now_s = now_s
        mark_batches_synced(state, sequence)
        advance_commit(state)
        self._process_loopback()

    def tick(self, now_s: float) -> None:
        """Process the timeouts that are due at ``now_s``."""
        state = self.state
        state.now_s = now_s
        if state.role == Role.LEADER:
            self._tick_leader()
        elif now_s >= self.next_wake_s():
            self._tick_without_leader()
        self._process_loopback()

    def next_wake_s(self) -> float:
        """Return the time at which the next tick is due."""
        state = self.state
        if state.role == Role.LEADER:
            return state.heartbeat_due_s
        return campaign_due_s(state)

    def propose(self, command: bytes, now_s: float) -> Entry:
        """Append a command and return its entry, which may yet be lost.

        Raises ``NotLeader`` or ``ProposalRefused``.
        """
        state = self.state
        state.now_s = now_s
        if state.role != Role.LEADER:
            raise NotLeader(state.leader_id)
        if state.transfer is not None:
            raise NotLeader(state.transfer.target)
        settings = state.settings
        if len(command) > settings.max_command_bytes:
            raise CommandRefused(f"{len(command)} bytes are too many")
        uncommitted_bytes = state.log.size_after(state.commit_index)
        if uncommitted_bytes > settings.max_backlog_bytes:
            raise ProposalRefused("too many bytes wait for their commit")
        if is_backlogged(state):
            raise ProposalRefused("too many bytes wait for the disk")
        index = state.log.last_index + 1
        entry = Entry(index, state.term, EntryKind.COMMAND, command)
        append_entries(state, (entry,))
        return entry

    def read_barrier(self, barrier_id: int, now_s: float) -> None:
        """Start to confirm with a majority that this member leads.

        ``drain`` returns the barrier once it is confirmed. Raises
        ``NotLeader``.
        """
        state = self.state
        state.now_s = now_s
        if state.role != Role.LEADER:
            raise NotLeader(state.leader_id)
        state.round += 1
        index = max(state.commit_index, state.term_start_index)
        state.barriers.append(Barrier(barrier_id, state.round, index))
        state.heartbeat_due_s = now_s

    def add_learner(self, member_id: str, address: str, now_s: float) -> int:
        """Append a change that adds a learner; return its index."""
        self.state.now_s = now_s
        return change.add_learner(self.state, member_id, address)

    def promote(self, member_id: str, now_s: float) -> int:
        """Append a change that promotes a learner; return its index."""
        self.state.now_s = now_s
        return change.promote(self.state, member_id)

    def remove(self, member_id: str, now_s: float) -> int:
        """Append a change that removes a member; return its index."""
        self.state.now_s = now_s
        return change.remove(self.state, member_id)

    def transfer(self, target: str | None, now_s: float) -> None:
        """Start to transfer leadership; see ``transfer_leadership``."""
        self.state.now_s = now_s
        change.start_transfer(self.state, target)

    def set_blocked(self, blocked: bool, now_s: float) -> None:
        """Block this member while its disk is full, or unblock it.

        A blocked member steps down, neither votes nor campaigns and
        accepts no entries.
        """
        state = self.state
        state.now_s = now_s
        state.blocked = blocked
        if blocked and state.role != Role.FOLLOWER:
            become_follower(state, state.term, "")

    def compact(self, index: int, data: bytes, now_s: float) -> None:
        """Record ``data`` as the state machine's snapshot after ``index``."""
        state = self.state
        state.now_s = now_s
        term = state.log.term_at(index)
        if term is None or index <= state.snapshot.last_index:
            return
        membership = membership_at(state, index)
        save_snapshot(state, Snapshot(index, term, membership, data))
        restart_snapshots(state)

    def claim_lease_until_s(self, now_s: float) -> float:
        """Claim the leader's lease; return its end, 0 if there is none."""
        self.state.now_s = now_s
        return claim_lease_s(self.state)

    def drain(self, now_s: float) -> Output:
        """Return the work that has accumulated since the last call."""
        state = self.state
        state.now_s = now_s
        self._process_loopback()
        if state.role == Role.LEADER:
            if now_s >= state.heartbeat_due_s:
                send_heartbeats(state)
            replicate(state)
            confirm_barriers(state)
        output = Output(
            messages=tuple(state.outgoing),
            batch=close_batch(state),
            install=state.install,
            committed=_next_committed(state),
            confirmed=tuple(state.confirmed),
        )
        state.outgoing.clear()
        state.confirmed.clear()
        state.install = None
        return output

    def _tick_leader(self) -> None:
        state = self.state
        silent_s = state.now_s - quorum_sent_s(state)
        # A leader that no majority answers cannot commit. It steps down so
        # that its callers look for another leader instead of waiting.
        if silent_s > state.settings.election_max_s:
            become_follower(state, state.term, "")
            return
        record_leadership(state)

    def _tick_without_leader(self) -> None:
        state = self.state
        if can_campaign(state):
            start_pre_vote(state)
        else:
            state.leader_id = ""
            set_election_deadline(state)

    def _process_loopback(self) -> None:
        state = self.state
        while state.loopback:
            handle_message(state, state.loopback.popleft())
        if state.role == Role.LEADER and change.advance_transfer(state):
            become_follower(state, state.term, "")


def _next_committed(state: RaftState) -> tuple[Entry, ...]:
    first = state.emitted_index + 1
    committed = state.log.between(first, state.commit_index)
    state.emitted_index = state.commit_index
    return committed


__all__ = ["Core", "Output"]
