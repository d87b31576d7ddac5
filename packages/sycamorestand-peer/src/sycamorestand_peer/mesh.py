"""The links of a process to its peers, and the socket it listens on."""

from __future__ import annotations

import logging
import secrets
import time
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio
import pynng

from sycamorestand_model.errors import WireError
from sycamorestand_peer.byte_room import ByteRoom
from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.codec import decode
from sycamorestand_peer.codec import encode
from sycamorestand_peer.errors import FrameRefused
from sycamorestand_peer.errors import PeerTimeout
from sycamorestand_peer.frames import Frame
from sycamorestand_peer.frames import MAX_FRAME_BYTES
from sycamorestand_peer.frames import open_frame
from sycamorestand_peer.link import Link
from sycamorestand_peer.link import LinkOwner
from sycamorestand_peer.link import TOTAL_QUEUE_BYTES
from sycamorestand_peer.loop_clock import LoopClock
from sycamorestand_peer.messages import CallReply
from sycamorestand_peer.messages import Heartbeat
from sycamorestand_peer.messages import Relayed
from sycamorestand_peer.refusals import Refusal
from sycamorestand_peer.refusals import Refusals
from sycamorestand_peer.relays import Relays
from sycamorestand_peer.tls import secure_listener
from sycamorestand_peer.tls import url

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup
    from anyio.abc import TaskStatus

    from sycamorestand_peer.messages import Message
    from sycamorestand_peer.tls import TlsIdentity

    Handler = Callable[[str, Any], None]

LOG: Final = logging.getLogger(__name__)
# A restarted peer whose clock was set back has a lower incarnation. Its
# frames are accepted once the previous incarnation was silent for this time,
# which is longer than any lease, and only if they echo a frame sent after
# the last one from that incarnation. Replayed frames carry no such echo.
INCARNATION_CHANGE_S: Final = 5.0
# Frames that are handled in a row, before other tasks of the process run.
MAX_WAITING_FRAMES: Final = 64
CALL_ID_BITS: Final = 62
# A link that was unused for this long is closed: its VM no longer exists.
LINK_IDLE_S: Final = 60.0


class MeshCounters:
    """Counters of a mesh, exported as metrics."""

    def __init__(self) -> None:
        self.frames_sent = 0
        self.frames_received = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.refusals = Refusals()
        self.malformed = 0
        self.faults = 0
        self.redials = 0
        self.unconnected = 0
        self.dropped = 0
        self.relayed = 0

    @property
    def refused(self) -> int:
        """Return the number of frames not authentic or for another process.

        Frames that cannot be decoded count as well.
        """
        counts = self.refusals.counts
        kinds = (Refusal.KEY, Refusal.UNREADABLE, Refusal.RECEIVER)
        return sum(counts[kind] for kind in kinds)

    @property
    def stale(self) -> int:
        """Return the number of authentic frames that were refused as old."""
        return sum(self.refusals.counts.values()) - self.refused


class _LastFrame(NamedTuple):
    """The newest frame of a peer.

    ``sent_sequence`` is the number of the last frame that this process had
    sent to any peer when the frame arrived.
    """

    incarnation: int
    sequence: int
    at_s: float
    sent_sequence: int


class PeerMesh:
    """Sends messages to peers by address and delivers received messages.

    Delivery is at most once, and messages may be reordered when a link
    reconnects; a sender that needs an answer must repeat its request.
    ``address`` is where peers reach this process, ``listen_address`` where
    it listens if that differs.

    ``keys`` returns the cluster keys that are valid now. The first one
    signs. A key is rotated without a stop: on all processes the new key is
    added behind the old one, then moved to the front, and then the old one
    is removed. With ``tls`` connections use TLS, and peers without TLS
    cannot connect. The queues to all peers share ``queue_bytes``.
    """

    def __init__(
        self,
        address: str,
        keys: Callable[[], tuple[bytes, ...]],
        handler: Handler,
        listen_address: str | None = None,
        tls: TlsIdentity | None = None,
        queue_bytes: int = TOTAL_QUEUE_BYTES,
    ) -> None:
        self.address = address
        self._queue_room = ByteRoom(queue_bytes)
        self._listen_address = listen_address or address
        self.incarnation = time.time_ns()
        self.counters = MeshCounters()
        self.clock = LoopClock()
        self._keys = keys
        self._tls = tls
        self._handler = handler
        self._links: dict[str, Link] = {}
        self._last_frames: dict[str, _LastFrame] = {}
        self._unconfirmed: dict[str, tuple[int, int]] = {}
        self._relays = Relays()
        self._sequence = 0
        self._incarnation_listeners: list[Callable[[int], None]] = []
        self._calls: dict[int, tuple[anyio.Event, list[CallReply]]] = {}
        # A process may get a late reply to a call from before its restart.
        # Ids that begin at random keep it from being taken for another one.
        self._next_call = secrets.randbits(CALL_ID_BITS)
        self._tasks: TaskGroup | None = None

    async def run(
        self,
        *,
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen and run the links until cancelled."""
        # A polyamorous pair socket accepts many peers. `Link` explains why
        # the sockets are pairs.
        with pynng.Pair1(
            polyamorous=True, recv_max_size=MAX_FRAME_BYTES
        ) as listener:
            listener.tcp_keepalive = True
            if self._tls is not None:
                secure_listener(listener, self._tls)
            listener.listen(url(self._listen_address, self._tls))
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(self.clock.run)
                for link in list(self._links.values()):
                    tasks.start_soon(self._run_link, link)
                task_status.started()
                while True:
                    received = await listener.arecv_msg()
                    self._handle_frame(received.bytes, received.pipe)
                    self._handle_waiting_frames(listener)

    def send(self, address: str, message: Message) -> None:
        """Queue a message to a peer.

        The message goes through a relay if the peer was last heard through
        one and is not heard directly.
        """
        relay = self.relay_for(address)
        if relay is None:
            self.send_directly(address, message)
        else:
            self.send_through(relay, address, message)

    def send_directly(self, address: str, message: Message) -> None:
        """Queue a message on the direct link, even if a relay is known."""
        self._link(address).queue(message)

    def send_through(self, relay: str, address: str, message: Message) -> None:
        """Queue a message that ``relay`` forwards to ``address``."""
        relayed = Relayed(self.address, address, *encode(message))
        self._link(relay).queue(relayed)

    def relay_for(self, address: str) -> str | None:
        """Return the relay to a peer, None to send directly."""
        silence_s = self.silence_s(address)
        return self._relays.relay_for(address, silence_s, boottime_s())

    def queued_bytes(self) -> int:
        """Return what waits to be sent to all peers."""
        return self._queue_room.used_bytes

    def add_incarnation_listener(
        self, listener: Callable[[int], None]
    ) -> None:
        """Call ``listener`` with each incarnation that replaces the first."""
        self._incarnation_listeners.append(listener)

    def close_link(self, address: str) -> None:
        """Close the link to a peer.

        The next message to the peer opens a new link.
        """
        link = self._links.pop(address, None)
        if link is not None:
            link.close()

    def next_call_id(self) -> int:
        """Return a new id for a message that expects a `CallReply`."""
        self._next_call += 1
        return self._next_call

    async def call(
        self, address: str, call_id: int, message: Message, timeout_s: float
    ) -> CallReply:
        """Send a message and return the reply with the same ``call_id``.

        Raises `PeerTimeout` if no reply arrives within ``timeout_s``. The
        peer may have acted on the message nevertheless.
        """
        event = anyio.Event()
        replies: list[CallReply] = []
        self._calls[call_id] = (event, replies)
        try:
            self.send(address, message)
            with anyio.move_on_after(timeout_s):
                await event.wait()
        finally:
            del self._calls[call_id]
        if not replies:
            raise PeerTimeout(f"{address} did not answer in {timeout_s} s")
        return replies[0]

    def silence_s(self, address: str) -> float:
        """Return the seconds since a peer's last frame, infinity if none."""
        last = self._last_frames.get(address)
        if last is None:
            return float("inf")
        return boottime_s() - last.at_s

    def _link(self, address: str) -> Link:
        link = self._links.get(address)
        if link is None:
            owner = LinkOwner(
                self.address,
                lambda: self.incarnation,
                lambda: self._keys()[0],
                self._next_sequence,
                lambda: self._echo(address),
                self.counters,
                self._tls,
                self._queue_room,
                self.clock,
            )
            link = Link(address, owner)
            self._links[address] = link
            if self._tasks is not None:
                self._tasks.start_soon(self._run_link, link)
        return link

    async def _run_link(self, link: Link) -> None:
        await link.run(LINK_IDLE_S)
        if self._links.get(link.address) is link:
            del self._links[link.address]

    def _echo(self, address: str) -> tuple[int, int]:
        last = self._last_frames.get(address)
        if last is None:
            return self._unconfirmed.get(address, (0, 0))
        return last.incarnation, last.sequence

    def _next_sequence(self) -> int:
        # All links share one counter. With a counter for each link, a link
        # that was closed and opened again would begin at one, and the peer
        # would refuse its frames as repeated.
        self._sequence += 1
        return self._sequence

    def _handle_waiting_frames(self, listener: pynng.Pair1) -> None:
        """Handle the frames that have arrived, up to `MAX_WAITING_FRAMES`.

        With one frame in each turn of the event loop, a process whose turns
        take long would read fewer frames than arrive. They would wait ever
        longer, until leases run out and its peers leave their links.
        """
        for _ in range(MAX_WAITING_FRAMES):
            try:
                received = listener.recv_msg(block=False)
            except pynng.TryAgain:
                return
            self._handle_frame(received.bytes, received.pipe)

    def _handle_frame(self, data: bytes, pipe: Any) -> None:
        self.counters.frames_received += 1
        self.counters.bytes_received += len(data)
        now_s = boottime_s()
        try:
            frame = open_frame(data, self._keys(), self.address)
            self._check_not_stale(frame, now_s)
        except FrameRefused as error:
            peer = error.peer or _remote_host(pipe)
            self.counters.refusals.add(error.kind, peer, now_s)
            return
        self._unconfirmed.pop(frame.sender, None)
        last = self._last_frames.get(frame.sender)
        self._last_frames[frame.sender] = _LastFrame(
            frame.incarnation, frame.sequence, now_s, self._sequence
        )
        link = self._link(frame.sender)
        if last is not None and frame.incarnation != last.incarnation:
            link.redial()
        if frame.echo_incarnation == self.incarnation:
            link.record_echo(frame.echo_sequence, now_s)
        for code, body in frame.messages:
            self._deliver(frame.sender, code, body)

    def _check_not_stale(self, frame: Frame, now_s: float) -> None:
        last = self._last_frames.get(frame.sender)
        if frame.echo_incarnation not in (0, self.incarnation):
            # The frame was sent before this process restarted, or the peer
            # has not noticed the restart yet. The first frame that this
            # process sends informs the peer, and the peer's later frames
            # are accepted.
            if last is None:
                newest = (frame.incarnation, frame.sequence)
                if frame.sender not in self._unconfirmed:
                    # This heartbeat informs the peer at once. The link would
                    # send its own first one half a second later.
                    self.send(frame.sender, Heartbeat())
                self._unconfirmed[frame.sender] = newest
            self._link(frame.sender)
            self._exceed(frame.echo_incarnation)
            raise FrameRefused(Refusal.RECEIVER_INCARNATION, frame.sender)
        if last is None or frame.incarnation > last.incarnation:
            return
        if frame.incarnation < last.incarnation:
            if not self._is_successor(frame, last, now_s):
                self._link(frame.sender)
                raise FrameRefused(Refusal.SENDER_INCARNATION, frame.sender)
        elif frame.sequence <= last.sequence:
            raise FrameRefused(Refusal.REPEATED, frame.sender)

    def _exceed(self, incarnation: int) -> None:
        """Take an incarnation above one that a peer knows of this process.

        The clock was set back before this start. Peers would refuse its
        frames for seconds, and what it says of itself, which they order by
        incarnations, until its clock has passed the time of the last start.
        """
        if incarnation <= self.incarnation:
            return
        self.incarnation = incarnation + 1
        LOG.warning(
            "clock was set back before this start",
            extra={"incarnation": self.incarnation},
        )
        for listener in self._incarnation_listeners:
            listener(self.incarnation)

    def _is_successor(
        self, frame: Frame, last: _LastFrame, now_s: float
    ) -> bool:
        return (
            now_s - last.at_s >= INCARNATION_CHANGE_S
            and frame.echo_incarnation == self.incarnation
            and frame.echo_sequence > last.sent_sequence
        )

    def _deliver(self, sender: str, code: int, body: bytes) -> None:
        try:
            message = decode(code, body)
        except WireError as error:
            self.counters.malformed += 1
            LOG.debug("message dropped", extra={"reason": str(error)})
            return
        if isinstance(message, Relayed):
            self._handle_relayed(sender, message)
            return
        if isinstance(message, CallReply):
            waiting = self._calls.get(message.call_id)
            if waiting is not None:
                waiting[1].append(message)
                waiting[0].set()
            return
        try:
            self._handler(sender, message)
        except Exception:
            # A message from another release that the handler cannot process
            # must not end this process, nor every process that receives it.
            # The log shows the traceback, and the counter raises the alert.
            self.counters.faults += 1
            LOG.exception("message handler failed", extra={"peer": sender})

    def _handle_relayed(self, sender: str, message: Relayed) -> None:
        """Deliver a message relayed to this process, or forward one."""
        if message.passed and message.target == self.address:
            self._relays.record(message.origin, sender, boottime_s())
            self._deliver(message.origin, message.code, message.body)
        elif not message.passed and message.origin == sender:
            # A message is forwarded only once: two processes that use each
            # other as the relay would exchange it in an endless loop.
            self.counters.relayed += 1
            forwarded = message._replace(passed=True)
            self.send_directly(message.target, forwarded)
        else:
            self.counters.malformed += 1


def _remote_host(pipe: Any) -> str:
    """Return the IP address of a connection, without its changing port."""
    try:
        return str(pipe.remote_address).rpartition(":")[0]
    except (AttributeError, pynng.NNGException):
        # The connection is already closed.
        return "unknown"


__all__ = ["MeshCounters", "PeerMesh"]
