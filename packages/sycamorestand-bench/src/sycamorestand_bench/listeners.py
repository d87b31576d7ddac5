"""Close listeners of a process that plays the end of another one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from anyio.abc import SocketAttribute

if TYPE_CHECKING:
    from anyio.abc import Listener
    from anyio.abc import SocketStream


async def close_listener(listener: Listener[SocketStream]) -> None:
    """Close a listener, whatever its accept does at this moment.

    An accept that had just begun may wait on, until it is cancelled.
    """
    descriptor = listener.extra(SocketAttribute.raw_socket).fileno()
    await listener.aclose()
    # It has registered the socket meanwhile.
    asyncio.get_running_loop().remove_reader(descriptor)


__all__ = ["close_listener"]
