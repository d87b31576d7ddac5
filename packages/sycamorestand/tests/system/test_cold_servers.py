"""Servers come back cold, while callers keep sending at all entries.

The entries and the control processes are real and talk over real links; the
servers are stand-ins that say in their announcements how long they are cold.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
import time
from typing import Final

import anyio
import pytest

from sycamorestand_bench.fakes.ending_play import Play
from sycamorestand_bench.fakes.ending_play import SOUND
from sycamorestand_bench.fakes.ending_play import start_play
from sycamorestand_bench.fakes.ending_servers import Behaviour
from sycamorestand_bench.fakes.ending_servers import server_boot
from sycamorestand_bench.fakes.routed_system import wait_until
from sycamorestand_control.operator_api.types import ChangeRequest

pytestmark = pytest.mark.anyio
DATA_CENTRES: Final = ("marietta", "dalton", "gainesville")
RETURNS: Final = "dalton"
# What a cold server bears, and the users' rule: in any second so many times
# as much, and so many requests more.
RATE_PER_S: Final = 1.0
OVERSHOOT: Final = 1.5
SLACK: Final = 5.0
COLD_S: Final = 3.0
BACK_S: Final = 1.0


@asynccontextmanager
async def start_places(folder: Path, entries: int) -> AsyncIterator[Play]:
    async with start_play(
        folder,
        entries,
        servers=3,
        data_centres=DATA_CENTRES,
        cold_requests_per_s=RATE_PER_S,
    ) as play:
        play.servers.behaviour = Behaviour(back_s=BACK_S, cold_s=COLD_S)
        yield play


def end_data_centre(play: Play) -> None:
    for name in sorted(play.servers.running):
        if play.servers.data_centre(name) == RETURNS:
            play.servers.end(name)


def most_while_cold(play: Play) -> int:
    """Return the most arrivals in any second of the cold time."""
    times_s = [
        arrival.at_s
        for arrival in play.servers.arrivals
        if server_boot(arrival.server) > 1
        and arrival.at_s < play.servers.started_s[arrival.server] + COLD_S
    ]
    return max(
        (
            sum(first_s <= at_s < first_s + 1.0 for at_s in times_s)
            for first_s in times_s
        ),
        default=0,
    )


class TestReturn:
    @pytest.mark.parametrize("entries", [2, 10])
    async def test_cold_server_gets_what_it_bears_from_all_entries(
        self, tmp_path: Path, entries: int
    ) -> None:
        """The server looked idle, and got more than all others."""
        async with start_places(tmp_path, entries) as play:
            await play.load(1.0)
            end_data_centre(play)
            await play.load(BACK_S + COLD_S + 1.0)
        assert most_while_cold(play) <= RATE_PER_S * OVERSHOOT + SLACK
        assert play.whole_share(time.monotonic() - COLD_S, *SOUND) > 0.95

    async def test_warm_server_gets_its_share_again(
        self, tmp_path: Path
    ) -> None:
        async with start_places(tmp_path, 2) as play:
            end_data_centre(play)
            await wait_until(lambda: len(play.servers.running) == 3)
            await anyio.sleep(COLD_S + 1.0)
            warm_s = time.monotonic()
            await play.load(3.0)
        arrived = sum(
            server_boot(arrival.server) > 1 and arrival.at_s > warm_s
            for arrival in play.servers.arrivals
        )
        assert arrived > 15

    async def test_no_leader_no_request_to_a_cold_server(
        self, tmp_path: Path
    ) -> None:
        """Without a leader each entry sent what it took for its part."""
        async with start_places(tmp_path, 4) as play:
            await play.load(0.5)
            for control in play.system.controls[1:]:
                await control.kill()
            end_data_centre(play)
            await play.load(BACK_S + COLD_S)
        assert most_while_cold(play) <= RATE_PER_S * OVERSHOOT + SLACK

    async def test_servers_of_a_data_centre_taken_back_are_presumed_cold(
        self, tmp_path: Path
    ) -> None:
        """They turned cold just before, and nobody had been told yet."""
        async with start_places(tmp_path, 10) as play:
            backend = play.system.leader().process.backend
            for kind in ("drain-data-centre", "undrain-data-centre"):
                await backend.change(
                    ChangeRequest(
                        kind,
                        kind,  # type: ignore[arg-type]
                        None,
                        RETURNS,
                        operator="first",
                    )
                )
                taken_back_s = time.monotonic()
                await play.load(1.0)
        times_s = [
            arrival.at_s
            for arrival in play.servers.arrivals
            if play.servers.data_centre(arrival.server) == RETURNS
            and arrival.at_s > taken_back_s + 0.3
        ]
        assert len(times_s) <= RATE_PER_S * OVERSHOOT + SLACK
