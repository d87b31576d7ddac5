"""The replicated logs of a control process, and proposals to leaders."""

from __future__ import annotations

import contextlib
import logging
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio
import msgspec

from sycamorestand_consensus.errors import CommandRefused as RefusedByLog
from sycamorestand_consensus.errors import ConsensusError
from sycamorestand_consensus.errors import ProposalLost
from sycamorestand_consensus.errors import ProposalRefused
from sycamorestand_consensus.replica import Replica
from sycamorestand_control.errors import CommandRefused
from sycamorestand_control.errors import NoLeader
from sycamorestand_control.errors import OutcomeUnknown
from sycamorestand_control.errors import TooFewVoters
from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.errors import PeerTimeout
from sycamorestand_peer.messages import CallReply
from sycamorestand_peer.messages import ProposalForward
from sycamorestand_peer.messages import Query
from sycamorestand_peer.messages import ReplicaPayload

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from pathlib import Path

    from sycamorestand_consensus.replica_types import StateMachine
    from sycamorestand_consensus.settings import ReplicaSettings
    from sycamorestand_control.wait_limit import WaitLimit
    from sycamorestand_peer.mesh import PeerMesh

LOG: Final = logging.getLogger(__name__)
CONFIGURATION_GROUP: Final = 0
FIRST_LEDGER_GROUP: Final = 1
FORWARD_TIMEOUT_S: Final = 1.5
# The interval at which a proposal is retried until a leader is known. An
# election takes up to 1.4 s.
RETRY_PAUSE_S: Final = 0.05
LEADER_CHECK_INTERVAL_S: Final = 0.1

BLANK: Final = "blank"
STARTING: Final = "starting"
NOT_LEADER: Final = "not_leader"
LOST: Final = "lost"
REFUSED: Final = "refused"


class Group(NamedTuple):
    """The state machine of a log, and the type of its results.

    The type decodes the results that another voter returns.
    """

    machine: StateMachine
    result_type: Any


def _one_voter() -> int:
    return 1


class LogGroups:
    """Runs the replicated logs of this process and proposes to them.

    All logs share the links between processes. The group number in each
    message identifies the log. While a log has fewer than ``voters_needed()``
    it takes no command but the one that creates the cluster: the loss of one
    disk could take what is committed, or leave no majority for good.
    """

    def __init__(
        self,
        mesh: PeerMesh,
        folder: Path,
        settings: ReplicaSettings,
        groups: Mapping[int, Group],
        voters_needed: Callable[[], int] = _one_voter,
    ) -> None:
        self._mesh = mesh
        self._voters_needed = voters_needed
        self._groups = dict(groups)
        self._addresses: dict[str, str] = {}
        self._heard_s: dict[str, float] = {}
        self.replicas = {
            number: Replica(
                folder,
                number,
                settings,
                group.machine,
                self._make_sender(number),
                boottime_s,
            )
            for number, group in groups.items()
        }

    @property
    def member_id(self) -> str:
        """Return the member id that is stored in this data folder."""
        return self.replicas[CONFIGURATION_GROUP].member_id

    async def run(self) -> None:
        """Run the replica of every log until cancelled."""
        async with anyio.create_task_group() as tasks:
            for replica in self.replicas.values():
                tasks.start_soon(replica.run)

    async def is_blank(self) -> bool:
        """Return whether the data folder belongs to no cluster yet.

        Waits until the replica has read its files.
        """
        replica = self.replicas[CONFIGURATION_GROUP]
        while replica.status().state == STARTING:
            await anyio.sleep(RETRY_PAUSE_S)
        return replica.status().state == BLANK

    async def bootstrap_blank(self, members: list[tuple[str, str]]) -> None:
        """Bootstrap every log that has no members yet."""
        for replica in self.replicas.values():
            while replica.status().state == STARTING:
                await anyio.sleep(RETRY_PAUSE_S)
            if replica.status().state == BLANK:
                await replica.bootstrap(members)

    async def hand_over(self) -> None:
        """Transfer the leadership of every log that this process leads.

        A log without another voter is left out. Raises `ConsensusError`
        if a transfer fails.
        """
        for replica in self.replicas.values():
            voters = [m for m in replica.status().members if m.voter]
            if replica.status().role == "leader" and len(voters) > 1:
                await replica.transfer_leadership(None)

    def receive(self, address: str, message: ReplicaPayload) -> None:
        """Pass a payload to the replica of its log."""
        self._addresses[message.sender] = address
        self._heard_s[message.sender] = boottime_s()
        replica = self.replicas.get(message.group)
        if replica is not None:
            replica.receive(message.sender, message.payload)

    def heard_s(self, member_id: str) -> float:
        """Return when a member was last heard in any log, 0 if never.

        The time is in seconds of the boot clock.
        """
        return self._heard_s.get(member_id, 0.0)

    def is_leader(self, group: int) -> bool:
        """Return whether this process leads a log, as far as it knows."""
        return self.replicas[group].status().role == "leader"

    def leader_address(self, group: int) -> str:
        """Return the leader's peer address, empty if it is unknown."""
        return self.address_of(self.replicas[group].status().leader_id)

    def missing_leader_reason(self, group: int) -> str:
        """Return why no leader of a log can be asked, for a message."""
        if self.replicas[group].status().state == BLANK:
            return "this process is in no cluster"
        return "no leader is known"

    def unconfirmed_reason(self, group: int) -> str:
        """Return why this process, as the leader, got no confirmation."""
        if self.replicas[group].leader_lease_remaining_s() > 0:
            return "the leader's majority takes too long"
        return "no majority answers the leader"

    def address_of(self, member_id: str) -> str:
        """Return a member's peer address, empty if it is unknown."""
        if member_id and member_id not in self._addresses:
            self._learn_addresses()
        return self._addresses.get(member_id, "")

    async def wait_for_leader(self, group: int, waits: WaitLimit) -> None:
        """Wait until a log's leader is known.

        Raises `NoLeader` if none is known in time, and at once in a process
        that is in no cluster: nobody elects it a leader.
        """
        with waits.counted(), anyio.move_on_after(waits.left_s):
            while not self.is_leader(group) and not self.leader_address(group):
                if self.replicas[group].status().state == BLANK:
                    break
                await anyio.sleep(RETRY_PAUSE_S)
            else:
                return
        raise NoLeader(self.missing_leader_reason(group))

    async def propose(
        self,
        group: int,
        command: bytes,
        timeout_s: float,
        while_forming: bool = False,
        is_cut: bool = False,
    ) -> Any:
        """Commit a command through the leader and return its result.

        The command must be idempotent, such as one with a change id, a
        claim or a charge, because it is proposed again if the answer is
        lost. After ``timeout_s`` the method raises `OutcomeUnknown` if the
        command may have been committed, and `NoLeader` otherwise. It raises
        `CommandRefused` at once for a command that the log never takes.
        Only a command that nobody relies on may come ``while_forming``.

        A proposal of this process as the leader is waited for until it is
        committed or lost, also beyond ``timeout_s``, unless ``is_cut``. One
        that is cut stays in the log and may be committed later.
        """
        deadline_s = boottime_s() + timeout_s
        maybe_committed = False
        reason = "no time was left to propose it"
        while boottime_s() < deadline_s:
            try:
                left_s = deadline_s - boottime_s() if is_cut else None
                return await self._propose_once(
                    group, command, while_forming, left_s
                )
            except (ProposalLost, PeerTimeout) as error:
                maybe_committed = True
                reason = str(error)
            except RefusedByLog as error:
                raise CommandRefused(str(error)) from error
            except ConsensusError as error:
                reason = str(error)
                LOG.debug("not proposed", extra={"reason": reason})
            await anyio.sleep(RETRY_PAUSE_S)
        if maybe_committed:
            raise OutcomeUnknown(
                f"{reason}; the change may have been made; resend it"
            )
        raise NoLeader(f"{reason}; nothing was changed")

    async def handle_forward(
        self, sender: str, message: ProposalForward
    ) -> None:
        """Propose a forwarded command and send the result to the sender."""
        reply = await self._propose_forwarded(message)
        self._mesh.send(sender, reply)

    async def _propose_forwarded(self, message: ProposalForward) -> CallReply:
        replica = self.replicas.get(message.group)
        if replica is None:
            return CallReply(message.call_id, NOT_LEADER, b"")
        try:
            result = await self._propose_as_leader(replica, message.command)
        except ProposalLost as error:
            return CallReply(message.call_id, LOST, str(error).encode())
        except RefusedByLog as error:
            return CallReply(message.call_id, REFUSED, str(error).encode())
        except ConsensusError as error:
            return CallReply(message.call_id, NOT_LEADER, str(error).encode())
        payload = msgspec.msgpack.encode(result)
        return CallReply(message.call_id, "", payload)

    async def _propose_once(
        self,
        group: int,
        command: bytes,
        while_forming: bool,
        left_s: float | None,
    ) -> Any:
        replica = self.replicas[group]
        if self.is_leader(group):
            with anyio.move_on_after(left_s):
                return await self._propose_as_leader(
                    replica, command, while_forming
                )
            raise ProposalLost(self.unconfirmed_reason(group))
        address = self.leader_address(group)
        if not address:
            raise ProposalRefused(self.missing_leader_reason(group))
        # A command in time takes as long as its bytes do; a second one would
        # only follow it.
        timeout_s = FORWARD_TIMEOUT_S if left_s is None else left_s
        reply = await self._forward(address, group, command, timeout_s)
        reason = reply.payload.decode() if reply.failure else ""
        if reply.failure == NOT_LEADER:
            raise ProposalRefused(f"{address} answers: {reason}")
        if reply.failure == REFUSED:
            raise RefusedByLog(reason)
        if reply.failure:
            raise ProposalLost(f"{address} answers: {reason}")
        result_type = self._groups[group].result_type
        return msgspec.msgpack.decode(reply.payload, type=result_type)

    async def _propose_as_leader(
        self, replica: Replica, command: bytes, while_forming: bool = False
    ) -> Any:
        voters = sum(member.voter for member in replica.status().members)
        needed = self._voters_needed()
        if voters < needed and not while_forming:
            raise TooFewVoters(f"too few voters ({voters} of {needed})")
        return await replica.propose(command)

    async def _forward(
        self, address: str, group: int, command: bytes, timeout_s: float
    ) -> CallReply:
        """Have the leader propose, and give up when it no longer leads.

        Otherwise a proposal to a failed leader would wait for the full
        `FORWARD_TIMEOUT_S`, until half a second after the next leader is
        elected. Raises `PeerTimeout` if there is no answer.
        """
        call_id = self._mesh.next_call_id()
        message = ProposalForward(call_id, group, command)
        return await self.call_leader(
            group, address, call_id, message, timeout_s
        )

    async def call_leader(
        self,
        group: int,
        address: str,
        call_id: int,
        message: ProposalForward | Query,
        timeout_s: float,
    ) -> CallReply:
        """Return the reply of a leader, as long as no other one is known.

        Raises `PeerTimeout` if there is none in time, or another leader.
        """
        replies: list[CallReply] = []
        async with anyio.create_task_group() as tasks:

            async def call_leader() -> None:
                with contextlib.suppress(PeerTimeout):
                    replies.append(
                        await self._mesh.call(
                            address, call_id, message, timeout_s
                        )
                    )
                tasks.cancel_scope.cancel()

            tasks.start_soon(call_leader)
            while self.leader_address(group) in ("", address):
                await anyio.sleep(LEADER_CHECK_INTERVAL_S)
            tasks.cancel_scope.cancel()
        if not replies:
            raise PeerTimeout(f"the leader at {address} does not answer")
        return replies[0]

    def _make_sender(self, group: int) -> Any:
        def send(member_id: str, payload: bytes) -> None:
            address = self.address_of(member_id)
            if address:
                message = ReplicaPayload(group, self.member_id, payload)
                self._mesh.send(address, message)

        return send

    def _learn_addresses(self) -> None:
        for replica in self.replicas.values():
            for member in replica.status().members:
                self._addresses.setdefault(member.member_id, member.address)


__all__ = [
    "CONFIGURATION_GROUP",
    "FIRST_LEDGER_GROUP",
    "Group",
    "LogGroups",
]
