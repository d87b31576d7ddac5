"""Both levels of configuration leases, as one control process runs them."""

from __future__ import annotations

import logging
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio

from sycamorestand_consensus.errors import ConsensusError
from sycamorestand_control.groups import CONFIGURATION_GROUP
from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.messages import ControlLeaseGranted
from sycamorestand_peer.messages import ControlLeaseRequest
from sycamorestand_state.leases import control_table
from sycamorestand_state.leases import HeldLease
from sycamorestand_state.leases import leader_table
from sycamorestand_state.leases import LeaseGrant
from sycamorestand_state.leases import RENEW_INTERVAL_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_control.groups import LogGroups
    from sycamorestand_peer.mesh import PeerMesh
    from sycamorestand_state.leases import InForceStatus
    from sycamorestand_state.leases import LeaseTable

LOG: Final = logging.getLogger(__name__)
ASK_S: Final = 0.05
FORGET_AFTER_ROUNDS: Final = 25


class _Term(NamedTuple):
    number: int
    table: LeaseTable


class LeaseService:
    """Holds this process's lease and grants those of entries under it.

    While the process leads, it also grants the leases of all control
    processes, its own included.
    """

    def __init__(
        self, mesh: PeerMesh, groups: LogGroups, revision: Callable[[], int]
    ) -> None:
        self._mesh = mesh
        self._groups = groups
        self._revision = revision
        self._held = HeldLease()
        self._entries = control_table(boottime_s())
        self._term: _Term | None = None
        self._kicked = anyio.Event()
        self._acked_sent = -1
        self._was_held = False

    def remaining_s(self) -> float:
        """Return how long this process may still grant leases."""
        return self._held.remaining_s(boottime_s())

    def revision_applied(self) -> None:
        """Ask of holders the revision that was just applied."""
        revision = self._revision()
        self._entries.require(revision)
        if self._term is not None:
            self._term.table.require(revision)
        self._kicked.set()

    def grant_entry(
        self, holder: str, acked_revision: int
    ) -> LeaseGrant | None:
        """Grant or renew the lease of an entry, None where it may not be."""
        grant = self._entries.grant(
            holder, acked_revision, boottime_s(), self.remaining_s()
        )
        if self._acked() > self._acked_sent:
            # An operator waits for this acknowledgement; the next renewal
            # would bring it up to an interval later.
            self._kicked.set()
        return grant

    def live_entries(self) -> tuple[str, ...]:
        """Return the entries whose lease may still run."""
        return self._entries.live_holders(boottime_s())

    def in_force(self, revision: int) -> InForceStatus | None:
        """Return the leader's answer, None while this process is none."""
        table = self._leading_table()
        if table is None or self._revision() < revision:
            return None
        return table.in_force(revision, boottime_s())

    def live_controls(self) -> tuple[str, ...]:
        """Return the control processes whose lease may still run."""
        table = self._leading_table()
        return () if table is None else table.live_holders(boottime_s())

    def request_received(
        self, sender: str, message: ControlLeaseRequest
    ) -> None:
        """Grant a control process's lease, where this process leads."""
        granted = self._grant_control(message)
        if granted is not None:
            self._mesh.send(sender, granted)

    def granted(self, message: ControlLeaseGranted) -> None:
        """Take a lease from the leader."""
        grant = LeaseGrant(message.length_s, message.revision)
        self._held.renew(message.sent_at_s, grant)

    async def run(self) -> None:
        """Renew this process's own lease until cancelled."""
        rounds = 0
        while True:
            self._kicked = anyio.Event()
            await self._follow_term()
            self._renew()
            self._log_change()
            rounds += 1
            if rounds % FORGET_AFTER_ROUNDS == 0:
                self._entries.forget_expired(boottime_s())
            # Without a lease it asks often: a process that has started
            # waits for the leader to be known and for nothing else.
            pause_s = RENEW_INTERVAL_S if self.remaining_s() > 0 else ASK_S
            with anyio.move_on_after(pause_s):
                await self._kicked.wait()

    def _renew(self) -> None:
        acked = self._acked()
        request = ControlLeaseRequest(
            self._mesh.address, boottime_s(), acked, self._revision()
        )
        if self._leading_table() is not None:
            granted = self._grant_control(request)
            if granted is not None:
                self.granted(granted)
        else:
            address = self._groups.leader_address(CONFIGURATION_GROUP)
            if address and address != self._mesh.address:
                self._mesh.send(address, request)
        self._acked_sent = acked

    def _log_change(self) -> None:
        """Log when the lease is lost, or held again.

        Without one the process may be cut off, and what is told to it
        reaches nobody.
        """
        held = self.remaining_s() > 0
        if held == self._was_held:
            return
        self._was_held = held
        LOG.info("control lease held" if held else "control lease lost")

    def _acked(self) -> int:
        return self._entries.revision_to_acknowledge(
            self._revision(), boottime_s()
        )

    def _grant_control(
        self, message: ControlLeaseRequest
    ) -> ControlLeaseGranted | None:
        table = self._leading_table()
        if table is None:
            return None
        replica = self._groups.replicas[CONFIGURATION_GROUP]
        # Read after the request came: a quorum that was there before says
        # nothing about a leader that has been cut off since.
        grant = table.grant(
            message.control,
            message.acked_revision,
            boottime_s(),
            replica.leader_lease_remaining_s(),
            message.held_revision,
        )
        if grant is None:
            return None
        return ControlLeaseGranted(
            message.sent_at_s, grant.length_s, grant.revision
        )

    def _leading_table(self) -> LeaseTable | None:
        status = self._groups.replicas[CONFIGURATION_GROUP].status()
        if self._term is None or status.role != "leader":
            return None
        return self._term.table if self._term.number == status.term else None

    async def _follow_term(self) -> None:
        """Start a table when this process has become the leader.

        Only after the barrier does it hold every revision that an earlier
        leader may have reported in force.
        """
        replica = self._groups.replicas[CONFIGURATION_GROUP]
        status = replica.status()
        if status.role != "leader":
            self._term = None
            return
        if self._term is not None and self._term.number == status.term:
            return
        became_leader_s = boottime_s()
        try:
            await replica.read_barrier()
        except ConsensusError:
            return
        table = leader_table(became_leader_s, self._revision())
        self._term = _Term(status.term, table)
        LOG.info("leads", extra={"term": status.term})


__all__ = ["LeaseService"]
