"""Grant and hold configuration leases in a control process."""

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
RETRY_INTERVAL_S: Final = 0.05
# Expired leases of entries are dropped once in this many rounds of `run`.
FORGET_EVERY_ROUNDS: Final = 25


class _LeaderTerm(NamedTuple):
    number: int
    table: LeaseTable


class LeaseService:
    """Holds this process's lease and grants leases to its entries.

    An entry's lease ends before the lease of the process that granted it.
    While the process leads, it also grants the leases of all control
    processes, including its own. ``revision_at`` returns the revision after
    an index of the log, None if that is not known. ``differing`` holds the
    control processes that had another one there.
    """

    def __init__(
        self,
        mesh: PeerMesh,
        groups: LogGroups,
        revision: Callable[[], int],
        revision_at: Callable[[int], int | None] = lambda _: None,
    ) -> None:
        self._mesh = mesh
        self._groups = groups
        self._revision = revision
        self._revision_at = revision_at
        self.differing: set[str] = set()
        self._held = HeldLease()
        self._entries = control_table(boottime_s())
        self._term: _LeaderTerm | None = None
        self._renew_now = anyio.Event()
        self._reported_revision = -1
        self._was_held = False

    def remaining_s(self) -> float:
        """Return how many seconds this process may still grant leases."""
        return self._held.remaining_s(boottime_s())

    def revision_applied(self) -> None:
        """Require the newly applied revision of every lease holder."""
        revision = self._revision()
        self._entries.require(revision)
        if self._term is not None:
            self._term.table.require(revision)
        self._renew_now.set()

    def grant_entry(
        self, holder: str, acked_revision: int
    ) -> LeaseGrant | None:
        """Grant or renew an entry's lease, or return None to deny it."""
        grant = self._entries.grant(
            holder, acked_revision, boottime_s(), self.remaining_s()
        )
        if self._acked_revision() > self._reported_revision:
            # An operator waits for this acknowledgement, and the next renewal
            # would send it up to `RENEW_INTERVAL_S` later.
            self._renew_now.set()
        return grant

    def live_entries(self) -> tuple[str, ...]:
        """Return the entries whose lease may not have expired yet."""
        return self._entries.live_holders(boottime_s())

    def in_force(self, revision: int) -> InForceStatus | None:
        """Return whether a revision is in force, as the leader knows it.

        Returns None if this process does not lead or has not applied the
        revision yet.
        """
        table = self._leading_table()
        if table is None or self._revision() < revision:
            return None
        return table.in_force(revision, boottime_s())

    def live_controls(self) -> tuple[str, ...]:
        """Return the control processes whose lease may not have expired.

        Only the leader knows them; other processes return none.
        """
        table = self._leading_table()
        return () if table is None else table.live_holders(boottime_s())

    def handle_request(
        self, sender: str, message: ControlLeaseRequest
    ) -> None:
        """Grant a control process's lease if this process leads."""
        granted = self._grant_control(message)
        if granted is not None:
            self._mesh.send(sender, granted)

    def handle_grant(self, message: ControlLeaseGranted) -> None:
        """Store the lease that the leader has granted to this process."""
        grant = LeaseGrant(message.length_s, message.revision)
        self._held.renew(message.sent_at_s, grant)

    async def run(self) -> None:
        """Renew this process's own lease until cancelled."""
        rounds = 0
        while True:
            self._renew_now = anyio.Event()
            await self._sync_term()
            self._renew()
            self._log_lease_change()
            rounds += 1
            if rounds % FORGET_EVERY_ROUNDS == 0:
                self._entries.forget_expired(boottime_s())
            # Without a lease the process asks more often: after a start it
            # only waits until the leader is known.
            pause_s = (
                RENEW_INTERVAL_S
                if self.remaining_s() > 0
                else RETRY_INTERVAL_S
            )
            with anyio.move_on_after(pause_s):
                await self._renew_now.wait()

    def _renew(self) -> None:
        acked_revision = self._acked_revision()
        status = self._groups.replicas[CONFIGURATION_GROUP].status()
        request = ControlLeaseRequest(
            self._mesh.address,
            boottime_s(),
            acked_revision,
            self._revision(),
            status.applied_index,
        )
        if self._leading_table() is not None:
            granted = self._grant_control(request)
            if granted is not None:
                self.handle_grant(granted)
        else:
            address = self._groups.leader_address(CONFIGURATION_GROUP)
            if address and address != self._mesh.address:
                self._mesh.send(address, request)
        self._reported_revision = acked_revision

    def _log_lease_change(self) -> None:
        """Log when the lease is lost or held again.

        A process without a lease may be cut off, so messages to it may
        reach no other process.
        """
        is_held = self.remaining_s() > 0
        if is_held == self._was_held:
            return
        self._was_held = is_held
        LOG.info("control lease held" if is_held else "control lease lost")

    def _acked_revision(self) -> int:
        return self._entries.revision_to_acknowledge(
            self._revision(), boottime_s()
        )

    def _grant_control(
        self, message: ControlLeaseRequest
    ) -> ControlLeaseGranted | None:
        table = self._leading_table()
        if table is None or self._is_different(message):
            return None
        replica = self._groups.replicas[CONFIGURATION_GROUP]
        # The leader's lease is read after the request arrived: an earlier
        # quorum does not show that the leader has not been cut off since.
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

    def _is_different(self, message: ControlLeaseRequest) -> bool:
        """Return whether a control process applied the log differently.

        Replicas of one release cannot. One of another release might take
        what this one refuses, and its entries would then act on a
        configuration that nobody acknowledged; so it gets no lease.
        """
        expected = self._revision_at(message.applied_index)
        if expected is None or expected == message.held_revision:
            self.differing.discard(message.control)
            return False
        if message.control not in self.differing:
            self.differing.add(message.control)
            LOG.error(
                "control process has another state: it gets no lease",
                extra={
                    "control": message.control,
                    "index": message.applied_index,
                    "revision": message.held_revision,
                    "expected_revision": expected,
                },
            )
        return True

    def _leading_table(self) -> LeaseTable | None:
        status = self._groups.replicas[CONFIGURATION_GROUP].status()
        if self._term is None or status.role != "leader":
            return None
        return self._term.table if self._term.number == status.term else None

    async def _sync_term(self) -> None:
        """Create a new lease table when this process becomes the leader.

        Only after the read barrier has this process applied every revision
        that an earlier leader may have reported as in force.
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
        self._term = _LeaderTerm(status.term, table)
        LOG.info("leads", extra={"term": status.term})


__all__ = ["LeaseService"]
