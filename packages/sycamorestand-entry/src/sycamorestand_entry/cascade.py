"""From cheaper to stronger steps, until an answer may go out."""

from __future__ import annotations

import time
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio

from sycamorestand_entry.callers import remaining_s
from sycamorestand_entry.chat_request import engine_work
from sycamorestand_entry.delivery import collect
from sycamorestand_entry.delivery import Delivery
from sycamorestand_entry.delivery import give_collected
from sycamorestand_entry.delivery import stream_directly
from sycamorestand_entry.engine_run import EngineRun
from sycamorestand_entry.engine_wire import EngineWork
from sycamorestand_entry.errors import BadRequest
from sycamorestand_entry.errors import correct_run_state
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.http_messages import Responder
from sycamorestand_entry.planning import first_step
from sycamorestand_entry.planning import Plan
from sycamorestand_entry.samples import rate_and_report
from sycamorestand_entry.samples import rate_answer
from sycamorestand_entry.samples import report
from sycamorestand_entry.samples import Shown
from sycamorestand_entry.samples import wants_rating

if TYPE_CHECKING:
    from sycamorestand_entry.chat_request import ChatRequest
    from sycamorestand_entry.context import EntryContext


class Step(NamedTuple):
    """One step of a cascade and what the steps before it cost."""

    context: EntryContext
    chat: ChatRequest
    plan: Plan
    responder: Responder
    version: str
    place: int
    spent_micros: int = 0
    escalated: bool = False


async def run_cascade(
    context: EntryContext,
    chat: ChatRequest,
    plan: Plan,
    responder: Responder,
) -> None:
    """Run the steps that the learner asks for and give one answer."""
    begin = first_step(context, chat, plan)
    budget_s = chat.profile.max_added_latency_ms / 1000
    until_s = min(time.monotonic() + budget_s, chat.deadline_at_s)
    last = len(plan.versions) - 1
    spent_micros = 0
    escalated = False
    for index in range(begin, last):
        step = Step(
            context,
            chat,
            plan,
            responder,
            plan.versions[index],
            plan.steps[index],
            spent_micros,
            escalated,
        )
        cost = await _run_early_step(step, until_s)
        if cost is None:
            return
        spent_micros += cost
        escalated = True
    step = Step(
        context,
        chat,
        plan,
        responder,
        plan.versions[last],
        plan.steps[last],
        spent_micros,
        escalated,
    )
    try:
        await _run_last_step(step)
    except RequestError as error:
        raise correct_run_state(error, escalated) from None


async def _run_early_step(step: Step, until_s: float) -> int | None:
    """Return what the step cost, None where its answer went out."""
    context = step.context
    run = EngineRun(context, _work(step))
    begin_s = time.monotonic()
    rating = None
    accepted = False
    try:
        events = await _collect(run, until_s)
        if events is not None:
            rating, accepted = await _judge(step, run, events, until_s)
        if accepted:
            await give_collected(_delivery(step, run), events or b"")
            return None
        return run.cost_micros()
    finally:
        run.close()
        if run.done or run.failed:
            shown = _shown(step, run, begin_s)
            report(context, step.chat, shown, rating)
        result = "accepted" if accepted else "sent_on"
        context.metrics.cascade.inc({"result": result})


async def _run_last_step(step: Step) -> None:
    context = step.context
    run = EngineRun(context, _work(step))
    rated = wants_rating(context, step.escalated)
    kept: list[bytes] | None = [] if rated else None
    run.kept = kept
    begin_s = time.monotonic()
    try:
        await run.start()
        if step.chat.stream:
            await stream_directly(_delivery(step, run))
        else:
            events = await collect(run)
            await give_collected(_delivery(step, run), events)
    finally:
        run.close()
        _report_last(step, run, begin_s, kept)


def _report_last(
    step: Step, run: EngineRun, begin_s: float, kept: list[bytes] | None
) -> None:
    context = step.context
    shown = _shown(step, run, begin_s)
    if run.done and kept is not None:
        context.start_background(
            rate_and_report, context, step.chat, run, shown, b"".join(kept)
        )
    elif run.done or run.failed:
        report(context, step.chat, shown, None)


async def _collect(run: EngineRun, until_s: float) -> bytes | None:
    try:
        with anyio.move_on_after(max(0.0, remaining_s(until_s))):
            await run.start()
            return await collect(run)
    except BadRequest:
        raise
    except RequestError:
        # The next step may well answer what this one could not.
        return None
    return None


async def _judge(
    step: Step, run: EngineRun, events: bytes, until_s: float
) -> tuple[float | None, bool]:
    rating = None
    with anyio.move_on_after(max(0.0, remaining_s(until_s))):
        rating = await rate_answer(step.context, step.chat, run, events)
    accepted = step.context.cascade.accept(
        step.chat.profile, step.place, step.chat.request_class, rating
    )
    return rating, accepted


def _work(step: Step) -> EngineWork:
    session_name = step.plan.session_name if step.plan.in_session else ""
    return engine_work(step.chat, step.version, session_name)


def _delivery(step: Step, run: EngineRun) -> Delivery:
    return Delivery(
        step.context,
        step.chat,
        step.responder,
        step.plan.session_name or step.chat.request_key,
        step.version,
        run,
        step.spent_micros,
    )


def _shown(step: Step, run: EngineRun, begin_s: float) -> Shown:
    return Shown(
        step.version,
        run.failed,
        run.first_byte_ms,
        (time.monotonic() - begin_s) * 1000,
        run.cost_micros(),
        step.escalated,
    )


__all__ = ["run_cascade"]
