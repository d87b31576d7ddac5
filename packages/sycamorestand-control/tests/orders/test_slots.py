from __future__ import annotations

import pytest

from sycamorestand_control.orders.loading import LOAD_LIMIT_S
from sycamorestand_control.orders.loading import loading_versions
from sycamorestand_control.orders.loading import UNLOAD_LIMIT_S
from sycamorestand_control.orders.slots import FAILURE_BACKOFF_S
from sycamorestand_control.orders.slots import make_report
from sycamorestand_control.orders.slots import make_slots
from sycamorestand_control.orders.slots import OrderBookView
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
    return make_slots(servers, reports, {}, OrderBookView(orders, NOW_S))


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
    def test_load_is_under_way_until_announced(
        self, orders: list[OrderRecord], expected: tuple[str, ...]
    ) -> None:
        servers = {"a": engine("a")}
        loading = loading_versions(orders, servers, NOW_S)
        assert loading.get("a", ()) == expected
        servers = {"a": engine("a", "x@1")}
        assert loading_versions(orders, servers, NOW_S) == {}


class TestMakeSlots:
    def test_server_without_orders_is_listed_as_full_and_busy(self) -> None:
        (slots,) = slots_of(engine("a", "x@1", room=0))
        assert slots.room == 0
        assert slots.in_flight == {"x@1": 1}
        assert "x@1" in slots.loaded_since_s

    def test_leaving_server_is_left_out(self) -> None:
        assert slots_of(engine("a", "x@1")._replace(leaving=True)) == []

    @pytest.mark.parametrize("load", [None, LoadReport(age_s=60.0)])
    def test_versions_count_as_busy_without_a_recent_load_report(
        self, load: LoadReport | None
    ) -> None:
        """Guard against unloading versions that still run requests.

        The server's load report is missing or old, so its requests are not
        known. If the server counted as idle, its versions could be
        unloaded.
        """
        (slots,) = slots_of(engine("a", "x@1", "y@1"), load=load)
        assert slots.in_flight == {"x@1": 1, "y@1": 1}

    def test_in_flight_counts_running_and_queued_requests(self) -> None:
        (idle,) = slots_of(engine("a", "x@1"))
        (busy,) = slots_of(engine("a", "x@1"), load=LoadReport(3, 1))
        assert (idle.in_flight, busy.in_flight) == ({}, {"x@1": 4})

    def test_failed_order_blocks_the_server_for_the_backoff(self) -> None:
        failed = order("load", "failed")
        (slots,) = slots_of(engine("a"), failed)
        assert slots.room == 0
        failed = order("load", "failed", FAILURE_BACKOFF_S)
        (slots,) = slots_of(engine("a"), failed)
        assert slots.room == 2

    def test_unload_is_not_repeated_before_it_is_announced(self) -> None:
        (slots,) = slots_of(engine("a", "x@1"), order("unload", "done"))
        assert slots.in_flight == {"x@1": 1}
        late = order("unload", "done", UNLOAD_LIMIT_S)
        (slots,) = slots_of(engine("a", "x@1"), late)
        assert slots.in_flight == {}

    def test_load_order_sets_loaded_since(self) -> None:
        (slots,) = slots_of(engine("a", "x@1"), order("load", "done", 60.0))
        assert slots.loaded_since_s == {"x@1": NOW_S - 60.0}
