"""The meshes of two processes on loopback, in one event loop."""

from __future__ import annotations

import socket
from typing import Any

import anyio
from anyio import wait_all_tasks_blocked
import pytest

from sycamorestand_bench.addresses import free_address
from sycamorestand_peer.codec import encode
from sycamorestand_peer.errors import PeerTimeout
from sycamorestand_peer.frames import Frame
from sycamorestand_peer.frames import seal
from sycamorestand_peer.mesh import PeerMesh
from sycamorestand_peer.messages import AddressList
from sycamorestand_peer.messages import CallReply
from sycamorestand_peer.messages import LedgerBatch

KEY = b"k" * 32
LINK = "sycamorestand_peer.link."
HEALTH = "sycamorestand_peer.health."
NEVER_S = 60.0
NEVER_MS = 60_000


class Process:
    def __init__(
        self, key: bytes = KEY, address: str = "", listen: str = ""
    ) -> None:
        self.received: list[tuple[str, Any]] = []
        self.mesh = PeerMesh(
            address or free_address(),
            lambda: (key,),
            self._on_message,
            listen or None,
        )

    def _on_message(self, sender: str, message: Any) -> None:
        self.received.append((sender, message))
        if isinstance(message, LedgerBatch):
            reply = CallReply(message.call_id, "", message.command)
            self.mesh.send(sender, reply)


class TestMesh:
    @pytest.mark.anyio
    async def test_a_call_is_answered(self) -> None:
        one, two = Process(), Process()
        async with anyio.create_task_group() as tasks:
            await tasks.start(one.mesh.run)
            await tasks.start(two.mesh.run)
            call_id = one.mesh.next_call_id()
            reply = await one.mesh.call(
                two.mesh.address, call_id, LedgerBatch(call_id, 0, b"x"), 5
            )
            assert reply.payload == b"x"
            tasks.cancel_scope.cancel()

    @pytest.mark.anyio
    async def test_a_peer_with_another_key_is_refused_and_counted(
        self, until: Any
    ) -> None:
        """A process without the cluster key must not reach the handler.

        Its frame is refused and counted, and the next message of a valid
        peer is delivered.
        """
        one, two, stranger = Process(), Process(), Process(key=b"s" * 32)
        async with anyio.create_task_group() as tasks:
            for process in (one, two, stranger):
                await tasks.start(process.mesh.run)
            stranger.mesh.send(two.mesh.address, AddressList(()))
            await until(lambda: two.mesh.counters.refused > 0)
            assert two.received == []
            one.mesh.send(two.mesh.address, AddressList(()))
            await until(lambda: len(two.received) == 1)
            tasks.cancel_scope.cancel()

    @pytest.mark.anyio
    async def test_invalid_bytes_are_refused_and_the_next_message_delivered(
        self, until: Any
    ) -> None:
        """Bytes that are not a frame must not stop the listener."""
        import pynng

        one, two = Process(), Process()
        async with anyio.create_task_group() as tasks:
            await tasks.start(one.mesh.run)
            await tasks.start(two.mesh.run)
            with pynng.Pair1(dial=f"tcp://{two.mesh.address}") as raw:
                await raw.asend(b"")
                await raw.asend(b"garbage" * 100)
                await until(lambda: two.mesh.counters.refused == 2)
            one.mesh.send(two.mesh.address, AddressList(()))
            await until(lambda: len(two.received) == 1)
            tasks.cancel_scope.cancel()

    @pytest.mark.anyio
    async def test_frames_of_a_restarted_peer_are_accepted_at_once(
        self, until: Any
    ) -> None:
        """Frames of a restarted peer must not be refused as repeated.

        The peer restarts on its address and numbers its frames from one
        again, but with a larger incarnation.
        """
        one = Process()
        address = free_address()
        async with anyio.create_task_group() as tasks:
            await tasks.start(one.mesh.run)
            for _ in range(2):
                before = len(one.received)
                process = Process(address=address)
                async with anyio.create_task_group() as process_tasks:
                    await process_tasks.start(process.mesh.run)
                    process.mesh.send(one.mesh.address, AddressList(()))
                    await until(lambda n=before: len(one.received) > n)
                    process_tasks.cancel_scope.cancel()
            tasks.cancel_scope.cancel()

    @pytest.mark.anyio
    async def test_an_error_in_the_handler_does_not_stop_the_mesh(
        self, until: Any
    ) -> None:
        """A peer of another release sends a message that raises an error.

        The error is counted and logged; the next message is delivered.
        """
        one, two = Process(), Process()
        handler = two.mesh._handler
        faults = [ValueError("another release")]

        def fail_once(sender: str, message: Any) -> None:
            if faults:
                raise faults.pop()
            handler(sender, message)

        two.mesh._handler = fail_once
        async with anyio.create_task_group() as tasks:
            await tasks.start(one.mesh.run)
            await tasks.start(two.mesh.run)
            one.mesh.send(two.mesh.address, AddressList(()))
            await until(lambda: two.mesh.counters.faults == 1)
            one.mesh.send(two.mesh.address, AddressList(()))
            await until(lambda: len(two.received) == 1)
            tasks.cancel_scope.cancel()

    @pytest.mark.anyio
    async def test_a_call_without_a_reply_raises_a_timeout(self) -> None:
        one = Process()
        async with anyio.create_task_group() as tasks:
            await tasks.start(one.mesh.run)
            with pytest.raises(PeerTimeout):
                await one.mesh.call(
                    free_address(), 1, LedgerBatch(1, 0, b""), 0.05
                )
            tasks.cancel_scope.cancel()


class TestRestart:
    """Peers react to a restart before the next heartbeat or redial."""

    @pytest.mark.anyio
    async def test_a_peer_that_missed_the_restart_is_informed_at_once(
        self, until: Any, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Messages are lost until a peer knows that a process restarted.

        The peer keeps sending frames to the earlier incarnation, and they
        are refused until it receives a frame from the new one. That frame
        must not wait for the next heartbeat.
        """
        monkeypatch.setattr(LINK + "HEARTBEAT_INTERVAL_S", NEVER_S)
        one, two = Process(), Process()
        stale_frame = Frame(
            two.mesh.address, one.mesh.address, 1, 1, 7, 7, ((1, b""),)
        )
        async with anyio.create_task_group() as tasks:
            await tasks.start(one.mesh.run)
            await tasks.start(two.mesh.run)
            one.mesh._handle_frame(seal(stale_frame, KEY), None)
            await until(lambda: two.mesh.counters.frames_received)
            tasks.cancel_scope.cancel()

    @pytest.mark.anyio
    async def test_peers_of_a_restarted_process_redial_at_once(
        self, until: Any, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Peers must not wait for their backoff once a process is back.

        The process was unreachable for so long that its peers seldom dial
        it. When it sends a frame they reconnect; until then a voter or an
        entry would get no replies.
        """
        monkeypatch.setattr(LINK + "RECONNECT_MS", NEVER_MS)
        monkeypatch.setattr(LINK + "RECONNECT_MAX_MS", NEVER_MS)
        monkeypatch.setattr(LINK + "HEARTBEAT_INTERVAL_S", NEVER_S)
        monkeypatch.setattr(HEALTH + "SILENCE_BOUND_S", NEVER_S)
        one, two = Process(), Process()
        async with anyio.create_task_group() as tasks:
            await tasks.start(one.mesh.run)
            async with anyio.create_task_group() as first_tasks:
                await first_tasks.start(two.mesh.run)
                one.mesh.send(two.mesh.address, AddressList(()))
                await until(lambda: two.received)
                two.mesh.send(one.mesh.address, AddressList(()))
                await until(lambda: one.received)
                first_tasks.cancel_scope.cancel()
            await until(lambda: is_free(two.mesh.address))
            restarted = Process(address=two.mesh.address)
            await tasks.start(restarted.mesh.run)
            restarted.mesh.send(one.mesh.address, AddressList(()))
            await until(lambda: len(one.received) == 2)
            one.mesh.send(two.mesh.address, AddressList(()))
            await until(lambda: restarted.received)
            tasks.cancel_scope.cancel()

    @pytest.mark.anyio
    async def test_a_restarted_process_takes_no_reply_to_an_earlier_call(
        self, until: Any
    ) -> None:
        """The outcome of a lost change was told for that of a later one."""
        earlier = Process()
        late = CallReply(earlier.mesh.next_call_id(), "", b"earlier")
        mesh = Process(address=earlier.mesh.address).mesh
        call_id = mesh.next_call_id()
        peer = free_address()
        replies: list[CallReply] = []

        async def call() -> None:
            batch = LedgerBatch(call_id, 0, b"")
            replies.append(await mesh.call(peer, call_id, batch, NEVER_S))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            await wait_all_tasks_blocked()
            for reply in (late, CallReply(call_id, "", b"later")):
                mesh._deliver(peer, *encode(reply))
            await until(lambda: replies)
        assert replies[0].payload == b"later"


def is_free(address: str) -> bool:
    """Return whether no socket listens on the address any more."""
    host, _, port = address.rpartition(":")
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, int(port)))
        except OSError:
            return False
    return True


class _DroppingProxy:
    """A TCP proxy that can silently drop the data of open connections."""

    def __init__(self, target: str) -> None:
        self.address = free_address()
        self._target = target
        self._dead: set[int] = set()
        self._open: set[int] = set()

    def drop_open_connections(self) -> None:
        self._dead |= self._open

    async def run(self, *, task_status: Any) -> None:
        host, port = self.address.split(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        task_status.started()
        await listener.serve(self._serve)

    async def _serve(self, client: Any) -> None:
        number = len(self._open)
        self._open.add(number)
        host, port = self._target.split(":")
        async with (
            client,
            await anyio.connect_tcp(host, int(port)) as server,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self._copy, client, server, number)
            await self._copy(server, client, number)

    async def _copy(self, source: Any, sink: Any, number: int) -> None:
        try:
            async for data in source:
                if number not in self._dead:
                    await sink.send(data)
        except (anyio.ClosedResourceError, anyio.BrokenResourceError):
            return


class TestSilentConnection:
    @pytest.mark.anyio
    async def test_a_silent_connection_is_replaced(self, until: Any) -> None:
        """A connection that loses data without an error must be replaced.

        A device between two processes loses the state of the connection:
        sends succeed but nothing arrives. The sender notices that its
        frames are no longer echoed and opens a new connection.
        """
        listen = free_address()
        proxy = _DroppingProxy(listen)
        one, two = Process(), Process(address=proxy.address, listen=listen)
        async with anyio.create_task_group() as tasks:
            await tasks.start(one.mesh.run)
            await tasks.start(two.mesh.run)
            await tasks.start(proxy.run)
            one.mesh.send(proxy.address, AddressList(()))
            await until(lambda: len(two.received) == 1)
            proxy.drop_open_connections()
            await until(lambda: one.mesh.counters.redials > 0)
            one.mesh.send(proxy.address, AddressList(()))
            await until(lambda: len(two.received) > 1)
            tasks.cancel_scope.cancel()
