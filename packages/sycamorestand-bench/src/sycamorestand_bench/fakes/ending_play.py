"""A load on a running system whose servers end under certain requests."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
import time
from typing import Final
from typing import NamedTuple

import anyio

from sycamorestand_bench.fakes.ending_servers import Behaviour
from sycamorestand_bench.fakes.ending_servers import CALL_BODY
from sycamorestand_bench.fakes.ending_servers import EndingServers
from sycamorestand_bench.fakes.ending_servers import EVENTS
from sycamorestand_bench.fakes.ending_servers import start_servers
from sycamorestand_bench.fakes.routed import HOST
from sycamorestand_bench.fakes.routed_system import Entry
from sycamorestand_bench.fakes.routed_system import RoutedSystem
from sycamorestand_bench.fakes.routed_system import start_system
from sycamorestand_bench.fakes.routed_system import wait_until
from sycamorestand_model.request_digest import request_name
from sycamorestand_model.request_digest import RequestContent

SERVICE: Final = "stock"
SERVERS: Final = 5
ENTRIES: Final = 10
REQUESTS_PER_S: Final = 30.0
BAD: Final = "bad"
SOUND: Final = ("s0", "s1", "s2", "s3")
# The users' rule: later than this after the last end that is allowed, three
# requests at most.
KNOWN_AFTER_S: Final = 3.0
MAX_SENT_AFTER: Final = 3
ENDS: Final = 5
REQUEST_ENDS: Final = 3
REVIEW: Final = "/review/1"
BAD_BODY: Final = b"bad"
# In place of a second part: the last one alone tells the request from others.
OWN: Final = "own"


class Asked(NamedTuple):
    """A request of a caller and its answer."""

    at_s: float
    part: str
    answer: bytes
    key: str = ""
    path: str = REVIEW
    body: bytes = b""

    @property
    def is_whole(self) -> bool:
        if self.path != REVIEW:
            return self.answer.endswith(CALL_BODY)
        return self.answer.count(b"id: ") == EVENTS

    @property
    def status(self) -> int:
        return int(self.answer.split(b" ")[1])


class Play:
    """A load on a system, and what became of it."""

    def __init__(self, system: RoutedSystem, servers: EndingServers) -> None:
        self.system = system
        self.servers = servers
        self.asked: list[Asked] = []
        self._random = Random(1)
        self._number = 0

    async def load(
        self,
        duration_s: float,
        bad_every: int = 0,
        at: Entry | None = None,
    ) -> None:
        """Send requests; each ``bad_every``-th one has the bad part.

        They go to any entry, or to one.
        """
        end_s = time.monotonic() + duration_s
        async with anyio.create_task_group() as callers:
            while time.monotonic() < end_s:
                self._number += 1
                is_bad = bad_every and self._number % bad_every == 0
                part = BAD if is_bad else SOUND[self._number % len(SOUND)]
                callers.start_soon(self.ask, part, at)
                await anyio.sleep(1 / REQUESTS_PER_S)

    async def ask(
        self,
        part: str,
        at: Entry | None = None,
        key: str = "",
        path: str = REVIEW,
        body: bytes = b"",
    ) -> Asked:
        """Send one request with this part, to any entry.

        It has an id of its own, and a last part and a body of its own unless
        it has this ``body``. Without a part it has no prompt.
        """
        at_s = time.monotonic()
        entries = [e for e in self.system.entries if not e.has_stopped]
        entry = at or self._random.choice(entries)
        own = f"own{self._number}-{len(self.asked)}"
        headers = {"authorization": f"Bearer {key}"} if key else {}
        if part:
            last = "last" if body else own
            shared = "first:800" if part == OWN else f"first:800,{part}:100"
            headers["x_parts"] = f"{shared},{last}:5"
        answer = await entry.ask(
            path,
            body or own.encode(),
            x_attempt=own,
            x_deadline_ms="4000",
            **headers,
        )
        asked = Asked(at_s, part, answer, key, path, body or own.encode())
        self.asked.append(asked)
        return asked

    async def repeat(
        self,
        duration_s: float,
        pause_s: float,
        part: str = "",
        path: str = REVIEW,
        body: bytes = BAD_BODY,
    ) -> None:
        """Send the same request again and again, to any entry."""
        end_s = time.monotonic() + duration_s
        async with anyio.create_task_group() as callers:
            while time.monotonic() < end_s:
                callers.start_soon(self.ask, part, None, "", path, body)
                await anyio.sleep(pause_s)

    async def block(self, behaviour: Behaviour) -> None:
        """Send bad requests until the part is blocked at all entries."""
        self.servers.behaviour = behaviour
        async with anyio.create_task_group() as callers:
            while not all(
                BAD in entry.link.in_force().blocked_parts
                for entry in self.system.entries
                if not entry.has_stopped
            ):
                callers.start_soon(self.ask, BAD)
                await anyio.sleep(0.2)

    def wrongly_blocked(self) -> set[str]:
        """Return what is blocked and no request that ends servers."""
        control = self.system.controls[0].process
        key = control.configuration.in_force().session_key
        bad = {
            request_name(_content(each), key)
            for each in self.asked
            if each.part == BAD or each.body == BAD_BODY
        }
        return self.system.blocked_parts() - {BAD} - bad

    def arrived(self, part: str = BAD) -> int:
        """Return how many requests with the part have reached servers."""
        return sum(part in each.parts for each in self.servers.arrivals)

    def sent_after_ends(self) -> int:
        """Return how many bad requests came long after the fifth end."""
        ends = self.servers.ends[:ENDS]
        known_s = ends[-1] + KNOWN_AFTER_S
        return sum(
            BAD in arrival.parts and arrival.at_s > known_s
            for arrival in self.servers.arrivals
        )

    def sent_again(self, body: bytes = BAD_BODY) -> int:
        """Return how often a body came long after the third end under it."""
        known_s = self.servers.ends[REQUEST_ENDS - 1] + KNOWN_AFTER_S
        return sum(
            arrival.body == body and arrival.at_s > known_s
            for arrival in self.servers.arrivals
        )

    def whole_share(self, from_s: float, *parts: str) -> float:
        """Return the share of the requests since then answered whole."""
        asked = [
            each
            for each in self.asked
            if each.part in (parts or SOUND)
            and from_s <= each.at_s
            and each.body != BAD_BODY
        ]
        assert len(asked) >= 20
        return sum(each.is_whole for each in asked) / len(asked)


@asynccontextmanager
async def start_play(
    folder: Path,
    entries: int = ENTRIES,
    servers: int = SERVERS,
    is_public: bool = True,
    data_centres: Sequence[str] = ("marietta",),
    cold_requests_per_s: float = 0.0,
    controls: int = 3,
) -> AsyncIterator[Play]:
    """Start a system whose servers answer all requests."""
    async with (
        start_system(
            folder,
            entries,
            controls,
            is_public=is_public,
            cold_requests_per_s=cold_requests_per_s,
        ) as system,
        anyio.create_task_group() as tasks,
    ):
        backends = EndingServers(system.announce, SERVICE, data_centres)
        await start_servers(tasks, backends, servers)
        play = Play(system, backends)
        await wait_until(
            lambda: all(
                len(entry.link.backend_servers()) == servers
                for entry in system.entries
            )
        )
        yield play
        tasks.cancel_scope.cancel()


def _content(asked: Asked) -> RequestContent:
    """Return the content of a request, of a caller without a key."""
    return RequestContent(
        "", b"POST", HOST.encode(), asked.path.encode(), asked.body
    )


__all__ = [
    "Asked",
    "BAD",
    "BAD_BODY",
    "ENDS",
    "KNOWN_AFTER_S",
    "MAX_SENT_AFTER",
    "OWN",
    "Play",
    "REVIEW",
    "SERVICE",
    "SOUND",
    "start_play",
]
