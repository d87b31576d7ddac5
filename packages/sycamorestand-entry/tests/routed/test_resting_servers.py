"""A server that asks for rest in an answer gets no further requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from sycamorestand_bench.fakes.entry_group import status
from sycamorestand_bench.fakes.routed import answer_bytes
from sycamorestand_bench.fakes.routed import answer_head
from sycamorestand_bench.fakes.routed import event
from sycamorestand_bench.fakes.routed import start_routed
from sycamorestand_bench.fakes.routed import stream_head

if TYPE_CHECKING:
    from anyio.abc import SocketStream

    from sycamorestand_bench.fakes.routed import RoutedLoopback

pytestmark = pytest.mark.anyio
REST_S = 3.0


class Resting:
    """A server that turns requests away and asks for rest."""

    def __init__(self, retry_after: str = str(REST_S)) -> None:
        self.retry_after = retry_after

    async def answer(self, request: bytes, stream: SocketStream) -> None:
        if not self.retry_after:
            await stream.send(answer_bytes(request))
            return
        lines = [b"content-length: 0", b"x-not-run: 1"]
        lines.append(b"retry-after: " + self.retry_after.encode())
        await stream.send(answer_head(request, *lines, status=503))


async def answer_ok(request: bytes, stream: SocketStream) -> None:
    await stream.send(answer_bytes(request))


async def answer_stream(request: bytes, stream: SocketStream) -> None:
    await stream.send(stream_head(request) + event(1) + b"0\r\n\r\n")


def received(loopback: RoutedLoopback, server: str) -> int:
    return sum(name == server for name, _ in loopback.requests)


class TestRest:
    @pytest.mark.parametrize(
        ("path", "answer"),
        [
            ("/stock/1", answer_ok),
            ("/order/1", answer_ok),
            ("/review/1", answer_stream),
        ],
    )
    async def test_server_at_rest_gets_no_requests(
        self, path: str, answer: object
    ) -> None:
        """A server that had asked for rest got five requests meanwhile."""
        async with start_routed() as loopback:
            await loopback.add_server("s-1", Resting().answer)
            await loopback.add_server("s-2", answer)  # type: ignore[arg-type]
            for number in range(40):
                await loopback.ask(path, x_attempt=f"a{number}")
            assert received(loopback, "s-1") == 1
            assert received(loopback, "s-2") >= 39

    async def test_calls_are_refused_at_once_while_all_rest(self) -> None:
        """A call went from one server at rest to the next, for a 503."""
        async with start_routed() as loopback:
            for name in ("s-1", "s-2"):
                await loopback.add_server(name, Resting().answer)
            await loopback.ask("/stock/1")
            with anyio.fail_after(0.5):
                answer = await loopback.ask("/stock/1", x_attempt="a2")
        assert status(answer) == 503
        assert b"retry-after: " in answer.lower()
        assert len(loopback.requests) == 2
