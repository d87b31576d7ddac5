"""The quickstart's checks must see each kind of fault."""

from __future__ import annotations

from typing import Any

import pytest

from sycamorestand_bench.fakes.engine import EngineRecord
from sycamorestand_bench.fakes.engine import expected_text
from sycamorestand_bench.fakes.engine import FakeEngine
from sycamorestand_bench.fakes.service import FakeService
from sycamorestand_bench.fakes.service import ServiceRecord
from sycamorestand_bench.quickstart.caller import Answer
from sycamorestand_bench.quickstart.caller import Call
from sycamorestand_bench.quickstart.checks import compare
from sycamorestand_bench.quickstart.checks import Marks
from sycamorestand_bench.quickstart.checks import MUST_BE_ZERO
from sycamorestand_bench.quickstart.world import World

CHEAP = "nest-small@3"
WITHDRAWN = "nest-small@4"


def chat(key: str, session: str = "") -> Call:
    return Call("chat", "dalton", key, tokens=4, session=session)


def answered(call: Call, version: str = CHEAP) -> Answer:
    text = expected_text(version, call.request_key, call.tokens)
    return Answer(call, "answered", "", text, version)


def bill(key: str) -> dict[str, Any]:
    return {"customer": "dalton", "request_key": key, "cost_micros": 10}


def run(engine: FakeEngine, key: str, version: str) -> None:
    headers = {"x-request-key": key, "x-customer": "dalton"}
    engine.records.append(EngineRecord(headers, version))


class Scene:
    """A run without a fault, which each test spoils in one way."""

    def __init__(self) -> None:
        self.world = World()
        self.engine = FakeEngine("small-2", (CHEAP, WITHDRAWN))
        self.service = FakeService("portal-1", ("portal",))
        self.world.engines.append(self.engine)
        self.world.services.append(self.service)
        self.answers = [answered(chat("a", "s")), answered(chat("b", "s"))]
        self.bills = [bill("a"), bill("b")]
        self.marks = Marks(WITHDRAWN, 0, "small-2", 0, 0, 0)

    def faults(self) -> set[str]:
        figures = compare(
            self.answers,
            self.world,
            self.bills,
            self.marks,
            {"dalton": frozenset({CHEAP, WITHDRAWN})},
            100,
        )
        return {name for name in MUST_BE_ZERO if figures[name]}


@pytest.fixture
def scene() -> Scene:
    return Scene()


class TestCompare:
    def test_a_whole_run_has_no_fault(self, scene: Scene) -> None:
        assert scene.faults() == set()

    def test_another_requests_answer_is_seen(self, scene: Scene) -> None:
        spoilt = scene.answers[0]._replace(text=scene.answers[1].text)
        scene.answers[0] = spoilt
        assert scene.faults() == {"not_whole"}

    def test_a_missing_token_is_seen(self, scene: Scene) -> None:
        whole = scene.answers[0]
        scene.answers[0] = whole._replace(text=whole.text[:-4])
        assert scene.faults() == {"not_whole"}

    def test_a_moved_session_is_seen(self, scene: Scene) -> None:
        scene.answers[1] = answered(chat("b", "s"), WITHDRAWN)
        assert scene.faults() == {"sessions_moved"}

    def test_a_run_after_the_withdrawal_is_seen(self, scene: Scene) -> None:
        scene.marks = scene.marks._replace(leaving_server="large-1")
        run(scene.engine, "a", WITHDRAWN)
        assert scene.faults() == {"runs_after_withdrawal"}

    def test_a_run_after_the_leaving_is_seen(self, scene: Scene) -> None:
        run(scene.engine, "a", CHEAP)
        assert scene.faults() == {"runs_after_leaving"}

    def test_a_run_on_a_version_not_allowed_is_seen(
        self, scene: Scene
    ) -> None:
        scene.marks = scene.marks._replace(leaving_server="large-1")
        run(scene.engine, "a", "nest-large@2")
        assert scene.faults() == {"runs_disallowed"}

    def test_an_order_that_ran_twice_is_seen(self, scene: Scene) -> None:
        record = ServiceRecord("o", "dalton", "POST", "/orders/o", b"")
        scene.service.records += [record, record]
        assert scene.faults() == {"doubled_runs"}

    @pytest.mark.parametrize(
        ("bills", "fault"),
        [
            ([bill("a")], "charges_missing"),
            ([bill("a"), bill("a"), bill("b")], "charges_doubled"),
            ([bill("a"), bill("b"), bill("c")], "charges_unasked"),
        ],
    )
    def test_each_wrong_charge_is_seen(
        self, scene: Scene, bills: list[dict[str, Any]], fault: str
    ) -> None:
        scene.bills = bills
        assert scene.faults() == {fault}

    def test_a_request_without_an_answer_is_seen(self, scene: Scene) -> None:
        scene.answers.append(Answer(chat("c"), "not_run", "overloaded"))
        assert scene.faults() == {"unanswered"}
