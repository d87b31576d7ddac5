"""One request of an HTTP connection and the answer to it, over ASGI."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
from http import HTTPStatus
import logging
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sycamorestand_peer.http_connection import HttpProtocol

Message = MutableMapping[str, Any]
Application = Callable[..., Awaitable[None]]

BODILESS: Final = (204, 304)
CLOSE: Final = b"connection: close\r\n"
CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
FAILED_BODY: Final = b"Internal Server Error"
FAILED: Final[list[Message]] = [
    {
        "type": "http.response.start",
        "status": 500,
        "headers": [
            (b"content-type", b"text/plain; charset=utf-8"),
            (b"content-length", b"%d" % len(FAILED_BODY)),
            (b"connection", b"close"),
        ],
    },
    {"type": "http.response.body", "body": FAILED_BODY},
]
_LOG = logging.getLogger(__name__)


class InvalidResponse(Exception):
    """The application sent what cannot be written as a response."""


class Exchange:
    """The request that a connection reads, and the response to it.

    ``may_persist`` is whether the client takes a further response on the
    connection. ``should_close`` is set by a planned stop.
    """

    __slots__ = (
        "body",
        "disconnected",
        "may_persist",
        "more_body",
        "news",
        "response_complete",
        "response_started",
        "scope",
        "should_close",
        "_connection",
        "_expects_continue",
        "_is_chunked",
        "_left_bytes",
    )

    def __init__(
        self,
        connection: HttpProtocol,
        scope: dict[str, Any],
        may_persist: bool,
        expects_continue: bool,
    ) -> None:
        self.scope = scope
        self.body = bytearray()
        self.more_body = True
        self.news = asyncio.Event()
        self.disconnected = False
        self.may_persist = may_persist
        self.should_close = False
        self.response_started = False
        self.response_complete = False
        self._connection = connection
        self._expects_continue = expects_continue
        self._is_chunked = False
        self._left_bytes = 0

    async def run(self, application: Application) -> None:
        """Let the application answer; what it leaves out breaks the answer."""
        try:
            await application(self.scope, self.receive, self.send)
        except Exception:
            _LOG.exception(
                "request failed", extra={"path": self.scope["path"]}
            )
            await self._fail()
        else:
            if not (self.response_complete or self.disconnected):
                _LOG.error("request was not answered whole")
                await self._fail()

    async def receive(self) -> Message:
        """Return what has come of the body since the last call."""
        if not (self.disconnected or self.response_complete):
            if self._expects_continue and not self.response_started:
                self._expects_continue = False
                self._connection.write(CONTINUE)
            self._connection.read_on()
            await self.news.wait()
            self.news.clear()
        if self.disconnected or self.response_complete:
            return {"type": "http.disconnect"}
        body = bytes(self.body)
        self.body = bytearray()
        self._connection.charge()
        return {
            "type": "http.request",
            "body": body,
            "more_body": self.more_body,
        }

    async def send(self, message: Message) -> None:
        """Write a part of the response; wait while the client reads slowly."""
        await self._connection.drain()
        if self.disconnected:
            return
        if not self.response_started:
            self._start(message)
        elif not self.response_complete:
            self._continue(message)
        else:
            raise InvalidResponse("the response is already complete")

    def _start(self, message: Message) -> None:
        status = message["status"]
        lines = [_status_line(status)]
        is_framed = self.scope["method"] == "HEAD" or status in BODILESS
        is_closing = self.should_close
        headers = message.get("headers", ())
        for name, value in headers:
            name = name.lower()
            if name == b"connection" and value.lower() == b"close":
                is_closing = True
                continue
            if name == b"content-length":
                is_framed = True
                self._left_bytes = int(value)
            elif name == b"transfer-encoding" and value == b"chunked":
                is_framed = True
                self._is_chunked = True
            lines.append(b"%b: %b\r\n" % (name, value))
        if not is_framed:
            self._is_chunked = True
            lines.append(b"transfer-encoding: chunked\r\n")
        # A client that has sent a further request in advance would not get
        # an answer to it.
        if is_closing and not self._connection.may_stay_open():
            self.may_persist = False
        if not self.may_persist:
            lines.append(CLOSE)
        head = b"".join(lines)
        if head.count(b"\n") != len(lines) or head.count(b"\r") != len(lines):
            raise InvalidResponse("a header holds a line break")
        self.response_started = True
        self._connection.write(head + b"\r\n")

    def _continue(self, message: Message) -> None:
        body = message.get("body", b"")
        more_body = message.get("more_body", False)
        if self.scope["method"] == "HEAD":
            self._left_bytes = 0
        elif self._is_chunked:
            parts = [b"%x\r\n" % len(body), body, b"\r\n"] if body else []
            if not more_body:
                parts.append(b"0\r\n\r\n")
            self._connection.write(b"".join(parts))
        else:
            self._left_bytes -= len(body)
            if self._left_bytes < 0:
                raise InvalidResponse("the body is longer than said")
            self._connection.write(body)
        if not more_body:
            if self._left_bytes:
                raise InvalidResponse("the body is shorter than said")
            self.response_complete = True
            self.news.set()
            self._connection.on_response_complete()

    async def _fail(self) -> None:
        if self.response_started:
            self._connection.close()
            return
        for message in FAILED:
            await self.send(message)


def _status_line(status: int) -> bytes:
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = ""
    return f"HTTP/1.1 {status} {phrase}\r\n".encode()


__all__ = ["Application", "Exchange", "InvalidResponse", "Message"]
