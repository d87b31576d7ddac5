"""Faults and ordinary steps that an exploration draws from."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import Final

from sycamorestand_bench.explore.cluster import Cluster
from sycamorestand_bench.explore.node import Node

MOST_NODES: Final = 9

Action = Callable[[Cluster, random.Random], None]


def _pick(cluster: Cluster, draw: random.Random) -> Node | None:
    running = cluster.running()
    return draw.choice(running) if running else None


def _leader(cluster: Cluster, draw: random.Random) -> Node | None:
    leaders = cluster.leaders()
    return draw.choice(leaders) if leaders else _pick(cluster, draw)


def _deliver(cluster: Cluster, draw: random.Random) -> None:
    if cluster.messages:
        cluster.deliver(0)


def _deliver_late(cluster: Cluster, draw: random.Random) -> None:
    if cluster.messages:
        cluster.deliver(draw.randrange(len(cluster.messages)))


def _deliver_twice(cluster: Cluster, draw: random.Random) -> None:
    if cluster.messages:
        position = draw.randrange(len(cluster.messages))
        cluster.deliver(position, keep=True)


def _lose(cluster: Cluster, draw: random.Random) -> None:
    if cluster.messages:
        cluster.messages.pop(draw.randrange(len(cluster.messages)))


def _advance(cluster: Cluster, draw: random.Random) -> None:
    cluster.advance(draw.choice((0.001, 0.005, 0.02, 0.1)))


def _advance_far(cluster: Cluster, draw: random.Random) -> None:
    cluster.advance(draw.uniform(0.5, 3.0))


def _exchange(cluster: Cluster, draw: random.Random) -> None:
    # Without the syncs answers run ahead of the disks, which is when a
    # crash loses most.
    if draw.random() < 0.5:
        cluster.exchange()
    else:
        cluster.deliver_all()


def _campaign(cluster: Cluster, draw: random.Random) -> None:
    # Time moves to the first election timeout and no further: a longer
    # step would make all members campaign at once and elect nobody.
    due_s = [
        node.true_time_of(node.core.next_wake_s())
        for node in cluster.running()
        if node not in cluster.leaders() and not node.core.is_blank
    ]
    if due_s:
        cluster.advance(max(0.0, min(due_s) - cluster.true_s) + 0.001)


def _sync(cluster: Cluster, draw: random.Random) -> None:
    node = _pick(cluster, draw)
    if node is not None:
        cluster.sync(node, draw.choice((1, 1, 100)))


def _crash(cluster: Cluster, draw: random.Random) -> None:
    node = _pick(cluster, draw)
    if node is not None:
        cluster.crash(node, draw.choice((0, 0, 1)))


def _crash_leader(cluster: Cluster, draw: random.Random) -> None:
    node = _leader(cluster, draw)
    if node is not None:
        cluster.crash(node, draw.choice((0, 0, 1)))


def _orphan(cluster: Cluster, draw: random.Random) -> None:
    # The leader syncs an entry that nobody receives and stops: logs that
    # part in this way are what the rule on earlier terms is about.
    node = _leader(cluster, draw)
    if node is None:
        return
    cluster.propose(node)
    cluster.sync(node, draw.choice((0, 100)))
    cluster.messages[:] = [
        message for message in cluster.messages if message.sender != node.name
    ]
    cluster.crash(node, 0)


def _take_turns(cluster: Cluster, draw: random.Random) -> None:
    # Members lead in turn and stop before a majority has their entries.
    # Drawn one by one these steps hardly ever follow each other.
    down = [n for n in cluster.nodes if not n.up and not n.wiped]
    _orphan(cluster, draw)
    if down:
        draw.choice(down).start()
    _campaign(cluster, draw)
    for _ in range(draw.randrange(6)):
        cluster.exchange()
    for _ in range(draw.randrange(12)):
        draw.choice((_deliver, _sync))(cluster, draw)


def _bounce(cluster: Cluster, draw: random.Random) -> None:
    node = _pick(cluster, draw)
    if node is not None:
        cluster.crash(node, draw.choice((0, 1)))
        node.start()
        node.pump()


def _bounce_disk(cluster: Cluster, draw: random.Random) -> None:
    node = _leader(cluster, draw)
    if node is not None and not node.disk.full:
        node.set_disk_full(True)
        node.pump()
        node.set_disk_full(False)
        node.pump()


def _restart(cluster: Cluster, draw: random.Random) -> None:
    down = [n for n in cluster.nodes if not n.up and not n.wiped]
    if down:
        node = draw.choice(down)
        node.start()
        node.pump()


def _propose(cluster: Cluster, draw: random.Random) -> None:
    node = _leader(cluster, draw)
    if node is not None:
        cluster.propose(node)


def _read(cluster: Cluster, draw: random.Random) -> None:
    node = _leader(cluster, draw)
    if node is not None:
        cluster.read(node)


def _isolate(cluster: Cluster, draw: random.Random) -> None:
    node = _pick(cluster, draw)
    if node is not None:
        inward, outward = draw.choice(
            ((True, True), (True, False), (False, True))
        )
        cluster.isolate(node, inward=inward, outward=outward)


def _isolate_leader(cluster: Cluster, draw: random.Random) -> None:
    node = _leader(cluster, draw)
    if node is not None:
        cluster.isolate(node, inward=True, outward=True)


def _cut_pair(cluster: Cluster, draw: random.Random) -> None:
    leader = _leader(cluster, draw)
    other = _pick(cluster, draw)
    if leader is not None and other is not None:
        cluster.cut.add((leader.name, other.name))
        cluster.cut.add((other.name, leader.name))


def _cut_and_bounce(cluster: Cluster, draw: random.Random) -> None:
    # One member loses its leader while another one, whose answers hold
    # the leader's lease, restarts and may have forgotten them.
    _cut_pair(cluster, draw)
    for _ in range(draw.randrange(16)):
        cluster.advance(0.1)
        cluster.exchange()
    _bounce(cluster, draw)
    for _ in range(draw.randrange(8)):
        cluster.advance(0.1)
        cluster.exchange()


def _heal(cluster: Cluster, draw: random.Random) -> None:
    cluster.cut.clear()


def _fill_disk(cluster: Cluster, draw: random.Random) -> None:
    node = _pick(cluster, draw)
    if node is not None:
        node.set_disk_full(not node.disk.full)
        node.pump()


def _free_disks(cluster: Cluster, draw: random.Random) -> None:
    for node in cluster.running():
        node.set_disk_full(False)


def _compact(cluster: Cluster, draw: random.Random) -> None:
    node = _pick(cluster, draw)
    if node is not None:
        node.compact()
        node.pump()


def _wipe(cluster: Cluster, draw: random.Random) -> None:
    node = _pick(cluster, draw)
    if node is None or len(cluster.nodes) >= MOST_NODES:
        return
    if node.core.is_blank:
        return
    if cluster.wipe(node):
        cluster.add_node()


def _admit(cluster: Cluster, draw: random.Random) -> None:
    leader = _leader(cluster, draw)
    alive = [n for n in cluster.nodes if not n.wiped]
    if leader is not None:
        cluster.admit(leader, draw.choice(alive).name)


def _promote(cluster: Cluster, draw: random.Random) -> None:
    leader = _leader(cluster, draw)
    if leader is not None:
        gone = {node.name for node in cluster.nodes if node.wiped}
        learners = [
            member.member_id
            for member in leader.core.state.membership
            if not member.voter and member.member_id not in gone
        ]
        if learners:
            cluster.promote(leader, draw.choice(learners))


def _remove(cluster: Cluster, draw: random.Random) -> None:
    leader = _leader(cluster, draw)
    gone = [n for n in cluster.nodes if n.wiped]
    if leader is None:
        return
    candidates = gone or cluster.nodes
    cluster.remove(leader, draw.choice(candidates).name)


def _transfer(cluster: Cluster, draw: random.Random) -> None:
    leader = _leader(cluster, draw)
    if leader is not None:
        target = draw.choice((None, draw.choice(cluster.nodes).name))
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

# Without these a run stands still and finds nothing.
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
