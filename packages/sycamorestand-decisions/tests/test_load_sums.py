from __future__ import annotations

import math

import pytest

from sycamorestand_decisions.load_checks import REPORT_LIFETIME_S
from sycamorestand_decisions.load_sums import ENTRY_REPEAT_S
from sycamorestand_decisions.load_sums import INTERVAL_S
from sycamorestand_decisions.load_sums import LoadSums
from sycamorestand_decisions.load_sums import MAX_PER_MESSAGE
from sycamorestand_decisions.load_sums import MAX_SENDERS
from sycamorestand_decisions.load_sums import MAX_SERVERS
from sycamorestand_decisions.load_sums import UnsentLoads
from sycamorestand_model.server_loads import EntryLoad
from sycamorestand_model.server_loads import LoadHeader
from sycamorestand_model.server_loads import SharedLoad

HEADER = LoadHeader(7, 1, 24, 1.2)
SERVERS = {"s-1", "s-2"}


def load(requests: int, age_s: float = 0.1) -> EntryLoad:
    return EntryLoad(HEADER, age_s, requests, requests * 100)


class TestLoadSums:
    def test_newest_header_is_the_one_with_the_least_age(self) -> None:
        """The last report to arrive replaced a newer header by its own."""
        sums = LoadSums()
        newer = load(1)._replace(header=HEADER._replace(running=9))
        sums.record_entry("e1", {"s-1": newer}, 10.0)
        sums.record_entry("e2", {"s-1": load(1, age_s=5.0)}, 10.4)
        found = sums.sums(SERVERS, 10.5).total["s-1"]
        assert found.header == newer.header
        assert found.age_s == pytest.approx(0.6)

    def test_part_of_a_dead_process_ends_in_time(self) -> None:
        sums = LoadSums()
        shared = SharedLoad(None, 0.0, 5, 500)
        sums.record_entry("e1", {"s-1": load(2)}, 10.0)
        sums.record_partial("c2", {"s-1": shared}, 10.5)
        assert sums.sums(SERVERS, 10.5).total["s-1"].requests == 7
        assert sums.sums(SERVERS, 10.5).partial["s-1"].requests == 2
        assert (
            sums.sums(SERVERS, 10.0 + REPORT_LIFETIME_S).total["s-1"].requests
            == 5
        )
        assert sums.sums(SERVERS, 10.5 + REPORT_LIFETIME_S).total == {}
        assert sums.oldest_age_s(20.0) == 0.0

    @pytest.mark.parametrize(
        "absurd",
        [
            EntryLoad(HEADER, -1.0, -5, -1),
            EntryLoad(HEADER, math.nan, 1 << 62, 1 << 62),
            EntryLoad(HEADER._replace(slots=0), 0.0, -1, 0),
            EntryLoad(HEADER._replace(slowness=math.inf), 0.0, 0, -1),
            EntryLoad(HEADER, 1e12, 0, 0),
        ],
    )
    def test_absurd_reports_do_no_harm(self, absurd: EntryLoad) -> None:
        sums = LoadSums()
        sums.record_entry("e1", {"s-1": load(2)}, 10.0)
        sums.record_entry("e2", {"s-1": absurd, "s-9": load(4)}, 10.0)
        found = sums.sums(SERVERS, 10.0).total
        assert set(found) == {"s-1"}
        header, age_s, *work = found["s-1"]
        assert (header, work) == (HEADER, [2, 200])
        assert age_s == pytest.approx(0.1)

    def test_memory_is_bounded(self) -> None:
        sums = LoadSums()
        made_up = {f"x-{n}": load(1) for n in range(MAX_SERVERS + 5)}
        sums.record_entry("e1", made_up, 10.0)
        for number in range(MAX_SENDERS + 5):
            sums.record_partial(f"c{number}", {}, 10.0)
        assert len(sums.sums(made_up, 10.0).total) == MAX_SERVERS


class TestUnsentLoads:
    def test_unchanged_loads_are_repeated_seldom(self) -> None:
        unsent = UnsentLoads(ENTRY_REPEAT_S)
        sums = {"s-1": SharedLoad(HEADER, 0.1, 2, 200)}
        sent = [
            bool(unsent.take(sums, 10.0 + n * INTERVAL_S)) for n in range(9)
        ]
        assert sent == [n % 4 == 0 for n in range(9)]

    def test_a_new_age_alone_is_no_change(self) -> None:
        unsent = UnsentLoads(ENTRY_REPEAT_S)
        shared = SharedLoad(HEADER, 0.1, 2, 200)
        assert unsent.take({"s-1": shared}, 10.0)
        assert not unsent.take({"s-1": shared._replace(age_s=0.6)}, 10.5)
        assert unsent.take({"s-1": shared._replace(tokens=3)}, 11.0)

    def test_servers_that_are_gone_are_told_once(self) -> None:
        """Entries kept the last sum of a server until it was too old."""
        unsent = UnsentLoads(ENTRY_REPEAT_S)
        unsent.take({"s-1": SharedLoad(HEADER, 0.1, 2, 200)}, 10.0)
        gone = [{"s-1": SharedLoad(None, 0.0, 0, 0)}]
        assert unsent.take({}, 10.5) == gone
        assert unsent.take({}, 11.0) == []

    def test_all_are_sent_in_time_though_all_change(self) -> None:
        """With 910 servers, the first ones took the place of the others."""
        unsent = UnsentLoads(ENTRY_REPEAT_S)
        names = [f"s-{number}" for number in range(910)]
        for n in range(8):
            sums = {name: SharedLoad(HEADER, 0.1, n, 1) for name in names}
            messages = unsent.take(sums, 10.0 + n * INTERVAL_S)
            assert max(map(len, messages)) <= MAX_PER_MESSAGE
            assert sum(map(len, messages)) <= 228
            if n % 4 == 0:
                missing = set(names)
            missing -= {name for message in messages for name in message}
        assert not missing
