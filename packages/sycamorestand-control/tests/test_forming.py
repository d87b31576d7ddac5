"""A first start forms one cluster, and loses nothing it acknowledged."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
from pathlib import Path
import shutil

import anyio
import pytest

from sycamorestand_bench.addresses import free_address
from sycamorestand_bench.addresses import free_port
from sycamorestand_control.control_directory import ControlReport
from sycamorestand_control.creation_right import CreationRight
from sycamorestand_control.creation_right import record_first_start
from sycamorestand_control.errors import NoLeader as NoVoters
from sycamorestand_control.groups import CONFIGURATION_GROUP
from sycamorestand_control.groups import FIRST_LEDGER_GROUP
from sycamorestand_control.operator_api.backend import NoLeader
from sycamorestand_control.operator_api.types import ChangeRequest
from sycamorestand_control.process import ControlProcess
from sycamorestand_control.redirector import Redirector
from sycamorestand_control.settings import ControlSettings
from sycamorestand_model.keys import hash_key
from sycamorestand_peer.messages import CreationAppointment
from sycamorestand_state.ledger import encode_batch

pytestmark = pytest.mark.anyio
LOGS = (CONFIGURATION_GROUP, FIRST_LEDGER_GROUP)
WAIT_S = 20.0
FORMED_VOTERS = 3


KEY = b"k" * 32


def make_settings(
    folder: Path, number: int, addresses: list[str]
) -> ControlSettings:
    own_folder = folder / str(number)
    own_folder.mkdir(exist_ok=True)
    return ControlSettings(
        vm=f"control-{number}",
        data_centre="dalton",
        peer_address=addresses[number],
        data_folder=own_folder,
        cluster_keys=lambda: (KEY,),
        control_addresses=tuple(
            a for a in addresses if a != addresses[number]
        ),
        operator_port=free_port(),
        first_start=number == 0,
        first_operator_key_hash=hash_key("admin"),
        voters_wanted=FORMED_VOTERS,
        replace_lost_voters=True,
    )


def voters(process: ControlProcess, log: int) -> int:
    members = process.groups.replicas[log].status().members
    return sum(member.voter for member in members)


class TestForming:
    async def test_change_is_not_acknowledged_by_fewer_voters_than_needed(
        self, tmp_path: Path
    ) -> None:
        """A change that one voter had was gone with that voter's disk."""
        addresses = [free_address() for _ in range(4)]
        async with anyio.create_task_group() as tasks:
            stop = anyio.Event()
            first = ControlProcess(make_settings(tmp_path, 0, addresses))
            await tasks.start(first.run, stop)
            batch = encode_batch([], 1.0)
            with pytest.raises(NoVoters):
                await first.groups.propose(FIRST_LEDGER_GROUP, batch, 1.0)
            assert [voters(first, log) for log in LOGS] == [1, 1]
            for number in range(1, 4):
                settings = make_settings(tmp_path, number, addresses)
                await tasks.start(ControlProcess(settings).run, stop)
            change = ChangeRequest("1", "drain", None, "vm-9", operator="ann")
            answer = await first.backend.change(change)
            assert answer.outcome == "accepted"
            assert voters(first, CONFIGURATION_GROUP) >= FORMED_VOTERS
            tasks.cancel_scope.cancel()

    async def test_change_waits_for_the_voters(self, tmp_path: Path) -> None:
        """Alone, the first process acknowledged it at once."""
        addresses = [free_address() for _ in range(3)]
        async with anyio.create_task_group() as tasks:
            stop = anyio.Event()
            first = ControlProcess(make_settings(tmp_path, 0, addresses))
            await tasks.start(first.run, stop)
            change = ChangeRequest("1", "drain", None, "vm-9", operator="ann")
            with pytest.raises(NoLeader):
                await first.backend.change(change)
            tasks.cancel_scope.cancel()


class FirstStart:
    """Control processes with a disk, and those without one, of one system.

    The settings name the seeds, as the platform has it; the processes find
    the others by reports.
    """

    def __init__(
        self, folder: Path, disks: int, others: int, seeds: str
    ) -> None:
        self._folder = folder
        self._addresses = {
            name: free_address()
            for name in (
                *(f"d{number}" for number in range(disks)),
                *(f"r{number}" for number in range(others)),
            )
        }
        self.seeds = tuple(self._addresses[name] for name in seeds.split())

    def folder(self, name: str) -> Path:
        return self._folder / name

    def record(self, name: str) -> None:
        """Do what a process with a disk does first at a first start."""
        address = self._addresses[name]
        record_first_start(self.folder(name), address, self.seeds)

    def process(self, name: str) -> ControlProcess:
        return ControlProcess(
            ControlSettings(
                vm=name,
                data_centre="dalton",
                peer_address=self._addresses[name],
                data_folder=self.folder(name),
                cluster_keys=lambda: (KEY,),
                names_all_controls=len(self.seeds) < 3,
                control_addresses=tuple(
                    seed
                    for seed in self.seeds
                    if seed != self._addresses[name]
                ),
                operator_port=free_port(),
                voters_wanted=FORMED_VOTERS,
                replace_lost_voters=True,
            )
        )

    def redirector(self, name: str, first: bool = True) -> Redirector:
        seeds = self.seeds if first else ()
        return Redirector(
            self._addresses[name],
            lambda: (KEY,),
            self.seeds,
            name,
            "dalton",
            seeds,
        )

    @contextlib.asynccontextmanager
    async def running(
        self, names: str, *, first: bool = True
    ) -> AsyncIterator[list[ControlProcess]]:
        """Run processes until they are killed at the end of the block."""
        controls = []
        async with anyio.create_task_group() as tasks:
            for name in names.split():
                if name.startswith("r"):
                    tasks.start_soon(self.redirector(name, first).run)
                    continue
                if first:
                    self.record(name)
                controls.append(self.process(name))
                tasks.start_soon(controls[-1].run, anyio.Event())
            yield controls
            tasks.cancel_scope.cancel()


async def wait_formed(controls: list[ControlProcess]) -> None:
    """Wait until all know one cluster, and one commits a change."""
    with anyio.fail_after(WAIT_S):
        while not all(each.configuration.cluster for each in controls):
            await anyio.sleep(0.02)
    clusters = [each.configuration.cluster for each in controls]
    assert clusters.count(clusters[0]) == len(clusters)
    change = ChangeRequest("1", "drain", None, "vm-9", operator="ann")
    answer = await controls[0].backend.change(change)
    assert answer.outcome == "accepted"


class TestFirstStart:
    @pytest.mark.parametrize(
        "seeds",
        ["d1 d0 d2", "r0 d0 d1", "r0 r1 d2", "d2 r0 r1", "r2 r1 r0"],
    )
    async def test_cluster_forms_whichever_seeds_have_a_disk(
        self, tmp_path: Path, seeds: str
    ) -> None:
        """No cluster formed where the first seed had no disk."""
        system = FirstStart(tmp_path, 3, 3, seeds)
        async with system.running("r0 r1 r2 d0 d1 d2") as controls:
            await wait_formed(controls)
            with anyio.fail_after(WAIT_S):
                while any(
                    CreationRight(system.folder(name)).read()
                    for name in ("d0", "d1", "d2")
                ):
                    await anyio.sleep(0.02)

    async def test_silent_seed_decides_nothing(self, tmp_path: Path) -> None:
        """It may have a disk, and be about to create a cluster."""
        system = FirstStart(tmp_path, 3, 1, "r0 d0 d1")
        async with system.running("d0 d1 d2") as controls:
            await anyio.sleep(2.0)
            assert not any(
                member
                for each in controls
                for replica in each.groups.replicas.values()
                for member in replica.status().members
            )
            async with system.running("r0"):
                await wait_formed(controls)

    @pytest.mark.parametrize("seeds", ["d0 d1 d2", "r0 d0 d1"])
    async def test_creator_that_is_killed_at_its_start_still_creates(
        self, tmp_path: Path, seeds: str
    ) -> None:
        """It came back as one that waits to be let in, and all waited."""
        system = FirstStart(tmp_path, 3, 1, seeds)
        for name in ("d0", "d1", "d2"):
            system.record(name)
        names = "r0 d0 d1 d2"
        async with system.running(names, first=False) as controls:
            await wait_formed(controls)

    async def test_creator_that_is_killed_between_two_logs_goes_on(
        self, tmp_path: Path
    ) -> None:
        """Its ledger stayed blank for good, and no cluster was created."""
        system = FirstStart(tmp_path, 3, 0, "d0 d1 d2")
        system.record("d0")
        killed = system.process("d0")
        own = [(killed.groups.member_id, system.seeds[0])]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(killed.groups.run)
            replica = killed.groups.replicas[CONFIGURATION_GROUP]
            await replica.bootstrap(own)
            tasks.cancel_scope.cancel()
        async with system.running("d0 d1 d2", first=False) as controls:
            await wait_formed(controls)

    async def test_creator_that_is_killed_before_the_commit_goes_on(
        self, tmp_path: Path
    ) -> None:
        """Both logs had a voter, and nobody created the cluster."""
        system = FirstStart(tmp_path, 3, 0, "d0 d1 d2")
        system.record("d0")
        killed = system.process("d0")
        own = [(killed.groups.member_id, system.seeds[0])]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(killed.groups.run)
            await killed.groups.bootstrap_blank(own)
            tasks.cancel_scope.cancel()
        async with system.running("d0 d1 d2", first=False) as controls:
            await wait_formed(controls)

    async def test_appointed_process_that_is_killed_still_creates(
        self, tmp_path: Path
    ) -> None:
        """The first seed, which appointed it, is gone by then."""
        system = FirstStart(tmp_path, 3, 3, "r0 r1 r2")
        rights = [CreationRight(tmp_path / f"d{number}") for number in (0, 1)]
        async with system.running("r0 r1 r2 d0"):
            with anyio.fail_after(WAIT_S):
                while not rights[0].read():
                    await anyio.sleep(0.005)
        async with system.running("d0 d1 d2 r1 r2", first=False) as controls:
            await wait_formed(controls)
        assert not rights[1].read()

    async def test_emptied_disk_creates_no_second_cluster(
        self, tmp_path: Path
    ) -> None:
        """A second cluster would forget what the first acknowledged."""
        system = FirstStart(tmp_path, 3, 0, "d0 d1 d2")
        async with system.running("d0 d1 d2") as controls:
            await wait_formed(controls)
        shutil.rmtree(system.folder("d0"))
        async with system.running("d0", first=False) as controls:
            await anyio.sleep(2.0)
            assert controls[0].configuration.cluster is None
            assert await controls[0].groups.is_blank()


class TestVotersNeeded:
    async def test_change_waits_for_voters_that_no_settings_name(
        self, tmp_path: Path
    ) -> None:
        """Three of five voters acknowledged what two lost disks took.

        Settings name three control processes at most.
        """
        wanted = 5
        addresses = [free_address() for _ in range(wanted)]
        async with anyio.create_task_group() as tasks:
            stop = anyio.Event()
            started = []
            for number in range(wanted):
                settings = make_settings(tmp_path, number, addresses)
                named = settings.control_addresses[:FORMED_VOTERS]
                process = ControlProcess(
                    settings._replace(
                        control_addresses=named, voters_wanted=wanted
                    )
                )
                await tasks.start(process.run, stop)
                started.append(process)
            first = started[0]
            with anyio.fail_after(WAIT_S):
                while len(first.directory.with_disk()) < wanted - 1:
                    await anyio.sleep(0.01)
            change = ChangeRequest("1", "drain", None, "vm-9", operator="ann")
            answer = await first.backend.change(change)
            assert answer.outcome == "accepted"
            assert voters(first, CONFIGURATION_GROUP) == wanted
            tasks.cancel_scope.cancel()

    async def test_change_waits_for_five_voters_where_two_disks_may_go(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Three voters acknowledged it: two of these disks had it alone.

        The three seeds are not all the control processes that may vote.
        """
        monkeypatch.setattr(f"{__name__}.FORMED_VOTERS", 5)
        system = FirstStart(tmp_path, 5, 0, "d0 d1 d2")
        async with system.running("d0 d1 d2") as controls:
            with anyio.fail_after(WAIT_S):
                while voters(controls[0], CONFIGURATION_GROUP) < 3:
                    await anyio.sleep(0.02)
            change = ChangeRequest("1", "drain", None, "vm-9", operator="ann")
            with pytest.raises(NoLeader):
                await controls[0].backend.change(change)


class TestCreatorKilledBeforeItsFirstSync:
    async def test_own_earlier_report_does_not_take_its_right(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """It gave its right up for the cluster that it had begun itself.

        It reports that it is in a cluster before the log is synced, and a
        process without a disk tells it so after the kill, if its own report
        does not come first.
        """
        system = FirstStart(tmp_path, 3, 1, "d0 r0 d1")
        for name in ("d0", "d1", "d2"):
            system.record(name)
        redirector = system.redirector("r0")
        begun = ControlReport("d0", "dalton", in_cluster=True)
        redirector.directory.record(system.seeds[0], begun)
        monkeypatch.setattr(redirector._exchange, "_send", lambda *_: None)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(redirector.run)
            async with system.running("d0 d1 d2", first=False) as controls:
                await wait_formed(controls)
            tasks.cancel_scope.cancel()


class TestRight:
    """Guards against a second process that may create a cluster."""

    async def test_appointment_of_an_emptied_disk_gives_no_right(
        self, tmp_path: Path
    ) -> None:
        """It is repeated, and the cluster may have been created before."""
        system = FirstStart(tmp_path, 1, 3, "r0 r1 r2")
        process = system.process("d0")
        appoint = process.creator.handle_appointment
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(process.groups.run)
            assert await process.groups.is_blank()
            await appoint("r0", CreationAppointment("former-id"))
            assert not CreationRight(system.folder("d0")).read()
            own_id = process.groups.member_id
            await appoint("r0", CreationAppointment(own_id))
            assert CreationRight(system.folder("d0")).read()
            tasks.cancel_scope.cancel()

    async def test_right_is_narrowed_before_the_first_log_begins(
        self, tmp_path: Path
    ) -> None:
        """A kill between two logs left a right that depends on reports."""
        system = FirstStart(tmp_path, 1, 1, "r0 d0")
        system.record("d0")
        process = system.process("d0")
        without_disk = ControlReport("r0", "dalton", has_disk=False)
        process.directory.record(system.seeds[0], without_disk)
        rights = []

        async def begin(members: object) -> None:
            rights.append(CreationRight(system.folder("d0")).read())
            raise NoVoters("the process is killed")

        process.groups.bootstrap_blank = begin  # type: ignore[method-assign]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(process.groups.run)
            tasks.start_soon(process.creator.run)
            with anyio.fail_after(WAIT_S):
                while not rights:
                    await anyio.sleep(0.02)
            tasks.cancel_scope.cancel()
        assert rights[0] == (system.seeds[1],)
