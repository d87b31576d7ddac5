"""Compare the callers' answers with the fakes' runs and the bills."""

from __future__ import annotations

from collections import Counter
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_bench.fakes.engine import expected_text
from sycamorestand_bench.quickstart.caller import FINAL_CODES

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from sycamorestand_bench.quickstart.caller import Answer
    from sycamorestand_bench.quickstart.world import World

MUST_BE_ZERO: Final = (
    "not_whole",
    "unanswered",
    "doubled_runs",
    "runs_disallowed",
    "runs_after_withdrawal",
    "runs_after_leaving",
    "sessions_moved",
    "charges_missing",
    "charges_doubled",
    "charges_unasked",
    "cut_by_planned_stop",
    "planned_stop_status",
)


class Baselines(NamedTuple):
    """Counts of runs when a version was withdrawn and a server had left.

    A later run on the version or the server breaks a promise. The last two
    fields are the exit status of the planned stop and the number of
    attempts that it cut.
    """

    withdrawn_version: str
    runs_at_withdrawal: int
    leaving_server: str
    runs_at_leaving: int
    planned_stop_status: int
    cut_by_planned_stop: int


def compare(
    answers: Sequence[Answer],
    world: World,
    bills: Sequence[Mapping[str, Any]],
    marks: Baselines,
    allowed: Mapping[str, frozenset[str]],
    strong_micros: int,
) -> dict[str, Any]:
    """Return the figures that the quickstart prints as its last line.

    Two calls with one request key must both get a whole answer, and the
    key must have one charge.
    """
    answered = [answer for answer in answers if answer.run == "answered"]
    ended = sum(answer.code in FINAL_CODES for answer in answers)
    charges = Counter((row["customer"], row["request_key"]) for row in bills)
    requested = {(a.call.customer, a.call.request_key) for a in answers}
    chargeable = {(a.call.customer, a.call.request_key) for a in answered}
    paid_micros = sum(row["cost_micros"] for row in bills)
    return {
        "requests": len(answers),
        "whole_answers": sum(is_whole(answer) for answer in answered),
        "not_whole": sum(not is_whole(answer) for answer in answered),
        "unanswered": len(answers) - len(answered) - ended,
        "sessions_ended_by_withdrawal": ended,
        "refusals_not_run": sum(a.run == "not_run" for a in answers),
        "unknown": sum(a.run == "unknown" for a in answers),
        "retried_by_callers": sum(len(a.tries) > 1 for a in answers),
        "doubled_runs": _count_doubled_orders(world),
        "runs_disallowed": _count_disallowed_runs(world, allowed),
        "runs_on_withdrawn_before": marks.runs_at_withdrawal,
        "runs_after_withdrawal": (
            world.runs_on_version(marks.withdrawn_version)
            - marks.runs_at_withdrawal
        ),
        "runs_after_leaving": (
            world.runs_on_server(marks.leaving_server) - marks.runs_at_leaving
        ),
        "sessions_moved": _count_moved_sessions(answered),
        "charges_missing": len(chargeable - set(charges)),
        "charges_doubled": sum(n > 1 for n in charges.values()),
        "charges_unasked": len(set(charges) - requested),
        "planned_stop_status": marks.planned_stop_status,
        "cut_by_planned_stop": marks.cut_by_planned_stop,
        "cost_micros": paid_micros,
        "always_strong_micros": strong_micros,
        "cost_share": round(paid_micros / max(1, strong_micros), 3),
    }


def is_whole(answer: Answer) -> bool:
    """Tell whether an answer is complete and belongs to its request."""
    call = answer.call
    if call.kind != "chat":
        return call.path in answer.text
    return answer.text == expected_text(
        answer.version, call.request_key, call.tokens
    )


def _count_doubled_orders(world: World) -> int:
    runs = Counter(
        (record.customer, record.request_key)
        for service in world.services
        for record in service.records
        if record.method == "POST"
    )
    return sum(n > 1 for n in runs.values())


def _count_disallowed_runs(
    world: World, allowed: Mapping[str, frozenset[str]]
) -> int:
    return sum(
        record.version not in allowed.get(record.customer, frozenset())
        for engine in world.engines
        for record in engine.records
    )


def _count_moved_sessions(answered: Sequence[Answer]) -> int:
    versions: dict[tuple[str, str], set[str]] = {}
    for answer in answered:
        if answer.call.session:
            key = (answer.call.customer, answer.call.session)
            versions.setdefault(key, set()).add(answer.version)
    return sum(len(found) > 1 for found in versions.values())


__all__ = ["compare", "is_whole", "Baselines", "MUST_BE_ZERO"]
