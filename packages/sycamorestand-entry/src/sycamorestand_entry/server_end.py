"""Tells whether a backend server whose connection ended has ended too.

A connection that ends says little: servers close connections for many
reasons, also to mark the end of an answer. A server that has ended refuses a
new connection right afterwards.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_entry.upstream import ConnectFailed
from sycamorestand_entry.upstream import ConnectTimedOut

if TYPE_CHECKING:
    from sycamorestand_entry.ports import ControlPort
    from sycamorestand_entry.upstream_pool import UpstreamPool
    from sycamorestand_model.backend_servers import Announcement

MAX_DIALS: Final = 2
ACCEPTED_LIFE_S: Final = 0.02


async def has_ended(
    pool: UpstreamPool, control: ControlPort, server: Announcement
) -> bool:
    """Return whether a server has ended by itself, by a dial.

    A server that leaves ends as soon as it has answered all requests.
    """
    if _is_leaving(control, server):
        return False
    return await _refuses(pool, server)


async def has_left(
    pool: UpstreamPool, control: ControlPort, server: Announcement
) -> bool:
    """Return whether a server that leaves is gone, while others go on.

    Whether it had answered all requests before is not known.
    """
    if not _is_leaving(control, server):
        return False
    versions = set(server.versions)
    others = [
        other
        for other in control.backend_servers().values()
        if other.name != server.name
        and not other.leaving
        and not versions.isdisjoint(other.versions)
    ]
    return bool(others) and await _refuses(pool, server)


def _is_leaving(control: ControlPort, server: Announcement) -> bool:
    known = control.backend_servers().get(server.name)
    return known is not None and known.leaving


async def _refuses(pool: UpstreamPool, server: Announcement) -> bool:
    """Return whether a server refuses connections, by one dial or two.

    One that is ending may close a connection before it closes its listener.
    A dial in between is accepted, and closed at once.
    """
    for _ in range(MAX_DIALS):
        try:
            connection = await pool.acquire(server.address, 0.0)
        except ConnectTimedOut:
            return False
        except ConnectFailed:
            return True
        await anyio.sleep(ACCEPTED_LIFE_S)
        is_closed = connection.is_closed
        pool.release(server.address, connection)
        if not is_closed:
            return False
    return False


__all__ = ["has_ended", "has_left"]
