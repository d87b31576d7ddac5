"""Tests that the soak's checks find each kind of broken promise."""

from __future__ import annotations

from collections.abc import Callable
from signal import SIGTERM

import pytest

from sycamorestand_bench.fakes.engine import expected_text
from sycamorestand_bench.quickstart.caller import Answer
from sycamorestand_bench.quickstart.caller import Attempt
from sycamorestand_bench.quickstart.caller import Call
from sycamorestand_bench.soak.checks import check
from sycamorestand_bench.soak.checks import Observations
from sycamorestand_bench.soak.checks import Run
from sycamorestand_bench.soak.injector import Event
from sycamorestand_bench.soak.injector import PlannedStop
from sycamorestand_bench.soak.operator import ClosedPeriod
from sycamorestand_bench.system.changes import Accepted
from sycamorestand_bench.system.changes import Change

SMALL = "nest-small@3"
NEW = "nest-small@4"
ENTRY = "127.0.0.1:4000"
BEFORE_STOP = Attempt("answered", "", ENTRY, 1.0, 2.0)
CUT = Attempt("cut", "ReadError", ENTRY, 101.0, 102.0)
REFUSED = Attempt("not_run", "no_lease", ENTRY, 1.0, 1.1)

# More than may be sent on after the fifth end, in a calm period.
ENDS_S = [200.0, 201.0, 202.0, 203.0, 204.0, 208.0, 209.0, 210.0, 211.0]
AddFault = Callable[[Observations], Observations]


def chat(key: str, version: str = SMALL, session: str = "s") -> Answer:
    call = Call("chat", "dalton", key, tokens=4, session=session)
    text = expected_text(version, key, 4)
    return Answer(call, "answered", "", text, version, tries=(BEFORE_STOP,))


def order(key: str, *tries: Attempt) -> Answer:
    call = Call("order", "dalton", key, path=f"/orders/{key}")
    return Answer(call, tries[-1].run, text=call.path, tries=tries)


def bill(key: str) -> dict[str, str]:
    return {"customer": "dalton", "request_key": key}


def faultless_observations() -> Observations:
    """Return observations without a finding, to which tests add one fault."""
    change = Change("c1", "withdraw", 1)
    return Observations(
        answers=[chat("a"), chat("b"), order("o", BEFORE_STOP)],
        runs=[
            Run("dalton", "a", SMALL, "POST"),
            Run("dalton", "b", SMALL, "POST"),
            Run("dalton", "o", "portal", "POST"),
        ],
        bills=[
            {"customer": "dalton", "request_key": key}
            for key in ("a", "b", "o")
        ],
        withdrawn=[ClosedPeriod(NEW, 10.0, 11.0, 0)],
        runs_after_leaving={"small-1": 0},
        accepted=[Accepted(change, 7, 1)],
        audits={"control-1": [{"change_id": "c1", "revision": 7}]},
        allowed={"dalton": frozenset({SMALL})},
        stops=[PlannedStop("entry-1", 100.0, 104.0, 0)],
        events=[Event(100.0, "stop", "entry-1")],
        addresses={"entry-1": ENTRY},
    )


def add_run(run: Run) -> AddFault:
    return lambda s: s._replace(runs=[*s.runs, run])


def add_answer(answer: Answer) -> AddFault:
    return lambda s: s._replace(answers=[*s.answers, answer])


def add_bill(key: str) -> AddFault:
    return lambda s: s._replace(bills=[*s.bills, bill(key)])


def drop_bill(s: Observations) -> Observations:
    return s._replace(bills=s.bills[1:])


def truncate_answer(s: Observations) -> Observations:
    truncated = s.answers[0]._replace(text=s.answers[0].text[:-1])
    return s._replace(answers=[truncated, *s.answers[1:]])


def add_refused_order_that_ran(s: Observations) -> Observations:
    faulty = add_answer(order("r", REFUSED, REFUSED))(s)
    return add_run(Run("dalton", "r", "portal", "POST"))(faulty)


def add_cut_during_stop(s: Observations) -> Observations:
    cut = s.answers[0]._replace(tries=(CUT, BEFORE_STOP))
    return s._replace(answers=[cut, *s.answers[1:]])


def add_requests_in_rest(s: Observations) -> Observations:
    # One entry that was stopped once may have sent four.
    arrivals_s = [100.0, 101.2, 101.3, 101.4, 101.5, 101.6]
    return s._replace(rest_arrivals_s={"small-1": arrivals_s}, rested_s=100.0)


FAULTS: list[tuple[str, AddFault]] = [
    ("rests of engines", add_requests_in_rest),
    ("allowed version", add_run(Run("dalton", "a", NEW, "POST"))),
    (
        "withdrawn version",
        lambda s: s._replace(withdrawn=[ClosedPeriod(NEW, 1.0, 2.0, 3)]),
    ),
    (
        "drained data centre",
        lambda s: s._replace(drained=[ClosedPeriod("dalton", 1.0, 2.0, 3)]),
    ),
    ("session keeps its version", add_answer(chat("a", NEW))),
    ("billed once", add_bill("a")),
    ("billed once", add_bill("x")),
    ("billed once", drop_bill),
    ("whole answer", truncate_answer),
    ("not run is true", add_refused_order_that_ran),
    ("at most once", add_run(Run("dalton", "o", "portal", "POST"))),
    (
        "leaving server",
        lambda s: s._replace(runs_after_leaving={"small-1": 2}),
    ),
    ("planned stop", add_cut_during_stop),
    (
        "planned stop",
        lambda s: s._replace(stops=[PlannedStop("entry-1", 100.0, 104.0, -9)]),
    ),
    (
        "requests that end engines",
        lambda s: s._replace(ending_arrivals_s=ENDS_S, ends_s=ENDS_S),
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
    def test_no_findings_without_fault(self) -> None:
        assert check(faultless_observations()) == []

    @pytest.mark.parametrize(("promise", "add_fault"), FAULTS)
    def test_each_broken_promise_is_found(
        self, promise: str, add_fault: AddFault
    ) -> None:
        promises = {
            finding.promise
            for finding in check(add_fault(faultless_observations()))
        }
        assert promises == {promise}

    def test_cut_during_another_fault_is_not_blamed_on_stop(self) -> None:
        # A server fault during the stop may also be the cause of the cut.
        server_fault = Event(101.0, "server_cut", "small-1")
        faulty = add_cut_during_stop(faultless_observations())
        faulty = faulty._replace(events=[*faulty.events, server_fault])
        assert check(faulty) == []

    @pytest.mark.parametrize(
        ("what", "count"),
        [("kill", 1), ("kill_all", 1), ("start", 1), ("freeze", 0)],
    )
    def test_requests_that_end_engines_count_over_restarts(
        self, what: str, count: int
    ) -> None:
        """What was learned of them was gone with the processes."""
        fault = Event(205.0, what, "control-1")
        faulty = faultless_observations()
        faulty = faulty._replace(
            events=[*faulty.events, fault],
            ending_arrivals_s=ENDS_S,
            ends_s=ENDS_S,
        )
        assert len(check(faulty)) == count

    @pytest.mark.parametrize(("after_s", "count"), [(0.9, 0), (5.0, 1)])
    def test_sigterm_status_is_a_finding_only_after_start_up(
        self, after_s: float, count: int
    ) -> None:
        # While the interpreter imports modules, SIGTERM ends the process,
        # which has served no request. Later, that status is a fault.
        start = Event(100.0 - after_s, "start", "entry-1")
        stop = PlannedStop("entry-1", 100.0, 100.1, -SIGTERM)
        faulty = faultless_observations()._replace(
            stops=[stop], events=[start]
        )
        assert len(check(faulty)) == count
