"""Requests that are bound to regions run nowhere else."""

from __future__ import annotations

import pytest

from sycamorestand_bench.fakes.control_port import FakeControlPort
from sycamorestand_bench.fakes.control_port import FakeLedger
from sycamorestand_bench.fakes.declared import guild_configuration
from sycamorestand_bench.fakes.declared import LARGE
from sycamorestand_bench.fakes.engine import FakeEngine
from sycamorestand_bench.fakes.entry_group import status
from sycamorestand_bench.fakes.loopback import start_loopback
from sycamorestand_bench.fakes.routed import answer_bytes
from sycamorestand_bench.fakes.routed import entry_address
from sycamorestand_bench.fakes.routed import RoutedLoopback
from sycamorestand_bench.fakes.routed import ROUTES
from sycamorestand_bench.fakes.routed import start_entries
from sycamorestand_bench.fakes.routed import start_routed
from sycamorestand_entry.gate import check_dispatch
from sycamorestand_entry.gate import check_routed_dispatch
from sycamorestand_entry.gate import DispatchIntent
from sycamorestand_entry.gate import RoutedIntent
from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.home_regions import home_regions
from sycamorestand_model.in_force import InForce

pytestmark = pytest.mark.anyio
NORTH, SOUTH = "north", "south"
STOCK = ROUTES[0]
CUSTOMER = "guild"


def bind(
    in_force: InForce,
    route: tuple[str, ...] = (),
    customer: tuple[str, ...] = (),
) -> InForce:
    """Return the configuration with a route and a customer so bound."""
    declared = in_force.declarations
    routes = {
        name: each._replace(home_regions=route)
        for name, each in declared.routes.items()
    }
    customers = {
        name: each._replace(home_regions=customer)
        for name, each in declared.customers.items()
    }
    return in_force._replace(
        declarations=declared._replace(routes=routes, customers=customers)
    )


async def add_server(loopback: RoutedLoopback, name: str, region: str) -> None:
    async def answer(request: bytes, stream) -> None:  # type: ignore[no-untyped-def]
        await stream.send(answer_bytes(request))

    await loopback.add_server(name, answer)
    announced = loopback.control.servers[name]
    loopback.control.servers[name] = announced._replace(region=region)


class TestHomes:
    def test_both_bind(self) -> None:
        in_force = bind(guild_configuration(), customer=(NORTH, SOUTH))
        route = STOCK._replace(home_regions=(SOUTH, "west"))
        assert home_regions(in_force, CUSTOMER, route) == {SOUTH}
        assert home_regions(in_force, CUSTOMER) == {NORTH, SOUTH}
        assert home_regions(in_force, "nobody") is None


class TestRouted:
    async def test_no_first_try_and_no_retry_elsewhere(self) -> None:
        """Retries went to any server that was left."""
        async with start_routed() as loopback:
            await add_server(loopback, "n-1", NORTH)
            await add_server(loopback, "s-1", SOUTH)
            await add_server(loopback, "s-2", SOUTH)
            control = loopback.control
            control.configuration = bind(control.configuration, (NORTH,))
            for _ in range(10):
                assert status(await loopback.ask("/stock/1")) == 200
            assert {name for name, _ in loopback.requests} == {"n-1"}

    async def test_without_a_server_at_home_it_is_refused(self) -> None:
        async with start_routed() as loopback:
            await add_server(loopback, "s-1", SOUTH)
            control = loopback.control
            control.configuration = bind(control.configuration, (NORTH,))
            assert status(await loopback.ask("/stock/1")) == 503
            assert loopback.requests == []

    async def test_gate_refuses_a_server_that_was_chosen_before(self) -> None:
        """The route was bound while the connection was opened."""
        control = FakeControlPort(guild_configuration(), FakeLedger())
        control.servers["s-1"] = Announcement(
            "s-1", "service", "a:1", "hall", 1, 1, ("stock",), region=SOUTH
        )
        declared = control.configuration.declarations._replace(
            routes={STOCK.name: STOCK}
        )
        open_to_all = control.configuration._replace(declarations=declared)
        intent = RoutedIntent(STOCK, CUSTOMER, "s-1")
        control.configuration = open_to_all
        assert check_routed_dispatch(control, intent) is None
        for bound in (
            bind(open_to_all, route=(NORTH,)),
            bind(open_to_all, customer=(NORTH,)),
        ):
            control.configuration = bound
            refusal = check_routed_dispatch(control, intent)
            assert refusal is not None
            assert refusal.run == "not_run"

    async def test_no_entry_elsewhere_gets_the_body(self) -> None:
        """An entry without servers let any other one forward it."""
        async with start_entries(2) as loopbacks:
            asked, other = loopbacks
            await add_server(asked, "n-1", NORTH)
            address = asked.control.servers["n-1"].address
            asked.entry.context.server_loss.record_refused_dial(address)
            for loopback in loopbacks:
                loopback.control.configuration = bind(
                    loopback.control.configuration, (NORTH,)
                )
                loopback.control.entry_addresses = (
                    entry_address(asked)._replace(region=NORTH),
                    entry_address(other)._replace(region=SOUTH),
                )
            assert status(await asked.ask("/stock/1")) == 503
            asked.control.entry_addresses = (
                entry_address(asked)._replace(region=NORTH),
                entry_address(other)._replace(region=NORTH),
            )
            assert status(await asked.ask("/stock/1")) == 200


class TestOwnInterface:
    async def test_chat_runs_at_home(self) -> None:
        async with start_loopback() as loopback:
            for number, region in ((1, SOUTH), (2, NORTH)):
                engine = FakeEngine(f"engine-{number}", (LARGE,))
                await loopback.add_engine(engine)
                servers = loopback.control.servers
                name = f"engine-{number}"
                servers[name] = servers[name]._replace(region=region)
            control = loopback.control
            control.configuration = bind(
                control.configuration, customer=(NORTH,)
            )
            for _ in range(6):
                assert (await loopback.chat()).status == 200
            control.configuration = bind(
                control.configuration, customer=("west",)
            )
            assert (await loopback.chat()).status == 503

    def test_gate_refuses_engines_and_services_elsewhere(self) -> None:
        control = FakeControlPort(
            bind(guild_configuration(), customer=(NORTH,)), FakeLedger()
        )
        engine = Announcement(
            "e-1", "engine", "a:1", "hall", 1, 1, (LARGE,), region=SOUTH
        )
        control.servers = {
            "e-1": engine,
            "s-1": engine._replace(name="s-1", versions=("orders",)),
        }
        for intent in (
            DispatchIntent(CUSTOMER, "large", LARGE, "e-1"),
            DispatchIntent(CUSTOMER, "", "orders", "s-1", claim_held=True),
        ):
            refusal = check_dispatch(control, intent)
            assert refusal is not None
            assert refusal.code == "no_backend_server"
