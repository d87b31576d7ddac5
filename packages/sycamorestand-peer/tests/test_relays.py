"""Messages that a third process passes on around a cut."""

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


class Node:
    """A process that notes what it is sent, and answers a resync."""

    def __init__(self) -> None:
        self.received: list[tuple[str, Any]] = []
        self.mesh = PeerMesh(free_address(), lambda: (KEY,), self._on_message)

    def _on_message(self, sender: str, message: Any) -> None:
        self.received.append((sender, message))
        if isinstance(message, TableResync):
            self.mesh.send(sender, AddressList(()))


class TestRelays:
    def test_nobody_is_needed_where_nothing_came_through_one(self) -> None:
        assert Relays().relay_for("a:1", NEVER_S, 0.0) is None

    def test_a_peer_that_is_heard_directly_needs_none(self) -> None:
        relays = Relays()
        relays.record("a:1", "r:1", 0.0)
        assert relays.relay_for("a:1", DIRECT_SILENCE_S, 0.1) is None
        assert relays.relay_for("a:1", DIRECT_SILENCE_S + 0.1, 0.1) == "r:1"

    def test_a_way_that_nothing_comes_by_is_forgotten(self) -> None:
        relays = Relays()
        relays.record("a:1", "r:1", 0.0)
        assert relays.relay_for("a:1", NEVER_S, RELAY_TIMEOUT_S + 0.1) is None
        assert relays.relay_for("a:1", NEVER_S, 0.2) is None


class TestMesh:
    @pytest.mark.anyio
    async def test_an_answer_comes_back_the_way_of_the_question(
        self, until: Any
    ) -> None:
        """Two processes that never heard each other, and a third one.

        The first asks through the third. The second takes the question as
        the first one's and answers; it has not heard the first directly,
        so the answer goes back through the third too.
        """
        first, second, third = Node(), Node(), Node()
        async with anyio.create_task_group() as tasks:
            for node in (first, second, third):
                await tasks.start(node.mesh.run)
            question = TableResync("t")
            first.mesh.send_through(
                third.mesh.address, second.mesh.address, question
            )
            await until(lambda: first.received)
            assert second.received == [(first.mesh.address, question)]
            assert first.received == [(second.mesh.address, AddressList(()))]
            assert third.received == []
            assert third.mesh.counters.relayed == 2
            assert first.mesh.relay_for(second.mesh.address) == (
                third.mesh.address
            )
            tasks.cancel_scope.cancel()

    @pytest.mark.anyio
    @pytest.mark.parametrize("fault", ["other origin", "passed on before"])
    async def test_what_is_not_the_senders_own_is_not_passed_on(
        self, fault: str, until: Any
    ) -> None:
        """Messages that two relays would send to and fro without end.

        Or that one process sends in the name of another.
        """
        first, third = Node(), Node()
        async with anyio.create_task_group() as tasks:
            for node in (first, third):
                await tasks.start(node.mesh.run)
            origin = first.mesh.address
            message = Relayed(origin, "127.0.0.1:9", 10, b"", True)
            if fault == "other origin":
                message = message._replace(origin="127.0.0.1:8", passed=False)
            first.mesh.send_directly(third.mesh.address, message)
            await until(lambda: third.mesh.counters.malformed)
            assert third.mesh.counters.relayed == 0
            tasks.cancel_scope.cancel()
