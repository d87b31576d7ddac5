"""A timeout of dials that a pause of this process does not use up."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

# Opening a connection that the peer has accepted takes the event loop four
# turns; more would be needed only if asyncio changed.
GRACE_TURNS: Final = 8


@asynccontextmanager
async def dial_timeout(timeout_s: float) -> AsyncIterator[None]:
    """Raise `TimeoutError` unless the peer accepts within ``timeout_s``.

    A process that does not run for so long finds the time over and the
    connection open in the same turn of its event loop, and a plain timeout
    would blame the peer. The loop therefore runs some more turns first, which
    show each connection that is open by now.
    """
    loop = asyncio.get_running_loop()
    turns = 0
    handle: asyncio.Handle

    def expire() -> None:
        nonlocal turns, handle
        turns += 1
        if turns <= GRACE_TURNS:
            handle = loop.call_soon(expire)
        else:
            limit.reschedule(loop.time())

    async with asyncio.timeout(None) as limit:
        handle = loop.call_later(timeout_s, expire)
        try:
            yield
        finally:
            handle.cancel()


__all__ = ["dial_timeout"]
