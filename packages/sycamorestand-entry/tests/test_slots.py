"""Admission control: queued requests, refusals, and when they are sent."""

from __future__ import annotations

import anyio
import pytest

from sycamorestand_bench.fakes.declared import LARGE
from sycamorestand_bench.fakes.engine import FakeEngine
from sycamorestand_bench.fakes.faults import Fault
from sycamorestand_bench.fakes.loopback import Answer
from sycamorestand_bench.fakes.loopback import Loopback
from sycamorestand_bench.fakes.loopback import SETTINGS
from sycamorestand_bench.fakes.loopback import start_loopback

pytestmark = pytest.mark.anyio


async def send_requests(
    loopback: Loopback, count: int, **headers: str
) -> list[Answer]:
    """Send ``count`` requests at once and return the answers."""
    answers: list[Answer] = []

    async def ask() -> None:
        answers.append(await loopback.chat(**headers))

    async with anyio.create_task_group() as group:
        for _ in range(count):
            group.start_soon(ask)
    return answers


class TestSlots:
    async def test_burst_is_queued_and_answered(self) -> None:
        """Twenty requests arrive for a server that runs two at a time.

        The others wait in the entry; the server never has more than two.
        """
        async with start_loopback() as loopback:
            engine = FakeEngine("engine-1", (LARGE,), tokens_per_s=400)
            await loopback.add_engine(engine, capacity=2)
            answers = await send_requests(loopback, 20)
            assert {answer.status for answer in answers} == {200}
            assert engine.most_running <= 2

    async def test_hopeless_request_is_refused_at_once(self) -> None:
        """Requests arrive that can't start before their deadline.

        They are refused on arrival and not at the deadline, with
        ``not_run`` and the time after which to retry.
        """
        settings = SETTINGS._replace(chunk_gap_s=60)
        async with start_loopback(settings) as loopback:
            engine = FakeEngine("engine-1", (LARGE,))
            engine.switch.fault = Fault("slow", pause_s=2)
            await loopback.add_engine(engine, capacity=1)
            answers = await send_requests(loopback, 40, X_Deadline_Ms="1500")
            refused = [a for a in answers if a.status == 429]
            assert len(refused) > 20
            for answer in refused:
                assert answer.json()["error"]["code"] == "overloaded"
                assert answer.json()["error"]["run"] == "not_run"
                assert int(answer.headers["retry-after"]) >= 1
            assert len(engine.records) <= 2

    async def test_disconnected_callers_release_slots_and_places(self) -> None:
        """Callers disconnect, one while running and some while queued.

        Their slots and places in the queue are free for the next request.
        """
        settings = SETTINGS._replace(chunk_gap_s=60)
        async with start_loopback(settings) as loopback:
            engine = FakeEngine("engine-1", (LARGE,))
            engine.switch.fault = Fault("slow", times=1)
            await loopback.add_engine(engine, capacity=1)
            with anyio.move_on_after(0.5):
                await send_requests(loopback, 3)
            with anyio.fail_after(10):
                answer = await loopback.chat()
            assert answer.status == 200
