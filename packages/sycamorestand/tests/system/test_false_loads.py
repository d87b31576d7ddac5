"""A server states a false load for a while.

Two entries and a control process are real and talk over real links; the
servers are stand-ins that state their load in answers.
"""

from __future__ import annotations

from pathlib import Path
import time
from typing import Final

import anyio
import pytest

from sycamorestand_bench.fakes.ending_play import Asked
from sycamorestand_bench.fakes.ending_play import Play
from sycamorestand_bench.fakes.ending_play import start_play
from sycamorestand_bench.fakes.ending_servers import Behaviour
from sycamorestand_decisions.observed_loads import SHARED_MAX_AGE_S

pytestmark = pytest.mark.anyio
SERVERS: Final = 4
# All servers together run twice the load, one of them half of it.
HONEST: Final = Behaviour(slots=2)
FALSE_SERVER: Final = 0
HONEST_S: Final = 2.0
LIE_S: Final = 4.0
DEADLINE_S: Final = 4.0
STALL_S: Final = 0.5
LIES: Final = {
    "idle and fast": b"0,0,64,10",
    "malformed": b"0,,-2;x",
    "absurdly idle": b"0,0,999999999,1",
    "absurdly busy": b"999999999,999999999,1,10000",
}


def has_exchanged(play: Play) -> bool:
    """Return whether sums of all entries' work have reached all entries."""
    contexts = [entry.running.context for entry in play.system.entries]
    return play.system.controls[0].process.loads.known_servers > 0 and all(
        c.observed_loads.reporting_servers() == SERVERS
        and c.observed_loads.shared_age_s(c.now_s()) < SHARED_MAX_AGE_S
        for c in contexts
    )


async def watch_stalls(stalls: list[tuple[float, float]]) -> None:
    """Record when this process, with all entries in it, did not run."""
    while True:
        begin_s = time.monotonic()
        await anyio.sleep(0.05)
        if time.monotonic() - begin_s > STALL_S:
            stalls.append((begin_s, time.monotonic()))


def is_stalled(asked: Asked, stalls: list[tuple[float, float]]) -> bool:
    """Return whether a request met a stall before its deadline.

    The leases of entries may end in one, whatever servers report.
    """
    return any(
        begin_s < asked.at_s + DEADLINE_S and asked.at_s < end_s + STALL_S
        for begin_s, end_s in stalls
    )


class TestFalseLoads:
    @pytest.mark.parametrize("lie", LIES.values(), ids=LIES)
    async def test_callers_are_served_during_and_after_a_lie(
        self, tmp_path: Path, lie: bytes
    ) -> None:
        """Requests went to the false server until they missed deadlines."""
        start = start_play(tmp_path, 2, SERVERS, controls=1)
        stalls: list[tuple[float, float]] = []
        async with start as play, anyio.create_task_group() as tasks:
            tasks.start_soon(watch_stalls, stalls)
            play.servers.behaviour = HONEST
            await play.load(HONEST_S)
            assert has_exchanged(play)
            lied_s = time.monotonic()
            false_loads = {FALSE_SERVER: lie}
            play.servers.behaviour = HONEST._replace(false_loads=false_loads)
            await play.load(LIE_S)
            ended_s = time.monotonic()
            play.servers.behaviour = HONEST
            await play.load(LIE_S)
            assert has_exchanged(play)
            rows = await play.system.controls[0].process.backend.room("stock")
            tasks.cancel_scope.cancel()
        lost = [a for a in play.asked if a.at_s >= lied_s and not a.is_whole]
        assert [a for a in lost if not is_stalled(a, stalls)] == []
        assert play.whole_share(lied_s) > 0.95
        assert play.whole_share(ended_s) > 0.95
        # None where no entry has had an answer in the last 2 s.
        assert {row.slots for row in rows} - {None} == {HONEST.slots}
