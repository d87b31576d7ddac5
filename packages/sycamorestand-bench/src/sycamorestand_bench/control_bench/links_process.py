"""Run the control links of many entries as tasks of one process.

The process prints a line once every link holds a lease.
Then it answers each `Order` on its standard input with a `Report`, both as
one line of JSON.
"""

from __future__ import annotations

import functools
import sys
import time
from typing import Any

import anyio
import msgspec

from sycamorestand_bench.addresses import free_address
from sycamorestand_bench.control_bench.activity import Activity
from sycamorestand_bench.processes import CLUSTER_KEY
from sycamorestand_entry.control.link import ControlLink
from sycamorestand_entry.control.link import LinkSettings
from sycamorestand_model.entry_reports import EntryAddress


class LinksRun(msgspec.Struct):
    """The number of links, and the control addresses of each.

    Link ``i`` uses ``controls[i % len(controls)]``.
    """

    name: str
    count: int
    controls: list[list[str]]


class Order(msgspec.Struct):
    """The load until the next order.

    ``servers`` backend servers announce themselves each second. Each link
    makes ``requests_per_s``.
    """

    servers: int = 0
    requests_per_s: float = 0.0


class Report(msgspec.Struct):
    """Totals over all links, but the minimum of revision and servers."""

    at_s: float
    leases: int
    revision: int
    servers_seen: int
    sent_bytes: int
    received_bytes: int
    sent_frames: int
    received_frames: int
    moves: int
    denials: int
    redials: int


async def serve(run: LinksRun) -> None:
    """Run the links and answer orders until the input ends."""
    links = [_make_link(run, number) for number in range(run.count)]
    async with anyio.create_task_group() as tasks:
        for link in links:
            await tasks.start(link.run)
        print("ready", flush=True)
        activity = Activity(run.name, links)
        tasks.start_soon(activity.run)
        while line := await _read_line():
            order = msgspec.json.decode(line, type=Order)
            activity.servers = order.servers
            activity.requests_per_s = order.requests_per_s
            print(msgspec.json.encode(_report(links)).decode(), flush=True)
        tasks.cancel_scope.cancel()


def _make_link(run: LinksRun, number: int) -> ControlLink:
    controls = run.controls[number % len(run.controls)]
    settings = LinkSettings(
        vm=f"{run.name}-{number}",
        data_centre=f"dc-{number % len(run.controls)}",
        peer_address=free_address(),
        control_addresses=tuple(controls),
        cluster_keys=(CLUSTER_KEY.encode(),),
    )
    address = EntryAddress(
        settings.vm, settings.data_centre, "127.0.0.1", 1000 + number
    )
    return ControlLink(settings, lambda: address)


def _report(links: list[ControlLink]) -> Report:
    counters = [link.mesh.counters for link in links]
    return Report(
        at_s=time.monotonic(),
        leases=sum(link.lease_remaining_s() > 0 for link in links),
        revision=min(link.in_force().revision for link in links),
        servers_seen=min(len(link.backend_servers()) for link in links),
        sent_bytes=sum(c.bytes_sent for c in counters),
        received_bytes=sum(c.bytes_received for c in counters),
        sent_frames=sum(c.frames_sent for c in counters),
        received_frames=sum(c.frames_received for c in counters),
        moves=sum(link.moves for link in links),
        denials=sum(link.denials for link in links),
        redials=sum(c.redials for c in counters),
    )


async def _read_line() -> str:
    read: Any = functools.partial(
        anyio.to_thread.run_sync, sys.stdin.readline, abandon_on_cancel=True
    )
    line: str = await read()
    return line


if __name__ == "__main__":
    anyio.run(serve, msgspec.json.decode(sys.argv[1], type=LinksRun))

__all__ = ["LinksRun", "Order", "Report", "serve"]
