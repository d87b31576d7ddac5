"""Requests to servers that take few or none wait shortly, or are refused.

A server names in its answers how many requests a second it takes from all
entries together. The entry that hears of it tells control, which tells all
others, so that they need not find out by themselves. A server that is cold
has a limit until it is warm. One that asked this entry for rest gets nothing
until then: a request for which all servers rest waits if one of them returns
soon, and is refused at once otherwise.
"""

from __future__ import annotations

import logging
import math
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_decisions.cold_servers import ColdServers
from sycamorestand_decisions.server_limits import HeldTokens
from sycamorestand_decisions.server_limits import NO_LIMIT
from sycamorestand_entry.errors import ServersLimited
from sycamorestand_entry.server_notices import TURNED_AWAY
from sycamorestand_entry.server_notices import WRONG_SERVER
from sycamorestand_model.in_force import cold_requests_per_s
from sycamorestand_peer.messages import LimitsNamed
from sycamorestand_peer.messages import TokensGranted
from sycamorestand_peer.messages import TokensWanted

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence
    from random import Random

    from sycamorestand_decisions.server_loss import ServerLoss
    from sycamorestand_entry.metrics import Metrics
    from sycamorestand_entry.ports import ControlPort
    from sycamorestand_entry.server_notices import ServerNotice
    from sycamorestand_model.backend_servers import Announcement

_LOG = logging.getLogger(__name__)
ASK_INTERVAL_S: Final = 0.1
# Of many entries each asks more seldom, so that the leader gets some 660
# questions a second at most.
ASK_INTERVAL_PER_ENTRY_S: Final = 0.0015
# A round trip to the leader by way of the entry's control process, after the
# interval between two questions.
MAX_WAIT_S: Final = 0.3
MAX_TOKENS_ASKED: Final = 32
MAX_SERVERS_ASKED: Final = 16
MAX_LIMIT_CHARACTERS: Final = 12
MAX_LOGGED_SERVERS: Final = 8
# Servers that rest at the same time do not get their next requests at the
# same moment, which is later the more entries there are.
SPREAD_SHARE: Final = 0.25
SPREAD_PER_ENTRY_S: Final = 0.01
# Callers of streams leave after two seconds of silence.
MAX_REST_WAIT_S: Final = 1.5
# Of its time left, what a request may wait for servers that rest.
REST_WAIT_SHARE: Final = 1 / 3
MIN_RETRY_AFTER_S: Final = 0.5
NOTHING_RETURNED: Final[frozenset[str]] = frozenset()
OK: Final = 200
# The name on answers to the project's own interface.
LIMIT_HEADER: Final = b"x-server-limit"


class ServerLimits:
    """The limits of servers, and the entry's tokens for them.

    ``loss`` tells which servers could not be reached for a while.
    """

    def __init__(
        self,
        control: ControlPort,
        metrics: Metrics,
        now_s: Callable[[], float],
        random: Random,
        loss: ServerLoss,
    ) -> None:
        self.held = HeldTokens()
        self._cold = ColdServers()
        self._loss = loss
        self._seen_servers: Mapping[str, Announcement] = {}
        self._drained: frozenset[str] = frozenset()
        self._logged_cold: set[str] = set()
        self._control = control
        self._metrics = metrics
        self._now_s = now_s
        self._random = random
        self._named_s: dict[str, float] = {}
        self._wanted: dict[str, None] = {}
        self._demand = 0
        self._asked_s = -math.inf
        self._number = 0
        self._answered = anyio.Event()
        control.add_listener(TokensGranted, self._on_granted)
        control.add_listener(LimitsNamed, self._on_named)

    def record_answer(
        self, server: str, status: int, value: bytes | None, sent_s: float
    ) -> None:
        """Record what an answer says of the server's limit.

        ``value`` is None if it names none, and ``sent_s`` is when the request
        was sent. A success names none only once the server has no limit.
        """
        known = self.held.limits_per_s.get(server)
        limit_per_s = NO_LIMIT if value is None else _read_limit(value)
        if limit_per_s is None or limit_per_s == known:
            return
        if limit_per_s == NO_LIMIT and (
            known is None
            or status != OK
            or sent_s <= self._named_s.get(server, -math.inf)
        ):
            return
        self._set_limit(server, limit_per_s)
        self._send((), 0, {server: limit_per_s})

    def record_notice(
        self,
        server: Announcement,
        status: int,
        notice: ServerNotice,
        sent_s: float,
    ) -> None:
        """Record what an answer says of the server's rest and leaving.

        ``sent_s`` is when the request was sent.
        """
        if notice.is_leaving:
            self._control.record_leaving(server)
        rests = self.held.rests
        if notice.rest_s:
            self._record_rest(server, notice.rest_s)
        elif status == TURNED_AWAY:
            rests.record_turned_away(server.name, sent_s)
        elif status != WRONG_SERVER:
            rests.record_taken(server.name, sent_s)

    def _record_rest(self, server: Announcement, rest_s: float) -> None:
        known = self._control.backend_servers().get(server.name, server)
        if known.incarnation != server.incarnation:
            return
        spread_s = SPREAD_SHARE * rest_s
        spread_s += SPREAD_PER_ENTRY_S * self._control.entry_count()
        spread_s = self._random.uniform(0.0, min(spread_s, rest_s))
        now_s = self._now_s()
        rests = self.held.rests
        if not rests.is_resting(server.name, now_s):
            extra = {"backend_server": server.name, "rest_s": rest_s}
            _LOG.warning("backend server asks for rest", extra=extra)
        self._metrics.rests.inc({})
        rests.record_rest(
            server.name, server.incarnation, rest_s + spread_s, now_s
        )

    def sync_servers(self) -> None:
        """Take in which servers have started again, and which are cold."""
        servers = self._control.backend_servers()
        if servers is not self._seen_servers and self.held.rests.has_any():
            self.held.rests.forget_restarted(
                {name: s.incarnation for name, s in servers.items()}
            )
        self._sync_cold()

    def _sync_cold(self) -> None:
        """Take in which servers are cold, by all that is known here."""
        now_s = self._now_s()
        servers = self._control.backend_servers()
        in_force = self._control.in_force()
        returned = self._take_returned(len(servers))
        drained = frozenset(in_force.draining_data_centres)
        taken_back = self._drained - drained
        is_news = servers is not self._seen_servers
        if not (is_news or returned or taken_back):
            self._drained = drained
            return
        self._seen_servers, self._drained = servers, drained
        self._cold.update(servers, now_s)
        self._cold.presume(
            (
                server
                for server in servers.values()
                if server.address in returned
                or server.data_centre in taken_back
            ),
            now_s,
        )
        cold_until_s = {
            name: until_s
            for name, until_s in self._cold.until_s().items()
            if cold_requests_per_s(in_force, servers[name])
        }
        self.held.set_cold(cold_until_s)
        self._log_cold(set(cold_until_s))

    def _take_returned(self, servers: int) -> frozenset[str]:
        """Return the addresses of servers that may have started again.

        Where most servers were out of reach, the entry's own links were down,
        and its callers would wait for tokens of servers that are warm.
        """
        returned = self._loss.take_returned()
        gone = len(returned) + self._loss.unreachable_count
        return returned if 2 * gone <= servers else NOTHING_RETURNED

    def _log_cold(self, cold: set[str]) -> None:
        """Log the servers that have turned cold."""
        added = sorted(cold - self._logged_cold)
        self._logged_cold = cold
        if added:
            names = ",".join(added[:MAX_LOGGED_SERVERS])
            extra = {"count": len(added), "backend_servers": names}
            _LOG.info("backend servers are cold", extra=extra)

    async def reserve(
        self, servers: Sequence[str], left_s: float = math.inf
    ) -> None:
        """Ask for tokens if some of the servers may get no request now.

        Wait for them only if none of the servers may. ``left_s`` is the time
        that the request has. Raises `ServersLimited` if all servers rest for
        too long.
        """
        await self._wait_for_rests(servers, left_s)
        now_s = self._now_s()
        rests = self.held.rests
        servers = [name for name in servers if rests.is_open(name, now_s)]
        closed = self.held.closed(servers, now_s)
        if not closed:
            return
        self._wanted.update(dict.fromkeys(closed))
        self._demand += 1
        if len(closed) < len(servers):
            self._ask()
            return
        with anyio.move_on_after(MAX_WAIT_S):
            while not self._is_any_open(servers):
                pause_s = self._next_ask_s() - self._now_s()
                if pause_s > 0:
                    await self._wait_for_answer(pause_s)
                    continue
                self._wanted.update(dict.fromkeys(closed))
                self._demand = max(1, self._demand)
                self._ask()
        self._metrics.limited_requests.inc(
            {"result": "sent" if self._is_any_open(servers) else "refused"}
        )

    async def _wait_for_rests(
        self, servers: Sequence[str], left_s: float
    ) -> None:
        """Wait while all servers rest; raise if that takes too long."""
        rests = self.held.rests
        if not rests.has_any():
            return
        begin_s = self._now_s()
        give_up_s = begin_s + min(MAX_REST_WAIT_S, left_s * REST_WAIT_SHARE)
        while (opens_in_s := rests.opens_in_s(servers, self._now_s())) > 0:
            if self._now_s() + opens_in_s > give_up_s:
                self._metrics.rested_requests.inc({"result": "refused"})
                raise ServersLimited(
                    "every backend server asked for rest",
                    self._retry_after_s(opens_in_s),
                )
            await anyio.sleep(opens_in_s)
        if self._now_s() > begin_s:
            self._metrics.rested_requests.inc({"result": "waited"})

    def _retry_after_s(self, opens_in_s: float) -> float:
        """Return when a caller may return: each at a moment of its own."""
        after_s = max(MIN_RETRY_AFTER_S, opens_in_s)
        return self._random.uniform(after_s, 2 * after_s)

    async def _wait_for_answer(self, pause_s: float) -> None:
        """Wait until control answers; if it has, until the next question."""
        if self._answered.is_set():
            await anyio.sleep(pause_s)
            return
        with anyio.move_on_after(pause_s):
            await self._answered.wait()

    def _is_any_open(self, servers: Sequence[str]) -> bool:
        return len(self.held.closed(servers, self._now_s())) < len(servers)

    def _ask(self) -> None:
        """Send a question, unless the last one was just sent."""
        now_s = self._now_s()
        if now_s < self._next_ask_s():
            return
        self._asked_s = now_s
        self._answered = anyio.Event()
        wanted = list(self._wanted)
        count = min(len(wanted), MAX_SERVERS_ASKED)
        servers = tuple(self._random.sample(wanted, count))
        tokens = min(self._demand, MAX_TOKENS_ASKED)
        self._wanted.clear()
        self._demand = 0
        limits = self.held.limits_per_s
        named = {name: limits[name] for name in servers if name in limits}
        self._send(servers, tokens, named)

    def _next_ask_s(self) -> float:
        entries = self._control.entry_count()
        interval_s = max(ASK_INTERVAL_S, entries * ASK_INTERVAL_PER_ENTRY_S)
        return self._asked_s + interval_s

    def _send(
        self, servers: tuple[str, ...], wanted: int, named: dict[str, float]
    ) -> None:
        self._number += 1
        self._control.send(TokensWanted(self._number, servers, wanted, named))

    def _set_limit(self, server: str, limit_per_s: float) -> None:
        self.held.forget_except((*self._control.backend_servers(), server))
        self.held.set_limit(server, limit_per_s)
        self._named_s = {
            name: named_s
            for name, named_s in self._named_s.items()
            if name in self.held.limits_per_s
        }
        self._named_s[server] = self._now_s()
        extra = {"backend_server": server, "limit_per_s": limit_per_s}
        _LOG.warning("backend server changes its limit", extra=extra)

    def _on_granted(self, message: TokensGranted) -> None:
        now_s = self._now_s()
        for server, count in message.tokens.items():
            for _ in range(count):
                self.held.add(server, now_s)
        self._answered.set()

    def _on_named(self, message: LimitsNamed) -> None:
        servers = self._control.backend_servers()
        for server, limit_per_s in message.limits_per_s.items():
            known = self.held.limits_per_s.get(server, NO_LIMIT)
            if limit_per_s != known and server in servers:
                self._set_limit(server, limit_per_s)


def _read_limit(value: bytes) -> float | None:
    """Return the limit in a header, None if it is no decimal number."""
    digits = value.strip()
    if len(digits) > MAX_LIMIT_CHARACTERS:
        return None
    if not digits.replace(b".", b"", 1).isdigit():
        return None
    return float(digits)


__all__ = ["LIMIT_HEADER", "ServerLimits"]
