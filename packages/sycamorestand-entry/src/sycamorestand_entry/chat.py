"""Handler of ``POST /v1/chat/completions``."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from anyio.abc import TaskGroup

from sycamorestand_entry.blocked_requests import check_blocked
from sycamorestand_entry.blocked_requests import record_refusal
from sycamorestand_entry.cascade import run_cascade
from sycamorestand_entry.chat_request import read_chat
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.http_messages import CallerGone
from sycamorestand_entry.planning import plan_chat

if TYPE_CHECKING:
    from sycamorestand_entry.chat_request import ChatRequest
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.http_messages import Receive
    from sycamorestand_entry.http_messages import Request
    from sycamorestand_entry.http_messages import Responder


async def answer_chat(
    context: EntryContext, request: Request, responder: Responder
) -> None:
    """Answer one request; cancel it when the caller disconnects."""
    chat = await read_chat(context, request)
    await _refuse_if_blocked(context, chat)
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


async def _refuse_if_blocked(context: EntryContext, chat: ChatRequest) -> None:
    """Refuse a request that would end the server that begins it."""
    refusal = await check_blocked(context.part_watch, chat.parts)
    if refusal is not None:
        record_refusal(context.part_watch, chat.parts)
        raise refusal


async def _cancel_when_gone(receive: Receive, group: TaskGroup) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    group.cancel_scope.cancel()


async def _run_chat(
    context: EntryContext, chat: ChatRequest, responder: Responder
) -> None:
    plan = await plan_chat(context, chat)
    await run_cascade(context, chat, plan, responder)
    context.part_watch.record_answered(chat.parts)


__all__ = ["answer_chat"]
