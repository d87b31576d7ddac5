"""Tells whether a backend server whose connection ended has ended too.

A connection that ends says little: servers close connections for many
reasons, also to mark the end of an answer. A server that has ended refuses a
new connection right afterwards.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorestand_entry.upstream import ConnectFailed
from sycamorestand_entry.upstream import ConnectTimedOut

if TYPE_CHECKING:
    from sycamorestand_entry.ports import ControlPort
    from sycamorestand_entry.upstream_pool import UpstreamPool
    from sycamorestand_model.backend_servers import Announcement


async def has_ended(
    pool: UpstreamPool, control: ControlPort, server: Announcement
) -> bool:
    """Return whether a server has ended by itself, by one dial.

    A server that leaves ends as soon as it has answered all requests.
    """
    known = control.backend_servers().get(server.name)
    if known is not None and known.leaving:
        return False
    try:
        connection = await pool.acquire(server.address, 0.0)
    except ConnectTimedOut:
        return False
    except ConnectFailed:
        return True
    pool.release(server.address, connection)
    return False


__all__ = ["has_ended"]
