"""The arrivals at servers that one of many entries may add by retries."""

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
    async def test_allowance_is_divided_by_the_number_of_all_entries(
        self, entries: int
    ) -> None:
        """Most servers are lost, and the remaining ones are full.

        Each request arrives at three servers before its caller is refused.
        The servers' owner allows a number of arrivals beyond the first ones,
        of which each entry may add its part. If an entry divides the
        allowance by the number of addresses that callers get, at most eight
        ("entries counted entries=8" at all 88), the entries together use
        eleven times the allowance: 3,444 further arrivals in ten seconds,
        where 3,265 were allowed.
        """
        settings = SETTINGS._replace(allowance=ALLOWANCE)
        async with start_routed(settings) as loopback:
            set_entry_count(loopback, entries)
            for number in range(3):
                await loopback.add_server(f"s-{number}", _full)
            for _ in range(REQUESTS):
                answer = await loopback.ask("/review/1", x_model="*")
                assert answer.startswith(b"HTTP/1.1 503")
            further = len(loopback.requests) - REQUESTS
        allowed_slack = ALLOWANCE.slack / entries
        assert further <= ALLOWANCE.ratio * REQUESTS + allowed_slack

    async def test_entry_without_an_entry_count_adds_no_arrivals(self) -> None:
        """A new entry doesn't know yet how many entries there are."""
        settings = SETTINGS._replace(allowance=ALLOWANCE)
        async with start_routed(settings) as loopback:
            for number in range(3):
                await loopback.add_server(f"s-{number}", _full)
            for _ in range(REQUESTS):
                await loopback.ask("/review/1", x_model="*")
            further = len(loopback.requests) - REQUESTS
        assert further <= ALLOWANCE.ratio * REQUESTS


def set_entry_count(loopback: RoutedLoopback, entries: int) -> None:
    """Give the entry the count that control sends to so many entries."""
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
