"""Ratings of answers, and the samples on which versions are compared."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_decisions.cascade import PASS_RATING
from sycamorestand_entry.answers import answer_text
from sycamorestand_entry.ports import VersionSample
from sycamorestand_entry.rating import RatedAnswer
from sycamorestand_entry.sse import MalformedStream

if TYPE_CHECKING:
    from sycamorestand_entry.chat_request import ChatRequest
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.engine_run import EngineRun

# Share of the last step's answers that is rated. They go out unrated, but
# the cascade has to know their quality. One in five is enough for a request
# class within minutes and limits the load on the rating service.
RATED_SHARE: Final = 0.2


class RunSummary(NamedTuple):
    """The outcome, latency and cost of one run."""

    version: str
    failed: bool
    first_token_ms: float
    total_ms: float
    cost_micros: int
    escalated: bool


def should_rate(context: EntryContext, escalated: bool) -> bool:
    """Return whether to rate an answer after it has been sent.

    Escalated requests are rare and are all rated.
    """
    if not context.rating.configured:
        return False
    return escalated or context.random.random() < RATED_SHARE


async def rate_answer(
    context: EntryContext, chat: ChatRequest, run: EngineRun, events: bytes
) -> float | None:
    """Return the rating of a complete answer, None if there is none."""
    try:
        text = answer_text(events)
    except MalformedStream:
        return None
    rated = RatedAnswer(
        chat.customer.name,
        run.version,
        chat.request_class,
        chat.content["messages"],
        text,
    )
    return await context.rating.rate(rated)


def report(
    context: EntryContext,
    chat: ChatRequest,
    summary: RunSummary,
    rating: float | None,
) -> None:
    """Report a run to the cascade's learner and the control process.

    The learner does not get failed runs.
    """
    if not summary.failed:
        context.cascade.observe(
            chat.profile.name,
            summary.version,
            chat.request_class,
            None if rating is None else rating >= PASS_RATING,
            summary.cost_micros,
            summary.total_ms,
            summary.escalated,
        )
    context.control.report(
        VersionSample(
            summary.version,
            chat.request_class,
            summary.failed,
            summary.first_token_ms,
            summary.total_ms,
            rating,
            summary.cost_micros,
            summary.escalated,
        )
    )


async def rate_and_report(
    context: EntryContext,
    chat: ChatRequest,
    run: EngineRun,
    summary: RunSummary,
    events: bytes,
) -> None:
    """Rate an answer that has been sent, and report it with the rating."""
    rating = await rate_answer(context, chat, run, events)
    report(context, chat, summary, rating)


__all__ = [
    "rate_and_report",
    "rate_answer",
    "report",
    "RunSummary",
    "should_rate",
]
