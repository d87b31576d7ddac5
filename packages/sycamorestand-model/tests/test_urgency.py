"""Tests of the order of requests by priority."""

from __future__ import annotations

import pytest

from sycamorestand_model.declarations import Customer
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.routes import Route
from sycamorestand_model.routes import RouteTarget
from sycamorestand_model.urgency import LEAST_URGENT
from sycamorestand_model.urgency import UrgencyLevels


def make_route(priority: int, public: bool = False) -> Route:
    name = f"r-{priority}-{public}"
    return Route(
        name,
        "host",
        f"/{name}/",
        (RouteTarget("words"),),
        "stream",
        1000,
        priority=priority,
        public=public,
    )


def make_customer(name: str, priority: int | None) -> Customer:
    return Customer(name, (), profiles=(), versions=(), priority=priority)


def make_declarations(
    routes: list[Route], customers: list[Customer]
) -> Declarations:
    return Declarations(
        routes={route.name: route for route in routes},
        customers={customer.name: customer for customer in customers},
    )


class TestUrgencyLevels:
    def test_equal_customers_are_told_apart_by_route(self) -> None:
        """Guards against all kinds being equal, as customers have one."""
        routes = [make_route(priority) for priority in (0, 1, 2)]
        customer = make_customer("guild", 1)
        levels = UrgencyLevels(make_declarations(routes, [customer]))
        assert [levels.level(customer, route) for route in routes] == [0, 1, 2]

    def test_customer_goes_before_route(self) -> None:
        routes = [make_route(0), make_route(2)]
        first, second = make_customer("a", 0), make_customer("b", 1)
        levels = UrgencyLevels(make_declarations(routes, [first, second]))
        assert levels.level(first, routes[1]) < levels.level(second, routes[0])

    @pytest.mark.parametrize("customers", [[], [make_customer("a", 3)]])
    def test_public_route_has_its_own_priority(
        self, customers: list[Customer]
    ) -> None:
        routes = [make_route(0, public=True), make_route(5, public=True)]
        levels = UrgencyLevels(make_declarations(routes, customers))
        assert levels.level(None, routes[0]) < levels.level(None, routes[1])

    def test_many_priorities_share_the_last_level(self) -> None:
        routes = [make_route(priority) for priority in range(20)]
        levels = UrgencyLevels(make_declarations(routes, []))
        assert levels.level(None, routes[19]) == LEAST_URGENT
