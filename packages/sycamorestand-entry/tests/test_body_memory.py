"""Bodies of many requests at once, within the memory of the entry."""

from __future__ import annotations

from typing import Any
from typing import Final

import anyio
import pytest

from sycamorestand_entry.body_memory import hold_bodies
from sycamorestand_entry.errors import MemoryFull
from sycamorestand_peer.byte_room import ByteRoom

pytestmark = pytest.mark.anyio
PART: Final = bytes(64 * 1024)
LIMIT_BYTES: Final = 16 * len(PART)
SMALL: Final = bytes(1024)


class Reader:
    """An application that reads bodies and keeps each until it may end."""

    def __init__(self) -> None:
        self.held_bytes = 0
        self.refused = 0
        self.read = 0
        self.may_end = anyio.Event()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        held_bytes = 0
        try:
            more = True
            while more:
                message = await receive()
                held_bytes += len(message["body"])
                self.held_bytes += len(message["body"])
                more = message["more_body"]
            self.read += 1
            await self.may_end.wait()
        except MemoryFull:
            self.refused += 1
        finally:
            self.held_bytes -= held_bytes


async def ask(application: Any, parts: int, part: bytes = PART) -> None:
    left = parts

    async def receive() -> dict[str, Any]:
        nonlocal left
        await anyio.sleep(0)
        left -= 1
        return {"type": "http.request", "body": part, "more_body": left > 0}

    await application({}, receive, None)


class TestBodies:
    async def test_small_body_is_read_beside_many_large_ones(self) -> None:
        """60 bodies that came slowly took 276 MB of a VM that has 150."""
        reader = Reader()
        application = hold_bodies(reader, ByteRoom(LIMIT_BYTES))
        async with anyio.create_task_group() as tasks:
            for _ in range(60):
                tasks.start_soon(ask, application, 8)
            await anyio.wait_all_tasks_blocked()
            assert reader.refused > 0
            assert reader.held_bytes <= LIMIT_BYTES
            before = reader.read
            tasks.start_soon(ask, application, 1, SMALL)
            await anyio.wait_all_tasks_blocked()
            assert reader.read == before + 1
            reader.may_end.set()
        assert reader.held_bytes == 0

    async def test_room_is_there_again_after_the_requests(self) -> None:
        reader = Reader()
        reader.may_end.set()
        application = hold_bodies(reader, ByteRoom(LIMIT_BYTES))
        for _ in range(60):
            await ask(application, 8)
        assert (reader.read, reader.refused) == (60, 0)
