"""``POST /v1/chat/completions``: from a request to a billed answer."""

from __future__ import annotations

import time
from typing import Final
from typing import TYPE_CHECKING

import anyio
from anyio.abc import TaskGroup

from sycamorestand_entry.answers import answer_text
from sycamorestand_entry.callers import remaining_s
from sycamorestand_entry.chat_request import engine_work
from sycamorestand_entry.chat_request import read_chat
from sycamorestand_entry.delivery import collect
from sycamorestand_entry.delivery import Delivery
from sycamorestand_entry.delivery import give_collected
from sycamorestand_entry.delivery import stream_directly
from sycamorestand_entry.engine_run import EngineRun
from sycamorestand_entry.errors import BadRequest
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.http_messages import CallerGone
from sycamorestand_entry.planning import plan_chat
from sycamorestand_entry.rating import RatedAnswer

if TYPE_CHECKING:
    from sycamorestand_entry.chat_request import ChatRequest
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.http_messages import Receive
    from sycamorestand_entry.http_messages import Request
    from sycamorestand_entry.http_messages import Responder
    from sycamorestand_entry.planning import Plan

# A rating from here on accepts the answer of a cascade step.
ACCEPTED_RATING: Final = 0.5
REQUEST_CLASS: Final = "default"


async def answer_chat(
    context: EntryContext, request: Request, responder: Responder
) -> None:
    """Answer one request; the caller's leaving cancels the work."""
    chat = await read_chat(context, request)
    failure: RequestError | None = None
    finished = False
    async with anyio.create_task_group() as group:
        group.start_soon(_cancel_when_gone, request.receive, group)
        try:
            await _run_chat(context, chat, responder)
        except RequestError as error:
            failure = error
        finished = True
        group.cancel_scope.cancel()
    if failure is not None:
        raise failure
    if not finished:
        raise CallerGone


async def _cancel_when_gone(receive: Receive, group: TaskGroup) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    group.cancel_scope.cancel()


async def _run_chat(
    context: EntryContext, chat: ChatRequest, responder: Responder
) -> None:
    plan = await plan_chat(context, chat)
    spent_micros = 0
    steps = plan.versions
    if not context.rating.configured:
        # Nothing could accept an earlier step's answer.
        steps = steps[-1:]
    budget_s = chat.profile.max_added_latency_ms / 1000
    earlier_until_s = time.monotonic() + budget_s
    for version in steps[:-1]:
        until_s = min(earlier_until_s, chat.deadline_at_s)
        cascade = _CascadeStep(context, chat, plan, responder, version)
        if await cascade.run(until_s, spent_micros):
            return
        spent_micros += cascade.cost_micros
    await _run_last_step(
        context, chat, plan, responder, steps[-1], spent_micros
    )


async def _run_last_step(
    context: EntryContext,
    chat: ChatRequest,
    plan: Plan,
    responder: Responder,
    version: str,
    spent_micros: int,
) -> None:
    run = EngineRun(context, engine_work(chat, version, plan.in_session))
    delivery = Delivery(
        context,
        chat,
        responder,
        plan.session_name,
        version,
        run,
        spent_micros,
    )
    try:
        await run.start()
        if chat.stream:
            await stream_directly(delivery)
        else:
            await give_collected(delivery, await collect(run))
    finally:
        run.close()


class _CascadeStep:
    def __init__(
        self,
        context: EntryContext,
        chat: ChatRequest,
        plan: Plan,
        responder: Responder,
        version: str,
    ) -> None:
        self.cost_micros = 0
        self._context = context
        self._chat = chat
        self._plan = plan
        self._responder = responder
        self._version = version

    async def run(self, until_s: float, spent_micros: int) -> bool:
        """Tell whether the step's answer was accepted and given."""
        work = engine_work(self._chat, self._version, False)
        run = EngineRun(self._context, work)
        try:
            events = await self._collect(run, until_s)
            if events is None:
                return False
            self.cost_micros = run.cost_micros()
            if not await self._accepted(events, until_s):
                return False
            delivery = Delivery(
                self._context,
                self._chat,
                self._responder,
                self._plan.session_name,
                self._version,
                run,
                spent_micros,
            )
            await give_collected(delivery, events)
            return True
        finally:
            run.close()

    async def _collect(self, run: EngineRun, until_s: float) -> bytes | None:
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

    async def _accepted(self, events: bytes, until_s: float) -> bool:
        rated = RatedAnswer(
            self._chat.customer.name,
            self._version,
            REQUEST_CLASS,
            self._chat.content["messages"],
            answer_text(events),
        )
        rating = None
        with anyio.move_on_after(max(0.0, remaining_s(until_s))):
            rating = await self._context.rating.rate(rated)
        # Without a rating the quality target is not known to be met.
        return rating is not None and rating >= ACCEPTED_RATING


__all__ = ["answer_chat"]
