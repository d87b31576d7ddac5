"""Voters of one log with real links and disks, which can be cut off."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskGroup

from sycamorestand_bench.addresses import free_address
from sycamorestand_consensus.settings import ReplicaSettings
from sycamorestand_control.groups import CONFIGURATION_GROUP
from sycamorestand_control.groups import Group
from sycamorestand_control.groups import LogGroups
from sycamorestand_peer.mesh import PeerMesh
from sycamorestand_peer.messages import ProposalForward
from sycamorestand_peer.messages import Query
from sycamorestand_peer.messages import ReplicaPayload

START_TIMEOUT_S = 20


class Machine:
    """Counts the commands that were applied."""

    def __init__(self) -> None:
        self.count = 0

    def check(self, command: bytes) -> None:
        pass

    def apply(self, index: int, command: bytes) -> int:
        self.count += 1
        return self.count

    def snapshot(self) -> bytes:
        return str(self.count).encode()

    def restore(self, snapshot: bytes) -> None:
        self.count = int(snapshot)


class Voter:
    """One voter; while ``is_cut_off`` it neither hears nor is heard."""

    def __init__(
        self, folder: Path, voters_needed: int = 1, group: Group | None = None
    ) -> None:
        folder.mkdir()
        self.is_cut_off = False
        self.queries: Any = None
        self.mesh = PeerMesh(
            free_address(), lambda: (b"k" * 32,), self._dispatch
        )
        group = group or Group(Machine(), int)
        self.machine = group.machine
        self._send = self.mesh.send
        self.mesh.send = self._send_unless_cut_off  # type: ignore[method-assign]
        self.groups = LogGroups(
            self.mesh,
            folder,
            ReplicaSettings(),
            {CONFIGURATION_GROUP: group},
            lambda: voters_needed,
        )

    @property
    def replica(self) -> Any:
        return self.groups.replicas[CONFIGURATION_GROUP]

    async def start(self, tasks: TaskGroup) -> None:
        self._tasks = tasks
        await tasks.start(self.mesh.run)
        tasks.start_soon(self.groups.run)

    def _send_unless_cut_off(self, address: str, message: Any) -> None:
        if not self.is_cut_off:
            self._send(address, message)

    def _dispatch(self, sender: str, message: Any) -> None:
        if self.is_cut_off:
            return
        if isinstance(message, ReplicaPayload):
            self.groups.receive(sender, message)
        elif isinstance(message, ProposalForward):
            answer = self.groups.handle_forward
            self._tasks.start_soon(answer, sender, message)
        elif isinstance(message, Query):
            answer = self.queries.handle_query
            self._tasks.start_soon(answer, sender, message)


@contextlib.asynccontextmanager
async def running_voters(
    folder: Path,
    count: int = 3,
    voters_needed: int = 1,
    make_group: Callable[[], Group | None] = lambda: None,
) -> AsyncIterator[list[Voter]]:
    """Run voters of one log; the first one in the list leads."""
    async with anyio.create_task_group() as tasks:
        voters = []
        for number in range(count):
            voters.append(
                Voter(folder / str(number), voters_needed, make_group())
            )
            await voters[-1].start(tasks)
        members = [(v.groups.member_id, v.mesh.address) for v in voters]
        for voter in voters:
            await voter.groups.bootstrap_blank(members)
        with anyio.fail_after(START_TIMEOUT_S):
            while not all(
                voter.groups.leader_address(CONFIGURATION_GROUP)
                for voter in voters
            ):
                await anyio.sleep(0.02)
        voters.sort(key=lambda v: not v.groups.is_leader(CONFIGURATION_GROUP))
        yield voters
        tasks.cancel_scope.cancel()


__all__ = ["running_voters", "Voter"]
