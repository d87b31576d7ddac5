from __future__ import annotations

from sycamorestand_bench.fakes.in_memory_control import FakeMesh
from sycamorestand_control.load_exchange import LoadExchange
from sycamorestand_model.server_loads import EntryLoad
from sycamorestand_model.server_loads import LoadHeader
from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.messages import EntryLoads
from sycamorestand_peer.messages import SharedLoads

HEADER = LoadHeader(7, 1, 24, 1.2)


class Process:
    """A control process with two entries and another control process."""

    def __init__(self, address: str, other: str) -> None:
        self.mesh = FakeMesh(address)
        self.entries = [f"{address}-e1", f"{address}-e2"]
        self.exchange = LoadExchange(
            self.mesh,  # type: ignore[arg-type]
            lambda: self.entries,
            lambda: [other],
            lambda: {"s-1"},
        )

    def report(self, entry: int, requests: int) -> None:
        loads = {
            "s-1": EntryLoad(HEADER, 0.1, requests, 10),
            "made-up": EntryLoad(HEADER, 0.1, requests, 10),
        }
        sender = self.entries[entry]
        self.exchange.handle_entry_loads(sender, EntryLoads(loads))

    def sent(self) -> dict[str, SharedLoads]:
        self.mesh.sent = []
        self.exchange.exchange(boottime_s())
        return dict(self.mesh.sent)


class TestLoadExchange:
    def test_entries_get_the_sum_and_others_the_own_part(self) -> None:
        """Sums that were sent back would have been counted twice."""
        first, second = Process("c1", "c2"), Process("c2", "c1")
        first.report(0, 2)
        first.report(1, 3)
        second.report(0, 4)
        partial = first.sent()["c2"]
        assert partial.is_partial
        assert partial.loads["s-1"].requests == 5
        second.exchange.handle_shared_loads("c1", partial)
        sent = second.sent()
        assert sent["c1"].loads["s-1"].requests == 4
        for entry in second.entries:
            assert not sent[entry].is_partial
            assert set(sent[entry].loads) == {"s-1"}
            assert sent[entry].loads["s-1"][2:] == (9, 30)

    def test_sums_for_entries_are_not_added_up(self) -> None:
        first, second = Process("c1", "c2"), Process("c2", "c1")
        first.report(0, 2)
        total = first.sent()["c1-e1"]
        second.exchange.handle_shared_loads("c1", total)
        assert second.sent() == {}

    def test_figures_for_the_metrics(self) -> None:
        process = Process("c1", "c2")
        process.report(0, 2)
        process.sent()
        exchange = process.exchange
        assert exchange.known_servers == 1
        assert (exchange.received, exchange.sent) == (1, 3)
        assert 0 < exchange.oldest_age_s() < 2
