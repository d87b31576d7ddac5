"""The backend servers that may take work, and the choice among them."""

from __future__ import annotations

from random import Random
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_decisions.canary import canary_servers
from sycamorestand_decisions.selection import Candidate
from sycamorestand_decisions.selection import ServerSelector
from sycamorestand_entry.errors import NoBackendServer

if TYPE_CHECKING:
    from collections.abc import Collection

    from sycamorestand_decisions.selection import Outcome
    from sycamorestand_decisions.selection import ServerMetrics
    from sycamorestand_entry.ports import ControlPort
    from sycamorestand_model.backend_servers import Announcement

SERVER_RETRY_S: Final = 1.0
SEPARATOR: Final = "@"


class Servers:
    """One selector for each model or service.

    What is slow or failing is judged against the servers of the same
    group: the medians of a small model's servers would make every server
    of a large one look like an outlier.
    """

    def __init__(self, control: ControlPort, random: Random) -> None:
        self._control = control
        self._random = random
        self._selectors: dict[str, ServerSelector] = {}
        self._counts: dict[str, int] = {}
        self._seen: dict[str, tuple[int, int, float]] = {}

    def candidates(self, target: str, now_s: float) -> list[Candidate]:
        """Return the servers that hold the version or service now.

        While a version is rolled out, only those that its share needs.
        """
        holders = [
            server
            for server in self._control.backend_servers().values()
            if target in server.versions and not server.leaving
        ]
        share = self._share(target)
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

    def choose(
        self,
        target: str,
        now_s: float,
        exclude: Collection[str],
        affinity_key: str = "",
        again: bool = False,
        among: Collection[str] | None = None,
    ) -> Announcement:
        """Return the server for one attempt, or refuse.

        With ``again`` an excluded one is taken where there is no other:
        it may have failed on a connection that had gone silent. With
        ``among`` only servers named there are taken.
        """
        candidates = self.candidates(target, now_s)
        if among is not None:
            candidates = [c for c in candidates if c.name in among]
        choose = self._selector(target).choose
        key = affinity_key or None
        name = choose(candidates, now_s, key, frozenset(exclude))
        if name is None and again:
            name = choose(candidates, now_s)
        server = self._control.backend_servers().get(name or "")
        if server is None:
            raise NoBackendServer(
                f"no backend server for {target}", SERVER_RETRY_S
            )
        return server

    def has_available_server(
        self, target: str, now_s: float, among: Collection[str] | None = None
    ) -> bool:
        """Tell whether a server of the target, or one of these, is not out."""
        selector = self._selector(target)
        return any(
            not selector.is_ejected(candidate.name, now_s)
            for candidate in self.candidates(target, now_s)
            if among is None or candidate.name in among
        )

    def find_available(
        self, target: str, name: str, now_s: float
    ) -> Announcement | None:
        """Return the named server where it may take work now."""
        if not name or self._selector(target).is_ejected(name, now_s):
            return None
        if not any(c.name == name for c in self.candidates(target, now_s)):
            return None
        return self._control.backend_servers().get(name)

    def candidate_count(self, target: str) -> int:
        """Return how many candidates there were at the last look."""
        return self._counts.get(target, 0)

    def in_flight(self, target: str, name: str) -> int:
        """Return how many requests this entry has running on a server."""
        return self._selector(target).in_flight(name)

    def report_age_s(self, server: Announcement, now_s: float) -> float:
        """Return how old the server's report of its load is."""
        return server.load.age_s + self._age_s(server, now_s)

    def capacity(self, target: str, now_s: float) -> int:
        """Return how many requests may run on the target's servers."""
        candidates = self.candidates(target, now_s)
        return self._selector(target).capacity(candidates, now_s)

    def record_start(self, target: str, name: str, now_s: float) -> None:
        """Count a request that was written to the server."""
        self._selector(target).record_start(name, now_s)

    def record_first_byte(
        self, target: str, name: str, now_s: float, latency_s: float
    ) -> None:
        """Learn from the time to the first byte."""
        self._selector(target).record_first_byte(name, now_s, latency_s)

    def record_finish(
        self,
        target: str,
        name: str,
        now_s: float,
        latency_s: float,
        outcome: Outcome,
    ) -> None:
        """Learn from the end of an attempt."""
        self._selector(target).record_finish(name, now_s, latency_s, outcome)

    def cache_event(
        self, name: str, prefix_keys: list[str], stored: bool, now_s: float
    ) -> None:
        """Take in what an engine says of its prefix cache."""
        for selector in self._selectors.values():
            selector.cache_event(name, prefix_keys, stored, now_s)

    def forget_gone(self, now_s: float) -> None:
        """Drop what is known of servers that are gone and idle."""
        known = self._control.backend_servers()
        for selector in self._selectors.values():
            for name, state in selector.metrics(now_s).items():
                if name not in known and not state.in_flight:
                    selector.forget(name)
        for name in [name for name in self._seen if name not in known]:
            del self._seen[name]

    def metrics(self, now_s: float) -> dict[str, dict[str, ServerMetrics]]:
        """Return what each group's selector knows of its servers."""
        return {
            group: selector.metrics(now_s)
            for group, selector in self._selectors.items()
        }

    def _share(self, target: str) -> float:
        """Return the share of the work that a version gets by a roll-out."""
        model, _, version = target.partition(SEPARATOR)
        rollout = self._control.in_force().shares.get(model)
        if rollout is None or rollout.version != version:
            return 1.0
        return rollout.share or 1.0

    def _selector(self, target: str) -> ServerSelector:
        group = target.partition(SEPARATOR)[0]
        selector = self._selectors.get(group)
        if selector is None:
            selector = ServerSelector(self._random)
            self._selectors[group] = selector
        return selector

    def _age_s(self, server: Announcement, now_s: float) -> float:
        # The port shows announcements without the time they came at, so
        # a report is as old as this entry has known it.
        seen = self._seen.get(server.name)
        if seen is None or seen[:2] != (server.incarnation, server.sequence):
            seen = (server.incarnation, server.sequence, now_s)
            self._seen[server.name] = seen
        return now_s - seen[2]


__all__ = ["Servers"]
