"""Drive one consensus core, or a simulated cluster of them, in tests."""

from __future__ import annotations

from sycamorestand_bench.explore.cluster import Cluster
from sycamorestand_bench.explore.node import Node
from sycamorestand_consensus.core import Core
from sycamorestand_consensus.messages import AppendReply
from sycamorestand_consensus.messages import Body
from sycamorestand_consensus.messages import Entry
from sycamorestand_consensus.messages import EntryKind
from sycamorestand_consensus.messages import HardState
from sycamorestand_consensus.messages import Member
from sycamorestand_consensus.messages import Message
from sycamorestand_consensus.messages import Recovered
from sycamorestand_consensus.messages import Snapshot
from sycamorestand_consensus.messages import Stamp
from sycamorestand_consensus.messages import VoteReply
from sycamorestand_consensus.raft_state import Role
from sycamorestand_consensus.settings import ReplicaSettings

SETTINGS = ReplicaSettings()
CLUSTER = "c"
MEMBERS = tuple(Member(name, f"at-{name}", True) for name in "abc")
STAMP = Stamp(0, 0.0)


def entry(index: int, term: int) -> Entry:
    """Return a command entry with this index and term."""
    return Entry(index, term, EntryKind.COMMAND, b"%d@%d" % (index, term))


def make_core(term: int, entries: tuple[Entry, ...] = ()) -> Core:
    """Return the core of member "a", recovered with these log entries."""
    snapshot = Snapshot(0, 0, MEMBERS, b"")
    recovered = Recovered(HardState(term, "", CLUSTER), snapshot, entries)
    return Core("a", SETTINGS, 1, recovered, now_s=0.0)


def deliver(
    core: Core, sender: str, term: int, body: Body, now_s: float
) -> None:
    """Deliver a message from another member to the core."""
    core.receive(Message(sender, "a", CLUSTER, term, body), now_s)


def drain_and_sync(core: Core, now_s: float) -> list[Message]:
    """Drain the core and mark its batches as synced until none is left.

    Returns the messages that the core sent.
    """
    sent: list[Message] = []
    while True:
        output = core.drain(now_s)
        sent.extend(output.messages)
        if output.batch is None:
            return sent
        core.mark_synced(output.batch.sequence, now_s)


def win_election(core: Core, now_s: float) -> None:
    """Make "a" the leader through a pre-vote and a vote of "b"."""
    campaign = core.state.term + 1
    core.tick(now_s)
    vote = VoteReply(campaign, pre=True, granted=True)
    deliver(core, "b", campaign - 1, vote, now_s)
    drain_and_sync(core, now_s)
    vote = VoteReply(campaign, pre=False, granted=True)
    deliver(core, "b", campaign, vote, now_s)
    drain_and_sync(core, now_s)
    assert core.state.role == Role.LEADER


def append_success(index: int, stamp: Stamp = STAMP) -> AppendReply:
    """Return the reply of a follower that matches up to this index."""
    return AppendReply(True, index, 0, 0, 0, stamp)


def make_cluster(count: int = 3, **settings: int) -> Cluster:
    """Return a simulated cluster that has elected its first leader."""
    cluster = Cluster(count, SETTINGS._replace(**settings), seed=5)
    cluster.bootstrap(cluster.nodes)
    run(cluster, 3.0)
    return cluster


def run(cluster: Cluster, seconds: float) -> None:
    """Advance the time in steps of 0.05 s and deliver the messages."""
    for _ in range(int(seconds / 0.05)):
        cluster.advance(0.05)
        cluster.exchange()


def leader_of(cluster: Cluster) -> Node:
    """Return the only leader; raise `ValueError` unless there is one."""
    (leader,) = cluster.leaders()
    return leader


def other_than(cluster: Cluster, *nodes: Node) -> Node:
    """Return a running node that is not among these."""
    return next(n for n in cluster.running() if n not in nodes)


__all__ = [
    "append_success",
    "CLUSTER",
    "deliver",
    "drain_and_sync",
    "entry",
    "leader_of",
    "make_cluster",
    "make_core",
    "MEMBERS",
    "other_than",
    "run",
    "SETTINGS",
    "STAMP",
    "win_election",
]
