from __future__ import annotations

import pytest

from sycamorestand_control.orders.loading import LOAD_LIMIT_S
from sycamorestand_control.orders.loading import loading_versions
from sycamorestand_control.orders.loading import UNLOAD_LIMIT_S
from sycamorestand_control.orders.slots import BookView
from sycamorestand_control.orders.slots import FAILED_PAUSE_S
from sycamorestand_control.orders.slots import make_report
from sycamorestand_control.orders.slots import make_slots
from sycamorestand_decisions.placement import ServerSlots
from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.backend_servers import LoadReport
from sycamorestand_state.results import OrderRecord

NOW_S = 10_000.0
IDLE = LoadReport()


def engine(name: str, *versions: str, room: int = 2) -> Announcement:
    return Announcement(
        name, "engine", "127.0.0.1:1", "dc", 1, 1, versions, max_versions=room
    )


def order(
    action: str, phase: str, age_s: float = 1.0, sequence: int = 1
) -> OrderRecord:
    return OrderRecord(
        f"1.{sequence}",
        1,
        sequence,
        "a",
        action,
        "x@1",
        phase,
        "",
        NOW_S - age_s,
    )


def slots_of(
    announced: Announcement,
    *orders: OrderRecord,
    load: LoadReport | None = IDLE,
) -> list[ServerSlots]:
    reports = {announced.name: make_report(announced, load)}
    servers = {announced.name: announced}
    return make_slots(servers, reports, {}, BookView(orders, NOW_S))


class TestLoadingVersions:
    @pytest.mark.parametrize(
        ("orders", "expected"),
        [
            ([order("load", "intended")], ("x@1",)),
            ([order("load", "unknown", 9999.0)], ("x@1",)),
            ([order("load", "done")], ("x@1",)),
            ([order("load", "done", LOAD_LIMIT_S)], ()),
            ([order("load", "failed")], ()),
            ([order("load", "done"), order("unload", "done")], ()),
            ([order("load", "done"), order("unload", "failed")], ("x@1",)),
            ([order("unload", "intended")], ()),
        ],
    )
    def test_until_announced(
        self, orders: list[OrderRecord], expected: tuple[str, ...]
    ) -> None:
        servers = {"a": engine("a")}
        loading = loading_versions(orders, servers, NOW_S)
        assert loading.get("a", ()) == expected
        servers = {"a": engine("a", "x@1")}
        assert loading_versions(orders, servers, NOW_S) == {}


class TestMakeSlots:
    def test_what_takes_no_orders_counts_and_is_left_alone(self) -> None:
        (slots,) = slots_of(engine("a", "x@1", room=0))
        assert slots.room == 0
        assert slots.in_flight == {"x@1": 1}
        assert "x@1" in slots.loaded_since_s

    def test_a_leaving_server_is_not_there(self) -> None:
        assert slots_of(engine("a", "x@1")._replace(leaving=True)) == []

    @pytest.mark.parametrize("load", [None, LoadReport(age_s=60.0)])
    def test_unknown_load_may_be_requests(
        self, load: LoadReport | None
    ) -> None:
        """A server's load reports have stopped.

        Taken for idle, its versions could be unloaded under requests that
        still run there.
        """
        (slots,) = slots_of(engine("a", "x@1", "y@1"), load=load)
        assert slots.in_flight == {"x@1": 1, "y@1": 1}

    def test_idle_and_busy(self) -> None:
        (idle,) = slots_of(engine("a", "x@1"))
        (busy,) = slots_of(engine("a", "x@1"), load=LoadReport(3, 1))
        assert (idle.in_flight, busy.in_flight) == ({}, {"x@1": 4})

    def test_a_failed_order_holds_the_server_back_for_a_while(self) -> None:
        failed = order("load", "failed")
        (slots,) = slots_of(engine("a"), failed)
        assert slots.room == 0
        failed = order("load", "failed", FAILED_PAUSE_S)
        (slots,) = slots_of(engine("a"), failed)
        assert slots.room == 2

    def test_an_unload_is_not_asked_twice_before_it_is_announced(
        self,
    ) -> None:
        (slots,) = slots_of(engine("a", "x@1"), order("unload", "done"))
        assert slots.in_flight == {"x@1": 1}
        late = order("unload", "done", UNLOAD_LIMIT_S)
        (slots,) = slots_of(engine("a", "x@1"), late)
        assert slots.in_flight == {}

    def test_a_fresh_load_says_since_when(self) -> None:
        (slots,) = slots_of(engine("a", "x@1"), order("load", "done", 60.0))
        assert slots.loaded_since_s == {"x@1": NOW_S - 60.0}
