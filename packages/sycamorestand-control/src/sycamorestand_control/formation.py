"""Creation of a cluster, by the one process that may do it."""

from __future__ import annotations

import logging
import secrets
import time
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_control.creation_right import CreationRight
from sycamorestand_control.creator_choice import choose_creator
from sycamorestand_control.errors import NoLeader
from sycamorestand_control.errors import OutcomeUnknown
from sycamorestand_control.errors import StartRefused
from sycamorestand_control.forming_watch import FormingState
from sycamorestand_control.groups import CONFIGURATION_GROUP
from sycamorestand_control.joining import cluster_exists
from sycamorestand_state.commands import CreateCluster
from sycamorestand_state.commands import encode_command

if TYPE_CHECKING:
    from sycamorestand_control.control_directory import ControlDirectory
    from sycamorestand_control.creator_choice import CreatorChoice
    from sycamorestand_control.groups import LogGroups
    from sycamorestand_control.settings import ControlSettings
    from sycamorestand_peer.mesh import PeerMesh
    from sycamorestand_peer.messages import CreationAppointment
    from sycamorestand_state.configuration import ConfigurationMachine

LOG: Final = logging.getLogger(__name__)
CREATE_TIMEOUT_S: Final = 10.0
POLL_S: Final = 0.1
SESSION_KEY_BYTES: Final = 32
FIRST_OPERATOR: Final = "first-admin"


async def create_cluster(
    settings: ControlSettings,
    mesh: PeerMesh,
    groups: LogGroups,
    configuration: ConfigurationMachine,
) -> None:
    """Create a new cluster, unless the data folder belongs to one already.

    A process that restarts with the setting still in place continues with
    the log in its folder. Raises `StartRefused` if another cluster exists
    or refuses the creation.
    """
    await _refuse_second_cluster(settings, mesh, groups)
    await _create_cluster(settings, mesh, groups, configuration)


async def _create_cluster(
    settings: ControlSettings,
    mesh: PeerMesh,
    groups: LogGroups,
    configuration: ConfigurationMachine,
) -> None:
    """Bootstrap every log that is blank, and commit the creation."""
    own_member = [(groups.member_id, settings.peer_address)]
    await groups.bootstrap_blank(own_member)
    if configuration.cluster is not None:
        return
    command = CreateCluster(
        change_id="create-cluster",
        operator=FIRST_OPERATOR,
        now_s=time.time(),
        cluster_id=secrets.token_hex(8),
        session_key=secrets.token_bytes(SESSION_KEY_BYTES),
        shard_count=settings.ledger_shards,
        admin_key_hash=settings.first_operator_key_hash,
    )
    result = await groups.propose(
        CONFIGURATION_GROUP,
        encode_command(command),
        CREATE_TIMEOUT_S,
        while_forming=True,
    )
    if result.outcome == "refused" and configuration.cluster is None:
        raise StartRefused(result.message)


class ClusterCreator:
    """Creates the cluster if the right to do so is in the data folder.

    The right is narrowed to this process before its first use, so that it
    needs no further reports after a kill, and is removed once a cluster
    exists. While it is kept, each step of the creation is repeated.
    """

    def __init__(
        self,
        settings: ControlSettings,
        mesh: PeerMesh,
        groups: LogGroups,
        configuration: ConfigurationMachine,
        directory: ControlDirectory,
    ) -> None:
        self._settings = settings
        self._mesh = mesh
        self._groups = groups
        self._configuration = configuration
        self._directory = directory
        self._right = CreationRight(settings.data_folder)
        self.seeds = self._right.read()
        self._other_creator = ""

    async def run(self) -> None:
        """Create the cluster once this process may, until there is one."""
        while self._configuration.cluster is None:
            choice = self._choice()
            if choice.creator == self._mesh.address:
                await self._create()
            elif choice.creator:
                self._other_creator = choice.creator
                self._drop_right()
            await anyio.sleep(POLL_S)
        self._drop_right()

    async def handle_appointment(
        self, sender: str, message: CreationAppointment
    ) -> None:
        """Take the right that the first seed grants to this data folder.

        An emptied disk has another member id, so that its former right does
        not come back with a repeated appointment.
        """
        is_meant = message.member_id == self._groups.member_id
        if is_meant and not self.seeds and await self._groups.is_blank():
            LOG.info("appointed as creator", extra={"by": sender})
            self._narrow_right()

    def state(self) -> FormingState | None:
        """Return who may create the cluster, None once there is one."""
        replica = self._groups.replicas[CONFIGURATION_GROUP]
        if self._configuration.cluster is not None or (
            replica.status().members and not self.seeds
        ):
            return None
        own = self._mesh.address
        if self._settings.first_start:
            return FormingState(own, "first start")
        choice = self._choice()
        if choice.waits_for:
            return FormingState("", "seeds not heard", choice.waits_for)
        if choice.creator == own:
            return FormingState(own, "creates the cluster")
        if self._other_creator:
            return FormingState(self._other_creator, "waits to be let in")
        return FormingState("", "no right to create; waits to be let in")

    async def _create(self) -> None:
        if await self._groups.is_blank():
            self._narrow_right()
            if await self._is_another_cluster_known():
                LOG.warning("a cluster exists already; none is created")
                self._drop_right()
                return
        elif self.seeds != (self._mesh.address,):
            # The members of another process's cluster have let it in.
            self._drop_right()
            return
        try:
            await _create_cluster(
                self._settings, self._mesh, self._groups, self._configuration
            )
        except (NoLeader, OutcomeUnknown, StartRefused) as error:
            LOG.warning(
                "creation of the cluster not committed",
                extra={"reason": str(error)},
            )

    async def _is_another_cluster_known(self) -> bool:
        if self._directory.cluster_heard():
            return True
        asked = [
            address
            for address in self._directory.addresses()
            if (report := self._directory.report_of(address)) is None
            or report.has_disk
        ]
        return await cluster_exists(
            self._mesh, self._groups, asked, self._settings.vm
        )

    def _choice(self) -> CreatorChoice:
        return choose_creator(
            self._mesh.address, True, self.seeds, self._directory.report_of
        )

    def _narrow_right(self) -> None:
        own = (self._mesh.address,)
        if self.seeds != own:
            self._right.write(own)
            self.seeds = own

    def _drop_right(self) -> None:
        if self.seeds:
            self._right.remove()
            self.seeds = ()


async def _refuse_second_cluster(
    settings: ControlSettings, mesh: PeerMesh, groups: LogGroups
) -> None:
    """Raise `StartRefused` if another process belongs to a cluster.

    A voter whose disk was lost, with the first-start setting still in
    place, would otherwise create an empty cluster. It would grant its
    entries leases under a configuration without any withdrawals.
    """
    if not await groups.is_blank():
        return
    controls = settings.control_addresses
    if await cluster_exists(mesh, groups, controls, settings.vm):
        raise StartRefused(
            "another control process belongs to a cluster already; leave"
            " out --first-start, and this one asks to join it"
        )


__all__ = ["ClusterCreator", "create_cluster"]
