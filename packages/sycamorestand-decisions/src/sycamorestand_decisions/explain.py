"""Text explanations of single decisions, for ``sycactl explain``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorestand_decisions.admission import Refused
from sycamorestand_decisions.admission import Started
from sycamorestand_decisions.admission import Waiting
from sycamorestand_decisions.verdicts import Stop

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sycamorestand_decisions.cascade import CascadeLearner
    from sycamorestand_decisions.selection import Choice
    from sycamorestand_decisions.verdicts import Verdict
    from sycamorestand_model.declarations import Profile


def explain_admission(result: Started | Waiting | Refused) -> str:
    """Return why a request was started, queued or refused."""
    if isinstance(result, Started):
        return "started: a slot was free and no request was waiting"
    if isinstance(result, Waiting):
        return f"waits about {result.expected_wait_s:.2f} s for a slot"
    return f"refused: {result.reason}; retry in {result.retry_after_s:.1f} s"


def explain_choice(choices: Sequence[Choice]) -> list[str]:
    """Return one line for each candidate server, lowest score first."""
    if not choices:
        return ["no candidate server"]
    scores = dict(choices[0].scores)
    return [
        f"{choice.name}: {choice.reason}, score {scores[choice.name]:.3f}"
        for choice in choices
    ]


def explain_cascade(
    learner: CascadeLearner, profile: Profile, request_class: str
) -> list[str]:
    """Return the expectations of every plan, with the chosen one marked."""
    chosen = learner.plan(profile, request_class)
    lines = [f"target {profile.quality_target:.3f} for {request_class}"]
    for plan in learner.plans(profile, request_class):
        mark = "->" if plan == chosen else "  "
        unrated = "accepts" if plan.accepts_unrated else "sends on"
        known = "" if plan.known else ", too few ratings"
        lines.append(
            f"{mark} begin at step {plan.first_step}, {unrated} unrated: "
            f"quality at least {plan.quality:.3f}, "
            f"cost {plan.cost_micros:.0f} micros, "
            f"latency {plan.latency_ms:.0f} ms{known}"
        )
    return lines


def explain_verdict(version: str, verdict: Verdict) -> list[str]:
    """Return why a roll-out advanced, continued or stopped."""
    kind = type(verdict).__name__.lower()
    lines = [f"{version}: {kind}: {verdict.reason}"]
    if isinstance(verdict, Stop):
        lines.extend(f"  {line}" for line in verdict.evidence)
    return lines


__all__ = [
    "explain_admission",
    "explain_cascade",
    "explain_choice",
    "explain_verdict",
]
