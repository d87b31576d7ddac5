"""Options of the sockets through which an entry reaches others.

``TCP_USER_TIMEOUT`` decides when unacknowledged data, and keep-alive probes,
end a connection. Some libraries set it by themselves.
"""

from __future__ import annotations

import os
import socket

import anyio
import pytest

from sycamorestand_bench.fakes.loopback import SETTINGS
from sycamorestand_bench.fakes.loopback import start_loopback
from sycamorestand_bench.fakes.service import FakeService
from sycamorestand_peer.mesh import PeerMesh
from sycamorestand_peer.messages import Heartbeat

pytestmark = pytest.mark.anyio
# The watch of servers and the heartbeats of peers find a silent connection
# earlier, and decide what becomes of its requests.
NO_TIMEOUT_MS = 0


def tcp_user_timeouts_ms() -> set[int]:
    """Return the user timeouts of all TCP sockets of this process."""
    timeouts = set()
    for name in os.listdir("/proc/self/fd"):
        try:
            duplicate = socket.socket(fileno=os.dup(int(name)))
        except OSError:
            continue
        with duplicate:
            if duplicate.family in (socket.AF_INET, socket.AF_INET6):
                timeouts.add(
                    duplicate.getsockopt(
                        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
                    )
                )
    return timeouts


class TestUserTimeout:
    async def test_connections_to_servers_have_none(self) -> None:
        """A cut shorter than it reset streams that would have gone on."""
        async with start_loopback(SETTINGS) as loopback:
            await loopback.add_service(FakeService("orders-1", ("orders",)))
            await loopback.call("GET", "/services/orders/x")
            timeouts = tcp_user_timeouts_ms()
        assert timeouts == {NO_TIMEOUT_MS}

    async def test_connections_to_peers_have_none(self) -> None:
        """It would cut links that the heartbeats still take for alive."""
        first, second = _free_address(), _free_address()
        keys = (b"k" * 32,)
        async with anyio.create_task_group() as tasks:
            heard = anyio.Event()
            receiver = PeerMesh(
                second, lambda: keys, lambda sender, message: heard.set()
            )
            sender = PeerMesh(first, lambda: keys, lambda *_: None)
            await tasks.start(receiver.run)
            await tasks.start(sender.run)
            with anyio.fail_after(10):
                while not heard.is_set():
                    sender.send(second, Heartbeat())
                    await anyio.sleep(0.05)
            timeouts = tcp_user_timeouts_ms()
            tasks.cancel_scope.cancel()
        assert timeouts == {NO_TIMEOUT_MS}


def _free_address() -> str:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{free.getsockname()[1]}"
