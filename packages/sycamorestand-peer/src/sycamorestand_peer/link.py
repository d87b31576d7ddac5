"""One outgoing connection to one peer, kept alive by one task."""

from __future__ import annotations

import logging
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio
import pynng

from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.codec import encode
from sycamorestand_peer.frames import Frame
from sycamorestand_peer.frames import MAX_FRAME_BYTES
from sycamorestand_peer.frames import seal
from sycamorestand_peer.health import HEARTBEAT_INTERVAL_S
from sycamorestand_peer.health import LinkHealth
from sycamorestand_peer.messages import ConfigurationPush
from sycamorestand_peer.messages import Heartbeat
from sycamorestand_peer.tls import secure_dialer
from sycamorestand_peer.tls import url

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_peer.mesh import MeshCounters
    from sycamorestand_peer.messages import Message
    from sycamorestand_peer.tls import TlsIdentity

LOG: Final = logging.getLogger(__name__)
# What may wait for a peer that is away. Older messages are of no use to
# it: leases and heartbeats are asked for again, the log repeats itself.
QUEUE_BYTES: Final = 4 * 1024 * 1024
# The largest message there is, and asked for again with each renewal until
# it has arrived: twenty renewals on a slow link left twenty copies waiting.
# The newest one alone says all.
SUPERSEDED_BY_NEWER: Final = (ConfigurationPush,)
FRAME_BYTES: Final = MAX_FRAME_BYTES // 2
SEND_TIMEOUT_MS: Final = 1_000
RECONNECT_MS: Final = 100
# A VM that is gone is dialled ever less often: 29 that vanished at once
# cost the process that served them most of a core at ten dials a second.
RECONNECT_MAX_MS: Final = 2_000


class LinkOwner(NamedTuple):
    """What a link needs to know of the process that it belongs to."""

    address: str
    incarnation: int
    key: Callable[[], bytes]
    next_sequence: Callable[[], int]
    echo: Callable[[], tuple[int, int]]
    counters: MeshCounters
    tls: TlsIdentity | None


class Link:
    """Queues messages for one peer and sends them in batches.

    The socket is a pair's, though nothing comes back on it. A push socket
    lists a connection as free again when its last send ends, also where
    the connection was closed meanwhile; the next send then goes to memory
    that was given back, and the process ends with SIGSEGV: once in some
    thousand connections that were reset, none with a pair, which keeps
    one connection and compares before it uses it.

    All that was queued while the last frame went out leaves in one frame:
    an nng message costs about as much processor time as encoding fifty
    small messages, so batching is what keeps control within its share.
    """

    def __init__(self, address: str, owner: LinkOwner) -> None:
        self.address = address
        self._owner = owner
        self._health = LinkHealth(boottime_s())
        self._queued: list[tuple[int, bytes]] = []
        self._queued_bytes = 0
        self._wake = anyio.Event()
        self._last_used_s = boottime_s()
        self._closed = False
        self._redial_requested = False

    def redial(self) -> None:
        """Dial anew now: the peer was restarted and is there again.

        The old connection waits up to `RECONNECT_MAX_MS` before it dials,
        and what goes into it before is lost without an error. A send that
        is under way is not cancelled: its cancellation leaves pynng as one
        that no scope knows, and would end the process.
        """
        self._redial_requested = True
        self._wake.set()

    def close(self) -> None:
        """End the link; what is queued is lost with it."""
        self._closed = True
        self._wake.set()

    @property
    def queued_bytes(self) -> int:
        """Return how many bytes wait to be sent."""
        return self._queued_bytes

    def queue(self, message: Message) -> None:
        """Add a message to the next frame, or drop it when full."""
        encoded = encode(message)
        if isinstance(message, SUPERSEDED_BY_NEWER):
            self._drop_queued(encoded[0])
        if self._queued_bytes + len(encoded[1]) > QUEUE_BYTES:
            self._owner.counters.dropped += 1
            return
        self._queued.append(encoded)
        self._queued_bytes += len(encoded[1])
        self._last_used_s = boottime_s()
        self._wake.set()

    def record_echo(self, sequence: int, now_s: float) -> None:
        """Note the newest frame that the peer has received."""
        self._health.record_echo(sequence, now_s)
        self._last_used_s = now_s

    async def run(self, idle_s: float) -> None:
        """Dial, send and dial anew on silence, until idle for long."""
        while not self._is_finished(idle_s):
            with pynng.Pair1(
                send_timeout=SEND_TIMEOUT_MS,
                reconnect_time_min=RECONNECT_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
                send_buffer_size=1,
            ) as socket:
                socket.tcp_nodelay = True
                if self._owner.tls is not None:
                    secure_dialer(socket, self._owner.tls)
                target = url(self.address, self._owner.tls)
                socket.dial(target, block=False)
                self._redial_requested = False
                await self._send_until_silent(socket, idle_s)
            self._health.reset()

    async def _send_until_silent(
        self, socket: pynng.Pair1, idle_s: float
    ) -> None:
        while True:
            if not self._queued:
                with anyio.move_on_after(HEARTBEAT_INTERVAL_S):
                    await self._wake.wait()
            self._wake = anyio.Event()
            if self._redial_requested:
                return
            now_s = boottime_s()
            if self._health.is_silent(now_s):
                self._owner.counters.redials += 1
                LOG.info("link silent", extra={"peer": self.address})
                return
            if self._is_finished(idle_s):
                return
            if not self._queued and self._health.is_heartbeat_due(now_s):
                self._queued.append(encode(Heartbeat()))
            if self._queued and not await self._send_frame(socket):
                return

    def _is_finished(self, idle_s: float) -> bool:
        return self._closed or boottime_s() - self._last_used_s >= idle_s

    async def _send_frame(self, socket: pynng.Pair1) -> bool:
        messages = self.take_batch()
        sequence = self._owner.next_sequence()
        echo_incarnation, echo_sequence = self._owner.echo()
        frame = Frame(
            self._owner.address,
            self.address,
            self._owner.incarnation,
            sequence,
            echo_incarnation,
            echo_sequence,
            messages,
        )
        data = seal(frame, self._owner.key())
        try:
            await socket.asend(data)
        except pynng.Timeout:
            # The peer is away or does not read. What was in the frame is
            # stale by now; the link starts over with an empty connection.
            self._owner.counters.dropped += len(messages)
            return False
        self._health.record_sent(sequence, boottime_s())
        self._owner.counters.frames_sent += 1
        self._owner.counters.bytes_sent += len(data)
        return True

    def _drop_queued(self, code: int) -> None:
        """Drop what waits of a type, as a newer message says it all."""
        kept = [item for item in self._queued if item[0] != code]
        dropped = [item for item in self._queued if item[0] == code]
        self._queued = kept
        self._queued_bytes -= sum(len(body) for _, body in dropped)

    def take_batch(self) -> tuple[tuple[int, bytes], ...]:
        """Take what fits into one frame off the queue, oldest first."""
        taken: list[tuple[int, bytes]] = []
        size = 0
        while self._queued and (
            not taken or size + len(self._queued[0][1]) <= FRAME_BYTES
        ):
            item = self._queued.pop(0)
            size += len(item[1])
            taken.append(item)
        self._queued_bytes = max(0, self._queued_bytes - size)
        return tuple(taken)


__all__ = ["Link", "LinkOwner"]
