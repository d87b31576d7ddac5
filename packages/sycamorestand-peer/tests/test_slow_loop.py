"""A process whose event loop turns slowly."""

from __future__ import annotations

from contextlib import ExitStack
import time
from typing import Final

import anyio
from anyio.lowlevel import checkpoint
import pynng
import pytest

from sycamorestand_bench.addresses import free_address
from sycamorestand_peer.codec import encode
from sycamorestand_peer.frames import Frame
from sycamorestand_peer.frames import seal
from sycamorestand_peer.mesh import PeerMesh
from sycamorestand_peer.messages import Heartbeat

KEY: Final = b"k" * 32
PEERS: Final = 32
# One frame a turn takes as many turns as there are peers.
MAX_TURNS: Final = PEERS // 2
TURN_S: Final = 0.05


def send_frame(stack: ExitStack, address: str, number: int) -> None:
    """Send one frame of a peer, on a socket of its own."""
    peer = stack.enter_context(pynng.Pair1())
    peer.dial(f"tcp://{address}", block=True)
    sender = f"127.0.0.1:{number}"
    frame = Frame(sender, address, 1, 1, 0, 0, (encode(Heartbeat()),))
    peer.send(seal(frame, KEY))


class TestSlowLoop:
    @pytest.mark.anyio
    async def test_waiting_frames_take_few_turns(self) -> None:
        """One frame a turn let frames wait until leases ran out."""
        mesh = PeerMesh(free_address(), lambda: (KEY,), lambda *_: None)
        with ExitStack() as stack:
            async with anyio.create_task_group() as tasks:
                await tasks.start(mesh.run)
                for number in range(1, PEERS + 1):
                    send_frame(stack, mesh.address, number)
                for _ in range(MAX_TURNS):
                    time.sleep(TURN_S)
                    await checkpoint()
                assert mesh.counters.frames_received == PEERS
                tasks.cancel_scope.cancel()
