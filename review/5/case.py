"""Some hundred changes of a manifest with many routes.

The manifest has grown by many routes. The operator then changes one route's
timeout again and again, with a few orders in progress at once, until some
hundred changes are made. The platform kills a process whose memory exceeds
`MemoryMb` and starts it again, as it does always.

Without the disruption the same changes are made to the manifest without the
additional routes.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
import random
import signal
import string
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import harness  # noqa: E402

FIRST_ROUTES = 45
MORE_ROUTES = 1804
CHANGES = 900
IN_PROGRESS = 8
CHANGES_LIMIT_S = 82.0
MEMORY_MB = harness.VELDLOOP_LIMITS["MemoryMb"]
CHECK_S = 0.2
SETTLE_S = 2.0
AFTER_S = 6.0
LOAD_PER_S = 10.0
MAX_ENDS = 3


def world(record: harness.Record) -> harness.World:
    made = harness.World(record, cores=3, bounds=harness.VELDLOOP_BOUNDS)
    made.limits = harness.VELDLOOP_LIMITS
    return made


def word() -> str:
    letters = string.ascii_lowercase + string.digits
    return "".join(random.choice(letters) for _ in range(7))


def idle_routes(count: int) -> list[dict]:
    return [harness.route(f"r-{word()}", f"/{word()}/", "results-core")
            for _ in range(count)]


def private_mb(pid: int) -> float:
    """Return a process's private memory, without code that it maps."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    return 0.0


def disk_mb(world: harness.World, vm: harness.Vm) -> float:
    folder = world.folder / f"{vm.name}-control-data"
    files = [path for path in folder.rglob("*") if path.is_file()]
    return sum(path.stat().st_size for path in files) / 1e6


class MemoryLimit:
    """Kills processes whose private memory exceeds the limit."""

    def __init__(self, world: harness.World) -> None:
        self.world = world
        self.ends: dict[str, int] = {}
        self.most_mb = 0.0

    async def run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            for vm in self.world.vms:
                for role, process in list(vm.processes.items()):
                    self.check(vm, role, process)

    def check(self, vm: harness.Vm, role: str, process) -> None:
        try:
            used_mb = private_mb(process.pid)
        except OSError:
            return
        self.most_mb = max(self.most_mb, used_mb)
        if used_mb <= MEMORY_MB or process.returncode is not None:
            return
        name = f"{vm.name} {role}"
        self.ends[name] = self.ends.get(name, 0) + 1
        self.world.record.line(
            f"{name} uses {used_mb:.0f} MB of {MEMORY_MB}: ended by the platform"
            f" (its disk holds {disk_mb(self.world, vm):.0f} MB)")
        self.world.killed.add((vm.name, role))
        vm.signal(role, signal.SIGKILL)


class Changes:
    """Makes changes of one manifest, some of them in progress at once."""

    def __init__(self, world: harness.World, content: dict) -> None:
        self.operator = harness.Operator(world)
        self.content = content
        self.sent = 0
        self.acknowledged = 0

    async def run(self, limit: MemoryLimit) -> None:
        end = time.monotonic() + CHANGES_LIMIT_S

        async def make() -> None:
            while self.sent < CHANGES and time.monotonic() < end:
                if ended_by_themselves(limit):
                    return
                await self.one()

        await asyncio.gather(*(make() for _ in range(IN_PROGRESS)))

    async def one(self, limit_s: float = 5.0) -> bool:
        self.sent += 1
        self.content["Version"] += 1 + self.sent % 3
        routes = self.content["Routes"]
        routes[1 + self.sent % (FIRST_ROUTES - 1)]["TimeoutMs"] = 800 + self.sent
        try:
            answer = await self.operator.order(
                "POST", "/-/Config.Replace", self.content, limit_s, log=False)
        except TimeoutError:
            return False
        self.acknowledged += answer.status == 200
        return answer.status == 200


def ended_by_themselves(limit: MemoryLimit) -> bool:
    """Return whether half of the core ended three times each, or more."""
    often = [name for name, ends in limit.ends.items()
             if name.endswith("control") and ends >= MAX_ENDS]
    return len(often) >= 2


async def play(world: harness.World, trouble: bool) -> bool:
    record = world.record
    await asyncio.sleep(2)
    read = harness.route("read", "/read/", "results-core")
    content = harness.manifest(1, [read, *idle_routes(FIRST_ROUTES - 1)],
                               ["results-core"])
    changes = Changes(world, content)
    if not await changes.one(10.0):
        raise harness.CannotRun("the first manifest was not acknowledged")
    for zone in harness.ZONES:
        await harness.Server(world, "results-core", "v1", zone).start()
    await world.wait_ready()
    limit = MemoryLimit(world)
    watch = asyncio.create_task(limit.run())
    requester = harness.Requester(world)
    stop = asyncio.Event()
    load = asyncio.create_task(requester.load("/read/", LOAD_PER_S, stop))
    if trouble:
        content["Routes"] += idle_routes(MORE_ROUTES)
    record.line(f"the manifest has {len(content['Routes'])} routes,"
                f" {len(json.dumps(content))} bytes")
    await changes.run(limit)
    record.line(f"{changes.sent} changes sent, {changes.acknowledged} acknowledged")
    before = list(requester.results)
    # Nothing disturbs any machine from here on.
    await asyncio.sleep(SETTLE_S)
    requester.results.clear()
    late = await changes.one(AFTER_S)
    record.line(f"one more change: acknowledged {late}")
    await asyncio.sleep(AFTER_S)
    after = list(requester.results)
    stop.set()
    watch.cancel()
    await load
    served = [sum(s == 200 for s in each) / max(1, len(each))
              for each in (before, after)]
    record.line(f"served: {served[0]:.2f} before, {served[1]:.2f} after")
    record.line(f"most private memory {limit.most_mb:.0f} MB, disks "
                f"{[round(disk_mb(world, vm)) for vm in world.core()]} MB")
    record.line(f"ends by memory: {limit.ends}")
    return not ended_by_themselves(limit)


if __name__ == "__main__":
    harness.main(sys.modules[__name__], Path(__file__).resolve().parent)
