"""An entry reads limits, asks for tokens and refuses what does not fit."""

from __future__ import annotations

import time
from typing import Any

import anyio
from anyio.abc import SocketStream
import pytest

from sycamorestand_bench.fakes.control_port import FakeControlPort
from sycamorestand_bench.fakes.entry_group import status
from sycamorestand_bench.fakes.loopback import start_loopback
from sycamorestand_bench.fakes.routed import answer_head
from sycamorestand_bench.fakes.routed import RoutedLoopback
from sycamorestand_bench.fakes.routed import start_routed
from sycamorestand_bench.fakes.service import FakeService
from sycamorestand_decisions.server_limits import NO_LIMIT
from sycamorestand_entry.server_limits import ASK_INTERVAL_PER_ENTRY_S
from sycamorestand_entry.server_limits import ASK_INTERVAL_S
from sycamorestand_entry.server_limits import MAX_WAIT_S
from sycamorestand_entry.server_limits import ServerLimits
from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.declarations import Service
from sycamorestand_peer.messages import LimitsNamed
from sycamorestand_peer.messages import TokensGranted
from sycamorestand_peer.messages import TokensWanted

pytestmark = pytest.mark.anyio
LIMIT = 1.5


class Limited:
    """A server that names a limit, unless it is empty."""

    def __init__(self, limit: str = str(LIMIT)) -> None:
        self.limit = limit

    async def answer(self, request: bytes, stream: SocketStream) -> None:
        named = [b"x-limit: " + self.limit.encode()] if self.limit else []
        head = answer_head(request, b"content-length: 2", *named)
        await stream.send(head + b"ok")


def grant(control: FakeControlPort, server: str, count: int = 1) -> None:
    control.listeners[TokensGranted](TokensGranted(1, {server: count}))


def name_limits(control: FakeControlPort, **limits: float) -> None:
    control.listeners[LimitsNamed](LimitsNamed(limits))


def questions(loopback: RoutedLoopback) -> list[TokensWanted]:
    sent: list[Any] = loopback.control.sent_messages
    return [message for message in sent if isinstance(message, TokensWanted)]


class TestNaming:
    async def test_limit_in_an_answer_is_told_to_control(self) -> None:
        async with start_routed() as loopback:
            await loopback.add_server("s-1", Limited().answer)
            await loopback.ask("/stock/1")
            assert questions(loopback)[-1].limits_per_s == {"s-1": LIMIT}
            assert status(await loopback.ask("/stock/1")) == 503
        assert len(loopback.requests) == 1

    @pytest.mark.parametrize(
        "limit", ["", "x", "-1", "1e9", "9" * 20, "1.2.3"]
    )
    async def test_what_is_no_limit_changes_nothing(self, limit: str) -> None:
        async with start_routed() as loopback:
            await loopback.add_server("s-1", Limited(limit).answer)
            for _ in range(3):
                assert status(await loopback.ask("/stock/1")) == 200
        assert questions(loopback) == []

    async def test_answer_without_it_takes_it_back(self) -> None:
        async with start_routed() as loopback:
            server = Limited()
            await loopback.add_server("s-1", server.answer)
            await loopback.ask("/stock/1")
            server.limit = ""
            grant(loopback.control, "s-1")
            for _ in range(4):
                assert status(await loopback.ask("/stock/1")) == 200
        assert questions(loopback)[-1].limits_per_s == {"s-1": NO_LIMIT}

    async def test_limit_that_another_entry_heard_is_kept(self) -> None:
        """Each entry sent one request more before it heard of the limit."""
        async with start_routed() as loopback:
            await loopback.add_server("s-1", Limited().answer)
            name_limits(loopback.control, **{"s-1": LIMIT})
            assert status(await loopback.ask("/stock/1")) == 503
        assert loopback.requests == []


class TestRequests:
    async def test_waiting_request_is_sent_with_its_token(self) -> None:
        async with start_routed() as loopback:
            await loopback.add_server("s-1", Limited().answer)
            name_limits(loopback.control, **{"s-1": LIMIT})
            answers: list[bytes] = []

            async def ask() -> None:
                answers.append(await loopback.ask("/stock/1"))

            async with anyio.create_task_group() as callers:
                callers.start_soon(ask)
                await anyio.sleep(0.1)
                assert questions(loopback)[-1].wanted == 1
                grant(loopback.control, "s-1")
        assert [status(answer) for answer in answers] == [200]

    async def test_one_question_asks_for_all_that_wait(self) -> None:
        """Hundreds of questions a second would reach the leader."""
        async with start_routed() as loopback:
            await loopback.add_server("s-1", Limited().answer)
            name_limits(loopback.control, **{"s-1": LIMIT})
            begin_s = time.monotonic()
            async with anyio.create_task_group() as callers:
                for _ in range(40):
                    callers.start_soon(loopback.ask, "/stock/1")
            took_s = time.monotonic() - begin_s
        assert len(questions(loopback)) <= 2 + took_s / ASK_INTERVAL_S
        assert loopback.requests == []

    async def test_waiting_takes_no_processor_time(self) -> None:
        """Requests that control had refused a token asked in a tight loop."""
        async with start_routed() as loopback:
            await loopback.add_server("s-1", Limited().answer)
            name_limits(loopback.control, **{"s-1": LIMIT})
            limits = loopback.entry.context.server_limits
            checks = 0
            is_any_open = limits._is_any_open

            def count(servers: Any) -> bool:
                nonlocal checks
                checks += 1
                return is_any_open(servers)

            limits._is_any_open = count  # type: ignore[method-assign]
            async with anyio.create_task_group() as callers:
                callers.start_soon(loopback.ask, "/stock/1")
                await anyio.sleep(0.05)
                loopback.control.listeners[TokensGranted](TokensGranted(1, {}))
        assert checks <= 2 + 2 * MAX_WAIT_S / ASK_INTERVAL_S + 2

    async def test_many_entries_ask_more_seldom(self) -> None:
        """Questions of all entries took half a core of the leader."""
        async with start_routed() as loopback:
            await loopback.add_server("s-1", Limited().answer)
            loopback.control.entries = 330
            name_limits(loopback.control, **{"s-1": LIMIT})
            begin_s = time.monotonic()
            for _ in range(12):
                await loopback.ask("/stock/1")
            took_s = time.monotonic() - begin_s
        interval_s = 330 * ASK_INTERVAL_PER_ENTRY_S
        assert len(questions(loopback)) <= 1 + took_s / interval_s

    async def test_refusal_comes_at_once_and_says_when_to_return(
        self,
    ) -> None:
        async with start_routed() as loopback:
            await loopback.add_server("s-1", Limited().answer)
            name_limits(loopback.control, **{"s-1": LIMIT})
            begin_s = time.monotonic()
            refused = await loopback.ask("/stock/1", x_deadline_ms="9000")
            took_s = time.monotonic() - begin_s
        assert status(refused) == 503
        assert b"retry-after" in refused.lower()
        assert took_s < 3 * MAX_WAIT_S

    async def test_server_without_a_limit_takes_the_rest(self) -> None:
        async with start_routed() as loopback:
            await loopback.add_server("s-1", Limited().answer)
            await loopback.add_server("s-2", Limited("").answer)
            name_limits(loopback.control, **{"s-1": 0.0})
            for _ in range(6):
                assert status(await loopback.ask("/stock/1")) == 200
        assert {name for name, _ in loopback.requests} == {"s-2"}
        assert questions(loopback)[0].servers == ("s-1",)

    async def test_more_requests_than_tokens_are_not_sent(self) -> None:
        """Two requests chose the server while it had one token."""
        async with start_routed() as loopback:
            await loopback.add_server("s-1", Limited().answer)
            name_limits(loopback.control, **{"s-1": LIMIT})
            grant(loopback.control, "s-1", 2)
            async with anyio.create_task_group() as callers:
                for _ in range(8):
                    callers.start_soon(loopback.ask, "/stock/1")
        assert len(loopback.requests) == 2


class TestOwnInterface:
    @pytest.mark.parametrize("method", ["GET", "POST"])
    async def test_calls_are_refused_as_not_run(self, method: str) -> None:
        async with start_loopback() as loopback:
            service = FakeService("s-1", ("orders",))
            await loopback.add_service(service)
            name_limits(loopback.control, **{"s-1": LIMIT})
            refused = await loopback.call(
                method, "/services/orders/sheets", b"2", Idempotency_Key="k"
            )
            grant(loopback.control, "s-1")
            served = await loopback.call(
                method, "/services/orders/sheets", b"2", Idempotency_Key="k"
            )
        assert refused.status == 503
        assert refused.json()["error"]["run"] == "not_run"
        assert served.status == 200
        assert len(service.records) == 1


class TestCold:
    def scene(self, loopback: RoutedLoopback, servers: int) -> ServerLimits:
        """Return the limits of an entry whose service declares a cold rate."""
        control = loopback.control
        declared = control.configuration.declarations
        service = Service("stock", cold_requests_per_s=2.0)
        control.configuration = control.configuration._replace(
            declarations=declared._replace(
                services={**declared.services, "stock": service}
            )
        )
        control.servers = {
            f"s-{n}": Announcement(
                f"s-{n}", "service", f"10.0.0.{n}:80", "hall", 1, 1, ("stock",)
            )
            for n in range(servers)
        }
        limits = loopback.entry.context.server_limits
        limits.sync_servers()
        return limits

    async def test_server_that_is_reached_again_is_presumed_cold(self) -> None:
        """It had started again, and looked idle to every entry."""
        async with start_routed() as loopback:
            limits = self.scene(loopback, 4)
            loss = loopback.entry.context.server_loss
            loss.record_refused_dial("10.0.0.1:80")
            loss.record_accepted_dial("10.0.0.1:80")
            limits.sync_servers()
            now_s = loopback.entry.context.now_s()
            names = list(loopback.control.servers)
            assert limits.held.closed(names, now_s) == ["s-1"]
            assert limits.held.closed(names, now_s + 5.0) == []

    async def test_links_of_the_entry_that_heal_make_no_server_cold(
        self,
    ) -> None:
        """Its callers waited for tokens of servers that were warm."""
        async with start_routed() as loopback:
            limits = self.scene(loopback, 4)
            loss = loopback.entry.context.server_loss
            for number in range(4):
                loss.record_refused_dial(f"10.0.0.{number}:80")
            loss.record_accepted_dial("10.0.0.1:80")
            limits.sync_servers()
            assert not limits.held.has_limited(loopback.entry.context.now_s())
