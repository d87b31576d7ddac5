"""Test how an entry handles the faults of a plain service."""

from __future__ import annotations

from typing import NamedTuple

import pytest

from sycamorestand_bench.fakes.faults import Fault
from sycamorestand_bench.fakes.loopback import SETTINGS
from sycamorestand_bench.fakes.loopback import start_loopback
from sycamorestand_bench.fakes.service import FakeService

pytestmark = pytest.mark.anyio


class Case(NamedTuple):
    """A fault and its effect on an order (POST) and on a query (GET).

    ``run`` is the run state in the error of a refused order, or empty if
    the order is answered.
    """

    fault: Fault
    order_status: int
    run: str
    order_runs: int
    query_status: int


CASES = [
    Case(Fault("slow", pause_s=0.1), 200, "", 1, 200),
    Case(Fault("late", times=1), 504, "unknown", 1, 200),
    Case(Fault("silent", times=1), 504, "unknown", 1, 200),
    Case(Fault("cut", times=1), 502, "unknown", 1, 200),
    Case(Fault("refuse"), 429, "not_run", 0, 429),
    Case(Fault("error"), 500, "", 1, 500),
    Case(Fault("garbage"), 200, "", 1, 200),
]


class TestServiceFaults:
    @pytest.mark.parametrize("case", CASES)
    async def test_order_runs_at_most_once(self, case: Case) -> None:
        """Guard against executing an order twice.

        An order that is sent three times with one key runs at most once,
        and the run state in a refusal agrees with the service's records.
        """
        settings = SETTINGS._replace(late_answer_s=0.5)
        async with start_loopback(settings) as loopback:
            service = FakeService("s-1", ("orders",))
            service.switch.fault = case.fault
            await loopback.add_service(service)
            answers = [
                await loopback.call(
                    "POST",
                    "/services/orders/x",
                    b"2 sheets",
                    Idempotency_Key="k",
                    X_Deadline_Ms="400",
                )
                for _ in range(3)
            ]
            assert answers[0].status == case.order_status
            if case.run:
                assert answers[0].json()["error"]["run"] == case.run
            else:
                assert {a.body for a in answers} == {answers[0].body}
            assert len(service.records) == case.order_runs

    @pytest.mark.parametrize("case", CASES)
    async def test_query_is_repeated(self, case: Case) -> None:
        async with start_loopback() as loopback:
            service = FakeService("s-1", ("orders",))
            service.switch.fault = case.fault
            await loopback.add_service(service)
            answer = await loopback.call("GET", "/services/orders/x")
            assert answer.status == case.query_status
            assert len(loopback.ledger.charges) == int(answer.status < 400)
