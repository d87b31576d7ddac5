"""A process whose links or listener `test_native_faults` disturbs.

Run as a program: ``dial PORT...`` keeps a link to each port busy,
``listen PORT`` serves a mesh on the port. The process ends when its
standard input is closed.
"""

from __future__ import annotations

import sys

import anyio
import anyio.to_thread

from sycamorestand_peer.byte_room import ByteRoom
import sycamorestand_peer.link as link_module
from sycamorestand_peer.link import Link
from sycamorestand_peer.link import LinkOwner
from sycamorestand_peer.loop_clock import LoopClock
from sycamorestand_peer.mesh import MeshCounters
from sycamorestand_peer.mesh import PeerMesh
from sycamorestand_peer.messages import Heartbeat

KEY = b"k" * 32
IDLE_S = 3_600.0
# The product waits at least a tenth of a second. With this value a thousand
# times as many connections are disturbed in the same time.
RECONNECT_MS = 1


async def keep_busy(port: int) -> None:
    sequence = iter(range(1, sys.maxsize))
    owner = LinkOwner(
        "127.0.0.1:1",
        lambda: 1,
        lambda: KEY,
        lambda: next(sequence),
        lambda: (0, 0),
        MeshCounters(),
        None,
        ByteRoom(0),
        LoopClock(),
    )
    link = Link(f"127.0.0.1:{port}", owner)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run, IDLE_S)
        while True:
            if not link.queued_bytes:
                link.queue(Heartbeat())
            await anyio.sleep(0)


async def main(role: str, ports: list[int]) -> None:
    async with anyio.create_task_group() as tasks:
        for port in ports:
            if role == "dial":
                tasks.start_soon(keep_busy, port)
            else:
                mesh = PeerMesh(
                    f"127.0.0.1:{port}", lambda: (KEY,), lambda *_: None
                )
                await tasks.start(mesh.run)
        sys.stdout.write("started\n")
        sys.stdout.flush()
        await anyio.to_thread.run_sync(sys.stdin.read)
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    link_module.RECONNECT_MS = RECONNECT_MS  # type: ignore[misc]
    link_module.RECONNECT_MAX_MS = RECONNECT_MS  # type: ignore[misc]
    anyio.run(main, sys.argv[1], [int(port) for port in sys.argv[2:]])
