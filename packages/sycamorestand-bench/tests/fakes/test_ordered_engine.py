"""Test the order channel against the faults of an engine."""

from __future__ import annotations

import anyio
import msgspec
import pytest

from sycamorestand_bench.fakes.faults import Fault
from sycamorestand_bench.fakes.loopback import serve_on_port
from sycamorestand_bench.fakes.ordered_engine import FakeOrderedEngine
from sycamorestand_control.orders.channel import MAX_SENDS
from sycamorestand_entry.announcements import decode_announcement
from sycamorestand_model.backend_servers import LoadReport

from .order_leaders import Cluster
from .order_leaders import Leader

pytestmark = pytest.mark.anyio

V1 = "nest-small@1"
V2 = "nest-small@2"
FLIGHT_S = 10.0
# A fault, the phase that the leader records, and whether the engine applied
# the order.
CASES = [
    (Fault(), "done", True),
    (Fault("garbage"), "done", True),
    (Fault("slow", pause_s=0.02), "done", True),
    (Fault("refuse"), "failed", False),
    (Fault("cut"), "unknown", True),
    (Fault("error"), "unknown", True),
    (Fault("late"), "unknown", True),
    (Fault("silent"), "unknown", False),
]


@pytest.fixture(autouse=True)
def short_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        "sycamorestand_control.orders.engine_call.ENGINE_TIMEOUT_S", 0.3
    )


class TestOneOrder:
    @pytest.mark.parametrize("honours_fencing", [True, False])
    @pytest.mark.parametrize("deliveries", [1, 2])
    @pytest.mark.parametrize(("fault", "phase", "acted"), CASES)
    async def test_recorded_phase_matches_the_effect(
        self,
        fault: Fault,
        phase: str,
        acted: bool,
        honours_fencing: bool,
        deliveries: int,
    ) -> None:
        """Guard against ``done`` for an order that the engine did not apply.

        An order without an answer stays ``unknown``. The leader sends it
        again after the order timeout, when the engine has no fault any
        more, and records ``done``.
        """
        engine = FakeOrderedEngine(
            "a", honours_fencing=honours_fencing, deliveries=deliveries
        )
        engine.switch.fault = fault
        cluster = Cluster()
        leader = Leader(cluster)
        async with serve_on_port(engine.application) as address:
            cluster.servers["a"] = engine.announcement(address)
            await leader.elect()
            assert await leader.channel.issue_order("load", "a", V1) == phase
            assert cluster.phases() == [phase]
            assert bool(engine.applied) == acted
            engine.switch.fault = Fault()
            await leader.channel.step()
            assert cluster.phases() == [phase]
            cluster.now_s += FLIGHT_S
            await leader.channel.step()
        assert cluster.phases() == [phase.replace("unknown", "done")]
        assert engine.versions == ((V1,) if phase != "failed" else ())

    async def test_unreachable_engine_fails_the_order(self) -> None:
        cluster = Cluster()
        leader = Leader(cluster)
        cluster.servers["a"] = FakeOrderedEngine("a").announcement(
            "127.0.0.1:1"
        )
        await leader.elect()
        assert await leader.channel.issue_order("load", "a", V1) == "failed"
        assert "not sent" in cluster.machine.orders()[0].detail

    async def test_engine_at_rest_gets_no_orders(self) -> None:
        """An engine that asked for rest got order after order."""
        engine = FakeOrderedEngine("a")
        engine.switch.fault = Fault("refuse", rest_s=3.0)
        cluster = Cluster()
        leader = Leader(cluster)
        async with serve_on_port(engine.application) as address:
            cluster.servers["a"] = engine.announcement(address)
            await leader.elect()
            assert (
                await leader.channel.issue_order("load", "a", V1) == "failed"
            )
            engine.switch.fault = Fault()
            for _ in range(4):
                assert not await leader.channel.issue_order("load", "a", V1)
                cluster.now_s += 0.7
            assert len(engine.received) == 1
            cluster.now_s += 0.3
            assert await leader.channel.issue_order("load", "a", V1) == "done"

    async def test_stale_fencing_number_is_recorded_as_superseded(
        self,
    ) -> None:
        engine = FakeOrderedEngine("a")
        engine.highest_number = 99 << 32
        cluster = Cluster()
        leader = Leader(cluster)
        async with serve_on_port(engine.application) as address:
            cluster.servers["a"] = engine.announcement(address)
            await leader.elect()
            assert (
                await leader.channel.issue_order("load", "a", V1) == "failed"
            )
        assert "superseded" in cluster.machine.orders()[0].detail
        assert leader.channel.superseded == 1
        assert not engine.applied


class TestLimits:
    async def test_one_open_order_per_server_and_limited_loads(self) -> None:
        """Guard against more concurrent loads than the store can serve.

        Both servers are ordered at once to load two versions, and the
        weight store serves one load. While the first load is in flight, or
        accepted but not yet announced, no other load may start.
        """
        engines = [FakeOrderedEngine(name) for name in "ab"]
        engines[0].switch.fault = Fault("slow", pause_s=0.05)
        cluster = Cluster()
        leader = Leader(cluster, loads_at_once=1)
        async with (
            serve_on_port(engines[0].application) as first,
            serve_on_port(engines[1].application) as second,
        ):
            cluster.servers["a"] = engines[0].announcement(first)
            cluster.servers["b"] = engines[1].announcement(second)
            await leader.elect()
            async with anyio.create_task_group() as tasks:
                for name in "ab":
                    for version in (V1, V2):
                        tasks.start_soon(
                            leader.channel.issue_order, "load", name, version
                        )
            assert len(engines[0].received) == 1
            assert not engines[1].received
            assert await leader.channel.issue_order("load", "b", V1) == ""
            cluster.servers["a"] = engines[0].announcement(first)
            assert await leader.channel.issue_order("load", "b", V1) == "done"

    async def test_silent_engine_fails_the_order_after_max_sends(self) -> None:
        """Guard against resending to a silent engine without a limit.

        Each send adds two records to the log. The order becomes ``failed``
        once the last send can no longer have an effect.
        """
        engine = FakeOrderedEngine("a")
        engine.switch.fault = Fault("silent")
        cluster = Cluster()
        leader = Leader(cluster)
        async with serve_on_port(engine.application) as address:
            cluster.servers["a"] = engine.announcement(address)
            await leader.elect()
            await leader.channel.issue_order("load", "a", V1)
            for _ in range(MAX_SENDS + 2):
                cluster.now_s += FLIGHT_S
                await leader.channel.step()
        assert len(engine.received) == MAX_SENDS
        assert cluster.phases() == ["failed"]

    @pytest.mark.parametrize(
        "fields", [{"leaving": True}, {"max_versions": 0}]
    )
    async def test_no_order_to_an_engine_that_accepts_none(
        self, fields: dict[str, int]
    ) -> None:
        cluster = Cluster()
        leader = Leader(cluster)
        announced = FakeOrderedEngine("a").announcement("127.0.0.1:1")
        cluster.servers["a"] = announced._replace(**fields)
        await leader.elect()
        assert await leader.channel.issue_order("load", "a", V1) == ""
        assert not cluster.machine.orders()


class TestLeaderLost:
    @pytest.mark.parametrize("honours_fencing", [True, False])
    @pytest.mark.parametrize("lost_after", ["intended", "done"])
    async def test_next_leader_finishes_the_order(
        self, lost_after: str, honours_fencing: bool
    ) -> None:
        """Guard against effects of a deposed leader after its successor's.

        A leader loses its quorum around an order. Either the answer to the
        commit of its intent is lost, so it sends nothing, or the engine
        applies the order and the outcome is not recorded. The next leader
        waits for the lease and the order timeout to expire, sends the order
        again with its own fencing number, and unloads afterwards.
        """
        engine = FakeOrderedEngine("a", honours_fencing=honours_fencing)
        cluster = Cluster()
        old, new = Leader(cluster), Leader(cluster)
        async with serve_on_port(engine.application) as address:
            cluster.servers["a"] = engine.announcement(address)
            await old.elect()
            if lost_after == "done":
                old.cut_off_before = "done"
            else:
                old.lost_after = lost_after
            await old.channel.issue_order("load", "a", V1)
            sent_by_old = len(engine.received)
            assert sent_by_old == (1 if lost_after == "done" else 0)
            assert cluster.phases() == ["intended"]
            await new.elect()
            await new.channel.step()
            assert await new.channel.issue_order("unload", "a", V1) == ""
            assert len(engine.received) == sent_by_old
            cluster.now_s += FLIGHT_S
            await new.channel.step()
            assert cluster.phases() == ["done"]
            assert await new.channel.issue_order("unload", "a", V1) == "done"
            old.lease_until_s = 0.0
            await old.channel.step()
            assert await old.channel.issue_order("load", "a", V2) == ""
        assert engine.versions == ()
        terms = [order.term for order in engine.applied]
        assert terms == sorted(terms)
        assert [order.action for order in engine.applied][-1] == "unload"

    async def test_leader_suspended_before_sending_sends_nothing(self) -> None:
        """Guard against a late send to an engine that ignores fencing.

        A leader is suspended right after the commit of its intent, and
        another leader finishes the order meanwhile. The first one resumes
        with an open connection; it checks its lease before the first byte
        and sends nothing.
        """
        engine = FakeOrderedEngine("a", honours_fencing=False)
        cluster = Cluster()
        old, new = Leader(cluster), Leader(cluster)
        async with serve_on_port(engine.application) as address:
            cluster.servers["a"] = engine.announcement(address)
            await old.elect()

            async def run_next_leader() -> None:
                old.lease_until_s = 0.0
                await new.elect()
                cluster.now_s += FLIGHT_S
                await new.channel.step()
                await new.channel.issue_order("unload", "a", V1)

            old.after_intent = run_next_leader
            assert await old.channel.issue_order("load", "a", V1) == "failed"
        assert [order.term for order in engine.received] == [2, 2]
        assert engine.versions == ()
        assert cluster.phases() == ["done", "done"]

    async def test_unwanted_load_is_not_resent(self) -> None:
        """Guard against resending the load of a withdrawn version.

        The version is withdrawn while the outcome of its load is unknown.
        It may get no requests, so the next leader records ``failed`` once
        no send of the order can still be in flight.
        """
        cluster = Cluster()
        old, new = Leader(cluster), Leader(cluster)
        engine = FakeOrderedEngine("a")
        async with serve_on_port(engine.application) as address:
            cluster.servers["a"] = engine.announcement(address)
            await old.elect()
            old.lost_after = "intended"
            await old.channel.issue_order("load", "a", V1)
            new.is_load_wanted = False
            await new.elect()
            cluster.now_s += FLIGHT_S
            await new.channel.step()
        assert cluster.phases() == ["failed"]
        assert not engine.received


class TestAnnouncement:
    @pytest.mark.parametrize("with_load", [True, False])
    def test_load_and_max_versions_are_decoded_by_name(
        self, with_load: bool
    ) -> None:
        announced = FakeOrderedEngine("a").announcement("127.0.0.1:1")
        announced = announced._replace(load=LoadReport(running=3))
        fields = announced._asdict()
        fields["load"] = announced.load._asdict()
        if not with_load:
            del fields["load"]
            announced = announced._replace(load=LoadReport())
        assert decode_announcement(msgspec.json.encode(fields)) == announced
