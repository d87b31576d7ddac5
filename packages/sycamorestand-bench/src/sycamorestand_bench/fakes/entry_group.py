"""Entries that know each other, some of them cut off from all servers."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
import re
from typing import Final

import anyio
from anyio.abc import SocketStream

from sycamorestand_bench.fakes.routed import answer_bytes
from sycamorestand_bench.fakes.routed import answer_head
from sycamorestand_bench.fakes.routed import event
from sycamorestand_bench.fakes.routed import Handler
from sycamorestand_bench.fakes.routed import RoutedLoopback
from sycamorestand_bench.fakes.routed import SETTINGS
from sycamorestand_bench.fakes.routed import start_entries
from sycamorestand_bench.fakes.routed import stream_head
from sycamorestand_bench.fakes.server_cut import CutKind
from sycamorestand_bench.fakes.server_cut import ServerCut
from sycamorestand_entry.routed.call import ANONYMOUS

END: Final = b"0\r\n\r\n"
PATHS: Final = ("/stock/1", "/order/1", "/review/1")
# The time within which an entry has to be of use to its callers again.
FOUND_AFTER_S: Final = 3.0
SERVERS: Final = 8
CAPACITY: Final = 64


@asynccontextmanager
async def start_group(
    count: int = 2, handler: Handler | None = None, servers: int = SERVERS
) -> AsyncIterator[list[RoutedLoopback]]:
    """Start entries, the first of which is to be cut off, and servers."""
    settings = SETTINGS._replace(connect_timeout_s=0.1)
    async with start_entries(count, settings) as entries:
        for number in range(servers):
            await entries[0].add_server(f"s-{number}", handler or answer)
        known = entries[0].control.servers
        for name, server in known.items():
            known[name] = server._replace(capacity=CAPACITY)
        yield entries


async def cut_found(loopback: RoutedLoopback, kind: CutKind) -> ServerCut:
    """Cut an entry off, and let it find out by the requests that it gets."""
    cut = ServerCut(loopback)
    await ask_all(loopback, 10)
    cut.begin(kind)
    await ask_for(loopback, FOUND_AFTER_S)
    # Servers that still run one of these requests count it late.
    await anyio.sleep(0.2)
    return cut


async def cut_known(loopback: RoutedLoopback, kind: CutKind) -> ServerCut:
    """Cut an entry off that knows at once that all servers refuse."""
    cut = ServerCut(loopback)
    cut.begin(kind)
    context = loopback.entry.context
    for server in loopback.control.servers.values():
        context.server_loss.record_refused_dial(server.address)
    await anyio.sleep(0.3)
    return cut


async def all_cut_found(
    loopbacks: list[RoutedLoopback],
    cut_off: list[RoutedLoopback],
    kind: CutKind,
) -> None:
    """Cut these entries off, and let them and all others find out."""
    async with anyio.create_task_group() as sharing:
        sharing.start_soon(keep_sharing, loopbacks)
        async with anyio.create_task_group() as group:
            for loopback in cut_off:
                group.start_soon(cut_found, loopback, kind)
        for loopback in cut_off:
            await none_reached(loopback)
        sharing.cancel_scope.cancel()
    share_reach(loopbacks)


async def none_reached(loopback: RoutedLoopback) -> None:
    """Send bursts until the entry knows that it reaches no server.

    Connections that live on are enough for single requests, which then dial
    no server that refuses.
    """
    with anyio.fail_after(10):
        context = loopback.entry.context
        while not context.servers.is_unreached("stock", context.now_s()):
            await ask_all(loopback, 4 * SERVERS)


async def keep_sharing(loopbacks: list[RoutedLoopback]) -> None:
    """Tell all entries of each other, as control does."""
    while True:
        await anyio.sleep(0.2)
        share_reach(loopbacks)


def move(loopback: RoutedLoopback, data_centre: str) -> None:
    """Let all entries see this one in the data centre."""
    vm = loopback.entry.context.settings.vm
    control = loopback.control
    control.entry_addresses = tuple(
        address._replace(data_centre=data_centre)
        if address.vm == vm
        else address
        for address in control.entry_addresses
    )


def share_reach(loopbacks: list[RoutedLoopback]) -> None:
    """Tell all entries of each other what control would tell them."""
    moved = {
        address.vm: address
        for loopback in loopbacks
        for address in loopback.control.entry_addresses
        if address.vm == loopback.entry.context.settings.vm
    }
    addresses = tuple(
        moved[loopback.entry.context.settings.vm]._replace(
            unreached=tuple(loopback.control.unreached)
        )
        for loopback in loopbacks
    )
    for loopback in loopbacks:
        loopback.control.entry_addresses = addresses


def forwarded(loopback: RoutedLoopback, result: str = "answered") -> int:
    """Return how many requests for others ended with the result."""
    labels = {"direction": "in", "result": result}
    return int(
        loopback.entry.context.metrics.forwarded.values.get(labels) or 0
    )


def first_arrivals(loopback: RoutedLoopback) -> int:
    """Return how many first arrivals the entry has counted."""
    context = loopback.entry.context
    labels = {"service": "stock", "kind": "first"}
    return int(context.metrics.arrivals.values.get(labels) or 0)


def earn_arrivals(loopback: RoutedLoopback, requests: int) -> None:
    """Earn the arrivals and the retries of this many requests."""
    context = loopback.entry.context
    for _ in range(requests):
        context.arrivals.record_first_arrival("stock", context.now_s())
        context.retries.record_success(ANONYMOUS, context.now_s())


def eject(loopback: RoutedLoopback, name: str) -> None:
    """Let the entry eject a server after failures."""
    context = loopback.entry.context
    servers = context.servers
    for _ in range(20):
        servers.record_start("stock", name, context.now_s())
        servers.record_finish("stock", name, context.now_s(), 0.1, "error")
    assert not servers.has_available_server("stock", context.now_s(), {name})


def address_of(loopback: RoutedLoopback) -> str:
    """Return the address at which other entries reach this one."""
    return f"{loopback.entry.host}:{loopback.entry.port}"


def last_event(request: bytes) -> int:
    """Return the last event that the caller has according to the request."""
    _, found, rest = request.partition(b"last-event-id: ")
    return int(rest.split(b"\r\n")[0]) if found else 0


async def becomes_true(condition: Callable[[], bool]) -> bool:
    """Return whether the condition holds within some seconds."""
    with anyio.move_on_after(5.0):
        while not condition():
            await anyio.sleep(0.01)
    return condition()


async def hold_second_event(request: bytes, stream: SocketStream) -> None:
    """Begin a new stream and hold the rest; answer no call."""
    if last_event(request):
        await answer(request, stream)
        return
    if b"/review/" in request:
        await stream.send(stream_head(request) + event(1))
    await anyio.sleep(30)


async def answer_slowly(request: bytes, stream: SocketStream) -> None:
    """Answer after a pause."""
    await anyio.sleep(0.05)
    await answer(request, stream)


async def fail(request: bytes, stream: SocketStream) -> None:
    """Answer that the server failed."""
    await stream.send(answer_head(request, b"content-length: 0", status=500))


async def answer(request: bytes, stream: SocketStream) -> None:
    """Answer a call, or send a stream from the caller's last event on."""
    if b"/review/" not in request:
        await stream.send(answer_bytes(request))
        return
    first = last_event(request) + 1
    events = b"".join(event(number) for number in range(first, 6))
    await stream.send(stream_head(request) + events + END)


async def ask_all(loopback: RoutedLoopback, count: int) -> list[bytes]:
    """Return the answers to requests of all kinds, sent at once."""
    answers: list[bytes] = []

    async def ask(number: int) -> None:
        path = PATHS[number % len(PATHS)]
        attempt = f"a-{len(loopback.requests)}-{number}"
        answers.append(await loopback.ask(path, x_attempt=attempt))

    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(ask, number)
    return answers


async def ask_for(loopback: RoutedLoopback, duration_s: float) -> None:
    """Send requests of all kinds for a while, whatever becomes of them.

    None is given up: another entry may still run one that its caller left.
    """
    end_s = anyio.current_time() + duration_s
    while anyio.current_time() < end_s:
        await ask_all(loopback, len(PATHS))
        await anyio.sleep(0.05)


def status(answer: bytes) -> int:
    """Return the answer's status."""
    return int(answer.split(b" ")[1])


def is_whole(answer: bytes) -> bool:
    """Return whether a call's body or all of the stream's events came."""
    if b"text/event-stream" in answer:
        return answer.count(b"id: ") == 5 and answer.endswith(END)
    return answer.endswith(b"\r\n\r\nok")


def runs_by_attempt(loopback: RoutedLoopback, since: int) -> dict[bytes, int]:
    """Return how often servers got each attempt since this request."""
    attempts: dict[bytes, int] = {}
    for _, request in loopback.requests[since:]:
        found = re.search(rb"x-attempt: (\S+)", request)
        assert found
        attempt = found.group(1)
        attempts[attempt] = attempts.get(attempt, 0) + 1
    return attempts


__all__ = [
    "address_of",
    "all_cut_found",
    "answer",
    "answer_slowly",
    "ask_all",
    "ask_for",
    "becomes_true",
    "cut_found",
    "cut_known",
    "earn_arrivals",
    "fail",
    "first_arrivals",
    "eject",
    "forwarded",
    "FOUND_AFTER_S",
    "hold_second_event",
    "is_whole",
    "keep_sharing",
    "last_event",
    "move",
    "none_reached",
    "runs_by_attempt",
    "SERVERS",
    "share_reach",
    "start_group",
    "status",
]
