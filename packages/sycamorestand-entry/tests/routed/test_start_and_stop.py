"""An entry's start and planned stop, as callers on routes see them."""

from __future__ import annotations

import anyio
from anyio.abc import SocketStream
import pytest

from sycamorestand_bench.fakes.control_port import FakeControlPort
from sycamorestand_bench.fakes.control_port import FakeLedger
from sycamorestand_bench.fakes.declared import guild_configuration
from sycamorestand_bench.fakes.routed import answer_bytes
from sycamorestand_bench.fakes.routed import event
from sycamorestand_bench.fakes.routed import read_to_end
from sycamorestand_bench.fakes.routed import request_bytes
from sycamorestand_bench.fakes.routed import routed_configuration
from sycamorestand_bench.fakes.routed import SETTINGS
from sycamorestand_bench.fakes.routed import start_routed
from sycamorestand_bench.fakes.routed import stream_head
from sycamorestand_entry.server import wait_until_useful

pytestmark = pytest.mark.anyio


class TestStart:
    async def test_waits_for_routes_and_a_lease(self) -> None:
        """An entry has just started again; callers still know its address.

        It must not listen before it can answer: they would be refused
        where a closed port sends them to another entry.
        """
        control = FakeControlPort(guild_configuration(), FakeLedger())
        done = anyio.Event()

        async def wait() -> None:
            await wait_until_useful(control, anyio.Event())
            done.set()

        async with anyio.create_task_group() as group:
            group.start_soon(wait)
            await anyio.sleep(0.2)
            assert not done.is_set()
            control.configuration = routed_configuration()
            with anyio.fail_after(5):
                await done.wait()

    async def test_ends_with_a_stop(self) -> None:
        control = FakeControlPort(guild_configuration(), FakeLedger())
        stop = anyio.Event()
        stop.set()
        with anyio.fail_after(5):
            await wait_until_useful(control, stop)


class TestBoundedStop:
    async def test_idle_connections_do_not_hold_it(self) -> None:
        """A caller keeps an idle connection; the entry is stopped.

        To wait for that connection's timer takes longer than a process is
        given to stop; it would be killed with what still runs.
        """

        async def handler(request: bytes, stream: SocketStream) -> None:
            await stream.send(answer_bytes(request))

        settings = SETTINGS._replace(stop_limit_s=5.0, keep_alive_s=60)
        async with start_routed(settings) as loopback:
            await loopback.add_server("s-1", handler)
            async with await loopback.connect() as stream:
                request = request_bytes("/order/1").replace(b"close", b"x")
                await stream.send(request)
                assert await stream.receive()
                loopback.entry.begin_stop()
                with anyio.fail_after(4):
                    await loopback.entry.stopped.wait()

    async def test_stream_that_runs_is_finished(self) -> None:
        async def handler(request: bytes, stream: SocketStream) -> None:
            await stream.send(stream_head(request) + event(1))
            await anyio.sleep(1.0)
            await stream.send(event(2) + b"0\r\n\r\n")

        settings = SETTINGS._replace(stop_limit_s=8.0)
        async with start_routed(settings) as loopback:
            await loopback.add_server("s-1", handler)
            async with await loopback.connect() as stream:
                await stream.send(request_bytes("/review/1"))
                begin = await stream.receive()
                loopback.entry.begin_stop()
                answer = begin + await read_to_end(stream)
            with anyio.fail_after(7):
                await loopback.entry.stopped.wait()
        assert b"id: 2" in answer
        assert answer.endswith(b"0\r\n\r\n")

    async def test_stream_without_an_end_is_broken_off(self) -> None:
        """A stream runs on beyond the time that a process is given.

        The entry ends by itself before it would be killed, and the stream
        does not look complete.
        """

        async def handler(request: bytes, stream: SocketStream) -> None:
            await stream.send(stream_head(request) + event(1))
            await anyio.sleep(30)

        settings = SETTINGS._replace(stop_limit_s=0.8)
        async with start_routed(settings) as loopback:
            await loopback.add_server("s-1", handler)
            async with await loopback.connect() as stream:
                await stream.send(request_bytes("/review/1"))
                begin = await stream.receive()
                loopback.entry.begin_stop()
                with anyio.fail_after(5):
                    answer = begin + await read_to_end(stream)
                    await loopback.entry.stopped.wait()
        assert not answer.endswith(b"0\r\n\r\n")
