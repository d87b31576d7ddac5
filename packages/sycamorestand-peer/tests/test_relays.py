"""Messages that a relay forwards around a network partition."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from sycamorestand_bench.addresses import free_address
from sycamorestand_peer.mesh import PeerMesh
from sycamorestand_peer.messages import AddressList
from sycamorestand_peer.messages import Relayed
from sycamorestand_peer.messages import TableResync
from sycamorestand_peer.relays import DIRECT_SILENCE_S
from sycamorestand_peer.relays import RELAY_TIMEOUT_S
from sycamorestand_peer.relays import Relays

NEVER_S = float("inf")
KEY = b"k" * 32


class Process:
    """A process that records its messages and answers a resync."""

    def __init__(self) -> None:
        self.received: list[tuple[str, Any]] = []
        self.mesh = PeerMesh(free_address(), lambda: (KEY,), self._on_message)

    def _on_message(self, sender: str, message: Any) -> None:
        self.received.append((sender, message))
        if isinstance(message, TableResync):
            self.mesh.send(sender, AddressList(()))


class TestRelays:
    def test_a_peer_never_heard_through_a_relay_has_none(self) -> None:
        assert Relays().relay_for("a:1", NEVER_S, 0.0) is None

    def test_a_peer_that_is_heard_directly_has_no_relay(self) -> None:
        relays = Relays()
        relays.record("a:1", "r:1", 0.0)
        assert relays.relay_for("a:1", DIRECT_SILENCE_S, 0.1) is None
        assert relays.relay_for("a:1", DIRECT_SILENCE_S + 0.1, 0.1) == "r:1"

    def test_an_unused_relay_expires(self) -> None:
        relays = Relays()
        relays.record("a:1", "r:1", 0.0)
        assert relays.relay_for("a:1", NEVER_S, RELAY_TIMEOUT_S + 0.1) is None
        assert relays.relay_for("a:1", NEVER_S, 0.2) is None


class TestMesh:
    @pytest.mark.anyio
    async def test_a_reply_returns_through_the_relay_of_the_request(
        self, until: Any
    ) -> None:
        """A reply must use the relay if the direct route is broken.

        The first process sends a request to the second through the third.
        The second has never heard the first directly, so its reply goes
        through the third as well.
        """
        first, second, third = Process(), Process(), Process()
        async with anyio.create_task_group() as tasks:
            for process in (first, second, third):
                await tasks.start(process.mesh.run)
            request = TableResync("t")
            first.mesh.send_through(
                third.mesh.address, second.mesh.address, request
            )
            await until(lambda: first.received)
            assert second.received == [(first.mesh.address, request)]
            assert first.received == [(second.mesh.address, AddressList(()))]
            assert third.received == []
            assert third.mesh.counters.relayed == 2
            assert first.mesh.relay_for(second.mesh.address) == (
                third.mesh.address
            )
            tasks.cancel_scope.cancel()

    @pytest.mark.anyio
    @pytest.mark.parametrize("fault", ["other origin", "passed on before"])
    async def test_a_relay_forwards_only_messages_of_their_sender(
        self, fault: str, until: Any
    ) -> None:
        """A relay must not forward a message twice or for a false origin.

        Two relays could otherwise exchange a message in an endless loop,
        or a process could send messages in the name of another.
        """
        first, third = Process(), Process()
        async with anyio.create_task_group() as tasks:
            for process in (first, third):
                await tasks.start(process.mesh.run)
            origin = first.mesh.address
            message = Relayed(origin, "127.0.0.1:9", 10, b"", True)
            if fault == "other origin":
                message = message._replace(origin="127.0.0.1:8", passed=False)
            first.mesh.send_directly(third.mesh.address, message)
            await until(lambda: third.mesh.counters.malformed)
            assert third.mesh.counters.relayed == 0
            tasks.cancel_scope.cancel()
