"""An outgoing connection to one peer, kept alive by one task."""

from __future__ import annotations

import logging
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio
import pynng

from sycamorestand_peer.byte_room import ByteRoom
from sycamorestand_peer.byte_room import RoomShare
from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.codec import code_of
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

    from sycamorestand_peer.loop_clock import LoopClock
    from sycamorestand_peer.mesh import MeshCounters
    from sycamorestand_peer.messages import Message
    from sycamorestand_peer.tls import TlsIdentity

LOG: Final = logging.getLogger(__name__)
# The limit of the queue to an unreachable peer. Messages beyond it may be
# dropped: leases and heartbeats are requested again, and the replicated log
# is sent again.
QUEUE_BYTES: Final = 4 * 1024 * 1024
TOTAL_QUEUE_BYTES: Final = 64 * 1024 * 1024
# Message types of which only the newest needs to be queued. A configuration
# push is the largest message, and an entry requests it with each renewal
# until it arrives: on a slow link twenty renewals queued twenty copies.
SUPERSEDED_BY_NEWER: Final = (ConfigurationPush,)
SHARED_CODES: Final = tuple(code_of(kind) for kind in SUPERSEDED_BY_NEWER)
FRAME_BYTES: Final = MAX_FRAME_BYTES // 2
SEND_TIMEOUT_MS: Final = 1_000
RECONNECT_MS: Final = 100
# Dials to an unreachable VM back off up to this interval. Ten dials a second
# to each of 29 unreachable VMs used most of a core.
RECONNECT_MAX_MS: Final = 2_000


class LinkOwner(NamedTuple):
    """The properties of the owning process that a link needs.

    ``incarnation`` returns the number of its start, ``key`` the key that
    signs frames, and ``next_sequence`` the number of the next frame.
    ``echo`` returns the incarnation and sequence of the newest frame received
    from the link's peer. All links of the process share the ``room`` for
    queued messages, and its ``clock``.
    """

    address: str
    incarnation: Callable[[], int]
    key: Callable[[], bytes]
    next_sequence: Callable[[], int]
    echo: Callable[[], tuple[int, int]]
    counters: MeshCounters
    tls: TlsIdentity | None
    room: ByteRoom
    clock: LoopClock


class Link:
    """Queues messages for one peer and sends them in batches.

    The link uses a pair socket although nothing is received on it. A push
    socket marks a connection as free again when its last send ends, even
    if the connection was closed in the meantime. The next send then uses
    freed memory and the process ends with SIGSEGV; this happened about
    once in some thousand reset connections. A pair socket keeps a single
    connection and checks it before use.

    All messages that are queued while a frame is being sent go out in the
    next frame. An nng message takes about as much CPU time as encoding
    fifty small messages, so batching limits the CPU use of control
    processes.
    """

    def __init__(self, address: str, owner: LinkOwner) -> None:
        self.address = address
        self._owner = owner
        self._health = LinkHealth(boottime_s())
        self._queued: list[tuple[int, bytes]] = []
        self._queued_bytes = 0
        self._share = RoomShare(owner.room)
        self._wake = anyio.Event()
        self._last_used_s = boottime_s()
        self._dialled_s = boottime_s()
        self._closed = False
        self._redial_requested = False

    def redial(self) -> None:
        """Reconnect at once, because the peer has restarted.

        The old socket would wait up to `RECONNECT_MAX_MS` before it dials,
        and messages sent on it until then would be lost without an error.
        A running send is not cancelled: pynng would raise a cancellation
        that belongs to no cancel scope, which would end the process.
        """
        self._redial_requested = True
        self._wake.set()

    def close(self) -> None:
        """Close the link and discard its queued messages."""
        self._closed = True
        self._wake.set()

    @property
    def queued_bytes(self) -> int:
        """Return the number of bytes that wait to be sent."""
        return self._queued_bytes

    def queue(self, message: Message) -> None:
        """Queue a message, or drop it if there is no room.

        That is if this link's queue would exceed `QUEUE_BYTES`, or what it
        gets of the room that all links share.
        """
        encoded = encode(message)
        if isinstance(message, SUPERSEDED_BY_NEWER):
            self._drop_queued(encoded[0])
        if not self._append(encoded):
            self._owner.counters.dropped += 1
            return
        self._last_used_s = boottime_s()
        self._wake.set()

    def record_echo(self, sequence: int, now_s: float) -> None:
        """Record the newest frame that the peer has acknowledged."""
        self._health.record_echo(sequence, now_s)
        self._last_used_s = now_s

    async def run(self, idle_s: float) -> None:
        """Dial and send, and redial whenever the connection fails.

        Returns once the link is closed, or was not used for ``idle_s``.
        """
        try:
            await self._run(idle_s)
        finally:
            while self._queued:
                self.take_batch()

    async def _run(self, idle_s: float) -> None:
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
                self._dialled_s = boottime_s()
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
                self._log_silence(now_s)
                return
            if self._is_finished(idle_s):
                return
            if not self._queued and self._health.is_heartbeat_due(now_s):
                self._append(encode(Heartbeat()))
            if self._queued and not await self._send_frame(socket):
                return

    def _log_silence(self, now_s: float) -> None:
        extra = {
            "peer": self.address,
            "dialled_s": round(now_s - self._dialled_s, 1),
            "echo_s": round(self._health.silence_s(now_s), 1),
            "held_up_s": round(self._owner.clock.held_up_s, 1),
        }
        LOG.info("link silent", extra=extra)

    def _is_finished(self, idle_s: float) -> bool:
        return self._closed or boottime_s() - self._last_used_s >= idle_s

    async def _send_frame(self, socket: pynng.Pair1) -> bool:
        messages = self.take_batch()
        sequence = self._owner.next_sequence()
        echo_incarnation, echo_sequence = self._owner.echo()
        frame = Frame(
            self._owner.address,
            self.address,
            self._owner.incarnation(),
            sequence,
            echo_incarnation,
            echo_sequence,
            messages,
        )
        data = seal(frame, self._owner.key())
        try:
            await socket.asend(data)
        except pynng.Timeout:
            # The peer is unreachable or does not read. The messages in the
            # frame are stale by now; the link drops them and reconnects.
            self._owner.counters.dropped += len(messages)
            self._owner.counters.unconnected += 1
            return False
        self._health.record_sent(sequence, boottime_s())
        self._owner.counters.frames_sent += 1
        self._owner.counters.bytes_sent += len(data)
        return True

    def _drop_queued(self, code: int) -> None:
        """Drop the queued messages of a type that a newer one supersedes."""
        dropped = [item for item in self._queued if item[0] == code]
        self._queued = [item for item in self._queued if item[0] != code]
        self._release(dropped)

    def _append(self, encoded: tuple[int, bytes]) -> bool:
        size_bytes = self._queued_bytes + len(encoded[1])
        if size_bytes > QUEUE_BYTES:
            return False
        if not self._share.take_fairly(_held_bytes(encoded)):
            return False
        self._queued.append(encoded)
        self._queued_bytes = size_bytes
        return True

    def _release(self, items: list[tuple[int, bytes]]) -> None:
        self._queued_bytes -= sum(len(body) for _, body in items)
        self._share.release(sum(_held_bytes(item) for item in items))

    def take_batch(self) -> tuple[tuple[int, bytes], ...]:
        """Remove and return the oldest queued messages that fit one frame."""
        taken: list[tuple[int, bytes]] = []
        size = 0
        while self._queued and (
            not taken or size + len(self._queued[0][1]) <= FRAME_BYTES
        ):
            item = self._queued.pop(0)
            size += len(item[1])
            taken.append(item)
        self._release(taken)
        return tuple(taken)


def _held_bytes(encoded: tuple[int, bytes]) -> int:
    """Return what a queued message takes from the room of all links.

    A configuration is encoded once, whatever the number of links.
    """
    code, body = encoded
    return 0 if code in SHARED_CODES else len(body)


__all__ = ["Link", "LinkOwner", "TOTAL_QUEUE_BYTES"]
