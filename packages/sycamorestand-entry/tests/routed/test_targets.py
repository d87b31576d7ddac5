"""Selection of a routed request's version during a roll-out."""

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
from sycamorestand_entry.request_parts import RequestParts
from sycamorestand_entry.routed.call import RoutedCall
from sycamorestand_entry.routed.decision_log import DecisionLog
from sycamorestand_entry.routed.pace import InitialPace
from sycamorestand_entry.routed.pace import PACE_EVENTS
from sycamorestand_entry.routed.targets import choose_target
from sycamorestand_entry.routed.targets import next_target
from sycamorestand_entry.routed.targets import record_session
from sycamorestand_entry.servers import Servers
from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import Model
from sycamorestand_model.declarations import Version
from sycamorestand_model.in_force import InForce
from sycamorestand_model.in_force import RolloutShare
from sycamorestand_model.request_digest import RequestContent
from sycamorestand_model.routes import Route
from sycamorestand_model.routes import RouteTarget

OLD, NEW = "nest@v1", "nest@v2"
IDLE_S = 5.0
ROUTE = Route("r", "h", "/p/", (RouteTarget("nest"),), "stream", 9, 9, 0, 3)
MODEL = Model(
    "nest", "v1", {n: Version("nest", n, 0, 0) for n in ("v1", "v2")}
)


class EntryScene:
    """An entry that knows servers of two versions of one service."""

    def __init__(self, old: int = 2, new: int = 2) -> None:
        self.control = FakeControlPort(InForce(), FakeLedger())
        for version, count in ((OLD, old), (NEW, new)):
            for number in range(count):
                name = f"{version}-{number}"
                self.control.servers[name] = Announcement(
                    name, "service", name, "hall", 1, 1, ("nest", version)
                )
        self.context: Any = SimpleNamespace(control=self.control)
        self.context.retained_sessions = RetainedSessions(IDLE_S)
        self.context.servers = Servers(self.control, None)  # type: ignore[arg-type]

    def set_share(self, share: float) -> None:
        self.control.configuration = InForce(
            1,
            Declarations(models={"nest": MODEL}),
            shares={"nest": RolloutShare("v2", share, 0, "running")},
        )

    def choose(self, session: str) -> str:
        return choose_target(self.context, make_call(session))

    def serve(self, session: str) -> str:
        target = self.choose(session)
        record_session(self.context, make_call(session), target)
        return target

    def receive_from(self, other: EntryScene) -> None:
        for message in other.control.sent_messages:
            step = Step(message.service, message.version, message.step)
            self.context.retained_sessions.retain(step, message.places)


def make_call(session: str) -> RoutedCall:
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
        RequestParts(
            RequestContent("", b"POST", b"", b"/p/", b""), (), InForce
        ),
    )


class TestTarget:
    def test_no_session_returns_to_the_old_version_as_the_share_grows(
        self,
    ) -> None:
        """Each connection of a session may reach another entry.

        Entries store no version for it. A session that got the new version
        must get it again at every later share, or its answers would come
        from both versions.
        """
        scene = EntryScene()
        names = [f"s-{number}" for number in range(300)]
        moved: set[str] = set()
        for share in (0.12, 0.4, 0.9999):
            scene.set_share(share)
            now = {name for name in names if scene.choose(name) == NEW}
            assert moved <= now
            moved = now
        assert moved == set(names)

    def test_old_version_answers_without_servers_of_the_new_one(
        self,
    ) -> None:
        """The roll-out begins seconds before its first server runs."""
        scene = EntryScene(new=0)
        scene.set_share(1.0)
        assert scene.choose("s") == OLD

    def test_new_version_gets_only_its_share_without_old_servers(
        self,
    ) -> None:
        """An entry restarts and learns of the new version's servers first.

        All its requests went to a version that was not evaluated yet and
        was a bad one.
        """
        scene = EntryScene(old=0)
        scene.set_share(0.13)
        names = [f"s-{number}" for number in range(1_000)]
        exposed = sum(scene.choose(name) == NEW for name in names)
        assert 100 < exposed < 160

    def test_complete_rollout_needs_no_old_servers(
        self,
    ) -> None:
        scene = EntryScene(old=0)
        scene.set_share(1.0)
        assert scene.choose("s") == NEW

    def test_old_version_answers_if_all_new_servers_are_ejected(
        self,
    ) -> None:
        """Both servers of the first share crash.

        Their requests were refused, although nine servers of the old
        version were free.
        """
        scene = EntryScene(old=9)
        scene.set_share(0.9999)
        servers = scene.context.servers
        assert servers.capacity(OLD, time.monotonic()) > 0
        for name in (f"{NEW}-0", f"{NEW}-1"):
            for _ in range(5):
                now_s = time.monotonic()
                servers.record_start(NEW, name, now_s)
                servers.record_finish(NEW, name, now_s, 0.0, "error")
        assert servers.capacity(NEW, time.monotonic()) == 0
        assert scene.choose("s") == OLD

    def test_version_with_most_servers_answers_before_the_rollout(
        self,
    ) -> None:
        """New servers announce themselves before the roll-out is committed.

        Selected by the service's name alone, they got their full share of
        the requests at once.
        """
        scene = EntryScene(old=3, new=2)
        assert scene.choose("s") == OLD

    @pytest.mark.parametrize(("share", "expected"), [(0.5, NEW), (0.0, OLD)])
    def test_next_attempt_leaves_a_version_that_was_rolled_back(
        self, share: float, expected: str
    ) -> None:
        scene = EntryScene()
        scene.set_share(share)
        assert next_target(scene.context, make_call("s"), NEW) == expected


class TestActiveSessions:
    NAMES = tuple(f"s-{number}" for number in range(100))

    def test_active_sessions_stay_at_the_first_step(self) -> None:
        """Four sessions changed their version when a roll-out began."""
        here, elsewhere = EntryScene(), EntryScene()
        for scene in (here, elsewhere):
            scene.set_share(0.0)
        assert {here.serve(name) for name in self.NAMES} == {OLD}
        for scene in (here, elsewhere):
            scene.set_share(0.13)
        assert {here.serve(name) for name in self.NAMES} == {OLD}
        elsewhere.receive_from(here)
        assert {elsewhere.serve(name) for name in self.NAMES} == {OLD}
        later = [f"t-{number}" for number in range(300)]
        moved = sum(here.serve(name) == NEW for name in later)
        assert 20 < moved < 60

    def test_sessions_begun_without_new_servers_stay(self) -> None:
        """The new version's servers come a second after the roll-out begins.

        Until then the old version answers the sessions in its share.
        """
        scene, other = EntryScene(new=0), EntryScene()
        for one in (scene, other):
            one.set_share(0.13)
        assert {scene.serve(name) for name in self.NAMES} == {OLD}
        other.receive_from(scene)
        assert {other.serve(name) for name in self.NAMES} == {OLD}

    def test_sessions_move_once_the_new_version_has_nearly_all_work(
        self,
    ) -> None:
        scene = EntryScene()
        for share in (0.0, 0.13):
            scene.set_share(share)
            assert {scene.serve(name) for name in self.NAMES} == {OLD}
        scene.set_share(0.9999)
        assert {scene.serve(name) for name in self.NAMES} == {NEW}

    def test_requests_without_a_session_never_stay(self) -> None:
        scene = EntryScene(new=0)
        scene.set_share(0.13)
        scene.serve("")
        assert not scene.control.sent_messages


class TestPace:
    def test_mean_pause_is_returned_once(self) -> None:
        pace = InitialPace()
        assert pace.add(4, 10.0) is None
        assert pace.add(PACE_EVENTS, 10.5) == 500.0 / PACE_EVENTS
        assert pace.add(PACE_EVENTS, 11.0) is None

    def test_reads_without_an_event_do_not_count(self) -> None:
        pace = InitialPace()
        assert pace.add(0, 9.0) is None
        assert pace.add(1, 10.0) is None
        assert pace.add(0, 11.0) is None
