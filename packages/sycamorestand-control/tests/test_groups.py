"""Proposals to the leader of a log, and why they are not committed."""

from __future__ import annotations

from pathlib import Path

import anyio
import pytest

from sycamorestand_bench.fakes.log_voters import running_voters
from sycamorestand_bench.fakes.log_voters import Voter
from sycamorestand_control.errors import ControlError
from sycamorestand_control.errors import NoLeader
from sycamorestand_control.errors import OutcomeUnknown
from sycamorestand_control.groups import CONFIGURATION_GROUP

pytestmark = pytest.mark.anyio
LIMIT_S = 0.4


async def propose(voter: Voter) -> None:
    await voter.groups.propose(CONFIGURATION_GROUP, b"", LIMIT_S)


class TestReasons:
    """Guards against errors that do not tell why there was no commit."""

    async def test_blank_process_is_in_no_cluster(
        self, tmp_path: Path
    ) -> None:
        voter = Voter(tmp_path / "blank")
        async with anyio.create_task_group() as tasks:
            await voter.start(tasks)
            assert await voter.groups.is_blank()
            with pytest.raises(NoLeader, match="in no cluster"):
                await propose(voter)
            tasks.cancel_scope.cancel()

    async def test_no_leader_is_known(self, tmp_path: Path) -> None:
        async with running_voters(tmp_path) as (first, second, third):
            first.is_cut_off = second.is_cut_off = True
            with anyio.fail_after(10):
                while third.groups.leader_address(CONFIGURATION_GROUP):
                    await anyio.sleep(0.02)
            with pytest.raises(NoLeader, match="no leader is known; nothing"):
                await propose(third)

    async def test_leader_that_does_not_answer_is_named(
        self, tmp_path: Path
    ) -> None:
        async with running_voters(tmp_path) as (leader, voter, _):
            leader.is_cut_off = True
            expected = f"the leader at {leader.mesh.address} does not answer"
            with pytest.raises(OutcomeUnknown, match=expected):
                await propose(voter)

    async def test_voters_are_counted_where_they_are_too_few(
        self, tmp_path: Path
    ) -> None:
        async with running_voters(tmp_path, voters_needed=4) as voters:
            for voter in voters:
                with pytest.raises(ControlError) as raised:
                    await propose(voter)
                assert "too few voters (3 of 4)" in str(raised.value)
