"""Inject faults into the TCP connections to one process.

The proxy can close, refuse or blackhole connections and hold back one
direction, for one sender or for all. It can delay all connections.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from typing import Final

import anyio
from anyio.abc import Listener
from anyio.abc import SocketAttribute
from anyio.abc import SocketStream
from anyio.abc import TaskStatus

from sycamorestand_bench.listeners import close_listener
from sycamorestand_bench.system.endless_bytes import ANSWER
from sycamorestand_bench.system.endless_bytes import send_endless

# The sender's address follows the handshake (8 bytes), the length (8), the
# authentication code (16) and msgpack's markers (2), so that it lies within
# the first bytes of a connection.
SENDER_SEARCH_BYTES: Final = 64
CHUNK_BYTES: Final = 65_536
# Interval at which a held connection checks whether `heal` has released it.
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
    """Forwards connections from ``listen`` to ``target`` with faults.

    A sender is the peer address of a process; `ALL_SENDERS` stands for
    the senders of all connections. ``find_sender`` returns the sender of a
    connection by its remote port; without it the sender is read from the
    first frame. Call all methods in the event loop that runs the proxy.
    """

    def __init__(
        self,
        listen: str,
        target: str,
        find_sender: Callable[[int], str] | None = None,
    ) -> None:
        self.target = target
        self._find_sender = find_sender
        self.listen = listen
        self._refused_senders: set[str] = set()
        self._hung_senders: set[str] = set()
        self._held_senders: dict[bool, set[str]] = {True: set(), False: set()}
        self._delay_s = 0.0
        self._is_endless = False
        self._open_connections: list[_Connection] = []
        self._listener: Listener[SocketStream] | None = None
        self._listening = anyio.Event()
        self._accepting: anyio.CancelScope | None = None

    def cut(self, sender: str = ALL_SENDERS) -> None:
        """Close a sender's connections and refuse new ones, until `heal`."""
        self.refuse(sender)
        for connection in self._connections_of(sender):
            connection.scope.cancel()

    def refuse(self, sender: str = ALL_SENDERS) -> None:
        """Refuse a sender's new connections, until `heal`.

        Open ones live on.
        """
        self._refused_senders.add(sender)

    def hang(self, sender: str = ALL_SENDERS) -> None:
        """Drop all data of a sender's connections, of new ones until `heal`.

        New connections are accepted all the same.
        """
        self._hung_senders.add(sender)
        self.blackhole(sender)

    def reset(self, sender: str = ALL_SENDERS) -> int:
        """Close a sender's open connections and return their number.

        New connections work.
        """
        connections = self._connections_of(sender)
        for connection in connections:
            connection.scope.cancel()
        return len(connections)

    def hold(self, inward: bool, sender: str = ALL_SENDERS) -> None:
        """Hold back the data of one direction, until `heal`.

        ``inward`` is the direction to the target. The data arrives late
        and none is lost, as on a TCP connection over a link that drops
        the packets of one direction. The other direction still works.
        """
        self._held_senders[inward].add(sender)

    def answer_endlessly(self) -> None:
        """Answer in the target's place, without end, until `heal`.

        Open connections are closed.
        """
        self._is_endless = True
        self.reset()

    def delay(self, delay_s: float) -> None:
        """Delay all data in both directions, until `heal`."""
        self._delay_s = delay_s

    def heal(self) -> None:
        """End every fault, except that blackholed connections stay silent."""
        self._refused_senders.clear()
        self._hung_senders.clear()
        self._held_senders[True].clear()
        self._held_senders[False].clear()
        self._delay_s = 0.0
        self._is_endless = False

    async def end(self, for_s: float) -> None:
        """Behave as a process that ends by itself and starts again later.

        New connections are refused first, then the open ones are closed.
        """
        listener, self._listener = self._listener, None
        if listener is None:
            return
        await close_listener(listener)
        if self._accepting is not None:
            self._accepting.cancel()
        self.reset()
        await anyio.sleep(for_s)
        self._listening.set()

    def blackhole(self, sender: str = ALL_SENDERS) -> int:
        """Drop all data of a sender's open connections and keep them open.

        New connections work. Return the number of silent connections.
        """
        connections = self._connections_of(sender)
        for connection in connections:
            connection.silent = True
        return len(connections)

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept and forward connections until cancelled."""
        host, _, port = self.listen.rpartition(":")
        async with anyio.create_task_group() as connections:
            while True:
                self._listening = anyio.Event()
                multi = await anyio.create_tcp_listener(
                    local_host=host, local_port=int(port)
                )
                self._listener = multi.listeners[0]
                task_status.started()
                task_status = anyio.TASK_STATUS_IGNORED
                with (
                    anyio.CancelScope() as self._accepting,
                    suppress(anyio.ClosedResourceError),
                ):
                    async with multi:
                        await self._listener.serve(
                            self._handle_connection, connections
                        )
                await self._listening.wait()

    def _connections_of(self, sender: str) -> list[_Connection]:
        return [
            c
            for c in self._open_connections
            if sender in (ALL_SENDERS, c.sender)
        ]

    async def _handle_connection(self, client: SocketStream) -> None:
        connection = _Connection()
        if self._find_sender is not None:
            port = client.extra(SocketAttribute.remote_port)
            connection.sender = self._find_sender(int(port))
        senders = {ALL_SENDERS, connection.sender}
        refused = senders & self._refused_senders
        connection.silent = bool(senders & self._hung_senders)
        try:
            async with client:
                if self._is_endless:
                    await client.receive(CHUNK_BYTES)
                    await send_endless(client, ANSWER)
                elif not refused:
                    await self._connect_target(connection, client)
        except* CONNECTION_ERRORS:
            pass

    async def _connect_target(
        self, connection: _Connection, client: SocketStream
    ) -> None:
        host, _, port = self.target.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as server:
            with connection.scope:
                await self._relay(connection, client, server)

    async def _relay(
        self,
        connection: _Connection,
        client: SocketStream,
        server: SocketStream,
    ) -> None:
        self._open_connections.append(connection)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._copy, connection, server, client, False)
                if self._find_sender is None:
                    await self._identify_sender(connection, client, server)
                await self._copy(connection, client, server, True)
                tasks.cancel_scope.cancel()
        finally:
            self._open_connections.remove(connection)

    async def _identify_sender(
        self,
        connection: _Connection,
        client: SocketStream,
        server: SocketStream,
    ) -> None:
        """Read the sender from its first frame before forwarding the frame.

        Forward the handshake at once: the sender sends its first frame only
        after the target's handshake.
        """
        head = b""
        handshake_bytes = 8
        while len(head) < SENDER_SEARCH_BYTES + handshake_bytes:
            chunk = await client.receive(CHUNK_BYTES)
            if not head:
                await server.send(chunk[:handshake_bytes])
            head += chunk
        connection.sender = _parse_sender(head)
        if connection.sender in self._refused_senders:
            connection.scope.cancel()
            await anyio.sleep(0)
        await server.send(head[handshake_bytes:])

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
    # The byte before the address is msgpack's marker of a short string,
    # whose low 5 bits are the length.
    length = head[start - 1] & 0x1F
    return head[start : start + length].decode()


__all__ = ["ALL_SENDERS", "FaultProxy"]
