"""Appointment of the cluster's creator by a first seed without a disk."""

from __future__ import annotations

import logging
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_control.creator_choice import choose_appointee
from sycamorestand_control.creator_choice import choose_creator
from sycamorestand_control.creator_choice import NO_SEED_HAS_DISK
from sycamorestand_control.forming_watch import FormingState
from sycamorestand_peer.messages import CreationAppointment

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sycamorestand_control.control_directory import ControlDirectory
    from sycamorestand_control.creator_choice import Appointee
    from sycamorestand_control.creator_choice import CreatorChoice
    from sycamorestand_peer.mesh import PeerMesh

LOG: Final = logging.getLogger(__name__)
APPOINT_INTERVAL_S: Final = 0.2


class CreatorAppointer:
    """Appoints one process with a disk, if none of the seeds has one.

    ``seeds`` are those of the first start; a process that starts later has
    none and appoints nobody, since it cannot know whom it has appointed
    before. For the same reason an appointment is never changed.
    """

    def __init__(
        self, mesh: PeerMesh, seeds: Sequence[str], directory: ControlDirectory
    ) -> None:
        self._mesh = mesh
        self._seeds = tuple(seeds)
        self._directory = directory
        self._appointee: Appointee | None = None

    async def run(self) -> None:
        """Appoint, and repeat that until a cluster is heard of."""
        while not self._directory.cluster_heard():
            if self._seeds[:1] == (self._mesh.address,):
                self.appoint()
            await anyio.sleep(APPOINT_INTERVAL_S)

    def appoint(self) -> None:
        """Send the appointment, once no seed can have a disk."""
        if self._appointee is None:
            self._appointee = self._choose()
            if self._appointee is None:
                return
            LOG.info(
                "creator of the cluster appointed",
                extra=self._appointee._asdict(),
            )
        message = CreationAppointment(self._appointee.member_id)
        self._mesh.send(self._appointee.address, message)

    def state(self) -> FormingState | None:
        """Return who may create the cluster, None once one is heard of."""
        if self._directory.cluster_heard():
            return None
        if not self._seeds:
            return FormingState("", "no cluster heard; not the first start")
        if self._appointee is not None:
            return FormingState(self._appointee.address, "appointed")
        choice = self._choice()
        if choice.creator:
            return FormingState(choice.creator, "first seed with a disk")
        if choice.waits_for:
            return FormingState("", "seeds not heard", choice.waits_for)
        return FormingState("", "no seed has a disk", self._seeds[:1])

    def _choose(self) -> Appointee | None:
        if self._choice() != NO_SEED_HAS_DISK:
            return None
        directory = self._directory
        return choose_appointee(directory.with_disk(), directory.report_of)

    def _choice(self) -> CreatorChoice:
        return choose_creator(
            self._mesh.address, False, self._seeds, self._directory.report_of
        )


__all__ = ["CreatorAppointer"]
