"""An entry reads reported loads, reports its own work and hears sums."""

from __future__ import annotations

import anyio
from anyio.abc import SocketStream
import pytest

from sycamorestand_bench.fakes.entry_group import cut_known
from sycamorestand_bench.fakes.entry_group import start_group
from sycamorestand_bench.fakes.entry_group import status
from sycamorestand_bench.fakes.routed import answer_head
from sycamorestand_bench.fakes.routed import RoutedLoopback
from sycamorestand_bench.fakes.routed import start_routed
from sycamorestand_model.server_loads import EntryLoad
from sycamorestand_model.server_loads import LoadHeader
from sycamorestand_model.server_loads import ObservedLoad
from sycamorestand_model.server_loads import SharedLoad
from sycamorestand_peer.messages import EntryLoads
from sycamorestand_peer.messages import SharedLoads

pytestmark = pytest.mark.anyio
HEADER = LoadHeader(17, 2, 24, 1.2)


class Server:
    """A server that reports its load and answers once it may."""

    def __init__(self, load: bytes, refuses: bool = False) -> None:
        self.may_answer = anyio.Event()
        self._load = b"x-load: " + load
        self._refuses = refuses

    async def answer(self, request: bytes, stream: SocketStream) -> None:
        if self._refuses:
            lines = (self._load, b"x-not-run: 1", b"content-length: 0")
            await stream.send(answer_head(request, *lines, status=503))
            return
        await self.may_answer.wait()
        head = answer_head(request, self._load, b"content-length: 2")
        await stream.send(head + b"ok")


def observed(loopback: RoutedLoopback) -> ObservedLoad:
    context = loopback.entry.context
    return context.observed_loads.observed("s-1", context.now_s())


def reports(loopback: RoutedLoopback) -> list[dict[str, EntryLoad]]:
    sent = loopback.control.sent_messages
    return [m.loads for m in sent if isinstance(m, EntryLoads)]


class TestLoadReports:
    async def test_own_work_is_reported_until_it_has_ended(self) -> None:
        async with start_routed() as loopback:
            server = Server(b"17,2,24,120")
            await loopback.add_server("s-1", server.answer)
            server.may_answer.set()
            await loopback.ask("/stock/1")
            server.may_answer = anyio.Event()
            loopback.entry.context.load_reports.send()
            async with anyio.create_task_group() as callers:
                callers.start_soon(_ask_with_tokens, loopback)
                while len(loopback.requests) < 2:
                    await anyio.sleep(0.005)
                loopback.entry.context.load_reports.send()
                shared = SharedLoads({"s-1": SharedLoad(None, 0.0, 6, 4000)})
                loopback.control.listeners[SharedLoads](shared)
                partial = SharedLoads(
                    {"s-1": SharedLoad(None, 0.0, 9, 9)}, True
                )
                loopback.control.listeners[SharedLoads](partial)
                during = observed(loopback)
                server.may_answer.set()
            loopback.entry.context.load_reports.send()
            told = [r["s-1"] for r in reports(loopback)]
        assert [(t.requests, t.tokens) for t in told] == [
            (0, 0),
            (1, 1250),
            (0, 0),
        ]
        assert {t.header for t in told} == {HEADER}
        assert during.own_requests == 1
        assert (during.others_requests, during.others_tokens) == (5, 2750)

    async def test_load_in_a_refusal_is_read(self) -> None:
        async with start_routed() as loopback:
            server = Server(b"24,9,24,250", refuses=True)
            await loopback.add_server("s-1", server.answer)
            assert status(await loopback.ask("/stock/1")) == 503
            assert observed(loopback).header == LoadHeader(24, 9, 24, 2.5)
            assert observed(loopback).own_requests == 0

    async def test_forwarded_work_is_that_of_the_other_entry(self) -> None:
        """Both entries would have reported the same request."""
        server = Server(b"17,2,24,120")
        async with start_group(handler=server.answer, servers=1) as entries:
            cut_off = entries[0]
            await cut_known(cut_off, "reset")
            async with anyio.create_task_group() as callers:
                callers.start_soon(cut_off.ask, "/stock/1")
                while not cut_off.requests:
                    await anyio.sleep(0.005)
                name, _ = cut_off.requests[0]
                requests = [_observed_requests(e, name) for e in entries]
                server.may_answer.set()
            headers = [
                e.entry.context.observed_loads.observed(name, 0.0).header
                for e in entries
            ]
        assert requests == [0, 1]
        assert headers == [None, HEADER]

    @pytest.mark.parametrize("load", [b"17,2,24", b"17,2,24,0", b"x"])
    async def test_nothing_is_shared_without_slowness(
        self, load: bytes
    ) -> None:
        async with start_routed() as loopback:
            server = Server(load)
            server.may_answer.set()
            await loopback.add_server("s-1", server.answer)
            assert status(await loopback.ask("/stock/1")) == 200
            loopback.entry.context.load_reports.send()
            assert reports(loopback) == []

    async def test_servers_that_nobody_knows_are_not_kept(self) -> None:
        async with start_routed() as loopback:
            shared = SharedLoads({"s-1": SharedLoad(HEADER, 0.1, 6, 4000)})
            loopback.control.listeners[SharedLoads](shared)
            assert observed(loopback).header is None


def _observed_requests(loopback: RoutedLoopback, server: str) -> int:
    loads = loopback.entry.context.observed_loads
    return loads.observed(server, 0.0).own_requests


async def _ask_with_tokens(loopback: RoutedLoopback) -> None:
    await loopback.ask("/stock/1", x_attempt="a2", x_tokens="1200,50")
