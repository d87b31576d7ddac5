"""Requests with one part in their prompts end each server that begins them.

The entries and the control processes are real and talk over real links; the
servers are stand-ins. Each entry sees less than one of the ends.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
import time
from typing import NamedTuple

import anyio
import pytest

from sycamorestand_bench.fakes.ending_servers import Behaviour
from sycamorestand_bench.fakes.ending_servers import EndingServers
from sycamorestand_bench.fakes.ending_servers import EVENTS
from sycamorestand_bench.fakes.ending_servers import start_servers
from sycamorestand_bench.fakes.routed_system import RoutedSystem
from sycamorestand_bench.fakes.routed_system import start_system

pytestmark = pytest.mark.anyio
SERVICE = "stock"
SERVERS = 5
ENTRIES = 10
REQUESTS_PER_S = 30.0
BAD = "bad"
SOUND = ("s0", "s1", "s2", "s3")
# The users' rule: later than this after the fifth end, three requests at most.
KNOWN_AFTER_S = 3.0
MAX_SENT_AFTER = 3
ENDS = 5


class Asked(NamedTuple):
    """A request of a caller and its answer."""

    at_s: float
    part: str
    answer: bytes

    @property
    def is_whole(self) -> bool:
        return self.answer.count(b"id: ") == EVENTS


class Play:
    """A load on a system, and what became of it."""

    def __init__(self, system: RoutedSystem, servers: EndingServers) -> None:
        self.system = system
        self.servers = servers
        self.asked: list[Asked] = []
        self._random = Random(1)
        self._number = 0

    async def load(self, duration_s: float, bad_every: int = 0) -> None:
        """Send requests; each ``bad_every``-th one has the bad part."""
        end_s = time.monotonic() + duration_s
        async with anyio.create_task_group() as callers:
            while time.monotonic() < end_s:
                self._number += 1
                is_bad = bad_every and self._number % bad_every == 0
                part = BAD if is_bad else SOUND[self._number % len(SOUND)]
                callers.start_soon(self.ask, part)
                await anyio.sleep(1 / REQUESTS_PER_S)

    async def ask(self, part: str) -> bytes:
        """Send one request with this part to any entry."""
        at_s = time.monotonic()
        entry = self._random.choice(self.system.entries)
        own = f"own{self._number}-{len(self.asked)}"
        answer = await entry.ask(
            "/review/1",
            x_attempt=own,
            x_parts=f"first:800,{part}:100,{own}:5",
            x_deadline_ms="4000",
        )
        self.asked.append(Asked(at_s, part, answer))
        return answer

    def sent_after_ends(self) -> int:
        """Return how many bad requests came long after the fifth end."""
        known_s = self.servers.ends[ENDS - 1] + KNOWN_AFTER_S
        return sum(
            BAD in arrival.parts and arrival.at_s > known_s
            for arrival in self.servers.arrivals
        )

    def whole_share(self, from_s: float, to_s: float, part: str = "") -> float:
        """Return the share of the sound requests that were answered whole."""
        asked = [
            each
            for each in self.asked
            if each.part != BAD
            and part in ("", each.part)
            and from_s <= each.at_s < to_s
        ]
        assert len(asked) >= 20
        return sum(each.is_whole for each in asked) / len(asked)


@asynccontextmanager
async def start_play(
    folder: Path, entries: int = ENTRIES, servers: int = SERVERS
) -> AsyncIterator[Play]:
    """Start a system whose servers answer all requests."""
    async with (
        start_system(folder, entries) as system,
        anyio.create_task_group() as tasks,
    ):
        announce = system.entries[0].link.announce
        backends = EndingServers(announce, SERVICE)
        await start_servers(tasks, backends, servers)
        play = Play(system, backends)
        await play.load(1.0)
        yield play
        tasks.cancel_scope.cancel()


class TestOnePart:
    async def test_few_are_sent_once_five_servers_have_ended(
        self, tmp_path: Path
    ) -> None:
        """Each entry sent them on by itself, from server to server."""
        async with start_play(tmp_path) as play:
            play.servers.behaviour = Behaviour(frozenset({BAD}))
            await play.load(10.0, bad_every=6)
        assert len(play.servers.ends) >= ENDS
        assert play.sent_after_ends() <= MAX_SENT_AFTER

    async def test_sound_requests_are_served_meanwhile(
        self, tmp_path: Path
    ) -> None:
        """Servers that ended again and again took sound requests with them."""
        async with start_play(tmp_path) as play:
            play.servers.behaviour = Behaviour(frozenset({BAD}))
            await play.load(12.0, bad_every=6)
        from_s = play.servers.ends[ENDS - 1] + 2 * KNOWN_AFTER_S
        assert play.whole_share(from_s, time.monotonic()) > 0.9
