"""Who is closed, and who has a turn, where many connections want both."""

from __future__ import annotations

import asyncio
import logging

import pytest

from sycamorestand_peer.http_budget import HttpBudget
from sycamorestand_peer.http_budget import MIB
from sycamorestand_peer.http_budget import MIN_DOOR_CONNECTIONS
from sycamorestand_peer.http_budget import STALLED_S

pytestmark = pytest.mark.anyio
CROWDED = MIN_DOOR_CONNECTIONS


class FakeConnection:
    """A connection that records what the budget does to it."""

    def __init__(self, since_s: float = 0.0, evictable: bool = True) -> None:
        self.since_s = since_s
        self.evictable = evictable
        self.ended: list[str] = []
        self.turns = 0

    def is_evictable(self) -> bool:
        return self.evictable

    def evict(self) -> None:
        self.ended.append("evicted")

    def time_out(self) -> None:
        self.ended.append("timed out")

    def give_up_answer(self) -> None:
        self.ended.append("unread")

    def take_turn(self) -> None:
        self.turns += 1


def full_budget() -> HttpBudget:
    budget = HttpBudget()
    assert budget.admit(0)
    budget.connections = budget.max_connections
    return budget


class TestAdmission:
    async def test_longest_idle_goes_first(self) -> None:
        budget = full_budget()
        first, second, head = (FakeConnection() for _ in range(3))
        budget.heads[head] = 1e9
        budget.idle.update({first: 1e9, second: 1e9})
        assert budget.admit(CROWDED)
        assert (first.ended, second.ended, head.ended) == (["evicted"], [], [])

    async def test_idle_one_with_an_unread_request_is_kept(self) -> None:
        """A request that had come was closed as idle."""
        budget = full_budget()
        unread, idle = FakeConnection(evictable=False), FakeConnection()
        budget.idle.update({unread: 1e9, idle: 1e9})
        assert budget.admit(CROWDED)
        assert (unread.ended, idle.ended) == ([], ["evicted"])

    async def test_only_stalled_bodies_are_given_up(self) -> None:
        budget = full_budget()
        now_s = asyncio.get_running_loop().time()
        growing = FakeConnection(now_s)
        budget.bodies[growing] = 1e9
        assert not budget.admit(CROWDED)
        growing.since_s = now_s - 2 * STALLED_S
        assert budget.admit(CROWDED)
        assert growing.ended == ["evicted"]

    async def test_small_door_is_open_beside_a_crowded_one(self) -> None:
        """A crowd at one door shut all doors of the process."""
        budget = full_budget()
        assert not budget.admit(CROWDED)
        assert budget.admit(CROWDED - 1)
        assert budget.refusals["connections"] == 1


class TestTurns:
    async def test_one_connection_has_one_turn_an_iteration(self) -> None:
        budget = full_budget()
        waiting = [FakeConnection() for _ in range(3)]
        for connection in waiting:
            budget.queue_turn(connection)
        taken = []
        for _ in range(4):
            await asyncio.sleep(0)
            taken.append(sum(c.turns for c in waiting))
        assert taken == [1, 2, 3, 3]


class TestTimes:
    async def test_waits_that_are_over_are_ended(self) -> None:
        budget = full_budget()
        over, kept, reader = (FakeConnection() for _ in range(3))
        budget.heads.update({over: 0.0, kept: 1e9})
        budget.readers[reader] = 0.0
        async with asyncio.timeout(10):
            while not (over.ended and reader.ended):
                await asyncio.sleep(0.05)
        assert (over.ended, kept.ended) == (["timed out"], [])
        assert reader.ended == ["unread"]


class TestLog:
    async def test_crowd_of_refusals_has_one_line(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """A line for each refusal filled the log."""
        caplog.set_level(logging.INFO)
        budget = HttpBudget()
        for _ in range(100):
            budget.refused("memory")
        assert len(caplog.records) == 1
        assert budget.refusals["memory"] == 100


class TestSizes:
    @pytest.mark.parametrize(
        ("memory_mb", "room_mb"), [(80, 8), (128, 32), (150, 43), (4096, 64)]
    )
    async def test_room_follows_the_memory(
        self, memory_mb: int, room_mb: int
    ) -> None:
        budget = HttpBudget()
        budget.configure(memory_mb, 4_100)
        assert budget.room.limit_bytes == room_mb * MIB
        assert budget.max_connections <= 2_050
