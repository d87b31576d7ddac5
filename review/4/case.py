"""Servers that leave get requests, as one report holds a number too large.

Another writer reports an instance of a service that nobody has, at each
control process: once as servers do, once with a number of slots that no 64-bit
integer holds. Then sound servers leave one after the other. They send
`Instances.Leave` first, serve on, and exit. With TROUBLE=0 the other writer is
silent.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
import random
import sys

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from harness import call  # noqa: E402
from harness import HEARTBEAT_S  # noqa: E402
from harness import main  # noqa: E402
from harness import manifest  # noqa: E402
from harness import Operator  # noqa: E402
from harness import Requester  # noqa: E402
from harness import route  # noqa: E402
from harness import Server  # noqa: E402
from harness import VELDLOOP_BOUNDS  # noqa: E402
from harness import World  # noqa: E402
from harness import ZONES  # noqa: E402

SERVICE = "wuno96b"
PATH = "/puxa403/"
PER_S = 60
DRAIN_S = VELDLOOP_BOUNDS["DrainMs"] / 1000
# "DrainMs after the confirmation and a little longer (at times many seconds)"
SERVES_ON_S = DRAIN_S + 3.5
LEAVING = 6
PAUSE_S = 5.0
TOO_LARGE = 2**64


class RovingServer(Server):
    """A server that sends each report to a control process by lot."""

    async def _beat(self):
        while True:
            await self.tell_any(f"/-/Instances.Heartbeat/{self.id}", self.report())
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.1))

    async def tell_any(self, path, content):
        vms = self.world.core()
        for vm in random.sample(vms, len(vms)):
            if await self.tell(vm, path, content):
                return vm
        return None

    async def leave(self):
        """Leave, serve on, and exit; return when the notice was confirmed."""
        self._beats.cancel()
        vm = None
        while vm is None:
            vm = await self.tell_any(f"/-/Instances.Leave/{self.id}", {})
            if vm is None:
                await asyncio.sleep(0.2)
        at_s = self.world.record.now()
        self.world.record.line(f"server {self.id} leaves, confirmed by {vm.name}")
        return at_s


async def report_too_large(world, stop):
    number = 0
    while not stop.is_set():
        statuses = []
        for vm in world.core():
            for slots in (6, TOO_LARGE):
                number += 1
                body = {"Service": "nowhere", "Address": f"{world.server_ip}:9",
                        "Zone": vm.zone, "Version": "v1", "Slots": slots,
                        "State": "ready", "ColdLeftMs": 0, "Seq": number}
                try:
                    answer = await call(
                        vm.address("Control"), "POST",
                        f"/-/Instances.Heartbeat/i-other-{vm.zone}",
                        json.dumps(body).encode(),
                        {"Content-Type": "application/json"})
                    statuses.append(answer.status)
                except (OSError, ValueError, asyncio.TimeoutError):
                    statuses.append(0)
        world.record.line(f"the other writer reports, answers {statuses}")
        await asyncio.sleep(HEARTBEAT_S)


class Case:
    def world(self, record):
        return World(record, bounds=VELDLOOP_BOUNDS)

    async def play(self, world, trouble):
        record = world.record
        operator = Operator(world)
        await asyncio.sleep(2)
        await operator.order(
            "POST", "/-/Config.Replace",
            manifest(3, [route("r-1", PATH, SERVICE)], [SERVICE]), limit_s=20)
        servers = [RovingServer(world, SERVICE, "v1", ZONES[i % 3])
                   for i in range(2 * LEAVING)]
        for server in servers:
            await server.start()
        await world.wait_ready()
        await asyncio.sleep(3)
        stop = asyncio.Event()
        requester = Requester(world)
        tasks = [asyncio.create_task(requester.load(PATH, PER_S, stop))]
        if trouble:
            tasks.append(asyncio.create_task(report_too_large(world, stop)))
        await asyncio.sleep(6)
        late = 0
        for server in servers[:LEAVING]:
            confirmed_s = await server.leave()
            await asyncio.sleep(SERVES_ON_S)
            found = [run.came - confirmed_s for run in server.runs
                     if run.came > confirmed_s + DRAIN_S]
            record.line(
                f"server {server.id} ran {len(found)} requests later than DrainMs"
                f" after the confirmation, the last after {max(found, default=0):.2f} s")
            late += len(found)
            await server.stop()
            await asyncio.sleep(PAUSE_S - 3)
        stop.set()
        await asyncio.gather(*tasks)
        record.line(f"attempts by status {requester.statuses()}")
        return not late


main(Case(), HERE)
