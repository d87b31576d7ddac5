"""The server side of an HTTP/1.1 connection, on the parser of httptools.

A connection is charged to its process's `HttpBudget` for what it keeps, from
the first byte until that is given back. It parses one request at a time: what
a client sends in advance stays unread, in the sockets but for a few bytes.
``docs/design/http-connections.md`` says what was weighed.
"""

from __future__ import annotations

import asyncio
from enum import auto
from enum import Enum
from select import poll
from select import POLLIN
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING
from urllib.parse import unquote

import httptools

from sycamorestand_peer.byte_room import RoomShare
from sycamorestand_peer.http_budget import CHECK_INTERVAL_S
from sycamorestand_peer.http_budget import Waits
from sycamorestand_peer.http_door import HttpDoor
from sycamorestand_peer.http_exchange import Exchange

if TYPE_CHECKING:
    from sycamorestand_peer.uvicorn_parts import Config
    from sycamorestand_peer.uvicorn_parts import ServerState

# Of trailers and chunk extensions since the last byte of a body.
MAX_FRAMING_BYTES: Final = 64 * 1024
# What each connection may hold beside any number of large ones.
OWN_BYTES: Final = 8 * 1024
# What a request takes beside its bytes, and what each line of its head does:
# its two strings, their pair, and what the application makes of them.
REQUEST_BYTES: Final = 2 * 1024
LINE_BYTES: Final = 256
# What is read at once: of a head, of a body, and behind a whole request.
HEAD_READ_BYTES: Final = 16 * 1024
BODY_READ_BYTES: Final = 64 * 1024
AHEAD_READ_BYTES: Final = 4 * 1024
# Parsed between two looks at the bounds, where chunks or lines may be tiny.
SLICE_BYTES: Final = 4 * 1024
# After so many calls of the parser others have their turn.
TURN_CALLS: Final = 512
# What the body may gather before the application takes it.
MAX_BODY_AHEAD_BYTES: Final = 64 * 1024
END_OF_HEAD: Final = b"\n\r\n"
# The times of the limits are those of the client; this is for the way.
DELAY_S: Final = 1.0
# How much longer than its limit an idle connection may stand.
IDLE_SLACK_S: Final = DELAY_S + CHECK_INTERVAL_S
# What an answer's client may leave unread for how long.
UNREAD_ANSWER_S: Final = 60.0
# How long and how much is read behind what is refused, see `close`.
LINGER_S: Final = 2.0
LINGER_BYTES: Final = 1024 * 1024
# So often a planned stop waits for one more request of a connection.
MAX_KEPT_OPEN: Final = 256
# All connections read into it, one after the other.
_BUFFER: Final = bytearray(BODY_READ_BYTES)
_VIEW: Final = memoryview(_BUFFER)
_DEFAULT_DOOR: Final = HttpDoor()


class State(Enum):
    """What a connection waits for from its client.

    ``WHOLE`` is a request that has come whole; ``CLOSING`` a client that is
    to close, as it was refused.
    """

    IDLE = auto()
    HEAD = auto()
    BODY = auto()
    WHOLE = auto()
    CLOSING = auto()


class RequestFault(NamedTuple):
    """Why the bytes of a connection are not read on."""

    status: int
    reason: str
    label: str


HEAD_TOO_LARGE: Final = RequestFault(
    431, "the headers are too large", "header_bytes"
)
HEAD_TIMED_OUT: Final = RequestFault(
    408, "the request's head did not come", "header_time"
)
BODY_TIMED_OUT: Final = RequestFault(
    408, "the request's body did not come", "body_time"
)
GIVEN_UP: Final = RequestFault(
    408, "the request is incomplete, and others wait", "incomplete"
)
NO_ROOM: Final = RequestFault(
    503, "too many requests are incomplete", "memory"
)
NO_REQUEST: Final = RequestFault(
    400, "the bytes received are no HTTP request", "malformed"
)
IDLE_TIMED_OUT: Final = "idle_time"
ANSWER_UNREAD: Final = "unread_answer"


class HttpProtocol(asyncio.BufferedProtocol):
    """A connection that stays open while it has an unread request.

    Without a ``door`` it has the default limits.
    """

    def __init__(
        self,
        config: Config,
        server_state: ServerState,
        app_state: dict[str, Any],
        _loop: asyncio.AbstractEventLoop | None = None,
        door: HttpDoor | None = None,
    ) -> None:
        if not config.loaded:
            config.load()
        self._application = config.loaded_app
        self._server_state = server_state
        self._door = door or _DEFAULT_DOOR
        self._budget = self._door.budget
        self.loop = _loop or asyncio.get_running_loop()
        self.transport: asyncio.Transport = None  # type: ignore[assignment]
        self.exchange: Exchange | None = None
        self.since_s = 0.0
        self.write_paused = False
        self._state = State.IDLE
        self._share = RoomShare(self._budget.room, OWN_BYTES)
        self._parser: Any = httptools.HttpRequestParser(self)
        # A request behind one that asks to close is no error of that one.
        self._parser.set_dangerous_leniencies(lenient_data_after_close=True)
        self._limits = self._door.limits()
        self._is_admitted = False
        self._is_used = False
        self._is_deaf = False
        self._read_paused = False
        self._has_turn = False
        self._rest = b""
        self._tail = b""
        self._head_bytes = 0
        self._framing_bytes = 0
        self._body_left_bytes = 0
        self._unsent_bytes = 0
        self._linger_bytes = 0
        self._kept_open = 0
        self._slice_bytes = 0
        self._calls = 0
        self.target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._expects_continue = False
        self._writable: asyncio.Event | None = None
        self._task: asyncio.Task[None] | None = None

    # Transport

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        self.transport = transport
        if not self._budget.admit(self._door.connections):
            transport.abort()
            return
        self._is_admitted = True
        self._door.connections += 1
        self._server_state.connections.add(self)  # type: ignore[arg-type]
        self._wait_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        self._leave()

    def get_buffer(self, sizehint: int) -> memoryview:
        if self._state is State.BODY:
            spare_bytes = max(self._share.spare_bytes, AHEAD_READ_BYTES)
            return _VIEW[: min(BODY_READ_BYTES, spare_bytes)]
        if self._state is State.WHOLE:
            return _VIEW[:AHEAD_READ_BYTES]
        return _VIEW[:HEAD_READ_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        if self._state is State.CLOSING:
            self._linger_bytes += nbytes
            if self._linger_bytes > LINGER_BYTES:
                self.transport.abort()
        elif self._is_deaf or not self._is_admitted:
            return
        elif self._rest or self._has_turn:
            self._keep(self._rest + _VIEW[:nbytes])
        else:
            self._read(_BUFFER, nbytes)

    def pause_writing(self) -> None:
        self.write_paused = True
        due_s = self.loop.time() + UNREAD_ANSWER_S
        self._budget.readers[self] = due_s

    def resume_writing(self) -> None:
        self.write_paused = False
        self._budget.readers.pop(self, None)
        self._charge_unsent()
        if self._writable is not None:
            self._writable.set()

    # Parser

    def on_message_begin(self) -> None:
        self.target = b""
        self._expects_continue = False
        self._head_bytes = self._slice_bytes
        self._is_used = True
        self._limits = self._door.limits()
        header_timeout_s = self._limits.header_timeout_s + DELAY_S
        self._wait(State.HEAD, self._budget.heads, header_timeout_s)

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._calls += 1
        # Trailers are not kept.
        if self._state is not State.HEAD:
            return
        name = name.lower()
        value = value.rstrip(b" \t")
        if name == b"content-length":
            self._body_left_bytes = int(value)
        elif name == b"expect" and value.lower() == b"100-continue":
            self._expects_continue = True
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        if self._head_fault() is not None:
            # `_parse` refuses it, as the state stays as it is.
            raise ValueError("the head is not taken")
        parser = self._parser
        version = parser.get_http_version()
        may_persist = version != "1.0" and parser.should_keep_alive()
        # The parser treats all bytes after such a request as another
        # protocol, so a further request would never be answered.
        if parser.should_upgrade():
            may_persist = False
            self._body_left_bytes = 0
        exchange = Exchange(
            self,
            self._make_scope(version),
            may_persist,
            self._expects_continue,
        )
        self.exchange = exchange
        self.prepare(exchange)
        self._framing_bytes = 0
        body_timeout_s = self._limits.body_timeout_s
        self._wait(State.BODY, self._budget.bodies, body_timeout_s)
        task = self.loop.create_task(exchange.run(self._application))
        self._task = task
        task.add_done_callback(self._server_state.tasks.discard)
        self._server_state.tasks.add(task)

    def on_body(self, body: bytes) -> None:
        self._calls += 1
        self._framing_bytes = 0
        if self._body_left_bytes:
            self._body_left_bytes -= len(body)
        exchange = self.exchange
        assert exchange is not None
        if not exchange.response_complete:
            exchange.body += body
            exchange.news.set()

    def on_message_complete(self) -> None:
        self._state = State.WHOLE
        self._framing_bytes = 0
        self._body_left_bytes = 0
        self._budget.stop_waiting(self)
        exchange = self.exchange
        assert exchange is not None
        if not exchange.response_complete:
            exchange.more_body = False
            exchange.news.set()

    # For the exchange and the server

    def prepare(self, exchange: Exchange) -> None:
        """Add to a request's scope; subclasses do."""

    def refusal(self, fault: RequestFault) -> bytes:
        """Return the response to a request that is not read on."""
        head = (
            f"HTTP/1.1 {fault.status} Refused\r\n"
            "content-length: 0\r\n"
            "connection: close\r\n\r\n"
        )
        return head.encode()

    def write(self, data: bytes) -> None:
        """Write to the client, and charge what it has not read."""
        self.transport.write(data)
        if self._unsent_bytes or self.transport.get_write_buffer_size():
            self._charge_unsent()

    async def drain(self) -> None:
        """Wait until the client has read on."""
        while self.write_paused:
            if self._writable is None:
                self._writable = asyncio.Event()
            self._writable.clear()
            await self._writable.wait()

    def read_on(self) -> None:
        """Read on, as the application has taken what there was."""
        if self._state is State.WHOLE:
            return
        if self._rest:
            self._request_turn()
        else:
            self._resume_reading()

    def on_response_complete(self) -> None:
        """Go on with the next request, once this one has come whole."""
        exchange = self.exchange
        assert exchange is not None
        is_stopping = exchange.should_close and not self.may_stay_open()
        if is_stopping or not exchange.may_persist:
            self.close()
        elif self._state is State.WHOLE:
            self._wait_idle()
            self.read_on()
        else:
            self.read_on()

    def close(self) -> None:
        """Close once the client has read what was written.

        A socket that is closed with unread bytes is reset, and the client
        loses the answer. So what still comes is read for a while.
        """
        if not self._is_admitted:
            return
        is_unread = self._state is State.BODY or self.has_unread()
        unsent_bytes = self.transport.get_write_buffer_size()
        for_s = UNREAD_ANSWER_S if unsent_bytes else LINGER_S
        self._wait(State.CLOSING, self._budget.closing, for_s)
        self._rest = b""
        self._headers = []
        self.target = b""
        self._parser = None
        # The application may still hold the request, see `_leave`.
        if self._task is None or self._task.done():
            self._share.hold(unsent_bytes)
        if is_unread:
            self.transport.write_eof()
            self._resume_reading()
        else:
            self.transport.close()

    def charge(self) -> None:
        """Charge what the connection keeps now."""
        if self._is_admitted:
            self._share.hold(self._cost_bytes())

    def may_stay_open(self) -> bool:
        """Return whether a planned stop waits for a further request.

        It has come, and not behind too many others.
        """
        self._kept_open += 1
        return self._kept_open <= MAX_KEPT_OPEN and self.has_unread()

    def has_unread(self) -> bool:
        """Return whether a request has begun to arrive, also in the socket.

        The event loop of a busy process may run a timer before it reads
        bytes that have already arrived.
        """
        if self._rest or self._state is State.HEAD:
            return True
        readable = poll()
        readable.register(self.transport.get_extra_info("socket"), POLLIN)
        return bool(readable.poll(0))

    def shutdown(self) -> None:
        """Close the connection now if idle, else after its response.

        An idle connection with an unread request is not closed.
        """
        if self.exchange is not None and not self.exchange.response_complete:
            self.exchange.should_close = True
        elif self._state is not State.CLOSING and not self.has_unread():
            self.close()

    # For the budget

    def is_evictable(self) -> bool:
        if self._state is State.IDLE:
            return not self.has_unread()
        if self._state is State.CLOSING:
            # What is left of an answer is still being read.
            return not self.transport.get_write_buffer_size()
        exchange = self.exchange
        if self._state is State.BODY and exchange is not None:
            return not exchange.response_started
        return True

    def evict(self) -> None:
        if self._state in (State.HEAD, State.BODY):
            self.disconnect()
            self.transport.write(self.refusal(GIVEN_UP))
        self.transport.abort()
        self._leave()

    def time_out(self) -> None:
        if self._state is State.CLOSING:
            self.transport.abort()
        elif self._state is State.IDLE:
            self.end_idle()
        elif self._state is State.HEAD:
            self._refuse(HEAD_TIMED_OUT)
        else:
            self._refuse(BODY_TIMED_OUT)

    def end_idle(self) -> None:
        """Close the idle connection, unless a request has arrived on it."""
        if self.has_unread():
            # It is read before the next look at the time.
            return
        if self._is_used:
            # That is no refusal, so there is no log line.
            self._budget.refusals[IDLE_TIMED_OUT] += 1
            self.close()
        else:
            self._refuse(HEAD_TIMED_OUT)

    def give_up_answer(self) -> None:
        self._budget.refused(ANSWER_UNREAD)
        self.disconnect()
        self.transport.abort()

    def take_turn(self) -> None:
        self._has_turn = False
        rest, self._rest = self._rest, b""
        if not self._is_admitted or self.transport.is_closing():
            return
        self._read(rest, len(rest))

    # Reading

    def _read(self, data: bytes | bytearray, end: int) -> None:
        """Parse what has come, for one turn, and keep the rest."""
        view = memoryview(data)
        position = 0
        self._calls = 0
        while position < end and self._may_parse():
            stop = self._slice_end(data, position, end)
            if not self._parse(view[position:stop]):
                return
            position = stop
            if self._state is State.WHOLE and self._is_answered():
                self._wait_idle()
        if self._state is State.BODY:
            self._note_progress()
        self._keep(bytes(view[position:end]))

    def _may_parse(self) -> bool:
        if self._state is State.WHOLE or self._calls >= TURN_CALLS:
            return False
        if self._state is State.BODY:
            return not self._has_body_ahead()
        return True

    def _slice_end(
        self, data: bytes | bytearray, position: int, end: int
    ) -> int:
        """Return where to stop, so that no two requests are parsed at once.

        Outside a body of known length each request ends with an empty line.
        """
        if self._body_left_bytes:
            return min(end, position + self._body_left_bytes)
        end = min(end, position + SLICE_BYTES)
        if position == 0 and self._tail:
            begin = self._tail + bytes(data[:2])
            found = begin.find(END_OF_HEAD)
            if found >= 0:
                length = found + len(END_OF_HEAD) - len(self._tail)
                return min(end, max(1, length))
        found = data.find(END_OF_HEAD, position, end)
        return end if found < 0 else found + len(END_OF_HEAD)

    def _parse(self, part: memoryview) -> bool:
        """Parse a slice; return False if nothing is read any more."""
        self._calls += 1
        self._slice_bytes = len(part)
        self._head_bytes += len(part)
        self._framing_bytes += len(part)
        self._tail = bytes(part[-2:])
        try:
            self._parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            self._is_deaf = True
            return False
        except httptools.HttpParserError:
            self._refuse(self._head_fault() or NO_REQUEST)
            return False
        fault = self._head_fault()
        if self._framing_bytes > MAX_FRAMING_BYTES:
            fault = HEAD_TOO_LARGE
        if fault is not None:
            self._refuse(fault)
            return False
        self.charge()
        return True

    def _head_fault(self) -> RequestFault | None:
        """Return why a head, or what comes before it, is not read on."""
        if self._state not in (State.IDLE, State.HEAD):
            return None
        if self._head_bytes > self._limits.max_header_bytes:
            return HEAD_TOO_LARGE
        return None if self._share.fits(self._cost_bytes()) else NO_ROOM

    def _cost_bytes(self) -> int:
        """Return what this connection keeps, with what it costs besides."""
        cost_bytes = len(self._rest) + self._unsent_bytes
        if self._state is not State.IDLE:
            cost_bytes += REQUEST_BYTES + self._head_bytes
            cost_bytes += LINE_BYTES * len(self._headers)
        if self.exchange is not None:
            cost_bytes += len(self.exchange.body)
        return cost_bytes

    def _is_answered(self) -> bool:
        """Return whether the answer came before the end of the body."""
        return self.exchange is not None and self.exchange.response_complete

    def _has_body_ahead(self) -> bool:
        """Return whether the application has to take the body first."""
        exchange = self.exchange
        return (
            exchange is not None
            and not exchange.response_complete
            and len(exchange.body) >= MAX_BODY_AHEAD_BYTES
        )

    def _note_progress(self) -> None:
        """Put the body behind those that have stalled for longer."""
        self.since_s = self.loop.time()
        due_s = self._budget.bodies.pop(self, None)
        if due_s is not None:
            self._budget.bodies[self] = due_s

    def _keep(self, rest: bytes) -> None:
        """Keep what is not parsed yet; read on if nothing stands before it."""
        self._rest = rest
        if rest and not self._share.fits(self._cost_bytes()):
            self._rest = rest = self._without_room(rest)
        self.charge()
        if self._state is State.CLOSING:
            return
        if self._state is State.WHOLE:
            # A few bytes more, so that a client that leaves is noticed.
            if len(rest) < AHEAD_READ_BYTES:
                self._resume_reading()
            else:
                self._pause_reading()
        elif self._state is State.BODY and self._has_body_ahead():
            self._pause_reading()
        elif rest:
            self._request_turn()
        else:
            self._resume_reading()

    def _without_room(self, rest: bytes) -> bytes:
        """Refuse the rest of a head, or the requests behind a whole one.

        Return what is kept: of a body no more is read than there is room.
        """
        if self._state is State.BODY:
            return rest
        if self._state is State.WHOLE and self.exchange is not None:
            # The answer says that no further request is read.
            self.exchange.may_persist = False
            self._is_deaf = True
            self._budget.refused(NO_ROOM.label)
        else:
            self._refuse(NO_ROOM)
        return b""

    def _request_turn(self) -> None:
        self._pause_reading()
        if not self._has_turn:
            self._has_turn = True
            self._budget.queue_turn(self)

    def _pause_reading(self) -> None:
        if not self._read_paused:
            self._read_paused = True
            self.transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._read_paused:
            self._read_paused = False
            self.transport.resume_reading()

    # Waiting and closing

    def _wait(self, state: State, waits: Waits, for_s: float) -> None:
        self._budget.stop_waiting(self)
        self._state = state
        self.since_s = self.loop.time()
        waits[self] = self.since_s + for_s

    def _wait_idle(self) -> None:
        """Wait for the next request; no byte before it prolongs this."""
        self.exchange = None
        self._headers = []
        self._head_bytes = 0
        self._limits = self._door.limits()
        idle_timeout_s = self._limits.idle_timeout_s
        if not self._is_used:
            idle_timeout_s = max(idle_timeout_s, self._limits.header_timeout_s)
        self._wait(State.IDLE, self._budget.idle, idle_timeout_s + DELAY_S)
        self.charge()

    def _charge_unsent(self) -> None:
        if not self._is_admitted:
            return
        unsent_bytes = self.transport.get_write_buffer_size()
        grows = unsent_bytes > self._unsent_bytes
        self._unsent_bytes = unsent_bytes
        if grows and not self._share.fits(self._cost_bytes()):
            self.give_up_answer()
        else:
            self.charge()

    def _refuse(self, fault: RequestFault) -> None:
        """Answer a request that is not read on, and close the connection."""
        self._budget.refused(fault.label)
        if self.transport.is_closing():
            return
        exchange = self.exchange
        if exchange is not None and exchange.response_started:
            self.disconnect()
            self.close()
            return
        # The application must not write behind the refusal.
        self.disconnect()
        self.transport.write(self.refusal(fault))
        self.close()

    def disconnect(self) -> None:
        """Let the application write nothing more of its answer."""
        exchange = self.exchange
        if exchange is not None and not exchange.response_complete:
            exchange.disconnected = True
            exchange.body = bytearray()
            exchange.news.set()

    def _leave(self) -> None:
        """Give back what the connection holds; it has ended, or ends now."""
        if not self._is_admitted:
            return
        self._is_admitted = False
        self._door.connections -= 1
        self._budget.forget(self)
        self._server_state.connections.discard(self)
        self._rest = b""
        # It refers to this connection, and this one to it.
        self._parser = None
        self.disconnect()
        self.write_paused = False
        if self._writable is not None:
            self._writable.set()
        if self._task is None or self._task.done():
            self._share.release_all()
        else:
            self._task.add_done_callback(lambda _: self._share.release_all())

    def _make_scope(self, version: str) -> dict[str, Any]:
        url = httptools.parse_url(self.target)
        path = url.path.decode("ascii")
        return {
            "type": "http",
            "asgi": {"version": "3.0", "spec_version": "2.3"},
            "http_version": version,
            "scheme": "http",
            "method": self._parser.get_method().decode("ascii"),
            "root_path": "",
            "path": unquote(path) if "%" in path else path,
            "raw_path": url.path,
            "query_string": url.query or b"",
            "headers": self._headers,
        }


__all__ = ["HttpProtocol", "IDLE_SLACK_S", "RequestFault"]
