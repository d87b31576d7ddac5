"""One valid manifest ends every control process for good.

A service is declared with `Engine` at first. A later manifest, which is valid,
declares the same service without it, as a plain service. Nothing else is
disturbed. The manifest has to be read back at the end.

Without the disruption the later manifest keeps the service's `Engine`, and
changes a time-out only.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import harness  # noqa: E402

SERVICE = "poolside-llm"
# As `fleetbench wire` prints it for jafa-lanes.
ENGINE = {
    "Slots": 64, "KvTokens": 625049, "KvTokenBytes": 18432, "LinkMbps": 370000.0,
    "Moves": True, "Backups": True, "Stride": 5, "most": 12, "PinMs": 4000.0,
    "HoldMs": 2000.0, "HandleS": 5.0,
    "Models": [{"Name": "daka510000", "Cost": 0.016}],
}
ACK_LIMIT_S = 4.0
WAIT_S = 12.0
READ_FOR_S = 6.0


def world(record: harness.Record) -> harness.World:
    return harness.World(record, cores=3, others=3)


async def send(world: harness.World, content: dict, limit_s: float) -> bool:
    try:
        answer = await harness.Operator(world).order(
            "POST", "/-/Config.Replace", content, limit_s)
    except TimeoutError:
        return False
    return answer.status == 200


async def read_back(world: harness.World, oldest: int) -> bool:
    """Return whether a manifest of this version or a later one is read."""
    end = time.monotonic() + READ_FOR_S
    while time.monotonic() < end:
        try:
            answer = await harness.Operator(world).order(
                "GET", "/-/Config.Read", limit_s=2.0)
        except TimeoutError:
            continue
        if answer.status == 200:
            return json.loads(answer.body)["Version"] >= oldest
    return False


async def play(world: harness.World, trouble: bool) -> bool:
    record = world.record
    await asyncio.sleep(2)
    routes = [harness.route("summary", "/summary/", SERVICE),
              harness.route("receipt", "/receipt/", "lane-ledger")]
    content = harness.manifest(7, routes, [SERVICE, "lane-ledger"])
    content["Services"][0]["Engine"] = ENGINE
    if not await send(world, content, 10.0):
        raise harness.CannotRun("the first manifest was not acknowledged")
    for zone in harness.ZONES:
        await harness.Server(world, "lane-ledger", "v1", zone).start()
    await world.wait_ready()
    await asyncio.sleep(2)
    requester = harness.Requester(world)
    for _ in range(10):
        await requester.send("/receipt/1", "GET", log=False)
    record.line(f"statuses of requests before: {requester.statuses()}")
    requester.sent.clear()
    content["Version"] = 11
    content["Routes"][0]["TimeoutMs"] = 900
    if trouble:
        del content["Services"][0]["Engine"]
    acknowledged = await send(world, content, ACK_LIMIT_S)
    record.line(f"manifest version 11 acknowledged: {acknowledged}")
    await asyncio.sleep(WAIT_S)
    for _ in range(10):
        await requester.send("/receipt/1", "GET", log=False)
    record.line(f"statuses of requests after: {requester.statuses()}")
    held = await read_back(world, 11 if acknowledged else 7)
    ends = {vm.name: world.own_ends.count(f"{vm.name} control")
            for vm in world.core()}
    record.line(f"control processes ended by themselves: {ends}")
    return held


if __name__ == "__main__":
    harness.main(sys.modules[__name__], Path(__file__).resolve().parent)
