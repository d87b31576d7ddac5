"""Generate the load that busy entries put on control."""

from __future__ import annotations

import time
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.backend_servers import LoadReport
from sycamorestand_model.entry_reports import VersionSample
from sycamorestand_model.errors import LedgerUnavailable
from sycamorestand_model.ledger import Charge

if TYPE_CHECKING:
    from sycamorestand_entry.control.link import ControlLink

TICK_S: Final = 0.05
TICKS_PER_S: Final = 20
VERSION: Final = "nest-small@3"
INCARNATION: Final = 1


class Activity:
    """Announces servers and makes requests at the current settings.

    ``servers`` is the number of servers that announce themselves, and
    ``requests_per_s`` the request rate of each link. A request reports a
    sample and writes a charge; ``failures`` counts the failed charges.
    """

    def __init__(self, name: str, links: list[ControlLink]) -> None:
        self._name = name
        self._links = links
        self._sequence = 0
        self._requests = 0
        self._due = 0.0
        self.servers = 0
        self.requests_per_s = 0.0
        self.failures = 0

    async def run(self) -> None:
        """Run until cancelled; each server announces once a second."""
        tick = 0
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(TICK_S)
                tick += 1
                await self._announce(tick)
                self._due += self.requests_per_s * TICK_S
                while self._due >= 1:
                    self._due -= 1
                    for link in self._links:
                        tasks.start_soon(self._request, link)

    async def _announce(self, tick: int) -> None:
        slot = tick % TICKS_PER_S
        for number in range(slot, self.servers, TICKS_PER_S):
            self._sequence += 1
            link = self._links[number % len(self._links)]
            await link.announce(self._announcement(number))

    def _announcement(self, number: int) -> Announcement:
        load = LoadReport(self._sequence % 16, 0, 1000.0, 0.1)
        return Announcement(
            name=f"{self._name}-server-{number}",
            kind="engine",
            address=f"10.0.{number // 250}.{number % 250}:8000",
            data_centre=f"dc-{number % 5}",
            incarnation=INCARNATION,
            sequence=self._sequence,
            versions=(VERSION, "nest-small@4"),
            load=load,
        )

    async def _request(self, link: ControlLink) -> None:
        self._requests += 1
        key = f"{self._name}-{self._requests:032x}"
        charge = Charge("bench", key, VERSION, 100, 500, 238, time.time())
        link.report(
            VersionSample(VERSION, "short", False, 40.0, 900.0, 0.9, 100)
        )
        try:
            await link.write_ledger([charge])
        except LedgerUnavailable:
            self.failures += 1


__all__ = ["Activity"]
