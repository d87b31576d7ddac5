"""What the HTTP connections of one process may keep, over all its doors.

A bound for each connection, or for each door, does not bound a process: many
that stay below it take its memory and its descriptors together. So all doors
share one `HttpBudget`. It holds the room that connections are charged for,
the number of connections, and the order in which they get further turns of
the event loop and are closed for lack of descriptors.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections import deque
import logging
import resource
from typing import Final
from typing import Protocol

from sycamorestand_peer.byte_room import ByteRoom

MIB: Final = 1024 * 1024
DEFAULT_MEMORY_MB: Final = 128
# For the process at rest and for what its requests take besides.
PROCESS_MEMORY_MB: Final = 64
MIN_ROOM_BYTES: Final = 8 * MIB
MAX_ROOM_BYTES: Final = 64 * MIB
# What one connection takes without being charged for it.
CONNECTION_BYTES: Final = 16 * 1024
MIN_CONNECTIONS: Final = 32
# As many of the descriptors as for callers are for servers and own files.
DESCRIPTOR_SHARE: Final = 1 / 2
# A door with fewer connections lets one in beside any number at others.
MIN_DOOR_CONNECTIONS: Final = 8
CHECK_INTERVAL_S: Final = 0.5
# A body that has not grown for this long may be given up for a new caller.
STALLED_S: Final = 1.0
# One log line in this time for each reason of refusals.
LOG_INTERVAL_S: Final = 10.0
EVICTION_TRIES: Final = 8
NO_CONNECTION: Final = "connections"
_LOG = logging.getLogger(__name__)


class Waiting(Protocol):
    """A connection as the budget sees it.

    ``since_s`` is when it last got on with what it waits for.
    """

    since_s: float

    def is_evictable(self) -> bool:
        """Return whether it may be closed for the sake of another one."""

    def evict(self) -> None:
        """Close it, as others need its descriptor."""

    def time_out(self) -> None:
        """Close it, as what it waits for has not come."""

    def give_up_answer(self) -> None:
        """Close it, as its client does not read its answer."""

    def take_turn(self) -> None:
        """Read on for one turn of the event loop."""


Waits = dict[Waiting, float]


class HttpBudget:
    """Bounds the memory, descriptors and turns of a process's connections.

    ``closing``, ``idle``, ``heads`` and ``bodies`` hold the connections that
    wait for their client to close, for the next request, for the rest of a
    head and for that of a body, with the time at which the wait is over. The
    one that has waited longest comes first. ``readers`` holds those whose
    client has to read on.
    """

    def __init__(self) -> None:
        self.room = ByteRoom(0)
        self.max_connections = 0
        self.connections = 0
        self.refusals: Counter[str] = Counter()
        self.closing: Waits = {}
        self.idle: Waits = {}
        self.heads: Waits = {}
        self.bodies: Waits = {}
        self.readers: Waits = {}
        self._turns: deque[Waiting] = deque()
        self._has_turn = False
        self._loop: asyncio.AbstractEventLoop | None = None
        self._has_check = False
        self._logged_s: dict[str, float] = {}
        self._unlogged: Counter[str] = Counter()
        self.configure()

    def configure(
        self, memory_mb: float = DEFAULT_MEMORY_MB, descriptors: int = 0
    ) -> None:
        """Set the bounds for a process with this memory.

        Without ``descriptors`` the limit of the process counts.
        """
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft != resource.RLIM_INFINITY:
            descriptors = min(descriptors or soft, soft)
        room_bytes = int((memory_mb - PROCESS_MEMORY_MB) / 2 * MIB)
        room_bytes = min(MAX_ROOM_BYTES, max(MIN_ROOM_BYTES, room_bytes))
        self.room.limit_bytes = room_bytes
        by_memory = room_bytes // CONNECTION_BYTES
        by_descriptors = int(descriptors * DESCRIPTOR_SHARE) or by_memory
        self.max_connections = max(
            MIN_CONNECTIONS, min(by_memory, by_descriptors)
        )

    def admit(self, door_connections: int) -> bool:
        """Make room for one more connection of a door.

        Idle connections go first, then incomplete heads, then bodies that
        have stalled. A request that has come whole is never given up.
        """
        self._attach()
        if self.connections >= self.max_connections:
            victim = self._find_evictable()
            if victim is not None:
                self.refused(NO_CONNECTION)
                victim.evict()
            elif door_connections >= MIN_DOOR_CONNECTIONS:
                self.refused(NO_CONNECTION)
                return False
        self.connections += 1
        return True

    def forget(self, connection: Waiting) -> None:
        """Take back what an admitted connection counted."""
        self.connections -= 1
        self.stop_waiting(connection)
        self.readers.pop(connection, None)

    def stop_waiting(self, connection: Waiting) -> None:
        """Note that a connection waits for nothing that is timed here."""
        for waits in (self.closing, self.idle, self.heads, self.bodies):
            waits.pop(connection, None)

    def queue_turn(self, connection: Waiting) -> None:
        """Let a connection read on after all others that wait for it.

        One connection gets one turn in each iteration of the event loop, so
        that what they send in tiny parts does not hold up everybody else.
        """
        self._turns.append(connection)
        if not self._has_turn:
            self._has_turn = True
            asyncio.get_running_loop().call_soon(self._run_turn)

    def refused(self, reason: str) -> None:
        """Count a refusal, and log it unless that was done just now."""
        self.refusals[reason] += 1
        self._unlogged[reason] += 1
        now_s = asyncio.get_running_loop().time()
        if now_s < self._logged_s.get(reason, 0.0) + LOG_INTERVAL_S:
            return
        self._logged_s[reason] = now_s
        extra = {"reason": reason, "count": self._unlogged.pop(reason)}
        _LOG.info("connections refused", extra=extra)

    def _attach(self) -> None:
        """Begin to check times; forget connections of an earlier loop."""
        loop = asyncio.get_running_loop()
        if loop is not self._loop:
            self._loop = loop
            self._has_check = False
            self._has_turn = False
            self.connections = 0
            self.room.used_bytes = 0
            self._logged_s.clear()
            self._turns.clear()
            for waits in (self.closing, self.idle, self.heads, self.bodies):
                waits.clear()
            self.readers.clear()
        if not self._has_check:
            self._has_check = True
            loop.call_later(CHECK_INTERVAL_S, self._check_times, loop)

    def _check_times(self, loop: asyncio.AbstractEventLoop) -> None:
        if loop is not self._loop:
            return
        now_s = loop.time()
        for waits in (self.closing, self.idle, self.heads, self.bodies):
            for connection in [c for c, due in waits.items() if due <= now_s]:
                connection.time_out()
        for reader in [c for c, due in self.readers.items() if due <= now_s]:
            reader.give_up_answer()
        self._has_check = self.connections > 0
        if self._has_check:
            loop.call_later(CHECK_INTERVAL_S, self._check_times, loop)

    def _run_turn(self) -> None:
        self._has_turn = False
        if not self._turns:
            return
        connection = self._turns.popleft()
        if self._turns:
            self._has_turn = True
            asyncio.get_running_loop().call_soon(self._run_turn)
        connection.take_turn()

    def _find_evictable(self) -> Waiting | None:
        now_s = asyncio.get_running_loop().time()
        tries = EVICTION_TRIES
        for waits, age_s in (
            (self.closing, 0.0),
            (self.idle, 0.0),
            (self.heads, 0.0),
            (self.bodies, STALLED_S),
        ):
            for connection in waits:
                if connection.since_s + age_s > now_s or not tries:
                    break
                if connection.is_evictable():
                    return connection
                tries -= 1
        return None


# That of this process. It is one, however many doors there are.
PROCESS_BUDGET: Final = HttpBudget()


__all__ = [
    "CHECK_INTERVAL_S",
    "DEFAULT_MEMORY_MB",
    "HttpBudget",
    "PROCESS_BUDGET",
    "Waits",
]
