"""Elections among members whose messages take long."""

from __future__ import annotations

import heapq
import itertools
from random import Random
from typing import Final

import pytest

from sycamorestand_bench.fakes.core_steps import CLUSTER
from sycamorestand_bench.fakes.core_steps import MEMBERS
from sycamorestand_bench.fakes.core_steps import SETTINGS
from sycamorestand_consensus.core import Core
from sycamorestand_consensus.messages import HardState
from sycamorestand_consensus.messages import Message
from sycamorestand_consensus.messages import Recovered
from sycamorestand_consensus.messages import Snapshot
from sycamorestand_consensus.raft_state import Role

STEP_S: Final = 0.02
# A member's loop turns and its disk syncs within this time.
MIN_DELAY_S: Final = 0.3
MAX_DELAY_S: Final = 0.7
# Some five elections, each of a pre-vote and a vote.
ELECTED_WITHIN_S: Final = 12.0


class SlowMembers:
    """Three members without a leader, and what is on its way to them."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._numbers = itertools.count()
        snapshot = Snapshot(0, 0, MEMBERS, b"")
        recovered = Recovered(HardState(1, "", CLUSTER), snapshot, ())
        self._cores = {
            member.member_id: Core(
                member.member_id, SETTINGS, seed * 3 + number, recovered, 0.0
            )
            for number, member in enumerate(MEMBERS)
        }
        # The due time, a number, the receiver, and a message or a sync.
        self._queue: list[tuple[float, int, str, Message | int]] = []

    def step(self, now_s: float) -> None:
        """Deliver what is due, and let all members act."""
        while self._queue and self._queue[0][0] <= now_s:
            _, _, receiver, item = heapq.heappop(self._queue)
            if isinstance(item, int):
                self._cores[receiver].mark_synced(item, now_s)
            else:
                self._cores[receiver].receive(item, now_s)
        for name, core in self._cores.items():
            if core.next_wake_s() <= now_s:
                core.tick(now_s)
            output = core.drain(now_s)
            for message in output.messages:
                self._send(now_s, message.to, message)
            if output.batch is not None:
                self._send(now_s, name, output.batch.sequence)

    def has_leader(self) -> bool:
        """Return whether any member leads."""
        return any(c.state.role == Role.LEADER for c in self._cores.values())

    def _send(self, now_s: float, receiver: str, item: Message | int) -> None:
        due_s = now_s + self._random.uniform(MIN_DELAY_S, MAX_DELAY_S)
        number = next(self._numbers)
        heapq.heappush(self._queue, (due_s, number, receiver, item))


class TestSlowVotes:
    @pytest.mark.parametrize("seed", range(8))
    def test_members_that_get_little_processor_elect_a_leader(
        self, seed: int
    ) -> None:
        """Candidates gave up before their votes arrived, term after term."""
        members = SlowMembers(seed)
        steps = itertools.count(1)
        now_s = 0.0
        while not members.has_leader() and now_s < ELECTED_WITHIN_S:
            now_s = next(steps) * STEP_S
            members.step(now_s)
        assert members.has_leader()
