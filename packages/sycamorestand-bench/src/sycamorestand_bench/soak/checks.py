"""Check the observations of a soak against the system's promises."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
import math
from signal import SIGTERM
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_bench.quickstart.checks import is_whole
from sycamorestand_bench.soak.injector import ENGINE_LIMIT_PER_S
from sycamorestand_bench.soak.monitor import Finding

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from sycamorestand_bench.quickstart.caller import Answer
    from sycamorestand_bench.quickstart.caller import Attempt
    from sycamorestand_bench.quickstart.world import World
    from sycamorestand_bench.soak.injector import Event
    from sycamorestand_bench.soak.injector import PlannedStop
    from sycamorestand_bench.soak.operator import ClosedPeriod
    from sycamorestand_bench.system.changes import Accepted

ANSWERED: Final = "answered"
NOT_RUN: Final = "not_run"
# A cut during a planned stop counts as a finding only if no other fault was
# injected from this long before the stop until its end.
UNDISTURBED_S: Final = 8.0
# On a busy machine, a process may take this long for its imports before it
# can handle a signal.
START_UP_S: Final = 2.0
# Later than this after so many ends under one prompt part or one request, this
# many requests may be sent.
KNOWN_AFTER_S: Final = 3.0
ENDS: Final = 5
REQUEST_ENDS: Final = 3
# What an engine may get in so long a time, of what its limit allows.
LIMIT_WINDOW_S: Final = 4.0
LIMIT_RATIO: Final = 1.5
LIMIT_SLACK: Final = 5.0
# An entry knows of a rest half a second after the first refusal, and may send
# this many until its end.
REST_KNOWN_AFTER_S: Final = 1.0
MAX_SENT_IN_REST: Final = 2
MAX_SENT_AFTER: Final = 3
# What was learned of requests that end engines outlives a restart.
HARMLESS_EVENTS: Final = (
    "kill",
    "kill_all",
    "start",
    "stop",
    "stopped",
    "ending_prompt",
    "ending_request",
    "late_prompt",
    "late_request",
    "server_limit",
    "server_rest",
    "server_endless",
    "request_endless",
    "crowd",
)
CONNECT_ERRORS: Final = ("ConnectError", "ConnectTimeout")


class Run(NamedTuple):
    """One run that a backend server began.

    ``target`` is the version, or ``portal`` for a run at the service.
    """

    customer: str
    request_key: str
    target: str
    method: str


class Observations(NamedTuple):
    """All observations of a soak.

    ``allowed`` has the versions that each customer may use, ``addresses``
    the address of each entry. ``ending_arrivals_s`` are the times at which
    requests that end engines reached one, ``ends_s`` those of the ends.
    ``limited_arrivals_s`` are those of requests that reached each engine
    while it named a limit, which was first at ``limited_s``;
    ``rest_arrivals_s`` and ``rested_s`` are those of a rest.
    """

    answers: Sequence[Answer]
    runs: Sequence[Run]
    bills: Sequence[Mapping[str, Any]]
    withdrawn: Sequence[ClosedPeriod]
    runs_after_leaving: Mapping[str, int]
    accepted: Sequence[Accepted]
    audits: Mapping[str, Sequence[Mapping[str, Any]]]
    allowed: Mapping[str, frozenset[str]]
    stops: Sequence[PlannedStop]
    events: Sequence[Event]
    addresses: Mapping[str, str]
    ending_arrivals_s: Sequence[float] = ()
    ends_s: Sequence[float] = ()
    limited_arrivals_s: Mapping[str, Sequence[float]] = {}
    limited_s: float = math.inf
    drained: Sequence[ClosedPeriod] = ()
    rest_arrivals_s: Mapping[str, Sequence[float]] = {}
    rested_s: float = math.inf


def collect_runs(world: World) -> list[Run]:
    """Return every run that the fake engines and services began."""
    runs = [
        Run(r.customer, r.request_key, r.version, "POST")
        for engine in world.engines
        for r in engine.records
    ]
    runs += [
        Run(r.customer, r.request_key, "portal", r.method)
        for service in world.services
        for r in service.records
    ]
    return runs


def check(observations: Observations) -> list[Finding]:
    """Return the findings of all checks."""
    findings: list[Finding] = []
    for name, examine in _CHECKS.items():
        findings += [Finding(name, detail) for detail in examine(observations)]
    return findings


def _check_allowed_versions(observations: Observations) -> Iterable[str]:
    for run in observations.runs:
        if run.target == "portal":
            continue
        if run.target not in observations.allowed.get(
            run.customer, frozenset()
        ):
            yield f"{run.request_key} of {run.customer} ran on {run.target}"


def _check_withdrawals(observations: Observations) -> Iterable[str]:
    for period in observations.withdrawn:
        if period.runs:
            yield f"{period.runs} runs on {period.subject} while withdrawn"


def _check_drained(observations: Observations) -> Iterable[str]:
    for period in observations.drained:
        if period.runs:
            yield f"{period.runs} runs in {period.subject} while drained"


def _check_sessions(observations: Observations) -> Iterable[str]:
    versions: dict[tuple[str, str, str], set[str]] = defaultdict(set)
    for answer in observations.answers:
        call = answer.call
        if call.session and answer.run == ANSWERED:
            key = (call.customer, call.profile, call.session)
            versions[key].add(answer.version)
    for (_, _, session), found in versions.items():
        if len(found) > 1:
            yield f"{session} was answered by {sorted(found)}"


def _check_charges(observations: Observations) -> Iterable[str]:
    charges = Counter(
        (r["customer"], r["request_key"]) for r in observations.bills
    )
    requested = {
        (a.call.customer, a.call.request_key) for a in observations.answers
    }
    chargeable = {
        (a.call.customer, a.call.request_key)
        for a in observations.answers
        if a.run == ANSWERED
    }
    for key, count in charges.items():
        if count > 1:
            yield f"{key} is charged {count} times"
    for key in sorted(chargeable - set(charges)):
        yield f"{key} was answered and is not charged"
    for key in sorted(set(charges) - requested):
        yield f"{key} is charged and no caller sent it"


def _check_whole_answers(observations: Observations) -> Iterable[str]:
    for answer in observations.answers:
        if answer.run == ANSWERED and not is_whole(answer):
            yield f"{answer.call.request_key} got {answer.text[:40]!r}"


def _check_not_run(observations: Observations) -> Iterable[str]:
    tries: dict[str, list[Attempt]] = defaultdict(list)
    for answer in observations.answers:
        tries[answer.call.request_key] += answer.tries
    ran = {run.request_key for run in observations.runs}
    for key, key_attempts in tries.items():
        is_refused = all(attempt.run == NOT_RUN for attempt in key_attempts)
        if is_refused and key in ran:
            yield f"{key} ran, and all its attempts got the answer not run"


def _check_at_most_once(observations: Observations) -> Iterable[str]:
    runs = Counter(
        (run.customer, run.request_key)
        for run in observations.runs
        if run.target == "portal" and run.method == "POST"
    )
    for key, count in runs.items():
        if count > 1:
            yield f"{key} ran {count} times"


def _check_leaving_servers(observations: Observations) -> Iterable[str]:
    for server, runs in observations.runs_after_leaving.items():
        if runs:
            yield f"{runs} runs on {server} after it had left"


def _check_planned_stops(observations: Observations) -> Iterable[str]:
    for stop in observations.stops:
        if stop.status != 0 and not _was_starting(observations, stop):
            yield f"{stop.process} ended with {stop.status}"
        if not _is_undisturbed(observations, stop):
            continue
        address = observations.addresses.get(stop.process, "")
        for answer in observations.answers:
            for cut in answer.cuts:
                if _is_cut_by(cut, address, stop):
                    key = answer.call.request_key
                    yield f"{stop.process} cut {key}: {cut.code}"


def _was_starting(observations: Observations, stop: PlannedStop) -> bool:
    """Tell whether the signal came before the process could handle it.

    The process has served no request by then, and the signal ends the
    interpreter.
    """
    from_s = stop.begun_s - START_UP_S
    return stop.status == -SIGTERM and any(
        event.what == "start"
        and event.target == stop.process
        and from_s <= event.at_s <= stop.begun_s
        for event in observations.events
    )


def _is_undisturbed(observations: Observations, stop: PlannedStop) -> bool:
    from_s = stop.begun_s - UNDISTURBED_S
    faults = [
        event
        for event in observations.events
        if from_s <= event.at_s <= stop.ended_s
        and event.what not in ("stopped", "start")
    ]
    return len(faults) == 1


def _is_cut_by(cut: Attempt, address: str, stop: PlannedStop) -> bool:
    if cut.address != address or cut.code in CONNECT_ERRORS:
        return False
    return cut.ended_s >= stop.begun_s and cut.begun_s <= stop.ended_s


def _check_ending_requests(observations: Observations) -> Iterable[str]:
    """Check that few requests that end engines are sent on.

    A request counts if no other fault came shortly before it. Restarts of
    processes, one or all, are none.
    """
    kinds = {event.what for event in observations.events}
    is_request = kinds & {"ending_request", "late_request"}
    ends = REQUEST_ENDS if is_request else ENDS
    if len(observations.ends_s) < ends:
        return
    known_s = observations.ends_s[ends - 1] + KNOWN_AFTER_S
    faults_s = [
        event.at_s
        for event in observations.events
        if event.what not in HARMLESS_EVENTS
    ]
    late = [
        at_s
        for at_s in observations.ending_arrivals_s
        if at_s > known_s
        and not any(0 <= at_s - each_s < UNDISTURBED_S for each_s in faults_s)
    ]
    if len(late) > MAX_SENT_AFTER:
        yield f"{len(late)} were sent on after {len(observations.ends_s)} ends"


def _check_limits(observations: Observations) -> Iterable[str]:
    """Check that no engine got more than the limit that it named allows."""
    from_s = observations.limited_s + KNOWN_AFTER_S
    allowed = LIMIT_RATIO * ENGINE_LIMIT_PER_S * LIMIT_WINDOW_S + LIMIT_SLACK
    for engine, arrivals_s in observations.limited_arrivals_s.items():
        late_s = [at_s for at_s in arrivals_s if at_s >= from_s]
        most = max(
            (
                sum(first <= at_s < first + LIMIT_WINDOW_S for at_s in late_s)
                for first in late_s
            ),
            default=0,
        )
        if most > allowed:
            yield f"{engine} got {most} requests within its limit's window"


def _check_rests(observations: Observations) -> Iterable[str]:
    """Check that no engine at rest got more than each entry may send.

    An entry that was disturbed may not know of the rest.
    """
    from_s = observations.rested_s + REST_KNOWN_AFTER_S
    disturbed = sum(
        e.target in observations.addresses for e in observations.events
    )
    senders = len(observations.addresses) + disturbed
    for engine, arrivals_s in observations.rest_arrivals_s.items():
        late = sum(at_s >= from_s for at_s in arrivals_s)
        if late > MAX_SENT_IN_REST * senders:
            yield f"{engine} got {late} requests while it rested"


def _check_changes_kept(observations: Observations) -> Iterable[str]:
    for control, entries in observations.audits.items():
        revisions = {e["change_id"]: e["revision"] for e in entries}
        for accepted in observations.accepted:
            change_id = accepted.change.change_id
            if revisions.get(change_id) != accepted.revision:
                yield (
                    f"{control} holds {change_id} at"
                    f" {revisions.get(change_id)},"
                    f" accepted at {accepted.revision}"
                )


_CHECKS: Final = {
    "allowed version": _check_allowed_versions,
    "withdrawn version": _check_withdrawals,
    "drained data centre": _check_drained,
    "session keeps its version": _check_sessions,
    "billed once": _check_charges,
    "whole answer": _check_whole_answers,
    "not run is true": _check_not_run,
    "at most once": _check_at_most_once,
    "leaving server": _check_leaving_servers,
    "planned stop": _check_planned_stops,
    "never reverts": _check_changes_kept,
    "requests that end engines": _check_ending_requests,
    "limits of engines": _check_limits,
    "rests of engines": _check_rests,
}

__all__ = ["check", "Run", "collect_runs", "Observations"]
