"""Replicas in one process, for the tests."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from pathlib import Path
import time

import anyio

from sycamorestand_consensus.errors import MembershipRefused
from sycamorestand_consensus.replica import Replica
from sycamorestand_consensus.settings import ReplicaSettings

SETTINGS = ReplicaSettings(snapshot_every_entries=100, trailing_entries=10)
GROUP = 0
TIMEOUT_S = 60.0
UNREADABLE = b"unreadable"


class RecordingMachine:
    """A state machine that records every command."""

    def __init__(self) -> None:
        self.applied: list[bytes] = []

    def check(self, command: bytes) -> None:
        if command == UNREADABLE:
            raise ValueError("not a command")

    def apply(self, index: int, command: bytes) -> object:
        self.applied.append(command)
        return len(self.applied)

    def snapshot(self) -> bytes:
        return b"\n".join(self.applied)

    def restore(self, data: bytes) -> None:
        self.applied = data.split(b"\n") if data else []


class CountingMachine(RecordingMachine):
    """A state machine that keeps the numbers of commands, not their bytes."""

    def apply(self, index: int, command: bytes) -> object:
        return super().apply(index, command[:8])


class Vm:
    """A replica that can be stopped and restarted on its folder."""

    def __init__(self, network: Network, folder: Path) -> None:
        self._network = network
        self._folder = folder
        self.machine = network.make_machine()
        self.replica = self._make_replica()
        self._scope = anyio.CancelScope()
        self._stopped = anyio.Event()

    def _make_replica(self) -> Replica:
        return Replica(
            self._folder,
            GROUP,
            self._network.settings,
            self.machine,
            self._send,
            time.monotonic,
        )

    async def run(self) -> None:
        with self._scope:
            await self.replica.run()
        self._stopped.set()

    async def restart(self) -> None:
        await self.stop()
        self.machine = self._network.make_machine()
        self.replica = self._make_replica()
        self._scope = anyio.CancelScope()
        self._stopped = anyio.Event()
        self._network.start(self)

    async def stop(self) -> None:
        self._scope.cancel()
        await self._stopped.wait()

    def _send(self, to: str, payload: bytes) -> None:
        self._network.deliver(self.replica.member_id, to, payload)


class Network:
    """Replicas in this process and the transport between them."""

    def __init__(
        self,
        folder: Path,
        start: Callable[[Vm], None],
        settings: ReplicaSettings = SETTINGS,
        make_machine: Callable[[], RecordingMachine] = RecordingMachine,
    ) -> None:
        self._folder = folder
        self.start = start
        self.settings = settings
        self.make_machine = make_machine
        self.vms: list[Vm] = []
        self.partitioned: set[str] = set()

    def add(self) -> Vm:
        vm = Vm(self, self._folder / f"vm-{len(self.vms)}")
        self.vms.append(vm)
        self.start(vm)
        return vm

    def deliver(self, sender: str, to: str, payload: bytes) -> None:
        if sender in self.partitioned or to in self.partitioned:
            return
        for vm in self.vms:
            if vm.replica.member_id == to:
                vm.replica.receive(sender, payload)

    def leaders(self) -> list[Vm]:
        return [
            vm
            for vm in self.vms
            if vm.replica.status().role == "leader"
            and vm.replica.member_id not in self.partitioned
        ]

    async def leader(self) -> Vm:
        await wait_until(lambda: len(self.leaders()) == 1)
        (leader,) = self.leaders()
        return leader

    async def join(self, vm: Vm) -> None:
        """Add a blank member as a learner and promote it to a voter."""
        leader = (await self.leader()).replica
        member_id = vm.replica.member_id
        await leader.add_learner(member_id, "at")
        while True:
            try:
                await leader.promote(member_id)
                return
            except MembershipRefused:
                await anyio.sleep(0.01)


async def wait_until(is_done: Callable[[], bool]) -> None:
    while not is_done():
        await anyio.sleep(0.005)


@contextlib.asynccontextmanager
async def group_of(
    folder: Path,
    count: int,
    settings: ReplicaSettings = SETTINGS,
    make_machine: Callable[[], RecordingMachine] = RecordingMachine,
) -> AsyncIterator[Network]:
    with anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            network = Network(
                folder,
                lambda vm: tasks.start_soon(vm.run),
                settings,
                make_machine,
            )
            vms = [network.add() for _ in range(count)]
            first = vms[0].replica
            await first.bootstrap([(first.member_id, "at")])
            for vm in vms[1:]:
                await network.join(vm)
            yield network
            tasks.cancel_scope.cancel()


__all__ = [
    "CountingMachine",
    "GROUP",
    "group_of",
    "Network",
    "RecordingMachine",
    "SETTINGS",
    "TIMEOUT_S",
    "UNREADABLE",
    "Vm",
    "wait_until",
]
