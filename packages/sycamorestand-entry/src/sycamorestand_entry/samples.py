"""What the answers show: ratings, and samples for those who decide."""

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

# Answers of the last step go out unrated. The cascade must know how good
# they are all the same; one in five is enough for a class within minutes
# and spares the rating service the rest.
RATED_SHARE: Final = 0.2


class RunSummary(NamedTuple):
    """One run as it ended."""

    version: str
    failed: bool
    first_token_ms: float
    total_ms: float
    cost_micros: int
    escalated: bool


def should_rate(context: EntryContext, escalated: bool) -> bool:
    """Tell whether an answer that goes out unrated is rated later.

    Those that an earlier step failed on are rare and are all rated.
    """
    if not context.rating.configured:
        return False
    return escalated or context.random.random() < RATED_SHARE


async def rate_answer(
    context: EntryContext, chat: ChatRequest, run: EngineRun, events: bytes
) -> float | None:
    """Return the rating of a whole answer, None where none came."""
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
    """Tell the cascade, and the control process, what a run showed."""
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
    """Rate an answer that has gone out, and report it with the rating."""
    rating = await rate_answer(context, chat, run, events)
    report(context, chat, summary, rating)


__all__ = [
    "rate_and_report",
    "rate_answer",
    "report",
    "RunSummary",
    "should_rate",
]
