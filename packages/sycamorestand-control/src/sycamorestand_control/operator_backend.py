"""The control process behind the operators' interface."""

from __future__ import annotations

import contextlib
import time
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio
import msgspec

from sycamorestand_consensus.errors import ConsensusError
from sycamorestand_control.change_commands import make_answer
from sycamorestand_control.change_commands import make_command
from sycamorestand_control.errors import ControlError
from sycamorestand_control.errors import NoLeader as NoLeaderAnswered
from sycamorestand_control.errors import OutcomeUnknown as ProposalUnknown
from sycamorestand_control.explain import explain_subject
from sycamorestand_control.groups import CONFIGURATION_GROUP
from sycamorestand_control.operator_api.backend import NoLeader
from sycamorestand_control.operator_api.backend import OutcomeUnknown
from sycamorestand_control.operator_api.backend import UnknownSubject
from sycamorestand_control.operator_api.types import AuditEntry
from sycamorestand_control.operator_api.types import AuditPage
from sycamorestand_control.operator_api.types import BackendRow
from sycamorestand_control.operator_api.types import BillPage
from sycamorestand_control.operator_api.types import ChangeAnswer
from sycamorestand_control.operator_api.types import Conflict
from sycamorestand_control.operator_api.types import DeclarationsAnswer
from sycamorestand_control.operator_api.types import Explanation
from sycamorestand_control.operator_api.types import InForceAnswer
from sycamorestand_control.operator_api.types import NodeRow
from sycamorestand_control.operator_api.types import RolloutRow
from sycamorestand_control.operator_api.types import StatusAnswer
from sycamorestand_control.operator_api.types import TransferAnswer
from sycamorestand_control.operator_api.types import VoterRow
from sycamorestand_control.rows import backend_rows
from sycamorestand_control.rows import merge_node_rows
from sycamorestand_control.rows import node_rows
from sycamorestand_peer.errors import PeerTimeout
from sycamorestand_peer.messages import CallReply
from sycamorestand_peer.messages import Query
from sycamorestand_state.commands import encode_command

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_control.groups import LogGroups
    from sycamorestand_control.lease_service import LeaseService
    from sycamorestand_control.ledger_reader import LedgerReader
    from sycamorestand_control.membership import Admissions
    from sycamorestand_control.operator_api.types import ChangeRequest
    from sycamorestand_control.operator_api.types import ReplaceVoterRequest
    from sycamorestand_control.tables import SharedTables
    from sycamorestand_control.version_keeper import VersionKeeper
    from sycamorestand_peer.mesh import PeerMesh
    from sycamorestand_state.configuration import ConfigurationMachine

PROPOSE_TIMEOUT_S: Final = 5.0
QUERY_TIMEOUT_S: Final = 1.0
CATCH_UP_S: Final = 1.0
CATCH_UP_PAUSE_S: Final = 0.02
REPLACE_TIMEOUT_S: Final = 25.0
MAX_CONFLICTS: Final = 20
IN_FORCE: Final = "in_force"
REPLACE: Final = "replace"
TRANSFER: Final = "transfer"
NODES: Final = "nodes"


class Parts(NamedTuple):
    """The parts of the control process that operators reach."""

    vm: str
    data_centre: str
    mesh: PeerMesh
    groups: LogGroups
    configuration: ConfigurationMachine
    leases: LeaseService
    tables: SharedTables
    ledger: LedgerReader
    admissions: Admissions
    keeper: VersionKeeper
    cluster_key: Callable[[], bytes]


class ControlBackend:
    """Answers operators at any control process.

    The leader is asked where only it can know, so that an operator need
    not find it.
    """

    def __init__(self, parts: Parts) -> None:
        self._parts = parts

    async def change(self, request: ChangeRequest) -> ChangeAnswer:
        """Commit one change through whichever voter leads."""
        configuration = self._parts.configuration
        if request.kind == "apply" and request.base_revision is None:
            return ChangeAnswer(
                "refused",
                configuration.revision,
                "an apply needs the revision that it was planned against",
            )
        command = make_command(request, time.time(), self._parts.cluster_key())
        try:
            result = await self._parts.groups.propose(
                CONFIGURATION_GROUP, encode_command(command), PROPOSE_TIMEOUT_S
            )
        except NoLeaderAnswered as error:
            raise NoLeader(str(error)) from error
        except ProposalUnknown as error:
            raise OutcomeUnknown(str(error)) from error
        if result.outcome == "conflict":
            await self._catch_up(result.revision)
        return make_answer(result, self._conflicts(request.base_revision))

    async def _catch_up(self, revision: int) -> None:
        """Wait until this voter has applied what the change lost against.

        The leader may answer before this voter hears of the commit, and
        the operator would read of a conflict with nobody.
        """
        with anyio.move_on_after(CATCH_UP_S):
            while self._parts.configuration.revision < revision:
                await anyio.sleep(CATCH_UP_PAUSE_S)

    async def declarations(self) -> DeclarationsAnswer:
        """Return what this voter has applied."""
        configuration = self._parts.configuration
        return DeclarationsAnswer(
            configuration.revision, configuration.in_force().declarations
        )

    async def in_force(self, revision: int) -> InForceAnswer:
        """Return the leader's word; only it knows every lease."""
        answer = self._answer_in_force(revision)
        if answer is not None:
            return answer
        payload = msgspec.msgpack.encode(revision)
        reply = await self._ask_leader(IN_FORCE, payload, QUERY_TIMEOUT_S)
        if reply.failure:
            raise NoLeader(reply.failure)
        return msgspec.msgpack.decode(reply.payload, type=InForceAnswer)

    async def status(self) -> StatusAnswer:
        """Return this process's view; it works without a leader too."""
        parts = self._parts
        status = parts.groups.replicas[CONFIGURATION_GROUP].status()
        in_force = parts.configuration.in_force()
        return StatusAnswer(
            voter_id=status.member_id,
            term=status.term,
            leader=status.leader_id,
            revision=in_force.revision,
            in_force_revision=await self._in_force_revision(),
            voters=self._voter_rows(status),
            withdrawn=in_force.withdrawn,
            quarantined=in_force.quarantined,
            draining_vms=in_force.draining_vms,
            entry_count=len(parts.tables.entries()),
            backend_server_count=len(parts.tables.servers()),
            alarms=self._alarms(),
        )

    async def _in_force_revision(self) -> int:
        revision = self._parts.configuration.revision
        try:
            answer = await self.in_force(revision)
        except NoLeader:
            return 0
        return revision if answer.in_force else 0

    async def audit(self, after: int, limit: int) -> AuditPage:
        """Return audit entries; the sequence is the index in the log."""
        found = self._parts.configuration.audit(after, limit + 1)
        entries = tuple(
            AuditEntry(
                sequence=entry.log_index,
                at_s=entry.now_s,
                operator=entry.operator,
                change_id=entry.change_id,
                kind=entry.kind,
                subject="",
                base_revision=None,
                revision=entry.revision,
                outcome=entry.outcome,
                difference=entry.difference,
                evidence=entry.evidence,
            )
            for entry in found[:limit]
        )
        next_after = entries[-1].sequence if entries else after
        return AuditPage(entries, next_after, len(found) > limit)

    async def bills(self, customer: str, after: int, limit: int) -> BillPage:
        """Return charges of all shards that this voter has applied."""
        return self._parts.ledger.bills(customer, after, limit)

    async def nodes(self) -> tuple[NodeRow, ...]:
        """Return the entry processes, with what their control knows.

        A control process that does not answer in time is left out: its
        entries are shown without lease and revision.
        """
        found: list[tuple[NodeRow, ...]] = [self._own_node_rows()]

        async def ask(address: str) -> None:
            with contextlib.suppress(PeerTimeout, msgspec.MsgspecError):
                reply = await self._ask(address, NODES, b"", QUERY_TIMEOUT_S)
                rows = msgspec.msgpack.decode(
                    reply.payload, type=tuple[NodeRow, ...]
                )
                found.append(rows)

        async with anyio.create_task_group() as tasks:
            for address in self._other_controls():
                tasks.start_soon(ask, address)
        return merge_node_rows(found)

    async def backends(self) -> tuple[BackendRow, ...]:
        """Return the backend servers that are announced."""
        return backend_rows(self._parts.tables)

    async def replace_voter(
        self, request: ReplaceVoterRequest
    ) -> ChangeAnswer:
        """Have the leader replace a voter by one that asked to join."""
        revision = self._parts.configuration.revision
        for group in sorted(self._parts.groups.replicas):
            payload = msgspec.msgpack.encode(
                (group, request.old_id, request.new_id)
            )
            reply = await self._lead_or_ask(
                REPLACE, payload, REPLACE_TIMEOUT_S, group
            )
            if reply.failure and group == CONFIGURATION_GROUP:
                return ChangeAnswer("refused", revision, reply.failure)
            if reply.failure:
                # "Refused" would say that nothing was changed.
                raise OutcomeUnknown(
                    f"earlier logs are done, log {group} is not:"
                    f" {reply.failure}; repeat the command"
                )
        return ChangeAnswer("accepted", revision, "the voter is replaced")

    async def rollouts(self) -> tuple[RolloutRow, ...]:
        """Return the committed roll-outs with what is found of them now."""
        verdicts = self._parts.keeper.verdicts
        return tuple(
            RolloutRow(
                rollout.model,
                rollout.stable,
                rollout.version,
                rollout.state,
                rollout.step,
                rollout.share,
                rollout.reason or verdicts.get(rollout.model, ""),
            )
            for rollout in self._parts.configuration.rollouts()
        )

    async def explain(self, subject: str) -> Explanation:
        """Return why the system treats the subject as it does."""
        lines = explain_subject(
            subject,
            self._parts.configuration,
            self._parts.tables,
            self._parts.ledger,
            self._parts.keeper.verdicts,
        )
        if not lines:
            raise UnknownSubject(f"nothing is known of {subject!r}")
        return Explanation(subject, lines)

    async def transfer_leadership(self, operator: str) -> TransferAnswer:
        """Have the leader hand over to another voter."""
        reply = await self._lead_or_ask(TRANSFER, b"", QUERY_TIMEOUT_S * 4)
        if reply.failure:
            raise NoLeader(reply.failure)
        status = self._parts.groups.replicas[CONFIGURATION_GROUP].status()
        return TransferAnswer(status.leader_id, status.term)

    def knows_operators(self) -> bool:
        """Tell whether a configuration has reached this process."""
        return self._parts.configuration.cluster is not None

    def ready(self) -> bool:
        """Tell whether this process holds a lease to serve entries with."""
        return self._parts.leases.remaining_s() > 0

    async def answer_query(self, sender: str, message: Query) -> None:
        """Answer another control process that asked this one as leader."""
        reply = await self._answer(message)
        self._parts.mesh.send(sender, reply)

    async def _answer(self, message: Query) -> CallReply:
        try:
            payload = await self._lead(message.kind, message.payload)
        except (ConsensusError, ControlError) as error:
            return CallReply(message.call_id, str(error), b"")
        return CallReply(message.call_id, "", payload)

    async def _lead(self, kind: str, payload: bytes) -> bytes:
        """Answer as the leader; raises where this voter is none."""
        if kind == IN_FORCE:
            revision = msgspec.msgpack.decode(payload, type=int)
            answer = self._answer_in_force(revision)
            if answer is None:
                raise NoLeaderAnswered("the leader has not caught up yet")
            return msgspec.msgpack.encode(answer)
        if kind == REPLACE:
            group, old_id, new_id = msgspec.msgpack.decode(
                payload, type=tuple[int, str, str]
            )
            await self._parts.admissions.replace(group, old_id, new_id)
            return b""
        if kind == NODES:
            return msgspec.msgpack.encode(self._own_node_rows())
        if kind == TRANSFER:
            await self._parts.groups.hand_over()
            return b""
        raise NoLeaderAnswered(f"question {kind!r} is unknown")

    async def _lead_or_ask(
        self,
        kind: str,
        payload: bytes,
        timeout_s: float,
        group: int = CONFIGURATION_GROUP,
    ) -> CallReply:
        if self._parts.groups.is_leader(group):
            return await self._answer(Query(0, kind, payload))
        return await self._ask_leader(kind, payload, timeout_s, group)

    async def _ask_leader(
        self,
        kind: str,
        payload: bytes,
        timeout_s: float,
        group: int = CONFIGURATION_GROUP,
    ) -> CallReply:
        address = self._parts.groups.leader_address(group)
        if not address:
            raise NoLeader("no leader is known")
        try:
            return await self._ask(address, kind, payload, timeout_s)
        except PeerTimeout as error:
            raise NoLeader(str(error)) from error

    async def _ask(
        self, address: str, kind: str, payload: bytes, timeout_s: float
    ) -> CallReply:
        call_id = self._parts.mesh.next_call_id()
        query = Query(call_id, kind, payload)
        return await self._parts.mesh.call(address, call_id, query, timeout_s)

    def _other_controls(self) -> list[str]:
        status = self._parts.groups.replicas[CONFIGURATION_GROUP].status()
        own = self._parts.mesh.address
        return [m.address for m in status.members if m.address != own]

    def _own_node_rows(self) -> tuple[NodeRow, ...]:
        return node_rows(
            self._parts.tables,
            self._parts.configuration.in_force().draining_vms,
            self._parts.vm,
        )

    def _answer_in_force(self, revision: int) -> InForceAnswer | None:
        status = self._parts.leases.in_force(revision)
        if status is None:
            return None
        live = self._parts.leases.live_controls()
        waiting = tuple(
            self._parts.tables.control_name(address).vm or address
            for address in status.missing
        )
        return InForceAnswer(
            revision,
            status.in_force,
            len(live),
            len(live) - len(waiting),
            waiting,
        )

    def _conflicts(self, base: int | None) -> tuple[Conflict, ...]:
        if base is None:
            return ()
        entries = self._parts.configuration.audit(0, 1_000_000)
        return tuple(
            Conflict(
                entry.revision,
                entry.operator,
                entry.change_id,
                "; ".join(entry.difference)[:200] or entry.kind,
            )
            for entry in entries
            if entry.revision > base and entry.outcome == "applied"
        )[-MAX_CONFLICTS:]

    def _voter_rows(self, status: Any) -> tuple[VoterRow, ...]:
        mesh = self._parts.mesh
        rows = []
        for member in status.members:
            own = member.member_id == status.member_id
            silent_s = 0.0 if own else mesh.unheard_s(member.address)
            role = "follower" if member.voter else "learner"
            if member.member_id == status.leader_id:
                role = "leader"
            rows.append(
                VoterRow(
                    member.member_id,
                    *self._parts.tables.control_name(member.address),
                    member.address,
                    role,  # type: ignore[arg-type]
                    status.applied_index if own else member.match_index,
                    int(min(silent_s, 86_400) * 1_000),
                )
            )
        return tuple(rows)

    def _alarms(self) -> tuple[str, ...]:
        parts = self._parts
        alarms = [
            f"log {group}: {replica.status().state}"
            for group, replica in parts.groups.replicas.items()
            if replica.status().state != "ok"
        ]
        alarms += [
            f"{joiner.vm} ({joiner.member_id}) waits to replace a voter"
            for joiner in parts.admissions.waiting()
        ]
        if parts.leases.remaining_s() <= 0:
            alarms.append("no lease: this process sees no quorum")
        return tuple(alarms)


__all__ = ["ControlBackend", "Parts"]
