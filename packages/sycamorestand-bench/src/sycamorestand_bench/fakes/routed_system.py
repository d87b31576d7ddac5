"""Run control processes and entries for routed requests in one event loop.

They talk over real links, so that tests see what the entries tell each other
by way of control, and when.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
import functools
from pathlib import Path
from random import Random
import time
from typing import Any
from typing import Final
from typing import NamedTuple

import anyio
from anyio.abc import SocketStream
from anyio.abc import TaskGroup
from anyio.abc import TaskStatus

from sycamorestand_bench.addresses import free_address
from sycamorestand_bench.addresses import free_port
from sycamorestand_bench.fakes.routed import HEADER_NAMES
from sycamorestand_bench.fakes.routed import read_to_end
from sycamorestand_bench.fakes.routed import request_bytes
from sycamorestand_bench.fakes.routed import routed_configuration
from sycamorestand_bench.fakes.routed import SETTINGS
from sycamorestand_control.groups import CONFIGURATION_GROUP
from sycamorestand_control.process import ControlProcess
from sycamorestand_control.settings import ControlSettings
from sycamorestand_entry.control.link import ControlLink
from sycamorestand_entry.control.link import LinkSettings
from sycamorestand_entry.routed.application import make_routed_application
from sycamorestand_entry.routed.forwarding import new_forwarding_key
from sycamorestand_entry.server import RunningEntry
from sycamorestand_entry.server import serve_entry
from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.declarations import Service
from sycamorestand_model.entry_reports import EntryAddress
from sycamorestand_model.keys import hash_key
from sycamorestand_state.commands import ANY_REVISION
from sycamorestand_state.commands import ApplyDeclarations
from sycamorestand_state.commands import encode_command

CLUSTER_KEY: Final = b"k" * 32
START_TIMEOUT_S: Final = 30.0
POLL_S: Final = 0.02
ROUTED_SERVICE: Final = "stock"


class Control:
    """A control process that a test may kill and start again."""

    def __init__(self, settings: ControlSettings) -> None:
        self.process = ControlProcess(settings)
        self._stop = anyio.Event()
        self._ended = anyio.Event()
        self._settings = settings

    @property
    def is_killed(self) -> bool:
        return self._stop.is_set()

    async def kill(self) -> None:
        """End the process without handing over its leadership."""
        groups: Any = self.process.groups
        groups.hand_over = _hand_over_nothing
        self._stop.set()
        await self._ended.wait()

    async def run(self) -> None:
        """Run the process until it is killed."""
        await self.process.run(self._stop)
        self._ended.set()

    def renewed(self) -> Control:
        """Return the process of the next start, on the same disk."""
        return Control(self._settings._replace(first_start=False))


class Entry(NamedTuple):
    """A running entry and its link to control."""

    running: RunningEntry
    link: ControlLink
    scope: anyio.CancelScope

    @property
    def has_stopped(self) -> bool:
        return self.running.context.stopping

    async def stop(self) -> None:
        """Stop the entry as planned."""
        self.running.begin_stop()
        await self.running.stopped.wait()
        self.scope.cancel()

    async def ask(self, path: str, body: bytes = b"", **headers: str) -> bytes:
        """Send one request and return all bytes of the answer."""
        host, port = self.running.host, self.running.port
        request = request_bytes(path, body, **headers)
        async with await anyio.connect_tcp(host, port) as stream:
            return await _exchange(stream, request)


class RoutedSystem:
    """The running control processes and entries."""

    def __init__(
        self,
        folder: Path,
        tasks: TaskGroup,
        is_public: bool = True,
        cold_requests_per_s: float = 0.0,
    ) -> None:
        self.controls: list[Control] = []
        self.entries: list[Entry] = []
        self._folder = folder
        self._tasks = tasks
        self._is_public = is_public
        self._cold_requests_per_s = cold_requests_per_s
        self._numbers = iter(range(1, 1_000_000))

    async def start_controls(self, count: int) -> None:
        """Start control processes and wait until all of them vote."""
        addresses = [free_address() for _ in range(count)]
        for number, address in enumerate(addresses):
            folder = self._folder / f"control-{number}"
            folder.mkdir(parents=True)
            others = tuple(a for a in addresses if a != address)
            settings = ControlSettings(
                f"control-{number}",
                "marietta",
                address,
                folder,
                lambda: (CLUSTER_KEY,),
                control_addresses=others,
                operator_port=free_port(),
                first_start=number == 0,
                first_operator_key_hash=hash_key("admin"),
                voters_wanted=count,
                allowance=SETTINGS.allowance,
            )
            control = Control(settings)
            self.controls.append(control)
            self._tasks.start_soon(control.run)
        await wait_until(lambda: len(self._voters()) == count)
        await self._apply_declarations()

    def restart_controls(self) -> None:
        """Start the control processes again that were killed."""
        for number, control in enumerate(self.controls):
            if control.is_killed:
                self.controls[number] = control.renewed()
                self._tasks.start_soon(self.controls[number].run)

    async def start_entry(self, controls: tuple[str, ...] = ()) -> Entry:
        """Start an entry, near the first of these control processes."""
        number = next(self._numbers)
        order = controls or self._control_addresses(number)
        settings = SETTINGS._replace(
            vm=f"vm-{number}",
            port=free_port(),
            forwarding_key=new_forwarding_key(),
            connect_timeout_s=0.3,
        )
        address = EntryAddress(
            settings.vm,
            settings.data_centre,
            settings.host,
            settings.port,
            forwarding_key=settings.forwarding_key,
        )
        link = ControlLink(
            LinkSettings(
                settings.vm,
                settings.data_centre,
                free_address(),
                order,
                (CLUSTER_KEY,),
            ),
            lambda: address,
        )
        scope = anyio.CancelScope()
        serve = functools.partial(
            serve_entry,
            settings,
            link,
            Random(number),
            make_routed_application(HEADER_NAMES),
        )

        async def run(*, task_status: TaskStatus[RunningEntry]) -> None:
            with scope:
                async with anyio.create_task_group() as tasks:
                    await tasks.start(link.run)
                    task_status.started(await tasks.start(serve))

        entry = Entry(await self._tasks.start(run), link, scope)
        self.entries.append(entry)
        return entry

    def leader(self) -> Control:
        """Return the control process that leads the configuration."""
        return next(
            control
            for control in self.controls
            if not control.is_killed
            and control.process.groups.is_leader(CONFIGURATION_GROUP)
        )

    async def announce(self, announcement: Announcement) -> None:
        """Announce a backend server to an entry that runs."""
        for entry in self.entries:
            if not entry.has_stopped:
                await entry.link.announce(announcement)
                return

    def blocked_parts(self) -> set[str]:
        """Return the parts that any control process holds blocked."""
        return {
            part
            for control in self.controls
            if not control.is_killed
            for part in control.process.configuration.in_force().blocked_parts
        }

    def _control_addresses(self, number: int) -> tuple[str, ...]:
        addresses = [c.process.mesh.address for c in self.controls]
        first = number % len(addresses)
        return tuple(addresses[first:] + addresses[:first])

    def _voters(self) -> list[str]:
        first = self.controls[0].process.groups
        members = first.replicas[CONFIGURATION_GROUP].status().members
        return [member.address for member in members if member.voter]

    async def _apply_declarations(self) -> None:
        machine = self.controls[0].process.configuration
        await wait_until(lambda: machine.cluster is not None)
        declared = routed_configuration().declarations
        routes = {
            name: route._replace(public=self._is_public)
            for name, route in declared.routes.items()
        }
        services = dict(declared.services)
        if self._cold_requests_per_s:
            services[ROUTED_SERVICE] = Service(
                ROUTED_SERVICE, cold_requests_per_s=self._cold_requests_per_s
            )
        operators = machine.in_force().declarations.operators
        command = ApplyDeclarations(
            "declare",
            "first-admin",
            machine.revision,
            declared._replace(
                operators=operators, routes=routes, services=services
            ),
            "",
            time.time(),
        )
        assert command.base_revision != ANY_REVISION
        result = await self.controls[0].process.groups.propose(
            CONFIGURATION_GROUP, encode_command(command), START_TIMEOUT_S
        )
        assert result.outcome == "applied", result.message


@asynccontextmanager
async def start_system(
    folder: Path,
    entries: int,
    controls: int = 3,
    is_public: bool = True,
    cold_requests_per_s: float = 0.0,
) -> AsyncIterator[RoutedSystem]:
    """Start control processes and entries, without backend servers.

    Unless ``is_public``, callers need the key of a customer. The service of
    the routes declares ``cold_requests_per_s``.
    """
    async with anyio.create_task_group() as tasks:
        system = RoutedSystem(folder, tasks, is_public, cold_requests_per_s)
        await system.start_controls(controls)
        for _ in range(entries):
            await system.start_entry()
        yield system
        tasks.cancel_scope.cancel()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Return once the condition holds; raise `TimeoutError` if it does not."""
    with anyio.fail_after(START_TIMEOUT_S):
        while not condition():
            await anyio.sleep(POLL_S)


async def _hand_over_nothing() -> None:
    """Keep the leadership, as a process that is killed does."""


async def _exchange(stream: SocketStream, request: bytes) -> bytes:
    await stream.send(request)
    return await read_to_end(stream)


__all__ = [
    "Control",
    "Entry",
    "RoutedSystem",
    "START_TIMEOUT_S",
    "start_system",
    "wait_until",
]
