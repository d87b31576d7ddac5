"""Run one entry or one control process of ``sycamorestand``."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import faulthandler
import logging
import os
import signal
import sys
from typing import Any
from typing import Final

import anyio
import defopt

from sycamorestand.logs import configure_logging
from sycamorestand.process_settings import CONTROL_SETTINGS
from sycamorestand.process_settings import ENTRY_SETTINGS
from sycamorestand.settings import make_command
from sycamorestand.settings import read_settings
from sycamorestand.settings import Setting
from sycamorestand.settings import SettingsError
from sycamorestand_consensus.errors import ConsensusError
from sycamorestand_model.errors import SycamorestandError

LOG: Final = logging.getLogger(__name__)
EXIT_SETTINGS: Final = 2
EXIT_FAILED: Final = 1

RunRole = Callable[[dict[str, Any], anyio.Event], Awaitable[None]]


def main(arguments: list[str] | None = None) -> int:
    """Run one process until SIGTERM or SIGINT; return its exit status."""
    commands = {
        "entry": make_command(
            "entry",
            "Run an entry, which routes callers' requests to backend servers.",
            ENTRY_SETTINGS,
            _make_runner("entry", ENTRY_SETTINGS, _run_entry),
        ),
        "control": make_command(
            "control",
            "Run one voter of the replicated log, which also serves entries.",
            CONTROL_SETTINGS,
            _make_runner("control", CONTROL_SETTINGS, _run_control),
        ),
    }
    result: int = defopt.run(commands, argv=arguments)
    return result


def _make_runner(
    role: str, settings: tuple[Setting, ...], serve: RunRole
) -> Callable[[Mapping[str, str]], int]:
    def run(flags: Mapping[str, str]) -> int:
        try:
            values = read_settings(settings, flags, os.environ)
        except SettingsError as error:
            sys.stderr.write(f"{error}\n")
            return EXIT_SETTINGS
        # A crash in a library's native code ends the process before it can
        # log. The fault handler writes each thread's stack to standard error.
        faulthandler.enable()
        configure_logging(values["vm"], role, values["log_level"])
        return _run_loop(serve, values)

    return run


def _run_loop(serve: RunRole, values: dict[str, Any]) -> int:
    # Runs on asyncio's own event loop. uvloop 0.23 sets up io_uring with its
    # first loop even if UV_USE_IO_URING=0, and sycamorestand must not use
    # io_uring.
    try:
        anyio.run(_serve_until_signal, serve, values)
    except ExceptionGroup as group:
        expected, unexpected = group.split(
            (SycamorestandError, ConsensusError)
        )
        for error in _flatten_group(expected):
            LOG.error("ended", extra={"reason": str(error)})
        if unexpected is not None:
            raise unexpected from None
        return EXIT_FAILED
    return 0


def _flatten_group(group: BaseException | None) -> list[BaseException]:
    if isinstance(group, BaseExceptionGroup):
        return [e for part in group.exceptions for e in _flatten_group(part)]
    return [] if group is None else [group]


async def _serve_until_signal(serve: RunRole, values: dict[str, Any]) -> None:
    stop = anyio.Event()
    # The receiver is opened before the role is imported. Otherwise a signal
    # during the import would raise inside the event loop and the process
    # would exit with a failure.
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_set_on_signal, received, stop)
            await serve(values, stop)
            tasks.cancel_scope.cancel()


async def _set_on_signal(
    received: AsyncIterator[signal.Signals], stop: anyio.Event
) -> None:
    async for _ in received:
        stop.set()


# Each role imports only its own modules. Importing those of the other role
# would add 0.3 to 0.4 s to every restart, and there are 140 restarts on an
# ordinary day.
async def _run_entry(values: dict[str, Any], stop: anyio.Event) -> None:
    from sycamorestand.entry_process import run_entry

    await run_entry(values, stop)


async def _run_control(values: dict[str, Any], stop: anyio.Event) -> None:
    from sycamorestand.control_process import run_control

    await run_control(values, stop)


__all__ = ["main"]
