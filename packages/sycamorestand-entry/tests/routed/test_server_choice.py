"""Which of several servers a routed call is sent to."""

from __future__ import annotations

import math

from anyio.abc import SocketStream
import pytest

from sycamorestand_bench.fakes.routed import answer_bytes
from sycamorestand_bench.fakes.routed import RoutedLoopback
from sycamorestand_bench.fakes.routed import ROUTES
from sycamorestand_bench.fakes.routed import start_routed
from sycamorestand_entry.errors import NoBackendServer
from sycamorestand_entry.request_parts import RequestParts
from sycamorestand_entry.routed.call import RoutedCall
from sycamorestand_entry.routed.decision_log import DecisionLog
from sycamorestand_entry.routed.dials import Dials
from sycamorestand_entry.routed.messages import EngineOptions
from sycamorestand_entry.routed.server_choice import ServerChoice
from sycamorestand_model.in_force import InForce
from sycamorestand_model.request_digest import RequestContent

pytestmark = pytest.mark.anyio
STOCK = ROUTES[0]
MAX_REFUSED_PER_S = 5


class TestServerChoice:
    async def test_known_server_at_its_limit_is_left(self) -> None:
        """The call chose it again and again, until its deadline."""
        async with start_routed() as loopback:
            await add_servers(loopback, 2)
            fill(loopback, "s-0")
            choice = server_choice(loopback)
            server = choice.choose(
                "stock", EngineOptions(known="s-0"), sent=0, may_add=True
            )
        assert server.name == "s-1"

    async def test_call_is_refused_where_all_are_at_their_limit(self) -> None:
        """Each further choice dialled one of them, until the deadline."""
        async with start_routed() as loopback:
            await add_servers(loopback, 2)
            for name in ("s-0", "s-1"):
                fill(loopback, name)
            choice = server_choice(loopback)
            with pytest.raises(NoBackendServer):
                choice.choose(
                    "stock", EngineOptions(known="s-0"), sent=0, may_add=True
                )

    async def test_call_without_attempts_left_stays_where_it_was(self) -> None:
        async with start_routed() as loopback:
            await add_servers(loopback, 4)
            choice = server_choice(loopback)
            choice.record_sent("s-2")
            server = choice.choose(
                "stock", EngineOptions(), sent=1, may_add=False
            )
        assert server.name == "s-2"

    async def test_server_that_took_no_connection_comes_last(self) -> None:
        """A call dialled three of them again and again until it gave up.

        A server whose connection had broken was left, and its refusal would
        have shown that this entry reaches none.
        """
        async with start_routed() as loopback:
            await add_servers(loopback, 4)
            dials = Dials(loopback.entry.context, call(loopback))
            choice = server_choice(loopback, dials)
            choice.exclude(("s-0", "s-1", "s-2", "s-3"))
            dials.unreachable.update(("s-0", "s-1", "s-3"))
            names = {
                choice.choose(
                    "stock", EngineOptions(), sent=1, may_add=True
                ).name
                for _ in range(20)
            }
        assert names == {"s-2"}

    async def test_servers_of_other_entries_attempts_come_last(self) -> None:
        async with start_routed() as loopback:
            await add_servers(loopback, 3)
            choice = server_choice(loopback)
            choice.exclude(("s-0", "s-1"))
            server = choice.choose(
                "stock", EngineOptions(), sent=0, may_add=True
            )
            tried = choice.tried_servers()
        assert server.name == "s-2"
        assert tried == {"s-0", "s-1", "s-2"}


async def answer(request: bytes, stream: SocketStream) -> None:
    """Answer at once."""
    await stream.send(answer_bytes(request))


async def add_servers(loopback: RoutedLoopback, count: int) -> None:
    """Start servers that run one request each."""
    for number in range(count):
        name = f"s-{number}"
        await loopback.add_server(name, answer)
        servers = loopback.control.servers
        servers[name] = servers[name]._replace(capacity=1)


def fill(loopback: RoutedLoopback, name: str) -> None:
    """Let a brittle server run all requests that it may get from here."""
    servers = loopback.entry.context.servers
    now_s = loopback.entry.context.now_s()
    servers.record_brittle("stock", MAX_REFUSED_PER_S, now_s)
    servers.record_start("stock", name, now_s)


def server_choice(
    loopback: RoutedLoopback, dials: Dials | None = None
) -> ServerChoice:
    """Return the choice for a new call."""
    context = loopback.entry.context
    new = call(loopback)
    return ServerChoice(context, new, dials or Dials(context, new))


def call(loopback: RoutedLoopback) -> RoutedCall:
    """Return a call that has just come."""
    return RoutedCall(
        STOCK,
        "",
        0,
        1.0,
        b"POST",
        b"/stock/1",
        b"a1",
        "",
        [],
        {},
        b"",
        loopback.entry.context.now_s() + STOCK.timeout_ms / 1000,
        DecisionLog(),
        lambda: math.inf,
        RequestParts(
            RequestContent("", b"POST", b"", b"/p/", b""), (), InForce
        ),
    )
