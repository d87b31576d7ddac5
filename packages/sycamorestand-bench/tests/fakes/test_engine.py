"""Test how an entry handles the faults of a model engine."""

from __future__ import annotations

import re
from typing import NamedTuple

import pytest

from sycamorestand_bench.fakes.declared import LARGE
from sycamorestand_bench.fakes.engine import expected_text
from sycamorestand_bench.fakes.engine import FakeEngine
from sycamorestand_bench.fakes.faults import Fault
from sycamorestand_bench.fakes.loopback import Answer
from sycamorestand_bench.fakes.loopback import Loopback
from sycamorestand_bench.fakes.loopback import start_loopback
from sycamorestand_bench.fakes.raw_server import serve_script
from sycamorestand_model.backend_servers import Announcement

pytestmark = pytest.mark.anyio


class Case(NamedTuple):
    """A fault of the engine and the end of the stream that a caller gets.

    ``end`` is ``[DONE]`` for a complete answer, or the error code.
    """

    fault: Fault
    end: str
    can_resume: bool = False
    name: str = ""


CASES = [
    Case(Fault("refuse", times=1), "overloaded"),
    Case(Fault("late", times=1), "[DONE]"),
    Case(Fault("late"), "backend_failed"),
    Case(Fault("slow", after=3, pause_s=0.1), "[DONE]"),
    Case(Fault("silent", after=3), "backend_failed"),
    Case(Fault("silent", after=3, times=1), "[DONE]", True),
    Case(Fault("cut", after=3), "backend_failed"),
    Case(Fault("cut", after=3, times=1), "[DONE]", True),
    Case(Fault("garbage", after=3), "backend_failed"),
    Case(Fault("garbage", after=0, times=1), "[DONE]"),
    Case(Fault("wrong_type", times=1), "[DONE]"),
    Case(Fault("error", times=1), "[DONE]"),
    Case(Fault("error"), "backend_failed"),
    Case(Fault("error_event", after=3), "backend_failed"),
    Case(Fault("no_end"), "backend_failed"),
    Case(Fault("no_usage"), "[DONE]"),
]


def stream_end(answer: Answer) -> str:
    """Return ``[DONE]`` or the error code with which an answer ended."""
    if answer.status != 200:
        code: str = answer.json()["error"]["code"]
        return code
    last = answer.events()[-1]
    return last if isinstance(last, str) else last["error"]["code"]


class TestEngineFaults:
    @pytest.mark.parametrize("case", CASES)
    async def test_caller_gets_a_complete_answer_or_an_error(
        self, case: Case
    ) -> None:
        """Guard against a partial answer that is billed or looks complete.

        For each fault, the caller gets either the complete answer and one
        charge, or an error and no charge. The next request succeeds.
        """
        async with start_loopback() as loopback:
            engine = FakeEngine(
                "engine-1", (LARGE,), can_resume=case.can_resume
            )
            engine.switch.fault = case.fault
            await loopback.add_engine(engine)
            answer = await loopback.chat(stream=True, Idempotency_Key="k")
            assert stream_end(answer) == case.end
            whole = case.end == "[DONE]"
            if whole:
                assert answer.text() == expected_text(LARGE, "k", 8)
            assert len(loopback.ledger.charges) == int(whole)
            engine.switch.fault = Fault()
            again = await loopback.chat(stream=True, Idempotency_Key="k2")
            assert again.text() == expected_text(LARGE, "k2", 8)

    async def test_resume_that_starts_over_is_rejected(self) -> None:
        """Guard against sending the first tokens to the caller twice.

        The engine's connection breaks; asked to resume, the engine starts
        over. Its answer lacks the header that names the requested event.
        """
        async with start_loopback() as loopback:
            engine = FakeEngine("engine-1", (LARGE,), can_resume=True)
            engine.switch.fault = Fault("cut", after=3, times=1)
            await loopback.add_engine(engine)

            def choose_fault() -> Fault:
                fault = Fault("begin_again") if engine.records else first
                return fault

            first = engine.switch.fault
            engine.switch.next_fault = choose_fault  # type: ignore[method-assign]
            answer = await loopback.chat(stream=True, Idempotency_Key="k")
            assert stream_end(answer) == "backend_failed"
            assert answer.text() == expected_text(LARGE, "k", 3)


HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
_KEY = re.compile(rb"X-Request-Key: (\S+)")


def raw_answer(request: bytes, whole: bool = True) -> bytes:
    """Return a short answer whose text is the request's key."""
    match = _KEY.search(request)
    key = match.group(1) if match else b""
    delta = b'{"choices":[{"delta":{"content":"' + key + b'"}}]}'
    body = b"data: " + delta + b"\n\ndata: [DONE]\n\n"
    length = len(body) if whole else len(body) + 7
    return HEAD + b"content-length: %d\r\n\r\n" % length + body


def fault_on_first(fault: bytes | None) -> object:
    """Return a script that answers only the first request with the fault."""

    def script(count: int, request: bytes) -> bytes | None:
        return fault if count == 1 else raw_answer(request)

    return script


def answer_twice(count: int, request: bytes) -> bytes:
    """Send the answer to every request twice on its connection."""
    return raw_answer(request) * 2


SCRIPTS = {
    "twice": answer_twice,
    "closed": fault_on_first(None),
    "no HTTP": fault_on_first(b"\x00\x01 hello\r\n\r\n"),
    "huge head": fault_on_first(HEAD + b"x: " + b"x" * 100_000),
    "bad chunk": fault_on_first(
        HEAD + b"transfer-encoding: chunked\r\n\r\nzz\r\nabc"
    ),
    "cut head": fault_on_first(HEAD[:20]),
    "upgrade": fault_on_first(
        b"HTTP/1.1 101 Switching\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n"
    ),
}


class TestWireFaults:
    @pytest.mark.parametrize("name", SCRIPTS)
    async def test_each_request_gets_its_own_answer(self, name: str) -> None:
        """Guard against answering a request with another one's answer.

        An engine that answers twice must not have its second answer taken
        for the answer to the next request. After invalid HTTP the entry
        retries on a new connection.
        """
        async with start_loopback() as loopback:
            address = await loopback.group.start(serve_script, SCRIPTS[name])
            loopback.control.servers["raw"] = Announcement(
                "raw", "engine", address, "marietta", 1, 1, (LARGE,)
            )
            for key in ("k1", "k2", "k3"):
                answer = await loopback.chat(stream=True, Idempotency_Key=key)
                assert answer.text() == key
                assert stream_end(answer) == "[DONE]"


NON_OBJECT_EVENTS = [b"data: no JSON\n\n", b"data: [1]\n\n"]
MALFORMED_EVENTS = [
    b'data: {"choices":[7]}\n\n',
    b'data: {"choices":[{"delta":"text"}]}\n\n',
    b'data: {"choices":[{"delta":{"tool_calls":[{"index":1e9}]}}]}\n\n',
    b'data: {"choices":{"delta":1}}\n\n',
]


class TestMalformedEvents:
    async def ask(self, loopback: Loopback, event: bytes) -> Answer:
        """Call an engine whose first answer contains this event."""

        def script(count: int, request: bytes) -> bytes:
            if count > 1:
                return raw_answer(request)
            body = event + b"data: [DONE]\n\n"
            length = b"content-length: %d\r\n\r\n" % len(body)
            return HEAD + length + body

        address = await loopback.group.start(serve_script, script)
        loopback.control.servers["raw"] = Announcement(
            "raw", "engine", address, "marietta", 1, 1, (LARGE,)
        )
        return await loopback.chat(Idempotency_Key="k")

    @pytest.mark.parametrize("event", MALFORMED_EVENTS)
    async def test_invalid_events_cause_an_error_and_no_charge(
        self, event: bytes
    ) -> None:
        """Guard against a crash on events whose JSON has another schema.

        The entry cannot assemble an answer from them. It returns an error,
        bills nothing, and serves the next request.
        """
        async with start_loopback() as loopback:
            answer = await self.ask(loopback, event)
            assert stream_end(answer) == "backend_failed"
            assert not loopback.ledger.charges
            assert (await loopback.chat()).status == 200

    @pytest.mark.parametrize("event", NON_OBJECT_EVENTS)
    async def test_event_without_a_json_object_is_retried(
        self, event: bytes
    ) -> None:
        async with start_loopback() as loopback:
            answer = await self.ask(loopback, event)
            message = answer.json()["choices"][0]["message"]
            assert message["content"] == "k"
            assert len(loopback.ledger.charges) == 1
