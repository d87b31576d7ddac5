"""Tests of a cluster of one control process on loopback."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import os
from pathlib import Path
import socket

import anyio
import httpcore
import pytest

from sycamorestand_bench.addresses import free_port
from sycamorestand_control.errors import StartRefused
from sycamorestand_control.operator_api.types import ChangeRequest
from sycamorestand_control.process import ControlProcess
from sycamorestand_control.settings import ControlSettings
from sycamorestand_decisions.ending_parts import ENDS_TO_BLAME
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.keys import hash_key
from sycamorestand_model.prompt_parts import Suspect
from sycamorestand_model.routes import SourceDocument
from sycamorestand_model.server_loads import EntryLoad
from sycamorestand_peer.messages import EntryLoads
from sycamorestand_peer.messages import LedgerBatch
from sycamorestand_peer.messages import ServerEnded
from sycamorestand_peer.messages import SharedLoads

pytestmark = pytest.mark.anyio
WAIT_S = 20
# A change of a manifest of 1,849 routes, packed.
LARGE_BYTES = 58_000


def settings_in(folder: Path, **changes: object) -> ControlSettings:
    settings = ControlSettings(
        vm="control-1",
        data_centre="dalton",
        peer_address=f"127.0.0.1:{free_port()}",
        data_folder=folder,
        cluster_keys=lambda: (b"k" * 32,),
        operator_port=free_port(),
        first_start=True,
        first_operator_key_hash=hash_key("admin"),
        voters_wanted=1,
    )
    return settings._replace(**changes)


@contextlib.asynccontextmanager
async def running(
    settings: ControlSettings,
) -> AsyncIterator[ControlProcess]:
    process = ControlProcess(settings)
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        await tasks.start(process.run, stop)
        with anyio.fail_after(WAIT_S):
            while not process.backend.ready():
                await anyio.sleep(0.02)
        yield process
        stop.set()


def drain(change_id: str, vm: str) -> ChangeRequest:
    return ChangeRequest(change_id, "drain", None, vm, operator="ann")


class TestControlProcess:
    async def test_a_change_is_in_force_and_survives_a_restart(
        self, tmp_path: Path
    ) -> None:
        """A change is accepted and the process restarts.

        It must read the change from its data folder. The first-start
        setting is still in place and must not create a second cluster.
        """
        settings = settings_in(tmp_path)
        async with running(settings) as process:
            answer = await process.backend.change(drain("1", "vm-9"))
            assert answer.outcome == "accepted"
            cluster = process.configuration.cluster
        async with running(settings) as process:
            in_force = process.configuration.in_force()
            assert in_force.revision == answer.revision
            assert in_force.draining_vms == ("vm-9",)
            assert process.configuration.cluster == cluster

    async def test_nothing_is_in_force_before_old_leases_expire(
        self, tmp_path: Path
    ) -> None:
        """Entries may hold leases from before a restart of the process.

        The process does not know them, so it must not report a revision as
        in force until the longest of them has expired.
        """
        async with running(settings_in(tmp_path)) as process:
            answer = await process.backend.change(drain("1", "vm-9"))
            first = await process.backend.in_force(answer.revision)
            assert not first.in_force
            with anyio.fail_after(WAIT_S):
                while not (
                    await process.backend.in_force(answer.revision)
                ).in_force:
                    await anyio.sleep(0.05)

    async def test_metrics_and_health_need_no_key(
        self, tmp_path: Path
    ) -> None:
        settings = settings_in(tmp_path)
        async with running(settings) as process:
            base = f"http://127.0.0.1:{settings.operator_port}"
            async with httpcore.AsyncConnectionPool() as pool:
                refused = await pool.request(
                    "GET", f"{base}/operator/v1/status"
                )
                assert refused.status == 401
                page = await pool.request("GET", f"{base}/metrics")
                ready = await pool.request("GET", f"{base}/readyz")
            text = page.content.decode()
            revision = process.configuration.revision
        assert ready.status == 200
        assert f"sycamorestand_control_revision {revision}" in text
        assert 'operator_refusals_total{code="unauthenticated"} 1' in text
        assert 'sycamorestand_control_log_leads{log="0"} 1' in text

    async def test_an_undecodable_batch_does_not_end_the_process(
        self, tmp_path: Path
    ) -> None:
        """An entry of another release sends a batch that cannot be decoded.

        The batch is not applied, the fault is counted, and the process
        still accepts changes.
        """
        async with running(settings_in(tmp_path)) as process:
            batch = LedgerBatch(1, 0, b"\x93\x01")
            process.mesh._handler("127.0.0.1:1", batch)
            with anyio.fail_after(WAIT_S):
                while not process.mesh.counters.faults:
                    await anyio.sleep(0.02)
            answer = await process.backend.change(drain("1", "vm-9"))
            assert answer.outcome == "accepted"

    async def test_a_wiped_voter_does_not_create_a_second_cluster(
        self, tmp_path: Path
    ) -> None:
        """A voter's disk is lost while its first-start setting remains.

        It learns that the others belong to a cluster and ends with an
        error before it leads a log or grants a lease.
        """
        (tmp_path / "one").mkdir()
        (tmp_path / "two").mkdir()
        first = settings_in(tmp_path / "one")
        second = settings_in(
            tmp_path / "two", control_addresses=(first.peer_address,)
        )
        async with running(first):
            process = ControlProcess(second)
            with pytest.raises(ExceptionGroup) as caught:
                await process.run(anyio.Event())
        refused = caught.value.subgroup(StartRefused)
        assert refused is not None
        assert process.configuration.cluster is None

    async def test_an_address_in_use_is_a_clear_error(
        self, tmp_path: Path
    ) -> None:
        """Another program listens at the operators' address."""
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            port = taken.getsockname()[1]
            settings = settings_in(tmp_path, operator_port=port)
            process = ControlProcess(settings)
            with pytest.raises(ExceptionGroup) as caught:
                await process.run(anyio.Event())
        refused = caught.value.subgroup(StartRefused)
        assert refused is not None
        assert str(port) in str(refused.exceptions[0])


class TestBackgroundTask:
    async def test_a_failing_task_does_not_end_the_process(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The version controller raises an unexpected error.

        It is restarted and the fault is counted, while the voter still
        accepts changes. Otherwise each leader in turn would end.
        """
        monkeypatch.setattr(
            "sycamorestand_control.background.RESTART_PAUSE_S", 0.01
        )
        checked = anyio.Event()

        async def check(now_s: float) -> None:
            if process.mesh.counters.faults == 0:
                raise RuntimeError("an unexpected state")
            checked.set()

        async with running(settings_in(tmp_path)) as process:
            process.version_controller.check = check  # type: ignore[method-assign]
            with anyio.fail_after(WAIT_S):
                await checked.wait()
            answer = await process.backend.change(drain("1", "vm-9"))
            assert answer.outcome == "accepted"
            assert process.mesh.counters.faults == 1


class TestServerLoads:
    async def test_loads_are_received_and_shown(self, tmp_path: Path) -> None:
        async with running(settings_in(tmp_path)) as process:
            load = EntryLoad(None, 0.0, 1, 100)
            process.mesh._handler("e1", EntryLoads({"s-1": load}))
            process.mesh._handler("c2", SharedLoads({}, is_partial=True))
            text = process.metrics.render()
        assert b"control_load_messages_received_total 2" in text
        assert b"control_load_servers 0" in text


class TestBlockedParts:
    async def test_operator_sees_and_releases_a_blocked_part(
        self, tmp_path: Path
    ) -> None:
        async with running(settings_in(tmp_path)) as process:
            for number in range(ENDS_TO_BLAME):
                suspects = (Suspect("club", "bad", True, 1),)
                message = ServerEnded(f"s-{number}", 1, "entry", suspects)
                process.parts.handle_server_ended("e", message)
            with anyio.fail_after(WAIT_S):
                while not process.configuration.in_force().blocked_parts:
                    await anyio.sleep(0.02)
            explanation = await process.backend.explain("bad")
            assert "blocked since revision" in explanation.lines[0]
            assert b"blocked_parts 1" in process.metrics.render()
            request = ChangeRequest("r", "release-part", None, "bad")
            answer = await process.backend.change(
                request._replace(operator="ann")
            )
            assert answer.outcome == "accepted"
            assert not process.configuration.in_force().blocked_parts


class TestLargeChanges:
    async def test_log_stays_within_its_share_of_memory_and_disk(
        self, tmp_path: Path
    ) -> None:
        """Guards against a process over its memory after some changes."""
        settings = settings_in(tmp_path, memory_limit_mb=32.0)
        async with running(settings) as process:
            most_log = most_disk = 0
            operators = process.configuration.in_force().declarations.operators
            for number in range(1, 61):
                content = b"%d" % number + os.urandom(LARGE_BYTES)
                wanted = Declarations(
                    operators=operators,
                    document=SourceDocument(number, content),
                )
                answer = await process.backend.change(
                    ChangeRequest(
                        f"c-{number}",
                        "apply",
                        process.configuration.revision,
                        declarations=wanted,
                        operator="ann",
                    )
                )
                assert answer.outcome == "accepted"
                sizes = process.groups.replicas[0].sizes()
                most_log = max(most_log, sizes.log)
                most_disk = max(most_disk, sizes.disk)
        assert most_log < 32 * 2**20 / 16
        assert most_disk < 256 * 2**20 / 8

    async def test_change_that_the_log_never_takes_is_refused_at_once(
        self, tmp_path: Path
    ) -> None:
        """Guards against an operator that sends it again and again."""
        async with running(settings_in(tmp_path)) as process:
            operators = process.configuration.in_force().declarations.operators
            wanted = Declarations(
                operators=operators,
                document=SourceDocument(1, os.urandom(2**21)),
            )
            request = ChangeRequest(
                "large", "apply", 1, declarations=wanted, operator="ann"
            )
            with anyio.fail_after(2):
                answer = await process.backend.change(request)
            assert answer.outcome == "refused"
            assert "too many" in answer.message
