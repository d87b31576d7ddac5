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
    def test_shards_are_spread_evenly(self, shards: int) -> None:
        leaders = preferred_leaders(range(1, shards + 1), VOTERS)
        counts = Counter(leaders.values())
        counts.update(dict.fromkeys(VOTERS, 0))
        assert max(counts.values()) - min(counts.values()) <= 1

    def test_the_order_of_voters_does_not_matter(self) -> None:
        one = preferred_leaders((1, 2, 3, 4), VOTERS)
        assert one == preferred_leaders((1, 2, 3, 4), reversed(VOTERS))

    def test_without_voters_there_are_no_leaders(self) -> None:
        assert preferred_leaders((1, 2), ()) == {}


class FakeReplica:
    def __init__(self, members: list[MemberStatus], leads: bool) -> None:
        self.members = tuple(members)
        self.role = "leader" if leads else "follower"
        self.member_id = "a"
        self.last_index = LAST_INDEX
        self.transfers: list[str | None] = []

    def status(self) -> FakeReplica:
        return self

    async def transfer_leadership(self, target: str | None) -> None:
        self.transfers.append(target)
        self.role = "follower"


class Harness:
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
        self.balancer = LeaderBalancer(fake, fake, lambda: self.now_s)

    def silence_s(self, address: str) -> float:
        return 60.0 if address in self.silent else 0.1

    async def run_rounds(self, count: int) -> None:
        for _ in range(count):
            self.now_s += HAND_OVER_INTERVAL_S
            await self.balancer.balance()

    def leaders(self) -> Counter[str]:
        return Counter(
            (replica.transfers or ["a"])[-1] or ""
            for group, replica in self.replicas.items()
            if group
        )


class TestLeaderBalancer:
    async def test_shards_are_handed_over_to_all_voters(self) -> None:
        harness = Harness(shards=6)
        await harness.run_rounds(10)
        assert harness.leaders() == {"a": 2, "b": 2, "c": 2}

    async def test_the_configuration_log_is_not_handed_over(self) -> None:
        harness = Harness(shards=6)
        await harness.run_rounds(10)
        assert harness.replicas[0].transfers == []

    async def test_hand_overs_are_made_one_at_a_time(self) -> None:
        """A voter returns and should lead many shards again.

        Each hand-over stops its shard for a moment. If all of them were
        made at once, the whole ledger would stop.
        """
        harness = Harness(shards=6)
        await harness.run_rounds(1)
        await harness.balancer.balance()
        assert sum(bool(r.transfers) for r in harness.replicas.values()) == 1

    async def test_a_silent_voter_gets_no_shard(self) -> None:
        harness = Harness(shards=6)
        harness.silent = {"b:1"}
        await harness.run_rounds(10)
        assert harness.leaders() == {"a": 4, "c": 2}

    async def test_a_lagging_voter_gets_no_shard(self) -> None:
        harness = Harness(shards=6, lag=MAX_LAG_ENTRIES + 1)
        await harness.run_rounds(10)
        assert harness.leaders() == {"a": 6}

    async def test_a_follower_hands_no_shard_over(self) -> None:
        harness = Harness(shards=6, leads=False)
        await harness.run_rounds(10)
        assert harness.balancer.hand_overs == 0
