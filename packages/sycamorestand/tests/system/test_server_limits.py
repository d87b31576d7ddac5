"""Servers name how many requests a second they take from all entries.

The entries and the control processes are real and talk over real links; the
servers are stand-ins that name a limit in their answers.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
import time
from typing import Final
from typing import NamedTuple

import anyio
import pytest

from sycamorestand_bench.fakes.ending_play import Play
from sycamorestand_bench.fakes.ending_play import start_play
from sycamorestand_bench.fakes.ending_servers import Behaviour
from sycamorestand_bench.fakes.ending_servers import server_number
from sycamorestand_bench.fakes.routed_system import Entry

pytestmark = pytest.mark.anyio
# The users' rule: so long after a server named its limit, in so long a time,
# so many times what the limit allows and so many requests more.
KNOWN_AFTER_S: Final = 3.0
WINDOW_S: Final = 4.0
RATIO: Final = 1.5
SLACK: Final = 5.0
LOAD_S: Final = 11.0
# The share of the limits that callers get while they ask for more.
USED_SHARE: Final = 0.7
REFUSED_WITHIN_S: Final = 0.6


class Case(NamedTuple):
    """Limits that all servers name, entries and servers."""

    limit_per_s: float
    entries: int
    servers: int


CASES: Final = (Case(1.2, 10, 6), Case(2.0, 10, 3), Case(0.5, 3, 6))
SMALL: Final = Case(1.5, 4, 4)


@asynccontextmanager
async def start_limited(
    folder: Path, case: Case
) -> AsyncIterator[tuple[Play, float]]:
    """Start a play; yield it and the time at which servers name limits."""
    async with start_play(folder, case.entries, case.servers) as play:
        await play.load(1.0)
        set_limits(play, dict.fromkeys(range(case.servers), case.limit_per_s))
        yield play, time.monotonic()


def set_limits(play: Play, limits_per_s: dict[int, float]) -> None:
    play.servers.behaviour = Behaviour(limits_per_s=limits_per_s)


def arrivals_s(play: Play, number: int, from_s: float) -> list[float]:
    return [
        arrival.at_s
        for arrival in play.servers.arrivals
        if server_number(arrival.server) == number and arrival.at_s >= from_s
    ]


def most_in_window(times_s: list[float]) -> int:
    """Return the most arrivals in any window of the rule."""
    return max(
        (
            sum(first_s <= at_s < first_s + WINDOW_S for at_s in times_s)
            for first_s in times_s
        ),
        default=0,
    )


def assert_kept(play: Play, limits_per_s: dict[int, float], s: float) -> None:
    """Check that no server got more than its limit allows since then."""
    for number, limit_per_s in limits_per_s.items():
        most = most_in_window(arrivals_s(play, number, s))
        assert most <= RATIO * limit_per_s * WINDOW_S + SLACK


def assert_used(play: Play, case: Case, from_s: float, to_s: float) -> None:
    """Check that the callers got what the servers offer."""
    whole = sum(
        each.is_whole for each in play.asked if from_s <= each.at_s < to_s
    )
    offered = case.limit_per_s * case.servers * (to_s - from_s)
    assert whole >= USED_SHARE * offered


class TestAllServers:
    @pytest.mark.parametrize("case", CASES, ids=str)
    async def test_limit_is_kept_and_used(
        self, tmp_path: Path, case: Case
    ) -> None:
        """No entry read the limit, and each server got as much as before."""
        async with start_limited(tmp_path, case) as (play, named_s):
            await play.load(LOAD_S)
        limits = dict.fromkeys(range(case.servers), case.limit_per_s)
        assert_kept(play, limits, named_s + KNOWN_AFTER_S)
        from_s = named_s + KNOWN_AFTER_S
        assert_used(play, case, from_s, named_s + LOAD_S)

    async def test_callers_at_one_entry_get_the_whole_limit(
        self, tmp_path: Path
    ) -> None:
        """The parts of entries without callers were lost."""
        async with start_limited(tmp_path, SMALL) as (play, named_s):
            await play.load(LOAD_S, at=play.system.entries[0])
        from_s = named_s + KNOWN_AFTER_S
        limits = dict.fromkeys(range(SMALL.servers), SMALL.limit_per_s)
        assert_kept(play, limits, from_s)
        assert_used(play, SMALL, from_s, named_s + LOAD_S)

    async def test_what_does_not_fit_is_refused_at_once(
        self, tmp_path: Path
    ) -> None:
        """Requests waited for room that could not come in their time."""
        async with start_limited(tmp_path, SMALL) as (play, _):
            await play.load(KNOWN_AFTER_S)
            refused: list[tuple[float, bytes]] = []

            async def ask() -> None:
                begin_s = time.monotonic()
                asked = await play.ask("s0")
                if asked.status != 200:
                    took_s = time.monotonic() - begin_s
                    refused.append((took_s, asked.answer))

            async with anyio.create_task_group() as callers:
                for _ in range(30):
                    callers.start_soon(ask)
        assert len(refused) >= 10
        for took_s, answer in refused:
            assert b" 503 " in answer.partition(b"\r\n")[0]
            assert b"retry-after" in answer.lower()
            assert took_s < REFUSED_WITHIN_S


class TestKindsOfRequests:
    async def test_forwarded_attempts_count(self, tmp_path: Path) -> None:
        """An entry that reaches no server sent past the limit by another."""
        async with start_limited(tmp_path, SMALL) as (play, named_s):
            cut = play.system.entries[0]
            loss = cut.running.context.server_loss

            async def reach_nothing() -> None:
                while True:
                    for server in cut.link.backend_servers().values():
                        loss.record_refused_dial(server.address)
                    await anyio.sleep(0.2)

            async with anyio.create_task_group() as faults:
                faults.start_soon(reach_nothing)
                await play.load(LOAD_S, at=cut)
                faults.cancel_scope.cancel()
        from_s = named_s + KNOWN_AFTER_S
        limits = dict.fromkeys(range(SMALL.servers), SMALL.limit_per_s)
        assert_kept(play, limits, from_s)
        assert_used(play, SMALL, from_s, named_s + LOAD_S)

    @pytest.mark.parametrize("path", ["/stock/1", "/order/1"])
    async def test_calls_count(self, tmp_path: Path, path: str) -> None:
        async with start_limited(tmp_path, SMALL) as (play, named_s):
            end_s = named_s + LOAD_S
            async with anyio.create_task_group() as callers:
                while time.monotonic() < end_s:
                    callers.start_soon(play.ask, "", None, "", path)
                    await anyio.sleep(0.04)
        from_s = named_s + KNOWN_AFTER_S
        limits = dict.fromkeys(range(SMALL.servers), SMALL.limit_per_s)
        assert_kept(play, limits, from_s)
        assert_used(play, SMALL, from_s, named_s + LOAD_S)


class TestChanges:
    async def test_lower_limit_counts_and_is_taken_back(
        self, tmp_path: Path
    ) -> None:
        async with start_limited(tmp_path, Case(4.0, 4, 4)) as (play, _):
            await play.load(3.0)
            limits = dict.fromkeys(range(4), 0.5)
            set_limits(play, limits)
            lowered_s = time.monotonic()
            await play.load(9.0)
            assert_kept(play, limits, lowered_s + KNOWN_AFTER_S)
            set_limits(play, {})
            await play.load(4.0)
            from_s = time.monotonic()
            await play.load(3.0)
        assert play.whole_share(from_s) > 0.9


class TestSomeServers:
    async def test_others_take_what_does_not_fit(self, tmp_path: Path) -> None:
        limits = {0: 1.0, 1: 1.0}
        async with start_limited(tmp_path, Case(1.0, 4, 4)) as (play, _):
            set_limits(play, limits)
            named_s = time.monotonic()
            await play.load(LOAD_S)
        from_s = named_s + KNOWN_AFTER_S
        assert_kept(play, limits, from_s)
        assert play.whole_share(from_s) > 0.95
        for number in limits:
            assert len(arrivals_s(play, number, from_s)) >= 3


class TestEntries:
    async def test_entry_that_has_just_started_keeps_it(
        self, tmp_path: Path
    ) -> None:
        async with start_limited(tmp_path, SMALL) as (play, named_s):
            await play.load(KNOWN_AFTER_S)
            started: list[Entry] = []
            for _ in range(3):
                started.append(await play.system.start_entry())
                await play.load(2.0, at=started[-1])
        limits = dict.fromkeys(range(SMALL.servers), SMALL.limit_per_s)
        assert_kept(play, limits, named_s + KNOWN_AFTER_S)

    async def test_lost_leader_breaks_no_limit(self, tmp_path: Path) -> None:
        async with start_limited(tmp_path, SMALL) as (play, named_s):
            await play.load(KNOWN_AFTER_S)
            await play.system.leader().kill()
            await play.load(8.0)
        limits = dict.fromkeys(range(SMALL.servers), SMALL.limit_per_s)
        assert_kept(play, limits, named_s + KNOWN_AFTER_S)
        # Once there is a leader again.
        assert_used(play, SMALL, named_s + 7.0, named_s + 11.0)
