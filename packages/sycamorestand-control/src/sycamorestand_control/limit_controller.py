"""Grants entries tokens for servers with a limit, and tells all of them.

The leader alone grants, so that no two processes share out the same limit.
Every control process keeps the limits, so that the next leader knows them.
"""

from __future__ import annotations

from collections import Counter
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_control.groups import CONFIGURATION_GROUP
from sycamorestand_decisions.server_limits import MAX_LIMITED_SERVERS
from sycamorestand_decisions.server_limits import NO_LIMIT
from sycamorestand_decisions.server_limits import TokenBuckets
from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.messages import LimitsNamed
from sycamorestand_peer.messages import TokensGranted
from sycamorestand_peer.messages import TokensWanted

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable

    from sycamorestand_control.groups import LogGroups
    from sycamorestand_peer.mesh import PeerMesh

TICK_S: Final = 0.25
# Entries that missed a message, or have just come, are told again.
REPEAT_INTERVAL_S: Final = 5.0
NOTHING_NAMED: Final = LimitsNamed({})


class LimitController:
    """Keeps the limits that servers name, and the leader's buckets.

    ``entries`` and ``others`` return the peer addresses of the entries
    attached here and of the other control processes, ``servers`` the names
    of the servers that are announced. ``cold_limit_per_s`` returns what a
    server takes while it is cold, `NO_LIMIT` if there is no such limit.
    """

    def __init__(
        self,
        mesh: PeerMesh,
        groups: LogGroups,
        entries: Callable[[], Iterable[str]],
        others: Callable[[], Iterable[str]],
        servers: Callable[[], Collection[str]],
        cold_limit_per_s: Callable[[str], float],
    ) -> None:
        self._mesh = mesh
        self._groups = groups
        self._entries = entries
        self._others = others
        self._servers = servers
        self._cold_limit_per_s = cold_limit_per_s
        self._buckets = TokenBuckets()
        self._sent: dict[str, LimitsNamed] = {}
        self._repeat_s = 0.0
        self.limits_per_s: dict[str, float] = {}
        self.asked = 0
        self.granted = 0

    def handle_wanted(self, sender: str, message: TokensWanted) -> None:
        """Note limits, and grant tokens or forward the question."""
        is_forwarded = sender in set(self._others())
        self._note(message.limits_per_s, is_forwarded)
        if not message.wanted:
            return
        if self._groups.is_leader(CONFIGURATION_GROUP):
            self._grant(sender, message)
            return
        leader = self._groups.leader_address(CONFIGURATION_GROUP)
        if leader and not is_forwarded:
            self._mesh.send(leader, message._replace(entry=sender))

    def limit(self, server: str, limit_per_s: float) -> None:
        """Limit a server that names no limit, until it answers a request."""
        self._note({server: limit_per_s}, is_forwarded=False)

    def handle_granted(self, sender: str, message: TokensGranted) -> None:
        """Pass what the leader has granted on to the entry."""
        if message.entry:
            self._mesh.send(message.entry, message._replace(entry=""))

    def _note(self, limits: dict[str, float], is_forwarded: bool) -> None:
        news = {
            server: limit_per_s
            for server, limit_per_s in limits.items()
            if self.limits_per_s.get(server, NO_LIMIT) != limit_per_s
        }
        if not news:
            return
        self.limits_per_s.update(news)
        while len(self.limits_per_s) > MAX_LIMITED_SERVERS:
            del self.limits_per_s[next(iter(self.limits_per_s))]
        if not is_forwarded:
            for address in self._others():
                self._mesh.send(address, TokensWanted(0, (), 0, news))

    def _grant(self, sender: str, message: TokensWanted) -> None:
        now_s = boottime_s()
        for server in message.servers:
            limit_per_s = self._limit_per_s(server)
            self._buckets.set_limit(server, limit_per_s, now_s)
        tokens: Counter[str] = Counter()
        for _ in range(message.wanted):
            server = self._buckets.grant(message.servers, now_s)
            if not server:
                break
            tokens[server] += 1
        self.asked += message.wanted
        self.granted += tokens.total()
        self._mesh.send(
            sender,
            TokensGranted(message.number, dict(tokens), message.entry),
        )

    def _limit_per_s(self, server: str) -> float:
        """Return the limit of a server that an entry asks for.

        It asks for one that names none only while that is cold.
        """
        limits = [
            limit_per_s
            for limit_per_s in (
                self.limits_per_s.get(server, NO_LIMIT),
                self._cold_limit_per_s(server),
            )
            if limit_per_s != NO_LIMIT
        ]
        return min(limits, default=NO_LIMIT)

    async def run(self) -> None:
        """Tell the entries which servers have limits, until cancelled."""
        while True:
            await anyio.sleep(TICK_S)
            self.push(boottime_s())

    def push(self, now_s: float) -> None:
        """Tell the entries attached here what they may not know yet."""
        if not self._groups.is_leader(CONFIGURATION_GROUP):
            self._buckets.clear()
        known = self._servers()
        self.limits_per_s = {
            server: limit_per_s
            for server, limit_per_s in self.limits_per_s.items()
            if server in known
        }
        message = LimitsNamed(dict(self.limits_per_s))
        attached = set(self._entries())
        self._sent = {a: m for a, m in self._sent.items() if a in attached}
        is_due = message != NOTHING_NAMED and now_s >= self._repeat_s
        if is_due:
            self._repeat_s = now_s + REPEAT_INTERVAL_S
        for address in attached:
            if is_due or self._sent.get(address, NOTHING_NAMED) != message:
                self._sent[address] = message
                self._mesh.send(address, message)

    @property
    def limited_names(self) -> set[str]:
        """The servers with a limit, by name."""
        limits = self.limits_per_s.items()
        return {name for name, per_s in limits if per_s != NO_LIMIT}

    @property
    def limited_servers(self) -> int:
        """The number of servers that name a limit."""
        return len(self.limited_names)


__all__ = ["LimitController"]
