"""Contract of engines that take orders, with a table of their faults."""

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
# A fault, the phase that is recorded, and whether the engine acted.
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
    async def test_faults(
        self,
        fault: Fault,
        phase: str,
        acted: bool,
        honours_fencing: bool,
        deliveries: int,
    ) -> None:
        """The engine shows one fault of the table, then none.

        The leader records what it may believe, never ``done`` of an order
        that the engine did not take. An order without an answer goes again
        after its time of flight and ends as done.
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
            assert await leader.channel.give("load", "a", V1) == phase
            assert cluster.phases() == [phase]
            assert bool(engine.applied) == acted
            engine.switch.fault = Fault()
            await leader.channel.step()
            assert cluster.phases() == [phase]
            cluster.now_s += FLIGHT_S
            await leader.channel.step()
        assert cluster.phases() == [phase.replace("unknown", "done")]
        assert engine.versions == ((V1,) if phase != "failed" else ())

    async def test_nobody_there_is_a_failure_not_an_open_order(self) -> None:
        cluster = Cluster()
        leader = Leader(cluster)
        cluster.servers["a"] = FakeOrderedEngine("a").announcement(
            "127.0.0.1:1"
        )
        await leader.elect()
        assert await leader.channel.give("load", "a", V1) == "failed"
        assert "not sent" in cluster.machine.orders()[0].detail

    async def test_a_stale_number_is_recorded_as_superseded(self) -> None:
        engine = FakeOrderedEngine("a")
        engine.highest_number = 99 << 32
        cluster = Cluster()
        leader = Leader(cluster)
        async with serve_on_port(engine.application) as address:
            cluster.servers["a"] = engine.announcement(address)
            await leader.elect()
            assert await leader.channel.give("load", "a", V1) == "failed"
        assert "superseded" in cluster.machine.orders()[0].detail
        assert leader.channel.superseded == 1
        assert not engine.applied


class TestLimits:
    async def test_one_open_order_a_server_and_few_loads_at_once(self) -> None:
        """Every server is asked at once to load two versions.

        The weight store serves one load. The first is on its way while
        all others are asked for, and then accepted but not announced: no
        other load may start before that.
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
                            leader.channel.give, "load", name, version
                        )
            assert len(engines[0].received) == 1
            assert not engines[1].received
            assert await leader.channel.give("load", "b", V1) == ""
            cluster.servers["a"] = engines[0].announcement(first)
            assert await leader.channel.give("load", "b", V1) == "done"

    async def test_a_silent_engine_is_given_up(self) -> None:
        """An engine never answers.

        Without a bound each send is two records in the log, for ever. The
        order ends as failed once the last send can have no effect.
        """
        engine = FakeOrderedEngine("a")
        engine.switch.fault = Fault("silent")
        cluster = Cluster()
        leader = Leader(cluster)
        async with serve_on_port(engine.application) as address:
            cluster.servers["a"] = engine.announcement(address)
            await leader.elect()
            await leader.channel.give("load", "a", V1)
            for _ in range(MAX_SENDS + 2):
                cluster.now_s += FLIGHT_S
                await leader.channel.step()
        assert len(engine.received) == MAX_SENDS
        assert cluster.phases() == ["failed"]

    @pytest.mark.parametrize(
        "fields", [{"leaving": True}, {"max_versions": 0}]
    )
    async def test_no_order_to_who_takes_none(
        self, fields: dict[str, int]
    ) -> None:
        cluster = Cluster()
        leader = Leader(cluster)
        announced = FakeOrderedEngine("a").announcement("127.0.0.1:1")
        cluster.servers["a"] = announced._replace(**fields)
        await leader.elect()
        assert await leader.channel.give("load", "a", V1) == ""
        assert not cluster.machine.orders()


class TestLeaderLost:
    @pytest.mark.parametrize("honours_fencing", [True, False])
    @pytest.mark.parametrize("lost_after", ["intended", "done"])
    async def test_between_order_and_record(
        self, lost_after: str, honours_fencing: bool
    ) -> None:
        """A leader is cut off around an order; the next one takes over.

        Either the intent is committed and its answer lost, so nothing was
        sent, or the order was acted on and its outcome did not get out.
        The new leader waits out lease and flight, sends it again under
        its own number, and unloads afterwards. The old one, which still
        believes to lead, must have no effect after that.
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
            await old.channel.give("load", "a", V1)
            sent_by_old = len(engine.received)
            assert sent_by_old == (1 if lost_after == "done" else 0)
            assert cluster.phases() == ["intended"]
            await new.elect()
            await new.channel.step()
            assert await new.channel.give("unload", "a", V1) == ""
            assert len(engine.received) == sent_by_old
            cluster.now_s += FLIGHT_S
            await new.channel.step()
            assert cluster.phases() == ["done"]
            assert await new.channel.give("unload", "a", V1) == "done"
            old.lease_until_s = 0.0
            await old.channel.step()
            assert await old.channel.give("load", "a", V2) == ""
        assert engine.versions == ()
        terms = [order.term for order in engine.applied]
        assert terms == sorted(terms)
        assert [order.action for order in engine.applied][-1] == "unload"

    async def test_suspended_between_record_and_send(self) -> None:
        """A leader is suspended right after its intent was committed.

        Meanwhile another leads, waits, and finishes the order. The old
        one wakes with a connection made; it asks again before the first
        byte and sends nothing, so that an engine that ignores numbers is
        safe too.
        """
        engine = FakeOrderedEngine("a", honours_fencing=False)
        cluster = Cluster()
        old, new = Leader(cluster), Leader(cluster)
        async with serve_on_port(engine.application) as address:
            cluster.servers["a"] = engine.announcement(address)
            await old.elect()

            async def others_meanwhile() -> None:
                old.lease_until_s = 0.0
                await new.elect()
                cluster.now_s += FLIGHT_S
                await new.channel.step()
                await new.channel.give("unload", "a", V1)

            old.after_intent = others_meanwhile
            assert await old.channel.give("load", "a", V1) == "failed"
        assert [order.term for order in engine.received] == [2, 2]
        assert engine.versions == ()
        assert cluster.phases() == ["done", "done"]

    async def test_a_load_that_is_no_longer_wanted_is_given_up(self) -> None:
        """A version is withdrawn while its load has no outcome.

        Resumed blindly, the order would load a version that may get no
        work. It is given up once nothing of it is on its way.
        """
        cluster = Cluster()
        old, new = Leader(cluster), Leader(cluster)
        engine = FakeOrderedEngine("a")
        async with serve_on_port(engine.application) as address:
            cluster.servers["a"] = engine.announcement(address)
            await old.elect()
            old.lost_after = "intended"
            await old.channel.give("load", "a", V1)
            new.is_load_wanted = False
            await new.elect()
            cluster.now_s += FLIGHT_S
            await new.channel.step()
        assert cluster.phases() == ["failed"]
        assert not engine.received


class TestAnnouncement:
    @pytest.mark.parametrize("with_load", [True, False])
    def test_load_and_room_for_versions_are_read_by_name(
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
