"""Two processes' meshes on loopback, in one event loop."""

from __future__ import annotations

import socket
from typing import Any

import anyio
import pytest

from sycamorestand_bench.addresses import free_address
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


class Node:
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
        one, two = Node(), Node()
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
        """A process that does not know the cluster key sends a message.

        Nothing of it reaches the handler, the refusal is counted, and the
        next message of a true peer is served.
        """
        one, two, stranger = Node(), Node(), Node(key=b"s" * 32)
        async with anyio.create_task_group() as tasks:
            for node in (one, two, stranger):
                await tasks.start(node.mesh.run)
            stranger.mesh.send(two.mesh.address, AddressList(()))
            await until(lambda: two.mesh.counters.refused > 0)
            assert two.received == []
            one.mesh.send(two.mesh.address, AddressList(()))
            await until(lambda: len(two.received) == 1)
            tasks.cancel_scope.cancel()

    @pytest.mark.anyio
    async def test_garbage_is_counted_and_the_next_message_served(
        self, until: Any
    ) -> None:
        """A stranger writes bytes that are no frame at all."""
        import pynng

        one, two = Node(), Node()
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
    async def test_a_restarted_peer_is_heard_at_once(self, until: Any) -> None:
        """A peer restarts on its address and counts frames from one.

        Its new incarnation is larger, so its low sequence numbers are not
        taken for doubled frames of its earlier life.
        """
        one = Node()
        address = free_address()
        async with anyio.create_task_group() as tasks:
            await tasks.start(one.mesh.run)
            for _ in range(2):
                before = len(one.received)
                node = Node(address=address)
                async with anyio.create_task_group() as life:
                    await life.start(node.mesh.run)
                    node.mesh.send(one.mesh.address, AddressList(()))
                    await until(lambda n=before: len(one.received) > n)
                    life.cancel_scope.cancel()
            tasks.cancel_scope.cancel()

    @pytest.mark.anyio
    async def test_a_handler_that_fails_ends_nothing(self, until: Any) -> None:
        """A peer of another release sends what this one cannot handle.

        The fault is counted and logged; the next message is served.
        """
        one, two = Node(), Node()
        handled = two.mesh._handler
        faults = [ValueError("another release")]

        def fail_once(sender: str, message: Any) -> None:
            if faults:
                raise faults.pop()
            handled(sender, message)

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
    async def test_no_answer_is_a_timeout(self) -> None:
        one = Node()
        async with anyio.create_task_group() as tasks:
            await tasks.start(one.mesh.run)
            with pytest.raises(PeerTimeout):
                await one.mesh.call(
                    free_address(), 1, LedgerBatch(1, 0, b""), 0.05
                )
            tasks.cancel_scope.cancel()


class TestRestart:
    """A heartbeat and a redial of their own would come too late here."""

    @pytest.mark.anyio
    async def test_a_peer_that_does_not_know_of_it_is_told_at_once(
        self, until: Any, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A process restarts while its peer goes on sending.

        The peer's frames are meant for the process of before and are
        refused, until it hears of the new one. That must not wait for the
        next heartbeat: what is sent meanwhile is lost.
        """
        monkeypatch.setattr(LINK + "HEARTBEAT_INTERVAL_S", NEVER_S)
        one, two = Node(), Node()
        before = Frame(
            two.mesh.address, one.mesh.address, 1, 1, 7, 7, ((1, b""),)
        )
        async with anyio.create_task_group() as tasks:
            await tasks.start(one.mesh.run)
            await tasks.start(two.mesh.run)
            one.mesh._handle_frame(seal(before, KEY), None)
            await until(lambda: two.mesh.counters.frames_received)
            tasks.cancel_scope.cancel()

    @pytest.mark.anyio
    async def test_its_peers_dial_anew_at_once(
        self, until: Any, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A process was away for so long that nobody dials it often.

        It comes back and says so. Its peers must not wait for their next
        attempt: a voter or an entry would be without answers meanwhile.
        """
        monkeypatch.setattr(LINK + "RECONNECT_MS", NEVER_MS)
        monkeypatch.setattr(LINK + "RECONNECT_MAX_MS", NEVER_MS)
        monkeypatch.setattr(LINK + "HEARTBEAT_INTERVAL_S", NEVER_S)
        monkeypatch.setattr(HEALTH + "SILENCE_BOUND_S", NEVER_S)
        one, two = Node(), Node()
        async with anyio.create_task_group() as tasks:
            await tasks.start(one.mesh.run)
            async with anyio.create_task_group() as first_life:
                await first_life.start(two.mesh.run)
                one.mesh.send(two.mesh.address, AddressList(()))
                await until(lambda: two.received)
                two.mesh.send(one.mesh.address, AddressList(()))
                await until(lambda: one.received)
                first_life.cancel_scope.cancel()
            await until(lambda: is_free(two.mesh.address))
            again = Node(address=two.mesh.address)
            await tasks.start(again.mesh.run)
            again.mesh.send(one.mesh.address, AddressList(()))
            await until(lambda: len(one.received) == 2)
            one.mesh.send(two.mesh.address, AddressList(()))
            await until(lambda: again.received)
            tasks.cancel_scope.cancel()


def is_free(address: str) -> bool:
    """Tell whether the socket that listened there is closed for good."""
    host, _, port = address.rpartition(":")
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, int(port)))
        except OSError:
            return False
    return True


class _DroppingProxy:
    """A TCP hop that can lose track of the connections open now."""

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
            await anyio.connect_tcp(host, int(port)) as upstream,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self._copy, client, upstream, number)
            await self._copy(upstream, client, number)

    async def _copy(self, source: Any, sink: Any, number: int) -> None:
        try:
            async for data in source:
                if number not in self._dead:
                    await sink.send(data)
        except (anyio.ClosedResourceError, anyio.BrokenResourceError):
            return


class TestSilentConnection:
    @pytest.mark.anyio
    async def test_a_connection_gone_silent_is_dialled_anew(
        self, until: Any
    ) -> None:
        """Something between two processes loses track of a connection.

        Sends go on without an error and nothing arrives. The sender sees
        that its frames are no longer echoed, closes the connection and
        dials a new one, which works; messages arrive again.
        """
        listen = free_address()
        gate = _DroppingProxy(listen)
        one, two = Node(), Node(address=gate.address, listen=listen)
        async with anyio.create_task_group() as tasks:
            await tasks.start(one.mesh.run)
            await tasks.start(two.mesh.run)
            await tasks.start(gate.run)
            one.mesh.send(gate.address, AddressList(()))
            await until(lambda: len(two.received) == 1)
            gate.drop_open_connections()
            await until(lambda: one.mesh.counters.redials > 0)
            one.mesh.send(gate.address, AddressList(()))
            await until(lambda: len(two.received) > 1)
            tasks.cancel_scope.cancel()
