"""Answer operators' requests from the parts of a control process."""

from __future__ import annotations

import logging
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
from sycamorestand_control.errors import CommandRefused
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
from sycamorestand_control.operator_api.types import RoomRow
from sycamorestand_control.operator_api.types import StatusAnswer
from sycamorestand_control.operator_api.types import TransferAnswer
from sycamorestand_control.peer_queries import PeerQueries
from sycamorestand_control.rows import backend_rows
from sycamorestand_control.rows import merge_node_rows
from sycamorestand_control.rows import node_rows
from sycamorestand_control.rows import room_rows
from sycamorestand_control.rows import voter_rows
from sycamorestand_control.voter_tolerance import missing_voters
from sycamorestand_control.voter_tolerance import voter_tolerance
from sycamorestand_control.voter_tolerance import VoterTolerance
from sycamorestand_control.wait_limit import WaitLimit
from sycamorestand_state.commands import encode_command
from sycamorestand_state.errors import MalformedCommand

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from sycamorestand_control.groups import LogGroups
    from sycamorestand_control.lease_service import LeaseService
    from sycamorestand_control.ledger_reader import LedgerReader
    from sycamorestand_control.membership import MembershipManager
    from sycamorestand_control.operator_api.types import ChangeRequest
    from sycamorestand_control.operator_api.types import ReplaceVoterRequest
    from sycamorestand_control.tables import SharedTables
    from sycamorestand_control.version_controller import VersionController
    from sycamorestand_model.server_loads import SharedLoad
    from sycamorestand_peer.mesh import PeerMesh
    from sycamorestand_state.configuration import ConfigurationMachine

PROPOSE_TIMEOUT_S: Final = 5.0
QUERY_TIMEOUT_S: Final = 1.0
HAND_OVER_TIMEOUT_S: Final = 4.0
LOG: Final = logging.getLogger(__name__)
# Shorter than the wait of a caller, so that the leader still tells the reason.
BARRIER_S: Final = 0.5
CATCH_UP_S: Final = 1.0
CATCH_UP_PAUSE_S: Final = 0.02
REPLACE_TIMEOUT_S: Final = 25.0
MAX_CONFLICTS: Final = 20
IN_FORCE: Final = "in_force"
REPLACE: Final = "replace"
TRANSFER: Final = "transfer"
NODES: Final = "nodes"
SETTLED: Final = "settled"


class Parts(NamedTuple):
    """The parts of a control process that operators' requests need."""

    vm: str
    data_centre: str
    mesh: PeerMesh
    groups: LogGroups
    configuration: ConfigurationMachine
    leases: LeaseService
    tables: SharedTables
    ledger: LedgerReader
    admissions: MembershipManager
    keeper: VersionController
    cluster_key: Callable[[], bytes]
    limits_per_s: Callable[[], Mapping[str, float]] = dict
    voters_wanted: int = 1
    may_lose_data_centre: bool = False
    loads: Callable[[], Mapping[str, SharedLoad]] = dict

    def voter_tolerance(self) -> VoterTolerance:
        """Return which losses the voters of the configuration survive."""
        members = self.groups.replicas[CONFIGURATION_GROUP].status().members
        return voter_tolerance(
            [
                self.tables.control_name(member.address).data_centre
                for member in members
                if member.voter
            ]
        )

    def missing_voters(self) -> tuple[str, ...]:
        """Return what is missing for the losses to be survived."""
        return missing_voters(
            self.voter_tolerance(),
            self.voters_wanted,
            self.may_lose_data_centre,
        )


class ControlBackend:
    """Answers operators' requests at any control process.

    It queries the leader for what only the leader knows, so operators need
    not know which process leads.
    """

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self.queries = PeerQueries(
            parts.mesh,
            parts.groups,
            {
                IN_FORCE: self._answer_in_force,
                REPLACE: self._answer_replace,
                TRANSFER: self._answer_transfer,
                NODES: self._answer_nodes,
                SETTLED: self._answer_settled,
            },
        )

    async def wait_for_leader(self, waits: WaitLimit) -> None:
        """Wait until a leader is known, or raise `NoLeader`."""
        try:
            await self._parts.groups.wait_for_leader(
                CONFIGURATION_GROUP, waits
            )
        except NoLeaderAnswered as error:
            raise NoLeader(str(error)) from error

    async def change(
        self, request: ChangeRequest, waits: WaitLimit | None = None
    ) -> ChangeAnswer:
        """Commit one change through the leader, and log the outcome.

        Waits for ``waits`` at most, else for `PROPOSE_TIMEOUT_S`.
        """
        begin_s = time.monotonic()
        outcome = "no answer"
        revision = -1
        changing = self._change(request, waits)
        request = request._replace(declarations=None)
        try:
            answer = await changing
            outcome, revision = answer.outcome, answer.revision
            return answer
        except NoLeader:
            outcome = "no leader"
            raise
        except OutcomeUnknown:
            outcome = "unknown"
            raise
        finally:
            LOG.info(
                "change answered",
                extra={
                    "change_id": request.change_id,
                    "kind": request.kind,
                    "operator": request.operator,
                    "base_revision": request.base_revision,
                    "outcome": outcome,
                    "revision": revision,
                    "voters": self._count_voters(),
                    "took_ms": int((time.monotonic() - begin_s) * 1000),
                },
            )

    def _count_voters(self) -> int:
        replica = self._parts.groups.replicas[CONFIGURATION_GROUP]
        return sum(member.voter for member in replica.status().members)

    async def _change(
        self, request: ChangeRequest, waits: WaitLimit | None
    ) -> ChangeAnswer:
        configuration = self._parts.configuration
        if request.kind == "apply" and request.base_revision is None:
            return ChangeAnswer(
                "refused",
                configuration.revision,
                "an apply needs the revision that it was planned against",
            )
        try:
            command = self._encode(request)
        except MalformedCommand as error:
            return ChangeAnswer("refused", configuration.revision, str(error))
        # They take many times as much as the command, and what follows waits.
        request = request._replace(declarations=None)
        try:
            result = await self._propose(command, waits)
        except CommandRefused as error:
            return ChangeAnswer("refused", configuration.revision, str(error))
        except NoLeaderAnswered as error:
            raise NoLeader(str(error)) from error
        except ProposalUnknown as error:
            raise OutcomeUnknown(str(error)) from error
        if result.outcome == "conflict":
            await self._catch_up(
                result.revision, waits or WaitLimit(limit_s=CATCH_UP_S)
            )
        return make_answer(result, self._conflicts(request.base_revision))

    async def _propose(self, command: bytes, waits: WaitLimit | None) -> Any:
        propose = self._parts.groups.propose
        if waits is None:
            return await propose(
                CONFIGURATION_GROUP, command, PROPOSE_TIMEOUT_S
            )
        with waits.counted():
            return await propose(
                CONFIGURATION_GROUP, command, waits.left_s, is_cut=True
            )

    def _encode(self, request: ChangeRequest) -> bytes:
        return encode_command(
            make_command(request, time.time(), self._parts.cluster_key())
        )

    async def _catch_up(self, revision: int, waits: WaitLimit) -> None:
        """Wait until this voter has applied a revision.

        The leader may report a conflict before this voter has learned of
        the conflicting commit, and the answer would list no conflicts.
        Gives up when ``waits`` is over.
        """
        with waits.counted(), anyio.move_on_after(waits.left_s):
            while self._parts.configuration.revision < revision:
                await anyio.sleep(CATCH_UP_PAUSE_S)

    async def catch_up_with_leader(
        self, waits: WaitLimit | None = None
    ) -> None:
        """Wait until this voter has applied every acknowledged change.

        The newest revision comes from the leader, which confirms its quorum
        first: a leader that was deposed without noticing would report an
        outdated one. Raises `NoLeader` if no leader can confirm it, or if
        this voter does not catch up within ``waits``.
        """
        waits = waits or WaitLimit()
        try:
            with waits.counted():
                answer = await self.queries.read_from_leader(
                    SETTLED, b"", waits.left_s
                )
        except ControlError as error:
            raise NoLeader(str(error)) from error
        revision = msgspec.msgpack.decode(answer, type=int)
        await self._catch_up(revision, waits)
        if self._parts.configuration.revision < revision:
            raise NoLeader("this voter lags behind the newest revision")

    async def declarations(self) -> DeclarationsAnswer:
        """Return the revision and declarations that this voter has applied."""
        configuration = self._parts.configuration
        return DeclarationsAnswer(
            configuration.revision, configuration.in_force().declarations
        )

    async def in_force(self, revision: int) -> InForceAnswer:
        """Return the leader's answer, as only the leader knows every lease."""
        payload = msgspec.msgpack.encode(revision)
        try:
            answer = await self.queries.query_leader(
                IN_FORCE, payload, QUERY_TIMEOUT_S
            )
        except ControlError as error:
            raise NoLeader(str(error)) from error
        return msgspec.msgpack.decode(answer, type=InForceAnswer)

    async def status(self) -> StatusAnswer:
        """Return this process's view, also without a leader."""
        parts = self._parts
        status = parts.groups.replicas[CONFIGURATION_GROUP].status()
        in_force = parts.configuration.in_force()
        return StatusAnswer(
            voter_id=status.member_id,
            term=status.term,
            leader=status.leader_id,
            revision=in_force.revision,
            in_force_revision=await self._in_force_revision(),
            voters=voter_rows(status, parts.mesh, parts.tables),
            withdrawn=in_force.withdrawn,
            quarantined=in_force.quarantined,
            draining_vms=in_force.draining_vms,
            entry_count=len(parts.tables.entries()),
            backend_server_count=len(parts.tables.servers()),
            alarms=self._alarms(),
            draining_data_centres=in_force.draining_data_centres,
        )

    async def _in_force_revision(self) -> int:
        revision = self._parts.configuration.revision
        try:
            answer = await self.in_force(revision)
        except NoLeader:
            return 0
        return revision if answer.in_force else 0

    async def audit(self, after: int, limit: int) -> AuditPage:
        """Return audit entries, with their log index as the sequence."""
        found = self._parts.configuration.audit(after, limit + 1)
        entries = tuple(
            AuditEntry(
                sequence=entry.log_index,
                at_s=entry.now_s,
                operator=entry.operator,
                change_id=entry.change_id,
                kind=entry.kind,
                subject=entry.subject,
                base_revision=(
                    None if entry.base_revision < 0 else entry.base_revision
                ),
                revision=entry.revision,
                outcome=entry.outcome,
                message=entry.message,
                difference=entry.difference,
                evidence=entry.evidence,
            )
            for entry in found[:limit]
        )
        next_after = entries[-1].sequence if entries else after
        return AuditPage(entries, next_after, len(found) > limit)

    async def bills(self, customer: str, after: int, limit: int) -> BillPage:
        """Return the charges of all shards as applied by this voter."""
        return self._parts.ledger.bills(customer, after, limit)

    async def nodes(self) -> tuple[NodeRow, ...]:
        """Return the entries, with leases and revisions from their control.

        If a control process does not answer in `QUERY_TIMEOUT_S`, its
        entries are listed without lease and revision.
        """
        answers = await self.queries.query_each(
            self._other_controls(), NODES, QUERY_TIMEOUT_S
        )
        row_lists = [
            msgspec.msgpack.decode(answer, type=tuple[NodeRow, ...])
            for answer in answers
        ]
        row_lists.append(self._own_node_rows())
        return merge_node_rows(row_lists)

    async def backends(self) -> tuple[BackendRow, ...]:
        """Return the backend servers that this process knows."""
        return backend_rows(
            self._parts.tables,
            self._parts.configuration.in_force().draining_data_centres,
        )

    async def room(self, service: str) -> tuple[RoomRow, ...]:
        """Return the shared loads as summed up by this process."""
        return room_rows(self._parts.tables, self._parts.loads(), service)

    async def replace_voter(
        self, request: ReplaceVoterRequest
    ) -> ChangeAnswer:
        """Replace a voter by a joining process, in one log after the other.

        The leader of each log makes the changes. Raises `OutcomeUnknown` if
        only some of the logs were changed.
        """
        revision = self._parts.configuration.revision
        for group in sorted(self._parts.groups.replicas):
            payload = msgspec.msgpack.encode(
                (group, request.old_id, request.new_id)
            )
            try:
                await self.queries.query_leader(
                    REPLACE, payload, REPLACE_TIMEOUT_S, group
                )
            except ControlError as error:
                return _not_replaced(group, revision, error)
        return ChangeAnswer("accepted", revision, "the voter is replaced")

    async def rollouts(self) -> tuple[RolloutRow, ...]:
        """Return the committed roll-outs with their latest verdicts."""
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
        """Return how the system treats a subject, and why.

        Raises `UnknownSubject` if nothing is known of it.
        """
        lines = explain_subject(
            subject,
            self._parts.configuration,
            self._parts.tables,
            self._parts.ledger,
            self._parts.keeper.verdicts,
            self._parts.limits_per_s(),
        )
        if not lines:
            raise UnknownSubject(f"nothing is known of {subject!r}")
        return Explanation(subject, lines)

    async def transfer_leadership(self, operator: str) -> TransferAnswer:
        """Have the leader transfer its logs to another voter."""
        try:
            await self.queries.query_leader(TRANSFER, b"", HAND_OVER_TIMEOUT_S)
        except ControlError as error:
            raise NoLeader(str(error)) from error
        status = self._parts.groups.replicas[CONFIGURATION_GROUP].status()
        return TransferAnswer(status.leader_id, status.term)

    def knows_operators(self) -> bool:
        """Return whether this process has received a configuration."""
        return self._parts.configuration.cluster is not None

    def ready(self) -> bool:
        """Return whether this process holds a lease and can serve entries."""
        return self._parts.leases.remaining_s() > 0

    async def _answer_in_force(self, payload: bytes) -> bytes:
        revision = msgspec.msgpack.decode(payload, type=int)
        status = self._parts.leases.in_force(revision)
        if status is None:
            raise NoLeaderAnswered("the leader has not caught up yet")
        live = self._parts.leases.live_controls()
        waiting = tuple(
            self._parts.tables.control_name(address).vm or address
            for address in status.missing
        )
        answer = InForceAnswer(
            revision,
            status.in_force,
            len(live),
            len(live) - len(waiting),
            waiting,
        )
        return msgspec.msgpack.encode(answer)

    async def _answer_settled(self, payload: bytes) -> bytes:
        replica = self._parts.groups.replicas[CONFIGURATION_GROUP]
        try:
            with anyio.fail_after(BARRIER_S):
                await replica.read_barrier()
        except TimeoutError as error:
            reason = self._parts.groups.unconfirmed_reason(CONFIGURATION_GROUP)
            raise NoLeaderAnswered(reason) from error
        except ConsensusError as error:
            raise NoLeaderAnswered(str(error)) from error
        return msgspec.msgpack.encode(self._parts.configuration.revision)

    async def _answer_replace(self, payload: bytes) -> bytes:
        group, old_id, new_id = msgspec.msgpack.decode(
            payload, type=tuple[int, str, str]
        )
        await self._parts.admissions.replace_voter(group, old_id, new_id)
        return b""

    async def _answer_transfer(self, payload: bytes) -> bytes:
        await self._parts.groups.hand_over()
        return b""

    async def _answer_nodes(self, payload: bytes) -> bytes:
        return msgspec.msgpack.encode(self._own_node_rows())

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

    def _alarms(self) -> tuple[str, ...]:
        parts = self._parts
        alarms = [
            f"log {group}: {replica.status().state}"
            for group, replica in parts.groups.replicas.items()
            if replica.status().state != "ok"
        ]
        alarms += [
            f"{joiner.vm} ({joiner.member_id}) waits to replace a voter"
            for joiner in parts.admissions.waiting_joiners()
        ]
        alarms += parts.missing_voters()
        if parts.leases.remaining_s() <= 0:
            alarms.append("no lease: this process sees no quorum")
        return tuple(alarms)


def _not_replaced(
    group: int, revision: int, error: ControlError
) -> ChangeAnswer:
    if group == CONFIGURATION_GROUP:
        return ChangeAnswer("refused", revision, str(error))
    # The answer "refused" would mean that no log was changed.
    raise OutcomeUnknown(
        f"earlier logs are done, log {group} is not: {error};"
        " repeat the command"
    ) from error


__all__ = ["ControlBackend", "Parts"]
