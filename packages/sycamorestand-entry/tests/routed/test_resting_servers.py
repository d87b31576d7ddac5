"""A server that asks for rest in an answer gets no further requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from sycamorestand_bench.fakes.declared import LARGE
from sycamorestand_bench.fakes.engine import FakeEngine
from sycamorestand_bench.fakes.entry_group import status
from sycamorestand_bench.fakes.faults import Fault
from sycamorestand_bench.fakes.loopback import start_loopback
from sycamorestand_bench.fakes.routed import answer_bytes
from sycamorestand_bench.fakes.routed import answer_head
from sycamorestand_bench.fakes.routed import event
from sycamorestand_bench.fakes.routed import start_entries
from sycamorestand_bench.fakes.routed import start_routed
from sycamorestand_bench.fakes.routed import stream_head
from sycamorestand_bench.fakes.routed import with_sizes
from sycamorestand_bench.fakes.service import FakeService

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

    async def test_call_waits_for_the_end_of_a_short_rest(self) -> None:
        """A call that could wait was refused."""
        async with start_routed() as loopback:
            server = Resting("0.2")
            await loopback.add_server("s-1", server.answer)
            assert status(await loopback.ask("/order/1")) == 503
            server.retry_after = ""
            answer = await loopback.ask("/stock/1", x_attempt="a2")
        assert status(answer) == 200
        assert received(loopback, "s-1") == 2

    async def test_calls_that_waited_come_one_by_one(self) -> None:
        """All that waited reached the server as its rest ended."""
        running, most = 0, 0

        async def answer(request: bytes, stream: SocketStream) -> None:
            nonlocal running, most
            running += 1
            most = max(most, running)
            await anyio.sleep(0.1)
            running -= 1
            await stream.send(answer_bytes(request))

        async with start_routed() as loopback:
            await loopback.add_server("s-1", Resting("0.3").answer)
            await loopback.ask("/stock/1")
            await loopback.add_server("s-1", answer)
            async with anyio.create_task_group() as callers:
                for number in range(20):
                    callers.start_soon(ask_stock, loopback, f"b{number}")
                await anyio.sleep(0.5)
                assert received(loopback, "s-1") <= 4
        assert most <= 8

    async def test_refused_callers_return_at_different_moments(self) -> None:
        """All callers were told the same time, and came back at once."""
        async with start_routed() as loopback:
            await loopback.add_server("s-1", Resting().answer)
            await loopback.ask("/stock/1")
            answers = [
                await loopback.ask("/stock/1", x_attempt=f"a{number}")
                for number in range(10)
            ]
        assert all(status(answer) == 503 for answer in answers)
        times = {retry_after_s(answer) for answer in answers}
        assert len(times) >= 8
        assert min(times) >= REST_S - 0.5

    async def test_server_that_started_again_gets_requests(self) -> None:
        async with start_routed() as loopback:
            await loopback.add_server("s-1", Resting().answer)
            await loopback.ask("/stock/1")
            await loopback.add_server("s-1", answer_ok)
            servers = loopback.control.servers
            servers["s-1"] = servers["s-1"]._replace(incarnation=2)
            answer = await loopback.ask("/stock/1", x_attempt="a2")
        assert status(answer) == 200

    async def test_server_whose_announcement_ran_out_keeps_its_rest(
        self,
    ) -> None:
        """It was announced again and got requests within its rest."""
        async with start_routed() as loopback:
            servers = loopback.control.servers

            async def answer(request: bytes, stream: SocketStream) -> None:
                announced = servers.pop("s-1")
                await Resting().answer(request, stream)
                await anyio.sleep(0.05)
                servers["s-1"] = announced

            await loopback.add_server("s-1", answer)
            await loopback.ask("/order/1")
            await anyio.sleep(0.1)
            again = await loopback.ask("/order/1", x_attempt="a2")
        assert status(again) == 503
        assert received(loopback, "s-1") == 1

    async def test_report_that_it_is_ready_does_not_end_a_rest(self) -> None:
        """A server's announcement is older than its answer."""
        async with start_routed() as loopback:
            await loopback.add_server("s-1", Resting().answer)
            await loopback.ask("/stock/1")
            servers = loopback.control.servers
            servers["s-1"] = servers["s-1"]._replace(sequence=9)
            answer = await loopback.ask("/stock/1", x_attempt="a2")
        assert status(answer) == 503
        assert received(loopback, "s-1") == 1

    async def test_rest_is_for_the_entry_that_was_turned_away(self) -> None:
        async with start_entries(2) as (first, second):
            await first.add_server("s-1", Resting().answer)
            for _ in range(3):
                await first.ask("/stock/1")
            assert len(first.requests) == 1
            await second.ask("/stock/1")
            assert len(first.requests) == 2

    async def test_escalation_does_not_go_to_a_server_at_rest(self) -> None:
        """An answer was dropped for a server that had asked for rest."""

        async def answer(request: bytes, stream: SocketStream) -> None:
            head = stream_head(request)[:-2] + b"x-confidence: 5\r\n\r\n"
            await stream.send(head + event(1) + b"0\r\n\r\n")

        async with start_routed() as loopback:
            control = loopback.control
            control.configuration = with_sizes(control.configuration)
            await loopback.add_server("s-1", Resting().answer)
            await loopback.add_server("s-2", answer)
            for number in range(12):
                await loopback.ask(
                    "/review/1", x_attempt=f"a{number}", x_model="*"
                )
        assert received(loopback, "s-1") == 1


class TestOwnInterface:
    @pytest.mark.parametrize("method", ["GET", "POST"])
    async def test_service_at_rest_gets_no_requests(self, method: str) -> None:
        """The project's own interface did not read the header either."""
        async with start_loopback() as loopback:
            service = FakeService("orders-1", ("orders",))
            service.switch.fault = Fault("refuse", times=1, rest_s=REST_S)
            await loopback.add_service(service)
            path = "/services/orders/sheets"
            for number in range(4):
                key = f"k-{number}"
                answer = await loopback.call(method, path, Idempotency_Key=key)
                assert answer.status in (429, 503)
        assert service.records == []

    async def test_engine_at_rest_gets_no_chats(self) -> None:
        async with start_loopback() as loopback:
            engine = FakeEngine("engine-1", (LARGE,))
            engine.switch.fault = Fault("refuse", times=1, rest_s=REST_S)
            await loopback.add_engine(engine)
            for number in range(4):
                answer = await loopback.chat(Idempotency_Key=f"k-{number}")
                assert answer.status in (429, 503)
        assert engine.records == []


class TestLeaving:
    @pytest.mark.parametrize("path", ["/stock/1", "/order/1"])
    async def test_server_that_says_so_gets_no_more(self, path: str) -> None:
        """Requests went to the server until its announcement came."""

        async def leave(request: bytes, stream: SocketStream) -> None:
            lines = [b"content-length: 2", b"x-leaving: 1"]
            await stream.send(answer_head(request, *lines) + b"ok")

        async with start_routed() as loopback:
            await loopback.add_server("s-1", leave)
            await loopback.add_server("s-2", answer_ok)
            for number in range(20):
                answer = await loopback.ask(path, x_attempt=f"a{number}")
                assert status(answer) == 200
        assert received(loopback, "s-1") <= 1

    async def test_calls_are_refused_at_once_when_all_leave(self) -> None:
        async def leave(request: bytes, stream: SocketStream) -> None:
            lines = [b"content-length: 2", b"x-leaving: 1"]
            await stream.send(answer_head(request, *lines) + b"ok")

        async with start_routed() as loopback:
            await loopback.add_server("s-1", leave)
            assert status(await loopback.ask("/order/1")) == 200
            with anyio.fail_after(0.5):
                answer = await loopback.ask("/order/1", x_attempt="a2")
        assert status(answer) == 503
        assert len(loopback.requests) == 1


async def ask_stock(loopback: RoutedLoopback, attempt: str) -> None:
    await loopback.ask("/stock/1", x_attempt=attempt)


def retry_after_s(answer: bytes) -> float:
    """Return the seconds that a refusal names."""
    for line in answer.lower().split(b"\r\n"):
        if line.startswith(b"retry-after: "):
            return float(line.partition(b": ")[2])
    return 0.0
