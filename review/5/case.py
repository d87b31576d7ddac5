"""A roll-out to a version that was rolled out before is lost.

Version v2 of a service is rolled out and turns bad later, so that the
operator moves the service back to v1. Once v2 is repaired the operator orders
it again, and the order is acknowledged. Right after that all processes of the
core are killed, and are back within a second. The roll-out has to be known
afterwards.

Without the disruption v2 is sound at once: it was never rolled out before the
order that is acknowledged. The final fault is the same.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import harness  # noqa: E402

SERVICE = "lane-ledger"
DURATION_S = 12.0
COMPLETE_LIMIT_S = 24.0
LOAD_PER_S = 25.0
RECOVERY_S = 12.0
READ_FOR_S = 6.0
GIVEN_STATES = ("running", "completed", "rolled_back")


def world(record: harness.Record) -> harness.World:
    return harness.World(record, cores=3, others=3)


async def start_servers(world: harness.World, version: str) -> list[harness.Server]:
    servers = [harness.Server(world, SERVICE, version, zone) for zone in harness.ZONES]
    for server in servers:
        await server.start()
    return servers


async def order(world: harness.World, target: str) -> None:
    """Order a roll-out; raise `CannotRun` if it is not acknowledged."""
    content = {"Service": SERVICE, "Target": target, "DurationS": DURATION_S}
    answer = await harness.Operator(world).order(
        "POST", "/-/Rollouts.Start", content)
    if answer.status != 200:
        raise harness.CannotRun(f"the roll-out of {target} is not acknowledged")


async def read(world: harness.World, limit_s: float = 2.0) -> tuple[int, dict]:
    try:
        answer = await harness.Operator(world).order(
            "GET", f"/-/Rollouts.Read/{SERVICE}", limit_s=limit_s, log=False)
    except TimeoutError:
        return 0, {}
    return answer.status, json.loads(answer.body or b"{}")


async def complete(world: harness.World, target: str,
                   old: list[harness.Server]) -> None:
    """Wait until the roll-out is completed, then stop the old servers."""
    end = time.monotonic() + COMPLETE_LIMIT_S
    while time.monotonic() < end:
        status, content = await read(world)
        if content.get("State") == "completed":
            world.record.line(f"the roll-out of {target} is completed")
            for server in old:
                await server.stop()
            return
        await asyncio.sleep(0.3)
    raise harness.CannotRun(f"the roll-out of {target} was not completed")


async def move(world: harness.World, target: str,
               old: list[harness.Server]) -> list[harness.Server]:
    """Move the service to servers of a version; return these."""
    servers = await start_servers(world, target)
    await asyncio.sleep(2)
    await order(world, target)
    await complete(world, target, old)
    return servers


async def kill_core(world: harness.World) -> None:
    for vm in world.core():
        world.kill(vm, "control")
    await asyncio.sleep(RECOVERY_S)


async def play(world: harness.World, trouble: bool) -> bool:
    record = world.record
    await asyncio.sleep(2)
    routes = [harness.route("receipt", "/receipt/", SERVICE)]
    await harness.Operator(world).order(
        "POST", "/-/Config.Replace", harness.manifest(1, routes, [SERVICE]), 10.0)
    servers = await start_servers(world, "v1")
    await world.wait_ready()
    requester = harness.Requester(world)
    stop = asyncio.Event()
    load = asyncio.create_task(requester.load("/receipt/", LOAD_PER_S, stop))
    await asyncio.sleep(4)
    if trouble:
        servers = await move(world, "v2", servers)
        record.line("v2 turns bad later: the operator moves back to v1")
        servers = await move(world, "v1", servers)
    await start_servers(world, "v2")
    await asyncio.sleep(2)
    await order(world, "v2")
    record.line(f"the roll-out is read as {await read(world)}")
    await kill_core(world)
    end = time.monotonic() + READ_FOR_S
    held = False
    while time.monotonic() < end and not held:
        status, content = await read(world)
        held = content.get("Target") == "v2" and content.get("State") in GIVEN_STATES
        await asyncio.sleep(0.3)
    record.line(f"after the final fault it is read as {status} {content}")
    stop.set()
    await load
    runs = {v: sum(len(s.runs) for s in world.servers
                   if s.version == v and s._server is not None) for v in ("v1", "v2")}
    record.line(f"runs at the servers that are up: {runs}")
    return held


if __name__ == "__main__":
    harness.main(sys.modules[__name__], Path(__file__).resolve().parent)
