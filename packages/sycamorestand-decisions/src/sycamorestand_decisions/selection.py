"""Choice of a backend server among the candidates for one attempt.

The choice must cope with late load reports, one slow server, hot session keys
and servers that return. With round robin or least reported load, a slow server
keeps a full share of the requests, entries all follow the same reports that
are seconds old, and a hot key overloads the server that holds it.

Two servers are sampled and the one with the lower expected wait is chosen
(power of two choices). The expected wait is the estimated load times the
observed latency, divided by the server's capacity. Two samples are enough to
avoid loaded servers, and sampling keeps entries from making the same choices.
A server that is known to hold the session or prefix is preferred while its
expected wait is at most `AFFINITY_GAIN` times the lower of the two, plus a
small slack.

Servers that report how slow they are get their requests by the time at which
a request is expected to end there, see `server_room`. Four of them are drawn,
from a subset of the candidates that changes little, so that an entry keeps its
connections (`observed_servers`).
"""

from __future__ import annotations

from random import Random
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_decisions.affinity import CacheHints
from sycamorestand_decisions.affinity import HashRing
from sycamorestand_decisions.brittle_servers import BrittleServers
from sycamorestand_decisions.candidates import Candidate
from sycamorestand_decisions.candidates import Choice
from sycamorestand_decisions.candidates import Outcome
from sycamorestand_decisions.candidates import ServerMetrics
from sycamorestand_decisions.concurrency_limit import ConcurrencyLimit
from sycamorestand_decisions.ejection import MAX_EJECTED_SHARE
from sycamorestand_decisions.ejection import ServerHealth
from sycamorestand_decisions.ejection import Typical
from sycamorestand_decisions.load_estimate import estimated_load
from sycamorestand_decisions.load_estimate import OwnLoad
from sycamorestand_decisions.observed_servers import DRAWS
from sycamorestand_decisions.observed_servers import EQUAL_SHARE
from sycamorestand_decisions.observed_servers import ObservedServers
from sycamorestand_decisions.server_room import shared_room
from sycamorestand_decisions.server_room import Work

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from sycamorestand_decisions.server_room import Room
    from sycamorestand_decisions.shared_room import SharedRoom
    from sycamorestand_model.server_loads import ObservedLoad

SAMPLE_SIZE: Final = 2
# Random draws before all candidates are examined. With a third of them
# ejected, eight draws fail to find two usable servers once in several thousand
# choices.
MAX_DRAWS: Final = 8
# A cached prefix saves the prefill, about a third of the time of a typical
# request. A longer wait for the cache would cost more than it saves.
AFFINITY_GAIN: Final = 1.5
# At nearly idle servers the ratio of loads says little: one request more or
# less must not move a session away from its cache.
AFFINITY_SLACK: Final = 0.25
AFFINITY_OWNERS: Final = 2
# The typical latencies of the pool are computed again after this many answers,
# so that not every choice sorts the servers' averages.
TYPICAL_UPDATE_ANSWERS: Final = 32


class ServerSelector:
    """Load, limits and health of the backend servers that an entry uses.

    >>> selector = ServerSelector(Random(1))
    >>> selector.choose([Candidate("a", 4)], 0.0)
    'a'
    """

    def __init__(
        self,
        random: Random | None = None,
        observed: Callable[[str, float], ObservedLoad] | None = None,
    ) -> None:
        self._random = random or Random()
        self._is_observed = observed is not None
        self._observed = ObservedServers(observed)
        self._brittle = BrittleServers(self._random)
        self._servers: dict[str, _Server] = {}
        self._rings: dict[tuple[str, ...], HashRing] = {}
        self._ring = HashRing()
        self._indexed: Sequence[Candidate] = ()
        self._by_name: dict[str, Candidate] = {}
        self._hints = CacheHints()
        self._typical = Typical()
        self._answers = 0

    def choose(
        self,
        candidates: Sequence[Candidate],
        now_s: float,
        affinity_key: str | None = None,
        exclude: frozenset[str] = frozenset(),
        work: Work | None = None,
    ) -> str | None:
        """Return the server for one attempt, None if none is usable.

        ``work`` is what the request needs. It is used where a candidate
        reports its slowness; without it a typical request is assumed.

        The index by name is reused while the caller passes the same sequence.
        The caller must therefore make a new sequence when reports arrive, and
        must not change an existing one.
        """
        if self._observed.any_reports_slowness(candidates, now_s):
            if work is None or not work.is_call:
                return self._choose_soonest(
                    candidates,
                    now_s,
                    affinity_key,
                    exclude,
                    work or self._typical_work(),
                )
            exclude |= self._observed.disturbed(
                [c for c in candidates if c.name not in exclude], now_s
            )
        drawn = self._sample(candidates, now_s, exclude)
        if not drawn:
            return None
        scored = [(self._score(c, now_s), c.name) for c in drawn]
        best_score, best = min(scored)
        if affinity_key is None:
            return best
        bound = (
            best_score * AFFINITY_GAIN
            + AFFINITY_SLACK * self._latency_unit_s()
        )
        for candidate in self._affinity_candidates(
            candidates, affinity_key, now_s
        ):
            if not self._is_usable(candidate, now_s, exclude):
                continue
            if self._score(candidate, now_s) <= bound:
                return candidate.name
        return best

    def explain(
        self,
        candidates: Sequence[Candidate],
        now_s: float,
        exclude: frozenset[str] = frozenset(),
    ) -> tuple[Choice, ...]:
        """Return every candidate's score and state, lowest score first."""
        for candidate in candidates:
            self._sync_server(candidate)
        work = None
        if self._observed.any_reports_slowness(candidates, now_s):
            work = self._typical_work()
        scored = {c.name: self._score(c, now_s, work) for c in candidates}
        choices = [
            Choice(c.name, self._candidate_state(c, now_s, exclude), ())
            for c in sorted(candidates, key=lambda c: scored[c.name])
        ]
        scores = tuple(scored.items())
        return tuple(choice._replace(scores=scores) for choice in choices)

    def record_start(self, name: str, now_s: float) -> None:
        """Record that a request was sent to the server."""
        server = self._server(name)
        server.own.change(1, now_s)
        self._observed.record_change(name, 1, now_s)
        server.health.record_start(now_s)

    def record_first_byte(
        self, name: str, now_s: float, latency_s: float
    ) -> None:
        """Record the time to the first byte, which may eject the server."""
        server = self._server(name)
        server.has_answered = True
        server.limit.record_first_byte(now_s, latency_s)
        server.health.record_first_byte(latency_s, self._typical)
        self._eject_outlier(server, now_s)

    def record_finish(
        self, name: str, now_s: float, latency_s: float, outcome: Outcome
    ) -> None:
        """Record the end of an attempt, which may eject the server."""
        server = self._server(name)
        in_flight = server.own.in_flight
        server.own.change(-1, now_s)
        self._observed.record_change(name, -1, now_s)
        if outcome != "overloaded":
            capacity = server.limit.capacity
            self._brittle.record_end(name, capacity, latency_s, now_s)
        if outcome == "ok":
            server.limit.record_success(now_s, in_flight)
            server.health.record_success(now_s, latency_s, self._typical)
            self._update_typical()
        elif outcome == "overloaded":
            # A refusal shows that the server is full, not that it is faulty.
            # Ejecting it would move its load to the other servers.
            server.limit.record_overload(now_s)
            self._brittle.record_refusal(name, now_s)
        elif outcome in ("error", "timeout"):
            server.health.record_failure(now_s)
        if outcome == "cancelled" or outcome == "overloaded":
            server.health.probing = False
        self._eject_outlier(server, now_s)

    def record_brittle(
        self, max_refused_per_s: int, entries: int, now_s: float
    ) -> None:
        """Record that a server says that it is brittle.

        ``max_refused_per_s`` is how many requests it may turn away in a
        second, and ``entries`` the number of all entries.
        """
        self._brittle.record_answer(max_refused_per_s, entries, now_s)

    def is_over_limit(self, candidate: Candidate, now_s: float) -> bool:
        """Return whether a brittle server may get no request now.

        Requests that were chosen for it at the same time may have been sent
        since.
        """
        is_brittle = self._brittle.is_brittle(now_s)
        return is_brittle and not self._is_usable(
            candidate, now_s, frozenset()
        )

    def in_flight(self, name: str) -> int:
        """Return how many of this entry's requests run on the server."""
        return self._server(name).own.in_flight

    def is_ejected(self, name: str, now_s: float) -> bool:
        """Return whether the server is ejected and gets no work now."""
        return self._server(name).health.is_ejected(now_s)

    def limit(self, name: str) -> int:
        """Return how many requests this entry may run on the server."""
        return self._server(name).limit.limit

    def capacity(self, candidates: Sequence[Candidate], now_s: float) -> int:
        """Return the slots for admission control.

        The slots are the sum of the limits of servers that are not ejected.
        The call also applies the queues that servers report to their limits,
        so it must be made several times a second.
        """
        total = 0
        for candidate in candidates:
            server = self._sync_server(candidate)
            server.limit.record_report(
                now_s, candidate.running, candidate.queued, candidate.age_s
            )
            is_paused = self._is_paused(candidate, now_s)
            if not is_paused and not server.health.is_ejected(now_s):
                limit = self._limit_at(candidate, now_s)
                total += max(1, int(limit))
        return total

    def set_place(self, place: float) -> None:
        """Set where the subset begins, the entry's rank from 0 to below 1."""
        self._observed.set_place(place)

    def set_engine(self, slots: int, kv_tokens: int) -> None:
        """Set the declared limits of one engine, 0 where there is none."""
        self._observed.set_engine(slots, kv_tokens)

    def shared_room(
        self, candidates: Sequence[Candidate], now_s: float
    ) -> SharedRoom | None:
        """Return the room at the servers that are not ejected.

        Return None if none of them reports its slowness, or if one has
        answered and does not.
        """
        if not self._is_observed:
            return None
        rooms: list[tuple[Room, int]] = []
        any_reports = False
        for candidate in candidates:
            server = self._sync_server(candidate)
            if server.health.is_ejected(now_s):
                continue
            observed = self._observed.load(candidate.name, now_s)
            reports = observed.usual_slowness > 0
            if not reports and (observed.header or server.has_answered):
                return None
            any_reports = any_reports or reports
            room = self._observed.room(candidate, now_s)
            rooms.append((room, observed.own_requests))
        return shared_room(rooms) if any_reports else None

    def cache_event(
        self, name: str, prefix_keys: Sequence[str], stored: bool, now_s: float
    ) -> None:
        """Record a hint that the server stored or evicted prefixes."""
        self._hints.record_event(name, prefix_keys, stored, now_s)

    def forget(self, name: str) -> None:
        """Drop the state of a server that has left for good."""
        self._servers.pop(name, None)
        self._observed.forget(name)

    def metrics(self, now_s: float) -> dict[str, ServerMetrics]:
        """Return the current state of every server by its name."""
        return {
            name: ServerMetrics(
                in_flight=server.own.in_flight,
                limit=server.limit.limit,
                latency_s=server.health.latency_s,
                ejected=server.health.is_ejected(now_s),
            )
            for name, server in self._servers.items()
        }

    def _choose_soonest(
        self,
        candidates: Sequence[Candidate],
        now_s: float,
        affinity_key: str | None,
        exclude: frozenset[str],
        work: Work,
    ) -> str | None:
        """Return the server at which the request is expected to end first."""
        members = self._observed.members(
            candidates,
            now_s,
            lambda candidate: self._is_usable(candidate, now_s, exclude),
        )
        drawn = self._random.sample(members, min(DRAWS, len(members)))
        drawn = drawn or self._sample(candidates, now_s, exclude)
        if not drawn:
            return None
        scored = [(self._score(c, now_s, work), c.name) for c in drawn]
        best_s = min(scored)[0]
        if affinity_key is not None:
            for candidate in self._affinity_candidates(
                candidates, affinity_key, now_s
            ):
                if not self._is_usable(candidate, now_s, exclude):
                    continue
                owner_s = self._score(candidate, now_s, work)
                if owner_s < best_s * AFFINITY_GAIN:
                    return candidate.name
        bound_s = best_s * (1.0 + EQUAL_SHARE)
        return next(name for at_s, name in scored if at_s <= bound_s)

    def _typical_work(self) -> Work:
        return Work(0.0, self._latency_unit_s())

    def _sample(
        self,
        candidates: Sequence[Candidate],
        now_s: float,
        exclude: frozenset[str],
    ) -> list[Candidate]:
        drawn: list[Candidate] = []
        count = len(candidates)
        for _ in range(MAX_DRAWS if count > SAMPLE_SIZE else 0):
            candidate = candidates[int(self._random.random() * count)]
            if candidate in drawn:
                continue
            if self._is_usable(candidate, now_s, exclude):
                drawn.append(candidate)
                if len(drawn) == SAMPLE_SIZE:
                    return drawn
        usable = [c for c in candidates if self._is_usable(c, now_s, exclude)]
        if not usable and not self._brittle.is_brittle(now_s):
            # Admission control bounds the sum of the limits. If a limit has
            # shrunk since, a request that was admitted must not fail.
            usable = [
                c for c in candidates if self._is_eligible(c, now_s, exclude)
            ]
        if len(usable) <= SAMPLE_SIZE:
            return usable
        return self._random.sample(usable, SAMPLE_SIZE)

    def _is_usable(
        self, candidate: Candidate, now_s: float, exclude: frozenset[str]
    ) -> bool:
        if not self._is_eligible(candidate, now_s, exclude):
            return False
        if self._is_paused(candidate, now_s):
            return False
        in_flight = self._servers[candidate.name].own.in_flight
        return in_flight < 1 or in_flight < self._limit_at(candidate, now_s)

    def _is_paused(self, candidate: Candidate, now_s: float) -> bool:
        return self._brittle.is_paused(
            candidate.name, candidate.capacity, now_s
        )

    def _limit_at(self, candidate: Candidate, now_s: float) -> float:
        """Return how many requests this entry may run on the server now."""
        server = self._servers[candidate.name]
        limit = server.limit.limit * server.health.slow_start_factor(now_s)
        return min(limit, self._brittle.limit(candidate.capacity, now_s))

    def _is_eligible(
        self, candidate: Candidate, now_s: float, exclude: frozenset[str]
    ) -> bool:
        if candidate.name in exclude:
            return False
        return not self._sync_server(candidate).health.is_ejected(now_s)

    def _score(
        self, candidate: Candidate, now_s: float, work: Work | None = None
    ) -> float:
        """Return the expected wait, or with ``work`` the expected time."""
        server = self._servers[candidate.name]
        if work is not None:
            usual_s = self._typical.latency_s
            factor = server.health.slow_start_factor(now_s)
            return (
                self._observed.expected_s(candidate, now_s, work, usual_s)
                / factor
            )
        reported = candidate.running + candidate.queued
        load = estimated_load(server.own, reported, candidate.age_s, now_s)
        latency_s = server.health.expected_s(self._typical)
        slow_start_factor = server.health.slow_start_factor(now_s)
        return (
            (load + 1.0) / (candidate.capacity * slow_start_factor) * latency_s
        )

    def _latency_unit_s(self) -> float:
        return self._typical.latency_s or 1.0

    def _affinity_candidates(
        self,
        candidates: Sequence[Candidate],
        key: str,
        now_s: float,
    ) -> list[Candidate]:
        if candidates is not self._indexed:
            self._index(candidates)
        names = self._hints.holders(key, now_s, self._by_name)
        if not names:
            names = self._ring.owners(key, AFFINITY_OWNERS)
        return [self._by_name[name] for name in names]

    def _index(self, candidates: Sequence[Candidate]) -> None:
        self._indexed = candidates
        self._by_name = {c.name: c for c in candidates}
        names = tuple(self._by_name)
        ring = self._rings.get(names)
        if ring is None:
            if len(self._rings) >= MAX_RINGS:
                self._rings.clear()
            ring = self._rings[names] = HashRing()
            ring.set_names(names)
        self._ring = ring

    def _candidate_state(
        self, candidate: Candidate, now_s: float, exclude: frozenset[str]
    ) -> str:
        server = self._servers[candidate.name]
        if candidate.name in exclude:
            return "tried before"
        if server.health.is_ejected(now_s):
            return "ejected"
        if not self._is_usable(candidate, now_s, exclude):
            return "at its limit"
        if server.health.slow_start_factor(now_s) < 1.0:
            return "slow start"
        return "usable"

    def _update_typical(self) -> None:
        self._answers += 1
        if self._answers % TYPICAL_UPDATE_ANSWERS and self._typical.latency_s:
            return
        known = [s.health for s in self._servers.values() if s.health.samples]
        self._typical = Typical(
            latency_s=_median([health.latency_s for health in known]),
            first_byte_s=_median([health.first_byte_s for health in known]),
        )

    def _eject_outlier(self, server: _Server, now_s: float) -> None:
        if not server.health.should_eject(self._typical):
            return
        if server.health.half_open:
            server.health.eject(now_s)
            return
        ejected = sum(s.health.half_open for s in self._servers.values())
        if ejected + 1 <= len(self._servers) * MAX_EJECTED_SHARE:
            server.health.eject(now_s)

    def _server(self, name: str) -> _Server:
        server = self._servers.get(name)
        if server is None:
            server = self._servers[name] = _Server(1)
        return server

    def _sync_server(self, candidate: Candidate) -> _Server:
        server = self._server(candidate.name)
        if candidate.capacity != server.limit.capacity:
            server.limit.set_capacity(candidate.capacity)
        return server


# Sets of candidates differ by model and by which servers are leaving. More
# sets than this mean that servers come and go, and old rings are of no use.
MAX_RINGS: Final = 64


class _Server:
    """State of one backend server as this entry sees it."""

    def __init__(self, capacity: int) -> None:
        self.own = OwnLoad()
        self.has_answered = False
        self.limit = ConcurrencyLimit(capacity)
        self.health = ServerHealth()


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2] if values else 0.0


__all__ = [
    "Candidate",
    "Choice",
    "Outcome",
    "ServerMetrics",
    "ServerSelector",
]
