"""Faults and ordinary steps that an exploration chooses from at random."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import Final

from sycamorestand_bench.explore.cluster import Cluster
from sycamorestand_bench.explore.node import Node

MAX_NODES: Final = 9

Action = Callable[[Cluster, random.Random], None]


def _random_node(cluster: Cluster, rng: random.Random) -> Node | None:
    running = cluster.running()
    return rng.choice(running) if running else None


def _leader_or_any(cluster: Cluster, rng: random.Random) -> Node | None:
    leaders = cluster.leaders()
    return rng.choice(leaders) if leaders else _random_node(cluster, rng)


def _deliver(cluster: Cluster, rng: random.Random) -> None:
    if cluster.messages:
        cluster.deliver(0)


def _deliver_late(cluster: Cluster, rng: random.Random) -> None:
    if cluster.messages:
        cluster.deliver(rng.randrange(len(cluster.messages)))


def _deliver_twice(cluster: Cluster, rng: random.Random) -> None:
    if cluster.messages:
        position = rng.randrange(len(cluster.messages))
        cluster.deliver(position, keep=True)


def _lose(cluster: Cluster, rng: random.Random) -> None:
    if cluster.messages:
        cluster.messages.pop(rng.randrange(len(cluster.messages)))


def _advance(cluster: Cluster, rng: random.Random) -> None:
    cluster.advance(rng.choice((0.001, 0.005, 0.02, 0.1)))


def _advance_far(cluster: Cluster, rng: random.Random) -> None:
    cluster.advance(rng.uniform(0.5, 3.0))


def _exchange(cluster: Cluster, rng: random.Random) -> None:
    # Without the syncs, replies are sent before the disks have synced, and a
    # crash then loses the most.
    if rng.random() < 0.5:
        cluster.exchange()
    else:
        cluster.deliver_all()


def _campaign(cluster: Cluster, rng: random.Random) -> None:
    # The clock advances only to the first election timeout. After a longer
    # step, all members would campaign at the same time and split the votes.
    due_s = [
        node.true_time_of(node.core.next_wake_s())
        for node in cluster.running()
        if node not in cluster.leaders() and not node.core.is_blank
    ]
    if due_s:
        cluster.advance(max(0.0, min(due_s) - cluster.true_s) + 0.001)


def _sync(cluster: Cluster, rng: random.Random) -> None:
    node = _random_node(cluster, rng)
    if node is not None:
        cluster.sync(node, rng.choice((1, 1, 100)))


def _crash(cluster: Cluster, rng: random.Random) -> None:
    node = _random_node(cluster, rng)
    if node is not None:
        cluster.crash(node, rng.choice((0, 0, 1)))


def _crash_leader(cluster: Cluster, rng: random.Random) -> None:
    node = _leader_or_any(cluster, rng)
    if node is not None:
        cluster.crash(node, rng.choice((0, 0, 1)))


def _orphan(cluster: Cluster, rng: random.Random) -> None:
    # The leader syncs an entry that no other member receives, and crashes.
    # The rule on committing entries of earlier terms exists for logs that
    # diverge in this way.
    node = _leader_or_any(cluster, rng)
    if node is None:
        return
    cluster.propose(node)
    cluster.sync(node, rng.choice((0, 100)))
    cluster.messages[:] = [
        message for message in cluster.messages if message.sender != node.name
    ]
    cluster.crash(node, 0)


def _take_turns(cluster: Cluster, rng: random.Random) -> None:
    # Members lead in turn and crash before a majority has their entries.
    # As independent random actions, these steps would hardly ever occur in
    # this order.
    down = [n for n in cluster.nodes if not n.up and not n.wiped]
    _orphan(cluster, rng)
    if down:
        rng.choice(down).start()
    _campaign(cluster, rng)
    for _ in range(rng.randrange(6)):
        cluster.exchange()
    for _ in range(rng.randrange(12)):
        rng.choice((_deliver, _sync))(cluster, rng)


def _bounce(cluster: Cluster, rng: random.Random) -> None:
    node = _random_node(cluster, rng)
    if node is not None:
        cluster.crash(node, rng.choice((0, 1)))
        node.start()
        node.pump()


def _bounce_disk(cluster: Cluster, rng: random.Random) -> None:
    node = _leader_or_any(cluster, rng)
    if node is not None and not node.disk.full:
        node.set_disk_full(True)
        node.pump()
        node.set_disk_full(False)
        node.pump()


def _restart(cluster: Cluster, rng: random.Random) -> None:
    down = [n for n in cluster.nodes if not n.up and not n.wiped]
    if down:
        node = rng.choice(down)
        node.start()
        node.pump()


def _propose(cluster: Cluster, rng: random.Random) -> None:
    node = _leader_or_any(cluster, rng)
    if node is not None:
        cluster.propose(node)


def _read(cluster: Cluster, rng: random.Random) -> None:
    node = _leader_or_any(cluster, rng)
    if node is not None:
        cluster.read(node)


def _isolate(cluster: Cluster, rng: random.Random) -> None:
    node = _random_node(cluster, rng)
    if node is not None:
        inward, outward = rng.choice(
            ((True, True), (True, False), (False, True))
        )
        cluster.isolate(node, inward=inward, outward=outward)


def _isolate_leader(cluster: Cluster, rng: random.Random) -> None:
    node = _leader_or_any(cluster, rng)
    if node is not None:
        cluster.isolate(node, inward=True, outward=True)


def _cut_pair(cluster: Cluster, rng: random.Random) -> None:
    leader = _leader_or_any(cluster, rng)
    other = _random_node(cluster, rng)
    if leader is not None and other is not None:
        cluster.cut.add((leader.name, other.name))
        cluster.cut.add((other.name, leader.name))


def _cut_and_bounce(cluster: Cluster, rng: random.Random) -> None:
    # One member loses its connection to the leader. Another member, whose
    # replies the leader's lease depends on, restarts and may have lost its
    # promise not to vote.
    _cut_pair(cluster, rng)
    for _ in range(rng.randrange(16)):
        cluster.advance(0.1)
        cluster.exchange()
    _bounce(cluster, rng)
    for _ in range(rng.randrange(8)):
        cluster.advance(0.1)
        cluster.exchange()


def _heal(cluster: Cluster, rng: random.Random) -> None:
    cluster.cut.clear()


def _fill_disk(cluster: Cluster, rng: random.Random) -> None:
    node = _random_node(cluster, rng)
    if node is not None:
        node.set_disk_full(not node.disk.full)
        node.pump()


def _free_disks(cluster: Cluster, rng: random.Random) -> None:
    for node in cluster.running():
        node.set_disk_full(False)


def _compact(cluster: Cluster, rng: random.Random) -> None:
    node = _random_node(cluster, rng)
    if node is not None:
        node.compact()
        node.pump()


def _wipe(cluster: Cluster, rng: random.Random) -> None:
    node = _random_node(cluster, rng)
    if node is None or len(cluster.nodes) >= MAX_NODES:
        return
    if node.core.is_blank:
        return
    if cluster.wipe(node):
        cluster.add_node()


def _admit(cluster: Cluster, rng: random.Random) -> None:
    leader = _leader_or_any(cluster, rng)
    alive = [n for n in cluster.nodes if not n.wiped]
    if leader is not None:
        cluster.admit(leader, rng.choice(alive).name)


def _promote(cluster: Cluster, rng: random.Random) -> None:
    leader = _leader_or_any(cluster, rng)
    if leader is not None:
        gone = {node.name for node in cluster.nodes if node.wiped}
        learners = [
            member.member_id
            for member in leader.core.state.membership
            if not member.voter and member.member_id not in gone
        ]
        if learners:
            cluster.promote(leader, rng.choice(learners))


def _remove(cluster: Cluster, rng: random.Random) -> None:
    leader = _leader_or_any(cluster, rng)
    gone = [n for n in cluster.nodes if n.wiped]
    if leader is None:
        return
    candidates = gone or cluster.nodes
    cluster.remove(leader, rng.choice(candidates).name)


def _transfer(cluster: Cluster, rng: random.Random) -> None:
    leader = _leader_or_any(cluster, rng)
    if leader is not None:
        target = rng.choice((None, rng.choice(cluster.nodes).name))
        cluster.transfer(leader, target)


ACTIONS: Final[dict[str, Action]] = {
    "deliver": _deliver,
    "deliver_late": _deliver_late,
    "deliver_twice": _deliver_twice,
    "lose": _lose,
    "exchange": _exchange,
    "advance": _advance,
    "campaign": _campaign,
    "advance_far": _advance_far,
    "sync": _sync,
    "crash": _crash,
    "crash_leader": _crash_leader,
    "orphan": _orphan,
    "take_turns": _take_turns,
    "bounce": _bounce,
    "bounce_disk": _bounce_disk,
    "restart": _restart,
    "propose": _propose,
    "read": _read,
    "isolate": _isolate,
    "isolate_leader": _isolate_leader,
    "cut_pair": _cut_pair,
    "cut_and_bounce": _cut_and_bounce,
    "heal": _heal,
    "fill_disk": _fill_disk,
    "free_disks": _free_disks,
    "compact": _compact,
    "wipe": _wipe,
    "admit": _admit,
    "promote": _promote,
    "remove": _remove,
    "transfer": _transfer,
}

WEIGHTS: Final[dict[str, float]] = {
    "deliver": 30.0,
    "deliver_late": 10.0,
    "deliver_twice": 2.0,
    "lose": 2.0,
    "exchange": 10.0,
    "advance": 10.0,
    "advance_far": 0.1,
    "campaign": 2.0,
    "sync": 20.0,
    "crash": 0.15,
    "crash_leader": 0.2,
    "orphan": 0.3,
    "take_turns": 0.3,
    "bounce": 0.3,
    "bounce_disk": 0.1,
    "restart": 4.0,
    "propose": 4.0,
    "read": 2.0,
    "isolate": 0.1,
    "isolate_leader": 0.2,
    "cut_pair": 0.3,
    "cut_and_bounce": 0.1,
    "heal": 2.0,
    "fill_disk": 0.05,
    "free_disks": 1.0,
    "compact": 1.0,
    "wipe": 0.15,
    "admit": 1.0,
    "promote": 1.0,
    "remove": 0.5,
    "transfer": 0.2,
}

# Each run includes these actions; without them it would make no progress and
# find nothing.
ALWAYS: Final = frozenset(
    {
        "deliver",
        "exchange",
        "advance",
        "campaign",
        "sync",
        "restart",
        "propose",
        "heal",
        "free_disks",
    }
)


__all__ = ["ACTIONS", "ALWAYS", "WEIGHTS"]
