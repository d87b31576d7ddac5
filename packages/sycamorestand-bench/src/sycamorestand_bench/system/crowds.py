"""Crowds of HTTP clients that do not behave, for tests of real processes.

Each client of a crowd opens one connection, sends what its `Kind` says and
then holds the connection until the crowd ends or the server closes it.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

import anyio
from anyio.abc import SocketStream

READ_BYTES: Final = 64 * 1024
# The size of a head that is inside the limits, and of one that is not.
LEGAL_HEAD_BYTES: Final = 15_000
LARGE_HEAD_BYTES: Final = 62_000
# What one client sends at most where a kind has no end.
MOST_BYTES: Final = 8 * 1024 * 1024
REST_S: Final = 0.1


class Door(NamedTuple):
    """An address, a path that it serves, and fields of its requests."""

    host: str
    port: int
    path: str = "/"
    fields: bytes = b"host: x\r\n"

    def head(self, method: bytes) -> bytes:
        """Return the head of a request without the empty line at its end."""
        line = b"%b %b HTTP/1.1\r\n" % (method, self.path.encode())
        return line + self.fields


class Kind(NamedTuple):
    """What a client sends.

    ``lines`` come after the head of a request, ``after_answer`` once the
    first bytes of an answer have come, and ``more`` again and again. A
    client that does not read leaves its answers in the sockets.
    """

    method: bytes = b"GET"
    lines: bytes = b""
    times: int = 1
    is_bare: bool = False
    after_answer: bytes = b""
    more: bytes = b""
    reads: bool = True


def short_lines(size_bytes: int) -> bytes:
    """Return header lines of four bytes each."""
    return b"a:\r\n" * (size_bytes // 4)


def named_lines(size_bytes: int) -> bytes:
    """Return short header lines with a name of its own each."""
    return b"".join(b"%x:\r\n" % n for n in range(size_bytes // 6))


LENGTH: Final = b"content-length: 10\r\n"
CHUNKED: Final = b"transfer-encoding: chunked\r\n\r\n1\r\na\r\n"
END: Final = b"\r\n"
KINDS: Final = {
    "idle": Kind(is_bare=True),
    "empty line": Kind(is_bare=True, lines=END),
    "empty line after an answer": Kind(lines=END, after_answer=END),
    "tiny requests": Kind(
        lines=b"GET / HTTP/1.1\r\n\r\n", times=13_000, is_bare=True
    ),
    "pipelined requests": Kind(lines=END, times=3_000),
    "unread answers": Kind(lines=END, times=3_000, reads=False),
    "short lines": Kind(lines=short_lines(LEGAL_HEAD_BYTES)),
    "short lines, no body": Kind(
        b"POST", LENGTH + short_lines(LEGAL_HEAD_BYTES) + END
    ),
    "named lines, no body": Kind(
        b"POST", LENGTH + named_lines(LEGAL_HEAD_BYTES) + END
    ),
    "named lines, whole": Kind(
        b"POST", LENGTH + named_lines(LEGAL_HEAD_BYTES) + END + b"0123456789"
    ),
    "large head": Kind(lines=short_lines(LARGE_HEAD_BYTES)),
    "large whole head": Kind(
        b"POST", LENGTH + short_lines(LARGE_HEAD_BYTES) + END
    ),
    "no body": Kind(b"POST", LENGTH + END),
    "endless lines": Kind(more=short_lines(16_000)),
    "endless line": Kind(lines=b"x: ", more=b"v" * 16_000),
    "endless target": Kind(is_bare=True, lines=b"GET /", more=b"v" * 16_000),
    "endless empty lines": Kind(is_bare=True, more=END * 8_000),
    "endless empty lines after an answer": Kind(
        lines=END, after_answer=END, more=END * 8_000
    ),
    "endless trailers": Kind(
        b"POST", CHUNKED + b"0\r\n", more=short_lines(16_000)
    ),
    "endless chunk extension": Kind(
        b"POST", CHUNKED + b"1;x=", more=b"v" * 16_000
    ),
    "bytes as chunks": Kind(b"POST", CHUNKED, more=b"1\r\na\r\n" * 2_000),
}


async def hold_crowd(
    kind: Kind, door: Door, clients: int, for_s: float
) -> None:
    """Let this many clients stand at a door for a time."""
    with anyio.move_on_after(for_s):
        async with anyio.create_task_group() as tasks:
            for _ in range(clients):
                tasks.start_soon(_hold_client, kind, door)


async def _hold_client(kind: Kind, door: Door) -> None:
    try:
        stream = await anyio.connect_tcp(door.host, door.port)
    except OSError:
        # A refusal is one of the ends that a crowd may meet.
        return
    async with stream, anyio.create_task_group() as tasks:
        answered = anyio.Event()
        if kind.reads:
            tasks.start_soon(_read_all, stream, answered)
        tasks.start_soon(_send_kind, stream, kind, door, answered)


async def _send_kind(
    stream: SocketStream, kind: Kind, door: Door, answered: anyio.Event
) -> None:
    head = b"" if kind.is_bare else door.head(kind.method)
    try:
        if first := (head + kind.lines) * kind.times:
            await stream.send(first)
        if kind.after_answer:
            await answered.wait()
            await anyio.sleep(REST_S)
            await stream.send(kind.after_answer)
        sent_bytes = 0
        while kind.more and sent_bytes < MOST_BYTES:
            await stream.send(kind.more)
            sent_bytes += len(kind.more)
        if not kind.reads:
            await anyio.sleep_forever()
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        # The server closes what it refuses.
        return


async def _read_all(stream: SocketStream, answered: anyio.Event) -> None:
    try:
        while True:
            await stream.receive(READ_BYTES)
            answered.set()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        answered.set()


__all__ = ["Door", "hold_crowd", "Kind", "KINDS", "named_lines", "short_lines"]
