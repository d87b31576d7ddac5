"""The soak's checks must see each kind of broken promise."""

from __future__ import annotations

from collections.abc import Callable
from signal import SIGTERM

import pytest

from sycamorestand_bench.fakes.engine import expected_text
from sycamorestand_bench.quickstart.caller import Answer
from sycamorestand_bench.quickstart.caller import Call
from sycamorestand_bench.quickstart.caller import Try
from sycamorestand_bench.soak.checks import check
from sycamorestand_bench.soak.checks import Run
from sycamorestand_bench.soak.checks import Seen
from sycamorestand_bench.soak.injector import Event
from sycamorestand_bench.soak.injector import PlannedStop
from sycamorestand_bench.soak.operating import Withdrawn
from sycamorestand_bench.system.changes import Accepted
from sycamorestand_bench.system.changes import Change

SMALL = "nest-small@3"
NEW = "nest-small@4"
ENTRY = "127.0.0.1:4000"
CALM = Try("answered", "", ENTRY, 1.0, 2.0)
CUT = Try("cut", "ReadError", ENTRY, 101.0, 102.0)
REFUSED = Try("not_run", "no_lease", ENTRY, 1.0, 1.1)

Spoil = Callable[[Seen], Seen]


def chat(key: str, version: str = SMALL, session: str = "s") -> Answer:
    call = Call("chat", "dalton", key, tokens=4, session=session)
    text = expected_text(version, key, 4)
    return Answer(call, "answered", "", text, version, tries=(CALM,))


def order(key: str, *tries: Try) -> Answer:
    call = Call("order", "dalton", key, path=f"/orders/{key}")
    return Answer(call, tries[-1].run, text=call.path, tries=tries)


def bill(key: str) -> dict[str, str]:
    return {"customer": "dalton", "request_key": key}


def seen() -> Seen:
    """Return a soak without a fault, which each test spoils in one way."""
    change = Change("c1", "withdraw", 1)
    return Seen(
        answers=[chat("a"), chat("b"), order("o", CALM)],
        runs=[
            Run("dalton", "a", SMALL, "POST"),
            Run("dalton", "b", SMALL, "POST"),
            Run("dalton", "o", "portal", "POST"),
        ],
        bills=[
            {"customer": "dalton", "request_key": key}
            for key in ("a", "b", "o")
        ],
        withdrawn=[Withdrawn(NEW, 10.0, 11.0, 0)],
        runs_after_leaving={"small-1": 0},
        accepted=[Accepted(change, 7, 1)],
        audits={"control-1": [{"change_id": "c1", "revision": 7}]},
        allowed={"dalton": frozenset({SMALL})},
        stops=[PlannedStop("entry-1", 100.0, 104.0, 0)],
        events=[Event(100.0, "stop", "entry-1")],
        addresses={"entry-1": ENTRY},
    )


def add_run(run: Run) -> Spoil:
    return lambda s: s._replace(runs=[*s.runs, run])


def add_answer(answer: Answer) -> Spoil:
    return lambda s: s._replace(answers=[*s.answers, answer])


def add_bill(key: str) -> Spoil:
    return lambda s: s._replace(bills=[*s.bills, bill(key)])


def drop_bill(s: Seen) -> Seen:
    return s._replace(bills=s.bills[1:])


def cut_text(s: Seen) -> Seen:
    half = s.answers[0]._replace(text=s.answers[0].text[:-1])
    return s._replace(answers=[half, *s.answers[1:]])


def refuse_what_ran(s: Seen) -> Seen:
    spoilt = add_answer(order("r", REFUSED, REFUSED))(s)
    return add_run(Run("dalton", "r", "portal", "POST"))(spoilt)


def cut_in_the_stop(s: Seen) -> Seen:
    cut = s.answers[0]._replace(tries=(CUT, CALM))
    return s._replace(answers=[cut, *s.answers[1:]])


FAULTS: list[tuple[str, Spoil]] = [
    ("allowed version", add_run(Run("dalton", "a", NEW, "POST"))),
    (
        "withdrawn version",
        lambda s: s._replace(withdrawn=[Withdrawn(NEW, 1.0, 2.0, 3)]),
    ),
    ("session keeps its version", add_answer(chat("a", NEW))),
    ("billed once", add_bill("a")),
    ("billed once", add_bill("x")),
    ("billed once", drop_bill),
    ("whole answer", cut_text),
    ("not run is true", refuse_what_ran),
    ("at most once", add_run(Run("dalton", "o", "portal", "POST"))),
    (
        "leaving server",
        lambda s: s._replace(runs_after_leaving={"small-1": 2}),
    ),
    ("planned stop", cut_in_the_stop),
    (
        "planned stop",
        lambda s: s._replace(stops=[PlannedStop("entry-1", 100.0, 104.0, -9)]),
    ),
    ("never reverts", lambda s: s._replace(audits={"control-1": []})),
    (
        "never reverts",
        lambda s: s._replace(
            audits={"control-1": [{"change_id": "c1", "revision": 6}]}
        ),
    ),
]


class TestCheck:
    def test_nothing_is_found_where_nothing_is(self) -> None:
        assert check(seen()) == []

    @pytest.mark.parametrize(("promise", "spoil"), FAULTS)
    def test_each_broken_promise_is_found(
        self, promise: str, spoil: Spoil
    ) -> None:
        found = {finding.promise for finding in check(spoil(seen()))}
        assert found == {promise}

    def test_a_cut_beside_another_fault_is_not_the_stop(self) -> None:
        # A backend server is harmed during the stop: the stream may have
        # broken off for that.
        harmed = Event(101.0, "server_cut", "small-1")
        spoilt = cut_in_the_stop(seen())
        spoilt = spoilt._replace(events=[*spoilt.events, harmed])
        assert check(spoilt) == []

    @pytest.mark.parametrize(("after_s", "count"), [(0.9, 0), (5.0, 1)])
    def test_a_stop_before_the_process_takes_signals(
        self, after_s: float, count: int
    ) -> None:
        # The interpreter is still importing: the signal ends it, and it
        # had begun nothing. Later on that status is a fault.
        start = Event(100.0 - after_s, "start", "entry-1")
        stop = PlannedStop("entry-1", 100.0, 100.1, -SIGTERM)
        spoilt = seen()._replace(stops=[stop], events=[start])
        assert len(check(spoilt)) == count
