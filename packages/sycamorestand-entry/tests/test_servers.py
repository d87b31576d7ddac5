"""Choice of servers by observed load, and the room that they share."""

from __future__ import annotations

import math
from random import Random

import pytest

from sycamorestand_bench.fakes.control_port import FakeControlPort
from sycamorestand_bench.fakes.control_port import FakeLedger
from sycamorestand_decisions.server_room import Work
from sycamorestand_decisions.shared_room import SharedRoom
from sycamorestand_entry.servers import Servers
from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import Service
from sycamorestand_model.in_force import InForce
from sycamorestand_model.routes import EngineTraits
from sycamorestand_model.server_loads import LoadHeader
from sycamorestand_model.server_loads import ObservedLoad

UNKNOWN = ObservedLoad(None, math.inf, 0.0, 0, 0, 0, 0, math.inf)
TOLD = UNKNOWN._replace(
    header=LoadHeader(10, 0, 24, 1.0), header_age_s=0.0, usual_slowness=1.0
)


ENGINE = EngineTraits(slots=24, kv_tokens=0)


class Scene:
    """An entry that knows three servers of a service."""

    def __init__(self, engine: EngineTraits | None = ENGINE) -> None:
        service = Service("nest", engine=engine)
        declarations = Declarations(services={"nest": service})
        self.control = FakeControlPort(InForce(1, declarations), FakeLedger())
        self.loads = dict.fromkeys(("s0", "s1", "s2"), UNKNOWN)
        for name in self.loads:
            self.control.servers[name] = Announcement(
                name, "service", name, "hall", 1, 1, ("nest",), capacity=24
            )
        self.servers = Servers(
            self.control,
            Random(1),
            observed=lambda name, now_s: self.loads[name],
        )

    def room(self) -> SharedRoom | None:
        return self.servers.shared_room("nest", 1.0)


class TestSharedRoom:
    def test_none_until_a_server_tells_its_slowness(self) -> None:
        scene = Scene()
        assert scene.room() is None
        scene.loads["s0"] = TOLD._replace(own_requests=4)
        assert scene.room() == SharedRoom(14 + 24 + 24, 10, 4)

    def test_none_where_a_server_that_answered_tells_nothing(self) -> None:
        """Its slots would be taken as free while other entries use them."""
        scene = Scene()
        scene.loads["s0"] = TOLD
        scene.servers.record_first_byte("nest", "s1", 1.0, 0.1)
        assert scene.room() is None
        silent = Scene()
        silent.loads["s0"] = TOLD
        silent.loads["s1"] = TOLD._replace(usual_slowness=0.0)
        assert silent.room() is None

    def test_none_for_a_plain_service(self) -> None:
        """Each of 64 entries had one of 18 slots, most of which were free."""
        scene = Scene(engine=None)
        scene.loads.update(dict.fromkeys(scene.loads, TOLD))
        assert scene.room() is None

    def test_ejected_servers_are_left_out(self) -> None:
        scene = Scene()
        scene.loads.update(dict.fromkeys(scene.loads, TOLD))
        assert scene.room() == SharedRoom(42, 30, 0)
        for _ in range(6):
            scene.servers.record_start("nest", "s0", 1.0)
            scene.servers.record_finish("nest", "s0", 1.0, 0.1, "error")
        assert scene.room() == SharedRoom(28, 20, 0)

    def test_declared_tokens_limit_free_slots(self) -> None:
        scene = Scene(EngineTraits(slots=16, kv_tokens=120_000))
        load = TOLD._replace(own_requests=10, own_tokens=100_000)
        scene.loads.update(dict.fromkeys(scene.loads, load))
        assert scene.room() == SharedRoom(6, 30, 30)


class TestChoose:
    @pytest.mark.parametrize(
        "work", [Work(0.1, 1.0), Work(0.0, 0.05, is_call=True)]
    )
    def test_server_where_the_work_ends_first_is_chosen(
        self, work: Work
    ) -> None:
        scene = Scene()
        slow = TOLD._replace(header=LoadHeader(10, 0, 24, 2.5))
        scene.loads.update(s0=slow, s1=TOLD, s2=slow)
        names = {
            scene.servers.choose("nest", 1.0, (), work=work).name
            for _ in range(20)
        }
        assert names == {"s1"}
