from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from sycamorestand_consensus.replica_types import MemberStatus
from sycamorestand_control.leader_balancer import HAND_OVER_INTERVAL_S
from sycamorestand_control.leader_balancer import LeaderBalancer
from sycamorestand_control.leader_balancer import MAX_LAG_ENTRIES
from sycamorestand_control.leader_balancer import preferred_leaders

pytestmark = pytest.mark.anyio
VOTERS = ("a", "b", "c")
LAST_INDEX = 1_000


class TestPreferredLeaders:
    @pytest.mark.parametrize("shards", [1, 2, 3, 4, 8, 64])
    def test_voters_lead_alike_many(self, shards: int) -> None:
        leaders = preferred_leaders(range(1, shards + 1), VOTERS)
        counts = Counter(leaders.values())
        counts.update(dict.fromkeys(VOTERS, 0))
        assert max(counts.values()) - min(counts.values()) <= 1

    def test_every_voter_computes_the_same(self) -> None:
        one = preferred_leaders((1, 2, 3, 4), VOTERS)
        assert one == preferred_leaders((1, 2, 3, 4), reversed(VOTERS))

    def test_no_voters_lead_nothing(self) -> None:
        assert preferred_leaders((1, 2), ()) == {}


class FakeReplica:
    def __init__(self, members: list[MemberStatus], leads: bool) -> None:
        self.members = tuple(members)
        self.role = "leader" if leads else "follower"
        self.member_id = "a"
        self.last_index = LAST_INDEX
        self.handed_to: list[str | None] = []

    def status(self) -> FakeReplica:
        return self

    async def transfer_leadership(self, target: str | None) -> None:
        self.handed_to.append(target)
        self.role = "follower"


class Scene:
    """Voter ``a`` leads the configuration and all shards."""

    def __init__(self, shards: int, lag: int = 0, leads: bool = True) -> None:
        members = [
            MemberStatus(name, f"{name}:1", True, LAST_INDEX - lag)
            for name in VOTERS
        ]
        self.replicas = {
            group: FakeReplica(members, leads) for group in range(shards + 1)
        }
        self.silent: set[str] = set()
        self.now_s = 0.0
        fake: Any = self
        self.spread = LeaderBalancer(fake, fake, lambda: self.now_s)

    def unheard_s(self, address: str) -> float:
        return 60.0 if address in self.silent else 0.1

    async def looks(self, count: int) -> None:
        for _ in range(count):
            self.now_s += HAND_OVER_INTERVAL_S
            await self.spread.balance()

    def leaders(self) -> Counter[str]:
        return Counter(
            (replica.handed_to or ["a"])[-1] or ""
            for group, replica in self.replicas.items()
            if group
        )


class TestLeaderBalancer:
    async def test_shards_go_to_all_voters(self) -> None:
        scene = Scene(shards=6)
        await scene.looks(10)
        assert scene.leaders() == {"a": 2, "b": 2, "c": 2}

    async def test_the_configuration_stays(self) -> None:
        scene = Scene(shards=6)
        await scene.looks(10)
        assert scene.replicas[0].handed_to == []

    async def test_one_at_a_time_with_a_pause(self) -> None:
        """A voter comes back and should lead many shards again.

        Each hand-over stops its shard for a moment; all at once would
        stop the whole ledger.
        """
        scene = Scene(shards=6)
        await scene.looks(1)
        await scene.spread.balance()
        assert sum(bool(r.handed_to) for r in scene.replicas.values()) == 1

    async def test_a_silent_voter_gets_none(self) -> None:
        scene = Scene(shards=6)
        scene.silent = {"b:1"}
        await scene.looks(10)
        assert scene.leaders() == {"a": 4, "c": 2}

    async def test_a_lagging_voter_gets_none(self) -> None:
        scene = Scene(shards=6, lag=MAX_LAG_ENTRIES + 1)
        await scene.looks(10)
        assert scene.leaders() == {"a": 6}

    async def test_a_follower_hands_nothing_over(self) -> None:
        scene = Scene(shards=6, leads=False)
        await scene.looks(10)
        assert scene.spread.hand_overs == 0
