"""Chat completions, streamed and plain, and their charges."""

from __future__ import annotations

import pytest

from sycamorestand_bench.fakes.declared import LARGE
from sycamorestand_bench.fakes.engine import expected_text
from sycamorestand_bench.fakes.engine import FakeEngine
from sycamorestand_bench.fakes.loopback import start_loopback

pytestmark = pytest.mark.anyio


class TestStreamedAnswer:
    async def test_complete_answer_reports_its_charge(self) -> None:
        async with start_loopback() as loopback:
            engine = FakeEngine("engine-1", (LARGE,))
            await loopback.add_engine(engine)
            answer = await loopback.chat(stream=True, Idempotency_Key="k-1")
            assert answer.status == 200
            assert answer.headers["x-version"] == LARGE
            assert answer.text() == expected_text(LARGE, "k-1", 8)
            *_, ending, done = answer.events()
            assert done == "[DONE]"
            charge = loopback.ledger.charges["guild", "k-1"]
            details = ending["sycamorestand"]
            assert details["cost_micros"] == charge.cost_micros > 0
            assert details["request_key"] == "k-1"


class TestOnUvloop:
    @pytest.fixture
    def anyio_backend(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> tuple[str, dict[str, bool]]:
        monkeypatch.setenv("UV_USE_IO_URING", "0")
        return "asyncio", {"use_uvloop": True}

    async def test_complete_answer_is_streamed(self) -> None:
        async with start_loopback() as loopback:
            await loopback.add_engine(FakeEngine("engine-1", (LARGE,)))
            answer = await loopback.chat(stream=True, Idempotency_Key="k-1")
            assert answer.text() == expected_text(LARGE, "k-1", 8)


class TestPlainAnswer:
    async def test_complete_answer_reports_its_charge(self) -> None:
        async with start_loopback() as loopback:
            await loopback.add_engine(FakeEngine("engine-1", (LARGE,)))
            answer = await loopback.chat(Idempotency_Key="k-1")
            assert answer.status == 200
            content = answer.json()
            text = content["choices"][0]["message"]["content"]
            assert text == expected_text(LARGE, "k-1", 8)
            charge = loopback.ledger.charges["guild", "k-1"]
            assert answer.headers["x-cost-micros"] == str(charge.cost_micros)
            assert content["usage"]["completion_tokens"] == 8
