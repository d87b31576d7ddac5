"""A simulated cluster: its members and the network between them."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import random
from typing import Final

from sycamorestand_bench.explore.checks import Checker
from sycamorestand_bench.explore.checks import HashMachine
from sycamorestand_bench.explore.checks import MachineFactory
from sycamorestand_bench.explore.node import Node
from sycamorestand_consensus.errors import MembershipRefused
from sycamorestand_consensus.errors import NotLeader
from sycamorestand_consensus.errors import ProposalRefused
from sycamorestand_consensus.errors import TransferFailed
from sycamorestand_consensus.membership import find_member
from sycamorestand_consensus.membership import voters
from sycamorestand_consensus.messages import Membership
from sycamorestand_consensus.messages import Message
from sycamorestand_consensus.raft_state import Role
from sycamorestand_consensus.settings import CLOCK_RATE_MARGIN
from sycamorestand_consensus.settings import ReplicaSettings

# Beyond this number, the oldest messages are lost. The number allows
# reordering across several terms, but keeps stale messages from making up
# most of a run.
MESSAGES_KEPT: Final = 200
SETTLE_STEP_S: Final = 0.02
MAX_SETTLE_STEPS: Final = 1500

REFUSALS: Final = (
    MembershipRefused,
    NotLeader,
    ProposalRefused,
    TransferFailed,
)


class Cluster:
    """Members, undelivered messages, and cut connections.

    ``cut`` holds pairs of a sender and a receiver.
    """

    def __init__(
        self,
        count: int,
        settings: ReplicaSettings,
        seed: int,
        make_machine: MachineFactory = HashMachine,
    ) -> None:
        """Create ``count`` blank members without bootstrapping them."""
        self.random = random.Random(seed)
        self.checker = Checker(make_machine)
        self.nodes: list[Node] = []
        self.messages: list[Message] = []
        self.cut: set[tuple[str, str]] = set()
        self.true_s = 0.0
        self._settings = settings
        self._make_machine = make_machine
        self._proposals = 0
        self._barriers = 0
        for _ in range(count):
            self.add_node()

    def add_node(self) -> Node:
        """Add a blank member with its own disk and clock, and start it."""
        spread = CLOCK_RATE_MARGIN * 0.99
        rate = 1.0 + self.random.uniform(-spread, spread)
        node = Node(
            f"n{len(self.nodes)}",
            self._settings,
            self.checker,
            self._make_machine,
            self.random.getrandbits(32),
            rate,
            self._send,
        )
        node.set_time(self.true_s)
        node.start()
        self.nodes.append(node)
        return node

    def bootstrap(self, nodes: Sequence[Node]) -> None:
        """Bootstrap a new group with these members as voters."""
        members = tuple((node.name, f"at-{node.name}") for node in nodes)
        for node in nodes:
            node.core.bootstrap(members, node.local_s)
            node.pump()
            self.sync(node, node.disk.unsynced)

    def running(self) -> list[Node]:
        """Return the members that are up."""
        return [node for node in self.nodes if node.up]

    def leaders(self) -> list[Node]:
        """Return the members that consider themselves leader."""
        running = self.running()
        return [n for n in running if n.core.state.role == Role.LEADER]

    def advance(self, seconds: float) -> None:
        """Advance all clocks and tick the members that are up."""
        self.true_s += seconds
        for node in self.nodes:
            node.set_time(self.true_s)
            if node.up:
                node.core.tick(node.local_s)
                node.pump()

    def deliver(self, position: int, *, keep: bool = False) -> None:
        """Deliver one message, unless its connection is cut.

        With ``keep``, the message stays queued and can arrive again.
        """
        message = self.messages[position]
        if not keep:
            self.messages.pop(position)
        if (message.sender, message.to) in self.cut:
            return
        for node in self.nodes:
            if node.name == message.to and node.up:
                node.core.receive(message, node.local_s)
                node.pump()

    def sync(self, node: Node, count: int) -> None:
        """Complete the sync of up to ``count`` batches of a member."""
        node.sync(count)
        node.pump()

    def crash(self, node: Node, kept: int) -> None:
        """Crash a member; ``kept`` unsynced batches survive."""
        node.crash(kept)

    def wipe(self, node: Node) -> bool:
        """Lose a member and its disk for good.

        Returns false, and does nothing, if too few voters would remain for
        a majority of any membership still in use.
        """
        if not self._can_lose(node):
            return False
        node.crash(0)
        node.wiped = True
        return True

    def propose(self, node: Node) -> None:
        """Propose a unique command."""
        self._proposals += 1
        command = b"c%d" % self._proposals
        self._call_core(node, lambda: node.core.propose(command, node.local_s))

    def read(self, node: Node) -> None:
        """Request a read barrier and record the entries that it must see."""
        self._barriers += 1
        node.barriers[self._barriers] = len(self.checker.committed)
        number = self._barriers
        self._call_core(
            node, lambda: node.core.read_barrier(number, node.local_s)
        )

    def admit(self, node: Node, name: str) -> None:
        """Ask a member to add a learner."""
        address = f"at-{name}"
        self._call_core(
            node, lambda: node.core.add_learner(name, address, node.local_s)
        )

    def promote(self, node: Node, name: str) -> None:
        """Ask a member to promote a learner."""
        self._call_core(node, lambda: node.core.promote(name, node.local_s))

    def remove(self, node: Node, name: str) -> None:
        """Ask a member to remove another one or itself."""
        self._call_core(node, lambda: node.core.remove(name, node.local_s))

    def transfer(self, node: Node, target: str | None) -> None:
        """Ask a member to transfer leadership.

        Without a target, the member chooses one.
        """
        self._call_core(node, lambda: node.core.transfer(target, node.local_s))

    def isolate(self, node: Node, *, inward: bool, outward: bool) -> None:
        """Cut all connections to a member, from it, or both."""
        for other in self.nodes:
            if inward:
                self.cut.add((other.name, node.name))
            if outward:
                self.cut.add((node.name, other.name))

    def exchange(self) -> None:
        """Deliver all messages in order and complete all syncs."""
        self.deliver_all()
        for node in self.running():
            self.sync(node, node.disk.unsynced)

    def deliver_all(self) -> None:
        """Deliver all messages in order, but not the replies to them."""
        for _ in range(len(self.messages)):
            self.deliver(0)

    def settle(self) -> bool:
        """End all faults and run until a new command commits.

        Returns whether it commits and all members catch up within
        `MAX_SETTLE_STEPS`. After faults that leave a majority of the voters
        intact, the group must make progress again.
        """
        self.cut.clear()
        for node in self.nodes:
            node.set_disk_full(False)
            if not node.up and not node.wiped:
                node.start()
        before = self._count_commands()
        for _ in range(MAX_SETTLE_STEPS):
            self._settle_step()
            committed = self._count_commands() > before
            if committed and self._has_caught_up():
                return True
            for leader in self.leaders():
                if not committed:
                    self.propose(leader)
        return False

    def _settle_step(self) -> None:
        self.advance(SETTLE_STEP_S)
        self.exchange()

    def _count_commands(self) -> int:
        return sum(1 for e in self.checker.committed if e.data[:1] == b"c")

    def _has_caught_up(self) -> bool:
        lag = 10 + self._settings.trailing_entries
        min_index = len(self.checker.committed) - lag
        return all(
            node.applied_index >= min_index
            for leader in self.leaders()
            for node in self.running()
            if find_member(leader.core.state.membership, node.name)
        )

    def _can_lose(self, lost: Node) -> bool:
        gone = {node.name for node in self.nodes if node.wiped}
        gone.add(lost.name)
        return all(
            len(gone & set(ids)) <= (len(ids) - 1) // 2
            for ids in map(voters, self._memberships())
        )

    def _memberships(self) -> list[Membership]:
        kept = [node for node in self.nodes if not node.wiped]
        return [
            membership
            for node in kept
            for _, membership in node.core.state.memberships
            if membership
        ]

    def _call_core(self, node: Node, action: Callable[[], object]) -> None:
        if not node.up:
            return
        with contextlib.suppress(*REFUSALS):
            action()
        node.pump()

    def _send(self, message: Message) -> None:
        self.messages.append(message)
        if len(self.messages) > MESSAGES_KEPT:
            self.messages.pop(0)


__all__ = ["Cluster"]
