"""Leases that bound how long anybody acts on an old configuration.

What it answers: a withdrawn version must get no new work within seconds,
also from an entry that nobody can reach. An entry accepts new work only
while it holds a lease; a lease is renewed only for a holder that has the
newest revision; so a revision is in force once each lease under an older
one has been acknowledged over or has run out.

The tree has two levels: the leader grants to control processes while a
quorum backs it, control processes grant to entries out of what remains of
their own. A holder counts from when it *sent* its request, on its own
clock, so a delay on the way only shortens its lease. The granter counts
from when it granted and `DRIFT_MARGIN` longer. Clocks are monotonic ones
that go on while a machine is suspended (CLOCK_BOOTTIME).

Lengths: entries renew each 0.4 s, so a leader change of 1.5 s, which costs
four renewals in the worst case, leaves 2.0 - 0.4 - 1.5 > 0. A cut-off
control process runs out after 2.4 s times the margin, below the 3 s in
which a revision has to be in force everywhere.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

CONTROL_LEASE_S: Final = 2.4
ENTRY_LEASE_S: Final = 2.0
RENEW_INTERVAL_S: Final = 0.4
# Two clocks may differ by this share in rate, 0.5% fast against 0.5%
# slow; quartz differs by 0.02% and a slewing time daemon adds 0.05%.
DRIFT_MARGIN: Final = 0.01
# A shorter lease ends before the answer that brings it arrives.
MIN_GRANT_S: Final = 0.05


class LeaseGrant(NamedTuple):
    """What a granter promises, counted from the holder's sending time.

    ``revision`` is the one that the next renewal must hold.
    """

    length_s: float
    revision: int


class InForceStatus(NamedTuple):
    """Whether no lease lives under an older revision, and who is missing.

    ``earliest_s`` is when a new granter may say so at all, on its clock.
    """

    in_force: bool
    revision: int
    missing: tuple[str, ...]
    earliest_s: float


class _Holder(NamedTuple):
    acked_revision: int
    expires_s: float


class LeaseTable:
    """The leases that one process has granted, and its floor.

    The floor, ``required_revision``, only rises. It is what makes an
    acknowledgement final: no lease is granted under an older revision
    after it, whether to a new holder, a restarted or a lagging one.
    """

    def __init__(
        self,
        length_s: float,
        started_s: float,
        required_revision: int = 0,
        *,
        within_parent: bool,
    ) -> None:
        self._length_s = length_s
        self._within_parent = within_parent
        self._required_revision = required_revision
        self._holders: dict[str, _Holder] = {}
        # The leases of the predecessor, or of this process before its
        # restart, are known to nobody. Without the wait a revision would
        # be reported in force while an entry still works on an older one.
        self._earliest_in_force_s = started_s + _guarded(length_s)

    @property
    def earliest_in_force_s(self) -> float:
        """When leases that this table does not know have run out."""
        return self._earliest_in_force_s

    @property
    def required_revision(self) -> int:
        """The revision that a holder needs for a grant."""
        return self._required_revision

    def require(self, revision: int) -> None:
        """Grant from now on only to holders of this revision or above."""
        self._required_revision = max(self._required_revision, revision)

    def grant(
        self,
        holder: str,
        acked_revision: int,
        now_s: float,
        parent_remaining_s: float,
        held_revision: int | None = None,
    ) -> LeaseGrant | None:
        """Grant or renew, None where the holder may not have a lease.

        ``held_revision`` is what the holder itself has applied, where
        that differs from what all below it have acknowledged: a control
        process with one silent entry keeps its lease.
        """
        self.acknowledge(holder, acked_revision)
        held = acked_revision if held_revision is None else held_revision
        if held < self._required_revision:
            return None
        length_s = self._grant_length_s(parent_remaining_s)
        if length_s < MIN_GRANT_S:
            return None
        self._keep(holder, acked_revision, now_s + _guarded(length_s))
        return LeaseGrant(length_s, self._required_revision)

    def acknowledge(self, holder: str, revision: int) -> None:
        """Note that a holder accepts no new work under an older revision.

        It is final, so a late or doubled acknowledgement does no harm.
        """
        known = self._holders.get(holder)
        if known is not None and revision > known.acked_revision:
            self._holders[holder] = known._replace(acked_revision=revision)

    def in_force(self, revision: int, now_s: float) -> InForceStatus:
        """Tell whether no live lease stands below ``revision``.

        Where the answer is yes it stays so: the floor is raised with it.
        """
        missing = tuple(
            sorted(
                name
                for name, holder in self._holders.items()
                if holder.expires_s > now_s
                and holder.acked_revision < revision
            )
        )
        waited = now_s >= self._earliest_in_force_s
        in_force = waited and not missing
        if in_force:
            self.require(revision)
        return InForceStatus(
            in_force, revision, missing, self._earliest_in_force_s
        )

    def revision_to_acknowledge(self, own_revision: int, now_s: float) -> int:
        """Return what this process may acknowledge to its own granter.

        Its own revision once that is in force below it, otherwise the
        lowest that a live holder has; 0 before the wait is over.
        """
        if self.in_force(own_revision, now_s).in_force:
            return own_revision
        if now_s < self._earliest_in_force_s:
            return 0
        lowest = min(
            holder.acked_revision
            for holder in self._holders.values()
            if holder.expires_s > now_s
        )
        self.require(lowest)
        return lowest

    def live_holders(self, now_s: float) -> tuple[str, ...]:
        """Return the names of all holders whose lease may still live."""
        return tuple(
            name
            for name, holder in self._holders.items()
            if holder.expires_s > now_s
        )

    def forget_expired(self, now_s: float) -> tuple[str, ...]:
        """Drop holders whose lease has run out and return their names."""
        expired = tuple(
            name
            for name, holder in self._holders.items()
            if holder.expires_s <= now_s
        )
        for name in expired:
            del self._holders[name]
        return expired

    def _grant_length_s(self, parent_remaining_s: float) -> float:
        if parent_remaining_s <= 0.0:
            return 0.0
        if not self._within_parent:
            return self._length_s
        # What is granted, with its margin, ends before one's own lease.
        return min(self._length_s, parent_remaining_s / (1.0 + DRIFT_MARGIN))

    def _keep(self, holder: str, acked_revision: int, end_s: float) -> None:
        known = self._holders.get(holder)
        if known is None:
            self._holders[holder] = _Holder(acked_revision, end_s)
            return
        # An earlier, longer grant still holds where the new one is short.
        expires_s = max(known.expires_s, end_s)
        self._holders[holder] = known._replace(expires_s=expires_s)


class HeldLease:
    """The lease that this process holds, on its own clock."""

    def __init__(self) -> None:
        self._expires_s = float("-inf")

    def renew(self, sent_at_s: float, grant: LeaseGrant) -> None:
        """Take a grant for the request that was sent at ``sent_at_s``.

        Grants may come late and out of order; none shortens another, as
        the granter keeps the longest of them too.
        """
        self._expires_s = max(self._expires_s, sent_at_s + grant.length_s)

    def remaining_s(self, now_s: float) -> float:
        """Return how long new work may be accepted; zero where it is over.

        To be read again right before a request's first byte is written: a
        process may have been suspended since it last looked.
        """
        return max(0.0, self._expires_s - now_s)


def leader_table(became_leader_s: float, applied_revision: int) -> LeaseTable:
    """Return the table of a new leader, for control processes.

    It is made once the leader has applied the first entry of its own
    term: only then is ``applied_revision`` at or above each revision that
    a predecessor may have reported in force. The wait runs from the
    election. The length is not cut to what remains of the quorum's
    backing, so that control processes outlive a leader change; the wait
    of the next leader makes up for that.
    """
    return LeaseTable(
        CONTROL_LEASE_S,
        became_leader_s,
        applied_revision,
        within_parent=False,
    )


def control_table(started_s: float) -> LeaseTable:
    """Return the table of a control process that starts, for entries."""
    return LeaseTable(ENTRY_LEASE_S, started_s, within_parent=True)


def _guarded(length_s: float) -> float:
    return length_s * (1.0 + DRIFT_MARGIN)


__all__ = [
    "CONTROL_LEASE_S",
    "control_table",
    "DRIFT_MARGIN",
    "ENTRY_LEASE_S",
    "HeldLease",
    "InForceStatus",
    "leader_table",
    "LeaseGrant",
    "LeaseTable",
    "MIN_GRANT_S",
    "RENEW_INTERVAL_S",
]
