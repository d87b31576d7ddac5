from __future__ import annotations

import math

import pytest

from sycamorestand_decisions.load_checks import MAX_HEADER_AGE_S
from sycamorestand_decisions.observed_loads import MAX_SERVERS
from sycamorestand_decisions.observed_loads import ObservedLoads
from sycamorestand_decisions.observed_loads import SHARED_MAX_AGE_S
from sycamorestand_model.server_loads import EntryLoad
from sycamorestand_model.server_loads import LoadHeader
from sycamorestand_model.server_loads import SharedLoad

HEADER = LoadHeader(7, 1, 24, 1.2)


class TestNews:
    def test_servers_that_do_not_tell_their_slowness_are_left_out(
        self,
    ) -> None:
        loads = ObservedLoads()
        loads.record_start("s-1", 100, 10.0)
        loads.record_header("s-1", LoadHeader(7, 1, 24), 10.0)
        assert loads.take_report(10.5) == {}

    def test_end_of_the_work_is_told_once(self) -> None:
        loads = ObservedLoads()
        loads.record_start("s-1", 100, 10.0)
        loads.record_header("s-1", HEADER, 10.0)
        assert loads.take_report(10.5) == {
            "s-1": EntryLoad(HEADER, 0.5, 1, 100)
        }
        loads.record_end("s-1", 100, 10.6)
        assert loads.take_report(11.0) == {"s-1": EntryLoad(HEADER, 1.0, 0, 0)}
        assert loads.take_report(11.5) == {}

    def test_work_is_taken_back_where_slowness_is_told_no_more(self) -> None:
        loads = ObservedLoads()
        loads.record_start("s-1", 100, 10.0)
        loads.record_header("s-1", HEADER, 10.0)
        loads.take_report(10.5)
        loads.record_header("s-1", LoadHeader(7, 1, 24), 10.6)
        assert loads.take_report(11.0) == {"s-1": EntryLoad(None, 0.0, 0, 0)}
        assert loads.observed("s-1", 11.0).usual_slowness == 0.0

    def test_headers_of_others_are_not_sent_back(self) -> None:
        """Each round would have made them a little younger."""
        loads = ObservedLoads()
        loads.record_shared({"s-1": SharedLoad(HEADER, 0.5, 3, 300)}, 10.0)
        loads.record_start("s-1", 100, 10.0)
        assert loads.take_report(10.5) == {"s-1": EntryLoad(None, 0.0, 1, 100)}


class TestObserved:
    def test_nothing_is_known_of_an_unknown_server(self) -> None:
        found = ObservedLoads().observed("s-1", 10.0)
        assert found == (None, math.inf, 0.0, 0, 0, 0, 0, math.inf)

    def test_old_sums_are_unknown(self) -> None:
        """An entry that is cut off sees the others' work of long ago."""
        loads = ObservedLoads()
        loads.record_start("s-1", 100, 10.0)
        loads.record_shared({"s-1": SharedLoad(HEADER, 0.5, 3, 300)}, 10.0)
        assert loads.observed("s-1", 12.0)[3:] == (1, 100, 3, 300, 2.0)
        late_s = 10.1 + SHARED_MAX_AGE_S
        assert loads.observed("s-1", late_s)[3:] == (1, 100, 0, 0, math.inf)
        assert loads.observed("s-1", late_s).header == HEADER
        late_s += MAX_HEADER_AGE_S
        assert loads.observed("s-1", late_s).header is None

    def test_newer_header_wins(self) -> None:
        loads = ObservedLoads()
        older = HEADER._replace(running=1)
        loads.record_header("s-1", HEADER, 10.0)
        loads.record_shared({"s-1": SharedLoad(older, 1.0, 0, 0)}, 10.5)
        assert loads.observed("s-1", 11.0).header == HEADER
        loads.record_shared({"s-1": SharedLoad(older, 0.2, 0, 0)}, 11.0)
        found = loads.observed("s-1", 11.0)
        assert found.header == older
        assert found.header_age_s == pytest.approx(0.2)

    @pytest.mark.parametrize(
        "absurd",
        [
            SharedLoad(HEADER, -1.0, -3, -3),
            SharedLoad(HEADER, math.nan, 1 << 62, 1 << 62),
            SharedLoad(HEADER._replace(running=-1), 0.0, 0, 0),
            SharedLoad(HEADER._replace(slowness=0.0), 0.0, 0, 0),
        ],
    )
    def test_absurd_sums_do_no_harm(self, absurd: SharedLoad) -> None:
        loads = ObservedLoads()
        loads.record_header("s-1", HEADER, 10.0)
        loads.record_shared({"s-1": absurd}, 10.5)
        found = loads.observed("s-1", 10.5)
        assert found == (HEADER, 0.5, 1.2, 0, 0, 0, 0, 0.0)

    def test_usual_slowness_leaves_out_short_disturbances(self) -> None:
        loads = ObservedLoads()
        for tick in range(40):
            slowness = 3.0 if 20 <= tick < 36 else 1.2
            header = HEADER._replace(slowness=slowness)
            loads.record_header("s-1", header, 10.0 + tick * 0.25)
        assert loads.observed("s-1", 20.0).usual_slowness == 1.2
        for tick in range(40, 72):
            header = HEADER._replace(slowness=3.0)
            loads.record_header("s-1", header, 10.0 + tick * 0.25)
        assert loads.observed("s-1", 28.0).usual_slowness == 3.0


class TestMemory:
    def test_servers_with_requests_are_kept(self) -> None:
        """A request's end made the count of a forgotten server wrong."""
        loads = ObservedLoads()
        loads.record_start("s-1", 100, 10.0)
        loads.record_header("s-2", HEADER, 10.0)
        loads.forget_except(set())
        assert loads.observed("s-1", 10.0).own_requests == 1
        assert loads.observed("s-2", 10.0).header is None
        loads.record_end("s-1", 100, 10.0)
        loads.record_end("s-1", 100, 10.0)
        assert loads.observed("s-1", 10.0)[3:5] == (0, 0)

    def test_is_bounded(self) -> None:
        loads = ObservedLoads()
        for number in range(MAX_SERVERS + 5):
            loads.record_header(f"s-{number}", HEADER, 10.0)
        assert loads.reporting_servers() == MAX_SERVERS
