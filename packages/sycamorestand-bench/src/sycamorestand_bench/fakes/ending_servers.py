"""Backend servers that end under certain requests, or name a limit or load.

Each start of a server is a new boot with a name of its own, at the address of
the boot before it, as on a VM whose supervisor starts the process again.
"""

from __future__ import annotations

from collections import Counter
import math
import re
from socket import SO_LINGER
from socket import SOL_SOCKET
import struct
import time
from typing import Final
from typing import Literal
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio
from anyio.abc import Listener
from anyio.abc import SocketAttribute
from anyio.abc import SocketStream
from anyio.abc import TaskGroup
from anyio.abc import TaskStatus

from sycamorestand_bench.fakes.raw_server import read_request
from sycamorestand_bench.fakes.routed import answer_head
from sycamorestand_bench.listeners import close_listener
from sycamorestand_model.backend_servers import Announcement

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    Announce = Callable[[Announcement], Awaitable[None]]

# Where in its answer a server ends: before its head, after it, inside the
# first event or the body, between the first event and the second, or after
# the third.
EndsAt = Literal["nowhere", "head", "before", "inside", "between", "third"]

EVENTS: Final = 5
EVENT_PAUSE_S: Final = 0.02
PREFILL_S: Final = 0.03
ANNOUNCE_INTERVAL_S: Final = 0.5
CAPACITY: Final = 64
STREAM_PATH: Final = b"/review/"
CALL_BODY: Final = b"answered"
# In per cent, as servers state it.
USUAL_SLOWNESS: Final = 100
SLOT_POLL_S: Final = 0.005
# A linger time of zero.
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
_PARTS: Final = re.compile(rb"x-parts: ([^\r]*)", re.IGNORECASE)
_ATTEMPT: Final = re.compile(rb"x-attempt: ([^\r]*)", re.IGNORECASE)
_SERVER: Final = re.compile(rb"x-server: ([^\r]*)", re.IGNORECASE)
_LAST_EVENT: Final = re.compile(rb"last-event-id: (\d+)", re.IGNORECASE)


class Arrival(NamedTuple):
    """A request that reached a server; ``at_s`` is by `time.monotonic`."""

    at_s: float
    server: str
    attempt: str
    parts: tuple[str, ...]
    body: bytes = b""


class Behaviour(NamedTuple):
    """How the servers answer and end.

    A server ends under each request with a part in ``parts`` or a body in
    ``bodies``, at the place ``ends_at`` of its answer, with a reset or a
    clean close of all its connections, and is back after ``back_s``, until
    servers have ended ``max_ends`` times. Before its head, it ends
    ``head_s`` after the request came. Without ``is_framed``, answers
    have neither a length nor chunks and end with their connection.
    The servers of the numbers in ``limits_per_s`` name a limit in answers.
    Each start of a server is cold for ``cold_s``, which it announces. The
    servers of the numbers in ``resetting`` reset each request and live on.
    With ``slots``, each server runs so many requests at once, lets others
    wait, and states its load in answers; the servers of the numbers in
    ``false_loads`` state this value instead.
    """

    parts: frozenset[str] = frozenset()
    ends_at: EndsAt = "before"
    is_reset: bool = True
    is_framed: bool = True
    back_s: float = 2.0
    max_ends: float = math.inf
    bodies: frozenset[bytes] = frozenset()
    limits_per_s: Mapping[int, float] = {}
    cold_s: float = 0.0
    resetting: frozenset[int] = frozenset()
    slots: int = 0
    false_loads: Mapping[int, bytes] = {}
    head_s: float = PREFILL_S

    def headers(self, name: str, in_flight: int = 0) -> list[bytes]:
        """Return the headers that the server of this name adds."""
        number = server_number(name)
        headers: list[bytes] = []
        limit_per_s = self.limits_per_s.get(number)
        if limit_per_s is not None:
            headers.append(b"x-limit: %s" % str(limit_per_s).encode())
        if self.slots:
            load = self.false_loads.get(number)
            headers.append(b"x-load: %s" % (load or self._load(in_flight)))
        return headers

    def _load(self, in_flight: int) -> bytes:
        running = min(in_flight, self.slots)
        load = (running, in_flight - running, self.slots, USUAL_SLOWNESS)
        return b"%d,%d,%d,%d" % load


class EndingServers:
    """Servers of one service, and what reached them.

    A test may replace ``behaviour`` at any time. The servers are spread over
    the ``data_centres`` by their numbers. ``ends`` holds the times at
    which a server ended under a part, by `time.monotonic`, and ``started_s``
    when each started.
    """

    def __init__(
        self,
        announce: Announce,
        service: str,
        data_centres: Sequence[str] = ("marietta",),
    ) -> None:
        self.behaviour = Behaviour()
        self._data_centres = data_centres
        self.arrivals: list[Arrival] = []
        self.ends: list[float] = []
        self.running: set[str] = set()
        self.started_s: dict[str, float] = {}
        self._announce = announce
        self._service = service
        self._ended: dict[str, anyio.Event] = {}
        self._running: Counter[str] = Counter()
        self._waiting: Counter[str] = Counter()

    async def run(
        self,
        number: int,
        *,
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run a server, boot after boot, until cancelled."""
        port = 0
        boot = 0
        while True:
            boot += 1
            name = f"s-{number}-{boot}"
            listener = await listen(port)
            port = listener.extra(SocketAttribute.local_port)
            ended = anyio.Event()
            self._ended[name] = ended
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._serve, listener, name)
                tasks.start_soon(self._keep_announcing, name, port)
                self.running.add(name)
                self.started_s[name] = time.monotonic()
                if boot == 1:
                    task_status.started()
                await ended.wait()
                self.running.discard(name)
                # New connections are refused first, as where a process ends.
                # To cancel the wait for one would race with its arrival.
                await close_listener(listener)
                tasks.cancel_scope.cancel()
            await anyio.sleep(self.behaviour.back_s)

    def data_centre(self, name: str) -> str:
        """Return the data centre of a server."""
        number = server_number(name)
        return self._data_centres[number % len(self._data_centres)]

    def end(self, name: str) -> None:
        """End a server, as its process ends by itself."""
        self._ended[name].set()

    async def _serve(
        self, listener: Listener[SocketStream], name: str
    ) -> None:
        async with listener, anyio.create_task_group() as handlers:
            streams: set[SocketStream] = set()
            try:
                await listener.serve(
                    lambda stream: self._handle(stream, name, streams),
                    handlers,
                )
            except anyio.ClosedResourceError:
                await anyio.sleep_forever()
            finally:
                if self.behaviour.is_reset:
                    for stream in streams:
                        _abort(stream)

    async def _handle(
        self, stream: SocketStream, name: str, streams: set[SocketStream]
    ) -> None:
        streams.add(stream)
        async with stream:
            try:
                while True:
                    request = await read_request(stream)
                    if not await self._answer(request, stream, name):
                        return
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return
            finally:
                streams.discard(stream)

    async def _answer(
        self, request: bytes, stream: SocketStream, name: str
    ) -> bool:
        """Answer a request; return whether the connection stays open."""
        if _field(_SERVER, request) != name:
            head = (b"x-not-run: 1", b"content-length: 0")
            await stream.send(answer_head(request, *head, status=421))
            return True
        parts = prompt_parts(request)
        attempt = _field(_ATTEMPT, request)
        body = request.partition(b"\r\n\r\n")[2]
        arrival = Arrival(time.monotonic(), name, attempt, parts, body)
        self.arrivals.append(arrival)
        if server_number(name) in self.behaviour.resetting:
            _abort(stream)
            return False
        await self._wait_for_slot(name)
        try:
            return await self._answer_in_slot(request, stream, arrival)
        finally:
            self._running[name] -= 1

    async def _wait_for_slot(self, name: str) -> None:
        """Return once the server may run one more request, and count it."""
        self._waiting[name] += 1
        try:
            while 0 < self.behaviour.slots <= self._running[name]:
                await anyio.sleep(SLOT_POLL_S)
        finally:
            self._waiting[name] -= 1
        self._running[name] += 1

    async def _answer_in_slot(
        self, request: bytes, stream: SocketStream, arrival: Arrival
    ) -> bool:
        """Answer a request that holds a slot of its server."""
        name = arrival.server
        behaviour = self.behaviour
        is_bad = arrival.body in behaviour.bodies or bool(
            behaviour.parts.intersection(arrival.parts)
        )
        is_ending = is_bad and len(self.ends) < behaviour.max_ends
        ends_at = behaviour.ends_at if is_ending else "nowhere"
        if STREAM_PATH not in request.partition(b"\r\n")[0]:
            return await self._answer_call(request, stream, name, ends_at)
        framing = [b"transfer-encoding: chunked"] * behaviour.is_framed
        if ends_at == "head":
            await anyio.sleep(behaviour.head_s)
            await self._end_under_request(name)
        kind = b"content-type: text/event-stream"
        named = behaviour.headers(name, self._in_flight(name))
        await stream.send(answer_head(request, kind, *framing, *named))
        await anyio.sleep(PREFILL_S)
        found = _LAST_EVENT.search(request)
        first = int(found.group(1)) + 1 if found else 1
        for event in range(first, EVENTS + 1):
            if ends_at == "before":
                await self._end_under_request(name)
            data = b"id: %d\ndata: d%d\n\n" % (event, event)
            if ends_at == "inside":
                await stream.send(_framed(data[:6], behaviour.is_framed))
                await anyio.sleep(EVENT_PAUSE_S / 4)
                await self._end_under_request(name)
            await stream.send(_framed(data, behaviour.is_framed))
            await anyio.sleep(EVENT_PAUSE_S)
            if ends_at == "between" or (ends_at == "third" and event == 3):
                await self._end_under_request(name)
        if behaviour.is_framed:
            await stream.send(b"0\r\n\r\n")
        return behaviour.is_framed

    async def _answer_call(
        self, request: bytes, stream: SocketStream, name: str, ends_at: EndsAt
    ) -> bool:
        """Answer a request that is not for a stream, with `CALL_BODY`."""
        if ends_at == "head":
            await anyio.sleep(self.behaviour.head_s)
            await self._end_under_request(name)
        await anyio.sleep(PREFILL_S)
        length = b"content-length: %d" % len(CALL_BODY)
        named = self.behaviour.headers(name, self._in_flight(name))
        head = answer_head(request, length, *named)
        await stream.send(head + CALL_BODY[:1])
        await anyio.sleep(EVENT_PAUSE_S)
        if ends_at != "nowhere":
            await self._end_under_request(name)
        await stream.send(CALL_BODY[1:])
        return True

    def _in_flight(self, name: str) -> int:
        return self._running[name] + self._waiting[name]

    async def _end_under_request(self, name: str) -> None:
        if name in self.running:
            self.ends.append(time.monotonic())
            self.end(name)
        await anyio.sleep_forever()

    async def _keep_announcing(self, name: str, port: int) -> None:
        sequence = 0
        begin_s = time.monotonic()
        while True:
            sequence += 1
            cold_s = self.behaviour.cold_s
            if server_boot(name) == 1:
                cold_s = 0.0
            await self._announce(
                Announcement(
                    name,
                    "service",
                    f"127.0.0.1:{port}",
                    self.data_centre(name),
                    1,
                    sequence,
                    (self._service,),
                    capacity=CAPACITY,
                    cold_left_s=max(0.0, begin_s + cold_s - time.monotonic()),
                )
            )
            await anyio.sleep(ANNOUNCE_INTERVAL_S)


def server_number(name: str) -> int:
    """Return the number of the server that this boot belongs to."""
    return int(name.split("-")[1])


def server_boot(name: str) -> int:
    """Return how often the server had started with this boot."""
    return int(name.split("-")[2])


def prompt_parts(request: bytes) -> tuple[str, ...]:
    """Return the names of a request's prompt parts."""
    parts = _field(_PARTS, request).split(",")
    return tuple(part.partition(":")[0].strip() for part in parts)


async def start_servers(
    tasks: TaskGroup, servers: EndingServers, count: int
) -> None:
    """Start servers and return once all of them accept connections."""
    for number in range(count):
        await tasks.start(servers.run, number)


async def listen(port: int) -> Listener[SocketStream]:
    """Accept connections at a port, or at any free one for zero."""
    multi = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=port
    )
    return multi.listeners[0]


def _abort(stream: SocketStream) -> None:
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)


def _framed(data: bytes, is_framed: bool) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data) if is_framed else data


def _field(pattern: re.Pattern[bytes], request: bytes) -> str:
    found = pattern.search(request)
    return found.group(1).decode() if found else ""


__all__ = [
    "Arrival",
    "Behaviour",
    "CALL_BODY",
    "EndingServers",
    "EndsAt",
    "listen",
    "prompt_parts",
    "server_boot",
    "server_number",
    "start_servers",
]
