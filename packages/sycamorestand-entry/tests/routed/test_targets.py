"""Which version a routed request goes to while one is rolled out."""

from __future__ import annotations

import math
import time
from types import SimpleNamespace
from typing import Any

import pytest

from sycamorestand_bench.fakes.control_port import FakeControlPort
from sycamorestand_bench.fakes.control_port import FakeLedger
from sycamorestand_decisions.retained_sessions import RetainedSessions
from sycamorestand_decisions.retained_sessions import Step
from sycamorestand_entry.routed.call import RoutedCall
from sycamorestand_entry.routed.decision_log import DecisionLog
from sycamorestand_entry.routed.pace import Pace
from sycamorestand_entry.routed.pace import PACE_EVENTS
from sycamorestand_entry.routed.targets import choose_target
from sycamorestand_entry.routed.targets import current_target
from sycamorestand_entry.routed.targets import note_session
from sycamorestand_entry.servers import Servers
from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import Model
from sycamorestand_model.declarations import Version
from sycamorestand_model.in_force import InForce
from sycamorestand_model.in_force import RolloutShare
from sycamorestand_model.routes import Route
from sycamorestand_model.routes import RouteTarget

OLD, NEW = "nest@v1", "nest@v2"
IDLE_S = 5.0
ROUTE = Route("r", "h", "/p/", (RouteTarget("nest"),), "stream", 9, 9, 0, 3)
MODEL = Model(
    "nest", "v1", {n: Version("nest", n, 0, 0) for n in ("v1", "v2")}
)


class Scene:
    """An entry with servers of two versions of one service."""

    def __init__(self, old: int = 2, new: int = 2) -> None:
        self.control = FakeControlPort(InForce(), FakeLedger())
        for version, count in ((OLD, old), (NEW, new)):
            for number in range(count):
                name = f"{version}-{number}"
                self.control.servers[name] = Announcement(
                    name, "service", name, "hall", 1, 1, ("nest", version)
                )
        self.context: Any = SimpleNamespace(control=self.control)
        self.context.staying = RetainedSessions(IDLE_S)
        self.context.servers = Servers(self.control, None)  # type: ignore[arg-type]

    def share(self, share: float) -> None:
        self.control.configuration = InForce(
            1,
            Declarations(models={"nest": MODEL}),
            shares={"nest": RolloutShare("v2", share, 0, "running")},
        )

    def target(self, session: str) -> str:
        return choose_target(self.context, call(session))

    def serve(self, session: str) -> str:
        target = self.target(session)
        note_session(self.context, call(session), target)
        return target

    def hear(self, other: Scene) -> None:
        for told in other.control.sent_messages:
            step = Step(told.service, told.version, told.step)
            self.context.staying.retain(step, told.places)


def call(session: str) -> RoutedCall:
    return RoutedCall(
        ROUTE,
        "",
        0,
        1.0,
        b"GET",
        b"/p/",
        b"1",
        session,
        [],
        {},
        b"",
        0.0,
        DecisionLog(),
        lambda: math.inf,
    )


class TestTarget:
    def test_no_session_goes_back_as_the_share_grows(self) -> None:
        """A session meets another entry with each connection.

        Entries remember nothing of it; whoever has met the new version
        must meet it again at every later share, or its answers mix two.
        """
        scene = Scene()
        names = [f"s-{number}" for number in range(300)]
        moved: set[str] = set()
        for share in (0.12, 0.4, 0.9999):
            scene.share(share)
            now = {name for name in names if scene.target(name) == NEW}
            assert moved <= now
            moved = now
        assert moved == set(names)

    def test_without_servers_of_the_new_version_the_old_one_answers(
        self,
    ) -> None:
        """The order comes seconds before the first new server does."""
        scene = Scene(new=0)
        scene.share(1.0)
        assert scene.target("s") == OLD

    def test_without_servers_of_the_old_version_no_more_goes_to_the_new(
        self,
    ) -> None:
        """An entry starts anew and hears of the new servers first.

        All its requests went to a version that nobody had judged yet, and
        it was a bad one.
        """
        scene = Scene(old=0)
        scene.share(0.13)
        names = [f"s-{number}" for number in range(1_000)]
        exposed = sum(scene.target(name) == NEW for name in names)
        assert 100 < exposed < 160

    def test_once_all_work_is_the_new_ones_the_old_one_is_not_missed(
        self,
    ) -> None:
        scene = Scene(old=0)
        scene.share(1.0)
        assert scene.target("s") == NEW

    def test_a_new_version_whose_servers_are_all_out_is_stood_in_for(
        self,
    ) -> None:
        """Both servers of the first share crash.

        Requests that were placed on them were refused, with nine of the
        old version free.
        """
        scene = Scene(old=9)
        scene.share(0.9999)
        servers = scene.context.servers
        assert servers.capacity(OLD, time.monotonic()) > 0
        for name in (f"{NEW}-0", f"{NEW}-1"):
            for _ in range(5):
                now_s = time.monotonic()
                servers.record_start(NEW, name, now_s)
                servers.record_finish(NEW, name, now_s, 0.0, "error")
        assert servers.capacity(NEW, time.monotonic()) == 0
        assert scene.target("s") == OLD

    def test_before_the_order_the_larger_version_answers(self) -> None:
        """New servers announce themselves before the order is committed.

        By the service's name alone they got their whole share at once.
        """
        scene = Scene(old=3, new=2)
        assert scene.target("s") == OLD

    @pytest.mark.parametrize(("share", "expected"), [(0.5, NEW), (0.0, OLD)])
    def test_the_next_attempt_leaves_a_version_that_was_taken_back(
        self, share: float, expected: str
    ) -> None:
        scene = Scene()
        scene.share(share)
        assert current_target(scene.context, call("s"), NEW) == expected


class TestSessionsUnderWay:
    NAMES = tuple(f"s-{number}" for number in range(100))

    def test_they_stay_when_a_share_begins(self) -> None:
        """Four sessions changed their version in the middle of it."""
        here, elsewhere = Scene(), Scene()
        for scene in (here, elsewhere):
            scene.share(0.0)
        assert {here.serve(name) for name in self.NAMES} == {OLD}
        for scene in (here, elsewhere):
            scene.share(0.13)
        assert {here.serve(name) for name in self.NAMES} == {OLD}
        elsewhere.hear(here)
        assert {elsewhere.serve(name) for name in self.NAMES} == {OLD}
        later = [f"t-{number}" for number in range(300)]
        moved = sum(here.serve(name) == NEW for name in later)
        assert 20 < moved < 60

    def test_those_that_were_stood_in_for_stay(self) -> None:
        """The new version's servers come a second after the order."""
        scene, other = Scene(new=0), Scene()
        for one in (scene, other):
            one.share(0.13)
        assert {scene.serve(name) for name in self.NAMES} == {OLD}
        other.hear(scene)
        assert {other.serve(name) for name in self.NAMES} == {OLD}

    def test_they_move_once_nearly_all_work_is_the_new_ones(self) -> None:
        scene = Scene()
        for share in (0.0, 0.13):
            scene.share(share)
            assert {scene.serve(name) for name in self.NAMES} == {OLD}
        scene.share(0.9999)
        assert {scene.serve(name) for name in self.NAMES} == {NEW}

    def test_requests_without_a_session_never_stay(self) -> None:
        scene = Scene(new=0)
        scene.share(0.13)
        scene.serve("")
        assert not scene.control.sent_messages


class TestPace:
    def test_the_mean_pause_is_known_once(self) -> None:
        pace = Pace()
        assert pace.add(4, 10.0) is None
        assert pace.add(PACE_EVENTS, 10.5) == 500.0 / PACE_EVENTS
        assert pace.add(PACE_EVENTS, 11.0) is None

    def test_pieces_without_an_event_do_not_count(self) -> None:
        pace = Pace()
        assert pace.add(0, 9.0) is None
        assert pace.add(1, 10.0) is None
        assert pace.add(0, 11.0) is None
