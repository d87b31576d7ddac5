"""The pool of idle connections to backend servers."""

from __future__ import annotations

import anyio
import msgspec
import pytest

from sycamorestand_bench.fakes.loopback import serve_on_port
from sycamorestand_bench.fakes.service import FakeService
from sycamorestand_entry.upstream import ConnectFailed
from sycamorestand_entry.upstream import UpstreamConnection
from sycamorestand_entry.upstream_pool import MAX_IDLE
from sycamorestand_entry.upstream_pool import UpstreamPool

pytestmark = pytest.mark.anyio

REQUEST = b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n"


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
        "address", ["127.0.0.1:1", "127.0.0.1:x", "nowhere", ""]
    )
    async def test_bad_address_raises_connect_failed(
        self, address: str
    ) -> None:
        pool = UpstreamPool(0.5, 30.0)
        with pytest.raises(ConnectFailed):
            await pool.acquire(address, 30.0)
