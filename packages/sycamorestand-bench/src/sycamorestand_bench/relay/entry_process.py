"""Run the measured process: an entry in front of one fake engine.

Its arguments are the event loop, the kind ("product" for the entry or any
other for the plain relay) and the engine's address. It prints its own
address. For each line that it reads, it prints a line of JSON with the CPU
time that it has used and its peak memory.
"""

from __future__ import annotations

import contextlib
import os
import resource
import sys
from typing import Any
from typing import Final

import anyio
from anyio.abc import TaskStatus
import msgspec

from sycamorestand_bench.fakes.control_port import FakeControlPort
from sycamorestand_bench.fakes.control_port import FakeLedger
from sycamorestand_bench.fakes.declared import guild_configuration
from sycamorestand_bench.fakes.declared import LARGE
from sycamorestand_bench.fakes.hosting import serve_application
from sycamorestand_bench.relay.plain import make_plain_relay
from sycamorestand_entry.server import serve_entry
from sycamorestand_entry.settings import EntrySettings
from sycamorestand_model.backend_servers import Announcement

DESCRIPTORS: Final = "/proc/self/fd"


def current_usage() -> dict[str, Any]:
    """Return this process's CPU time, peak memory and use of io_uring."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "cpu_s": usage.ru_utime + usage.ru_stime,
        "peak_mb": usage.ru_maxrss / 1024,
        "io_uring": "anon_inode:[io_uring]" in open_files(),
    }


def open_files() -> list[str]:
    """Return the link targets of this process's file descriptors."""
    files: list[str] = []
    for descriptor in os.listdir(DESCRIPTORS):
        with contextlib.suppress(FileNotFoundError):
            files.append(os.readlink(f"{DESCRIPTORS}/{descriptor}"))
    return files


async def serve_product(
    engine: str, *, task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED
) -> None:
    """Serve the entry with a fake control port."""
    control = FakeControlPort(guild_configuration(), FakeLedger())
    control.servers["engine"] = Announcement(
        "engine", "engine", engine, "marietta", 1, 1, (LARGE,), capacity=4096
    )
    settings = EntrySettings("vm-1", "marietta", first_byte_timeout_s=30)
    async with anyio.create_task_group() as group:
        entry = await group.start(serve_entry, settings, control)
        task_status.started(f"{entry.host}:{entry.port}")


async def serve_plain(
    engine: str, *, task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED
) -> None:
    """Serve the plain relay with which the product is compared."""
    async with anyio.create_task_group() as group:
        relay = make_plain_relay(engine)
        task_status.started(await group.start(serve_application, relay))


async def _main(kind: str, engine: str) -> None:
    serve: Any = serve_product if kind == "product" else serve_plain
    async with anyio.create_task_group() as group:
        print(await group.start(serve, engine), flush=True)
        while await anyio.to_thread.run_sync(sys.stdin.readline):
            print(msgspec.json.encode(current_usage()).decode(), flush=True)
        group.cancel_scope.cancel()


def main(arguments: list[str]) -> None:
    """Run on the given event loop, ``asyncio`` or ``uvloop``."""
    loop, kind, engine = arguments
    options: dict[str, Any] = {}
    if loop == "uvloop":
        # uvloop is for comparison only: with this variable too, uvloop 0.23
        # sets up io_uring, which the product may not use.
        os.environ["UV_USE_IO_URING"] = "0"
        options["use_uvloop"] = True
    anyio.run(_main, kind, engine, backend_options=options)


if __name__ == "__main__":
    main(sys.argv[1:])


__all__ = [
    "current_usage",
    "main",
    "open_files",
    "serve_plain",
    "serve_product",
]
