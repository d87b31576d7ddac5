"""How control processes become voters, and how one is replaced."""

from __future__ import annotations

import logging
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_consensus.errors import ConsensusError
from sycamorestand_consensus.errors import MembershipRefused
from sycamorestand_control.groups import CONFIGURATION_GROUP
from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.errors import PeerTimeout
from sycamorestand_peer.messages import CallReply
from sycamorestand_peer.messages import JoinRequest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sycamorestand_consensus.replica import Replica
    from sycamorestand_control.groups import LogGroups
    from sycamorestand_peer.mesh import PeerMesh

LOG: Final = logging.getLogger(__name__)
JOIN_INTERVAL_S: Final = 0.5
JOIN_TIMEOUT_S: Final = 1.0
ADMIT_INTERVAL_S: Final = 0.2
# A process that asked to join and then fell silent is not waited for.
JOINER_SILENCE_S: Final = 5.0
# A learner that lags longer keeps the operator waiting for nothing, and
# would stay a member that no quorum can count on.
CATCH_UP_S: Final = 20.0
BELONGS: Final = b"belongs to a cluster"


class Admissions:
    """The leader's side: who asked to join, and who is to replace whom.

    A voter whose disk was lost comes back under a new id and asks like
    any stranger. It is admitted by itself only while the group has fewer
    voters than wanted, which is the formation of a new cluster; later a
    lost voter still counts, so its replacement waits for an operator.
    Without that, a wiped voter would vote again in a term in which its
    old self had voted, and two leaders could commit different entries.
    """

    def __init__(
        self, mesh: PeerMesh, groups: LogGroups, voters_wanted: int
    ) -> None:
        self._mesh = mesh
        self._groups = groups
        self._voters_wanted = voters_wanted
        self._joiners: dict[str, JoinRequest] = {}
        self._asked_s: dict[str, float] = {}

    def waiting(self) -> tuple[JoinRequest, ...]:
        """Return processes that ask to join and are no members yet."""
        members = _member_ids(self._configuration())
        return tuple(
            joiner
            for joiner in self._joiners.values()
            if joiner.member_id not in members and self._is_alive(joiner)
        )

    def receive(self, sender: str, request: JoinRequest) -> None:
        """Note a joiner and tell it that it was heard."""
        # One process listens at an address, so an earlier id there was
        # lost with its disk: as a learner it would never catch up.
        for member_id, earlier in list(self._joiners.items()):
            if earlier.address == request.address:
                del self._joiners[member_id]
        self._joiners[request.member_id] = request
        self._asked_s[request.member_id] = boottime_s()
        status = self._configuration().status()
        belongs = BELONGS if status.members else b""
        self._mesh.send(sender, CallReply(request.call_id, "", belongs))

    async def run(self) -> None:
        """Admit learners and promote them, while this process leads."""
        while True:
            await anyio.sleep(ADMIT_INTERVAL_S)
            for replica in self._groups.replicas.values():
                if replica.status().role != "leader":
                    continue
                try:
                    await self._admit_one(replica)
                except ConsensusError as error:
                    LOG.debug("not admitted", extra={"reason": str(error)})

    async def replace(self, group: int, old_id: str, new_id: str) -> None:
        """Make a joiner a voter of a log, then remove the old voter.

        The new voter is a learner until it has caught up and synced, so
        that at no moment a quorum rests on a disk without the entries.
        Safe to repeat; raises `ConsensusError` where the log refuses or
        this process does not lead it.
        """
        replica = self._groups.replicas[group]
        members = _member_ids(replica)
        if new_id not in members:
            await self._add_learner(replica, new_id)
        if not _is_voter(replica, new_id):
            await _promote_when_ready(replica, new_id)
        if old_id in members:
            await replica.remove(old_id)

    async def _add_learner(self, replica: Replica, member_id: str) -> None:
        joiner = self._joiners.get(member_id)
        if joiner is None or not self._is_alive(joiner):
            raise MembershipRefused(
                f"{member_id} does not ask to join; see the alarms of"
                " sycactl status for who does"
            )
        await replica.add_learner(member_id, joiner.address)

    def _configuration(self) -> Replica:
        return self._groups.replicas[CONFIGURATION_GROUP]

    def _is_alive(self, joiner: JoinRequest) -> bool:
        """Tell whether the joiner itself still asks.

        Its address may answer all the same: a VM that was started on an
        empty folder and then on its old disk is there, the id of the
        empty folder is not.
        """
        asked_s = self._asked_s[joiner.member_id]
        return boottime_s() - asked_s < JOINER_SILENCE_S

    async def _admit_one(self, replica: Replica) -> None:
        members = replica.status().members
        voters = [member for member in members if member.voter]
        learners = [member for member in members if not member.voter]
        if learners:
            await replica.promote(learners[0].member_id)
            LOG.info("voter admitted", extra={"member": learners[0].member_id})
            return
        if len(voters) >= self._voters_wanted:
            return
        known = {member.member_id for member in members}
        for joiner in self._joiners.values():
            if joiner.member_id not in known and self._is_alive(joiner):
                await replica.add_learner(joiner.member_id, joiner.address)
                LOG.info("learner added", extra={"member": joiner.member_id})
                return


async def cluster_exists(
    mesh: PeerMesh, groups: LogGroups, controls: Sequence[str], vm: str
) -> bool:
    """Tell whether any other control process belongs to a cluster."""
    for address in controls:
        call_id = mesh.next_call_id()
        request = JoinRequest(call_id, groups.member_id, mesh.address, vm)
        try:
            reply = await mesh.call(address, call_id, request, JOIN_TIMEOUT_S)
        except PeerTimeout:
            continue
        if reply.payload == BELONGS:
            return True
    return False


async def ask_to_join(
    mesh: PeerMesh,
    groups: LogGroups,
    controls: Sequence[str],
    vm: str,
) -> None:
    """Ask all other control processes until this one is a member.

    Every process is asked, as only the leader acts on it and a newcomer
    cannot know who leads.
    """
    while not _is_member_everywhere(groups):
        for address in controls:
            call_id = mesh.next_call_id()
            request = JoinRequest(call_id, groups.member_id, mesh.address, vm)
            try:
                await mesh.call(address, call_id, request, JOIN_TIMEOUT_S)
            except PeerTimeout:
                LOG.debug("no answer to join", extra={"peer": address})
        await anyio.sleep(JOIN_INTERVAL_S)


async def _promote_when_ready(replica: Replica, member_id: str) -> None:
    until_s = boottime_s() + CATCH_UP_S
    while True:
        try:
            await replica.promote(member_id)
            return
        except ConsensusError:
            # Not caught up yet, or leadership moved: the latter ends it.
            if replica.status().role != "leader":
                raise
        if boottime_s() > until_s:
            await replica.remove(member_id)
            raise MembershipRefused(
                f"{member_id} did not catch up in {CATCH_UP_S:.0f} s and was"
                " removed again"
            )
        await anyio.sleep(ADMIT_INTERVAL_S)


def _is_member_everywhere(groups: LogGroups) -> bool:
    return all(
        _is_voter(replica, groups.member_id)
        for replica in groups.replicas.values()
    )


def _is_voter(replica: Replica, member_id: str) -> bool:
    return any(
        member.member_id == member_id and member.voter
        for member in replica.status().members
    )


def _member_ids(replica: Replica) -> set[str]:
    return {member.member_id for member in replica.status().members}


__all__ = ["Admissions", "ask_to_join", "cluster_exists"]
