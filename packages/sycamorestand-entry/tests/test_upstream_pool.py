"""The pool of idle connections to backend servers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
import math
import socket
import time

import anyio
from anyio.abc import SocketStream
import msgspec
import pytest

from sycamorestand_bench.fakes.loopback import serve_on_port
from sycamorestand_bench.fakes.raw_server import read_request
from sycamorestand_bench.fakes.raw_server import serve_stream
from sycamorestand_bench.fakes.service import FakeService
from sycamorestand_decisions.server_loss import ServerLoss
from sycamorestand_entry.upstream import ConnectFailed
from sycamorestand_entry.upstream import ConnectTimedOut
from sycamorestand_entry.upstream import OnLoss
from sycamorestand_entry.upstream import ServerLost
from sycamorestand_entry.upstream import UpstreamConnection
from sycamorestand_entry.upstream_pool import MAX_IDLE
from sycamorestand_entry.upstream_pool import UpstreamPool

pytestmark = pytest.mark.anyio

REQUEST = b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n"
# The server of `start_server` does not answer these two, or only begins to.
SILENT_REQUEST = REQUEST.replace(b"/x", b"/silent")
BEGUN_REQUEST = REQUEST.replace(b"/x", b"/begun")
LIMIT_S = 5.0


async def exchange(pool: UpstreamPool, address: str) -> UpstreamConnection:
    """Send a request, read its answer and return the connection."""
    connection = await pool.acquire(address, 30.0)
    connection.send(REQUEST)
    await connection.read_head(5.0)
    while await connection.read_body(5.0):
        pass
    return connection


class TestUpstreamPool:
    async def test_young_connection_is_reused(self) -> None:
        service = FakeService("s-1", ("orders",))
        async with serve_on_port(service.application) as address:
            pool = UpstreamPool(1.0, 30.0)
            first = await exchange(pool, address)
            pool.release(address, first)
            assert await pool.acquire(address, 30.0) is first
            pool.release(address, first)
            assert await pool.acquire(address, 0.0) is not first
            pool.close()

    async def test_burst_leaves_a_limited_number(self) -> None:
        service = FakeService("s-1", ("orders",))
        async with serve_on_port(service.application) as address:
            pool = UpstreamPool(1.0, 30.0)
            many = [await exchange(pool, address) for _ in range(MAX_IDLE + 9)]
            for connection in many:
                pool.release(address, connection)
            assert pool.idle_count(address) == MAX_IDLE
            pool.close()

    async def test_unread_answer_does_not_reach_the_next_caller(self) -> None:
        """A cascade drops a short answer because of its head.

        All of the answer has arrived, so the connection is reused. The next
        caller got the dropped body before its own.
        """
        service = FakeService("s-1", ("orders",))
        async with serve_on_port(service.application) as address:
            pool = UpstreamPool(1.0, 30.0)
            connection = await pool.acquire(address, 30.0)
            connection.send(REQUEST)
            await connection.read_head(5.0)
            with anyio.fail_after(5):
                while not connection.usable:
                    await anyio.sleep(0.01)
            pool.release(address, connection)
            again = await pool.acquire(address, 30.0)
            assert again is connection
            again.send(REQUEST)
            await again.read_head(5.0)
            body = b""
            while part := await again.read_body(5.0):
                body += part
            assert msgspec.json.decode(body)["run"] == 2
            pool.close()

    async def test_connection_with_an_unfinished_answer_is_closed(
        self,
    ) -> None:
        service = FakeService("s-1", ("orders",))
        async with serve_on_port(service.application) as address:
            pool = UpstreamPool(1.0, 30.0)
            connection = await pool.acquire(address, 30.0)
            connection.send(REQUEST)
            pool.release(address, connection)
            assert pool.idle_count(address) == 0

    @pytest.mark.parametrize(
        "address",
        ["127.0.0.1:1", "127.0.0.1:70000", "127.0.0.1:x", "nowhere", ""],
    )
    async def test_bad_address_raises_connect_failed(
        self, address: str
    ) -> None:
        pool = UpstreamPool(0.5, 30.0)
        with pytest.raises(ConnectFailed):
            await pool.acquire(address, 30.0)

    async def test_pause_of_the_process_is_no_timeout(self) -> None:
        """All dials of a burst failed at servers that had accepted them."""
        service = FakeService("s-1", ("orders",))
        async with serve_on_port(service.application) as address:
            pool = UpstreamPool(0.1, 30.0)
            asyncio.get_running_loop().call_soon(time.sleep, 0.2)
            connection = await pool.acquire(address, 0.0)
            connection.close()


class TestOpenConnections:
    async def test_address_is_listed_while_a_connection_is_open(self) -> None:
        """Addresses of removed servers would be kept without end."""
        async with start_server() as address:
            pool = UpstreamPool(1.0, 30.0)
            assert pool.addresses_in_use() == []
            first = await send(pool, address, SILENT_REQUEST)
            second = await send(pool, address, SILENT_REQUEST)
            assert pool.addresses_in_use() == [address]
            first.close()
            await end_connections()
            assert pool.addresses_in_use() == [address]
            second.close()
            await end_connections()
            assert pool.addresses_in_use() == []

    async def test_connection_that_the_server_closes_is_dropped(self) -> None:
        """A server that closes would count as silent without end."""
        async with start_server() as address:
            pool = UpstreamPool(1.0, 30.0)
            await send(pool, address, REQUEST.replace(b"/x", b"/close"))
            await dropped(pool, address)
            assert pool.waiting_since_s(address) == math.inf
            assert pool.last_byte_s(address) == -math.inf

    async def test_idle_connections_are_not_in_use(self) -> None:
        """Servers without any request would be looked at each time."""
        async with start_server() as address:
            pool = UpstreamPool(1.0, 30.0)
            connection = await exchange(pool, address)
            assert pool.addresses_in_use() == [address]
            pool.release(address, connection)
            assert pool.addresses_in_use() == []
            assert await pool.acquire(address, 30.0) is connection
            assert pool.addresses_in_use() == [address]
            connection.close()
            await dropped(pool, address)

    async def test_failed_dial_opens_no_connection(self) -> None:
        async with full_listener() as address:
            pool = UpstreamPool(0.1, 30.0)
            with pytest.raises(ConnectTimedOut):
                await pool.acquire(address, 30.0)
            assert pool.addresses_in_use() == []


class TestWaitingSince:
    async def test_no_request_waits_at_an_unused_address(self) -> None:
        assert UpstreamPool(1.0, 30.0).waiting_since_s("a:1") == math.inf

    async def test_no_request_waits_on_a_new_or_an_idle_connection(
        self,
    ) -> None:
        """Servers without any request would be dialled as silent ones."""
        async with start_server() as address:
            pool = UpstreamPool(1.0, 30.0)
            connection = await pool.acquire(address, 30.0)
            assert pool.waiting_since_s(address) == math.inf
            pool.release(address, connection)
            pool.release(address, await exchange(pool, address))
            assert pool.idle_count(address) == 1
            assert pool.waiting_since_s(address) == math.inf
            pool.close()

    async def test_oldest_request_counts(self) -> None:
        """Each new request would put off the check of a silent server."""
        async with start_server() as address:
            pool = UpstreamPool(1.0, 30.0)
            connections = []
            for _ in range(3):
                connections.append(await send(pool, address, SILENT_REQUEST))
                await anyio.sleep(0.02)
            sent_s = [connection.sent_s for connection in connections]
            assert sent_s == sorted(set(sent_s))
            assert pool.waiting_since_s(address) == sent_s[0]
            connections[0].close()
            await end_connections()
            assert pool.waiting_since_s(address) == sent_s[1]
            for connection in connections:
                connection.close()

    async def test_begun_answer_waits_until_it_is_complete(self) -> None:
        """A server would not be checked if it is lost in mid-answer."""
        async with start_server() as address:
            pool = UpstreamPool(1.0, 30.0)
            connection = await send(pool, address, BEGUN_REQUEST)
            await connection.read_head(LIMIT_S)
            assert pool.waiting_since_s(address) == connection.sent_s
            connection.close()

    async def test_reused_connection_counts_from_its_last_request(
        self,
    ) -> None:
        """A server would count as silent for the time of the pause."""
        async with start_server() as address:
            pool = UpstreamPool(1.0, 30.0)
            connection = await exchange(pool, address)
            earlier_s = connection.sent_s
            pool.release(address, connection)
            await anyio.sleep(0.02)
            again = await send(pool, address, SILENT_REQUEST)
            assert again is connection
            assert pool.waiting_since_s(address) == again.sent_s > earlier_s
            again.close()

    async def test_other_addresses_do_not_count(self) -> None:
        async with start_server() as address, start_server() as other:
            pool = UpstreamPool(1.0, 30.0)
            connection = await send(pool, address, SILENT_REQUEST)
            idle = await exchange(pool, other)
            assert pool.waiting_since_s(other) == math.inf
            assert pool.last_byte_s(address) == -math.inf
            assert pool.last_byte_s(other) > idle.sent_s
            connection.close()
            idle.close()


class TestLastByte:
    async def test_no_byte_came_from_an_unused_address(self) -> None:
        assert UpstreamPool(1.0, 30.0).last_byte_s("a:1") == -math.inf

    async def test_last_byte_of_all_connections_counts(self) -> None:
        """A server that sends on one of them would count as silent."""
        async with start_server() as address:
            pool = UpstreamPool(1.0, 30.0)
            silent = await send(pool, address, SILENT_REQUEST)
            assert pool.last_byte_s(address) == -math.inf
            first = await exchange(pool, address)
            first_s = pool.last_byte_s(address)
            await anyio.sleep(0.02)
            second = await exchange(pool, address)
            assert first_s < second.sent_s < pool.last_byte_s(address)
            for connection in (silent, first, second):
                connection.close()

    async def test_last_byte_of_a_closed_connection_counts(self) -> None:
        """A server would seem to be silent once its last answer is read."""
        async with start_server() as address:
            pool = UpstreamPool(1.0, 30.0)
            silent = await send(pool, address, SILENT_REQUEST)
            first = await exchange(pool, address)
            await anyio.sleep(0.02)
            second = await exchange(pool, address)
            last_byte_s = pool.last_byte_s(address)
            for connection in (second, first):
                connection.close()
                await end_connections()
                assert pool.last_byte_s(address) == last_byte_s
            silent.close()
            await dropped(pool, address)
            assert pool.last_byte_s(address) == -math.inf


class TestReactToLoss:
    async def test_only_requests_that_may_be_ended_are_ended(self) -> None:
        """A call that must not run twice would lose its late answer."""
        async with start_server() as address:
            pool = UpstreamPool(1.0, 30.0)
            ended = [
                await send(pool, address, request, on_loss="end")
                for request in (SILENT_REQUEST, BEGUN_REQUEST)
            ]
            kept = await send(pool, address, SILENT_REQUEST, "wait")
            await ended[1].read_head(LIMIT_S)
            assert pool.react_to_loss(address) == 2
            with pytest.raises(ServerLost):
                await ended[0].read_head(LIMIT_S)
            with pytest.raises(ServerLost):
                while await ended[1].read_body(LIMIT_S):
                    pass
            assert kept.is_waiting
            await end_connections()
            assert pool.waiting_since_s(address) == math.inf
            assert pool.react_to_loss(address) == 0
            kept.close()

    async def test_request_that_waits_is_woken(self) -> None:
        """It would go on only after its own timeout."""
        async with start_server() as address:
            pool = UpstreamPool(1.0, 30.0)
            connection = await send(
                pool, address, SILENT_REQUEST, on_loss="end"
            )
            reading = asyncio.create_task(connection.read_head(60.0))
            await anyio.sleep(0.02)
            assert not reading.done()
            pool.react_to_loss(address)
            with anyio.fail_after(LIMIT_S), pytest.raises(ServerLost):
                await reading

    async def test_idle_connections_are_closed_and_not_counted(self) -> None:
        """A request would be sent on one that stays silent."""
        async with start_server() as address, start_server() as other:
            pool = UpstreamPool(1.0, 30.0)
            idle = [await exchange(pool, address) for _ in range(3)]
            for connection in idle:
                pool.release(address, connection)
            pool.release(other, await exchange(pool, other))
            assert pool.react_to_loss(address) == 0
            assert (pool.idle_count(address), pool.idle_count(other)) == (0, 1)
            await end_connections()
            assert not any(connection.usable for connection in idle)
            assert await pool.acquire(address, 30.0) not in idle
            pool.close()

    async def test_complete_answer_is_not_lost(self) -> None:
        """A call would run again although its whole answer has come."""
        async with start_server() as address:
            pool = UpstreamPool(1.0, 30.0)
            connection = await send(pool, address, REQUEST, on_loss="end")
            await connection.read_head(LIMIT_S)
            with anyio.fail_after(LIMIT_S):
                while connection.is_waiting:
                    await anyio.sleep(0.01)
            assert pool.react_to_loss(address) == 0
            assert await connection.read_body(LIMIT_S) == b"ok"
            assert await connection.read_body(LIMIT_S) == b""
            connection.close()

    async def test_next_request_on_a_connection_has_its_own_mark(
        self,
    ) -> None:
        """A call that must not run twice would be ended, as one before it."""
        async with start_server() as address:
            pool = UpstreamPool(1.0, 30.0)
            connection = await send(pool, address, REQUEST, on_loss="end")
            await connection.read_head(LIMIT_S)
            while await connection.read_body(LIMIT_S):
                pass
            connection.send(SILENT_REQUEST)
            assert pool.react_to_loss(address) == 0
            assert connection.is_waiting
            connection.close()

    async def test_unused_address_has_nothing_to_end(self) -> None:
        assert UpstreamPool(1.0, 30.0).react_to_loss("a:1") == 0


class TestTimedOutDial:
    async def test_timed_out_dial_makes_its_server_suspected(self) -> None:
        """A server without a running request would not be checked."""
        async with full_listener() as address:
            loss = ServerLoss()
            pool = UpstreamPool(0.1, 30.0, loss)
            with pytest.raises(ConnectTimedOut):
                await pool.acquire(address, 30.0)
        assert loss.suspected == {address}
        assert not loss.lost

    async def test_refused_dial_makes_no_server_suspected(self) -> None:
        """A server whose process has ended would be dialled at each poll."""
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{unused.getsockname()[1]}"
            loss = ServerLoss()
            pool = UpstreamPool(1.0, 30.0, loss)
            with pytest.raises(ConnectFailed) as raised:
                await pool.acquire(address, 30.0)
        assert not isinstance(raised.value, ConnectTimedOut)
        assert not loss.suspected

    async def test_dial_that_is_cancelled_makes_no_server_suspected(
        self,
    ) -> None:
        """Callers that leave would make the entry dial their servers."""
        async with full_listener() as address:
            loss = ServerLoss()
            pool = UpstreamPool(30.0, 30.0, loss)
            with anyio.move_on_after(0.1) as scope:
                await pool.acquire(address, 30.0)
        assert scope.cancelled_caught
        assert not loss.suspected


async def send(
    pool: UpstreamPool,
    address: str,
    request: bytes,
    on_loss: OnLoss = "end",
) -> UpstreamConnection:
    """Send a request and return its connection."""
    connection = await pool.acquire(address, 30.0)
    connection.send(request, on_loss=on_loss)
    return connection


async def end_connections() -> None:
    """Let the event loop report the end of connections that were closed."""
    for _ in range(3):
        await asyncio.sleep(0)


async def dropped(pool: UpstreamPool, address: str) -> None:
    """Wait until no connection to the address is open."""
    with anyio.fail_after(LIMIT_S):
        while address in pool.addresses_in_use():
            await anyio.sleep(0.01)


@asynccontextmanager
async def start_server() -> AsyncIterator[str]:
    """Start a server that answers by the path, and yield its address."""

    async def handle(stream: SocketStream) -> None:
        async with stream:
            while True:
                try:
                    request = await read_request(stream)
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                if b"/close" in request:
                    return
                if b"/silent" in request:
                    continue
                is_begun = b"/begun" in request
                body = b"o" if is_begun else b"ok"
                head = b"HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\n"
                await stream.send(head + body)

    async with anyio.create_task_group() as group:
        yield await group.start(serve_stream, handle)
        group.cancel_scope.cancel()


@asynccontextmanager
async def full_listener() -> AsyncIterator[str]:
    """Yield the address of a server whose accept queue is full."""
    with socket.socket() as listener, socket.socket() as queued:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        queued.connect(listener.getsockname())
        yield f"127.0.0.1:{listener.getsockname()[1]}"
