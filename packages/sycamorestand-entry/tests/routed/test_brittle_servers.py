"""Servers that say in their answers that they are brittle."""

from __future__ import annotations

import anyio
from anyio.abc import SocketStream
import pytest

from sycamorestand_bench.fakes.routed import answer_head
from sycamorestand_bench.fakes.routed import RoutedLoopback
from sycamorestand_bench.fakes.routed import SETTINGS
from sycamorestand_bench.fakes.routed import start_routed
from sycamorestand_entry.slots import TICK_S

pytestmark = pytest.mark.anyio
SLOTS = 8
ENTRIES = 4
NOT_RUN = (b"x-not-run: 1", b"content-length: 0")


class Server:
    """A server that answers late and refuses what it has no room for."""

    def __init__(self, tells: bytes = b"x-brittle: 5") -> None:
        self.running = 0
        self.most = 0
        self.refused = 0
        self.room = SLOTS
        self._tells = tells

    async def answer(self, request: bytes, stream: SocketStream) -> None:
        """Answer after a while, or refuse at once."""
        if self.running >= self.room:
            self.refused += 1
            head = answer_head(request, self._tells, *NOT_RUN, status=503)
            await stream.send(head)
            return
        self.running += 1
        self.most = max(self.most, self.running)
        await anyio.sleep(0.05)
        self.running -= 1
        head = answer_head(request, self._tells, b"content-length: 0")
        await stream.send(head)


async def ask_many(loopback: RoutedLoopback, count: int) -> list[bytes]:
    """Return the answers to requests sent at once."""
    answers: list[bytes] = []

    async def ask(number: int) -> None:
        answer = await loopback.ask("/stock/1", x_attempt=f"a-{number}")
        answers.append(answer[9:12])

    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(ask, number)
    return answers


async def tell(loopback: RoutedLoopback) -> None:
    """Let a server say that it is brittle, some time before it matters."""
    await ask_many(loopback, 1)
    await anyio.sleep(2 * TICK_S)


async def add(loopback: RoutedLoopback, name: str, server: Server) -> None:
    await loopback.add_server(name, server.answer)
    servers = loopback.control.servers
    servers[name] = servers[name]._replace(capacity=SLOTS)
    loopback.control.entries = ENTRIES


class TestBrittleService:
    async def test_entry_keeps_to_its_part_of_the_slots(self) -> None:
        """All entries together filled the queue, which was short by then."""
        async with start_routed(SETTINGS) as loopback:
            server = Server()
            await add(loopback, "s-1", server)
            await tell(loopback)
            answers = await ask_many(loopback, 20)
        assert server.most <= SLOTS // ENTRIES
        assert server.refused == 0
        assert answers.count(b"200") >= 10

    async def test_server_without_room_is_not_asked_again_at_once(
        self,
    ) -> None:
        """Each refused request was followed by another one."""
        async with start_routed(SETTINGS) as loopback:
            server = Server()
            await add(loopback, "s-1", server)
            await tell(loopback)
            server.room = 0
            for _ in range(5):
                await ask_many(loopback, 20)
        assert server.refused <= SLOTS // ENTRIES

    async def test_other_servers_are_asked_in_its_place(self) -> None:
        async with start_routed(SETTINGS) as loopback:
            full, free = Server(), Server()
            await add(loopback, "s-1", full)
            await add(loopback, "s-2", free)
            await tell(loopback)
            full.room = 0
            answers = await ask_many(loopback, 2)
        assert answers == [b"200"] * 2
        assert full.refused <= SLOTS // ENTRIES

    @pytest.mark.parametrize("value", [b"", b"-1", b"x", b"9" * 5000])
    async def test_malformed_value_is_ignored(self, value: bytes) -> None:
        """A server could have ended each request with an error."""
        async with start_routed(SETTINGS) as loopback:
            server = Server(b"x-brittle: " + value)
            await add(loopback, "s-1", server)
            assert await ask_many(loopback, 1) == [b"200"]
            await ask_many(loopback, SLOTS)
        assert server.most > SLOTS // ENTRIES
