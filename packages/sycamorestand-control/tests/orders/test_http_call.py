from __future__ import annotations

import anyio
from anyio.abc import SocketStream
import pytest

from sycamorestand_bench.fakes.raw_server import read_request
from sycamorestand_bench.fakes.raw_server import serve_stream
from sycamorestand_control.orders.http_call import call_once
from sycamorestand_control.orders.http_call import NoAnswer

pytestmark = pytest.mark.anyio


class TestCallOnce:
    @pytest.mark.parametrize(
        "fields",
        [b"content-length: 2\r\n", b"transfer-encoding: chunked\r\n", b""],
        ids=["length", "chunks", "close"],
    )
    async def test_head_cut_at_any_byte_is_no_answer(
        self, fields: bytes
    ) -> None:
        """An engine that stops in an answer's head has accepted nothing."""
        head = b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n"
        for length in range(len(head)):
            await self.expect_no_answer(head[:length])

    async def expect_no_answer(self, answer: bytes) -> None:
        """Call a server that sends these bytes and closes cleanly."""

        async def handle(stream: SocketStream) -> None:
            async with stream:
                await read_request(stream)
                await stream.send(answer)

        async with anyio.create_task_group() as group:
            address = await group.start(serve_stream, handle)
            with pytest.raises(NoAnswer):
                await call_once("POST", f"http://{address}/load", b"{}", 5.0)
            group.cancel_scope.cancel()
