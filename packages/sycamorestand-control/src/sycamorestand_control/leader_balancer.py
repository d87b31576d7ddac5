"""Spread the leadership of the ledger's shards over the voters.

The ledger may have more charges and claims than one process can batch and
sync. Shards alone do not help: the voter that started first leads all of
them, and four shards then have the throughput of one (see dev/bench
ledger). Every voter therefore computes the same preferred leader for each
shard, and the present leader hands the shard over to it.
"""

from __future__ import annotations

import logging
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_consensus.errors import ConsensusError
from sycamorestand_control.groups import FIRST_LEDGER_GROUP
from sycamorestand_peer.clock import boottime_s
from sycamorestand_state.rendezvous import subset

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from sycamorestand_consensus.replica_types import MemberStatus
    from sycamorestand_control.groups import LogGroups
    from sycamorestand_peer.mesh import PeerMesh

LOG: Final = logging.getLogger(__name__)
CHECK_INTERVAL_S: Final = 2.0
# A hand-over stops the shard for some milliseconds, and a voter that keeps
# coming and going would cause one each time. At this interval the pauses
# are not noticeable.
HAND_OVER_INTERVAL_S: Final = 5.0
# The shard would have to wait for a new leader that lags further.
MAX_LAG_ENTRIES: Final = 200
HEARD_WITHIN_S: Final = 1.5


def preferred_leaders(
    shards: Sequence[int], voters: Iterable[str]
) -> dict[int, str]:
    """Return the voter that should lead each shard.

    Shards are assigned to the voters round-robin, so the numbers of shards
    differ by at most one. Hashing each shard to a voter would leave some
    voters without any.
    """
    ordered_voters = subset("ledger", voters, len(tuple(shards)) or 1)
    if not ordered_voters:
        return {}
    return {
        shard: ordered_voters[n % len(ordered_voters)]
        for n, shard in enumerate(shards)
    }


class LeaderBalancer:
    """Hands shards over to their preferred leaders, one at a time.

    ``hand_overs`` counts the attempts, also those that failed.
    """

    def __init__(
        self,
        mesh: PeerMesh,
        groups: LogGroups,
        clock: Callable[[], float] = boottime_s,
    ) -> None:
        self._mesh = mesh
        self._groups = groups
        self._clock = clock
        self._next_hand_over_s = clock() + HAND_OVER_INTERVAL_S
        self.hand_overs = 0

    async def run(self) -> None:
        """Balance the leaders every `CHECK_INTERVAL_S`, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            await self.balance()

    async def balance(self) -> None:
        """Hand at most one shard over to its preferred leader.

        Does nothing within `HAND_OVER_INTERVAL_S` of the last hand-over.
        """
        if self._clock() < self._next_hand_over_s:
            return
        for shard, target in self._preferred_leaders().items():
            if not self._should_hand_over(shard, target):
                continue
            self._next_hand_over_s = self._clock() + HAND_OVER_INTERVAL_S
            self.hand_overs += 1
            try:
                await self._groups.replicas[shard].transfer_leadership(target)
            except ConsensusError as error:
                LOG.info("shard not handed over", extra={"reason": str(error)})
            return

    def _preferred_leaders(self) -> dict[int, str]:
        shards = [g for g in self._groups.replicas if g >= FIRST_LEDGER_GROUP]
        if not shards:
            return {}
        members = self._groups.replicas[shards[0]].status().members
        voters = [m.member_id for m in members if m.voter]
        return preferred_leaders(shards, voters)

    def _should_hand_over(self, shard: int, target: str) -> bool:
        status = self._groups.replicas[shard].status()
        if status.role != "leader" or target == status.member_id:
            return False
        members = {member.member_id: member for member in status.members}
        successor = members.get(target)
        return (
            successor is not None
            and successor.voter
            and self._is_ready_to_lead(successor, status.last_index)
        )

    def _is_ready_to_lead(self, member: MemberStatus, last_index: int) -> bool:
        is_reachable = self._mesh.silence_s(member.address) < HEARD_WITHIN_S
        return (
            is_reachable and last_index - member.match_index <= MAX_LAG_ENTRIES
        )


__all__ = ["LeaderBalancer", "preferred_leaders"]
