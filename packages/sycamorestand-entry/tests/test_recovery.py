"""Failing streams are resumed, restarted or reported as broken."""

from __future__ import annotations

import anyio
import pytest

from sycamorestand_bench.fakes.declared import LARGE
from sycamorestand_bench.fakes.engine import expected_text
from sycamorestand_bench.fakes.engine import FakeEngine
from sycamorestand_bench.fakes.faults import Fault
from sycamorestand_bench.fakes.faults import FaultKind
from sycamorestand_bench.fakes.loopback import chat_body
from sycamorestand_bench.fakes.loopback import Loopback
from sycamorestand_bench.fakes.loopback import SETTINGS
from sycamorestand_bench.fakes.loopback import start_loopback

pytestmark = pytest.mark.anyio

BEFORE_FIRST_TOKEN: list[FaultKind] = [
    "cut",
    "error",
    "error_event",
    "garbage",
    "late",
    "silent",
    "wrong_type",
]
MID_STREAM: list[FaultKind] = ["cut", "error_event", "garbage", "silent"]


async def add_engine(
    loopback: Loopback, fault: Fault, can_resume: bool = False
) -> FakeEngine:
    """Add an engine with the fault."""
    engine = FakeEngine("engine-1", (LARGE,), can_resume=can_resume)
    engine.switch.fault = fault
    await loopback.add_engine(engine)
    return engine


class TestBrokenBeforeRelease:
    @pytest.mark.parametrize("kind", BEFORE_FIRST_TOKEN)
    async def test_failure_before_the_first_token_restarts_the_run(
        self, kind: FaultKind
    ) -> None:
        """The engine fails before the caller has received a token.

        Nothing has been released, so the request runs again on a new
        connection, and the caller gets one complete answer, billed once.
        """
        async with start_loopback() as loopback:
            engine = await add_engine(loopback, Fault(kind, times=1))
            answer = await loopback.chat(stream=True, Idempotency_Key="k")
            assert answer.text() == expected_text(LARGE, "k", 8)
            assert answer.events()[-1] == "[DONE]"
            assert len(engine.records) in (1, 2)
            assert len(loopback.ledger.charges) == 1

    @pytest.mark.parametrize("kind", MID_STREAM)
    async def test_restarted_plain_answer_drops_earlier_events(
        self, kind: FaultKind
    ) -> None:
        """The engine fails in the middle of an answer without streaming.

        The collected events are dropped and not put before the new answer.
        """
        async with start_loopback() as loopback:
            await add_engine(loopback, Fault(kind, after=4, times=1))
            answer = await loopback.chat(Idempotency_Key="k")
            message = answer.json()["choices"][0]["message"]
            assert message["content"] == expected_text(LARGE, "k", 8)

    async def test_permanent_failure_is_reported(self) -> None:
        async with start_loopback() as loopback:
            await add_engine(loopback, Fault("cut"))
            answer = await loopback.chat(stream=True)
            assert answer.status == 502
            assert answer.json()["error"]["run"] == "unknown"
            assert not loopback.ledger.charges

    async def test_refused_connection_is_reported_as_not_run(self) -> None:
        """The only backend server refuses connections.

        No byte was sent, so the refusal may say ``not_run``.
        """
        async with start_loopback() as loopback:
            await add_engine(loopback, Fault())
            servers = loopback.control.servers
            gone = servers["engine-1"]._replace(address="127.0.0.1:1")
            servers["engine-1"] = gone
            answer = await loopback.chat()
            assert answer.json()["error"]["run"] == "not_run"


class TestBrokenAfterRelease:
    @pytest.mark.parametrize("kind", [*MID_STREAM, "no_end"])
    async def test_failure_after_release_ends_with_an_error_event(
        self, kind: FaultKind
    ) -> None:
        """The engine fails after the caller has received tokens.

        A restart would append the rest of another answer, so the stream
        ends with an error event, without ``[DONE]`` and unbilled.
        """
        async with start_loopback() as loopback:
            await add_engine(loopback, Fault(kind, after=4))
            loopback.control.servers["engine-1"] = loopback.control.servers[
                "engine-1"
            ]._replace(can_resume=False)
            answer = await loopback.chat(stream=True)
            last = answer.events()[-1]
            assert last["error"]["code"] == "backend_failed"
            assert not loopback.ledger.charges

    @pytest.mark.parametrize("kind", MID_STREAM)
    async def test_resumes_after_the_last_whole_event(
        self, kind: FaultKind
    ) -> None:
        """The engine can resume, and its stream fails in the middle.

        The entry requests the rest on a new connection, from the event
        after the last whole one; the caller gets one complete answer.
        """
        async with start_loopback() as loopback:
            engine = await add_engine(
                loopback, Fault(kind, after=4, times=1), can_resume=True
            )
            answer = await loopback.chat(stream=True, Idempotency_Key="k")
            assert answer.text() == expected_text(LARGE, "k", 8)
            assert answer.events()[-1] == "[DONE]"
            assert [record.resumes for record in engine.records] == [1]


class TestSlowOrIncompleteAnswers:
    async def test_missing_usage_is_estimated(self) -> None:
        async with start_loopback() as loopback:
            await add_engine(loopback, Fault("no_usage"))
            answer = await loopback.chat(stream=True, Idempotency_Key="k")
            assert answer.events()[-1] == "[DONE]"
            assert loopback.ledger.charges["guild", "k"].output_tokens == 8

    async def test_deadline_ends_a_slow_answer(self) -> None:
        async with start_loopback() as loopback:
            await add_engine(loopback, Fault("slow", after=2))
            answer = await loopback.chat(X_Deadline_Ms="200")
            assert answer.json()["error"]["code"] == "deadline_exceeded"

    async def test_disconnected_caller_cancels_the_run(self) -> None:
        """The caller disconnects in the middle of its stream.

        The entry closes its connection to the engine, which then stops
        generating tokens; nothing is billed.
        """
        settings = SETTINGS._replace(chunk_gap_s=60.0)
        async with start_loopback(settings) as loopback:
            engine = await add_engine(loopback, Fault("slow", after=2))
            stream = await anyio.connect_tcp("127.0.0.1", loopback.entry.port)
            body = chat_body("large", stream=True)
            head = (
                "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n"
                "Authorization: Bearer guild-caller-key\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            await stream.send(head.encode() + body)
            await stream.receive()
            await stream.aclose()
            with anyio.fail_after(10):
                while not engine.records[0].cancelled:
                    await anyio.sleep(0.01)
            assert not loopback.ledger.charges
