"""Servers that are cold, by what an entry is told and what it must presume."""

from __future__ import annotations

from collections import defaultdict
from random import Random
from typing import NamedTuple

import pytest

from sycamorestand_decisions.cold_servers import ColdServers
from sycamorestand_decisions.server_limits import HeldTokens
from sycamorestand_decisions.server_limits import rate_within
from sycamorestand_decisions.server_limits import TokenBuckets
from sycamorestand_model.backend_servers import Announcement

SERVER = Announcement("s-1", "service", "10.0.0.1:80", "dalton", 1, 1, ("s",))
# The users' rule: in any second this many times the declared rate, and this
# many requests more.
OVERSHOOT = 1.5
SLACK = 5.0
WINDOW_S = 1.0


def cold_until_s(cold: ColdServers) -> float:
    return cold.until_s().get("s-1", 0.0)


class TestTold:
    def test_announced_time_counts_from_its_arrival(self) -> None:
        cold = ColdServers()
        cold.update({"s-1": SERVER._replace(cold_left_s=3.0)}, 10.0)
        cold.update({"s-1": SERVER._replace(cold_left_s=3.0)}, 11.0)
        assert cold_until_s(cold) == 13.0

    def test_server_that_turns_cold_again_is_cold(self) -> None:
        cold = ColdServers()
        cold.update({"s-1": SERVER}, 10.0)
        assert cold_until_s(cold) == 0.0
        again = SERVER._replace(sequence=2, cold_left_s=2.0)
        cold.update({"s-1": again}, 11.0)
        assert cold_until_s(cold) == 13.0


class TestPresumed:
    def test_server_that_is_back_is_cold_until_it_says_otherwise(
        self,
    ) -> None:
        """All entries sent the next request to a server that looked idle."""
        cold = ColdServers()
        cold.update({"s-1": SERVER}, 10.0)
        cold.presume([SERVER], 10.0)
        assert cold_until_s(cold) == 10.0 + SERVER.lease_s / 2
        cold.update({"s-1": SERVER}, 10.5)
        assert cold_until_s(cold) > 10.5
        cold.update({"s-1": SERVER._replace(incarnation=2)}, 10.6)
        assert cold_until_s(cold) == 0.0

    def test_server_that_is_gone_is_forgotten(self) -> None:
        cold = ColdServers()
        cold.presume([SERVER], 10.0)
        cold.update({}, 10.1)
        assert cold.until_s() == {}


class Load(NamedTuple):
    """Requests of all entries at servers that are back at once."""

    entries: int
    servers: int
    requests_per_s: float
    rate_per_s: float
    delay_s: float = 0.05


def play(load: Load, new_leader_at_s: float | None = None) -> dict[str, list]:
    """Return the times at which requests reached each server in 4 s."""
    random = Random(load.entries)
    limit_per_s = rate_within(load.rate_per_s * OVERSHOOT + SLACK, WINDOW_S)
    names = [f"s-{number}" for number in range(load.servers)]
    held = [HeldTokens() for _ in range(load.entries)]
    for tokens in held:
        tokens.set_cold(dict.fromkeys(names, 99.0))
    buckets = TokenBuckets()
    arrivals: dict[str, list[float]] = defaultdict(list)
    answers: list[tuple[float, int, str]] = []
    step_s = 1 / load.requests_per_s
    for number in range(int(4.0 / step_s)):
        now_s = number * step_s
        if new_leader_at_s is not None and now_s >= new_leader_at_s:
            buckets, new_leader_at_s = TokenBuckets(), None
        while answers and answers[0][0] <= now_s:
            _, entry, server = answers.pop(0)
            held[entry].add(server, now_s)
        entry = random.randrange(load.entries)
        closed = held[entry].closed(names, now_s)
        is_open = [name for name in names if name not in closed]
        if is_open:
            name = random.choice(is_open)
            held[entry].record_sent(name, now_s)
            arrivals[name].append(now_s)
        for name in closed:
            buckets.set_limit(name, limit_per_s, now_s)
        granted = buckets.grant(closed, now_s)
        if granted:
            answers.append((now_s + load.delay_s, entry, granted))
    return arrivals


def most_in_window(times_s: list[float]) -> int:
    return max(
        sum(first_s <= at_s < first_s + WINDOW_S for at_s in times_s)
        for first_s in times_s
    )


class TestAllEntries:
    @pytest.mark.parametrize("entries", [10, 76, 330])
    @pytest.mark.parametrize("new_leader_at_s", [None, 1.2])
    def test_data_centre_that_is_back_in_a_burst_gets_what_it_bears(
        self, entries: int, new_leader_at_s: float | None
    ) -> None:
        """Each entry kept to a limit, and the sum ended the servers again."""
        load = Load(entries, 15, 2_000.0, 8.9)
        arrivals = play(load, new_leader_at_s)
        for times_s in arrivals.values():
            assert most_in_window(times_s) <= 8.9 * OVERSHOOT + SLACK

    @pytest.mark.parametrize("entries", [10, 76, 330])
    def test_what_it_bears_is_used(self, entries: int) -> None:
        load = Load(entries, 15, 2_000.0, 8.9)
        arrived = sum(map(len, play(load).values()))
        assert arrived >= 0.7 * 15 * 8.9 * 4.0

    @pytest.mark.parametrize("rate_per_s", [0.5, 2.0, 8.9, 40.0])
    def test_limit_keeps_every_window_within_the_bound(
        self, rate_per_s: float
    ) -> None:
        load = Load(10, 2, 3_000.0, rate_per_s, 0.3)
        for times_s in play(load, 1.7).values():
            assert most_in_window(times_s) <= rate_per_s * OVERSHOOT + SLACK
