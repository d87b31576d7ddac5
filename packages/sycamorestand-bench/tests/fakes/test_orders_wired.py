"""Test orders of complete control processes on loopback."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup
from anyio.abc import TaskStatus
import pytest

from sycamorestand_bench.addresses import free_port
from sycamorestand_bench.fakes.declared import BACKEND_KEY_HASH
from sycamorestand_bench.fakes.declared import guild_configuration
from sycamorestand_bench.fakes.faults import Fault
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

WAIT_S = 30.0
PLANNER = "sycamorestand_control.orders.planner"


class Voter(NamedTuple):
    """A control process that a test can cancel."""

    process: ControlProcess
    scope: anyio.CancelScope


@pytest.fixture(autouse=True)
def short_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(f"{PLANNER}.WARM_UP_S", 0.5)
    monkeypatch.setattr(f"{PLANNER}.PLAN_INTERVAL_S", 0.1)


class TestControlProcess:
    async def test_announced_engine_is_ordered_to_load(
        self, tmp_path: Path
    ) -> None:
        fake = FakeWeightStore({"nest-small/1": 7, "nest-large/1": 70})
        engine = FakeOrderedEngine("a")
        async with (
            serve_on_port(fake.application) as store,
            serve_on_port(engine.application) as address,
        ):
            process = ControlProcess(_settings(tmp_path, f"http://{store}"))
            async with anyio.create_task_group() as tasks:
                stop = anyio.Event()
                await tasks.start(process.run, stop)
                await _declare(process)
                sequence = 0
                with anyio.move_on_after(WAIT_S):
                    while len(engine.versions) < 2:
                        sequence += 1
                        announced = engine.announcement(address, sequence)
                        process.tables.handle_announcement(announced)
                        await anyio.sleep(0.1)
                stop.set()
        assert sorted(engine.versions) == ["nest-large@1", "nest-small@1"]
        records = process.configuration.orders()
        assert [record.phase for record in records][:1] == ["done"]
        assert process.orders.channel.phases["done"] >= 1
        numbers = [order.fencing_number for order in engine.received]
        assert numbers == sorted(set(numbers))


class TestLeaderLost:
    async def test_next_leader_finishes_the_order(
        self, tmp_path: Path
    ) -> None:
        """Guard against an order that stays open once its leader has ended.

        The leader of three voters is cancelled after the engine loaded the
        version and before its answer arrives, so the outcome is not
        recorded. The next leader waits for the lease and the order timeout
        to expire, sends the order again with its own fencing number, and
        records ``done``. The engine receives no lower number after a higher
        one.
        """
        engine = FakeOrderedEngine("a", max_versions=2)
        engine.switch.fault = Fault("late", times=1)
        async with (
            serve_on_port(engine.application) as address,
            anyio.create_task_group() as tasks,
        ):
            voters = await _start_voters(tasks, tmp_path)
            tasks.start_soon(_announce, engine, address, voters)
            with anyio.fail_after(WAIT_S):
                while not engine.applied:
                    await anyio.sleep(0.05)
            # The leader may have changed on a busy machine.
            voters.sort(key=_is_leader)
            leader, other = voters[-1], voters[0].process
            order_id = engine.applied[0].order_id
            assert _phases(leader.process)[order_id] == "intended"
            leader.scope.cancel()
            with anyio.fail_after(WAIT_S):
                while _phases(other).get(order_id) != "done":
                    await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()
        sent = [o for o in engine.received if o.order_id == order_id]
        assert len(sent) == 2
        assert sent[0].term < sent[1].term
        numbers = [order.fencing_number for order in engine.received]
        assert numbers == sorted(set(numbers))


async def _start_voters(tasks: TaskGroup, folder: Path) -> list[Voter]:
    voters: list[Voter] = []
    first = _settings(folder / "vm-0", "")
    for number in range(3):
        settings = first
        if number:
            settings = _settings(folder / f"vm-{number}", "")._replace(
                vm=f"vm-{number}",
                first_start=False,
                control_addresses=(first.peer_address,),
            )
        process = ControlProcess(settings._replace(voters_wanted=3))
        voter = Voter(process, anyio.CancelScope())
        await tasks.start(_run_voter, voter)
        voters.append(voter)
        if not number:
            await _declare(process)
    replica = voters[0].process.groups.replicas[CONFIGURATION_GROUP]
    with anyio.fail_after(WAIT_S):
        while sum(m.voter for m in replica.status().members) < 3:
            await anyio.sleep(0.05)
    return voters


async def _run_voter(voter: Voter, *, task_status: TaskStatus[None]) -> None:
    with voter.scope:
        await voter.process.run(anyio.Event(), task_status=task_status)


async def _announce(
    engine: FakeOrderedEngine, address: str, voters: list[Voter]
) -> None:
    sequence = 0
    while True:
        sequence += 1
        announced = engine.announcement(address, sequence)
        for voter in voters:
            voter.process.tables.handle_announcement(announced)
        await anyio.sleep(0.2)


def _is_leader(voter: Voter) -> bool:
    return voter.process.groups.is_leader(CONFIGURATION_GROUP)


def _phases(process: ControlProcess) -> dict[str, str]:
    orders = process.configuration.orders()
    return {order.order_id: order.phase for order in orders}


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
        f"127.0.0.1:{free_port()}",
        folder,
        lambda: (b"k" * 32,),
        operator_port=free_port(),
        first_start=True,
        voters_wanted=1,
        weight_store_url=store,
    )
