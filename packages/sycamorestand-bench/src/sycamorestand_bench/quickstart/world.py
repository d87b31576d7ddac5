"""The fake backend servers of the quickstart and their announcements."""

from __future__ import annotations

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

CHEAP: Final = "nest-small"
STRONG: Final = "nest-large"
SMALL_VERSIONS: Final = ("nest-small@3", "nest-small@4")
LARGE_VERSIONS: Final = ("nest-large@2", "nest-large@3")
DATA_CENTRES: Final = ("marietta", "gainesville", "dalton")
ANNOUNCEMENT_LEASE_S: Final = 3.0
TOKENS_PER_S: Final = 200.0
CAPACITY: Final = 32


class Server(NamedTuple):
    """A fake and the scope that ends its announcements as a leaving."""

    name: str
    announcing: anyio.CancelScope


class World:
    """Every fake that stands behind the entries."""

    def __init__(self) -> None:
        self.engines: list[FakeEngine] = []
        self.services: list[FakeService] = []
        self.rating = FakeRating({})
        self.rating_address = ""
        self.servers: dict[str, Server] = {}
        # Returns the address to announce for one that was served.
        self.front: Callable[[str, str], Awaitable[str]] = _as_it_is

    async def start_rating(self, tasks: TaskGroup) -> str:
        """Serve the rating service; return its URL."""
        address = await tasks.start(serve_application, self.rating.application)
        self.rating_address = f"http://{address}"
        return self.rating_address

    async def start_engines(
        self, tasks: TaskGroup, entries: list[str]
    ) -> None:
        """Serve and announce four cheap and two strong engines."""
        names = [(f"small-{n}", SMALL_VERSIONS) for n in range(1, 5)]
        names += [(f"large-{n}", LARGE_VERSIONS) for n in range(1, 3)]
        for number, (name, versions) in enumerate(names):
            engine = FakeEngine(name, versions, TOKENS_PER_S, can_resume=True)
            self.engines.append(engine)
            served = await tasks.start(serve_application, engine.application)
            address = await self.front(name, served)
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
        """Serve and announce two portal servers."""
        for number in range(2):
            name = f"portal-{number + 1}"
            service = FakeService(name, ("portal",))
            self.services.append(service)
            served = await tasks.start(serve_application, service.application)
            address = await self.front(name, served)
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

    def leave(self, name: str) -> None:
        """Have a server announce that it leaves; it goes on serving."""
        self.servers[name].announcing.cancel()

    def runs_on_version(self, version: str) -> int:
        """Return how many runs of a version the engines have begun."""
        return sum(
            record.version == version
            for engine in self.engines
            for record in engine.records
        )

    def runs_on_server(self, name: str) -> int:
        """Return how many runs a server has begun."""
        return sum(
            len(server.records)
            for server in self._all_servers()
            if server.name == name
        )

    def server(self, name: str) -> FakeEngine | FakeService:
        """Return a fake by its name; raises `StopIteration`."""
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
        self.servers[announcement.name] = Server(announcement.name, scope)

        async def announce() -> None:
            with scope:
                await keep_announcing(entries, BACKEND_KEY, announcement)

        tasks.start_soon(announce)


async def _as_it_is(name: str, address: str) -> str:
    """Announce a server where it is served."""
    return address


__all__ = ["CHEAP", "Server", "STRONG", "World"]
