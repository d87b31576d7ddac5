"""Decide when a silent server is checked, and when it counts as lost.

A server that loses power, or its link, closes none of its connections. From
the outside it looks like a server that is slow: all requests that it runs
fall silent, and new ones wait. Each request that finds out by itself waits
for its own timeout and dials by itself, for seconds, while the other requests
of the entry have shown long before that nothing comes from there any more.

The state is therefore kept for each server and not for each request. A
server is suspected once nothing has come on any of its connections for
`SILENCE_S` while at least one of them waits, or once the dial of a request
timed out. It is then dialled. Silence alone proves nothing: an engine that
reads a long prompt, or has preempted what it ran, is silent as well, but
accepts a connection at once. A server is lost if it neither accepts nor
refuses several dials in a row, and has sent nothing for `LOST_AFTER_S`.

A server that refuses connections is not lost: its VM answers, and connections
that are open may go on. But no new request can be sent there. If an entry's
own links fail, it may see this, or silence, at all servers at once.
"""

from __future__ import annotations

import math
from typing import Final

# A server that runs several streams sends something ten times as often, also
# during a long prefill.
SILENCE_S: Final = 0.5
# The interval doubles with each check in a row that reaches a silent server: a
# dial costs it a connection. After a pause of this time a stream is moved
# whatever the checks show.
MAX_INTERVAL_S: Final = 2.0
LOST_AFTER_DIALS: Final = 2
# A sound server may be silent for a second and more, for example while its VM
# is moved. Moving its streams would cost each an arrival and a prefill.
LOST_AFTER_S: Final = 1.4
# A check took so much longer than its dials that this process was suspended or
# busy meanwhile. The server may have accepted in time.
MAX_DELAY_S: Final = 0.1
NOTHING: Final[frozenset[str]] = frozenset()


class ServerLoss:
    """Which servers are lost, by address, as seen from one entry.

    >>> loss = ServerLoss()
    >>> loss.is_check_due("a", silent_since_s=1.0, now_s=1.2)
    False
    >>> loss.is_check_due("a", silent_since_s=1.0, now_s=1.6)
    True
    >>> loss.record_check("a", reached=False, now_s=2.2, silent_since_s=1.0)
    True
    >>> loss.is_lost("a")
    True
    """

    def __init__(self) -> None:
        self._lost: set[str] = set()
        self._timed_out: set[str] = set()
        self._refusing: set[str] = set()
        self._returned: set[str] = set()
        self._checked_s: dict[str, float] = {}
        self._interval_s: dict[str, float] = {}

    @property
    def lost(self) -> frozenset[str]:
        """The addresses of the lost servers."""
        return frozenset(self._lost)

    @property
    def suspected(self) -> frozenset[str]:
        """The addresses that are lost, or where a dial timed out."""
        return frozenset(self._lost | self._timed_out)

    @property
    def refusing(self) -> frozenset[str]:
        """The addresses that refused the last dial."""
        return frozenset(self._refusing)

    @property
    def unreachable_count(self) -> int:
        """The number of servers that are unreachable."""
        return len(self._lost | self._refusing)

    @property
    def has_unreachable(self) -> bool:
        """Whether any server is unreachable."""
        return bool(self._lost or self._refusing)

    @property
    def has_records(self) -> bool:
        """Whether there is anything that `forget_unused` might drop."""
        return bool(
            self._lost
            or self._timed_out
            or self._refusing
            or self._returned
            or self._checked_s
        )

    def is_lost(self, address: str) -> bool:
        """Return whether the server is lost."""
        return address in self._lost

    def is_unreachable(self, address: str) -> bool:
        """Return whether the server is lost or refuses connections."""
        return address in self._lost or address in self._refusing

    def record_timed_out_dial(self, address: str) -> None:
        """Record that the dial of a request timed out."""
        self._timed_out.add(address)

    def record_refused_dial(self, address: str) -> None:
        """Record that the server refused a connection."""
        self._refusing.add(address)

    def record_accepted_dial(self, address: str) -> None:
        """Record that the server accepted a connection."""
        if address in self._refusing:
            self._refusing.discard(address)
            self._returned.add(address)

    def take_returned(self) -> frozenset[str]:
        """Return the addresses that are reached again since the last call."""
        if not self._returned:
            return NOTHING
        returned, self._returned = frozenset(self._returned), set()
        return returned

    def checked_s(self, address: str) -> float:
        """Return when the server was last checked."""
        return self._checked_s.get(address, -math.inf)

    def dials_needed(self, address: str) -> int:
        """Return how many dials have to fail for the server to be lost."""
        if self.is_lost(address):
            return 1
        return LOST_AFTER_DIALS - (address in self._timed_out)

    def has_been_silent(self, heard_s: float, now_s: float) -> bool:
        """Return whether a server was silent for so long that it may be lost.

        ``heard_s`` is the time of its last bytes, minus infinity if none came.
        """
        return now_s - heard_s >= LOST_AFTER_S

    def is_check_due(
        self, address: str, silent_since_s: float, now_s: float
    ) -> bool:
        """Return whether the server has been silent for too long.

        ``silent_since_s`` is the time of the last bytes from the server or,
        if that is later, of the oldest request that waits for an answer.
        It is infinite if no request waits; an unreachable server is checked
        nevertheless, until it accepts a connection.
        """
        checked_s = self.checked_s(address)
        if self.is_unreachable(address):
            return now_s - checked_s >= SILENCE_S
        if address in self._timed_out:
            return True
        if checked_s > silent_since_s:
            return now_s - checked_s >= self._interval_s[address]
        return now_s - silent_since_s >= SILENCE_S

    def record_check(
        self,
        address: str,
        reached: bool,
        now_s: float,
        silent_since_s: float = math.inf,
    ) -> bool:
        """Record whether the server was reached; return if it is lost now.

        ``silent_since_s`` is that of `is_check_due` at the check's begin.
        True is returned for the check only that first finds the server lost.
        """
        is_first = self.checked_s(address) <= silent_since_s
        interval_s = SILENCE_S if is_first else 2 * self._interval_s[address]
        self._interval_s[address] = min(interval_s, MAX_INTERVAL_S)
        self._checked_s[address] = now_s
        self._timed_out.discard(address)
        if reached:
            if address in self._lost:
                self._lost.discard(address)
                self._returned.add(address)
            return False
        newly_lost = address not in self._lost
        self._lost.add(address)
        return newly_lost

    def forget_unused(self, used: set[str]) -> None:
        """Drop the state of all addresses that are not among the used."""
        self._lost &= used
        self._timed_out &= used
        self._refusing &= used
        self._returned &= used
        for address in self._checked_s.keys() - used:
            del self._checked_s[address]
            del self._interval_s[address]


__all__ = [
    "LOST_AFTER_DIALS",
    "MAX_DELAY_S",
    "MAX_INTERVAL_S",
    "ServerLoss",
    "SILENCE_S",
]
