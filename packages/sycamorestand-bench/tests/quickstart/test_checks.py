"""Tests that the quickstart's checks count each kind of fault."""

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
from sycamorestand_bench.quickstart.checks import Baselines
from sycamorestand_bench.quickstart.checks import compare
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


def record_run(engine: FakeEngine, key: str, version: str) -> None:
    headers = {"x-request-key": key, "x-customer": "dalton"}
    engine.records.append(EngineRecord(headers, version))


class QuickstartResult:
    """A result without a fault, to which each test adds one."""

    def __init__(self) -> None:
        self.world = World()
        self.engine = FakeEngine("small-2", (CHEAP, WITHDRAWN))
        self.service = FakeService("portal-1", ("portal",))
        self.world.engines.append(self.engine)
        self.world.services.append(self.service)
        self.answers = [answered(chat("a", "s")), answered(chat("b", "s"))]
        self.bills = [bill("a"), bill("b")]
        self.marks = Baselines(WITHDRAWN, 0, "small-2", 0, 0, 0)

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
def result() -> QuickstartResult:
    return QuickstartResult()


class TestCompare:
    def test_faultless_run_has_no_fault(
        self, result: QuickstartResult
    ) -> None:
        assert result.faults() == set()

    def test_answer_of_another_request_is_counted(
        self, result: QuickstartResult
    ) -> None:
        swapped = result.answers[0]._replace(text=result.answers[1].text)
        result.answers[0] = swapped
        assert result.faults() == {"not_whole"}

    def test_truncated_answer_is_counted(
        self, result: QuickstartResult
    ) -> None:
        complete = result.answers[0]
        result.answers[0] = complete._replace(text=complete.text[:-4])
        assert result.faults() == {"not_whole"}

    def test_session_on_two_versions_is_counted(
        self, result: QuickstartResult
    ) -> None:
        result.answers[1] = answered(chat("b", "s"), WITHDRAWN)
        assert result.faults() == {"sessions_moved"}

    def test_run_after_withdrawal_is_counted(
        self, result: QuickstartResult
    ) -> None:
        result.marks = result.marks._replace(leaving_server="large-1")
        record_run(result.engine, "a", WITHDRAWN)
        assert result.faults() == {"runs_after_withdrawal"}

    def test_run_on_left_server_is_counted(
        self, result: QuickstartResult
    ) -> None:
        record_run(result.engine, "a", CHEAP)
        assert result.faults() == {"runs_after_leaving"}

    def test_run_on_disallowed_version_is_counted(
        self, result: QuickstartResult
    ) -> None:
        result.marks = result.marks._replace(leaving_server="large-1")
        record_run(result.engine, "a", "nest-large@2")
        assert result.faults() == {"runs_disallowed"}

    def test_order_that_ran_twice_is_counted(
        self, result: QuickstartResult
    ) -> None:
        record = ServiceRecord("o", "dalton", "POST", "/orders/o", b"")
        result.service.records += [record, record]
        assert result.faults() == {"doubled_runs"}

    @pytest.mark.parametrize(
        ("bills", "fault"),
        [
            ([bill("a")], "charges_missing"),
            ([bill("a"), bill("a"), bill("b")], "charges_doubled"),
            ([bill("a"), bill("b"), bill("c")], "charges_unasked"),
        ],
    )
    def test_wrong_charge_is_counted(
        self, result: QuickstartResult, bills: list[dict[str, Any]], fault: str
    ) -> None:
        result.bills = bills
        assert result.faults() == {fault}

    def test_unanswered_request_is_counted(
        self, result: QuickstartResult
    ) -> None:
        result.answers.append(Answer(chat("c"), "not_run", "overloaded"))
        assert result.faults() == {"unanswered"}
