"""A TCP gate before one process, which harms what passes through it.

Connections can be closed, refused, silenced for good, held up in one
direction or both, and delayed, for one sender or for everybody.
"""

from __future__ import annotations

from typing import Final

import anyio
from anyio.abc import SocketStream
from anyio.abc import TaskStatus

# A frame between processes names its sender in the first bytes: 8 bytes of
# handshake, 8 of length, 16 of authentication code and 2 of msgpack.
HEAD_BYTES: Final = 64
CHUNK_BYTES: Final = 65_536
# How often what is held up looks whether it may go on.
HELD_POLL_S: Final = 0.02
EVERYBODY: Final = ""
UNKNOWN: Final = "unknown"
BROKEN: Final = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)


class FaultProxy:
    """Passes connections on to ``target``, for each sender or not.

    Every method that names a sender takes `EVERYBODY` too. They are
    called in the gate's event loop.
    """

    def __init__(self, listen: str, target: str) -> None:
        self.target = target
        self.listen = listen
        self._cut: set[str] = set()
        self._held: dict[bool, set[str]] = {True: set(), False: set()}
        self._delay_s = 0.0
        self._open: list[_Connection] = []

    def cut(self, sender: str = EVERYBODY) -> None:
        """Close a sender's connections and refuse it new ones."""
        self._cut.add(sender)
        for connection in self._of(sender):
            connection.scope.cancel()

    def reset(self, sender: str = EVERYBODY) -> int:
        """Close a sender's open connections; new ones work.

        Returns how many were closed.
        """
        connections = self._of(sender)
        for connection in connections:
            connection.scope.cancel()
        return len(connections)

    def hold(self, inward: bool, sender: str = EVERYBODY) -> None:
        """Keep back what goes in one direction, until `heal`.

        Nothing is lost: as on a link that drops packets one way, what was
        kept back arrives late. The other direction goes on.
        """
        self._held[inward].add(sender)

    def delay(self, delay_s: float) -> None:
        """Pass everything on so much later, until `heal`."""
        self._delay_s = delay_s

    def heal(self) -> None:
        """End every fault but for connections that were silenced."""
        self._cut.clear()
        self._held[True].clear()
        self._held[False].clear()
        self._delay_s = 0.0

    def blackhole(self, sender: str = EVERYBODY) -> int:
        """Keep a sender's open connections and deliver nothing of them.

        New ones work. Returns how many went silent.
        """
        connections = self._of(sender)
        for connection in connections:
            connection.silent = True
        return len(connections)

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        host, _, port = self.listen.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        async with listener:
            task_status.started()
            await listener.serve(self._serve)

    def _of(self, sender: str) -> list[_Connection]:
        return [c for c in self._open if sender in (EVERYBODY, c.sender)]

    async def _serve(self, near: SocketStream) -> None:
        connection = _Connection()
        try:
            async with near:
                if EVERYBODY not in self._cut:
                    await self._connect(connection, near)
        except* BROKEN:
            pass

    async def _connect(
        self, connection: _Connection, near: SocketStream
    ) -> None:
        host, _, port = self.target.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as far:
            with connection.scope:
                await self._relay(connection, near, far)

    async def _relay(
        self, connection: _Connection, near: SocketStream, far: SocketStream
    ) -> None:
        self._open.append(connection)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._copy, connection, far, near, False)
                await self._pass_head(connection, near, far)
                await self._copy(connection, near, far, True)
                tasks.cancel_scope.cancel()
        finally:
            self._open.remove(connection)

    async def _pass_head(
        self, connection: _Connection, near: SocketStream, far: SocketStream
    ) -> None:
        """Find out who the sender is before any of its frames passes."""
        head = b""
        handshake_bytes = 8
        while len(head) < HEAD_BYTES + handshake_bytes:
            chunk = await near.receive(CHUNK_BYTES)
            if not head:
                await far.send(chunk[:handshake_bytes])
            head += chunk
        connection.sender = _sender(head)
        if connection.sender in self._cut:
            connection.scope.cancel()
            await anyio.sleep(0)
        await far.send(head[handshake_bytes:])

    async def _copy(
        self,
        connection: _Connection,
        source: SocketStream,
        sink: SocketStream,
        inward: bool,
    ) -> None:
        try:
            while True:
                chunk = await source.receive(CHUNK_BYTES)
                await self._wait(connection, inward)
                if not connection.silent:
                    await sink.send(chunk)
        except BROKEN:
            if connection.silent:
                await anyio.sleep_forever()
            connection.scope.cancel()

    async def _wait(self, connection: _Connection, inward: bool) -> None:
        if self._delay_s:
            await anyio.sleep(self._delay_s)
        held = self._held[inward]
        while EVERYBODY in held or connection.sender in held:
            await anyio.sleep(HELD_POLL_S)


class _Connection:
    def __init__(self) -> None:
        self.scope = anyio.CancelScope()
        self.sender = UNKNOWN
        self.silent = False


def _sender(head: bytes) -> str:
    marker = b"127.0.0.1:"
    start = head.find(marker, 0, HEAD_BYTES)
    if start < 1:
        return UNKNOWN
    # The byte before is msgpack's: the length of a short string.
    length = head[start - 1] & 0x1F
    return head[start : start + length].decode()


__all__ = ["EVERYBODY", "FaultProxy"]
