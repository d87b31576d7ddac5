"""Read-only requests: models, metrics and health."""

from __future__ import annotations

import logging

import pytest

from sycamorestand_bench.fakes.declared import LARGE
from sycamorestand_bench.fakes.engine import FakeEngine
from sycamorestand_bench.fakes.loopback import start_loopback

pytestmark = pytest.mark.anyio

EXPECTED_METRICS = [
    'charges_total{state="created"} 1',
    'dispatches_total{version="nest-large@1"} 1',
    'requests_total{interface="/v1/chat/completions",result="ok"} 1',
    'requests_total{interface="other",result="unknown_path"} 1',
    'output_tokens_total{version="nest-large@1"} 8',
    "lease_remaining_seconds",
    "queue_wait_seconds_total",
    "ledger_wait_seconds_total",
    'admission{state="slots",target="nest-large@1"} 16',
    'ejected{backend_server="engine-1",group="nest-large"} 0',
]


class TestModels:
    async def test_lists_the_customers_profiles(self) -> None:
        async with start_loopback() as loopback:
            answer = await loopback.call("GET", "/v1/models")
            names = [model["id"] for model in answer.json()["data"]]
            assert names == ["large", "review", "small"]


class TestMetrics:
    async def test_shows_the_expected_metrics(self) -> None:
        async with start_loopback() as loopback:
            await loopback.add_engine(FakeEngine("engine-1", (LARGE,)))
            await loopback.chat()
            await loopback.call("GET", "/nothing")
            answer = await loopback.call("GET", "/metrics", key="")
            text = answer.body.decode()
            missing = [name for name in EXPECTED_METRICS if name not in text]
            assert not missing


class TestHealth:
    async def test_ready_only_with_a_lease(self) -> None:
        async with start_loopback() as loopback:
            ready = await loopback.call("GET", "/readyz", key="")
            assert (ready.status, ready.json()["revision"]) == (200, 1)
            loopback.control.lease_s = 0
            lost = await loopback.call("GET", "/readyz", key="")
            assert (lost.status, lost.json()["ready"]) == (503, False)
            alive = await loopback.call("GET", "/healthz", key="")
            assert alive.status == 200


class TestSecrets:
    async def test_keys_are_in_no_log_and_no_metric(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        caplog.set_level(logging.DEBUG)
        async with start_loopback() as loopback:
            key = "a-secret-that-nobody-knows"
            await loopback.chat(key=key)
            metrics = await loopback.call("GET", "/metrics", key="")
            assert key not in metrics.body.decode()
            own = [r for r in caplog.records if "sycamore" in r.name]
            assert own
            assert not any(key in str(vars(record)) for record in own)
