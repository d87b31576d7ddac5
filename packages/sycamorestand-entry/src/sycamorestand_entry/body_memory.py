"""The memory of requests' bodies, over all requests of the entry.

Each body has a limit of its own, but some tens of large ones that come slowly
would together take the memory of the process, and it would be killed with all
its requests. A body holds at most as much as is left for others, so that
small ones are read beside any number of large ones.
"""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_entry.errors import MemoryFull
from sycamorestand_peer.byte_room import ByteRoom
from sycamorestand_peer.byte_room import RoomShare
from sycamorestand_peer.http_budget import PROCESS_BUDGET

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from sycamorestand_entry.http_messages import Message
    from sycamorestand_entry.http_messages import Receive
    from sycamorestand_entry.http_messages import Send

    Application = Callable[[Any, Receive, Send], Awaitable[None]]

# What each body may have besides.
OWN_BYTES: Final = 4 * 1024
RETRY_S: Final = 1.0
NO_BODY_ROOM: Final = "body_memory"


def hold_bodies(
    application: Application, room: ByteRoom = PROCESS_BUDGET.room
) -> Application:
    """Return the application with a limit on all bodies that it reads.

    The body of a request counts until the request has ended. Without room
    for it the application's ``receive`` raises `MemoryFull`.
    """

    async def limited(scope: Any, receive: Receive, send: Send) -> None:
        share = RoomShare(room, OWN_BYTES)

        async def receive_held() -> Message:
            message = await receive()
            if not share.take_fairly(len(message.get("body", b""))):
                PROCESS_BUDGET.refused(NO_BODY_ROOM)
                raise MemoryFull("too many bodies are being read", RETRY_S)
            return message

        try:
            await application(scope, receive_held, send)
        finally:
            share.release_all()

    return limited


__all__ = ["hold_bodies"]
