"""Share what a server takes in a second among all entries.

A server in need names a limit of requests a second for all entries together.
Callers are uneven, and there may be more entries than requests: with equal
parts at ten entries, a limit of one a second would be a request in ten seconds
at each, and most of it lost. Where each entry kept the limit for itself, the
server would get ten times as much. Callers that press refill whatever is left.

A server that is cold bears a number of requests a second as well, until it is
warm. One token bucket for each such server therefore lies at the leader. An
entry asks for tokens when it has a request to send, for any of the servers
that may have it, and a token that it does not use soon is lost. A new leader
begins with a token each. So the sum stays within the limit, whoever asks.
"""

from __future__ import annotations

from collections import deque
import math
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_decisions.server_rests import ServerRests

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

# As many requests may come at once at a server that had none for a while.
BURST: Final = 2.0
FIRST_TOKENS: Final = 1.0
# A server that takes nothing is asked now and then, or nobody would hear that
# it takes requests again.
MIN_LIMIT_PER_S: Final = 0.05
# In place of a limit: the server names none any more.
NO_LIMIT: Final = -1.0
TOKEN_LIFETIME_S: Final = 1.0
MAX_LIMITED_SERVERS: Final = 1024


class TokenBuckets:
    """The buckets of all servers that name a limit, at the leader.

    >>> buckets = TokenBuckets()
    >>> buckets.set_limit("s-1", 0.5, 0.0)
    >>> [buckets.grant(["s-1", "s-2"], now_s) for now_s in (0.0, 1.0, 2.0)]
    ['s-1', '', 's-1']
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def __len__(self) -> int:
        return len(self._buckets)

    def set_limit(self, server: str, limit_per_s: float, now_s: float) -> None:
        """Set or, with `NO_LIMIT`, drop what a server takes in a second."""
        if limit_per_s == NO_LIMIT:
            self._buckets.pop(server, None)
            return
        bucket = self._buckets.get(server)
        if bucket is None:
            if len(self._buckets) >= MAX_LIMITED_SERVERS:
                return
            bucket = self._buckets[server] = _Bucket(now_s)
        bucket.refill(now_s)
        bucket.limit_per_s = max(MIN_LIMIT_PER_S, limit_per_s)

    def grant(self, servers: Iterable[str], now_s: float) -> str:
        """Take a token of the server that has most; return its name.

        Returns an empty string if none of them has any.
        """
        most, found = 1.0, ""
        for name in servers:
            bucket = self._buckets.get(name)
            if bucket is None:
                continue
            bucket.refill(now_s)
            if bucket.tokens >= most:
                most, found = bucket.tokens, name
        if found:
            self._buckets[found].tokens -= 1.0
        return found

    def clear(self) -> None:
        """Forget all buckets, as another process is the leader."""
        self._buckets.clear()


def rate_within(most: float, window_s: float) -> float:
    """Return the limit by which no window gets more than ``most`` requests.

    Tokens that were granted a lifetime before the window may be used in it,
    and a bucket may have been full, or that of a leader who has just come.

    >>> rate_within(18.35, 1.0)
    7.675
    """
    room = most - BURST - FIRST_TOKENS
    return max(MIN_LIMIT_PER_S, room / (window_s + TOKEN_LIFETIME_S))


class HeldTokens:
    """The limits that an entry knows, and the tokens that it has.

    ``limits_per_s`` are those that servers name. A server that is cold has a
    limit too, which its service declares and the leader knows. One that asked
    this entry for rest takes nothing at all for a while (``rests``).

    >>> held = HeldTokens()
    >>> held.set_limit("s-1", 0.5)
    >>> held.is_open("s-1", 0.0), held.is_open("s-2", 0.0)
    (False, True)
    >>> held.add("s-1", 0.0)
    >>> held.is_open("s-1", 0.5), held.is_open("s-1", 1.5)
    (True, False)
    """

    def __init__(self) -> None:
        self.limits_per_s: dict[str, float] = {}
        self.rests = ServerRests()
        self._cold_until_s: dict[str, float] = {}
        self._tokens: dict[str, deque[float]] = {}

    def set_limit(self, server: str, limit_per_s: float) -> None:
        """Set or, with `NO_LIMIT`, drop what a server takes in a second."""
        if limit_per_s == NO_LIMIT:
            self.limits_per_s.pop(server, None)
            self._tokens.pop(server, None)
            return
        if len(self.limits_per_s) < MAX_LIMITED_SERVERS:
            self.limits_per_s[server] = limit_per_s

    def set_cold(self, until_s: dict[str, float]) -> None:
        """Set until when servers are cold; all others are warm."""
        self._cold_until_s = until_s

    def has_limited(self, now_s: float) -> bool:
        """Return whether any server has a limit now, or rests."""
        if self.limits_per_s or self.rests.has_any():
            return True
        if self._cold_until_s and now_s >= max(self._cold_until_s.values()):
            self._cold_until_s = {}
        return bool(self._cold_until_s)

    def add(self, server: str, now_s: float) -> None:
        """Add a token that was granted."""
        until_s = now_s + TOKEN_LIFETIME_S
        self._tokens.setdefault(server, deque()).append(until_s)

    def is_open(self, server: str, now_s: float) -> bool:
        """Return whether a request may be sent to the server now."""
        if not self.rests.is_open(server, now_s):
            return False
        if not self._is_limited(server, now_s):
            return True
        tokens = self._tokens.get(server)
        while tokens and tokens[0] <= now_s:
            tokens.popleft()
        return bool(tokens)

    def _is_limited(self, server: str, now_s: float) -> bool:
        if server in self.limits_per_s:
            return True
        return now_s < self._cold_until_s.get(server, -math.inf)

    def record_sent(self, server: str, now_s: float) -> None:
        """Use a token, as a request was sent to the server."""
        self.rests.record_sent(server, now_s)
        tokens = self._tokens.get(server)
        if tokens:
            tokens.popleft()

    def closed(self, servers: Sequence[str], now_s: float) -> list[str]:
        """Return those of the servers to which nothing may be sent now."""
        if not self.has_limited(now_s):
            return []
        return [name for name in servers if not self.is_open(name, now_s)]

    def forget_except(self, known: Iterable[str]) -> None:
        """Drop what is known of servers that have left."""
        for name in self.limits_per_s.keys() - set(known):
            self.set_limit(name, NO_LIMIT)


class _Bucket:
    def __init__(self, now_s: float) -> None:
        self.tokens = FIRST_TOKENS
        self.limit_per_s = 0.0
        self._filled_s = now_s

    def refill(self, now_s: float) -> None:
        added = (now_s - self._filled_s) * self.limit_per_s
        self.tokens = min(BURST, self.tokens + added)
        self._filled_s = now_s


__all__ = [
    "BURST",
    "FIRST_TOKENS",
    "HeldTokens",
    "MAX_LIMITED_SERVERS",
    "MIN_LIMIT_PER_S",
    "NO_LIMIT",
    "rate_within",
    "TOKEN_LIFETIME_S",
    "TokenBuckets",
]
