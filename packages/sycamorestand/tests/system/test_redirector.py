"""A control process without a disk is all that a starting process knows.

The platform may name any control processes in the settings of a start, also
those without a disk alone.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import pytest

from sycamorestand_bench.addresses import free_address
from sycamorestand_bench.addresses import free_port
from sycamorestand_bench.fakes.routed_system import CLUSTER_KEY
from sycamorestand_bench.fakes.routed_system import Control
from sycamorestand_bench.fakes.routed_system import RoutedSystem
from sycamorestand_bench.fakes.routed_system import start_system
from sycamorestand_bench.fakes.routed_system import wait_until
from sycamorestand_control.joining import cluster_exists
from sycamorestand_control.redirector import Redirector
from sycamorestand_control.settings import ControlSettings

pytestmark = pytest.mark.anyio


@asynccontextmanager
async def run_redirector(
    address: str, *known: str
) -> AsyncIterator[Redirector]:
    """Start a redirector whose settings name these."""
    async with anyio.create_task_group() as tasks:
        redirector = Redirector(address, lambda: (CLUSTER_KEY,), known)
        await tasks.start(redirector.run)
        yield redirector
        tasks.cancel_scope.cancel()


@asynccontextmanager
async def start_redirector(
    system: RoutedSystem, address: str
) -> AsyncIterator[Redirector]:
    """Start a redirector whose settings name no other process."""
    for control in system.controls:
        process = control.process
        process.set_control_addresses((address,))
    async with run_redirector(address, address) as redirector:
        yield redirector


class TestRedirector:
    async def test_entry_that_knows_no_other_gets_a_lease(
        self, tmp_path: Path
    ) -> None:
        """It refused all callers until it was started with other settings."""
        address = free_address()
        async with (
            start_system(tmp_path, 0) as system,
            start_redirector(system, address) as redirector,
        ):
            await wait_until(lambda: len(redirector.serving()) == 3)
            with anyio.fail_after(10):
                entry = await system.start_entry((address,))
            assert entry.link.lease_remaining_s() > 0
            assert entry.link.control_address() != address

    async def test_process_on_an_empty_disk_asks_to_join(
        self, tmp_path: Path
    ) -> None:
        """A replaced voter never came back, and the next loss was fatal."""
        address = free_address()
        async with (
            start_system(tmp_path, 0) as system,
            start_redirector(system, address) as redirector,
            anyio.create_task_group() as tasks,
        ):
            await wait_until(lambda: len(redirector.serving()) == 3)
            folder = tmp_path / "new"
            folder.mkdir()
            settings = ControlSettings(
                "control-9",
                "dalton",
                free_address(),
                folder,
                lambda: (CLUSTER_KEY,),
                control_addresses=(address,),
                operator_port=free_port(),
            )
            tasks.start_soon(Control(settings).run)
            leader = system.leader().process
            await wait_until(lambda: bool(leader.membership.waiting_joiners()))
            tasks.cancel_scope.cancel()

    async def test_lost_control_processes_are_not_named_to_callers(
        self, tmp_path: Path
    ) -> None:
        """Callers were sent to a process that no longer answered."""
        address = free_address()
        async with (
            start_system(tmp_path, 0) as system,
            start_redirector(system, address) as redirector,
        ):
            await wait_until(lambda: len(redirector.serving()) == 3)
            lost = system.leader()
            gone = lost.process.mesh.address
            others = set(redirector.serving()) - {gone}
            await lost.kill()
            await wait_until(lambda: gone not in redirector.serving())
            # The others serve again once they have elected a leader.
            await wait_until(lambda: set(redirector.serving()) == others)
            assert len(others) == 2


class TestRedirectorThatNobodyNames:
    async def test_it_knows_the_voters_that_its_settings_name(
        self, tmp_path: Path
    ) -> None:
        """It heard of nobody and refused each order and read for ever."""
        async with start_system(tmp_path, 0) as system:
            named = system.controls[0].process.mesh.address
            async with run_redirector(free_address(), named) as redirector:
                await wait_until(lambda: len(redirector.serving()) == 3)
                assert await redirector.wait_serving(0.0)

    async def test_it_learns_of_voters_from_another_redirector(
        self, tmp_path: Path
    ) -> None:
        """Its settings may name processes without a disk alone."""
        first = free_address()
        async with (
            start_system(tmp_path, 0) as system,
            start_redirector(system, first),
            run_redirector(free_address(), first) as redirector,
        ):
            await wait_until(lambda: len(redirector.serving()) == 3)

    async def test_it_is_found_again_after_a_restart_of_all(
        self, tmp_path: Path
    ) -> None:
        """Settings of the new starts named no process with a disk to it."""
        address = free_address()
        async with start_system(tmp_path, 0) as system:
            async with start_redirector(system, address) as redirector:
                await wait_until(lambda: len(redirector.serving()) == 3)
                # Each voter writes what it knows within a second.
                await anyio.sleep(1.5)
            for control in system.controls:
                await control.kill()
            system.restart_controls()
            async with run_redirector(address, address) as redirector:
                await wait_until(lambda: len(redirector.serving()) == 3)

    async def test_it_names_no_voter_without_a_leader(
        self, tmp_path: Path
    ) -> None:
        """Callers waited in vain at a voter that had lost the others."""
        async with start_system(tmp_path, 0) as system:
            kept = system.controls[0]
            named = kept.process.mesh.address
            async with run_redirector(free_address(), named) as redirector:
                await wait_until(lambda: len(redirector.serving()) == 3)
                for control in system.controls[1:]:
                    await control.kill()
                await wait_until(lambda: not redirector.serving())
                assert named in redirector.directory.with_disk()


class TestNewcomer:
    async def test_redirector_that_nobody_names_passes_its_request_on(
        self, tmp_path: Path
    ) -> None:
        """A removed voter's successor was let in by nobody.

        Its settings named processes without a disk, which no voter's
        settings named. The next removal ended the group.
        """
        address = free_address()
        async with start_system(tmp_path, 0) as system:
            named = system.controls[0].process.mesh.address
            async with (
                run_redirector(address, named),
                run_newcomer(tmp_path, free_address(), address),
            ):
                leader = system.leader().process.membership
                await wait_until(lambda: bool(leader.waiting_joiners()))

    async def test_it_asks_a_process_that_it_learns_of(
        self, tmp_path: Path
    ) -> None:
        """It asked nobody for ever where its settings named itself alone."""
        own = free_address()
        async with (
            start_system(tmp_path, 0) as system,
            run_newcomer(tmp_path, own, own),
        ):
            system.controls[0].process.set_control_addresses((own,))
            leader = system.leader().process.membership
            await wait_until(lambda: bool(leader.waiting_joiners()))

    async def test_redirector_knows_that_a_cluster_exists(
        self, tmp_path: Path
    ) -> None:
        """A process on an empty disk could have created a second one."""
        address = free_address()
        async with (
            start_system(tmp_path, 0) as system,
            start_redirector(system, address) as redirector,
        ):
            await wait_until(lambda: len(redirector.serving()) == 3)
            process = system.controls[0].process
            assert await cluster_exists(
                process.mesh, process.groups, (address,), "control-0"
            )


@asynccontextmanager
async def run_newcomer(
    folder: Path, address: str, *known: str
) -> AsyncIterator[Control]:
    """Start a control process on an empty disk whose settings name these."""
    data_folder = folder / "newcomer"
    data_folder.mkdir()
    settings = ControlSettings(
        "control-9",
        "dalton",
        address,
        data_folder,
        lambda: (CLUSTER_KEY,),
        control_addresses=tuple(each for each in known if each != address),
        operator_port=free_port(),
        replace_lost_voters=True,
    )
    control = Control(settings)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(control.run)
        yield control
        tasks.cancel_scope.cancel()
