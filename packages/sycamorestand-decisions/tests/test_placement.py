from __future__ import annotations

from sycamorestand_decisions.placement import Demand
from sycamorestand_decisions.placement import Limits
from sycamorestand_decisions.placement import MIN_REPLICA_AGE_S
from sycamorestand_decisions.placement import Order
from sycamorestand_decisions.placement import plan_orders
from sycamorestand_decisions.placement import ServerSlots
from sycamorestand_decisions.placement import wanted_replicas

NOW_S = 10_000.0


def server(name: str, *loaded: str, room: int = 2) -> ServerSlots:
    return ServerSlots(name, room, dict.fromkeys(loaded, 0.0))


def kinds(orders: list[Order]) -> list[tuple[str, str, str]]:
    return [(o.kind, o.server, o.version) for o in orders]


class TestPlanOrders:
    def test_loads_on_a_server_with_free_capacity(self) -> None:
        servers = [server("a", "x@1"), server("b", "x@1", "y@1")]
        demand = {"x@1": Demand(1, 8), "y@1": Demand(7.5, 8)}
        orders = plan_orders(servers, demand, (), (), NOW_S)
        assert kinds(orders) == [("load", "a", "y@1")]

    def test_weight_store_bounds_loads_at_once(self) -> None:
        servers = [server(name) for name in "abcd"]
        demand = {f"v{n}@1": Demand(4, 8) for n in range(4)}
        limits = Limits(loads_at_once=2)
        orders = plan_orders(servers, demand, (), (), NOW_S, limits)
        assert len(orders) == 2
        busy = [s._replace(loading=("z@1",)) for s in servers[:2]]
        assert not plan_orders(
            [*busy, *servers[2:]], demand, (), (), NOW_S, limits
        )

    def test_churn_limit_holds(self) -> None:
        """Demand jumps right after four changes were made.

        Without the limit the pool would spend its time loading. The next
        change must wait until the window has passed.
        """
        servers = [server("a"), server("b")]
        demand = {"x@1": Demand(4, 8)}
        recent = [NOW_S - 10.0] * 4
        assert not plan_orders(servers, demand, (), recent, NOW_S)
        assert plan_orders(servers, demand, (), recent, NOW_S + 600.0)

    def test_withdrawn_versions_are_unloaded_last(self) -> None:
        """A version needs capacity that an idle and a withdrawn one hold.

        The idle one is unloaded first: the withdrawn one may still have
        sessions, and its withdrawal may be reverted.
        """
        servers = [server("a", "bad@1", "idle@1")]
        demand = {"new@1": Demand(4, 8)}
        orders = plan_orders(servers, demand, ("bad@1",), (), NOW_S)
        assert kinds(orders) == [
            ("unload", "a", "idle@1"),
            ("load", "a", "new@1"),
        ]

    def test_running_requests_keep_a_version_loaded(self) -> None:
        servers = [
            server("a", "idle@1", room=1)._replace(in_flight={"idle@1": 1})
        ]
        assert not plan_orders(servers, {"new@1": Demand(4, 8)}, (), (), NOW_S)

    def test_a_recent_replica_is_not_unloaded(self) -> None:
        servers = [
            ServerSlots("a", 1, {"idle@1": NOW_S - MIN_REPLICA_AGE_S / 2})
        ]
        assert not plan_orders(servers, {"new@1": Demand(4, 8)}, (), (), NOW_S)

    def test_withdrawn_versions_are_never_loaded(self) -> None:
        assert not plan_orders(
            [server("a")], {"bad@1": Demand(9, 8)}, ("bad@1",), (), NOW_S
        )

    def test_pins_are_loaded_without_demand(self) -> None:
        demand = {"x@1": Demand(0.0, 8, pinned_servers=1)}
        orders = plan_orders([server("a")], demand, (), (), NOW_S)
        assert kinds(orders) == [("load", "a", "x@1")]


class TestWantedReplicas:
    def test_hysteresis_between_the_watermarks(self) -> None:
        assert wanted_replicas(Demand(12.0, 8), 2) == 2
        assert wanted_replicas(Demand(14.5, 8), 2) == 3
        assert wanted_replicas(Demand(9.0, 8), 3) == 3
        assert wanted_replicas(Demand(2.0, 8), 3) == 1

    def test_pins_are_the_least_number_of_replicas(self) -> None:
        assert wanted_replicas(Demand(0.0, 8, 2), 2) == 2
