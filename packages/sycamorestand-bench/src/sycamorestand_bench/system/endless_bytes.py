"""Send messages whose trailers have no end, as a faulty peer does."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from anyio.abc import SocketStream

BEGUN_BODY: Final = b"transfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
REQUEST: Final = b"POST /x HTTP/1.1\r\nhost: x\r\n" + BEGUN_BODY
ANSWER: Final = b"HTTP/1.1 200 OK\r\n" + BEGUN_BODY
FIELDS: Final = b"".join(
    b"x%d: %s\r\n" % (number, b"v" * 50) for number in range(1000)
)


async def send_endless(stream: SocketStream, begin: bytes) -> None:
    """Send ``begin`` and trailers after it until the peer closes."""
    try:
        await stream.send(begin)
        while True:
            await stream.send(FIELDS)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return


async def send_endless_request(host: str, port: int, for_s: float) -> None:
    """Send a request to a door until it closes, again and again."""
    with anyio.move_on_after(for_s):
        while True:
            try:
                async with await anyio.connect_tcp(host, port) as stream:
                    await send_endless(stream, REQUEST)
            except OSError:
                # The process is down, which is another fault's work.
                await anyio.sleep(0.1)


__all__ = ["ANSWER", "send_endless", "send_endless_request"]
