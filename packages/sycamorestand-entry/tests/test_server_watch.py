"""Checks of silent servers, with real sockets on the loopback interface."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
import logging
import math
import socket
import time
from typing import Final
from typing import NamedTuple

import anyio
import pytest

from sycamorestand_bench.fakes.control_port import FakeControlPort
from sycamorestand_bench.fakes.control_port import FakeLedger
from sycamorestand_bench.fakes.routed import answer_bytes
from sycamorestand_bench.fakes.routed import event
from sycamorestand_bench.fakes.routed import RoutedLoopback
from sycamorestand_bench.fakes.routed import SETTINGS
from sycamorestand_bench.fakes.routed import start_routed
from sycamorestand_bench.fakes.routed import stream_head
from sycamorestand_decisions.server_loss import LOST_AFTER_DIALS
from sycamorestand_decisions.server_loss import ServerLoss
from sycamorestand_decisions.server_loss import SILENCE_S
from sycamorestand_entry.server_watch import ServerWatch
from sycamorestand_entry.upstream import OnLoss
from sycamorestand_entry.upstream import ServerLost
from sycamorestand_entry.upstream import UpstreamConnection
from sycamorestand_entry.upstream_pool import UpstreamPool
from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.in_force import InForce

pytestmark = pytest.mark.anyio
REQUEST: Final = b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n"
END: Final = b"0\r\n\r\n"
CONNECT_TIMEOUT_S: Final = 0.2
# No pause of a busy machine is longer.
LONG_TIMEOUT_S: Final = 1.0
# A place in the queue of a listener is taken without its process, at once.
QUEUE_S: Final = 0.1
# Above the pause between two dials of a lost server.
AFTER_S: Final = SILENCE_S + 0.3
IDLE_S: Final = 30.0
# Far above the second or so that a check takes.
LIMIT_S: Final = 8.0
TIMEOUT_S: Final = 9.0
BACKLOG: Final = 128

Send = Callable[[bytes], Awaitable[None]]
Answer = Callable[[bytes, Send], Awaitable[None]]


class Received(NamedTuple):
    """A request that came to a server, and the number of its connection."""

    connection: int
    request: bytes


class Server:
    """A server that can lose its power, or its link, and get it back.

    Without power it accepts no connection, closes none and sends nothing.
    The kernel accepts connections up to the backlog without the process, so
    the loss fills the queue of a listener with the shortest backlog.
    """

    def __init__(self, answer: Answer) -> None:
        self.requests: list[Received] = []
        self.connections = 0
        self._answer = answer
        self._power = anyio.Event()
        self._queued: list[socket.socket] = []
        self._listener = socket.socket()
        self._listener.setblocking(False)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(BACKLOG)
        self._accepting: asyncio.Task[None] | None = None
        self._running: set[asyncio.Task[None]] = set()
        port = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def get_power(self) -> None:
        """Accept connections, and go on with answers that wait."""
        self._listener.listen(BACKLOG)
        self._power.set()
        self._accepting = asyncio.create_task(self._accept())

    async def lose_power(self) -> None:
        """Accept nothing and send nothing from now on."""
        self._power = anyio.Event()
        await self.stop_accepting()

    async def stop_accepting(self) -> None:
        """Let new connections time out; go on with those that are open."""
        assert self._accepting is not None
        self._accepting.cancel()
        await asyncio.wait([self._accepting])
        self._listener.listen(0)
        while await self._queue_connection():
            pass

    async def close(self) -> None:
        """Refuse new connections and end the open ones."""
        tasks = [*self._running]
        if self._accepting is not None:
            tasks.append(self._accepting)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        self.refuse()
        for connection in self._queued:
            connection.close()

    def refuse(self) -> None:
        """Refuse new connections, as after the end of the process."""
        if self._accepting is not None:
            self._accepting.cancel()
        self._listener.close()

    async def _queue_connection(self) -> bool:
        """Return whether the queue had a place for one more connection."""
        connection = socket.socket()
        connection.setblocking(False)
        self._queued.append(connection)
        loop = asyncio.get_running_loop()
        address = self._listener.getsockname()
        with anyio.move_on_after(QUEUE_S):
            await loop.sock_connect(connection, address)
            return True
        connection.close()
        return False

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self._listener)
            self.connections += 1
            task = loop.create_task(self._serve(connection, self.connections))
            self._running.add(task)
            task.add_done_callback(self._running.discard)

    async def _serve(self, connection: socket.socket, number: int) -> None:
        loop = asyncio.get_running_loop()

        async def send(data: bytes) -> None:
            await self._power.wait()
            await loop.sock_sendall(connection, data)

        data = b""
        with connection:
            try:
                while part := await loop.sock_recv(connection, 65536):
                    data += part
                    if data.endswith(b"\r\n\r\n"):
                        self.requests.append(Received(number, data))
                        await self._answer(data, send)
                        data = b""
            except OSError:
                return


class RecordingLoss(ServerLoss):
    """Records the dials of checks, and the results of all checks.

    ``dials_to_loss`` has the dials before each loss since the last check.
    """

    def __init__(self) -> None:
        super().__init__()
        self.dials: list[str] = []
        self.checks: list[tuple[str, bool]] = []
        self.dials_to_loss: list[int] = []
        self._dials_before = 0

    def record_check(
        self,
        address: str,
        reached: bool,
        now_s: float,
        silent_since_s: float = math.inf,
    ) -> bool:
        self.checks.append((address, reached))
        newly_lost = super().record_check(
            address, reached, now_s, silent_since_s
        )
        if newly_lost:
            self.dials_to_loss.append(len(self.dials) - self._dials_before)
        self._dials_before = len(self.dials)
        return newly_lost

    def count(self, address: str, reached: bool) -> int:
        """Return the number of checks of the server with this result."""
        return self.checks.count((address, reached))


class RecordingPool(UpstreamPool):
    """Records the dials of checks.

    A check of an address in ``faulty`` raises an exception.
    """

    def __init__(self, connect_timeout_s: float, loss: RecordingLoss) -> None:
        super().__init__(connect_timeout_s, IDLE_S, loss)
        self.dials = loss.dials
        self.faulty: set[str] = set()

    async def acquire(
        self, address: str, max_idle_s: float
    ) -> UpstreamConnection:
        if max_idle_s == 0.0:
            self.dials.append(address)
            if address in self.faulty:
                raise RuntimeError("a fault of the entry")
        return await super().acquire(address, max_idle_s)


class Watched:
    """A running `ServerWatch` and what it checks."""

    def __init__(self, connect_timeout_s: float) -> None:
        self.loss = RecordingLoss()
        self.pool = RecordingPool(connect_timeout_s, self.loss)
        self.control = FakeControlPort(InForce(), FakeLedger())
        self.watch = ServerWatch(
            self.pool, self.loss, self.control, time.monotonic
        )

    async def send(
        self, address: str, on_loss: OnLoss = "end"
    ) -> UpstreamConnection:
        """Send a request and return its connection."""
        connection = await self.pool.acquire(address, IDLE_S)
        connection.send(REQUEST, on_loss=on_loss)
        return connection

    async def make_idle(self, address: str, count: int) -> None:
        """Leave this many idle connections to a server that answers."""
        connections = [await self.send(address) for _ in range(count)]
        for connection in connections:
            await connection.read_head(LIMIT_S)
            while await connection.read_body(LIMIT_S):
                pass
            self.pool.release(address, connection)
        assert self.pool.idle_count(address) == count

    async def lose(self, server: Server) -> None:
        """Let the server lose its power, which the next dial shows."""
        await server.lose_power()
        self.loss.record_timed_out_dial(server.address)

    def announce(self, name: str, address: str) -> None:
        """Announce the server."""
        self.control.servers[name] = announcement(name, address)


class TestNoLoss:
    async def test_refused_dial_is_no_loss(self) -> None:
        """A crashed process on a running VM would end what others run."""
        async with start_watch(LONG_TIMEOUT_S) as watched:
            with socket.socket() as unused:
                unused.bind(("127.0.0.1", 0))
                address = f"127.0.0.1:{unused.getsockname()[1]}"
                watched.announce("s-1", address)
                watched.loss.record_timed_out_dial(address)
                await wait_until(lambda: bool(watched.loss.checks))
        assert watched.loss.checks == [(address, True)]
        assert not watched.loss.suspected

    async def test_silent_connection_to_a_closed_listener_is_no_loss(
        self,
    ) -> None:
        """A server that stops accepts no more and ends what it runs."""
        released = anyio.Event()
        async with (
            start_server(answer_after(released)) as server,
            start_watch(LONG_TIMEOUT_S) as watched,
        ):
            connection = await watched.send(server.address)
            await wait_until(lambda: bool(server.requests))
            server.refuse()
            await wait_until(
                lambda: watched.loss.count(server.address, True) >= 2
            )
            released.set()
            head = await connection.read_head(LIMIT_S)
        assert head.status == 200
        assert watched.loss.count(server.address, False) == 0

    async def test_silent_server_that_accepts_is_no_loss(self) -> None:
        """An engine that reads a long prompt would lose its requests."""
        released = anyio.Event()
        async with (
            start_server(answer_after(released)) as server,
            start_watch(LONG_TIMEOUT_S) as watched,
        ):
            connection = await watched.send(server.address)
            await wait_until(
                lambda: watched.loss.count(server.address, True) >= 2
            )
            released.set()
            head = await connection.read_head(LIMIT_S)
        assert head.status == 200
        assert watched.loss.count(server.address, False) == 0

    async def test_server_that_sends_bytes_is_no_loss(self) -> None:
        """A burst of dials that fills its queue would end its streams."""
        async with (
            start_server(flow) as server,
            start_watch(LONG_TIMEOUT_S) as watched,
        ):
            connection = await watched.send(server.address)
            await connection.read_head(LIMIT_S)
            await server.stop_accepting()
            watched.loss.record_timed_out_dial(server.address)
            await wait_until(lambda: bool(watched.loss.checks))
            part = await connection.read_body(LIMIT_S)
        assert watched.loss.checks[0] == (server.address, True)
        assert watched.pool.dials
        assert part

    async def test_unused_server_is_not_dialled(self) -> None:
        """Each entry would dial all servers of the installation."""
        async with (
            start_server(answer) as unused,
            start_server(wait) as silent,
            start_watch(LONG_TIMEOUT_S) as watched,
        ):
            watched.announce("unused", unused.address)
            await watched.make_idle(unused.address, 2)
            await watched.send(silent.address)
            await wait_until(
                lambda: watched.loss.count(silent.address, True) >= 2
            )
        assert set(watched.pool.dials) == {silent.address}


class TestLoss:
    async def test_server_with_a_full_accept_queue_is_lost(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Its requests would wait for their own timeouts."""
        async with start_server(wait) as server, start_watch() as watched:
            connections = [await watched.send(server.address) for _ in "abc"]
            await wait_until(lambda: len(server.requests) == 3)
            await server.lose_power()
            for connection in connections:
                with pytest.raises(ServerLost):
                    await connection.read_head(LIMIT_S)
            is_lost = watched.loss.is_lost(server.address)
        assert is_lost
        assert watched.loss.dials_to_loss == [LOST_AFTER_DIALS]
        lost = messages(caplog, "backend server lost")
        assert [record.address for record in lost] == [server.address]
        assert [record.waiting for record in lost] == [3]

    async def test_timed_out_dial_of_a_request_finds_the_loss(self) -> None:
        """With no request running there, each new one would dial again."""
        async with start_server(wait) as server, start_watch() as watched:
            watched.announce("s-1", server.address)
            await server.lose_power()
            with pytest.raises(Exception, match="takes no connection"):
                await watched.send(server.address)
            await wait_until(lambda: watched.loss.is_lost(server.address))
            checks = list(watched.loss.checks)
        assert checks[0] == (server.address, False)

    async def test_other_servers_stay_in_use(self) -> None:
        """The checks of a lost server would delay or end those of others."""
        async with (
            start_server(wait) as lost,
            start_server(wait) as silent,
            start_server(flow) as flowing,
            start_watch() as watched,
        ):
            servers = (lost, silent, flowing)
            for server in servers:
                watched.announce(server.address, server.address)
            connections = [await watched.send(s.address) for s in servers]
            await wait_until(lambda: all(s.requests for s in servers))
            await lost.lose_power()
            await wait_until(
                lambda: (
                    watched.loss.count(lost.address, False) >= 2
                    and watched.loss.count(silent.address, True) >= 2
                )
            )
            waiting = [connection.is_waiting for connection in connections]
            addresses = watched.loss.lost
        assert addresses == {lost.address}
        assert waiting == [False, True, True]

    async def test_request_that_must_not_run_twice_is_not_ended(self) -> None:
        """Its answer, which may come late, would never reach its caller."""
        released = anyio.Event()
        async with (
            start_server(answer_after(released)) as server,
            start_watch() as watched,
        ):
            ended = await watched.send(server.address)
            kept = await watched.send(server.address, on_loss="wait")
            await wait_until(lambda: len(server.requests) == 2)
            await watched.lose(server)
            with pytest.raises(ServerLost):
                await ended.read_head(LIMIT_S)
            await wait_until(
                lambda: watched.loss.count(server.address, False) >= 2
            )
            assert kept.is_waiting
            released.set()
            server.get_power()
            head = await kept.read_head(LIMIT_S)
        assert head.status == 200

    async def test_idle_connections_are_closed(self) -> None:
        """A request would wait on one that is silent since the loss."""
        async with (
            start_server(answer) as server,
            start_watch() as watched,
        ):
            watched.announce("s-1", server.address)
            await watched.make_idle(server.address, 3)
            await watched.lose(server)
            await wait_until(lambda: watched.loss.is_lost(server.address))
            idle = watched.pool.idle_count(server.address)
            old = server.connections
            server.get_power()
            await wait_until(lambda: not watched.loss.lost)
            before = len(server.requests)
            await watched.make_idle(server.address, 1)
            received = server.requests[before:]
        assert idle == 0
        assert [request.connection > old for request in received] == [True]


class TestReturn:
    async def test_lost_server_is_dialled_until_it_accepts(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """It would get no work after its return, as no request waits."""
        caplog.set_level(logging.INFO)
        async with start_server(wait) as server, start_watch() as watched:
            watched.announce("s-1", server.address)
            connection = await watched.send(server.address)
            await watched.lose(server)
            with pytest.raises(ServerLost):
                await connection.read_head(LIMIT_S)
            dials = len(watched.pool.dials)
            checks = len(watched.loss.checks)
            await wait_until(lambda: len(watched.loss.checks) > checks)
            later = len(watched.pool.dials) - dials
            later_checks = len(watched.loss.checks) - checks
            server.get_power()
            await wait_until(lambda: not watched.loss.lost)
            dials = len(watched.pool.dials)
            await anyio.sleep(AFTER_S)
            after = len(watched.pool.dials) - dials
        # A dial may have begun at either time.
        assert abs(later - later_checks) <= 1
        assert after == 0
        assert len(messages(caplog, "backend server lost")) == 1
        assert len(messages(caplog, "backend server reached again")) == 1

    async def test_removed_server_is_not_dialled_any_more(self) -> None:
        """A replaced VM would be dialled for as long as the entry runs."""
        async with start_server(wait) as server, start_watch() as watched:
            watched.announce("s-1", server.address)
            connection = await watched.send(server.address)
            await watched.lose(server)
            with pytest.raises(ServerLost):
                await connection.read_head(LIMIT_S)
            watched.control.servers.clear()
            await wait_until(lambda: not watched.loss.lost)
            dials = len(watched.pool.dials)
            await anyio.sleep(AFTER_S)
            after = len(watched.pool.dials) - dials
        assert after == 0


class TestFaults:
    async def test_check_that_raises_is_logged_and_checks_go_on(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """A fault of the check of one server would end the process."""
        async with (
            start_server(wait) as first,
            start_server(wait) as second,
            start_watch() as watched,
        ):
            watched.pool.faulty.add(first.address)
            connections = [
                await watched.send(server.address)
                for server in (first, second)
            ]
            await wait_until(lambda: first.address in watched.pool.dials)
            await watched.lose(second)
            with pytest.raises(ServerLost):
                await connections[1].read_head(LIMIT_S)
            assert connections[0].is_waiting
            watched.pool.faulty.clear()
            await watched.lose(first)
            with pytest.raises(ServerLost):
                await connections[0].read_head(LIMIT_S)
        failed = messages(caplog, "check of a backend server failed")
        assert failed
        assert all(record.exc_info for record in failed)


class TestRequests:
    async def test_lost_server_gets_no_new_requests_until_it_is_back(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """New requests would wait at it for their own timeouts."""
        async with start_routed(
            SETTINGS._replace(connect_timeout_s=CONNECT_TIMEOUT_S)
        ) as loopback:
            set_timeouts(loopback)
            async with start_server(begin) as lost, start_server(go_on) as ok:
                announce(loopback, "s-1", lost)
                loopback.group.start_soon(loopback.ask, "/review/1")
                await wait_until(lambda: bool(lost.requests))
                announce(loopback, "s-2", ok)
                await lost.lose_power()
                await becomes_lost(loopback, lost)
                before = len(lost.requests)
                caplog.set_level(logging.INFO)
                caplog.clear()
                answers = await ask_many(loopback, 10)
                meanwhile = len(lost.requests) - before
                paths = logged_paths(caplog)
                lost.get_power()
                await wait_until(
                    lambda: not loopback.entry.context.server_loss.lost
                )
                del loopback.control.servers["s-2"]
                answers += await ask_many(loopback, 3)
                after = len(lost.requests) - before
        assert (meanwhile, after) == (0, 3)
        assert len(paths) >= 10
        assert not any("NotReached" in path for path in paths)
        assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)

    async def test_idle_connections_are_not_used_after_its_return(
        self,
    ) -> None:
        """They stay silent, as the server knows nothing of them."""
        async with start_routed(
            SETTINGS._replace(connect_timeout_s=CONNECT_TIMEOUT_S)
        ) as loopback:
            set_timeouts(loopback)
            async with start_server(begin) as server:
                announce(loopback, "s-1", server)
                await ask_many(loopback, 4)
                pool = loopback.entry.context.pool
                assert pool.idle_count(server.address)
                await server.lose_power()
                loss = loopback.entry.context.server_loss
                loss.record_timed_out_dial(server.address)
                await becomes_lost(loopback, server)
                old = server.connections
                before = len(server.requests)
                server.get_power()
                await wait_until(lambda: not loss.lost)
                await ask_many(loopback, 4)
                received = server.requests[before:]
        assert len(received) == 4
        assert min(request.connection for request in received) > old

    async def test_late_answer_to_a_call_that_runs_once_is_delivered(
        self,
    ) -> None:
        """Its caller could not learn whether the call has run."""
        released = anyio.Event()
        async with start_routed(
            SETTINGS._replace(connect_timeout_s=CONNECT_TIMEOUT_S)
        ) as loopback:
            set_timeouts(loopback)
            answers: list[bytes] = []

            async def order() -> None:
                answers.append(await loopback.ask("/order/1"))

            async with start_server(answer_after(released)) as server:
                announce(loopback, "s-1", server)
                async with start_server(answer) as other:
                    loopback.group.start_soon(order)
                    await wait_until(lambda: bool(server.requests))
                    announce(loopback, "s-2", other)
                    await server.lose_power()
                    loss = loopback.entry.context.server_loss
                    loss.record_timed_out_dial(server.address)
                    await becomes_lost(loopback, server)
                    await anyio.sleep(0.3)
                    early = list(answers)
                    released.set()
                    server.get_power()
                    await wait_until(lambda: bool(answers))
        assert early == []
        assert answers[0].startswith(b"HTTP/1.1 200")
        assert (len(server.requests), len(other.requests)) == (1, 0)

    async def test_request_is_refused_at_once_when_all_servers_are_lost(
        self,
        caplog: pytest.LogCaptureFixture,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Its caller would wait until its deadline, and not retry.

        An entry that starts waits for servers, so the start is over here.
        """
        monkeypatch.setattr("sycamorestand_entry.start_hold.STARTING_S", 0.0)
        async with start_routed(
            SETTINGS._replace(connect_timeout_s=CONNECT_TIMEOUT_S)
        ) as loopback:
            set_timeouts(loopback)
            async with (
                start_server(answer) as one,
                start_server(answer) as two,
            ):
                announce(loopback, "s-1", one)
                announce(loopback, "s-2", two)
                for server in (one, two):
                    await server.lose_power()
                await loopback.ask("/stock/1")
                await becomes_lost(loopback, one, two)
                caplog.set_level(logging.INFO)
                caplog.clear()
                begin_s = time.monotonic()
                answers = [
                    await loopback.ask(path)
                    for path in ("/stock/1", "/order/1", "/review/1")
                ]
                took_s = time.monotonic() - begin_s
                requests = one.requests + two.requests
        assert took_s < TIMEOUT_S / 2
        for text in answers:
            assert text.startswith(b"HTTP/1.1 503")
            assert b"\r\nretry-after: " in text.lower()
        runs = [r.run for r in caplog.records if hasattr(r, "told_status")]
        assert runs == ["not_run"] * 3
        paths = logged_paths(caplog)
        assert not any("NotReached" in path for path in paths)
        assert requests == []

    async def test_loss_in_a_stream_is_no_failure_of_its_version(self) -> None:
        """A power loss would roll back a good version."""
        async with start_routed(
            SETTINGS._replace(connect_timeout_s=CONNECT_TIMEOUT_S)
        ) as loopback:
            set_timeouts(loopback)
            answers: list[bytes] = []

            async def review() -> None:
                answers.append(await loopback.ask("/review/1"))

            async with start_server(begin) as lost, start_server(go_on) as ok:
                announce(loopback, "s-1", lost)
                loopback.group.start_soon(review)
                await wait_until(lambda: bool(loopback.control.samples))
                announce(loopback, "s-2", ok)
                await lost.lose_power()
                await wait_until(lambda: bool(answers))
                was_lost = loopback.entry.context.server_loss.lost
                samples = list(loopback.control.samples)
        assert was_lost == {lost.address}
        assert answers[0].endswith(END)
        assert len(ok.requests) == 1
        assert len(samples) >= 2
        assert not any(sample.failed for sample in samples)


async def answer(request: bytes, send: Send) -> None:
    """Answer the request at once."""
    await send(answer_bytes(request))


async def wait(request: bytes, send: Send) -> None:
    """Never answer."""
    await anyio.sleep_forever()


async def flow(request: bytes, send: Send) -> None:
    """Answer with an endless stream."""
    await send(stream_head(request))
    number = 0
    while True:
        number += 1
        await send(event(number))
        await anyio.sleep(0.05)


async def begin(request: bytes, send: Send) -> None:
    """Begin a stream without an end, or answer another request."""
    if b"/review/" in request:
        await send(stream_head(request) + event(1))
        await anyio.sleep_forever()
    await anyio.sleep(0.1)
    await answer(request, send)


async def go_on(request: bytes, send: Send) -> None:
    """Go on with a stream after its first event, or answer a request."""
    if b"/review/" not in request:
        await answer(request, send)
        return
    assert b"last-event-id: 1\r\n" in request
    await send(stream_head(request) + event(2) + END)


def answer_after(released: anyio.Event) -> Answer:
    """Return what answers requests once they are released."""

    async def answer_late(request: bytes, send: Send) -> None:
        await released.wait()
        await answer(request, send)

    return answer_late


def announcement(name: str, address: str) -> Announcement:
    """Return the announcement of a server that can run many requests."""
    return Announcement(
        name, "service", address, "marietta", 1, 1, ("stock",), capacity=64
    )


def announce(loopback: RoutedLoopback, name: str, server: Server) -> None:
    """Announce the server."""
    loopback.control.servers[name] = announcement(name, server.address)


def set_timeouts(loopback: RoutedLoopback) -> None:
    """Let all calls have more time than the checks take."""
    in_force = loopback.control.in_force()
    declared = in_force.declarations
    routes = {
        name: route._replace(timeout_ms=int(TIMEOUT_S * 1000))
        for name, route in declared.routes.items()
    }
    loopback.control.configuration = in_force._replace(
        declarations=declared._replace(routes=routes)
    )


async def ask_many(loopback: RoutedLoopback, count: int) -> list[bytes]:
    """Return the answers to idempotent calls that run at the same time."""
    answers: list[bytes] = []

    async def ask() -> None:
        answers.append(await loopback.ask("/stock/1"))

    async with anyio.create_task_group() as group:
        for _ in range(count):
            group.start_soon(ask)
    return answers


async def becomes_lost(loopback: RoutedLoopback, *servers: Server) -> None:
    """Wait until exactly these servers are lost."""
    loss = loopback.entry.context.server_loss
    addresses = {server.address for server in servers}
    await wait_until(lambda: loss.lost == addresses)


@asynccontextmanager
async def start_server(answer: Answer) -> AsyncIterator[Server]:
    """Start a server that has power."""
    server = Server(answer)
    server.get_power()
    try:
        yield server
    finally:
        await server.close()


@asynccontextmanager
async def start_watch(
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
) -> AsyncIterator[Watched]:
    """Start checks of servers."""
    watched = Watched(connect_timeout_s)
    async with anyio.create_task_group() as group:
        group.start_soon(watched.watch.run)
        yield watched
        group.cancel_scope.cancel()
    watched.pool.close()


def messages(
    caplog: pytest.LogCaptureFixture, message: str
) -> list[logging.LogRecord]:
    """Return the log lines with this message."""
    return [r for r in caplog.records if r.getMessage() == message]


def logged_paths(caplog: pytest.LogCaptureFixture) -> list[str]:
    """Return the decisions on each request that has ended."""
    return [r.path for r in caplog.records if hasattr(r, "path")]


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds; fail if it does not in `LIMIT_S`."""
    with anyio.fail_after(LIMIT_S):
        while not condition():
            await anyio.sleep(0.01)
