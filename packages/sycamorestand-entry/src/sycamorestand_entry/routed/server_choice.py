"""The servers that one call was sent to, and the choice of the next one."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from sycamorestand_model.home_regions import home_regions

if TYPE_CHECKING:
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.routed.call import RoutedCall
    from sycamorestand_entry.routed.dials import Dials
    from sycamorestand_entry.routed.exchange import Exchange
    from sycamorestand_entry.routed.messages import EngineOptions
    from sycamorestand_model.backend_servers import Announcement


class ServerChoice:
    """Choose the servers of one call.

    ``lost`` are those that were lost while they had the call.
    """

    def __init__(
        self, context: EntryContext, call: RoutedCall, dials: Dials
    ) -> None:
        self.lost: set[str] = set()
        self._context = context
        self._call = call
        self._dials = dials
        self._tried: set[str] = set()
        self._sent_to: Counter[str] = Counter()
        self._forwarded: Exchange | None = None

    @property
    def sent_to_lost(self) -> int:
        """The number of requests written to servers that were lost."""
        return sum(self._sent_to[name] for name in self.lost)

    def exclude(self, servers: tuple[str, ...]) -> None:
        """Do not choose these servers if there are others."""
        self._tried.update(servers)

    def record_sent(self, server: str) -> None:
        """Record that the call was written to the server."""
        self._sent_to[server] += 1

    def record_forwarded(self, exchange: Exchange) -> None:
        """Record an attempt whose server another entry chooses."""
        self._forwarded = exchange

    def tried_servers(self) -> frozenset[str]:
        """Return the servers that got the call, from whichever entry."""
        if self._forwarded is not None and self._forwarded.forwarded_to:
            self._tried.add(self._forwarded.forwarded_to)
        return frozenset(self._tried - self._dials.unreachable)

    def has_untried(self, target: str) -> bool:
        """Return whether a server of the target was not tried yet."""
        now_s = self._context.now_s()
        may_get = self._context.server_limits.held.rests.is_open
        at_home = self._at_home()
        return any(
            server.name not in self._tried
            and (at_home is None or server.name in at_home)
            and may_get(server.name, now_s)
            for server in self._context.servers.candidates(target, now_s)
        )

    def choose(
        self, target: str, options: EngineOptions, sent: int, may_add: bool
    ) -> Announcement:
        """Return the server for the next attempt.

        ``sent`` counts the attempts so far. Unless the call ``may_add`` a
        server, it is one that had the call before. Raises `NoBackendServer`
        if no server can be chosen.
        """
        servers = self._context.servers
        now_s = self._context.now_s()
        known = servers.find_available(target, options.known, now_s)
        at_home = self._at_home()
        is_excluded = options.known in self._dials.unreachable or (
            at_home is not None and options.known not in at_home
        )
        if known is not None and not (
            is_excluded or servers.is_over_limit(target, known, now_s)
        ):
            self._tried.add(known.name)
            return known
        is_retry = sent > 0 or self._call.forwarded is not None
        server = servers.choose(
            target,
            now_s,
            frozenset(self._tried),
            options.affinity_key,
            is_retry and self._call.may_repeat,
            self.allowed(target, may_add),
            self._dials.unreachable,
            options.work,
        )
        self._tried.add(server.name)
        return server

    def allowed(self, target: str, may_add: bool) -> set[str] | None:
        """Return the names of the servers to choose from, None for all.

        If all servers refuse connections, those with an open one are left.
        """
        context = self._context
        names = None
        if not may_add:
            names = set(self._sent_to) - self._dials.unreachable - self.lost
        if context.servers.is_unreached(target, context.now_s()):
            announced = context.control.backend_servers()
            names = set(announced) if names is None else names & set(announced)
            names = {
                name
                for name in names
                if context.pool.idle_count(announced[name].address)
            }
        at_home = self._at_home()
        if names is None or at_home is None:
            return at_home if names is None else names
        return names & at_home

    def _at_home(self) -> set[str] | None:
        """Return the servers in the call's home regions, None for all."""
        in_force = self._context.control.in_force()
        homes = home_regions(in_force, self._call.customer, self._call.route)
        return self._context.servers.names_in(homes)

    def max_idle_s(self, server: str, sent: int) -> float:
        """Return how long a connection for the call may have been idle."""
        settings = self._context.settings
        if self._call.may_repeat and sent == 0:
            return settings.pool_idle_s
        if server in self._sent_to:
            # A late answer to the first attempt at this server echoes the
            # same attempt id as the answer to this one. Only a new
            # connection tells them apart.
            return 0.0
        # A request that may not be repeated must not be lost on an idle
        # connection that went silent, and a retry must not meet a second
        # such connection.
        return settings.silent_idle_s


__all__ = ["ServerChoice"]
