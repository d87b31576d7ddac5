"""Which servers asked this entry for rest, and how they get requests again.

A server that is full, or that has to recover, turns a request away and names
a time for which it wants none from this entry. Requests that come all the
same keep it from recovering. When the time is over, all that waited would
come at once, from all entries, and the server would ask again: therefore a
server gets one request first, and two more for each that it takes.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

FIRST_REQUESTS: Final = 1
REQUESTS_FOR_EACH_TAKEN: Final = 2
# Taken requests after which a server is like any other.
RETURNED_AFTER: Final = 16
# An answer to the first requests may take long or never come.
NEXT_REQUEST_S: Final = 1.0
MAX_RESTING_SERVERS: Final = 1024
# Bounds a false value, after which the server is asked once more.
MAX_REST_S: Final = 600.0
MAX_DIGITS: Final = 12


def read_rest_s(value: bytes) -> float:
    """Return the seconds in a ``Retry-After`` header, at most `MAX_REST_S`.

    Fractions are allowed. A date or another value yields 0: the clocks of
    servers and entries may differ.

    >>> read_rest_s(b"2.5"), read_rest_s(b"999999"), read_rest_s(b"-1")
    (2.5, 600.0, 0.0)
    """
    digits = value.strip()
    if not digits.replace(b".", b"", 1).isdigit():
        return 0.0
    if len(digits) > MAX_DIGITS and b"." not in digits[:MAX_DIGITS]:
        return MAX_REST_S
    return min(float(digits[:MAX_DIGITS]), MAX_REST_S)


class ServerRests:
    """The servers at rest, and those that have just rested.

    >>> rests = ServerRests()
    >>> rests.record_rest("s-1", 1, 3.0, 0.0)
    >>> rests.is_open("s-1", 2.9), rests.is_open("s-1", 3.0)
    (False, True)
    """

    def __init__(self) -> None:
        self._rests: dict[str, _Rest] = {}

    def record_rest(
        self, server: str, incarnation: int, rest_s: float, now_s: float
    ) -> None:
        """Record that the server wants no request for so long.

        A shorter time does not end a longer one that it named before.
        """
        rest = self._rests.get(server)
        if rest is None or rest.incarnation != incarnation:
            if len(self._rests) >= MAX_RESTING_SERVERS:
                self._forget_first()
            rest = self._rests[server] = _Rest(incarnation)
        rest.until_s = max(rest.until_s, now_s + rest_s)
        rest.begin_return()

    def record_sent(self, server: str, now_s: float) -> None:
        """Record that a request is sent to the server."""
        rest = self._rests.get(server)
        if rest is not None:
            rest.requests_left = max(0, rest.requests_left - 1)
            rest.sent_s = now_s

    def record_taken(self, server: str, sent_s: float) -> None:
        """Record that the server took a request that was sent then."""
        rest = self._rests.get(server)
        if rest is None or sent_s < rest.until_s:
            return
        rest.taken += 1
        rest.requests_left += REQUESTS_FOR_EACH_TAKEN
        if rest.taken >= RETURNED_AFTER:
            del self._rests[server]

    def record_turned_away(self, server: str, sent_s: float) -> None:
        """Record that the server turned a request away, without a time."""
        rest = self._rests.get(server)
        if rest is not None and sent_s >= rest.until_s:
            rest.begin_return()
            rest.requests_left = 0

    def is_open(self, server: str, now_s: float) -> bool:
        """Return whether a request may be sent to the server now."""
        return self._opens_in_s(server, now_s) <= 0

    def is_resting(self, server: str, now_s: float) -> bool:
        """Return whether the time that the server named is not over."""
        rest = self._rests.get(server)
        return rest is not None and now_s < rest.until_s

    def resting(self, now_s: float) -> dict[str, float]:
        """Return the servers at rest, with the end of their rest."""
        return {
            name: rest.until_s
            for name, rest in self._rests.items()
            if now_s < rest.until_s
        }

    def opens_in_s(self, servers: Collection[str], now_s: float) -> float:
        """Return the time until one of the servers may get a request."""
        return min((self._opens_in_s(s, now_s) for s in servers), default=0.0)

    def has_any(self) -> bool:
        """Return whether any server rests or has just rested."""
        return bool(self._rests)

    def forget_restarted(self, incarnations: Mapping[str, int]) -> None:
        """Forget the rests of servers that have started again since.

        One that is not announced now may come back without a restart.
        """
        for name, rest in list(self._rests.items()):
            if incarnations.get(name, rest.incarnation) != rest.incarnation:
                del self._rests[name]

    def _opens_in_s(self, server: str, now_s: float) -> float:
        rest = self._rests.get(server)
        return 0.0 if rest is None else rest.opens_in_s(now_s)

    def _forget_first(self) -> None:
        """Forget the server whose rest ends first."""
        del self._rests[min(self._rests, key=lambda s: self._rests[s].until_s)]


class _Rest:
    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.until_s = 0.0
        self.sent_s = 0.0
        self.taken = 0
        self.requests_left = FIRST_REQUESTS

    def begin_return(self) -> None:
        self.taken = 0
        self.requests_left = FIRST_REQUESTS

    def opens_in_s(self, now_s: float) -> float:
        if now_s < self.until_s:
            return self.until_s - now_s
        if self.requests_left:
            return 0.0
        return max(0.0, self.sent_s + NEXT_REQUEST_S - now_s)


__all__ = [
    "FIRST_REQUESTS",
    "MAX_REST_S",
    "MAX_RESTING_SERVERS",
    "NEXT_REQUEST_S",
    "read_rest_s",
    "RETURNED_AFTER",
    "ServerRests",
]
