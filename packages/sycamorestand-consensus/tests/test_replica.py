from __future__ import annotations

import errno
import os
from pathlib import Path
import shutil
import time

import anyio
import pytest

from sycamorestand_consensus.errors import BootstrapRefused
from sycamorestand_consensus.errors import CommandRefused
from sycamorestand_consensus.errors import LogCorrupted
from sycamorestand_consensus.errors import NotLeader
from sycamorestand_consensus.errors import ProposalLost
from sycamorestand_consensus.errors import SettingsRefused
from sycamorestand_consensus.errors import StorageError
from sycamorestand_consensus.replica import Replica

from .replicas import GROUP
from .replicas import group_of
from .replicas import RecordingMachine
from .replicas import SETTINGS
from .replicas import UNREADABLE
from .replicas import wait_until


class TestReplica:
    def test_a_group_grows_to_three_voters_and_commits(
        self, tmp_path: Path
    ) -> None:
        async def scenario() -> None:
            async with group_of(tmp_path, 3) as network:
                leader = (await network.leader()).replica
                assert await leader.propose(b"one") == 1
                assert await leader.propose(b"two") == 2
                await leader.read_barrier()
                assert leader.leader_lease_remaining_s() > 0.0
                await wait_until(
                    lambda: all(
                        vm.machine.applied == [b"one", b"two"]
                        for vm in network.vms
                    )
                )
                voters = [m.voter for m in leader.status().members]
                assert voters == [True, True, True]
                assert leader.status().state == "ok"

        anyio.run(scenario)

    def test_command_that_nobody_can_read_is_not_appended(
        self, tmp_path: Path
    ) -> None:
        """Guards against a committed command that ends every member."""

        async def scenario() -> None:
            async with group_of(tmp_path, 1) as network:
                leader = (await network.leader()).replica
                last_index = leader.status().last_index
                with pytest.raises(CommandRefused):
                    await leader.propose(UNREADABLE)
                assert leader.status().last_index == last_index

        anyio.run(scenario)

    def test_followers_refuse_and_name_the_leader(
        self, tmp_path: Path
    ) -> None:
        async def scenario() -> None:
            async with group_of(tmp_path, 3) as network:
                leader = await network.leader()
                other = next(vm for vm in network.vms if vm is not leader)
                with pytest.raises(NotLeader) as caught:
                    await other.replica.propose(b"x")
                assert caught.value.leader_id == leader.replica.member_id
                with pytest.raises(NotLeader):
                    await other.replica.read_barrier()
                assert other.replica.leader_lease_remaining_s() == 0.0

        anyio.run(scenario)

    def test_leadership_is_transferred(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with group_of(tmp_path, 3) as network:
                old = await network.leader()
                other = next(vm for vm in network.vms if vm is not old)
                await old.replica.transfer_leadership(other.replica.member_id)
                assert await network.leader() is other
                assert await other.replica.propose(b"x") == 1

        anyio.run(scenario)

    def test_a_proposal_at_a_partitioned_leader_is_lost(
        self, tmp_path: Path
    ) -> None:
        # The leader appended the entry and is partitioned before a majority
        # has it. It steps down, and only the next leader decides whether
        # the entry stays, so the caller must get an unknown outcome.
        async def scenario() -> None:
            async with group_of(tmp_path, 3) as network:
                old = await network.leader()
                network.partitioned.add(old.replica.member_id)
                with pytest.raises(ProposalLost):
                    await old.replica.propose(b"lost")
                new = await network.leader()
                await new.replica.propose(b"kept")
                network.partitioned.clear()
                await wait_until(lambda: old.machine.applied == [b"kept"])

        anyio.run(scenario)

    def test_a_restart_keeps_a_thousand_changes(self, tmp_path: Path) -> None:
        # All processes stop and restart on their folders. They must
        # recover every change in order from snapshots and log.
        commands = [b"change %d" % number for number in range(1000)]

        async def scenario() -> None:
            async with group_of(tmp_path, 3) as network:
                leader = (await network.leader()).replica
                for command in commands:
                    await leader.propose(command)
                for vm in network.vms:
                    await vm.restart()
                leader = (await network.leader()).replica
                await leader.read_barrier()
                await wait_until(
                    lambda: all(
                        vm.machine.applied == commands for vm in network.vms
                    )
                )
                assert leader.status().commit_index > len(commands)

        anyio.run(scenario)

    def test_a_wiped_voter_is_replaced_from_a_snapshot(
        self, tmp_path: Path
    ) -> None:
        # A VM lost its disk and a new one replaces it under a new id. The
        # entries that it needs are compacted away, so it must receive the
        # snapshot. It is promoted and the lost member is removed.
        async def scenario() -> None:
            async with group_of(tmp_path, 3) as network:
                leader = await network.leader()
                lost = next(vm for vm in network.vms if vm is not leader)
                await lost.stop()
                for number in range(250):
                    await leader.replica.propose(b"%d" % number)
                replacement = network.add()
                assert replacement.replica.member_id != lost.replica.member_id
                await network.join(replacement)
                await leader.replica.remove(lost.replica.member_id)
                await wait_until(
                    lambda: len(replacement.machine.applied) == 250
                )
                assert replacement.machine.applied == leader.machine.applied
                ids = {
                    m.member_id for m in replacement.replica.status().members
                }
                assert lost.replica.member_id not in ids

        anyio.run(scenario)

    def test_a_full_disk_delays_a_commit_and_loses_nothing(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # A change on a full disk must be neither lost nor confirmed early.
        # While writes fail, the status reports the full disk; the commit
        # follows once there is space. A single voter has no other voter
        # that could lead.
        async def scenario() -> None:
            async with group_of(tmp_path, 1) as network:
                vm = await network.leader()
                await vm.replica.propose(b"before")
                monkeypatch.setattr(os, "pwrite", pwrite_without_space)
                with pytest.raises(ProposalLost):
                    await vm.replica.propose(b"during")
                assert vm.replica.status().state == "disk_full"
                with pytest.raises(NotLeader):
                    await vm.replica.propose(b"refused")
                monkeypatch.undo()
                await wait_until(lambda: vm.replica.status().state == "ok")
                await network.leader()
                await vm.replica.propose(b"after")
                expected = [b"before", b"during", b"after"]
                assert vm.machine.applied == expected
                await vm.restart()
                await (await network.leader()).replica.read_barrier()
                assert vm.machine.applied == expected

        anyio.run(scenario)

    def test_a_second_bootstrap_is_refused(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with group_of(tmp_path, 1) as network:
                replica = network.vms[0].replica
                with pytest.raises(BootstrapRefused):
                    await replica.bootstrap([(replica.member_id, "at")])

        anyio.run(scenario)

    def test_damaged_files_end_the_run(self, tmp_path: Path) -> None:
        async def scenario() -> None:
            async with group_of(tmp_path, 1) as network:
                vm = network.vms[0]
                await vm.replica.propose(b"x")
                await vm.stop()
            (path,) = tmp_path.glob("vm-0/group-0/log-*.seg")
            content = bytearray(path.read_bytes())
            content[30] ^= 1
            path.write_bytes(content)
            replica = Replica(
                tmp_path / "vm-0",
                GROUP,
                SETTINGS,
                RecordingMachine(),
                lambda to, payload: None,
                time.monotonic,
            )
            with pytest.raises(LogCorrupted):
                await replica.run()

        anyio.run(scenario)

    def test_a_lost_log_under_the_same_id_ends_the_run(
        self, tmp_path: Path
    ) -> None:
        # The group's folder was removed but the identity file was kept.
        # The member must not return with an empty log under its old id.
        async def scenario() -> None:
            async with group_of(tmp_path, 1) as network:
                await network.vms[0].replica.propose(b"x")
            shutil.rmtree(tmp_path / "vm-0" / "group-0")
            replica = Replica(
                tmp_path / "vm-0",
                GROUP,
                SETTINGS,
                RecordingMachine(),
                lambda to, payload: None,
                time.monotonic,
            )
            with pytest.raises(StorageError):
                await replica.run()

        anyio.run(scenario)

    def test_invalid_payloads_are_counted_and_dropped(
        self, tmp_path: Path
    ) -> None:
        async def scenario() -> None:
            async with group_of(tmp_path, 1) as network:
                replica = network.vms[0].replica
                replica.receive("x", b"\xc1 no message")
                await wait_until(
                    lambda: replica.status().payloads_refused == 1
                )
                assert await replica.propose(b"x") == 1

        anyio.run(scenario)

    def test_a_replica_before_its_run_refuses_proposals(
        self, tmp_path: Path
    ) -> None:
        replica = Replica(
            tmp_path,
            GROUP,
            SETTINGS,
            RecordingMachine(),
            lambda to, payload: None,
            time.monotonic,
        )
        assert replica.status().state == "starting"
        assert replica.member_id == replica.status().member_id
        with pytest.raises(NotLeader):
            anyio.run(replica.propose, b"x")


class TestSettings:
    @pytest.mark.parametrize(
        "changed",
        [
            {"lease_s": 0.75},
            {"election_max_s": 0.8},
            {"heartbeat_s": 0.5},
            {"max_append_bytes": 0},
        ],
    )
    def test_contradictory_settings_are_refused(
        self, tmp_path: Path, changed: dict[str, float]
    ) -> None:
        refused = SETTINGS._replace(**changed)  # type: ignore[arg-type]
        with pytest.raises(SettingsRefused):
            Replica(
                tmp_path,
                GROUP,
                refused,
                RecordingMachine(),
                lambda to, payload: None,
                time.monotonic,
            )


def pwrite_without_space(descriptor: int, data: bytes, offset: int) -> int:
    raise OSError(errno.ENOSPC, "no space left on device")
