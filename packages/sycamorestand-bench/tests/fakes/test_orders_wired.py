"""Orders of a whole control process on loopback."""

from __future__ import annotations

from pathlib import Path
import socket

import anyio
import pytest

from sycamorestand_bench.fakes.declared import BACKEND_KEY_HASH
from sycamorestand_bench.fakes.declared import guild_configuration
from sycamorestand_bench.fakes.loopback import serve_on_port
from sycamorestand_bench.fakes.ordered_engine import FakeOrderedEngine
from sycamorestand_bench.fakes.weight_store import FakeWeightStore
from sycamorestand_control.groups import CONFIGURATION_GROUP
from sycamorestand_control.process import ControlProcess
from sycamorestand_control.settings import ControlSettings
from sycamorestand_model.declarations import Operator
from sycamorestand_state.commands import ApplyDeclarations
from sycamorestand_state.commands import encode_command

pytestmark = pytest.mark.anyio

PLANNER = "sycamorestand_control.orders.planner"


@pytest.fixture(autouse=True)
def short_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(f"{PLANNER}.LEARN_S", 0.5)
    monkeypatch.setattr(f"{PLANNER}.PLAN_INTERVAL_S", 0.1)


class TestControlProcess:
    async def test_an_announced_engine_is_told_to_load(
        self, tmp_path: Path
    ) -> None:
        fake = FakeWeightStore({"nest-small/1": 7, "nest-large/1": 70})
        engine = FakeOrderedEngine("a")
        async with (
            serve_on_port(fake.application) as store,
            serve_on_port(engine.application) as address,
        ):
            process = ControlProcess(_settings(tmp_path, store))
            async with anyio.create_task_group() as tasks:
                stop = anyio.Event()
                await tasks.start(process.run, stop)
                await _declare(process)
                sequence = 0
                with anyio.move_on_after(30.0):
                    while len(engine.versions) < 2:
                        sequence += 1
                        announced = engine.announcement(address, sequence)
                        process.tables.announced(announced)
                        await anyio.sleep(0.1)
                stop.set()
        assert sorted(engine.versions) == ["nest-large@1", "nest-small@1"]
        records = process.configuration.orders()
        assert [record.phase for record in records][:1] == ["done"]
        assert process.orders.channel.phases["done"] >= 1
        numbers = [order.fencing_number for order in engine.received]
        assert numbers == sorted(set(numbers))


async def _declare(process: ControlProcess) -> None:
    operator = Operator("ann", (BACKEND_KEY_HASH,), "admin")
    declared = guild_configuration().declarations
    command = ApplyDeclarations(
        "declare",
        "test",
        process.configuration.revision,
        declared._replace(operators={"ann": operator}),
        "",
        1.0,
    )
    result = await process.groups.propose(
        CONFIGURATION_GROUP, encode_command(command), 5.0
    )
    assert result.outcome == "applied", result


def _settings(folder: Path, store: str) -> ControlSettings:
    return ControlSettings(
        "vm-1",
        "marietta",
        f"127.0.0.1:{_free_port()}",
        folder,
        (b"k" * 32,),
        operator_port=_free_port(),
        first_start=True,
        voters_wanted=1,
        weight_store_url=f"http://{store}",
    )


def _free_port() -> int:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        port: int = listener.getsockname()[1]
        return port
