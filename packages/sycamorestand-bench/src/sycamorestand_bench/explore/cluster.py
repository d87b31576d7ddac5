"""A handful of simulated members and the network between them."""

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

# Older messages are lost beyond this many: enough for reordering across
# several terms, few enough that a run does not drown in stale ones.
MESSAGES_KEPT: Final = 200
FAIR_STEP_S: Final = 0.02
FAIR_STEPS: Final = 1500

REFUSALS: Final = (
    MembershipRefused,
    NotLeader,
    ProposalRefused,
    TransferFailed,
)


class Cluster:
    """Members, messages under way, and cut connections."""

    def __init__(
        self,
        count: int,
        settings: ReplicaSettings,
        seed: int,
        make_machine: MachineFactory = HashMachine,
    ) -> None:
        """Make ``count`` blank members; none is bootstrapped."""
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
        """Add a blank member with a disk and a clock of its own."""
        spread = CLOCK_RATE_MARGIN * 0.99
        rate = 1.0 + self.random.uniform(-spread, spread)
        node = Node(
            f"n{len(self.nodes)}",
            self._settings,
            self.checker,
            self._make_machine,
            self.random.getrandbits(32),
            rate,
            self._post,
        )
        node.set_time(self.true_s)
        node.start()
        self.nodes.append(node)
        return node

    def bootstrap(self, nodes: Sequence[Node]) -> None:
        """Start a group of these members."""
        members = tuple((node.name, f"at-{node.name}") for node in nodes)
        for node in nodes:
            node.core.bootstrap(members, node.local_s)
            node.pump()
            self.sync(node, node.disk.unsynced)

    def running(self) -> list[Node]:
        """Return the members that are up."""
        return [node for node in self.nodes if node.up]

    def leaders(self) -> list[Node]:
        """Return the members that believe that they lead."""
        running = self.running()
        return [n for n in running if n.core.state.role == Role.LEADER]

    def advance(self, seconds: float) -> None:
        """Move all clocks on and tick the members that are up."""
        self.true_s += seconds
        for node in self.nodes:
            node.set_time(self.true_s)
            if node.up:
                node.core.tick(node.local_s)
                node.pump()

    def deliver(self, position: int, *, keep: bool = False) -> None:
        """Deliver a message; with ``keep`` it arrives again later."""
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
        """End the sync of some batches of a member."""
        node.sync(count)
        node.pump()

    def crash(self, node: Node, kept: int) -> None:
        """Crash a member; ``kept`` unsynced batches survive."""
        node.crash(kept)

    def wipe(self, node: Node) -> bool:
        """Lose a member and its disk for good, where voters suffice."""
        if not self._can_lose(node):
            return False
        node.crash(0)
        node.wiped = True
        return True

    def propose(self, node: Node) -> None:
        """Propose a command that no other proposal equals."""
        self._proposals += 1
        command = b"c%d" % self._proposals
        self._try(node, lambda: node.core.propose(command, node.local_s))

    def read(self, node: Node) -> None:
        """Ask for a read barrier and remember what it must see."""
        self._barriers += 1
        node.barriers[self._barriers] = len(self.checker.committed)
        number = self._barriers
        self._try(node, lambda: node.core.read_barrier(number, node.local_s))

    def admit(self, node: Node, name: str) -> None:
        """Ask a member to admit a learner."""
        address = f"at-{name}"
        self._try(
            node, lambda: node.core.add_learner(name, address, node.local_s)
        )

    def promote(self, node: Node, name: str) -> None:
        """Ask a member to promote a learner."""
        self._try(node, lambda: node.core.promote(name, node.local_s))

    def remove(self, node: Node, name: str) -> None:
        """Ask a member to remove another one."""
        self._try(node, lambda: node.core.remove(name, node.local_s))

    def transfer(self, node: Node, target: str | None) -> None:
        """Ask a member to hand over leadership."""
        self._try(node, lambda: node.core.transfer(target, node.local_s))

    def isolate(self, node: Node, *, inward: bool, outward: bool) -> None:
        """Cut a member off in one direction or both."""
        for other in self.nodes:
            if inward:
                self.cut.add((other.name, node.name))
            if outward:
                self.cut.add((node.name, other.name))

    def exchange(self) -> None:
        """Deliver what is under way in order, and end all syncs."""
        self.deliver_all()
        for node in self.running():
            self.sync(node, node.disk.unsynced)

    def deliver_all(self) -> None:
        """Deliver what is under way in order."""
        for _ in range(len(self.messages)):
            self.deliver(0)

    def settle(self) -> bool:
        """Heal everything and run fairly until a proposal commits.

        Returns whether it did: faults that leave a majority of voters
        intact must not leave the group stuck.
        """
        self.cut.clear()
        for node in self.nodes:
            node.set_disk_full(False)
            if not node.up and not node.wiped:
                node.start()
        before = self._commands()
        for _ in range(FAIR_STEPS):
            self._fair_step()
            committed = self._commands() > before
            if committed and self._level():
                return True
            for leader in self.leaders():
                if not committed:
                    self.propose(leader)
        return False

    def _fair_step(self) -> None:
        self.advance(FAIR_STEP_S)
        self.exchange()

    def _commands(self) -> int:
        return sum(1 for e in self.checker.committed if e.data[:1] == b"c")

    def _level(self) -> bool:
        lag = 10 + self._settings.trailing_entries
        floor = len(self.checker.committed) - lag
        return all(
            node.applied_index >= floor
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

    def _try(self, node: Node, action: Callable[[], object]) -> None:
        if not node.up:
            return
        with contextlib.suppress(*REFUSALS):
            action()
        node.pump()

    def _post(self, message: Message) -> None:
        self.messages.append(message)
        if len(self.messages) > MESSAGES_KEPT:
            self.messages.pop(0)


__all__ = ["Cluster"]
