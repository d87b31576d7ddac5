"""What entries send a server that names a limit, at 10 and 330 entries.

The entries' held tokens and the leader's buckets are the product's; the links
between them are modelled by a delay.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Final
from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st
import pytest

from sycamorestand_decisions.server_limits import BURST
from sycamorestand_decisions.server_limits import HeldTokens
from sycamorestand_decisions.server_limits import MAX_LIMITED_SERVERS
from sycamorestand_decisions.server_limits import NO_LIMIT
from sycamorestand_decisions.server_limits import TOKEN_LIFETIME_S
from sycamorestand_decisions.server_limits import TokenBuckets

WINDOW_S: Final = 4.0
RATIO: Final = 1.5
SLACK: Final = 5.0
ASK_S: Final = 0.1


class Size(NamedTuple):
    """An installation; ``entry_of`` draws the entry of a request."""

    entries: int
    servers: int
    limit_per_s: float
    requests_per_s: float
    duration_s: float = 30.0


def play(
    size: Size,
    entry_of: Callable[[Random], int],
    leader_lost_s: float = -1.0,
) -> dict[str, list[float]]:
    """Return when each server got requests."""
    random = Random(1)
    names = [f"s-{number}" for number in range(size.servers)]
    buckets = TokenBuckets()
    held = [HeldTokens() for _ in range(size.entries)]
    for each in held:
        for name in names:
            each.set_limit(name, size.limit_per_s)
    asked_s = [-ASK_S] * size.entries
    demand = [0] * size.entries
    sent: dict[str, list[float]] = {name: [] for name in names}
    at_s = 0.0
    while at_s < size.duration_s:
        at_s += random.expovariate(size.requests_per_s)
        if 0 <= leader_lost_s <= at_s:
            buckets, leader_lost_s = TokenBuckets(), -1.0
        number = entry_of(random)
        demand[number] += 1
        if at_s - asked_s[number] >= ASK_S:
            asked_s[number] = at_s
            for name in names:
                buckets.set_limit(name, size.limit_per_s, at_s)
            wanted, demand[number] = min(32, demand[number]), 0
            for _ in range(wanted):
                granted = buckets.grant(names, at_s)
                if granted:
                    held[number].add(granted, at_s)
        free = [n for n in names if held[number].is_open(n, at_s)]
        if free:
            name = random.choice(free)
            held[number].record_sent(name, at_s)
            sent[name].append(at_s)
    return sent


def most(times_s: list[float]) -> int:
    return max(sum(a <= b < a + WINDOW_S for b in times_s) for a in times_s)


def any_of(entries: int) -> Callable[[Random], int]:
    return lambda random: random.randrange(entries)


SIZES: Final = (
    Size(10, 6, 1.2, 40.0),
    Size(10, 5, 1.1, 15.0),
    Size(10, 3, 0.3, 40.0),
    Size(330, 30, 0.5, 300.0),
    Size(330, 3, 1.0, 300.0),
)


class TestSharing:
    @pytest.mark.parametrize("size", SIZES, ids=str)
    def test_limit_is_kept_and_used(self, size: Size) -> None:
        """Each entry kept the limit for itself, ten times as much in all."""
        sent = play(size, any_of(size.entries))
        for times_s in sent.values():
            allowed = RATIO * size.limit_per_s * WINDOW_S + SLACK
            assert most(times_s) <= allowed
        offered = size.limit_per_s * size.servers * size.duration_s
        assert sum(map(len, sent.values())) >= 0.8 * offered

    def test_one_entry_gets_what_the_others_do_not_use(self) -> None:
        """With equal parts nine tenths of the limit were lost."""
        size = Size(10, 5, 1.1, 15.0)
        sent = play(size, lambda random: 3)
        offered = size.limit_per_s * size.servers * size.duration_s
        assert sum(map(len, sent.values())) >= 0.8 * offered

    def test_new_leader_keeps_the_sum(self) -> None:
        """Each new leader began with a second's worth for everybody."""
        size = Size(330, 3, 1.0, 300.0)
        sent = play(size, any_of(size.entries), leader_lost_s=10.0)
        allowed = RATIO * size.limit_per_s * WINDOW_S + SLACK
        assert all(most(times_s) <= allowed for times_s in sent.values())


class TestBuckets:
    @given(
        limit=st.floats(0.05, 50.0),
        pauses_s=st.lists(st.floats(0.0, 3.0), min_size=1, max_size=60),
    )
    def test_no_window_has_more_than_the_limit_and_a_burst(
        self, limit: float, pauses_s: list[float]
    ) -> None:
        buckets = TokenBuckets()
        now_s, granted_s = 0.0, []
        for pause_s in pauses_s:
            now_s += pause_s
            buckets.set_limit("s", limit, now_s)
            while buckets.grant(["s"], now_s):
                granted_s.append(now_s)
        for first_s in granted_s:
            count = sum(
                first_s <= at_s <= first_s + WINDOW_S for at_s in granted_s
            )
            assert count <= limit * WINDOW_S + BURST + 1e-6

    def test_lower_limit_counts_at_once(self) -> None:
        buckets = TokenBuckets()
        buckets.set_limit("s", 10.0, 0.0)
        buckets.set_limit("s", 0.1, 0.0)
        granted = [buckets.grant(["s"], now_s) for now_s in range(10)]
        assert granted.count("s") <= 2

    def test_limit_of_nothing_is_asked_now_and_then(self) -> None:
        """Nobody heard that the server took requests again."""
        buckets = TokenBuckets()
        buckets.set_limit("s", 0.0, 0.0)
        granted = [buckets.grant(["s"], now_s) for now_s in range(60)]
        assert 1 <= granted.count("s") <= 4

    def test_limit_that_is_taken_back_has_no_bucket(self) -> None:
        buckets = TokenBuckets()
        buckets.set_limit("s", 1.0, 0.0)
        buckets.set_limit("s", NO_LIMIT, 0.0)
        assert len(buckets) == 0

    def test_table_is_bounded(self) -> None:
        buckets = TokenBuckets()
        for number in range(2 * MAX_LIMITED_SERVERS):
            buckets.set_limit(f"s-{number}", 1.0, 0.0)
        assert len(buckets) == MAX_LIMITED_SERVERS


class TestHeld:
    def test_token_is_for_one_request_and_not_for_long(self) -> None:
        """Tokens kept for later were used all at once."""
        held = HeldTokens()
        held.set_limit("s", 1.0)
        held.add("s", 0.0)
        held.add("s", 0.0)
        held.record_sent("s", 0.0)
        assert held.is_open("s", TOKEN_LIFETIME_S / 2)
        assert not held.is_open("s", 2 * TOKEN_LIFETIME_S)

    def test_server_without_a_limit_is_always_open(self) -> None:
        held = HeldTokens()
        held.set_limit("s", 1.0)
        held.set_limit("s", NO_LIMIT)
        held.record_sent("s", 0.0)
        assert held.is_open("s", 0.0)
        assert held.closed(["s"], 0.0) == []

    def test_servers_that_left_are_forgotten(self) -> None:
        held = HeldTokens()
        held.set_limit("s", 1.0)
        held.set_limit("t", 1.0)
        held.forget_except(["t"])
        assert set(held.limits_per_s) == {"t"}
