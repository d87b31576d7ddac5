from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from sycamorestand_decisions.ejection import FIRST_EJECTION_S
from sycamorestand_decisions.selection import Candidate
from sycamorestand_decisions.selection import ServerSelector
from sycamorestand_decisions.server_room import Work
from sycamorestand_model.server_loads import LoadHeader
from sycamorestand_model.server_loads import ObservedLoad

NINE = [Candidate(f"s{index}", 16) for index in range(9)]


def selector_of(seed: int = 1) -> ServerSelector:
    return ServerSelector(Random(seed))


def record_attempt(
    selector: ServerSelector,
    name: str,
    now_s: float,
    latency_s: float = 1.0,
    outcome: str = "ok",
) -> None:
    selector.record_start(name, now_s)
    if outcome == "ok":
        selector.record_first_byte(name, now_s, latency_s / 10)
    selector.record_finish(name, now_s, latency_s, outcome)  # type: ignore


# Of the selector before servers told their slowness, with seed 7.
FORMER_CHOICES = "70690071b503926a289387a359196376a907a405"
FORMER_NEXT_DRAW = 0.058954419331310404


class TestServersThatTellNothing:
    @pytest.mark.parametrize("header", [None, LoadHeader(1, 0, 4)])
    def test_choices_and_draws_are_the_former_ones(
        self, header: LoadHeader | None
    ) -> None:
        """Services whose servers tell no slowness are served as before."""
        observed = ObservedLoad(header, 0.1, 0.0, 1, 0, 5, 0, 0.1)
        random = Random(7)
        selector = ServerSelector(random, lambda name, now_s: observed)
        names = ""
        for step in range(40):
            now_s = step / 4
            candidates = [
                Candidate(f"{n:x}", 4, n % 3, n % 2, 0.5) for n in range(12)
            ]
            key = f"k{step % 5}" if step % 3 == 0 else None
            work = Work(0.1, 1.0)
            name = selector.choose(candidates, now_s, key, work=work)
            assert name is not None
            names += name
            selector.record_start(name, now_s)
            if step % 2:
                selector.record_first_byte(name, now_s, 0.1)
                selector.record_finish(name, now_s, 0.2, "ok")
        assert names == FORMER_CHOICES
        assert random.random() == FORMER_NEXT_DRAW


class TestExpectedTime:
    def test_affinity_owner_is_kept_up_to_a_bound(self) -> None:
        """The owner may lie outside the servers that the entry draws from."""
        names = [f"s{number}" for number in range(45)]
        slowness = dict.fromkeys(names, 1.0)

        def observed(name: str, now_s: float) -> ObservedLoad:
            header = LoadHeader(0, 0, 16, slowness[name])
            return ObservedLoad(header, 0.1, slowness[name], 0, 0, 0, 0, 9.0)

        selector = ServerSelector(Random(1), observed)
        candidates = [Candidate(name, 16) for name in names]
        owners = {
            selector.choose(candidates, 0.0, f"key{number}")
            for number in range(200)
        }
        assert len(owners) > 30
        owner = selector.choose(candidates, 0.0, "key1")
        assert owner is not None
        slowness[owner] = 1.45
        assert selector.choose(candidates, 0.0, "key1") == owner
        slowness[owner] = 1.6
        assert selector.choose(candidates, 0.0, "key1") != owner

    def test_ejected_server_is_not_chosen(self) -> None:
        """One that says that it is idle and fast fails every request."""

        def observed(name: str, now_s: float) -> ObservedLoad:
            slowness = 0.1 if name == "s0" else 1.0
            header = LoadHeader(0, 0, 16, slowness)
            return ObservedLoad(header, 0.0, slowness, 0, 0, 0, 0, 9.0)

        selector = ServerSelector(Random(1), observed)
        assert selector.choose(NINE, 0.0, work=Work(0.1, 1.0)) is not None
        for _ in range(6):
            record_attempt(selector, "s0", 0.0, 0.1, "error")
        chosen = {
            selector.choose(NINE, 1.0, work=Work(0.1, 1.0)) for _ in range(50)
        }
        assert "s0" not in chosen
        assert len(chosen) > 4


class TestChoose:
    def test_no_candidate_gives_none(self) -> None:
        assert selector_of().choose([], 0.0) is None

    def test_excluded_servers_are_not_chosen(self) -> None:
        selector = selector_of()
        tried = frozenset(c.name for c in NINE[1:])
        for _ in range(20):
            assert selector.choose(NINE, 0.0, None, tried) == "s0"
        everything = frozenset(c.name for c in NINE)
        assert selector.choose(NINE, 0.0, None, everything) is None

    def test_own_requests_spread_under_a_stale_report(self) -> None:
        """The last report, two seconds old, shows one server idle.

        By the report alone, every request would go to that server until the
        next report. The entry's own running requests count immediately, so
        requests spread over all servers.
        """
        selector = selector_of()
        candidates = [
            Candidate(c.name, 16, 0 if c.name == "s0" else 4, 0, 2.0)
            for c in NINE
        ]
        counts: Counter[str] = Counter()
        for _ in range(45):
            name = selector.choose(candidates, 0.0)
            assert name is not None
            selector.record_start(name, 0.0)
            counts[name] += 1
        assert counts["s0"] <= 15
        assert len(counts) == 9

    def test_a_slow_server_gets_few_requests(self) -> None:
        selector = selector_of()
        for candidate in NINE:
            slow = candidate.name == "s0"
            for _ in range(5):
                record_attempt(
                    selector, candidate.name, 0.0, 2.5 if slow else 1.0
                )
        counts: Counter[str | None] = Counter()
        for _ in range(90):
            name = selector.choose(NINE, 0.0)
            assert name is not None
            selector.record_start(name, 0.0)
            counts[name] += 1
        assert counts["s0"] <= 6

    def test_a_limit_that_shrank_fails_no_request(self) -> None:
        """A request was admitted, then the limit of every server shrank.

        The caller must not get an error for a request that no server refused.
        A server beyond its limit is still chosen and queues one request for a
        moment.
        """
        selector = selector_of()
        one = [Candidate("s0", 1)]
        selector.record_start("s0", 0.0)
        assert selector.choose(one, 0.0) == "s0"


class TestAffinity:
    def test_a_key_keeps_its_server(self) -> None:
        selector = selector_of()
        chosen = {selector.choose(NINE, 0.0, "session-7") for _ in range(20)}
        assert len(chosen) == 1

    def test_a_hot_key_does_not_overload_its_server(self) -> None:
        """Every request carries the same session key.

        Affinity without a bound sends all requests to one server until it
        reaches its limit. Other servers must take over once it is clearly
        busier.
        """
        selector = selector_of()
        counts: Counter[str] = Counter()
        for _ in range(72):
            name = selector.choose(NINE, 0.0, "hot")
            assert name is not None
            selector.record_start(name, 0.0)
            counts[name] += 1
        assert max(counts.values()) <= 20

    def test_a_cache_event_names_a_better_server(self) -> None:
        selector = selector_of()
        home = selector.choose(NINE, 0.0, "prefix")
        other = "s1" if home != "s1" else "s2"
        selector.cache_event(other, ["prefix"], True, 0.0)
        assert selector.choose(NINE, 1.0, "prefix") == other

    def test_an_event_for_a_lost_server_is_ignored(self) -> None:
        """The event that a prefix was stored arrives after its server left.

        Hints are advisory: the key must go to its place on the hash ring.
        """
        selector = selector_of()
        home = selector.choose(NINE, 0.0, "prefix")
        selector.cache_event("gone", ["prefix"], True, 0.0)
        assert selector.choose(NINE, 1.0, "prefix") == home

    def test_an_old_hint_is_forgotten(self) -> None:
        selector = selector_of()
        home = selector.choose(NINE, 0.0, "prefix")
        other = "s1" if home != "s1" else "s2"
        selector.cache_event(other, ["prefix"], True, 0.0)
        assert selector.choose(NINE, 500.0, "prefix") == home


class TestEjection:
    def test_a_failing_server_is_ejected_then_probed_once(self) -> None:
        """A server fails five requests in a row.

        After the ejection ends, one request probes the server and the others
        wait for its outcome. A server that is still broken must cost one
        request, not a burst of requests.
        """
        selector = selector_of()
        for candidate in NINE:
            record_attempt(selector, candidate.name, 0.0)
        for _ in range(5):
            record_attempt(selector, "s0", 1.0, outcome="error")
        names = {selector.choose(NINE, 2.0) for _ in range(200)}
        assert "s0" not in names
        later_s = 2.0 + FIRST_EJECTION_S
        only = [NINE[0]]
        assert selector.choose(only, later_s) == "s0"
        selector.record_start("s0", later_s)
        assert selector.choose(only, later_s) is None

    def test_a_server_starts_slowly_after_a_good_probe(self) -> None:
        selector = selector_of()
        for candidate in NINE:
            record_attempt(selector, candidate.name, 0.0)
        for _ in range(5):
            record_attempt(selector, "s0", 1.0, outcome="error")
        back_s = 2.0 + FIRST_EJECTION_S
        record_attempt(selector, "s0", back_s)
        at_once = selector.capacity(NINE, back_s)
        assert at_once < 9 * 16
        assert selector.capacity(NINE, back_s + 60.0) == 9 * 16

    def test_answers_from_before_the_ejection_are_no_probes(self) -> None:
        """Five requests fail while two more run on the server.

        One of these succeeds, one fails. Neither is the probe: the server must
        stay ejected for its time and then get a single request.
        """
        selector = selector_of()
        for candidate in NINE:
            record_attempt(selector, candidate.name, 0.0)
        for _ in range(2):
            selector.record_start("s0", 0.5)
        for _ in range(5):
            record_attempt(selector, "s0", 1.0, outcome="error")
        selector.record_finish("s0", 2.0, 1.5, "ok")
        selector.record_finish("s0", 3.0, 2.5, "error")
        only = [NINE[0]]
        assert selector.choose(only, FIRST_EJECTION_S) is None
        probed_s = 1.1 + FIRST_EJECTION_S
        assert selector.choose(only, probed_s) == "s0"
        selector.record_start("s0", probed_s)
        assert selector.choose(only, probed_s) is None

    def test_no_more_than_a_third_is_ejected(self) -> None:
        """Every server fails at once, as when the network is down.

        Ejecting all of them would prolong a short fault: six of nine stay in
        use.
        """
        selector = selector_of()
        for candidate in NINE:
            record_attempt(selector, candidate.name, 0.0)
            for _ in range(8):
                record_attempt(selector, candidate.name, 1.0, outcome="error")
        metrics = selector.metrics(2.0)
        assert sum(m.ejected for m in metrics.values()) == 3

    def test_overload_lowers_the_limit_without_ejection(self) -> None:
        selector = selector_of()
        selector.capacity(NINE, 0.0)
        for second in range(1, 20):
            record_attempt(selector, "s0", float(second), outcome="overloaded")
        assert selector.limit("s0") < 16
        assert not selector.metrics(20.0)["s0"].ejected


class TestLimit:
    def test_falls_with_a_queue_that_the_server_reports(self) -> None:
        """Three entries each send a server its whole capacity.

        The server reports a queue. Every entry must lower its limit by the
        same factor until all entries fit together, once for each report.
        """
        selector = selector_of()
        full = [Candidate("s0", 16, 16, 32, 0.2)]
        selector.capacity(full, 10.0)
        assert selector.limit("s0") == 9
        selector.capacity(full, 10.1)
        assert selector.limit("s0") == 9

    def test_grows_back_while_in_use(self) -> None:
        selector = selector_of()
        selector.capacity([Candidate("s0", 16, 16, 32, 0.2)], 10.0)
        for _ in range(9):
            selector.record_start("s0", 11.0)
        for step in range(300):
            selector.record_start("s0", 12.0)
            selector.record_finish("s0", 12.0 + step, 1.0, "ok")
        assert selector.limit("s0") > 9


class TestExplain:
    def test_lists_every_candidate_with_its_state(self) -> None:
        selector = selector_of()
        choices = selector.explain(NINE, 0.0, frozenset({"s3"}))
        states = {choice.name: choice.reason for choice in choices}
        assert len(states) == 9
        assert states["s3"] == "tried before"
