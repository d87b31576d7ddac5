"""Admission and replacement of voters, as the leader of a log does it."""

from __future__ import annotations

import logging
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_consensus.errors import ChangeUnderWay
from sycamorestand_consensus.errors import ConsensusError
from sycamorestand_consensus.errors import MembershipRefused
from sycamorestand_control.groups import CONFIGURATION_GROUP
from sycamorestand_control.joining import FORWARDED
from sycamorestand_control.joining import IN_CLUSTER
from sycamorestand_control.joining import is_voter
from sycamorestand_control.voter_repair import next_change
from sycamorestand_control.voter_repair import ObservedMember
from sycamorestand_control.voter_repair import waiting_reason
from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.messages import CallReply
from sycamorestand_peer.messages import JoinRequest

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    from sycamorestand_consensus.replica import Replica
    from sycamorestand_consensus.replica_types import MemberStatus
    from sycamorestand_control.groups import LogGroups
    from sycamorestand_peer.mesh import PeerMesh

LOG: Final = logging.getLogger(__name__)
ADMIT_INTERVAL_S: Final = 0.2
# A process that has not asked to join for this long counts as gone.
JOINER_SILENCE_S: Final = 5.0
# A learner that has not caught up by then is removed. Otherwise the
# operator's command would wait without a result, and the group would keep a
# member that cannot vote.
CATCH_UP_S: Final = 20.0
# A commit takes milliseconds, or seconds on a busy machine or during an
# election. Without a quorum it never completes.
CHANGE_WAIT_S: Final = 5.0
# A learner that catches up changes the reason for its wait with each round.
WAIT_LOG_INTERVAL_S: Final = 5.0
# A loop whose round takes this long was suspended or got no processor time.
SUSPENDED_AFTER_S: Final = 1.0


def _no_data_centre(address: str) -> str:
    """Return an empty name, as no data centre is known."""
    return ""


class MembershipManager:
    """Records which processes ask to join, and changes the voters.

    A voter whose disk was lost restarts under a new id and asks to join
    like any unknown process. A joiner is admitted without an operator only
    while the group has fewer voters than wanted, that is, while a new
    cluster forms. Later the lost voter still counts, so its replacement
    waits for an operator or, with ``replace_lost``, for the rules of
    `voter_repair`. If a wiped voter were admitted at once, it could vote a
    second time in a term in which it had voted under its old id, and two
    leaders could commit different entries. ``data_centre`` returns that of a
    control process by its peer address.
    """

    def __init__(
        self,
        mesh: PeerMesh,
        groups: LogGroups,
        voters_wanted: int,
        replace_lost: bool = False,
        data_centre: Callable[[str], str] = _no_data_centre,
    ) -> None:
        self._mesh = mesh
        self._data_centre = data_centre
        self._groups = groups
        self._voters_wanted = voters_wanted
        self._replace_lost = replace_lost
        self._leading_since_s: dict[int, float] = {}
        self._joiners: dict[str, JoinRequest] = {}
        self._last_asked_s: dict[str, float] = {}
        self._logged_joiners: set[str] = set()
        self._logged_wait: tuple[tuple[str, ...], str] = ((), "")
        self._next_wait_log_s = 0.0

    def waiting_joiners(self) -> tuple[JoinRequest, ...]:
        """Return the processes that ask to join and are not members yet."""
        members = _member_ids(self._configuration_replica())
        return tuple(
            joiner
            for joiner in self._joiners.values()
            if joiner.member_id not in members and self._is_asking(joiner)
        )

    def handle_join_request(self, sender: str, request: JoinRequest) -> None:
        """Record a joiner, forward its request to the leaders, and reply.

        The reply says whether this process belongs to a cluster.
        """
        # Only one process listens at an address, so an earlier id there was
        # lost with its disk. As a learner it would never catch up.
        for member_id, earlier in list(self._joiners.items()):
            if earlier.address == request.address:
                del self._joiners[member_id]
        self._joiners[request.member_id] = request
        self._last_asked_s[request.member_id] = boottime_s()
        if request.call_id == FORWARDED:
            return
        self._forward(request)
        status = self._configuration_replica().status()
        in_cluster = IN_CLUSTER if status.members else b""
        self._mesh.send(sender, CallReply(request.call_id, "", in_cluster))

    async def run(self) -> None:
        """Admit or replace voters of the logs that this process leads.

        Runs until cancelled and makes at most one change of each log every
        `ADMIT_INTERVAL_S`.
        """
        last_round_s = boottime_s()
        while True:
            await anyio.sleep(ADMIT_INTERVAL_S)
            now_s = boottime_s()
            if now_s - last_round_s > SUSPENDED_AFTER_S:
                # While suspended, this process received nothing, so the
                # silence of the members must be counted anew.
                self._leading_since_s.clear()
            last_round_s = now_s
            for group, replica in self._groups.replicas.items():
                if replica.status().role != "leader":
                    self._leading_since_s.pop(group, None)
                    continue
                since_s = self._leading_since_s.setdefault(group, now_s)
                self._log_joiners(replica)
                try:
                    if self._replace_lost:
                        await self._repair_voters(replica, since_s)
                    else:
                        await self._admit_one(replica)
                except ConsensusError as error:
                    self._log_wait(replica, str(error))

    async def replace_voter(
        self, group: int, old_id: str, new_id: str
    ) -> None:
        """Make a joiner a voter of a log, then remove the old voter.

        The joiner remains a learner until it has caught up and synced, so
        that no quorum ever includes a disk without the entries. The call is
        idempotent. Raises `ConsensusError` if the log refuses a change or
        this process does not lead it.
        """
        if old_id == new_id:
            raise MembershipRefused("a voter cannot replace itself")
        replica = self._groups.replicas[group]

        async def add() -> None:
            if new_id not in _member_ids(replica):
                await self._add_learner(replica, new_id)

        async def remove() -> None:
            if old_id in _member_ids(replica):
                await replica.remove(old_id)

        await _retry_while_under_way(add)
        if not is_voter(replica, new_id):
            await _promote_when_ready(replica, new_id)
        await _retry_while_under_way(remove)

    async def _add_learner(self, replica: Replica, member_id: str) -> None:
        joiner = self._joiners.get(member_id)
        if joiner is None or not self._is_asking(joiner):
            raise MembershipRefused(
                f"{member_id} does not ask to join; see the alarms of"
                " sycactl status for who does"
            )
        await replica.add_learner(member_id, joiner.address)

    def _configuration_replica(self) -> Replica:
        return self._groups.replicas[CONFIGURATION_GROUP]

    def _is_asking(self, joiner: JoinRequest) -> bool:
        """Return whether the joiner's own id still asks to join.

        Its address may answer even if the id is gone: a VM that started on
        an empty folder and then on its original disk answers under the
        original id.
        """
        asked_s = self._last_asked_s[joiner.member_id]
        return boottime_s() - asked_s < JOINER_SILENCE_S

    def _forward(self, request: JoinRequest) -> None:
        """Forward a join request to the leader of each log.

        A joining process does not know the leaders. The addresses in its
        settings may be outdated and include no leader.
        """
        for group in self._groups.replicas:
            leader = self._groups.leader_address(group)
            if leader and leader != self._mesh.address:
                self._mesh.send(leader, request._replace(call_id=FORWARDED))

    async def _repair_voters(self, replica: Replica, since_s: float) -> None:
        """Make the change that `voter_repair` chooses, if any.

        ``since_s`` is when this process became the leader of the log.
        """
        members = replica.status().members
        own_id = replica.member_id
        observed = [
            ObservedMember(
                member.member_id,
                member.address,
                0.0
                if member.member_id == own_id
                else self._silent_s(member, members, since_s),
                member.voter,
                self._data_centre(member.address),
            )
            for member in members
        ]
        joiners = [
            ObservedMember(
                joiner.member_id,
                joiner.address,
                self._since_asked_s(joiner),
                data_centre=self._data_centre(joiner.address),
            )
            for joiner in self._joiners.values()
            if self._is_asking(joiner)
        ]
        change = next_change(own_id, observed, joiners, self._voters_wanted)
        if change is None:
            reason = waiting_reason(
                own_id, observed, joiners, self._voters_wanted
            )
            self._log_wait(replica, reason)
            return
        if change.kind == "add":
            await replica.add_learner(change.member_id, change.address)
        elif change.kind == "promote":
            await replica.promote(change.member_id)
        else:
            await replica.remove(change.member_id)
        LOG.info(
            "voters changed",
            extra={"step": change.kind, "member": change.member_id},
        )

    def _log_joiners(self, replica: Replica) -> None:
        """Log each process that asks to join the configuration, once."""
        if replica is not self._configuration_replica():
            return
        for joiner in self.waiting_joiners():
            if joiner.member_id not in self._logged_joiners:
                self._logged_joiners.add(joiner.member_id)
                extra = {
                    "joiner": joiner.vm,
                    "address": joiner.address,
                    "member": joiner.member_id,
                }
                LOG.info("control process asks to join", extra=extra)
        self._logged_joiners &= set(self._joiners)

    def _log_wait(self, replica: Replica, reason: str) -> None:
        """Log which processes do not vote yet and why, when it changes."""
        if replica is not self._configuration_replica():
            return
        waiting = tuple(
            sorted(
                joiner.member_id
                for joiner in self._joiners.values()
                if self._is_asking(joiner)
                and not is_voter(replica, joiner.member_id)
            )
        )
        now_s = boottime_s()
        is_known = (waiting, reason) == self._logged_wait
        if is_known or now_s < self._next_wait_log_s:
            return
        self._logged_wait = (waiting, reason)
        self._next_wait_log_s = now_s + WAIT_LOG_INTERVAL_S
        if waiting:
            extra = {"members": waiting, "reason": reason}
            LOG.info("control processes wait to vote", extra=extra)

    def _silent_s(
        self,
        member: MemberStatus,
        members: Sequence[MemberStatus],
        since_s: float,
    ) -> float:
        """Return a member's silence in seconds since this process leads.

        A follower answers only the leader, so its silence towards this
        process before that means nothing.
        """
        heard_s = max(
            self._groups.heard_s(member.member_id),
            self._last_asked_s.get(member.member_id, 0.0),
            since_s,
        )
        silent_s = boottime_s() - heard_s
        if self._has_shared_address(member, members):
            return silent_s
        # A stalled disk silences a log while its process is still alive.
        return min(silent_s, self._mesh.silence_s(member.address))

    def _has_shared_address(
        self, member: MemberStatus, members: Sequence[MemberStatus]
    ) -> bool:
        others: list[JoinRequest | MemberStatus] = [*members]
        others += self._joiners.values()
        return any(
            other.address == member.address
            and other.member_id != member.member_id
            for other in others
        )

    def _since_asked_s(self, joiner: JoinRequest) -> float:
        return boottime_s() - self._last_asked_s[joiner.member_id]

    async def _admit_one(self, replica: Replica) -> None:
        """Make the first change that applies, without replacing lost voters.

        These are, in order: promote a learner, continue a replacement that
        an operator has started, and add a learner if voters are missing.
        """
        members = replica.status().members
        voters = [member for member in members if member.voter]
        learners = [member for member in members if not member.voter]
        if learners:
            await replica.promote(learners[0].member_id)
            LOG.info("voter admitted", extra={"member": learners[0].member_id})
            return
        if await self._continue_replacement(replica, voters):
            return
        if len(voters) >= self._voters_wanted:
            return
        known = {member.member_id for member in members}
        for joiner in self._joiners.values():
            if joiner.member_id not in known and self._is_asking(joiner):
                await replica.add_learner(joiner.member_id, joiner.address)
                LOG.info("learner added", extra={"member": joiner.member_id})
                return

    async def _continue_replacement(
        self, replica: Replica, voters: Sequence[MemberStatus]
    ) -> bool:
        """Make one change towards the voters of the configuration log.

        An operator's command calls `replace_voter` for one log after the
        other and stops if a leader changes in between. The new voter then
        lacks a log, and the ledger batches of the entries attached to it
        fail. The other voters' status lists the new voter without an alarm.
        Continuing is safe: an operator has approved the new voter for the
        configuration log, and both ids have the same address, so no healthy
        voter is removed. Returns whether a change was made.
        """
        if replica is self._configuration_replica():
            return False
        approved = {
            member.address: member.member_id
            for member in self._configuration_replica().status().members
            if member.voter
        }
        voter_ids = {voter.member_id for voter in voters}
        for voter in voters:
            successor = approved.get(voter.address, voter.member_id)
            if successor == voter.member_id:
                continue
            if successor in voter_ids:
                await replica.remove(voter.member_id)
            else:
                await self._add_learner(replica, successor)
            LOG.info("replacement continued", extra={"member": successor})
            return True
        return False


async def _retry_while_under_way(
    change: Callable[[], Awaitable[None]],
) -> None:
    """Make a change, and retry while an earlier change is under way.

    The leader's own loop makes changes too. Without the retry, one of them
    would cause an operator's command to be refused. Raises `ChangeUnderWay`
    after `CHANGE_WAIT_S`.
    """
    deadline_s = boottime_s() + CHANGE_WAIT_S
    while True:
        try:
            await change()
            return
        except ChangeUnderWay:
            if boottime_s() >= deadline_s:
                raise
        await anyio.sleep(ADMIT_INTERVAL_S)


async def _promote_when_ready(replica: Replica, member_id: str) -> None:
    """Promote a learner once it has caught up, or remove it.

    Raises `MembershipRefused` if it has not caught up in `CATCH_UP_S`, and
    `ConsensusError` if this process loses the leadership.
    """
    deadline_s = boottime_s() + CATCH_UP_S
    # The leader's own loop may promote the learner first, and a second
    # promotion is refused. Without this check, the new voter was taken for a
    # lagging learner and removed after 20 s, before the other logs were
    # changed.
    while not is_voter(replica, member_id):
        try:
            await replica.promote(member_id)
            return
        except ConsensusError:
            # Either the learner has not caught up yet, or this process no
            # longer leads; only the latter ends the wait.
            if replica.status().role != "leader":
                raise
        if boottime_s() > deadline_s:
            await replica.remove(member_id)
            raise MembershipRefused(
                f"{member_id} did not catch up in {CATCH_UP_S:.0f} s and was"
                " removed again"
            )
        await anyio.sleep(ADMIT_INTERVAL_S)


def _member_ids(replica: Replica) -> set[str]:
    return {member.member_id for member in replica.status().members}


__all__ = ["MembershipManager"]
