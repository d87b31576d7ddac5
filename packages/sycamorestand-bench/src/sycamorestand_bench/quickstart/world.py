"""Run and announce the quickstart's fake backend servers."""

from __future__ import annotations

import asyncio
import time
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio

from sycamorestand_bench.fakes.announcer import keep_announcing
from sycamorestand_bench.fakes.engine import FakeEngine
from sycamorestand_bench.fakes.hosting import serve_application
from sycamorestand_bench.fakes.rating import FakeRating
from sycamorestand_bench.fakes.service import FakeService
from sycamorestand_bench.processes import BACKEND_KEY
from sycamorestand_model.backend_servers import Announcement

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from anyio.abc import TaskGroup

CHEAP_MODEL: Final = "nest-small"
STRONG_MODEL: Final = "nest-large"
SMALL_VERSIONS: Final = ("nest-small@3", "nest-small@4")
LARGE_VERSIONS: Final = ("nest-large@2", "nest-large@3")
DATA_CENTRES: Final = ("marietta", "gainesville", "dalton")
ANNOUNCEMENT_LEASE_S: Final = 3.0
TOKENS_PER_S: Final = 200.0
CAPACITY: Final = 32


class Server(NamedTuple):
    """The name of a fake and the scope of its announcements.

    Cancelling the scope announces that the server leaves.
    """

    name: str
    announcing: anyio.CancelScope
    data_centre: str = ""


class World:
    """All fake backend servers, and the fake rating service."""

    def __init__(self) -> None:
        self.engines: list[FakeEngine] = []
        self.services: list[FakeService] = []
        self.rating = FakeRating({})
        self.rating_address = ""
        self.servers: dict[str, Server] = {}
        # When a request with an ending prompt reached an engine, and when
        # one ended under it, by `time.monotonic`.
        self.ending_arrivals_s: list[float] = []
        self.ends_s: list[float] = []
        self._starts: dict[str, int] = {}
        # Gets the name and the address of a server that has started, and
        # returns the address to announce, such as that of a proxy.
        self.expose_server: Callable[[str, str], Awaitable[str]] = (
            _announce_served_address
        )

    async def start_rating(self, tasks: TaskGroup) -> str:
        """Start the rating service and return its URL."""
        address = await tasks.start(serve_application, self.rating.application)
        self.rating_address = f"http://{address}"
        return self.rating_address

    async def start_engines(
        self, tasks: TaskGroup, entries: list[str]
    ) -> None:
        """Start and announce four cheap and two strong engines."""
        names = [(f"small-{n}", SMALL_VERSIONS) for n in range(1, 5)]
        names += [(f"large-{n}", LARGE_VERSIONS) for n in range(1, 3)]
        for number, (name, versions) in enumerate(names):
            engine = FakeEngine(name, versions, TOKENS_PER_S, can_resume=True)
            self.engines.append(engine)
            served = await tasks.start(serve_application, engine.application)
            address = await self.expose_server(name, served)
            announcement = Announcement(
                name,
                "engine",
                address,
                DATA_CENTRES[number % len(DATA_CENTRES)],
                time.time_ns(),
                0,
                versions,
                capacity=CAPACITY,
                lease_s=ANNOUNCEMENT_LEASE_S,
                can_resume=True,
            )
            self._announce(tasks, entries, announcement)

    async def start_services(
        self, tasks: TaskGroup, entries: list[str]
    ) -> None:
        """Start and announce two servers of the portal service."""
        for number in range(2):
            name = f"portal-{number + 1}"
            service = FakeService(name, ("portal",))
            self.services.append(service)
            served = await tasks.start(serve_application, service.application)
            address = await self.expose_server(name, served)
            announcement = Announcement(
                name,
                "service",
                address,
                DATA_CENTRES[number],
                time.time_ns(),
                0,
                ("portal",),
                capacity=CAPACITY,
                lease_s=ANNOUNCEMENT_LEASE_S,
            )
            self._announce(tasks, entries, announcement)

    def start_ending(
        self, prompt: str, end: Callable[[str], None], after_s: float = 0.0
    ) -> None:
        """Let engines end under this system message, until it is empty.

        They end ``after_s`` after its request came, if that is more than 0,
        and at once otherwise. ``end`` closes and reopens an engine's address.
        """

        def end_engine(name: str, start: int) -> None:
            if self._starts.get(name, 0) != start:
                return
            self.ends_s.append(time.monotonic())
            end(name)
            self._starts[name] = start + 1

        def arrive(name: str) -> None:
            self.ending_arrivals_s.append(time.monotonic())
            loop = asyncio.get_running_loop()
            loop.call_later(
                after_s, end_engine, name, self._starts.get(name, 0)
            )

        for engine in self.engines:
            engine.ending_prompt = prompt
            engine.on_ending_prompt = arrive
            engine.ends_after_s = after_s

    def announce_leave(self, name: str) -> None:
        """Announce that a server leaves; it still answers requests."""
        self.servers[name].announcing.cancel()

    def runs_on_version(self, version: str) -> int:
        """Return the number of runs of a version that the engines began."""
        return sum(
            record.version == version
            for engine in self.engines
            for record in engine.records
        )

    def runs_in_data_centre(self, data_centre: str) -> int:
        """Return the number of runs that the servers there began."""
        return sum(
            self.runs_on_server(name)
            for name, server in self.servers.items()
            if server.data_centre == data_centre
        )

    def runs_on_server(self, name: str) -> int:
        """Return the number of runs that a server began."""
        return sum(
            len(server.records)
            for server in self._all_servers()
            if server.name == name
        )

    def server(self, name: str) -> FakeEngine | FakeService:
        """Return a fake by its name; raise `StopIteration` if unknown."""
        return next(s for s in self._all_servers() if s.name == name)

    def _all_servers(self) -> list[FakeEngine | FakeService]:
        servers: list[FakeEngine | FakeService] = []
        servers += self.engines
        servers += self.services
        return servers

    def _announce(
        self, tasks: TaskGroup, entries: list[str], announcement: Announcement
    ) -> None:
        scope = anyio.CancelScope()
        self.servers[announcement.name] = Server(
            announcement.name, scope, announcement.data_centre
        )

        async def announce() -> None:
            with scope:
                first = announcement.incarnation
                name = announcement.name
                await keep_announcing(
                    entries,
                    BACKEND_KEY,
                    announcement,
                    lambda: first + self._starts.get(name, 0),
                )

        tasks.start_soon(announce)


async def _announce_served_address(name: str, address: str) -> str:
    """Return the address at which a server listens."""
    return address


__all__ = ["CHEAP_MODEL", "Server", "STRONG_MODEL", "World"]
