"""The third roll-out of a service is acknowledged and never begins.

The operator rolls v2 out, goes back to v1 with a roll-out of v1, and then
rolls v2 out once more. Each order is sent only after the one before has
completed. Then all processes are killed, and the operator reads what became of
the last order. With TROUBLE=0 there is the first order alone.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
import sys

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from harness import CannotRun  # noqa: E402
from harness import main  # noqa: E402
from harness import manifest  # noqa: E402
from harness import Operator  # noqa: E402
from harness import Requester  # noqa: E402
from harness import route  # noqa: E402
from harness import Server  # noqa: E402
from harness import ZONES  # noqa: E402

SERVICE = "wuno96b"
PATH = "/puxa403/"
PER_S = 40
DURATIONS_S = (8, 9, 10)
# Longer than AckMs, for which an order may be sent again: the third order
# cannot be a resend of the first.
PAUSE_S = 4.5
RECOVERY_S = 12.0


async def start_servers(world, version):
    servers = [Server(world, SERVICE, version, zone) for zone in ZONES]
    for server in servers:
        await server.start()
    return servers


async def read(operator):
    """Return status, state and target of the service's roll-out."""
    answer = await operator.order("GET", f"/-/Rollouts.Read/{SERVICE}", log=False)
    content = json.loads(answer.body or b"{}")
    return answer.status, content.get("State", ""), content.get("Target", "")


class Case:
    async def play(self, world, trouble):
        record = world.record
        operator = Operator(world)
        await asyncio.sleep(2)
        await operator.order(
            "POST", "/-/Config.Replace",
            manifest(3, [route("r-1", PATH, SERVICE)], [SERVICE]), limit_s=20)
        old = await start_servers(world, "v1")
        await world.wait_ready()
        await asyncio.sleep(2)
        stop = asyncio.Event()
        requester = Requester(world)
        load = asyncio.create_task(requester.load(PATH, PER_S, stop))
        targets = ("v2", "v1", "v2") if trouble else ("v2",)
        for target, duration_s in zip(targets, DURATIONS_S):
            order = {"Service": SERVICE, "Target": target, "DurationS": duration_s}
            answer = await operator.order("POST", "/-/Rollouts.Start", order)
            if answer.status != 200:
                raise CannotRun("an order was not acknowledged")
            new = await start_servers(world, target)
            seen = None
            end_s = record.now() + duration_s + 5
            while record.now() < end_s and seen != (200, "completed", target):
                now = await read(operator)
                if now != seen:
                    record.line(f"operator reads the roll-out to {target}: {now}")
                    seen = now
                await asyncio.sleep(0.25)
            if seen == (200, "completed", target):
                for server in old:
                    await server.stop()
                old = new
            elif target != targets[-1] or len(targets) == 1:
                raise CannotRun("a good version was not completed")
            await asyncio.sleep(PAUSE_S)
        stop.set()
        await load
        record.line("final fault: all processes are killed at the same moment")
        for vm in world.vms:
            for role in list(vm.processes):
                world.kill(vm, role)
        await asyncio.sleep(RECOVERY_S)
        found = await read(operator)
        record.line(f"operator reads back after the final fault: {found};"
                    f" acknowledged last: a roll-out to {targets[-1]}")
        return found[0] == 200 and found[2] == targets[-1]


main(Case(), HERE)
