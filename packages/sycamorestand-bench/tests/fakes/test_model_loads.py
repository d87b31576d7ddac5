"""Test the load planner with a weight store and engines."""

from __future__ import annotations

from typing import Any

import pytest

from sycamorestand_bench.fakes.declared import guild_configuration
from sycamorestand_bench.fakes.faults import Fault
from sycamorestand_bench.fakes.loopback import serve_on_port
from sycamorestand_bench.fakes.ordered_engine import FakeOrderedEngine
from sycamorestand_bench.fakes.weight_store import FakeWeightStore
from sycamorestand_control.orders.planner import Inputs
from sycamorestand_control.orders.planner import LoadPlanner
from sycamorestand_control.orders.planner import PLAN_INTERVAL_S
from sycamorestand_control.orders.planner import WARM_UP_S
from sycamorestand_control.orders.weight_store import WeightStore
from sycamorestand_model.backend_servers import LoadReport
from sycamorestand_model.in_force import InForce
from sycamorestand_model.in_force import RolloutShare

from .order_leaders import Cluster
from .order_leaders import Leader

pytestmark = pytest.mark.anyio

SMALL, SMALL_NEXT = "nest-small@1", "nest-small@2"
LARGE = "nest-large@1"
WEIGHTS = {"nest-small/1": 7, "nest-small/2": 7, "nest-large/1": 70}


class PlannerHarness:
    """A leader's load planner with the inputs that tests set."""

    def __init__(self, store_address: str) -> None:
        self.cluster = Cluster()
        self.leader = Leader(self.cluster)
        self.in_force: InForce = guild_configuration()
        self.loads: dict[str, LoadReport] = {}
        self.shares: dict[str, float] = {}
        self.engines: dict[str, FakeOrderedEngine] = {}
        self.addresses: dict[str, str] = {}
        store = WeightStore(
            f"http://{store_address}", 0.3, lambda: self.cluster.now_s
        )
        inputs = Inputs(
            lambda: self.in_force,
            self.cluster.machine.orders,
            lambda: self.cluster.servers,
            lambda name: self.loads.get(name, LoadReport()),
            lambda: self.shares,
        )
        self.planner = LoadPlanner(
            inputs,
            self.leader.channel,
            store,
            2,
            lambda: self.cluster.now_s,
            lambda: self.cluster.now_s,
        )

    def announce(self) -> None:
        for name, engine in self.engines.items():
            announced = engine.announcement(self.addresses[name])
            self.cluster.servers[name] = announced

    async def elect_leader(self) -> None:
        self.cluster.now_s = 5_000.0
        await self.leader.elect()
        self.cluster.now_s += WARM_UP_S

    async def run_rounds(self, count: int = 1) -> list[Any]:
        """Plan ``count`` times, announce engines, and return all orders."""
        planned = []
        for _ in range(count):
            self.announce()
            await self.leader.channel.step()
            for order in self.planner.plan():
                await self.planner.carry_out(order)
                planned.append(order[:3])
            self.cluster.now_s += PLAN_INTERVAL_S
        self.announce()
        return planned


class TestModelLoads:
    async def test_stable_versions_load_before_a_rollout(self) -> None:
        """Guard against orders for weights that are missing or refused.

        Two empty engines load both stable versions once the weight store
        no longer refuses. A rollout then wants a version whose weights are
        missing: the planner gives no order until they exist.
        """
        fake = FakeWeightStore({**WEIGHTS, "nest-small/2": 0})
        engines = [FakeOrderedEngine(name) for name in "ab"]
        async with (
            serve_on_port(fake.application) as store,
            serve_on_port(engines[0].application) as first,
            serve_on_port(engines[1].application) as second,
        ):
            harness = PlannerHarness(store)
            harness.engines = {engine.name: engine for engine in engines}
            harness.addresses = {"a": first, "b": second}
            await harness.elect_leader()
            fake.switch.fault = Fault("refuse", times=1)
            await harness.run_rounds(1)
            assert not any(engine.received for engine in engines)
            harness.cluster.now_s += 10.0
            await harness.run_rounds(3)
            assert _loaded(engines) == [LARGE, SMALL]
            share = RolloutShare("2", 0.1, 1, "running")
            harness.in_force = harness.in_force._replace(
                shares={"nest-small": share}
            )
            await harness.run_rounds(3)
            assert _loaded(engines) == [LARGE, SMALL]
            assert harness.planner.missing() == (SMALL_NEXT,)
            fake.size_bytes["nest-small/2"] = 7
            harness.cluster.now_s += 60.0
            await harness.run_rounds(2)
            assert _loaded(engines) == [LARGE, SMALL, SMALL_NEXT]
            orders = len(harness.cluster.machine.orders())
            assert await harness.run_rounds(3) == []
            assert len(harness.cluster.machine.orders()) == orders

    async def test_withdrawn_version_stays_while_requests_run(self) -> None:
        """Guard against cutting running requests of a withdrawn version.

        The engine has no room for another version. The planner unloads the
        withdrawn version only after its last request, and then loads the
        other one.
        """
        fake = FakeWeightStore(WEIGHTS)
        engine = FakeOrderedEngine("a", (SMALL,), max_versions=1)
        async with (
            serve_on_port(fake.application) as store,
            serve_on_port(engine.application) as address,
        ):
            harness = PlannerHarness(store)
            harness.engines, harness.addresses = {"a": engine}, {"a": address}
            harness.in_force = harness.in_force._replace(withdrawn=(SMALL,))
            harness.loads["a"] = LoadReport(running=1)
            await harness.elect_leader()
            assert await harness.run_rounds(2) == []
            del harness.loads["a"]
            planned = await harness.run_rounds(2)
        assert planned == [("unload", "a", SMALL), ("load", "a", LARGE)]
        assert engine.versions == (LARGE,)

    async def test_restarted_engine_gets_its_load_again(self) -> None:
        """Guard against counting a lost version as loading.

        An engine loads a version, announces it, and restarts empty. Its
        order is done and recent, so the version would count as loading for
        a quarter of an hour in which no engine serves it.
        """
        fake = FakeWeightStore(WEIGHTS)
        engine = FakeOrderedEngine("a", (LARGE,))
        async with (
            serve_on_port(fake.application) as store,
            serve_on_port(engine.application) as address,
        ):
            harness = PlannerHarness(store)
            harness.engines, harness.addresses = {"a": engine}, {"a": address}
            await harness.elect_leader()
            assert await harness.run_rounds(2) == [("load", "a", SMALL)]
            engine.versions = (LARGE,)
            assert await harness.run_rounds(1) == [("load", "a", SMALL)]

    async def test_new_leader_waits_before_planning(self) -> None:
        """Guard against loading a version that another server holds.

        A new leader knows only one of two servers. Planning at once would
        load on it a version that the other server already holds.
        """
        harness = PlannerHarness("127.0.0.1:1")
        harness.engines = {"a": FakeOrderedEngine("a")}
        harness.addresses = {"a": "127.0.0.1:1"}
        harness.announce()
        await harness.leader.elect()
        assert harness.planner.plan() == []
        harness.cluster.now_s += WARM_UP_S
        assert harness.planner.plan() != []
        harness.leader.term = None
        assert harness.planner.plan() == []


def _loaded(engines: list[FakeOrderedEngine]) -> list[str]:
    return sorted(v for engine in engines for v in engine.versions)
