"""What an entry may add at servers as one of many entries."""

from __future__ import annotations

from anyio.abc import SocketStream
import pytest

from sycamorestand_bench.fakes.in_memory_control import InMemoryControl
from sycamorestand_bench.fakes.in_memory_control import make_link
from sycamorestand_bench.fakes.routed import answer_head
from sycamorestand_bench.fakes.routed import routed_configuration
from sycamorestand_bench.fakes.routed import RoutedLoopback
from sycamorestand_bench.fakes.routed import SETTINGS
from sycamorestand_bench.fakes.routed import start_routed
from sycamorestand_decisions.arrivals import Allowance

pytestmark = pytest.mark.anyio
ALLOWANCE = Allowance(ratio=0.9, slack=216.0, window_s=10.0)
REQUESTS = 32


class TestManyEntries:
    @pytest.mark.parametrize("entries", [8, 88, 330])
    async def test_an_entrys_share_is_that_of_one_among_them_all(
        self, entries: int
    ) -> None:
        """Most servers are lost, and those that are left are full.

        Each request knocks at three servers before its caller is refused.
        The entry takes its part of what the servers' owner allows beyond
        first arrivals. It divided by the addresses that callers are told,
        eight at most ("entries counted entries=8" at all 88), so
        that together they took eleven times the allowance: 3,444 arrivals
        beyond the first in ten seconds, 3,265 allowed.
        """
        settings = SETTINGS._replace(allowance=ALLOWANCE)
        async with start_routed(settings) as loopback:
            tell_as_one_of(loopback, entries)
            for number in range(3):
                await loopback.add_server(f"s-{number}", _full)
            for _ in range(REQUESTS):
                answer = await loopback.ask("/review/1", x_model="*")
                assert answer.startswith(b"HTTP/1.1 503")
            further = len(loopback.requests) - REQUESTS
        part = ALLOWANCE.slack / entries
        assert further <= ALLOWANCE.ratio * REQUESTS + part

    async def test_one_that_has_not_been_told_takes_no_part(self) -> None:
        """An entry has just started, and does not know how many there are."""
        settings = SETTINGS._replace(allowance=ALLOWANCE)
        async with start_routed(settings) as loopback:
            for number in range(3):
                await loopback.add_server(f"s-{number}", _full)
            for _ in range(REQUESTS):
                await loopback.ask("/review/1", x_model="*")
            further = len(loopback.requests) - REQUESTS
        assert further <= ALLOWANCE.ratio * REQUESTS


def tell_as_one_of(loopback: RoutedLoopback, entries: int) -> None:
    """Let control tell the entry what it tells one of so many."""
    control = InMemoryControl(routed_configuration())
    for number in reversed(range(entries)):
        control.attach(number)
    link = make_link(0)
    control.deliver(link)
    loopback.control.entry_addresses = link.addresses()
    loopback.control.entries = link.entry_count()


async def _full(request: bytes, stream: SocketStream) -> None:
    lines = (b"x-not-run: 1", b"content-length: 0")
    await stream.send(answer_head(request, *lines, status=503))
