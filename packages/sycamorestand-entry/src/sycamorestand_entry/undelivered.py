"""Which bytes of a connection have not reached its peer's machine yet."""

from __future__ import annotations

import fcntl
import struct
import termios
from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

_COUNT: Final = struct.Struct("i")


def undelivered_bytes(transport: asyncio.Transport) -> int:
    """Return how many written bytes the peer's system has not acknowledged.

    The transport's own buffer is empty as soon as the kernel has taken all,
    which may be megabytes before the peer has it. Acknowledged bytes may
    still be unread by the program there.
    """
    waiting = transport.get_write_buffer_size()
    connection = transport.get_extra_info("socket")
    if waiting or connection is None or connection.fileno() < 0:
        return waiting
    queued = fcntl.ioctl(
        connection.fileno(), termios.TIOCOUTQ, bytes(_COUNT.size)
    )
    return int(_COUNT.unpack(queued)[0])


__all__ = ["undelivered_bytes"]
