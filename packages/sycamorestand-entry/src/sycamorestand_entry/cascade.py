"""Runs the steps of a cascade until the answer of one is accepted."""

from __future__ import annotations

import time
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio

from sycamorestand_entry.callers import remaining_s
from sycamorestand_entry.chat_request import engine_work
from sycamorestand_entry.delivery import collect_events
from sycamorestand_entry.delivery import Delivery
from sycamorestand_entry.delivery import send_collected
from sycamorestand_entry.delivery import stream_events
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
from sycamorestand_entry.samples import RunSummary
from sycamorestand_entry.samples import should_rate

if TYPE_CHECKING:
    from sycamorestand_entry.chat_request import ChatRequest
    from sycamorestand_entry.context import EntryContext


class Step(NamedTuple):
    """One step of a cascade.

    ``place`` is its index in the profile, ``spent_micros`` the cost of the
    steps before it.
    """

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
    """Run the steps that the learner chooses and send one answer.

    Earlier steps share the profile's budget of added latency; once it is
    used up, the last step runs.
    """
    first = first_step(context, chat, plan)
    budget_s = chat.profile.max_added_latency_ms / 1000
    until_s = min(time.monotonic() + budget_s, chat.deadline_at_s)
    last = len(plan.versions) - 1
    spent_micros = 0
    escalated = False
    for index in range(first, last):
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
    """Return the cost of the step, None if its answer was sent."""
    context = step.context
    run = EngineRun(context, _make_engine_work(step))
    begin_s = time.monotonic()
    rating = None
    accepted = False
    try:
        events = await _collect_until(run, until_s)
        if events is not None:
            rating, accepted = await _rate_and_decide(
                step, run, events, until_s
            )
        if accepted:
            await send_collected(_make_delivery(step, run), events or b"")
            return None
        return run.cost_micros()
    finally:
        run.close()
        if run.done or run.failed:
            summary = _summarise_run(step, run, begin_s)
            report(context, step.chat, summary, rating)
        result = "accepted" if accepted else "sent_on"
        context.metrics.cascade.inc({"result": result})


async def _run_last_step(step: Step) -> None:
    context = step.context
    run = EngineRun(context, _make_engine_work(step))
    is_rated = should_rate(context, step.escalated)
    events_copy: list[bytes] | None = [] if is_rated else None
    run.events_copy = events_copy
    begin_s = time.monotonic()
    try:
        await run.start()
        if step.chat.stream:
            await stream_events(_make_delivery(step, run))
        else:
            events = await collect_events(run)
            await send_collected(_make_delivery(step, run), events)
    finally:
        run.close()
        _report_last_step(step, run, begin_s, events_copy)


def _report_last_step(
    step: Step, run: EngineRun, begin_s: float, events_copy: list[bytes] | None
) -> None:
    context = step.context
    summary = _summarise_run(step, run, begin_s)
    if run.done and events_copy is not None:
        context.start_background(
            rate_and_report,
            context,
            step.chat,
            run,
            summary,
            b"".join(events_copy),
        )
    elif run.done or run.failed:
        report(context, step.chat, summary, None)


async def _collect_until(run: EngineRun, until_s: float) -> bytes | None:
    try:
        with anyio.move_on_after(max(0.0, remaining_s(until_s))):
            await run.start()
            return await collect_events(run)
    except BadRequest:
        raise
    except RequestError:
        # The next step may still succeed.
        return None
    return None


async def _rate_and_decide(
    step: Step, run: EngineRun, events: bytes, until_s: float
) -> tuple[float | None, bool]:
    rating = None
    with anyio.move_on_after(max(0.0, remaining_s(until_s))):
        rating = await rate_answer(step.context, step.chat, run, events)
    accepted = step.context.cascade.accept(
        step.chat.profile, step.place, step.chat.request_class, rating
    )
    return rating, accepted


def _make_engine_work(step: Step) -> EngineWork:
    session_name = step.plan.session_name if step.plan.in_session else ""
    return engine_work(step.chat, step.version, session_name)


def _make_delivery(step: Step, run: EngineRun) -> Delivery:
    return Delivery(
        step.context,
        step.chat,
        step.responder,
        step.plan.session_name or step.chat.request_key,
        step.version,
        run,
        step.spent_micros,
    )


def _summarise_run(step: Step, run: EngineRun, begin_s: float) -> RunSummary:
    return RunSummary(
        step.version,
        run.failed,
        run.first_byte_ms,
        (time.monotonic() - begin_s) * 1000,
        run.cost_micros(),
        step.escalated,
    )


__all__ = ["run_cascade"]
