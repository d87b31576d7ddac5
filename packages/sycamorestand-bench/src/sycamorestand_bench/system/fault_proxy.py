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
SENDER_SEARCH_BYTES: Final = 64
CHUNK_BYTES: Final = 65_536
# How often what is held up looks whether it may go on.
HOLD_POLL_INTERVAL_S: Final = 0.02
ALL_SENDERS: Final = ""
UNKNOWN: Final = "unknown"
CONNECTION_ERRORS: Final = (
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
        self._refused_senders: set[str] = set()
        self._held_senders: dict[bool, set[str]] = {True: set(), False: set()}
        self._delay_s = 0.0
        self._open_connections: list[_Connection] = []

    def cut(self, sender: str = ALL_SENDERS) -> None:
        """Close a sender's connections and refuse it new ones."""
        self._refused_senders.add(sender)
        for connection in self._connections_of(sender):
            connection.scope.cancel()

    def reset(self, sender: str = ALL_SENDERS) -> int:
        """Close a sender's open connections; new ones work.

        Returns how many were closed.
        """
        connections = self._connections_of(sender)
        for connection in connections:
            connection.scope.cancel()
        return len(connections)

    def hold(self, inward: bool, sender: str = ALL_SENDERS) -> None:
        """Keep back what goes in one direction, until `heal`.

        Nothing is lost: as on a link that drops packets one way, what was
        kept back arrives late. The other direction goes on.
        """
        self._held_senders[inward].add(sender)

    def delay(self, delay_s: float) -> None:
        """Pass everything on so much later, until `heal`."""
        self._delay_s = delay_s

    def heal(self) -> None:
        """End every fault but for connections that were silenced."""
        self._refused_senders.clear()
        self._held_senders[True].clear()
        self._held_senders[False].clear()
        self._delay_s = 0.0

    def blackhole(self, sender: str = ALL_SENDERS) -> int:
        """Keep a sender's open connections and deliver nothing of them.

        New ones work. Returns how many went silent.
        """
        connections = self._connections_of(sender)
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
            await listener.serve(self._handle_connection)

    def _connections_of(self, sender: str) -> list[_Connection]:
        return [
            c
            for c in self._open_connections
            if sender in (ALL_SENDERS, c.sender)
        ]

    async def _handle_connection(self, near: SocketStream) -> None:
        connection = _Connection()
        try:
            async with near:
                if ALL_SENDERS not in self._refused_senders:
                    await self._connect_target(connection, near)
        except* CONNECTION_ERRORS:
            pass

    async def _connect_target(
        self, connection: _Connection, near: SocketStream
    ) -> None:
        host, _, port = self.target.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as far:
            with connection.scope:
                await self._relay(connection, near, far)

    async def _relay(
        self, connection: _Connection, near: SocketStream, far: SocketStream
    ) -> None:
        self._open_connections.append(connection)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._copy, connection, far, near, False)
                await self._identify_sender(connection, near, far)
                await self._copy(connection, near, far, True)
                tasks.cancel_scope.cancel()
        finally:
            self._open_connections.remove(connection)

    async def _identify_sender(
        self, connection: _Connection, near: SocketStream, far: SocketStream
    ) -> None:
        """Find out who the sender is before any of its frames passes."""
        head = b""
        handshake_bytes = 8
        while len(head) < SENDER_SEARCH_BYTES + handshake_bytes:
            chunk = await near.receive(CHUNK_BYTES)
            if not head:
                await far.send(chunk[:handshake_bytes])
            head += chunk
        connection.sender = _parse_sender(head)
        if connection.sender in self._refused_senders:
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
                await self._wait_for_faults(connection, inward)
                if not connection.silent:
                    await sink.send(chunk)
        except CONNECTION_ERRORS:
            if connection.silent:
                await anyio.sleep_forever()
            connection.scope.cancel()

    async def _wait_for_faults(
        self, connection: _Connection, inward: bool
    ) -> None:
        if self._delay_s:
            await anyio.sleep(self._delay_s)
        held = self._held_senders[inward]
        while ALL_SENDERS in held or connection.sender in held:
            await anyio.sleep(HOLD_POLL_INTERVAL_S)


class _Connection:
    def __init__(self) -> None:
        self.scope = anyio.CancelScope()
        self.sender = UNKNOWN
        self.silent = False


def _parse_sender(head: bytes) -> str:
    marker = b"127.0.0.1:"
    start = head.find(marker, 0, SENDER_SEARCH_BYTES)
    if start < 1:
        return UNKNOWN
    # The byte before is msgpack's: the length of a short string.
    length = head[start - 1] & 0x1F
    return head[start : start + length].decode()


__all__ = ["ALL_SENDERS", "FaultProxy"]
