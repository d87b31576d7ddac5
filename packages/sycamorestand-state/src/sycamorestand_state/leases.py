"""Leases that bound how long a process acts on an old configuration.

A withdrawn version must stop getting new work within seconds, even from an
entry that no other process can reach. An entry therefore accepts new work
only while it holds a lease, and a granter renews a lease only if its holder
has the newest revision. A revision is in force once each holder of a lease
under an older one has acknowledged the revision, or its lease has expired.

Leases form a tree of two levels. The leader grants leases to control
processes while a quorum supports it. A control process grants leases to
entries, within the rest of its own lease. A holder counts a lease from the
time at which it *sent* the request, on its own clock, so a delay in the
network only shortens the lease. The granter counts from the time of the
grant, and extends the lease by `DRIFT_MARGIN`. Both use a monotonic clock
that advances while the machine is suspended (CLOCK_BOOTTIME).

Entries renew every 0.4 s. A leader change of 1.5 s costs four renewals in
the worst case and leaves 2.0 - 0.4 - 1.5 > 0 seconds of an entry's lease.
The lease of a control process that is cut off expires after 2.4 s, extended
by `DRIFT_MARGIN`. This is below the 3 s in which a revision has to be in
force everywhere.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

CONTROL_LEASE_S: Final = 2.4
ENTRY_LEASE_S: Final = 2.0
RENEW_INTERVAL_S: Final = 0.4
# The rates of two clocks may differ by this share: one 0.5% fast, the other
# 0.5% slow. Quartz clocks differ by 0.02%, and a time daemon that slews the
# clock adds 0.05%.
DRIFT_MARGIN: Final = 0.01
# A shorter lease would expire before the holder receives the grant.
MIN_GRANT_S: Final = 0.05


class LeaseGrant(NamedTuple):
    """A lease that starts when its holder sent the request.

    ``revision`` is the revision that the holder needs for a renewal.
    """

    length_s: float
    revision: int


class InForceStatus(NamedTuple):
    """Whether a revision is in force, and which holders it waits for.

    ``earliest_s`` is the first time, on the granter's clock, at which a
    new granter may report any revision as in force.
    """

    in_force: bool
    revision: int
    missing: tuple[str, ...]
    earliest_s: float


class _Holder(NamedTuple):
    acked_revision: int
    expires_s: float


class LeaseTable:
    """The leases that one process has granted.

    ``required_revision`` never decreases. Once a revision was reported as
    in force, no holder, whether new, restarted or lagging, can get a lease
    under an older one. This makes an acknowledgement final.
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
        # This table does not know the leases that a previous leader, or
        # this process before a restart, has granted. Without the wait for
        # their expiry, a revision would be reported as in force while an
        # entry still accepts work under an older one.
        self._earliest_in_force_s = started_s + _with_drift_margin(length_s)

    @property
    def earliest_in_force_s(self) -> float:
        """The time at which leases unknown to this table have expired."""
        return self._earliest_in_force_s

    @property
    def required_revision(self) -> int:
        """The lowest revision that a holder needs for a grant."""
        return self._required_revision

    def require(self, revision: int) -> None:
        """Refuse leases to holders below this revision from now on."""
        self._required_revision = max(self._required_revision, revision)

    def grant(
        self,
        holder: str,
        acked_revision: int,
        now_s: float,
        parent_remaining_s: float,
        held_revision: int | None = None,
    ) -> LeaseGrant | None:
        """Grant or renew a lease, or return None.

        None means that the holder is below the required revision, or that
        the granter has too little of its own lease left.

        ``acked_revision`` is the revision that the holder and all holders
        below it have acknowledged. ``held_revision`` is the one that the
        holder itself has applied, if it differs. Grants depend on the
        latter, so that a control process with a silent entry keeps its
        lease. ``parent_remaining_s`` is the rest of the granter's own
        lease, or of its support by a quorum.
        """
        self.acknowledge(holder, acked_revision)
        held = acked_revision if held_revision is None else held_revision
        if held < self._required_revision:
            return None
        length_s = self._grant_length_s(parent_remaining_s)
        if length_s < MIN_GRANT_S:
            return None
        self._store(
            holder, acked_revision, now_s + _with_drift_margin(length_s)
        )
        return LeaseGrant(length_s, self._required_revision)

    def acknowledge(self, holder: str, revision: int) -> None:
        """Record that a holder accepts no new work under older revisions.

        Acknowledgements are final, so late and duplicate ones are ignored.
        """
        known = self._holders.get(holder)
        if known is not None and revision > known.acked_revision:
            self._holders[holder] = known._replace(acked_revision=revision)

    def in_force(self, revision: int, now_s: float) -> InForceStatus:
        """Return whether no live lease is below ``revision``.

        Once the revision is in force it remains so, as the required
        revision is raised to it.
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
        """Return the revision to acknowledge to this process's granter.

        It is ``own_revision`` once that is in force among the holders, and
        otherwise the lowest revision of a live holder. It is 0 before
        `earliest_in_force_s`.
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
        """Return the names of all holders whose lease has not expired."""
        return tuple(
            name
            for name, holder in self._holders.items()
            if holder.expires_s > now_s
        )

    def forget_expired(self, now_s: float) -> tuple[str, ...]:
        """Remove holders whose lease has expired, and return their names."""
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
        # The grant, with its margin, must end before the granter's lease.
        return min(self._length_s, parent_remaining_s / (1.0 + DRIFT_MARGIN))

    def _store(self, holder: str, acked_revision: int, end_s: float) -> None:
        known = self._holders.get(holder)
        if known is None:
            self._holders[holder] = _Holder(acked_revision, end_s)
            return
        # An earlier grant is still valid if the new one ends before it.
        expires_s = max(known.expires_s, end_s)
        self._holders[holder] = known._replace(expires_s=expires_s)


class HeldLease:
    """The lease that this process holds, on this process's clock."""

    def __init__(self) -> None:
        self._expires_s = float("-inf")

    def renew(self, sent_at_s: float, grant: LeaseGrant) -> None:
        """Extend the lease by the grant for a request sent at ``sent_at_s``.

        Grants may arrive late and out of order. A grant never shortens the
        lease, as the granter, too, keeps the latest expiry.
        """
        self._expires_s = max(self._expires_s, sent_at_s + grant.length_s)

    def remaining_s(self, now_s: float) -> float:
        """Return the rest of the lease in seconds, 0 if it has expired.

        Check it again right before a request's first byte is written, as
        the process may have been suspended since the last check.
        """
        return max(0.0, self._expires_s - now_s)


def leader_table(became_leader_s: float, applied_revision: int) -> LeaseTable:
    """Return a new leader's table of the leases of control processes.

    Call it after the leader has applied the first entry of its own term:
    only then is ``applied_revision`` at or above each revision that a
    predecessor may have reported as in force. The wait for leases of a
    predecessor starts at the election. Grants may outlast the support of
    the quorum, so that control processes keep their leases during a leader
    change; the next leader's wait covers these grants.
    """
    return LeaseTable(
        CONTROL_LEASE_S,
        became_leader_s,
        applied_revision,
        within_parent=False,
    )


def control_table(started_s: float) -> LeaseTable:
    """Return a starting control process's table of the leases of entries."""
    return LeaseTable(ENTRY_LEASE_S, started_s, within_parent=True)


def _with_drift_margin(length_s: float) -> float:
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
