"""Routes of the entry application with the default header names."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from sycamorestand_bench.fakes.loopback import start_loopback
from sycamorestand_bench.fakes.service import FakeService
from sycamorestand_model.routes import Route
from sycamorestand_model.routes import RouteTarget

if TYPE_CHECKING:
    from sycamorestand_bench.fakes.loopback import Loopback

pytestmark = pytest.mark.anyio

ORDERS = Route(
    "orders",
    "portal.example",
    "/orders/",
    (RouteTarget("orders"),),
    "once",
    2_000,
)


def _declare(loopback: Loopback, *routes: Route) -> None:
    configuration = loopback.control.configuration
    declarations = configuration.declarations._replace(
        routes={route.name: route for route in routes}
    )
    loopback.control.configuration = configuration._replace(
        declarations=declarations
    )


class TestDefaultHeaderNames:
    async def test_route_leads_to_its_service(self) -> None:
        async with start_loopback() as loopback:
            service = FakeService("orders-1", ("orders",))
            await loopback.add_service(service)
            _declare(loopback, ORDERS)
            answer = await loopback.call(
                "POST",
                "/orders/7",
                b"sheet",
                Host="portal.example",
                X_Request_Key="k-1",
            )
            assert (answer.status, answer.json()["path"]) == (200, "/orders/7")
            (record,) = service.records
            assert (record.request_key, record.body) == ("k-1", b"sheet")

    async def test_own_paths_take_precedence_over_routes(self) -> None:
        async with start_loopback() as loopback:
            _declare(loopback, ORDERS._replace(path_prefix="/"))
            answer = await loopback.call(
                "GET", "/v1/models", Host="portal.example"
            )
            assert answer.json()["object"] == "list"

    async def test_path_without_a_route_is_not_found(self) -> None:
        async with start_loopback() as loopback:
            _declare(loopback, ORDERS)
            answer = await loopback.call("GET", "/nothing", Host="other")
            assert answer.status == 404

    async def test_unknown_key_is_refused(self) -> None:
        async with start_loopback() as loopback:
            service = FakeService("orders-1", ("orders",))
            await loopback.add_service(service)
            _declare(loopback, ORDERS)
            answer = await loopback.call(
                "POST", "/orders/7", key="nobody", Host="portal.example"
            )
            assert answer.status == 401
            assert service.records == []
