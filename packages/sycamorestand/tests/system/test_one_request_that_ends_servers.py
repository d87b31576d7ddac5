"""One request ends each server that runs it, and comes again and again.

The entries and the control processes are real and talk over real links; the
servers are stand-ins. Callers send the request to any entry.
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

from sycamorestand_bench.fakes.ending_play import BAD_BODY
from sycamorestand_bench.fakes.ending_play import KNOWN_AFTER_S
from sycamorestand_bench.fakes.ending_play import MAX_SENT_AFTER
from sycamorestand_bench.fakes.ending_play import OWN
from sycamorestand_bench.fakes.ending_play import Play
from sycamorestand_bench.fakes.ending_play import REVIEW
from sycamorestand_bench.fakes.ending_play import SOUND
from sycamorestand_bench.fakes.ending_play import start_play
from sycamorestand_bench.fakes.ending_servers import Behaviour
from sycamorestand_bench.fakes.ending_servers import EndsAt
from sycamorestand_bench.fakes.routed_system import Entry
from sycamorestand_bench.fakes.routed_system import wait_until

pytestmark = pytest.mark.anyio
ENTRIES: Final = 5
SERVERS: Final = 6
PAUSE_S: Final = 0.5
BACK_S: Final = 1.5
SOUND_BODY: Final = b"good"


class Case(NamedTuple):
    """A request, and where its servers end."""

    part: str
    ends_at: EndsAt
    path: str = REVIEW

    @property
    def behaviour(self) -> Behaviour:
        return Behaviour(
            ends_at=self.ends_at, back_s=BACK_S, bodies=frozenset({BAD_BODY})
        )


CASES: Final = {
    "own-part-after-head": Case(OWN, "before"),
    "own-part-before-head": Case(OWN, "head"),
    "shared-parts-after-head": Case(SOUND[0], "before"),
    "no-parts-after-head": Case("", "before"),
    "no-parts-after-events": Case("", "third"),
    "shared-parts-after-events": Case(SOUND[0], "third"),
    "call": Case("", "inside", "/stock/1"),
    "call-before-head": Case("", "head", "/stock/1"),
    "order": Case("", "inside", "/order/1"),
}
PLAIN: Final = CASES["no-parts-after-head"]


@asynccontextmanager
async def start_bad(
    folder: Path, case: Case, entries: int = ENTRIES
) -> AsyncIterator[Play]:
    """Start a play whose servers end under the bad body."""
    async with start_play(folder, entries, SERVERS) as play:
        await play.load(1.0)
        play.servers.behaviour = case.behaviour
        yield play


async def repeat(play: Play, case: Case, duration_s: float) -> None:
    """Send the bad request to any entry, beside sound ones."""
    async with anyio.create_task_group() as callers:
        callers.start_soon(play.load, duration_s)
        callers.start_soon(
            play.repeat, duration_s, PAUSE_S, case.part, case.path
        )


async def repeat_at(play: Play, entry: Entry, duration_s: float) -> None:
    """Send the bad request to one entry, one at a time."""
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        await play.ask("", entry, body=BAD_BODY)
        await anyio.sleep(PAUSE_S)


async def end_three(play: Play, case: Case) -> None:
    """Send the bad request until three servers have ended under it."""
    while len(play.servers.ends) < 3:
        await play.ask(case.part, path=case.path, body=BAD_BODY)
        await anyio.sleep(PAUSE_S)


class TestOneRequest:
    @pytest.mark.parametrize("case", CASES.values(), ids=CASES.keys())
    async def test_few_are_sent_once_three_servers_have_ended(
        self, tmp_path: Path, case: Case
    ) -> None:
        """Nothing outlived the single request but shared prompt parts."""
        async with start_bad(tmp_path, case) as play:
            await repeat(play, case, 9.0)
        assert len(play.servers.ends) >= 3
        assert play.sent_again() <= MAX_SENT_AFTER
        assert not play.wrongly_blocked()
        from_s = play.servers.ends[2] + KNOWN_AFTER_S
        assert play.whole_share(from_s) > 0.9

    async def test_rare_repeats_are_counted(self, tmp_path: Path) -> None:
        """Each end is forgotten before the next one."""
        async with (
            start_bad(tmp_path, PLAIN) as play,
            anyio.create_task_group() as callers,
        ):
            callers.start_soon(play.load, 16.0)
            callers.start_soon(play.repeat, 16.0, 2.5)
        assert len(play.servers.ends) >= 3
        assert play.sent_again() <= MAX_SENT_AFTER

    async def test_requests_that_differ_a_little_are_served(
        self, tmp_path: Path
    ) -> None:
        """What has the same parts, path or body was refused as well."""
        case = CASES["shared-parts-after-head"]
        async with start_bad(tmp_path, case) as play:
            await end_three(play, case)
            await anyio.sleep(KNOWN_AFTER_S)
            # It may be tried once.
            await play.ask(case.part, body=BAD_BODY)
            refused = await play.ask(case.part, body=BAD_BODY)
            other_body = await play.ask(case.part, body=SOUND_BODY)
            own_part = await play.ask(case.part)
            play.servers.behaviour = Behaviour()
            other_path = await play.ask("", path="/stock/1", body=BAD_BODY)
        assert refused.status == 503
        assert other_body.is_whole
        assert own_part.is_whole
        assert other_path.is_whole


class TestEntries:
    async def test_entry_that_has_just_started_refuses(
        self, tmp_path: Path
    ) -> None:
        async with start_bad(tmp_path, PLAIN, 3) as play:
            await end_three(play, PLAIN)
            await anyio.sleep(KNOWN_AFTER_S)
            started = await play.system.start_entry()
            before = len(play.servers.arrivals)
            refused = await play.ask("", started, body=BAD_BODY)
            arrived = len(play.servers.arrivals)
        assert refused.status == 503
        assert arrived == before

    async def test_no_leader_no_request(self, tmp_path: Path) -> None:
        """Entries that nobody can tell anything must not go on."""
        async with start_bad(tmp_path, PLAIN, 3) as play:
            for control in play.system.controls[1:]:
                await control.kill()
            await repeat(play, PLAIN, 6.0)
            play.system.restart_controls()
            await repeat(play, PLAIN, 8.0)
        assert len(play.servers.ends) >= 3
        assert play.sent_again() <= MAX_SENT_AFTER

    async def test_lost_leader_takes_nothing_along(
        self, tmp_path: Path
    ) -> None:
        async with start_bad(tmp_path, PLAIN, 4) as play:

            async def kill_leader() -> None:
                await wait_until(lambda: len(play.servers.ends) >= 2)
                await play.system.leader().kill()

            async with anyio.create_task_group() as faults:
                faults.start_soon(kill_leader)
                await repeat(play, PLAIN, 9.0)
        assert play.sent_again() <= MAX_SENT_AFTER

    async def test_entry_that_was_not_heard_is_asked_afterwards(
        self, tmp_path: Path
    ) -> None:
        """Nobody knew of the ends at an entry that had been cut off."""
        async with start_bad(tmp_path, PLAIN, 4) as play:
            cut = play.system.entries[0]
            mesh = cut.link.mesh
            with pytest.MonkeyPatch.context() as patch:
                for name in ("send", "send_directly", "send_through"):
                    patch.setattr(mesh, name, lambda *_: None)
                await repeat_at(play, cut, 6.0)
            await repeat_at(play, cut, 6.0)
        assert len(play.servers.ends) >= 3
        assert play.sent_again() <= MAX_SENT_AFTER

    async def test_request_that_another_entry_forwards_is_refused(
        self, tmp_path: Path
    ) -> None:
        """The entry that forwards sees the end, the other one does not."""
        async with start_bad(tmp_path, PLAIN, 4) as play:
            cut = play.system.entries[0]
            context = cut.running.context
            for server in cut.link.backend_servers().values():
                context.server_loss.record_refused_dial(server.address)
            await repeat_at(play, cut, 7.0)
        assert len(play.servers.ends) >= 3
        assert play.sent_again() <= MAX_SENT_AFTER

    async def test_refusal_outlives_all_processes(
        self, tmp_path: Path
    ) -> None:
        """A loss of power everywhere made the system forget it."""
        async with start_bad(tmp_path, PLAIN, 2) as play:
            await end_three(play, PLAIN)
            await anyio.sleep(KNOWN_AFTER_S)
            for entry in play.system.entries:
                await entry.stop()
            for control in play.system.controls:
                await control.kill()
            before = len(play.servers.arrivals)
            play.system.restart_controls()
            started = await play.system.start_entry()
            await wait_until(lambda: bool(started.link.backend_servers()))
            refused = await play.ask("", started, body=BAD_BODY)
            arrived = len(play.servers.arrivals)
            served = await play.ask(SOUND[0], started)
        assert refused.status == 503
        assert arrived == before
        assert served.is_whole

    async def test_ends_before_a_loss_of_power_are_counted(
        self, tmp_path: Path
    ) -> None:
        """Two ends before and three after it were one end too many."""
        async with start_bad(tmp_path, PLAIN, 2) as play:
            while len(play.servers.ends) < 2:
                await play.ask("", body=BAD_BODY)
                await anyio.sleep(PAUSE_S)
            await anyio.sleep(KNOWN_AFTER_S)
            for entry in play.system.entries:
                await entry.stop()
            for control in play.system.controls:
                await control.kill()
            play.system.restart_controls()
            started = await play.system.start_entry()
            await wait_until(lambda: bool(started.link.backend_servers()))
            await play.repeat(11.0, 1.2)
        assert len(play.servers.ends) >= 3
        assert play.sent_again() <= MAX_SENT_AFTER


class TestOtherEnds:
    async def test_request_that_was_unlucky_three_times_is_served(
        self, tmp_path: Path
    ) -> None:
        """A request blamed wrongly was refused for good."""
        async with start_bad(tmp_path, PLAIN) as play:
            play.servers.behaviour = PLAIN.behaviour._replace(max_ends=3)
            await repeat(play, PLAIN, 3.5)
            from_s = time.monotonic()
            await repeat(play, PLAIN, 6.0)
        asked = [
            each
            for each in play.asked
            if each.body == BAD_BODY and each.at_s > from_s
        ]
        assert sum(each.is_whole for each in asked) >= len(asked) // 2

    async def test_servers_that_all_end_at_once_leave_nothing_refused(
        self, tmp_path: Path
    ) -> None:
        """Each of hundreds of requests was at three servers that ended."""
        async with start_play(tmp_path, ENTRIES, SERVERS) as play:
            async with anyio.create_task_group() as callers:
                callers.start_soon(play.load, 12.0)
                for body in (b"r1", b"r2", b"r3"):
                    callers.start_soon(
                        play.repeat, 12.0, 0.3, "", REVIEW, body
                    )
                for _ in range(3):
                    await anyio.sleep(0.8)
                    for name in sorted(play.servers.running):
                        play.servers.end(name)
                    await anyio.sleep(1.2)
                from_s = time.monotonic() + KNOWN_AFTER_S
            assert play.system.blocked_parts() == set()
        asked = [each for each in play.asked if each.at_s > from_s]
        assert sum(each.is_whole for each in asked) > 0.9 * len(asked)
