from __future__ import annotations

from collections import Counter
from random import Random

from sycamorestand_decisions.candidates import Candidate
from sycamorestand_decisions.locality import far_side
from sycamorestand_decisions.locality import LEAST_NEAR
from sycamorestand_decisions.locality import near_side
from sycamorestand_decisions.selection import ServerSelector

SLOTS = 12
SIDES = ("a", "b", "c", "d")


def fleet(a_side: int = 14) -> list[Candidate]:
    """Return servers in four data centres; the entry stands in ``a``."""
    return [
        Candidate(f"{side}{number}", SLOTS, near=side == "a")
        for side in SIDES
        for number in range(a_side if side == "a" else 14)
    ]


def sides(names: list[str]) -> Counter[str]:
    return Counter(name[0] for name in names)


class TestNearSide:
    def test_enough_near_servers_are_asked_first(self) -> None:
        servers = fleet()
        assert near_side(servers) == servers[:14]
        assert far_side(servers) == servers[14:]

    def test_few_near_servers_are_no_side_of_their_own(self) -> None:
        servers = fleet(a_side=LEAST_NEAR - 1)
        assert near_side(servers) is servers

    def test_one_data_centre_is_the_whole_fleet(self) -> None:
        servers = [Candidate(f"a{number}", SLOTS) for number in range(14)]
        assert near_side(servers) is servers


class TestChoice:
    def test_calm_requests_stay_in_the_data_centre(self) -> None:
        selector = ServerSelector(Random(1))
        servers = fleet()
        chosen = [
            selector.choose(servers, 0.0, f"subject-{number}") or ""
            for number in range(200)
        ]
        assert sides(chosen) == {"a": 200}

    def test_a_subject_keeps_its_server(self) -> None:
        selector = ServerSelector(Random(1))
        servers = fleet()
        chosen = {selector.choose(servers, 0.0, "one") for _ in range(50)}
        assert len(chosen) == 1

    def test_a_burst_in_one_data_centre_spreads(self) -> None:
        """One data centre's callers come in a burst, the others are calm.

        Each near server gets more requests than it has slots. Kept near,
        all of them would wait; those that would wait twice as long as
        elsewhere go there, and no near server is left idle for it.
        """
        selector = ServerSelector(Random(1))
        servers = fleet()
        chosen = []
        for number in range(14 * SLOTS * 2):
            name = selector.choose(servers, 0.0, f"subject-{number}") or ""
            selector.started(name, 0.0)
            chosen.append(name)
        spread = sides(chosen)
        assert spread["a"] > 14 * SLOTS / 2
        assert sum(spread[side] for side in "bcd") > 14 * SLOTS / 2
        busiest = Counter(chosen).most_common(1)[0][1]
        # The limits of all near servers are reached at once.
        assert busiest <= SLOTS + 1

    def test_lost_near_servers_are_passed_over(self) -> None:
        """All near servers refuse connections; those elsewhere are calm.

        The caller's request goes to another data centre at once, as it
        would without any preference.
        """
        selector = ServerSelector(Random(1))
        servers = fleet()
        tried = frozenset(server.name for server in near_side(servers))
        chosen = selector.choose(servers, 0.0, "one", tried)
        assert chosen is not None
        assert not chosen.startswith("a")

    def test_slow_near_servers_lose_their_requests(self) -> None:
        """A slow link or rack makes near answers three times slower."""
        selector = ServerSelector(Random(1))
        servers = fleet()
        for number in range(20):
            for server in servers:
                selector.started(server.name, number)
                took_s = 3.0 if server.near else 1.0
                selector.first_byte(server.name, number, took_s)
                selector.finished(server.name, number, took_s, "ok")
        chosen = [
            selector.choose(servers, 21.0, f"subject-{number}") or ""
            for number in range(100)
        ]
        assert sides(chosen)["a"] < 20
