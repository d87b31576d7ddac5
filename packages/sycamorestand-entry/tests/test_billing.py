"""Prices, and the single charge of each request."""

from __future__ import annotations

import anyio
import pytest

from sycamorestand_bench.fakes.control_port import FakeLedger
from sycamorestand_bench.fakes.declared import guild_configuration
from sycamorestand_bench.fakes.declared import LARGE
from sycamorestand_bench.fakes.declared import SMALL
from sycamorestand_bench.fakes.engine import FakeEngine
from sycamorestand_bench.fakes.loopback import Loopback
from sycamorestand_bench.fakes.loopback import SETTINGS
from sycamorestand_bench.fakes.loopback import start_loopback
from sycamorestand_entry.billing import cost_micros
from sycamorestand_entry.sse import Usage

COSTS = [
    (SMALL, Usage(0, 0), 0),
    (SMALL, Usage(1, 0), 1),
    (SMALL, Usage(1_000_000, 0), 100_000),
    (LARGE, Usage(10, 20), 90),
    (LARGE, Usage(1_000_001, 0), 1_000_001),
    ("unknown@1", Usage(10, 10), 0),
]


class TestCost:
    @pytest.mark.parametrize(("version", "usage", "expected"), COSTS)
    def test_cost_is_rounded_up(
        self, version: str, usage: Usage, expected: int
    ) -> None:
        declarations = guild_configuration().declarations
        assert cost_micros(declarations, version, usage) == expected


@pytest.mark.anyio
class TestCharge:
    async def test_two_entries_charge_one_key_once(self) -> None:
        """A caller sends one request to two entries at the same time.

        Both answer it, because a chat request may run twice. The ledger
        keeps one charge, and both answers report its cost.
        """
        ledger = FakeLedger()
        async with start_loopback(ledger=ledger) as one:
            await one.add_engine(FakeEngine("engine-1", (LARGE,)))
            async with start_loopback(ledger=ledger) as two:
                two.control.servers.update(one.control.servers)
                costs: set[str] = set()

                async def ask(loopback: Loopback, tokens: int) -> None:
                    answer = await loopback.chat(
                        tokens=tokens, Idempotency_Key="k"
                    )
                    costs.add(answer.headers["x-cost-micros"])

                async with anyio.create_task_group() as group:
                    group.start_soon(ask, one, 8)
                    group.start_soon(ask, two, 9)
            assert len(ledger.charges) == 1
            assert len(costs) == 1
            assert ledger.repeated_charges == 1

    @pytest.mark.parametrize("lost", [True, False])
    async def test_failing_ledger_withholds_the_end(self, lost: bool) -> None:
        """The ledger fails at the charge of an answer.

        The caller gets the tokens and then an error event instead of the
        end. Asking again with the key gives a complete answer and leads to
        a single charge.
        """
        settings = SETTINGS._replace(ledger_timeout_s=0.2)
        async with start_loopback(settings) as loopback:
            await loopback.add_engine(FakeEngine("engine-1", (LARGE,)))
            loopback.control.ledger_failures = 1000
            loopback.control.lose_answers = lost
            answer = await loopback.chat(stream=True, Idempotency_Key="k")
            error = answer.events()[-1]["error"]
            assert error["code"] == "ledger_unavailable"
            assert error["run"] == "ran"
            loopback.control.ledger_failures = 0
            again = await loopback.chat(stream=True, Idempotency_Key="k")
            assert again.events()[-1] == "[DONE]"
            assert len(loopback.ledger.charges) == 1

    async def test_short_failure_of_the_ledger_is_retried(self) -> None:
        async with start_loopback() as loopback:
            await loopback.add_engine(FakeEngine("engine-1", (LARGE,)))
            loopback.control.ledger_failures = 2
            loopback.control.lose_answers = True
            answer = await loopback.chat(stream=True)
            assert answer.events()[-1] == "[DONE]"
            assert len(loopback.ledger.charges) == 1
