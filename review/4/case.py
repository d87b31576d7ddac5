"""All machines lose power after old segments of the log were removed.

After some time of changes each voter makes a snapshot and removes the segment
files that it covers. It does not sync the folder afterwards. At the loss of
power one removed name is kept and the others are lost, as DEPLOY.md allows.
The manifest has to be read back within `RecoveryS`.

The stand-in for the disk holds a second name of each segment file, outside of
the data folder. After the loss of power it gives the oldest removed file its
name back. Without the disruption all processes are killed at the same moment,
and the disks stay as they were.
"""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path
import random
import string
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import harness  # noqa: E402

FIRST_ROUTES = 13
MORE_ROUTES = 350
IN_PROGRESS = 8
CHANGES_LIMIT_S = 80.0
POLL_S = 0.02
DOWN_S = 1.0
RECOVERY_S = 12.0
READ_FOR_S = 5.0


def world(record: harness.Record) -> harness.World:
    return harness.World(record, cores=3, bounds=harness.NILE_BOUNDS)


def word() -> str:
    letters = string.ascii_lowercase + string.digits
    return "".join(random.choice(letters) for _ in range(7))


class Disk:
    """What a voter's folder held, and which removals were not synced."""

    def __init__(self, world: harness.World, vm: harness.Vm) -> None:
        self.folder = world.folder / f"{vm.name}-control-data" / "group-0"
        self.side = world.folder / f"{vm.name}-side"
        self.side.mkdir()
        self.vm = vm
        self.newest = ""
        self.newest_at_removal = ""
        self.removed: list[str] = []

    def look(self) -> None:
        """Note new and removed segment files."""
        present = {path.name for path in self.folder.glob("log-*.seg")}
        for name in sorted(present):
            if not (self.side / name).exists():
                os.link(self.folder / name, self.side / name)
        known = {path.name for path in self.side.iterdir()}
        removed = sorted(known - present)
        if removed != self.removed:
            # A new segment syncs the folder, and earlier removals with it.
            is_same = max(present) == self.newest
            self.newest_at_removal = self.newest if is_same else ""
            self.removed = removed
        self.newest = max(present)

    @property
    def is_unsynced(self) -> bool:
        """Whether two removals or more happened since the last sync."""
        return len(self.removed) >= 2 and self.newest == self.newest_at_removal

    def lose_power(self) -> None:
        """Keep the name of the oldest removed file, lose the others."""
        name = self.removed[0]
        os.link(self.side / name, self.folder / name)


class Changes:
    """Makes changes of one manifest, some of them in progress at once."""

    def __init__(self, world: harness.World, content: dict) -> None:
        self.operator = harness.Operator(world)
        self.content = content
        self.sent = 0
        self.acknowledged = 0
        self.newest = 0

    async def one(self, limit_s: float = 5.0) -> bool:
        self.sent += 1
        self.content["Version"] += 1 + self.sent % 3
        version = self.content["Version"]
        routes = self.content["Routes"]
        routes[self.sent % FIRST_ROUTES]["TimeoutMs"] = 800 + self.sent % 900
        try:
            answer = await self.operator.order(
                "POST", "/-/Config.Replace", self.content, limit_s, log=False)
        except TimeoutError:
            return False
        if answer.status != 200:
            return False
        self.acknowledged += 1
        self.newest = max(self.newest, version)
        return True

    async def run(self, stop: asyncio.Event) -> None:
        end = time.monotonic() + CHANGES_LIMIT_S

        async def make() -> None:
            while not stop.is_set() and time.monotonic() < end:
                await self.one()

        await asyncio.gather(*(make() for _ in range(IN_PROGRESS)))


async def stop_all(world: harness.World) -> None:
    for vm in world.vms:
        vm.restart = False
    for vm in world.vms:
        for process in vm.processes.values():
            process.kill()
    for vm in world.vms:
        for process in vm.processes.values():
            await process.wait()
        vm.processes.clear()


async def start_all(world: harness.World) -> None:
    for vm in world.vms:
        vm.bootstrap = False
        await vm.start("entry")
        await vm.start("control")
        vm.restart = True


async def read_back(world: harness.World, version: int) -> bool:
    """Return whether the newest acknowledged manifest is read back."""
    operator = harness.Operator(world)
    end = time.monotonic() + READ_FOR_S
    while time.monotonic() < end:
        try:
            answer = await operator.order(
                "GET", "/-/Config.Read", limit_s=2.0, log=False)
        except TimeoutError:
            continue
        if answer.status == 200:
            found = json.loads(answer.body)["Version"]
            world.record.line(f"read back: version {found}")
            return found >= version
    world.record.line("the manifest is not read back")
    return False


async def play(world: harness.World, trouble: bool) -> bool:
    record = world.record
    await asyncio.sleep(2)
    routes = [harness.route(f"r-{word()}", f"/{word()}/", "bay-ledger")
              for _ in range(FIRST_ROUTES + MORE_ROUTES)]
    changes = Changes(world, harness.manifest(1, routes, ["bay-ledger"]))
    if not await changes.one(10.0):
        raise harness.CannotRun("the first manifest was not acknowledged")
    disks = [Disk(world, vm) for vm in world.core()]
    stop = asyncio.Event()
    made = asyncio.create_task(changes.run(stop))
    while not made.done():
        for disk in disks:
            disk.look()
        if all(disk.removed for disk in disks):
            break
        await asyncio.sleep(POLL_S)
    if not all(disk.is_unsynced for disk in disks):
        raise harness.CannotRun(
            f"no snapshot with two segments: {[d.removed for d in disks]}")
    await stop_all(world)
    stop.set()
    await made
    record.line(f"{changes.sent} changes sent, {changes.acknowledged} acknowledged,"
                f" the newest of them version {changes.newest}")
    for disk in disks:
        record.line(f"{disk.vm.name} removed {', '.join(disk.removed)}"
                    f" and holds {disk.newest}")
    if trouble:
        for disk in disks:
            disk.lose_power()
        record.line("all machines lost power")
    else:
        record.line("all processes were killed")
    await asyncio.sleep(DOWN_S)
    await start_all(world)
    await asyncio.sleep(RECOVERY_S)
    held = await read_back(world, changes.newest)
    record.line(f"processes that ended by themselves since: {len(world.own_ends)}")
    log = world.folder / f"{world.vms[0].name}-control.log"
    if not held:
        lines = log.read_text(errors="replace").splitlines()
        errors = [line for line in lines if "LogCorrupted" in line]
        record.line("its log: " + (errors[-1].strip()[:300] if errors else "-"))
    return held


if __name__ == "__main__":
    harness.main(sys.modules[__name__], Path(__file__).resolve().parent)
