"""Run an entry for routed requests with scripted backend servers."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from contextlib import AsyncExitStack
from random import Random
import re
from typing import Final

import anyio
from anyio.abc import SocketStream

from sycamorestand_bench.fakes.control_port import FakeControlPort
from sycamorestand_bench.fakes.control_port import FakeLedger
from sycamorestand_bench.fakes.declared import guild_configuration
from sycamorestand_bench.fakes.raw_server import read_request
from sycamorestand_bench.fakes.raw_server import serve_stream
from sycamorestand_entry.routed.application import make_routed_application
from sycamorestand_entry.routed.forwarding import new_forwarding_key
from sycamorestand_entry.routed.header_names import HeaderNames
from sycamorestand_entry.server import RunningEntry
from sycamorestand_entry.server import serve_entry
from sycamorestand_entry.settings import EntrySettings
from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.entry_reports import EntryAddress
from sycamorestand_model.in_force import InForce
from sycamorestand_model.routes import Route
from sycamorestand_model.routes import RouteTarget

HOST: Final = "nest.example"
HEADER_NAMES: Final = HeaderNames(
    attempt=b"x-attempt",
    deadline_ms=b"x-deadline-ms",
    server=b"x-server",
    customer=b"x-customer",
    not_run=b"x-not-run",
    stamp=b"x-stamp",
    priority=b"x-priority",
    session=b"x-session",
    model=b"x-model",
    any_model=b"*",
    confidence=b"x-confidence",
    prompt_parts=b"x-parts",
    token_counts=b"x-tokens",
    length_hint=b"x-hint",
    last_event=b"last-event-id",
    load=b"x-load",
    own=frozenset({b"authorization", b"x-deadline-ms", b"x-server"}),
    brittle=b"x-brittle",
    limit=b"x-limit",
    leaving=b"x-leaving",
)
ROUTES: Final = (
    Route(
        "stock",
        HOST,
        "/stock/",
        (RouteTarget("stock"),),
        "idempotent",
        1200,
        150,
        max_attempts=2,
        public=True,
    ),
    Route(
        "order",
        HOST,
        "/order/",
        (RouteTarget("stock"),),
        "once",
        1200,
        150,
        max_attempts=1,
        public=True,
    ),
    Route(
        "review",
        HOST,
        "/review/",
        (RouteTarget("stock"),),
        "stream",
        4000,
        2000,
        max_attempts=3,
        public=True,
        resumable=True,
        gap_target_ms=300,
    ),
)
SETTINGS: Final = EntrySettings(
    vm="vm-1",
    data_centre="marietta",
    address_ttl_s=0.2,
    address_spread_s=0.0,
    keep_alive_s=20,
    retry_share=1.0,
)
SIZES: Final = ("small", "middle", "large")
_ATTEMPT: Final = re.compile(rb"x-attempt: (\S+)", re.IGNORECASE)

Handler = Callable[[bytes, SocketStream], Awaitable[None]]


class RoutedLoopback:
    """A running entry, its fake control port and the forwarded requests.

    ``requests`` holds the server's name and the bytes of each request.
    """

    def __init__(self, control: FakeControlPort, group: anyio.abc.TaskGroup):
        self.control = control
        self.group = group
        self.requests: list[tuple[str, bytes]] = []
        self.entry: RunningEntry

    async def add_server(self, name: str, handler: Handler) -> None:
        """Add a backend server that calls a handler for each request.

        A handler that raises `EndOfStream` closes the connection.
        """

        async def handle(stream: SocketStream) -> None:
            async with stream:
                while True:
                    try:
                        request = await read_request(stream)
                        self.requests.append((name, request))
                        await handler(request, stream)
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        return

        address = await self.group.start(serve_stream, handle)
        self.control.servers[name] = Announcement(
            name, "service", address, "marietta", 1, 1, ("stock",)
        )

    async def connect(self) -> SocketStream:
        """Return a new connection to the entry."""
        return await anyio.connect_tcp(self.entry.host, self.entry.port)

    async def ask(self, path: str, body: bytes = b"", **headers: str) -> bytes:
        """Send one request and return all bytes of the answer."""
        async with await self.connect() as stream:
            await stream.send(request_bytes(path, body, **headers))
            return await read_to_end(stream)


def with_sizes(in_force: InForce) -> InForce:
    """Return the configuration with model sizes on the route "review"."""
    declared = in_force.declarations
    review = declared.routes["review"]._replace(sizes=SIZES)
    routes = {**declared.routes, "review": review}
    return in_force._replace(declarations=declared._replace(routes=routes))


def request_bytes(path: str, body: bytes = b"", **headers: str) -> bytes:
    """Return the bytes of a request that closes its connection.

    ``_`` in a header name is sent as ``-``.
    """
    lines = [f"POST {path} HTTP/1.1", f"host: {HOST}", "connection: close"]
    headers.setdefault("x_attempt", "a1")
    headers.setdefault("content_length", str(len(body)))
    for name, value in headers.items():
        lines.append(f"{name.replace('_', '-')}: {value}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_to_end(stream: SocketStream) -> bytes:
    """Return all bytes until the peer closes the connection."""
    data = b""
    with anyio.fail_after(10):
        while True:
            try:
                data += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return data


def answer_bytes(request: bytes, body: bytes = b"ok") -> bytes:
    """Return a server's complete answer to this request, status 200."""
    return answer_head(request, b"content-length: %d" % len(body)) + body


def answer_head(request: bytes, *lines: bytes, status: int = 200) -> bytes:
    """Return the head of an answer that repeats the attempt's id."""
    attempt = _ATTEMPT.search(request)
    attempt_id = attempt.group(1) if attempt else b""
    head = [
        b"HTTP/1.1 %d X" % status,
        b"x-attempt: " + attempt_id,
        b"x-stamp: s",
    ]
    return b"\r\n".join([*head, *lines]) + b"\r\n\r\n"


def stream_head(request: bytes) -> bytes:
    """Return the head of a chunked answer that is an event stream."""
    return answer_head(
        request,
        b"content-type: text/event-stream",
        b"transfer-encoding: chunked",
    )


def event(number: int) -> bytes:
    """Return one server-sent event as one HTTP chunk."""
    data = b"id: %d\ndata: d%d\n\n" % (number, number)
    return b"%x\r\n%b\r\n" % (len(data), data)


@asynccontextmanager
async def start_routed(
    settings: EntrySettings = SETTINGS, seed: int = 1
) -> AsyncIterator[RoutedLoopback]:
    """Start an entry for routed requests without backend servers."""
    configuration = routed_configuration()
    control = FakeControlPort(configuration, FakeLedger())
    async with anyio.create_task_group() as group:
        loopback = RoutedLoopback(control, group)
        loopback.entry = await group.start(
            serve_entry,
            settings,
            control,
            Random(seed),
            make_routed_application(HEADER_NAMES),
        )
        yield loopback
        group.cancel_scope.cancel()


@asynccontextmanager
async def start_entries(
    count: int, settings: EntrySettings = SETTINGS
) -> AsyncIterator[list[RoutedLoopback]]:
    """Start entries that know each other, without backend servers.

    A server that is added to one of them is announced to all, and they
    share the list of requests.
    """
    async with AsyncExitStack() as stack:
        loopbacks: list[RoutedLoopback] = []
        for number in range(1, count + 1):
            own = settings._replace(
                vm=f"vm-{number}", forwarding_key=new_forwarding_key()
            )
            entry = start_routed(own, seed=number)
            loopback = await stack.enter_async_context(entry)
            loopbacks.append(loopback)
        addresses = tuple(entry_address(loopback) for loopback in loopbacks)
        for loopback in loopbacks:
            loopback.requests = loopbacks[0].requests
            loopback.control.servers = loopbacks[0].control.servers
            loopback.control.entry_addresses = addresses
            loopback.control.entries = count
        yield loopbacks


def entry_address(loopback: RoutedLoopback) -> EntryAddress:
    """Return the address at which callers and entries reach the entry."""
    settings = loopback.entry.context.settings
    return EntryAddress(
        settings.vm,
        settings.data_centre,
        loopback.entry.host,
        loopback.entry.port,
        forwarding_key=settings.forwarding_key,
    )


def routed_configuration() -> InForce:
    """Return the configuration of `guild_configuration` with `ROUTES`."""
    configuration = guild_configuration()
    declarations = configuration.declarations._replace(
        routes={route.name: route for route in ROUTES}
    )
    return configuration._replace(declarations=declarations)


__all__ = [
    "answer_bytes",
    "answer_head",
    "entry_address",
    "event",
    "Handler",
    "HEADER_NAMES",
    "HOST",
    "read_to_end",
    "request_bytes",
    "routed_configuration",
    "RoutedLoopback",
    "ROUTES",
    "SETTINGS",
    "start_entries",
    "start_routed",
    "stream_head",
    "with_sizes",
]
