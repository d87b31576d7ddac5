"""HTTP connections to backend servers, parsed by httptools.

The relay is the hottest path of an entry. An asyncio protocol with the
parser of httptools passes each read to the relay as a whole, without an
event object, a lock or a trace context for each chunk; for figures see
``docs/design/relay.md``.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import math
from typing import cast
from typing import Final
from typing import Literal

import httptools

from sycamorestand_entry.undelivered import undelivered_bytes
from sycamorestand_entry.upstream_answer import BrokenConnection
from sycamorestand_entry.upstream_answer import ConnectFailed
from sycamorestand_entry.upstream_answer import ConnectTimedOut
from sycamorestand_entry.upstream_answer import Echo
from sycamorestand_entry.upstream_answer import is_framed
from sycamorestand_entry.upstream_answer import keep_alive_s
from sycamorestand_entry.upstream_answer import MalformedAnswer
from sycamorestand_entry.upstream_answer import ResponseHead
from sycamorestand_entry.upstream_answer import ServerLost
from sycamorestand_entry.upstream_answer import SilentConnection
from sycamorestand_entry.upstream_answer import SlowAnswer
from sycamorestand_entry.upstream_answer import UpstreamError

Sink = Callable[[bytes], bool]
OnLoss = Literal["wait", "wake", "end"]

# Reading from the backend server pauses at this many buffered bytes, so
# that a caller which reads slowly does not fill the memory of the entry.
READ_AHEAD_BYTES: Final = 64 * 1024
MAX_HEAD_BYTES: Final = 64 * 1024
FIRST_STATUS: Final = 100
FIRST_FINAL_STATUS: Final = 200
LAST_STATUS: Final = 599
# Trailers and chunk extensions since the last byte of a body.
MAX_FRAMING_BYTES: Final = 64 * 1024
# An answer to another request, which is read before the one that is due.
MAX_SKIPPED_BYTES: Final = 1024 * 1024


class PeerActivity:
    """When a byte last came on any connection to one address."""

    def __init__(self) -> None:
        self.last_byte_s = -math.inf


class UpstreamConnection(asyncio.Protocol):
    """One HTTP/1.1 connection, which carries one request at a time.

    ``activity`` is shared by all connections to one address.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        activity: PeerActivity | None = None,
    ) -> None:
        self.reusable = False
        self.idle_since_s = 0.0
        self.sent_s = math.inf
        self.on_closed: Callable[[], None] | None = None
        self._activity = activity or PeerActivity()
        self._on_loss: OnLoss = "wait"
        self.keep_alive_s = math.inf
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[bytes, bytes] = {}
        self._head: ResponseHead | None = None
        self._head_bytes = 0
        self._in_head = True
        self._framing_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._paused = False
        self._complete = False
        self._bodiless = False
        self._unexpected = False
        self._echo: Echo | None = None
        self._skipping = False
        self._at_eof = False
        self._soft = False
        self._error: UpstreamError | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timeout_at_s = 0.0
        self._limit_s = 0.0
        self._total_deadline_s = 0.0
        self._sink: Sink | None = None

    @property
    def usable(self) -> bool:
        """Return whether another request may be sent on this connection."""
        if not self.reusable or self._error is not None or self._paused:
            return False
        # A server may answer before it has read all of a long body. The
        # next request must not queue behind the unsent rest of that body.
        transport = self._transport
        return transport is not None and not undelivered_bytes(transport)

    @property
    def is_closed(self) -> bool:
        """Return whether the connection has ended."""
        return self._error is not None

    @property
    def is_waiting(self) -> bool:
        """Return whether a request was sent whose answer is incomplete."""
        sent = self.sent_s < math.inf
        return sent and not self._complete and self._error is None

    @property
    def reacts_to_loss(self) -> bool:
        """Return whether a request waits here that need not wait for ever."""
        return self.is_waiting and self._on_loss != "wait" and not self._paused

    def send(
        self,
        request: bytes,
        bodiless: bool = False,
        echo: Echo | None = None,
        on_loss: OnLoss = "wait",
    ) -> None:
        """Write a whole request, which may have run from then on.

        With ``bodiless`` the answer has no body regardless of its headers,
        as for ``HEAD``. Answers in which ``echo`` names another request
        are skipped. If the server is found to be lost, ``on_loss`` tells
        whether to wait on, as the link to it may heal; to end the request
        with `ServerLost`; or to wake the reader, if its wait is soft.
        """
        assert self._transport is not None
        self._on_loss = on_loss
        self.sent_s = self._loop.time()
        self._bodiless = bodiless
        self._echo = echo
        self._skipping = False
        self._headers = {}
        self._head = None
        self._head_bytes = 0
        self._framing_bytes = 0
        self._complete = False
        self.reusable = False
        # Drop the body of an earlier answer that was complete but not read.
        # Its bytes would come before the answer to this request.
        self._body.clear()
        self._body_bytes = 0
        self._transport.write(request)

    async def read_head(
        self, limit_s: float, soft: bool = False
    ) -> ResponseHead:
        """Wait for the answer's status and headers.

        Raises `SilentConnection` after ``limit_s``, also if some bytes have
        come. With ``soft`` it raises `SlowAnswer` instead and keeps the
        connection, so that the caller can wait again.
        """
        deadline_s = self._loop.time() + limit_s
        while self._head is None:
            if self._error is not None:
                raise self._error
            left_s = max(0.0, deadline_s - self._loop.time())
            await self._wait(left_s, soft=soft)
        return self._head

    async def read_body(
        self,
        limit_s: float,
        total_s: float = 0.0,
        sink: Sink | None = None,
        soft: bool = False,
    ) -> bytes:
        """Return all buffered bytes, ``b""`` at the end of the answer.

        While this waits, ``sink`` is called with each read and returns
        whether it has consumed it. The waiting task is woken only for reads
        that the sink did not consume, because a wake-up costs more than all
        other work for a token. ``limit_s`` limits the time without a byte,
        ``total_s`` the whole wait; ``soft`` works as in `read_head`.
        """
        while not self._body:
            if self._complete:
                return b""
            if self._error is not None:
                raise self._error
            self._sink = sink
            await self._wait(limit_s, total_s, soft)
        body = self._body
        data = body[0] if len(body) == 1 else b"".join(body)
        body.clear()
        self._body_bytes = 0
        if self._paused:
            self._resume()
        return data

    def close(self) -> None:
        """Close the connection at once, which cancels a running answer."""
        self.reusable = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._transport is not None:
            self._transport.abort()

    def react_to_loss(self) -> None:
        """Wake or end the request that waits here, as its server is lost."""
        if not self.reacts_to_loss:
            return
        if self._on_loss == "end":
            self._fail(ServerLost("its server is lost"))
        elif self._soft and self._waiter and not self._waiter.done():
            self._waiter.set_exception(SlowAnswer("its server is lost"))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transports of uvloop are not subclasses of asyncio's.
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._activity.last_byte_s = self._loop.time()
        if self._complete:
            self._fail(MalformedAnswer("bytes after the answer's end"))
            return
        if self.sent_s == math.inf:
            # They cannot be a part of the answer to the first request.
            self._fail(MalformedAnswer("bytes before any request"))
            return
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(MalformedAnswer("its answer is no HTTP"))
            return
        if self._head is None:
            # Counted after parsing, because one read may contain a short
            # head and a part of the body beyond the limit.
            self._head_bytes += len(data)
            limit = MAX_SKIPPED_BYTES if self._skipping else MAX_HEAD_BYTES
            if self._head_bytes > limit:
                self._fail(MalformedAnswer("no answer in its bytes"))
        elif self._unexpected:
            self._fail(MalformedAnswer("bytes after the answer's end"))
        elif self._framing_bytes > MAX_FRAMING_BYTES and not self._complete:
            self._fail(MalformedAnswer("no body in its bytes"))
        elif self._sink is None or not self._forward():
            self._wake()

    def eof_received(self) -> bool:
        assert self._transport is not None
        if undelivered_bytes(self._transport):
            # The server has not got the request, and may read no more of it.
            self._fail(BrokenConnection("it closed the connection"))
            return False
        self._at_eof = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        # An answer with neither Content-Length nor Transfer-Encoding is
        # complete only if the server closed the connection after it had the
        # request. A reset or a close by the entry truncates it.
        complete = self._at_eof and exc is None and self._ends_at_eof()
        if complete and self._error is None:
            self._complete = True
        self._fail(BrokenConnection("it closed the connection"))
        if self.on_closed is not None:
            self.on_closed()

    def on_message_begin(self) -> None:
        # An unrequested answer must not be mistaken for a part of this one
        # or for the answer to the next request.
        if self._complete:
            self._unexpected = True
        self._in_head = True
        self._headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._in_head:
            # A trailer. It must not count as a field of the next head.
            return
        self._headers[name.lower()] = value.strip()

    def on_headers_complete(self) -> None:
        self._in_head = False
        self._framing_bytes = 0
        status = self._parser.get_status_code()
        echo = self._echo
        if not FIRST_STATUS <= status <= LAST_STATUS:
            self._fail(MalformedAnswer("its status is none of HTTP"))
        elif status < FIRST_FINAL_STATUS or self._unexpected:
            pass
        elif echo is not None and echo.names_other_request(self._headers):
            # A late second answer to an earlier request. Closing the
            # connection because of it would lose the current request, which
            # may have run.
            self._skipping = True
        else:
            self._head = ResponseHead(status, self._headers)
            self._complete = self._bodiless
        self._headers = {}

    def on_body(self, body: bytes) -> None:
        self._framing_bytes = 0
        if self._unexpected or self._skipping:
            return
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > READ_AHEAD_BYTES and not self._paused:
            assert self._transport is not None
            self._paused = True
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        if self._skipping:
            self._skipping = False
            self._head_bytes = 0
            return
        if self._head is None or self._unexpected:
            return
        self._complete = True
        self.keep_alive_s = keep_alive_s(self._head.headers)
        self.reusable = self._parser.should_keep_alive()

    def _forward(self) -> bool:
        body = self._body
        if len(body) != 1 or self._complete:
            self._sink = None
            return False
        assert self._sink is not None
        if not self._sink(body[0]):
            self._sink = None
            return False
        body.clear()
        self._body_bytes = 0
        self._timeout_at_s = min(
            self._loop.time() + self._limit_s, self._total_deadline_s
        )
        return True

    def _ends_at_eof(self) -> bool:
        return self._head is not None and not is_framed(self._head.headers)

    def _resume(self) -> None:
        self._paused = False
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _fail(self, error: UpstreamError) -> None:
        if self._error is None:
            self._error = error
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()
        self._wake()

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def _wait(
        self, limit_s: float, total_s: float = 0.0, soft: bool = False
    ) -> None:
        now_s = self._loop.time()
        self._limit_s = limit_s
        self._total_deadline_s = now_s + max(limit_s, total_s)
        self._timeout_at_s = now_s + limit_s
        self._soft = soft
        self._set_timer()
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
            self._sink = None

    def _set_timer(self) -> None:
        # A single timer per connection is moved lazily when it fires. A
        # timer for each chunk would cost more than parsing the chunk.
        if self._timer is not None:
            if self._timer.when() <= self._timeout_at_s:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(
            self._timeout_at_s, self._check_timeout
        )

    def _check_timeout(self) -> None:
        self._timer = None
        if self._waiter is None:
            return
        if self._loop.time() >= self._timeout_at_s:
            if self._soft:
                if not self._waiter.done():
                    self._waiter.set_exception(SlowAnswer("no byte yet"))
                return
            self._fail(SilentConnection("it sent nothing for too long"))
            return
        self._timer = self._loop.call_at(
            self._timeout_at_s, self._check_timeout
        )


__all__ = [
    "BrokenConnection",
    "ConnectFailed",
    "ConnectTimedOut",
    "Echo",
    "is_framed",
    "MalformedAnswer",
    "OnLoss",
    "PeerActivity",
    "ResponseHead",
    "ServerLost",
    "SilentConnection",
    "Sink",
    "SlowAnswer",
    "UpstreamConnection",
    "UpstreamError",
]
