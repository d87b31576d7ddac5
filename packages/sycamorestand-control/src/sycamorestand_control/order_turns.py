"""Turns of operators' orders that carry whole declarations.

Load pattern: several orders at once, each with thousands of routes. Each is in
memory as its bytes, as declarations and as a command of the log, ten times its
size, and those that were made for the same revision conflict: all but one are
made anew. With eight at once a process exceeds its memory, and most commands
of the log are conflicts.

So a process works on one order at a time. The others wait as bytes, within
`ROOM_SHARE` of its memory, and are refused at once beyond that: another
process may have room.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_control.errors import CallerLeft
from sycamorestand_control.errors import TurnTimeout
from sycamorestand_peer.byte_room import ByteRoom

if TYPE_CHECKING:
    from sycamorestand_control.wait_limit import WaitLimit

ROOM_SHARE: Final = 1 / 16
# The largest body that any interface takes has to find room by itself.
MIN_ROOM_BYTES: Final = 8 * 1024 * 1024


async def _has_not_left() -> bool:
    return False


class OrderTurns:
    """Bounds the orders of one process that wait or are worked on.

    ``room`` is for the bodies of requests. ``waiting`` counts the orders
    that have a body and no turn.
    """

    def __init__(self, memory_bytes: int) -> None:
        share_bytes = int(memory_bytes * ROOM_SHARE)
        self.room = ByteRoom(max(MIN_ROOM_BYTES, share_bytes))
        self.waiting = 0
        self._turn = anyio.Lock()

    @contextlib.asynccontextmanager
    async def turn(
        self,
        has_left: Callable[[], Awaitable[bool]] = _has_not_left,
        waits: WaitLimit | None = None,
    ) -> AsyncIterator[None]:
        """Wait for this order's turn, within ``waits`` if that is given.

        Raises `TurnTimeout` if the turn does not come in time, and
        `CallerLeft` if the caller has left by then: it has sent the order
        elsewhere.
        """
        self.waiting += 1
        try:
            if waits is None:
                await self._turn.acquire()
            else:
                await self._acquire_within(waits)
        finally:
            self.waiting -= 1
        try:
            if await has_left():
                raise CallerLeft("the caller has left")
            yield
        finally:
            self._turn.release()

    async def _acquire_within(self, waits: WaitLimit) -> None:
        with waits.counted(), anyio.move_on_after(waits.left_s) as scope:
            await self._turn.acquire()
        if scope.cancelled_caught:
            raise TurnTimeout("another order has its turn")


__all__ = ["OrderTurns"]
