"""Time the restart of a control process after many changes."""

from __future__ import annotations

import time
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio

from sycamorestand_bench.addresses import free_address
from sycamorestand_bench.control_bench.system import CONTROLS
from sycamorestand_bench.processes import CLUSTER_KEY
from sycamorestand_consensus.settings import ReplicaSettings
from sycamorestand_consensus.storage import Storage
from sycamorestand_control.groups import CONFIGURATION_GROUP
from sycamorestand_peer.mesh import PeerMesh
from sycamorestand_peer.messages import ProposalForward
from sycamorestand_state.commands import DrainVm
from sycamorestand_state.commands import encode_command
from sycamorestand_state.commands import UndrainVm
from sycamorestand_state.configuration import ConfigurationMachine

if TYPE_CHECKING:
    from pathlib import Path

    from sycamorestand_bench.control_bench.system import System

IN_FLIGHT: Final = 100
MEGABYTE: Final = 1_000_000
CALL_TIMEOUT_S: Final = 20.0
RESTARTS: Final = 3
# Proposing more changes would dominate the duration of a run.
MAX_CHANGES: Final = 50_000


class RestartTimes(NamedTuple):
    """Seconds until readiness, without changes and after many.

    ``read_s`` is the time to read the files and restore the state. The rest
    of the time is Python's start and the wait for a lease.
    """

    fresh_s: list[float]
    changed_s: list[float]
    read_s: float
    changes: int
    folder_mb: float


def measure_restart(system: System, changes: int) -> RestartTimes:
    """Time restarts of a follower before and after the changes."""
    fresh_s = [_time_restart(system) for _ in range(RESTARTS)]
    leader = anyio.run(system.leader)
    address = system.cluster.controls[leader].peer_address
    client = system.client()
    first = anyio.run(system.apply, client)
    revision = anyio.run(
        _propose_changes, address, first, min(changes, MAX_CHANGES)
    )
    changed_s = [_time_restart(system) for _ in range(RESTARTS)]
    name = _follower(system)
    folder = system.cluster.controls[name].data_folder
    system.kill(name)
    read_s = _time_folder_read(folder)
    system.restart(name)
    return RestartTimes(
        fresh_s,
        changed_s,
        read_s,
        revision - first,
        folder_bytes(folder) / MEGABYTE,
    )


def folder_bytes(folder: Path) -> int:
    """Return the size of all files below a folder."""
    return sum(p.stat().st_size for p in folder.rglob("*") if p.is_file())


def _time_folder_read(folder: Path) -> float:
    begun_s = time.monotonic()
    storage = Storage(
        folder / f"group-{CONFIGURATION_GROUP}",
        ReplicaSettings().segment_bytes,
    )
    recovered = storage.open(had_log=True)
    machine = ConfigurationMachine()
    if recovered.snapshot.data:
        machine.restore(recovered.snapshot.data)
    seconds = time.monotonic() - begun_s
    storage.close()
    return seconds


def _time_restart(system: System) -> float:
    name = _follower(system)
    system.kill(name)
    begun_s = time.monotonic()
    system.restart(name)
    return time.monotonic() - begun_s


def _follower(system: System) -> str:
    leader = anyio.run(system.leader)
    return next(name for name in CONTROLS if name != leader)


async def _propose_changes(address: str, first: int, changes: int) -> int:
    """Propose changes to the leader, up to ``IN_FLIGHT`` at once.

    The operators' interface would take minutes for them. Each change has as
    its base the revision that its predecessor creates.
    """
    mesh = PeerMesh(free_address(), lambda: (CLUSTER_KEY.encode(),), _ignore)
    async with anyio.create_task_group() as tasks:
        await tasks.start(mesh.run)
        for start in range(first, first + changes, IN_FLIGHT):
            end = min(start + IN_FLIGHT, first + changes)
            async with anyio.create_task_group() as calls:
                for base in range(start, end):
                    kind = UndrainVm if (base - first) % 2 else DrainVm
                    calls.start_soon(_propose, mesh, address, kind, base)
        tasks.cancel_scope.cancel()
    return first + changes


async def _propose(
    mesh: PeerMesh, address: str, kind: type[DrainVm | UndrainVm], base: int
) -> None:
    call_id = mesh.next_call_id()
    command = kind(
        f"bench-{base}", "bench", base, "vm-0", "bench", time.time()
    )
    message = ProposalForward(
        call_id, CONFIGURATION_GROUP, encode_command(command)
    )
    reply = await mesh.call(address, call_id, message, CALL_TIMEOUT_S)
    if reply.failure or b"applied" not in reply.payload:
        raise RuntimeError(f"{reply.failure} {reply.payload!r}")


def _ignore(sender: str, message: object) -> None:
    """Ignore messages other than replies, since none are expected."""


__all__ = ["folder_bytes", "measure_restart", "RestartTimes"]
