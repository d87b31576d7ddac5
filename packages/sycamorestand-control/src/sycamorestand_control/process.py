"""Build and run a control process."""

from __future__ import annotations

import functools
import logging
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

import anyio
from anyio.abc import TaskStatus
import msgspec

from sycamorestand_consensus.errors import ConsensusError
from sycamorestand_consensus.settings import MEBIBYTE
from sycamorestand_consensus.settings import settings_within
from sycamorestand_control.arrival_lender import ArrivalLender
from sycamorestand_control.background import keep_running
from sycamorestand_control.control_directory import ControlDirectory
from sycamorestand_control.control_directory import ControlReport
from sycamorestand_control.control_exchange import ControlExchange
from sycamorestand_control.control_exchange import CONTROLS
from sycamorestand_control.ends_file import EndsFile
from sycamorestand_control.errors import ControlError
from sycamorestand_control.failure_controller import FailureController
from sycamorestand_control.formation import ClusterCreator
from sycamorestand_control.formation import create_cluster
from sycamorestand_control.forming_watch import FormingWatch
from sycamorestand_control.groups import CONFIGURATION_GROUP
from sycamorestand_control.groups import FIRST_LEDGER_GROUP
from sycamorestand_control.groups import Group
from sycamorestand_control.groups import LogGroups
from sycamorestand_control.hub import EntryHub
from sycamorestand_control.joining import ask_to_join
from sycamorestand_control.known_controls_file import KnownControlsFile
from sycamorestand_control.leader_balancer import LeaderBalancer
from sycamorestand_control.lease_service import LeaseService
from sycamorestand_control.ledger_reader import LedgerReader
from sycamorestand_control.ledger_writer import LedgerWriter
from sycamorestand_control.limit_controller import LimitController
from sycamorestand_control.load_exchange import LoadExchange
from sycamorestand_control.membership import MembershipManager
from sycamorestand_control.metrics import ControlMetrics
from sycamorestand_control.observed_machine import ObservedMachine
from sycamorestand_control.operator_api.app import make_operator_app
from sycamorestand_control.operator_api.authentication import make_authenticate
from sycamorestand_control.operator_backend import ControlBackend
from sycamorestand_control.operator_backend import Parts
from sycamorestand_control.operator_server import OperatorServer
from sycamorestand_control.order_turns import OrderTurns
from sycamorestand_control.orders.service import make_orders
from sycamorestand_control.orders.service import OrderSettings
from sycamorestand_control.part_controller import PartController
from sycamorestand_control.progress_watch import group_progress
from sycamorestand_control.progress_watch import ProgressWatch
from sycamorestand_control.rating_exchange import RatingExchange
from sycamorestand_control.session_relay import SessionRelay
from sycamorestand_control.tables import SharedTables
from sycamorestand_control.version_controller import VersionController
from sycamorestand_control.voter_watch import VoterWatch
from sycamorestand_decisions.server_limits import NO_LIMIT
from sycamorestand_model.in_force import cold_requests_per_s
from sycamorestand_model.ledger import LedgerResult
from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.mesh import PeerMesh
from sycamorestand_peer.messages import AnnouncementRelay
from sycamorestand_peer.messages import ArrivalTrade
from sycamorestand_peer.messages import CallReply
from sycamorestand_peer.messages import ControlLeaseGranted
from sycamorestand_peer.messages import ControlLeaseRequest
from sycamorestand_peer.messages import CreationAppointment
from sycamorestand_peer.messages import EndsWanted
from sycamorestand_peer.messages import EntryLoads
from sycamorestand_peer.messages import JoinRequest
from sycamorestand_peer.messages import LeaseRequest
from sycamorestand_peer.messages import LedgerBatch
from sycamorestand_peer.messages import PartsReport
from sycamorestand_peer.messages import ProposalForward
from sycamorestand_peer.messages import Query
from sycamorestand_peer.messages import ReplicaPayload
from sycamorestand_peer.messages import SampleReport
from sycamorestand_peer.messages import ServerEnded
from sycamorestand_peer.messages import ServersSeen
from sycamorestand_peer.messages import SessionsStay
from sycamorestand_peer.messages import SharedLoads
from sycamorestand_peer.messages import SharedRatings
from sycamorestand_peer.messages import TableResync
from sycamorestand_peer.messages import TableUpdate
from sycamorestand_peer.messages import TokensGranted
from sycamorestand_peer.messages import TokensWanted
from sycamorestand_state.configuration import ConfigurationMachine
from sycamorestand_state.ledger import LedgerMachine
from sycamorestand_state.results import ChangeResult

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_control.settings import ControlSettings

LOG: Final = logging.getLogger(__name__)
LEDGER_TIMEOUT_S: Final = 1.4
# The share of the memory that messages to all peers may take while they wait.
QUEUE_SHARE: Final = 1 / 8
# Control processes that no settings name start with the others and have
# joined by then, also on a busy machine.
FORMING_S: Final = 10.0
# The revision after the creation of the cluster.
CREATION_REVISION: Final = 1


class ControlProcess:
    """Builds and connects the parts of a control process."""

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        self._started_s = boottime_s()
        self.configuration = ConfigurationMachine()
        self.shards = [
            LedgerMachine(number) for number in range(settings.ledger_shards)
        ]
        self.mesh = PeerMesh(
            settings.peer_address,
            settings.cluster_keys,
            self._dispatch,
            settings.peer_listen or None,
            settings.tls,
            int(settings.memory_limit_mb * MEBIBYTE * QUEUE_SHARE),
        )
        self.turns = OrderTurns(int(settings.memory_limit_mb * MEBIBYTE))
        groups = self._group_table()
        self.groups = LogGroups(
            self.mesh,
            settings.data_folder,
            settings_within(
                int(settings.memory_limit_mb * MEBIBYTE),
                int(settings.disk_limit_mb * MEBIBYTE),
                len(groups),
            ),
            groups,
            self._voters_needed,
        )
        self.directory = ControlDirectory(
            settings.peer_address, settings.control_addresses
        )
        self.exchange = ControlExchange(
            self.mesh, self.directory, self._own_report, self._members
        )
        self.known_controls = KnownControlsFile(
            settings.data_folder, self.exchange.addresses
        )
        self.directory.recall(self.known_controls.read())
        self.tables = SharedTables(
            self.mesh, self.directory, self._other_controls
        )
        self.creator = ClusterCreator(
            settings,
            self.mesh,
            self.groups,
            self.configuration,
            self.directory,
        )
        # Later settings may name none of the seeds of the first start.
        self.set_control_addresses(settings.control_addresses)
        self.leases = LeaseService(
            self.mesh,
            self.groups,
            lambda: self.configuration.revision,
            self._revision_at,
        )
        self.hub = EntryHub(
            self.mesh,
            self.leases,
            self.tables,
            self.configuration.in_force,
            self._controls_for_entries,
            self._voters,
        )
        self.version_controller = VersionController(
            self.groups, self.configuration
        )
        self.ratings = RatingExchange(
            self.mesh, self.hub.attached_addresses, self._other_controls
        )
        self.sessions = SessionRelay(
            self.mesh, self.hub.attached_addresses, self._other_controls
        )
        self.limits = LimitController(
            self.mesh,
            self.groups,
            self.hub.attached_addresses,
            self._other_controls,
            self.tables.servers,
            self._cold_limit_per_s,
        )
        self.loads = LoadExchange(
            self.mesh,
            self.hub.attached_addresses,
            self._other_controls,
            self.tables.servers,
        )
        self.failures = FailureController(
            self.mesh,
            self.groups,
            self.hub.attached_addresses,
            self._other_controls,
            self.tables.servers,
            self.limits,
        )
        self.parts = PartController(
            self.mesh,
            self.groups,
            self.configuration,
            self.hub.attached_addresses,
            self._other_controls,
            EndsFile(settings.data_folder),
            self.tables.servers,
        )
        self.lender = ArrivalLender(
            self.mesh, settings.allowance, self._voters
        )
        self.orders = make_orders(
            self.groups,
            self.configuration,
            self.tables,
            self.version_controller,
            OrderSettings(
                settings.weight_store_url, settings.weight_store_loads
            ),
        )
        self.membership = MembershipManager(
            self.mesh,
            self.groups,
            settings.voters_wanted,
            settings.replace_lost_voters,
            lambda address: self.tables.control_name(address).data_centre,
        )
        self.balancer = LeaderBalancer(self.mesh, self.groups)
        self.ledger_writers = [
            LedgerWriter(self._shard_proposer(number))
            for number in range(settings.ledger_shards)
        ]
        parts = Parts(
            settings.vm,
            settings.data_centre,
            self.mesh,
            self.groups,
            self.configuration,
            self.leases,
            self.tables,
            LedgerReader(self.shards),
            self.membership,
            self.version_controller,
            lambda: settings.cluster_keys()[0],
            lambda: self.limits.limits_per_s,
            settings.voters_wanted,
            settings.may_lose_data_centre,
            self.loads.total,
        )
        self.backend = ControlBackend(parts)
        self.voter_watch = VoterWatch(parts.missing_voters)
        self.progress_watches = [
            ProgressWatch(
                number,
                functools.partial(group_progress, replica, self.mesh),
            )
            for number, replica in self.groups.replicas.items()
        ]
        self.forming_watch = FormingWatch(self.creator.state)
        self.metrics = ControlMetrics(
            parts,
            self.ledger_writers,
            self.orders,
            self.balancer,
            self.lender,
            self.parts,
            self.limits,
            self.loads,
            self.turns,
        )
        self._tasks: anyio.abc.TaskGroup | None = None
        self._handlers = self._handler_table()

    async def run(
        self,
        stop: anyio.Event,
        *,
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until ``stop`` is set, then transfer leadership and end.

        Raises `StartRefused` if the process cannot start.
        """
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await tasks.start(self.mesh.run)
            tasks.start_soon(self.groups.run)
            for task in (
                self.exchange.run,
                self.known_controls.run,
                self.leases.run,
                self.hub.run,
                self.tables.run,
                self.version_controller.run,
                self.orders.channel.run,
                self.orders.planner.run,
                self.membership.run,
                self.ratings.run,
                self.sessions.run,
                self.parts.run,
                self.limits.run,
                self.loads.run,
                self.failures.run,
                self.balancer.run,
                self.voter_watch.run,
                *(watch.run for watch in self.progress_watches),
                self.forming_watch.run,
                *(writer.run for writer in self.ledger_writers),
            ):
                tasks.start_soon(keep_running, task, self._count_fault)
            operators = self._operator_server()
            tasks.start_soon(operators.run)
            await self._form_cluster()
            task_status.started()
            await stop.wait()
            LOG.info("planned stop begins")
            await self._hand_over()
            await operators.stop()
            tasks.cancel_scope.cancel()

    def set_control_addresses(self, addresses: tuple[str, ...]) -> None:
        """Replace the addresses of control processes in the settings.

        Entries and joining processes that start with these ask there, also
        where a process has no disk and has to be told who votes.
        """
        self.directory.set_named((*addresses, *self.creator.seeds))

    async def _form_cluster(self) -> None:
        if self._settings.first_start:
            await create_cluster(
                self._settings, self.mesh, self.groups, self.configuration
            )
        assert self._tasks is not None
        self._tasks.start_soon(
            keep_running, self.creator.run, self._count_fault
        )
        join = functools.partial(
            ask_to_join,
            self.mesh,
            self.groups,
            self.exchange.addresses,
            self._settings.vm,
            self._settings.replace_lost_voters,
        )
        self._tasks.start_soon(keep_running, join, self._count_fault)

    def _count_fault(self) -> None:
        self.mesh.counters.faults += 1

    async def _hand_over(self) -> None:
        try:
            await self.groups.hand_over()
        except ConsensusError as error:
            LOG.warning("leadership kept", extra={"reason": str(error)})

    def _operator_server(self) -> OperatorServer:
        settings = self._settings
        authenticate = make_authenticate(
            lambda: self.configuration.in_force().declarations,
            settings.first_operator_key_hash,
        )
        application = make_operator_app(
            self.backend,
            authenticate,
            lambda code: self.metrics.refusals.inc({"code": code}),
            self.metrics.render,
            self.turns,
        )
        return OperatorServer(
            application, settings.operator_host, settings.operator_port
        )

    def _other_controls(self) -> tuple[str, ...]:
        """Return the peer addresses of those that share what entries tell.

        These are the other members of the log and the processes with a disk
        that are heard.
        """
        others = {*self._members(), *self.directory.with_disk()}
        others.discard(self.mesh.address)
        return tuple(sorted(others))

    def _controls_for_entries(self) -> tuple[str, ...]:
        """Return where an entry that gets no lease here may ask."""
        every = (*self._other_controls(), *self.exchange.addresses())
        return tuple(dict.fromkeys(every))

    def _voters_needed(self) -> int:
        """Return how many voters a log needs before it takes commands.

        As many as are wanted, or as there can be: no more can vote than the
        settings name or this process hears. Settings that do not name all
        leave the others `FORMING_S` to be heard before the first change.
        """
        settings = self._settings
        is_forming = (
            not settings.names_all_controls
            and self.configuration.revision <= CREATION_REVISION
            and boottime_s() - self._started_s < FORMING_S
        )
        if is_forming:
            return settings.voters_wanted
        named = len(settings.control_addresses)
        others = max(named, len(self.directory.with_disk()))
        return min(settings.voters_wanted, 1 + others)

    def _own_report(self) -> ControlReport:
        status = self.groups.replicas[CONFIGURATION_GROUP].status()
        serves = bool(status.members) and bool(status.leader_id)
        if status.role == "leader":
            serves = serves and self.leases.remaining_s() > 0
        return ControlReport(
            self._settings.vm,
            self._settings.data_centre,
            True,
            serves,
            bool(status.members),
            self.groups.member_id,
        )

    def _members(self) -> tuple[str, ...]:
        """Return the peer addresses of all members, this one included."""
        members = self.groups.replicas[CONFIGURATION_GROUP].status().members
        return tuple(member.address for member in members)

    def _cold_limit_per_s(self, name: str) -> float:
        """Return what a backend server takes while it is cold."""
        server = self.tables.servers().get(name)
        if server is None:
            return NO_LIMIT
        in_force = self.configuration.in_force()
        return cold_requests_per_s(in_force, server) or NO_LIMIT

    def _voters(self) -> tuple[str, ...]:
        """Return the peer addresses of all voters, this one included."""
        members = self.groups.replicas[CONFIGURATION_GROUP].status().members
        return tuple(member.address for member in members if member.voter)

    def _group_table(self) -> dict[int, Group]:
        groups = {
            CONFIGURATION_GROUP: Group(
                ObservedMachine(self.configuration, self._revision_applied),
                ChangeResult,
            )
        }
        for number, machine in enumerate(self.shards):
            groups[FIRST_LEDGER_GROUP + number] = Group(
                machine, list[LedgerResult]
            )
        return groups

    def _revision_at(self, index: int) -> int | None:
        replica = self.groups.replicas[CONFIGURATION_GROUP]
        if not 0 < index <= replica.status().applied_index:
            return None
        return self.configuration.revision_at(index)

    def _revision_applied(self) -> None:
        self.leases.revision_applied()
        try:
            self.hub.revision_applied()
        except Exception:
            # This runs while a committed command is applied, and the state
            # has changed. An error raised further would end the process
            # here at each start; renewals of leases push again.
            self._count_fault()
            LOG.exception("revision not sent to entries")

    def _shard_proposer(self, shard: int) -> Any:
        async def propose(command: bytes) -> Any:
            return await self.groups.propose(
                FIRST_LEDGER_GROUP + shard, command, LEDGER_TIMEOUT_S
            )

        return propose

    def _dispatch(self, sender: str, message: Any) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(sender, message)

    def _handler_table(self) -> dict[type, Callable[[str, Any], None]]:
        return {
            ReplicaPayload: self.groups.receive,
            LeaseRequest: self.hub.handle_lease_request,
            AnnouncementRelay: self._handle_announcement,
            TableUpdate: self._handle_table_update,
            TableResync: self.tables.handle_resync,
            ControlLeaseRequest: self.leases.handle_request,
            ControlLeaseGranted: self._handle_lease_grant,
            JoinRequest: self.membership.handle_join_request,
            CreationAppointment: self._handle_appointment,
            SampleReport: self._handle_sample_report,
            SessionsStay: self.sessions.handle_sessions_stay,
            ServerEnded: self.parts.handle_server_ended,
            PartsReport: self.parts.handle_parts_report,
            EndsWanted: self.parts.handle_ends_wanted,
            ArrivalTrade: self.lender.handle_trade,
            TokensWanted: self.limits.handle_wanted,
            TokensGranted: self.limits.handle_granted,
            ServersSeen: self.failures.handle_seen,
            EntryLoads: self.loads.handle_entry_loads,
            SharedLoads: self.loads.handle_shared_loads,
            SharedRatings: self._handle_shared_ratings,
            LedgerBatch: self._handle_ledger_batch,
            ProposalForward: self._handle_forward,
            Query: self._handle_query,
        }

    def _handle_table_update(self, sender: str, message: TableUpdate) -> None:
        if message.table == CONTROLS:
            self.exchange.handle_report(sender, message)
        else:
            self.tables.handle_update(sender, message)

    def _handle_announcement(
        self, sender: str, message: AnnouncementRelay
    ) -> None:
        self.tables.handle_announcement(message.announcement)

    def _handle_lease_grant(
        self, sender: str, message: ControlLeaseGranted
    ) -> None:
        self.leases.handle_grant(message)

    def _handle_appointment(
        self, sender: str, message: CreationAppointment
    ) -> None:
        self._start_task(self.creator.handle_appointment, sender, message)

    def _handle_sample_report(
        self, sender: str, message: SampleReport
    ) -> None:
        """Process an entry's counts and forward them to the leader.

        The forwarded copy has no ratings, because the rating exchange
        already shares them. Reports from other control processes are not
        forwarded again.
        """
        self.version_controller.handle_report(message)
        leader = self.groups.leader_address(CONFIGURATION_GROUP)
        if sender in self.exchange.addresses():
            return
        self.ratings.add_ratings(sender, message.ratings)
        if leader and leader != self.mesh.address:
            self.mesh.send(leader, message._replace(ratings=()))

    def _handle_shared_ratings(
        self, sender: str, message: SharedRatings
    ) -> None:
        self.ratings.add_ratings(sender, message.ratings)

    def _handle_ledger_batch(self, sender: str, message: LedgerBatch) -> None:
        self._start_task(self._answer_batch, sender, message)

    def _handle_forward(self, sender: str, message: ProposalForward) -> None:
        self._start_task(self.groups.handle_forward, sender, message)

    def _handle_query(self, sender: str, message: Query) -> None:
        self._start_task(self.backend.queries.handle_query, sender, message)

    def _start_task(self, function: Any, *arguments: Any) -> None:
        assert self._tasks is not None
        self._tasks.start_soon(self._run_guarded, function, *arguments)

    async def _run_guarded(self, function: Any, *arguments: Any) -> None:
        try:
            await function(*arguments)
        except Exception:
            # A single message, such as a batch from another release, must not
            # end the voter.
            self.mesh.counters.faults += 1
            LOG.exception("message handler failed")

    async def _answer_batch(self, sender: str, message: LedgerBatch) -> None:
        if not 0 <= message.shard < len(self.ledger_writers):
            reply = CallReply(message.call_id, "no such shard", b"")
            self.mesh.send(sender, reply)
            return
        try:
            results = await self.ledger_writers[message.shard].submit(
                message.command
            )
        except ControlError as error:
            reply = CallReply(message.call_id, str(error), b"")
        else:
            payload = msgspec.msgpack.encode(results)
            reply = CallReply(message.call_id, "", payload)
        self.mesh.send(sender, reply)


__all__ = ["ControlProcess"]
