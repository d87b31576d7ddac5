"""Requests with one part in their prompts end each server that begins them.

The entries and the control processes are real and talk over real links; the
servers are stand-ins. Each entry sees less than one of the ends.
"""

from __future__ import annotations

from pathlib import Path
import time

import anyio
import pytest

from sycamorestand_bench.fakes.declared import CALLER_KEY
from sycamorestand_bench.fakes.declared import OTHER_CALLER_KEY
from sycamorestand_bench.fakes.ending_play import BAD
from sycamorestand_bench.fakes.ending_play import ENDS
from sycamorestand_bench.fakes.ending_play import KNOWN_AFTER_S
from sycamorestand_bench.fakes.ending_play import MAX_SENT_AFTER
from sycamorestand_bench.fakes.ending_play import SOUND
from sycamorestand_bench.fakes.ending_play import start_play
from sycamorestand_bench.fakes.ending_servers import Behaviour
from sycamorestand_bench.fakes.ending_servers import EndsAt
from sycamorestand_bench.fakes.routed_system import START_TIMEOUT_S
from sycamorestand_bench.fakes.routed_system import wait_until

pytestmark = pytest.mark.anyio


class TestOnePart:
    async def test_few_are_sent_once_five_servers_have_ended(
        self, tmp_path: Path
    ) -> None:
        """Each entry sent them on by itself, from server to server."""
        async with start_play(tmp_path) as play:
            await play.load(1.0)
            play.servers.behaviour = Behaviour(frozenset({BAD}))
            await play.load(10.0, bad_every=6)
        assert play.arrived() >= 3
        assert play.sent_after_ends() <= MAX_SENT_AFTER

    async def test_sound_requests_are_served_meanwhile(
        self, tmp_path: Path
    ) -> None:
        """Servers that ended again and again took sound requests with them."""
        async with start_play(tmp_path) as play:
            await play.load(1.0)
            play.servers.behaviour = Behaviour(frozenset({BAD}))
            await play.load(12.0, bad_every=6)
        ends = play.servers.ends[:ENDS]
        assert play.whole_share(ends[-1] + 2 * KNOWN_AFTER_S) > 0.9

    @pytest.mark.parametrize("ends_at", ["head", "inside", "between"])
    async def test_answers_without_a_length_that_end_cleanly_count(
        self, tmp_path: Path, ends_at: EndsAt
    ) -> None:
        """A clean close looks like the end of such an answer."""
        behaviour = Behaviour(frozenset({BAD}), ends_at, False, False, 1.0)
        async with start_play(tmp_path, entries=4) as play:
            play.servers.behaviour = behaviour
            await play.load(8.0, bad_every=6)
        assert BAD in play.system.blocked_parts()
        assert not play.wrongly_blocked()
        assert play.sent_after_ends() <= MAX_SENT_AFTER

    @pytest.mark.parametrize("entries", [4, 10])
    async def test_servers_that_end_after_events_count(
        self, tmp_path: Path, entries: int
    ) -> None:
        """Two events of an answer cleared the part that ended its server."""
        behaviour = Behaviour(frozenset({BAD}), "third", back_s=1.0)
        async with start_play(tmp_path, entries) as play:
            await play.load(1.0)
            play.servers.behaviour = behaviour
            await play.load(12.0, bad_every=6)
        assert BAD in play.system.blocked_parts()
        assert not play.wrongly_blocked()
        assert play.sent_after_ends() <= MAX_SENT_AFTER
        ends = play.servers.ends[:ENDS]
        assert play.whole_share(ends[-1] + 2 * KNOWN_AFTER_S) > 0.9


class TestEntries:
    async def test_entry_that_has_just_started_refuses(
        self, tmp_path: Path
    ) -> None:
        """An entry knew nothing of what the others had learned."""
        async with start_play(tmp_path, entries=3) as play:
            await play.block(Behaviour(frozenset({BAD}), back_s=0.5))
            before = play.arrived()
            started = await play.system.start_entry()
            asked = await play.ask(BAD, started)
        assert asked.status == 503
        assert play.arrived() == before

    async def test_entry_of_a_lost_control_process_refuses(
        self, tmp_path: Path
    ) -> None:
        async with start_play(tmp_path, entries=3) as play:
            await play.load(1.0)
            await play.system.leader().kill()
            play.servers.behaviour = Behaviour(frozenset({BAD}))
            await play.load(8.0, bad_every=6)
        assert play.sent_after_ends() <= MAX_SENT_AFTER

    async def test_leader_lost_at_the_last_end_takes_nothing_along(
        self, tmp_path: Path
    ) -> None:
        """What only the leader knew had to be found out anew."""
        async with start_play(tmp_path, entries=4) as play:
            play.servers.behaviour = Behaviour(frozenset({BAD}), back_s=0.5)

            async def kill_leader() -> None:
                await wait_until(lambda: len(play.servers.ends) >= ENDS - 1)
                await play.system.leader().kill()

            async with anyio.create_task_group() as faults:
                faults.start_soon(kill_leader)
                await play.load(9.0, bad_every=6)
        assert BAD in play.system.blocked_parts()
        assert not play.wrongly_blocked()
        assert play.sent_after_ends() <= MAX_SENT_AFTER

    async def test_no_leader_no_request(self, tmp_path: Path) -> None:
        """Entries that nobody can tell anything must not go on."""
        async with start_play(tmp_path, entries=3) as play:
            play.servers.behaviour = Behaviour(frozenset({BAD}), back_s=0.5)
            for control in play.system.controls[1:]:
                await control.kill()
            await play.load(8.0, bad_every=2)
            ends = play.servers.ends
            if len(ends) >= ENDS:
                assert play.sent_after_ends() <= MAX_SENT_AFTER
            play.system.restart_controls()
            await play.load(8.0, bad_every=2)
        assert BAD in play.system.blocked_parts()
        assert not play.wrongly_blocked()
        assert play.sent_after_ends() <= MAX_SENT_AFTER

    async def test_requests_that_another_entry_forwards_are_refused(
        self, tmp_path: Path
    ) -> None:
        """The entry that forwards sees the end, the other one does not."""
        async with start_play(tmp_path, entries=4) as play:
            cut = play.system.entries[0]
            context = cut.running.context
            for server in cut.link.backend_servers().values():
                context.server_loss.record_refused_dial(server.address)
            play.servers.behaviour = Behaviour(frozenset({BAD}), back_s=0.5)
            async with anyio.create_task_group() as callers:
                for _ in range(30):
                    callers.start_soon(play.ask, BAD, cut)
                    await anyio.sleep(0.2)
        assert BAD in play.system.blocked_parts()
        assert not play.wrongly_blocked()
        assert len(play.servers.ends) <= ENDS + MAX_SENT_AFTER

    async def test_block_outlives_all_processes(self, tmp_path: Path) -> None:
        """A loss of power everywhere made the system forget it."""
        async with start_play(tmp_path, entries=2) as play:
            await play.block(Behaviour(frozenset({BAD}), back_s=0.5))
            for entry in play.system.entries:
                await entry.stop()
            for control in play.system.controls:
                await control.kill()
            before = play.arrived()
            play.system.restart_controls()
            started = await play.system.start_entry()
            await wait_until(lambda: bool(started.link.backend_servers()))
            refused = await play.ask(BAD, started)
            served = await play.ask(SOUND[0], started)
        assert refused.status == 503
        assert served.is_whole
        assert play.arrived() == before


class TestOtherEnds:
    async def test_servers_that_end_by_themselves_block_nothing(
        self, tmp_path: Path
    ) -> None:
        """Sound requests must not be blamed for what ends servers."""
        async with start_play(tmp_path) as play:
            began_s = time.monotonic()
            async with anyio.create_task_group() as callers:
                callers.start_soon(play.load, 8.0)
                for _ in range(8):
                    await anyio.sleep(0.8)
                    play.servers.end(sorted(play.servers.running)[0])
            assert play.system.blocked_parts() == set()
        assert play.whole_share(began_s) > 0.9

    async def test_part_that_ended_three_servers_is_served_again(
        self, tmp_path: Path
    ) -> None:
        async with start_play(tmp_path) as play:
            play.servers.behaviour = Behaviour(frozenset({BAD}), max_ends=3)
            await play.load(3.0, bad_every=6)
            from_s = time.monotonic()
            await play.load(6.0, bad_every=6)
            assert play.system.blocked_parts() == set()
        assert play.whole_share(from_s, BAD) > 0.9

    async def test_all_servers_at_once_block_no_part_for_long(
        self, tmp_path: Path
    ) -> None:
        """Where nobody is answered, sound parts look as bad as any."""
        async with start_play(tmp_path) as play:
            async with anyio.create_task_group() as callers:
                callers.start_soon(play.load, 10.0)
                for _ in range(2):
                    await anyio.sleep(1.0)
                    for name in sorted(play.servers.running):
                        play.servers.end(name)
                    await anyio.sleep(1.0)
                from_s = time.monotonic() + KNOWN_AFTER_S
            assert play.system.blocked_parts() == set()
        assert play.whole_share(from_s) > 0.9


class TestCustomers:
    async def test_another_customer_is_served_with_the_same_part(
        self, tmp_path: Path
    ) -> None:
        """One customer could have the parts of another one refused."""
        async with start_play(tmp_path, 3, is_public=False) as play:
            play.servers.behaviour = Behaviour(frozenset({BAD}), back_s=0.5)
            while not play.system.blocked_parts():
                await play.ask(BAD, key=CALLER_KEY)
            play.servers.behaviour = Behaviour()
            entry = play.system.entries[0]
            await wait_until(lambda: bool(entry.link.in_force().blocked_parts))
            (block,) = entry.link.in_force().blocked_parts.values()
            with anyio.fail_after(START_TIMEOUT_S):
                # Until the announcements of servers that ended run out.
                while not (await play.ask(BAD, key=OTHER_CALLER_KEY)).is_whole:
                    await anyio.sleep(0.1)
        assert block.concerns("guild")
        assert not block.concerns("other")
        others = [each for each in play.asked if each.key == OTHER_CALLER_KEY]
        assert not any(b"prompt part" in each.answer for each in others)
