"""Admission control: queued requests, refusals, and when they are sent."""

from __future__ import annotations

import time
from typing import cast

import anyio
import pytest

from sycamorestand_bench.fakes.declared import LARGE
from sycamorestand_bench.fakes.engine import FakeEngine
from sycamorestand_bench.fakes.faults import Fault
from sycamorestand_bench.fakes.loopback import Answer
from sycamorestand_bench.fakes.loopback import Loopback
from sycamorestand_bench.fakes.loopback import SETTINGS
from sycamorestand_bench.fakes.loopback import start_loopback
from sycamorestand_decisions.shared_room import SharedRoom
from sycamorestand_entry.errors import Overloaded
from sycamorestand_entry.metrics import Metrics
from sycamorestand_entry.servers import Servers
from sycamorestand_entry.slots import SlotRequest
from sycamorestand_entry.slots import Slots

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


class TenSlots:
    """Servers with ten slots of any target."""

    def capacity(self, target: str, now_s: float) -> int:
        """Return ten."""
        return 10


class TestSharedRoom:
    async def test_entry_takes_its_part_of_the_free_slots(self) -> None:
        """Guards against an entry that fills the slots that others share.

        Of four free slots, an entry of two that has none of the requests
        there may take one; its next request waits.
        """
        metrics = Metrics()
        slots = Slots(
            cast("Servers", TenSlots()),
            metrics,
            lambda target, now_s: SharedRoom(4, 6, 0),
            lambda: 2,
        )
        request = SlotRequest(
            "guild", 1.0, "nest", 3, time.monotonic() + 9, 1.0
        )
        first = await slots.acquire(request)
        with anyio.move_on_after(0.05) as waited:
            await slots.acquire(request)
        assert waited.cancelled_caught
        slots.finish(first, 1.0, False)
        await slots.acquire(request)

    async def test_refusal_is_counted_and_carries_its_figures(self) -> None:
        """Guards against a refusal whose rule cannot be told afterwards."""
        metrics = Metrics()
        slots = Slots(cast("Servers", TenSlots()), metrics)
        request = SlotRequest("guild", 1.0, "nest", 3, 0.0, 1.0)
        with pytest.raises(Overloaded) as caught:
            await slots.acquire(request)
        refused = caught.value.admission
        assert refused is not None
        assert refused.rule == "too_long"
        assert caught.value.run == "not_run"
        line = b'admission_refused{priority="3",rule="too_long"} 1'
        assert line in metrics.render()
