"""Test the weight store client against the faults of the store."""

from __future__ import annotations

import anyio
import pytest

from sycamorestand_bench.fakes.faults import Fault
from sycamorestand_bench.fakes.loopback import serve_on_port
from sycamorestand_bench.fakes.weight_store import FakeWeightStore
from sycamorestand_control.orders.weight_store import FAULT_PAUSE_S
from sycamorestand_control.orders.weight_store import MAX_RETRY_AFTER_S
from sycamorestand_control.orders.weight_store import MISSING_PAUSE_S
from sycamorestand_control.orders.weight_store import WeightStore

pytestmark = pytest.mark.anyio

VERSION = "nest-small@1"
# A fault that then ends, and the readiness that the client reports.
CASES = [
    (Fault(), "ready"),
    (Fault("slow", pause_s=0.02), "ready"),
    (Fault("late"), "unreachable"),
    (Fault("silent"), "unreachable"),
    (Fault("cut"), "unreachable"),
    (Fault("garbage"), "unreachable"),
    (Fault("wrong_type"), "unreachable"),
    (Fault("error"), "unreachable"),
    (Fault("refuse"), "later"),
]
WAITS = [
    ("20", 20.0),
    ("0", FAULT_PAUSE_S),
    ("-3", FAULT_PAUSE_S),
    ("soon", FAULT_PAUSE_S),
    ("Wed, 21 Oct 2026 07:28:00 GMT", FAULT_PAUSE_S),
    ("99999999999999999999", MAX_RETRY_AFTER_S),
]


class Clock:
    now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


class TestWeightStoreFaults:
    @pytest.mark.parametrize(("fault", "expected"), CASES)
    async def test_only_a_valid_answer_permits_a_load(
        self, fault: Fault, expected: str
    ) -> None:
        """Guard against a load after a fault of the store.

        Only a valid answer permits a load. After a fault, the client sends
        no request until its pause has passed, and then asks again.
        """
        fake = FakeWeightStore({"nest-small/1": 7})
        fake.switch.fault = fault
        clock = Clock()
        async with serve_on_port(fake.application) as address:
            store = WeightStore(f"http://{address}/", 0.3, clock)
            assert await store.readiness(VERSION) == expected
            fake.switch.fault = Fault()
            assert await store.readiness(VERSION) == expected
            requested = len(fake.requested)
            clock.now_s += FAULT_PAUSE_S
            assert await store.readiness(VERSION) == "ready"
        assert fake.requested == ["nest-small/1"] * len(fake.requested)
        assert requested == (2 if expected == "ready" else 1)
        refused = {} if expected == "ready" else {expected: 1}
        assert dict(store.refusals) == refused

    async def test_refusal_of_concurrent_requests_pauses_later_ones(
        self,
    ) -> None:
        fake = FakeWeightStore({"nest-small/1": 7})
        fake.switch.fault = Fault("refuse")
        async with serve_on_port(fake.application) as address:
            store = WeightStore(f"http://{address}", 0.3, Clock())
            async with anyio.create_task_group() as tasks:
                for _ in range(2):
                    tasks.start_soon(store.readiness, VERSION)
            assert await store.readiness(VERSION) == "later"
            assert len(fake.requested) == 2

    @pytest.mark.parametrize(("header", "wait_s"), WAITS)
    async def test_retry_after_delays_all_loads(
        self, header: str, wait_s: float
    ) -> None:
        fake = FakeWeightStore({"nest-small/1": 7, "nest-large/1": 9})
        fake.switch.fault = Fault("refuse", times=1)
        fake.retry_after = header
        clock = Clock()
        async with serve_on_port(fake.application) as address:
            store = WeightStore(f"http://{address}", 0.3, clock)
            assert await store.readiness(VERSION) == "later"
            clock.now_s += wait_s - 0.01
            assert await store.readiness("nest-large@1") == "later"
            clock.now_s += 0.02
            assert await store.readiness("nest-large@1") == "ready"

    async def test_missing_weights_delay_only_their_version(self) -> None:
        fake = FakeWeightStore({"nest-large/1": 9})
        clock = Clock()
        async with serve_on_port(fake.application) as address:
            store = WeightStore(f"http://{address}", 0.3, clock)
            assert await store.readiness(VERSION) == "missing"
            assert store.missing() == (VERSION,)
            assert await store.readiness("nest-large@1") == "ready"
            fake.size_bytes["nest-small/1"] = 7
            assert await store.readiness(VERSION) == "missing"
            clock.now_s += MISSING_PAUSE_S
            assert await store.readiness(VERSION) == "ready"
            assert store.missing() == ()

    async def test_version_name_cannot_change_the_request_path(self) -> None:
        fake = FakeWeightStore({})
        async with serve_on_port(fake.application) as address:
            store = WeightStore(f"http://{address}", 0.3, Clock())
            await store.readiness("a/../b?c@1")
        assert fake.requested == ["a/../b?c/1"]

    async def test_without_a_store_every_load_is_permitted(self) -> None:
        assert await WeightStore("").readiness(VERSION) == "ready"

    @pytest.mark.parametrize(
        "url", ["http://127.0.0.1:1", "store", "ftp://a", "http://a:b"]
    )
    async def test_unreachable_store_permits_no_load(self, url: str) -> None:
        store = WeightStore(url, 0.3)
        assert await store.readiness(VERSION) == "unreachable"
