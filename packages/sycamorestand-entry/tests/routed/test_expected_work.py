"""The work by which a routed request's server is chosen."""

from __future__ import annotations

from typing import Any

from anyio.abc import SocketStream
import pytest

from sycamorestand_bench.fakes.routed import answer_bytes
from sycamorestand_bench.fakes.routed import event
from sycamorestand_bench.fakes.routed import start_routed
from sycamorestand_bench.fakes.routed import stream_head
from sycamorestand_decisions.answer_lengths import AnswerLength
from sycamorestand_decisions.attempt_timeouts import AnswerTime
from sycamorestand_decisions.server_room import Work
from sycamorestand_entry.routed.engine_wait import DEFAULT_ANSWER_S
from sycamorestand_entry.routed.engine_wait import DEFAULT_CALL_S

pytestmark = pytest.mark.anyio


class TestWork:
    async def test_before_the_first_answers(self) -> None:
        """Work of no length would make all servers alike."""
        assert await chosen_work("/stock/a") == Work(0.0, DEFAULT_CALL_S, True)
        stream = await chosen_work("/review/a")
        assert stream.prefill_s == pytest.approx(0.12)
        assert stream.answer_s == DEFAULT_ANSWER_S

    async def test_from_earlier_answers(self) -> None:
        call = await chosen_work("/stock/a", AnswerTime(0.3, 0.0, 0))
        assert call == Work(0.0, 0.3, is_call=True)
        stream = await chosen_work("/review/a", AnswerTime(0.1, 3.0, 30))
        assert stream.answer_s == pytest.approx(1.5)


async def chosen_work(path: str, *earlier: AnswerTime) -> Work:
    """Return the work of a request after earlier answers of its route."""
    works: list[Work] = []
    async with start_routed() as loopback:
        context = loopback.entry.context
        for route in ("stock", "review"):
            for answer in earlier:
                context.answer_times.record_answer(route, answer)
                length = AnswerLength(answer.events, 0)
                context.answer_lengths.record_answer(route, length)
        choose = context.servers.choose

        def record(*arguments: Any) -> Any:
            works.append(arguments[-1])
            return choose(*arguments)

        context.servers.choose = record  # type: ignore[method-assign]
        await loopback.add_server("s-1", answer_any)
        await loopback.ask(path, x_tokens="12000,100")
    return works[0]


async def answer_any(request: bytes, stream: SocketStream) -> None:
    """Answer a call, or a stream with one event."""
    if b" /review/" in request:
        await stream.send(stream_head(request) + event(1) + b"0\r\n\r\n")
    else:
        await stream.send(answer_bytes(request))
