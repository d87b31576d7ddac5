"""Repair of voters with real logs, links and disks."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
import socket
from typing import Any

import anyio
from anyio.abc import TaskGroup
import pytest

from sycamorestand_bench.addresses import free_address
from sycamorestand_consensus.settings import ReplicaSettings
from sycamorestand_control.groups import Group
from sycamorestand_control.groups import LogGroups
from sycamorestand_control.joining import ask_to_join
from sycamorestand_control.membership import MembershipManager
from sycamorestand_peer.mesh import PeerMesh
from sycamorestand_peer.messages import JoinRequest
from sycamorestand_peer.messages import ProposalForward
from sycamorestand_peer.messages import ReplicaPayload

pytestmark = pytest.mark.anyio
LOGS = (0, 1)
WAIT_TIMEOUT_S = 30
PROPOSE_S = 10.0


class Machine:
    """Counts the commands that were applied."""

    def __init__(self) -> None:
        self.count = 0

    def check(self, command: bytes) -> None:
        pass

    def apply(self, index: int, command: bytes) -> int:
        self.count += 1
        return self.count

    def snapshot(self) -> bytes:
        return str(self.count).encode()

    def restore(self, snapshot: bytes) -> None:
        self.count = int(snapshot)


class Voter:
    """The parts of a control process that manage its logs."""

    def __init__(
        self,
        folder: Path,
        address: str,
        known: list[str],
        replace_lost: bool = True,
    ) -> None:
        self.mesh = PeerMesh(address, lambda: (b"k" * 32,), self._dispatch)
        table = {log: Group(Machine(), int) for log in LOGS}
        self.groups = LogGroups(self.mesh, folder, ReplicaSettings(), table)
        self.membership = MembershipManager(
            self.mesh, self.groups, 3, replace_lost
        )
        self._known = [each for each in known if each != address]
        self._scope = anyio.CancelScope()

    def start(self, tasks: TaskGroup) -> None:
        tasks.start_soon(self._run)

    def stop(self) -> None:
        self._scope.cancel()

    def voters(self, log: int) -> set[str]:
        members = self.groups.replicas[log].status().members
        return {member.member_id for member in members if member.voter}

    async def _run(self) -> None:
        with self._scope:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                await tasks.start(self.mesh.run)
                tasks.start_soon(self.groups.run)
                tasks.start_soon(self.membership.run)
                tasks.start_soon(
                    ask_to_join,
                    self.mesh,
                    self.groups,
                    lambda: self._known,
                    "vm",
                    True,
                )

    def _dispatch(self, sender: str, message: Any) -> None:
        if isinstance(message, ReplicaPayload):
            self.groups.receive(sender, message)
        elif isinstance(message, JoinRequest):
            self.membership.handle_join_request(sender, message)
        elif isinstance(message, ProposalForward):
            answer = self.groups.handle_forward
            self._tasks.start_soon(answer, sender, message)


async def _start_three(
    tasks: TaskGroup, folder: Path, replace_lost: bool = True
) -> list[Voter]:
    addresses = [free_address() for _ in range(3)]
    voters = []
    for number, address in enumerate(addresses):
        (folder / str(number)).mkdir()
        own_folder = folder / str(number)
        voters.append(Voter(own_folder, address, addresses, replace_lost))
        voters[-1].start(tasks)
    first = voters[0]
    own = [(first.groups.member_id, first.mesh.address)]
    await first.groups.bootstrap_blank(own)
    await _wait_until_voting(voters)
    return voters


async def _start_with_a_wiped_voter(
    tasks: TaskGroup, folder: Path
) -> tuple[list[Voter], Voter, Voter]:
    """Return two voters, the wiped third, and the process at its address.

    None of them replaces a lost voter without an operator.
    """
    voters = await _start_three(tasks, folder, replace_lost=False)
    wiped = voters.pop(0)
    wiped.stop()
    await _wait_until(lambda: _is_free(wiped.mesh.address))
    (folder / "new").mkdir()
    known = [voter.mesh.address for voter in voters]
    joiner = Voter(folder / "new", wiped.mesh.address, known, False)
    joiner.start(tasks)
    return voters, wiped, joiner


async def _wait_until_voting(voters: list[Voter]) -> None:
    """Wait until exactly these processes vote in both logs."""
    wanted = {voter.groups.member_id for voter in voters}
    await _wait_until(
        lambda: all(
            voter.voters(log) == wanted for voter in voters for log in LOGS
        )
    )


async def _wait_until(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(WAIT_TIMEOUT_S):
        while not condition():
            await anyio.sleep(0.02)


def _is_free(address: str) -> bool:
    """Return whether the socket that listened there is closed."""
    host, _, port = address.rpartition(":")
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, int(port)))
        except OSError:
            return False
    return True


class TestLostVoter:
    async def test_a_wiped_voter_is_replaced_before_the_next_loss(
        self, tmp_path: Path
    ) -> None:
        """A voter restarts on an empty folder at its old address.

        No operator acts. The new id soon votes in both logs instead of the
        old one. When another voter is lost right after that, commands are
        still committed and no earlier command is missing.
        """
        async with anyio.create_task_group() as tasks:
            voters = await _start_three(tasks, tmp_path)
            for log in LOGS:
                assert await voters[0].groups.propose(log, b"", PROPOSE_S) == 1
            wiped = voters.pop(0)
            wiped.stop()
            await _wait_until(lambda: _is_free(wiped.mesh.address))
            (tmp_path / "new").mkdir()
            known = [voter.mesh.address for voter in voters]
            joiner = Voter(tmp_path / "new", wiped.mesh.address, known)
            joiner.start(tasks)
            await _wait_until_voting([*voters, joiner])
            voters.pop().stop()
            for log in LOGS:
                assert await joiner.groups.propose(log, b"", PROPOSE_S) == 2
            tasks.cancel_scope.cancel()

    async def test_a_replaced_voter_returns_as_a_spare(
        self, tmp_path: Path
    ) -> None:
        """A voter is cut off for long and replaced by a spare.

        Its own log does not show the replacement. It asks to join again,
        waits as a spare and replaces the next voter that is lost.
        """
        async with anyio.create_task_group() as tasks:
            voters = await _start_three(tasks, tmp_path)
            known = [voter.mesh.address for voter in voters]
            away = voters.pop(0)
            away.stop()
            (tmp_path / "spare").mkdir()
            spare = Voter(tmp_path / "spare", free_address(), known)
            spare.start(tasks)
            await _wait_until_voting([*voters, spare])
            await _wait_until(lambda: _is_free(away.mesh.address))
            back = Voter(tmp_path / "0", away.mesh.address, known)
            back.start(tasks)
            voters.pop().stop()
            await _wait_until_voting([*voters, spare, back])
            tasks.cancel_scope.cancel()


class TestInterruptedReplacement:
    async def test_the_ledger_follows_the_configuration_log(
        self, tmp_path: Path
    ) -> None:
        """The leader changes during `replace-voter`.

        The operator's command has replaced the lost voter in the
        configuration log but not in the ledger's log. The status shows the
        new process as a voter without an alarm, but the ledger batches of
        the entries attached to it fail. The ledger's leader must complete
        the replacement and remove the old voter.
        """
        async with anyio.create_task_group() as tasks:
            voters, wiped, joiner = await _start_with_a_wiped_voter(
                tasks, tmp_path
            )
            for log in LOGS:
                await voters[0].groups.propose(log, b"", PROPOSE_S)
            leader = next(v for v in voters if v.groups.is_leader(0))
            await _wait_until(
                lambda: bool(leader.membership.waiting_joiners())
            )
            await leader.membership.replace_voter(
                0, wiped.groups.member_id, joiner.groups.member_id
            )
            await _wait_until_voting([*voters, joiner])
            tasks.cancel_scope.cancel()

    async def test_no_voter_is_replaced_without_an_operator(
        self, tmp_path: Path
    ) -> None:
        """A voter is wiped and no operator has asked for a replacement."""
        async with anyio.create_task_group() as tasks:
            voters, wiped, joiner = await _start_with_a_wiped_voter(
                tasks, tmp_path
            )
            await _wait_until(
                lambda: all(v.membership.waiting_joiners() for v in voters)
            )
            await anyio.sleep(1.0)
            for log in LOGS:
                assert joiner.groups.member_id not in voters[0].voters(log)
            tasks.cancel_scope.cancel()
