"""Selection among the backend servers that hold a version or service."""

from __future__ import annotations

from random import Random
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_decisions.canary import canary_servers
from sycamorestand_decisions.selection import Candidate
from sycamorestand_decisions.selection import ServerSelector
from sycamorestand_decisions.server_limits import HeldTokens
from sycamorestand_decisions.server_loss import ServerLoss
from sycamorestand_entry.errors import NoBackendServer
from sycamorestand_entry.errors import ServersLimited
from sycamorestand_entry.outcome_reports import OutcomeReports
from sycamorestand_entry.server_index import ServerIndex
from sycamorestand_model.in_force import takes_new_work

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Sequence

    from sycamorestand_decisions.selection import Outcome
    from sycamorestand_decisions.selection import ServerMetrics
    from sycamorestand_decisions.server_room import Work
    from sycamorestand_decisions.shared_room import SharedRoom
    from sycamorestand_entry.ports import ControlPort
    from sycamorestand_model.backend_servers import Announcement
    from sycamorestand_model.home_regions import Homes
    from sycamorestand_model.routes import EngineTraits
    from sycamorestand_model.server_loads import ObservedLoad

SERVER_RETRY_S: Final = 1.0
LIMIT_RETRY_S: Final = 1.0
VERSION_SEPARATOR: Final = "@"


class Servers:
    """Selects servers, with one `ServerSelector` for each model or service.

    Outlier ejection compares a server with the other servers of its group.
    With one group for all, the median latency of a small model's servers
    would make every server of a large model an outlier.

    ``observed`` returns what is known of a server's load.
    """

    def __init__(
        self,
        control: ControlPort,
        random: Random,
        loss: ServerLoss | None = None,
        limits: HeldTokens | None = None,
        outcomes: OutcomeReports | None = None,
        observed: Callable[[str, float], ObservedLoad] | None = None,
    ) -> None:
        self._control = control
        self._index = ServerIndex(control)
        self._random = random
        self._observed = observed
        self._loss = loss or ServerLoss()
        self._limits = limits or HeldTokens()
        self._outcomes = outcomes or OutcomeReports(control)
        self._selectors: dict[str, ServerSelector] = {}
        self._counts: dict[str, int] = {}
        self._first_seen: dict[str, tuple[int, int, float]] = {}

    def candidates(self, target: str, now_s: float) -> list[Candidate]:
        """Return the servers that hold the version or service, none lost.

        During a roll-out of the version, only as many of them as its share
        of the work needs.
        """
        is_lost = self._loss.is_lost
        holders = [
            server
            for server in self._index.holders(target)
            if not is_lost(server.address)
        ]
        share = self._rollout_share(target)
        if share < 1.0:
            first = canary_servers([s.name for s in holders], share)
            holders = [s for s in holders if s.name in first]
        self._counts[target] = len(holders)
        return [
            Candidate(
                server.name,
                server.capacity,
                server.load.running,
                server.load.queued,
                self.report_age_s(server, now_s),
            )
            for server in holders
        ]

    def main_version(self, service: str) -> str:
        """Return the version that most servers of the service have.

        Return the service itself if they announce no or one version.
        """
        return self._index.main_version(service)

    def names_in(self, homes: Homes) -> set[str] | None:
        """Return the servers in these regions, None if anywhere will do."""
        if homes is None:
            return None
        servers = self._control.backend_servers().values()
        return {server.name for server in servers if server.region in homes}

    def unreached_services(self, now_s: float) -> frozenset[str]:
        """Return the services and models none of whose servers is reached.

        Those without any server that takes work are not among them.
        """
        if not self._loss.has_unreachable:
            return frozenset()
        in_force = self._control.in_force()
        servers = [
            server
            for server in self._control.backend_servers().values()
            if takes_new_work(in_force, server)
        ]
        unreached = {
            _service(name)
            for server in servers
            if self._loss.is_unreachable(server.address)
            for name in server.versions
        }
        for server in servers:
            if not unreached:
                break
            if not self._loss.is_unreachable(server.address):
                unreached -= self._serving(server, now_s)
        return frozenset(unreached)

    def _serving(self, server: Announcement, now_s: float) -> set[str]:
        """Return the server's services for which it is not ejected."""
        services = {_service(name) for name in server.versions}
        return {
            service
            for service in services
            if not self._selector(service).is_ejected(server.name, now_s)
        }

    def is_unreached(
        self, target: str, now_s: float, not_reached: Collection[str] = ()
    ) -> bool:
        """Return whether the target has servers and none is reached.

        ``not_reached`` names further servers that took no connection.
        """
        if not (self._loss.has_unreachable or not_reached):
            return False
        holders = self._index.holders(target)
        return self._reaches_none(target, holders, now_s, not_reached)

    def _reaches_none(
        self,
        target: str,
        servers: Sequence[Announcement],
        now_s: float,
        not_reached: Collection[str] = (),
    ) -> bool:
        """Return whether all servers are unreachable, ejected ones aside.

        These get no work and no dials, so nothing shows whether they can be
        reached. If all others cannot, they probably cannot either.
        """
        left = [
            server
            for server in servers
            if server.name not in not_reached
            and not self._loss.is_unreachable(server.address)
        ]
        is_ejected = self._selector(target).is_ejected
        return len(left) < len(servers) and all(
            is_ejected(server.name, now_s) for server in left
        )

    def choose(
        self,
        target: str,
        now_s: float,
        exclude: Collection[str],
        affinity_key: str = "",
        again: bool = False,
        among: Collection[str] | None = None,
        unreachable: Collection[str] = (),
        work: Work | None = None,
    ) -> Announcement:
        """Return the server for one attempt.

        With ``again`` an excluded server is chosen if there is no other,
        because its earlier attempt may have failed on a dead connection
        only; one that is ``unreachable`` only if all are. ``among`` limits
        the choice to the servers that it names. ``work`` is what the request
        needs. Raises `NoBackendServer` if no server can be chosen.
        """
        candidates = self.candidates(target, now_s)
        if among is not None:
            candidates = [c for c in candidates if c.name in among]
        closed = self._closed(candidates, now_s)
        if closed:
            if len(closed) == len(candidates):
                raise ServersLimited(
                    f"every backend server of {target} is at its limit",
                    LIMIT_RETRY_S,
                )
            candidates = [c for c in candidates if c.name not in closed]
        choose = self._engine_selector(target).choose
        key = affinity_key or None
        name = choose(candidates, now_s, key, frozenset(exclude), work)
        if name is None and again:
            left_out = frozenset(unreachable)
            name = choose(candidates, now_s, None, left_out, work)
            name = name or choose(candidates, now_s, work=work)
        server = self._control.backend_servers().get(name or "")
        if server is None:
            raise NoBackendServer(
                f"no backend server for {target}", SERVER_RETRY_S
            )
        return server

    def _closed(self, candidates: list[Candidate], now_s: float) -> set[str]:
        """Return the servers that name a limit and may get nothing now."""
        return set(self._limits.closed([c.name for c in candidates], now_s))

    def _awake(
        self, candidates: list[Candidate], now_s: float
    ) -> list[Candidate]:
        """Return those of the servers that do not rest, all if all do."""
        is_resting = self._limits.rests.is_resting
        awake = [c for c in candidates if not is_resting(c.name, now_s)]
        return awake or candidates

    def has_available_server(
        self, target: str, now_s: float, among: Collection[str] | None = None
    ) -> bool:
        """Return whether the target has a server that is not ejected.

        With ``among``, only the servers that it names count.
        """
        selector = self._selector(target)
        return any(
            not selector.is_ejected(candidate.name, now_s)
            and self._limits.is_open(candidate.name, now_s)
            for candidate in self.candidates(target, now_s)
            if among is None or candidate.name in among
        )

    def find_available(
        self, target: str, name: str, now_s: float
    ) -> Announcement | None:
        """Return the named server, None if it may not take work now."""
        if not name or self._selector(target).is_ejected(name, now_s):
            return None
        if not any(c.name == name for c in self.candidates(target, now_s)):
            return None
        return self._control.backend_servers().get(name)

    def candidate_count(self, target: str) -> int:
        """Return the number of candidates when they were last listed."""
        return self._counts.get(target, 0)

    def in_flight(self, target: str, name: str) -> int:
        """Return how many requests of this entry run on the server."""
        return self._selector(target).in_flight(name)

    def report_age_s(self, server: Announcement, now_s: float) -> float:
        """Return the age of the server's load report."""
        return server.load.age_s + self._held_for_s(server, now_s)

    def capacity(self, target: str, now_s: float) -> int:
        """Return how many requests the target's servers can run at once.

        Servers at rest run none, unless all rest: whether a request can wait
        for the first of them is decided for each (`ServerLimits.reserve`).
        """
        candidates = self._awake(self.candidates(target, now_s), now_s)
        return self._selector(target).capacity(candidates, now_s)

    def shared_room(self, target: str, now_s: float) -> SharedRoom | None:
        """Return the room at the target's servers, all entries counted.

        Ejected servers are left out. Return None where the servers do not
        all report their slowness, and for plain services: their calls have
        ended before the others' loads are known.
        """
        if self._observed is None or self._engine(target) is None:
            return None
        candidates = self._awake(self.candidates(target, now_s), now_s)
        return self._engine_selector(target).shared_room(candidates, now_s)

    def record_start(self, target: str, name: str, now_s: float) -> None:
        """Count a request that was written to the server."""
        self._limits.record_sent(name, now_s)
        self._selector(target).record_start(name, now_s)

    def record_first_byte(
        self, target: str, name: str, now_s: float, latency_s: float
    ) -> None:
        """Record the time to the first byte of an answer."""
        self._selector(target).record_first_byte(name, now_s, latency_s)

    def record_finish(
        self,
        target: str,
        name: str,
        now_s: float,
        latency_s: float,
        outcome: Outcome,
    ) -> None:
        """Record the end of an attempt, its duration and its outcome."""
        self._outcomes.record(name, outcome)
        self._selector(target).record_finish(name, now_s, latency_s, outcome)

    def record_brittle(
        self, target: str, max_refused_per_s: int, now_s: float
    ) -> None:
        """Record that a server of the target says that it is brittle."""
        entries = self._control.entry_count()
        self._selector(target).record_brittle(
            max_refused_per_s, entries, now_s
        )

    def is_over_limit(
        self, target: str, server: Announcement, now_s: float
    ) -> bool:
        """Return whether the server may get no request now.

        It names a limit, or is brittle.
        """
        if not self._limits.is_open(server.name, now_s):
            return True
        candidate = Candidate(server.name, server.capacity)
        return self._selector(target).is_over_limit(candidate, now_s)

    def record_cache_event(
        self, name: str, prefix_keys: list[str], stored: bool, now_s: float
    ) -> None:
        """Record prefixes that an engine has cached or evicted."""
        for selector in self._selectors.values():
            selector.cache_event(name, prefix_keys, stored, now_s)

    def forget_removed(self, now_s: float) -> None:
        """Drop the state of servers that have left and run no request."""
        known = self._control.backend_servers()
        for selector in self._selectors.values():
            for name, state in selector.metrics(now_s).items():
                if name not in known and not state.in_flight:
                    selector.forget(name)
        for name in [name for name in self._first_seen if name not in known]:
            del self._first_seen[name]

    def metrics(self, now_s: float) -> dict[str, dict[str, ServerMetrics]]:
        """Return the metrics of all servers by group and name."""
        return {
            group: selector.metrics(now_s)
            for group, selector in self._selectors.items()
        }

    def _rollout_share(self, target: str) -> float:
        """Return the version's roll-out share, 1.0 if it has none or 0."""
        model, _, version = target.partition(VERSION_SEPARATOR)
        rollout = self._control.in_force().shares.get(model)
        if rollout is None or rollout.version != version:
            return 1.0
        return rollout.share or 1.0

    def _selector(self, target: str) -> ServerSelector:
        group = _service(target)
        selector = self._selectors.get(group)
        if selector is None:
            selector = ServerSelector(self._random, self._observed)
            self._selectors[group] = selector
        return selector

    def _engine_selector(self, target: str) -> ServerSelector:
        """Return the target's selector, with the limits declared now."""
        selector = self._selector(target)
        if self._observed is not None:
            engine = self._engine(target)
            if engine is not None:
                selector.set_engine(engine.slots, engine.kv_tokens)
            else:
                selector.set_engine(0, 0)
            selector.set_place(self._control.entry_place())
        return selector

    def _engine(self, target: str) -> EngineTraits | None:
        """Return the declared engines of the target, None if it has none."""
        declarations = self._control.in_force().declarations
        service = declarations.services.get(_service(target))
        return service.engine if service is not None else None

    def _held_for_s(self, server: Announcement, now_s: float) -> float:
        # Announcements carry no time of arrival, so the age of a report
        # counts from when this entry first saw it.
        seen = self._first_seen.get(server.name)
        if seen is None or seen[:2] != (server.incarnation, server.sequence):
            seen = (server.incarnation, server.sequence, now_s)
            self._first_seen[server.name] = seen
        return now_s - seen[2]


def _service(target: str) -> str:
    """Return the model of a version, or the plain service itself."""
    return target.partition(VERSION_SEPARATOR)[0]


__all__ = ["LIMIT_RETRY_S", "Servers"]
