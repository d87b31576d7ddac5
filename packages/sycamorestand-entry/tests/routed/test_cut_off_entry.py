"""An entry that loses the path to all backend servers, and others do not."""

from __future__ import annotations

import asyncio
import time
from typing import Final

import anyio
import pytest

from sycamorestand_bench.fakes.entry_group import address_of
from sycamorestand_bench.fakes.entry_group import all_cut_found
from sycamorestand_bench.fakes.entry_group import answer_slowly
from sycamorestand_bench.fakes.entry_group import ask_all
from sycamorestand_bench.fakes.entry_group import becomes_true
from sycamorestand_bench.fakes.entry_group import cut_found
from sycamorestand_bench.fakes.entry_group import cut_known
from sycamorestand_bench.fakes.entry_group import earn_arrivals
from sycamorestand_bench.fakes.entry_group import eject
from sycamorestand_bench.fakes.entry_group import forwarded
from sycamorestand_bench.fakes.entry_group import FOUND_AFTER_S
from sycamorestand_bench.fakes.entry_group import hold_second_event
from sycamorestand_bench.fakes.entry_group import is_whole
from sycamorestand_bench.fakes.entry_group import last_event
from sycamorestand_bench.fakes.entry_group import move
from sycamorestand_bench.fakes.entry_group import runs_by_attempt
from sycamorestand_bench.fakes.entry_group import SERVERS
from sycamorestand_bench.fakes.entry_group import start_group
from sycamorestand_bench.fakes.entry_group import status
from sycamorestand_bench.fakes.server_cut import CutKind
from sycamorestand_bench.fakes.server_cut import ServerCut
from sycamorestand_decisions.peer_entries import MAX_FORWARDED
from sycamorestand_entry.routed.dials import MAX_DIALS
from sycamorestand_entry.upstream import UpstreamConnection

pytestmark = pytest.mark.anyio
KINDS: Final[tuple[CutKind, ...]] = ("hang", "reset", "refuse")


class TestCutOffEntry:
    @pytest.mark.parametrize("kind", KINDS)
    async def test_its_callers_are_served(self, kind: CutKind) -> None:
        """It refused all of them, as no server was left to it."""
        async with start_group() as (cut_off, _):
            await cut_found(cut_off, kind)
            before = len(cut_off.requests)
            answers = await ask_all(cut_off, 30)
            runs = runs_by_attempt(cut_off, before)
        assert [status(answer) for answer in answers] == [200] * 30
        assert all(is_whole(answer) for answer in answers)
        assert set(runs.values()) == {1}

    @pytest.mark.parametrize("kind", KINDS)
    async def test_most_entries_of_a_data_centre_use_the_others(
        self, kind: CutKind
    ) -> None:
        """The entry that is left there would get the load of all."""
        async with start_group(5) as entries:
            *cut_off, near, far = entries
            move(far, "dalton")
            await all_cut_found(entries, cut_off, kind)
            before = forwarded(near), forwarded(far)
            answers = []
            for entry in cut_off:
                answers += await ask_all(entry, 30)
            near_count = forwarded(near) - before[0]
            far_count = forwarded(far) - before[1]
        assert [status(answer) for answer in answers] == [200] * 90
        assert near_count + far_count == 90
        assert near_count >= 20
        assert far_count >= 20

    @pytest.mark.parametrize("kind", KINDS)
    async def test_all_entries_of_a_data_centre_use_another_one(
        self, kind: CutKind
    ) -> None:
        """No entry is left there to forward anything."""
        async with start_group(3) as entries:
            *cut_off, far = entries
            move(far, "dalton")
            await all_cut_found(entries, cut_off, kind)
            before = forwarded(far)
            answers = await ask_all(cut_off[0], 30)
            count = forwarded(far) - before
        assert [status(answer) for answer in answers] == [200] * 30
        assert count == 30

    async def test_more_servers_than_a_call_dials_all_refuse(self) -> None:
        """Each call gave up after its dials, as it knew too few refusals."""
        async with start_group(servers=MAX_DIALS + 4) as (cut_off, _):
            ServerCut(cut_off).begin("reset")
            answer = await cut_off.ask("/stock/1")
        assert status(answer) == 200

    async def test_last_server_that_hangs_is_not_waited_for(self) -> None:
        """All others were lost, and the call that dialled it was refused."""
        async with start_group() as (cut_off, _):
            ServerCut(cut_off).begin("hang")
            servers = cut_off.control.servers.values()
            loss = cut_off.entry.context.server_loss
            for server in list(servers)[1:]:
                loss.record_check(server.address, False, 0.0)
            answer = await cut_off.ask("/order/1")
        assert status(answer) == 200

    async def test_ejected_server_does_not_keep_it_from_forwarding(
        self,
    ) -> None:
        """It was not dialled, so that it did not count as out of reach."""
        async with start_group() as (cut_off, _):
            cut = ServerCut(cut_off)
            await ask_all(cut_off, 30)
            eject(cut_off, "s-0")
            cut.begin("reset")
            answers = await ask_all(cut_off, 9)
            await anyio.sleep(0.3)
            told = cut_off.control.unreached
        assert [status(answer) for answer in answers] == [200] * 9
        assert told == {"stock"}

    async def test_its_own_links_are_used_again_after_the_cut(self) -> None:
        """It went on with requests to other entries."""
        async with start_group() as (cut_off, other):
            cut = await cut_found(cut_off, "hang")
            cut.heal()
            await anyio.sleep(FOUND_AFTER_S)
            before = forwarded(other)
            answers = await ask_all(cut_off, 30)
            count = forwarded(other) - before
        assert [status(answer) for answer in answers] == [200] * 30
        assert count == 0

    async def test_it_tells_control_and_its_callers(self) -> None:
        """Its address was handed out for as long as the cut lasted."""
        async with start_group() as (cut_off, other):
            cut = await cut_found(cut_off, "reset")
            told = cut_off.control.unreached
            cut.heal()
            await anyio.sleep(FOUND_AFTER_S)
            told_later = cut_off.control.unreached
        assert told == {"stock"}
        assert other.control.unreached == frozenset()
        assert told_later == frozenset()


class TestRequestUnderWay:
    @pytest.mark.parametrize("kind", ["hang", "reset"])
    async def test_stream_goes_on_after_its_last_event(
        self, kind: CutKind
    ) -> None:
        """It broke off, though its caller had tried only once."""
        async with start_group(handler=hold_second_event) as (cut_off, _):
            cut = ServerCut(cut_off)
            earn_arrivals(cut_off, 20)
            answers: list[bytes] = []

            async def ask() -> None:
                answers.append(await cut_off.ask("/review/1", x_attempt="r"))

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                await becomes_true(lambda: len(cut_off.requests) == 1)
                await anyio.sleep(0.1)
                cut.begin(kind)
            sent = [last_event(request) for _, request in cut_off.requests]
        assert is_whole(answers[0])
        assert sent == [0, 1]

    async def test_call_that_must_not_run_twice_is_not_sent_again(
        self,
    ) -> None:
        """It may have run at the server that was cut off."""
        async with start_group(handler=hold_second_event) as (cut_off, _):
            cut = ServerCut(cut_off)
            async with anyio.create_task_group() as group:
                answers: list[bytes] = []

                async def ask() -> None:
                    answers.append(await cut_off.ask("/order/1"))

                group.start_soon(ask)
                await becomes_true(lambda: len(cut_off.requests) == 1)
                cut.begin("reset")
            runs = len(cut_off.requests)
        assert status(answers[0]) == 502
        assert runs == 1

    async def test_end_of_the_forwarding_entry_is_not_told_as_not_run(
        self,
    ) -> None:
        """The request may have run at the server that it was sent to."""
        async with start_group(handler=hold_second_event) as (cut_off, other):
            await cut_known(cut_off, "reset")
            before = len(cut_off.requests)
            async with anyio.create_task_group() as group:
                answers: list[bytes] = []

                async def ask() -> None:
                    answers.append(await cut_off.ask("/order/1"))

                group.start_soon(ask)
                await becomes_true(lambda: len(cut_off.requests) > before)
                pool = cut_off.entry.context.pool
                (connection,) = pool._in_use[address_of(other)]
                connection.connection_lost(ConnectionResetError())
            runs = len(cut_off.requests) - before
        assert status(answers[0]) == 502
        assert runs == 1


class TestLoad:
    async def test_request_beyond_the_bound_is_refused_at_once(self) -> None:
        """Requests piled up in the memory of an entry that is cut off."""
        async with start_group(handler=hold_second_event) as (cut_off, _):
            await cut_known(cut_off, "reset")
            peers = cut_off.entry.context.peer_entries
            for _ in range(MAX_FORWARDED):
                peers.record_start("vm-2")
            answer = await cut_off.ask("/stock/1")
        assert status(answer) == 503
        assert b"retry-after" in answer

    async def test_burst_outlasts_a_pause_of_the_process(self) -> None:
        """The only other entry had accepted, but its dials had timed out."""
        async with start_group() as (cut_off, other):
            await cut_found(cut_off, "reset")
            pool = cut_off.entry.context.pool
            connect = pool._connect
            pauses = [2 * pool.connect_timeout_s]

            async def dial(
                address: str, loop: asyncio.AbstractEventLoop
            ) -> UpstreamConnection:
                if pauses and address == address_of(other):
                    loop.call_soon(time.sleep, pauses.pop())
                return await connect(address, loop)

            pool._connect = dial  # type: ignore[method-assign]
            answers = await ask_all(cut_off, 30)
        assert not pauses
        assert [status(answer) for answer in answers] == [200] * 30

    async def test_burst_is_admitted_by_the_forwarding_entry(self) -> None:
        """Its servers got all of it at once, beyond what they can run."""
        async with start_group(handler=answer_slowly) as (cut_off, other):
            servers = other.control.servers
            for name, server in servers.items():
                servers[name] = server._replace(capacity=1)
            await cut_found(cut_off, "reset")
            most = 0

            async def watch() -> None:
                nonlocal most
                while True:
                    selector = other.entry.context.servers.metrics(0.0)
                    running = sum(
                        server.in_flight
                        for group in selector.values()
                        for server in group.values()
                    )
                    most = max(most, running)
                    await anyio.sleep(0.005)

            async with anyio.create_task_group() as group:
                group.start_soon(watch)
                answers = await ask_all(cut_off, 60)
                group.cancel_scope.cancel()
            runs = runs_by_attempt(cut_off, 0)
        served = [answer for answer in answers if status(answer) == 200]
        refused = {status(answer) for answer in answers} - {200}
        assert len(served) >= SERVERS
        assert refused <= {429, 503, 504}
        assert most <= SERVERS
        assert max(runs.values()) <= 3
