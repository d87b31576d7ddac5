"""Fake a model engine with OpenAI's streaming interface; inject faults.

Run as a module, it takes a port, a token rate and versions as arguments
and prints its address.
"""

from __future__ import annotations

from collections.abc import Callable
import sys
import time
from typing import Any
from typing import Final

import anyio
import msgspec

from sycamorestand_bench.fakes.faults import Fault
from sycamorestand_bench.fakes.faults import FaultSwitch
from sycamorestand_bench.fakes.hosting import ConnectionAborted
from sycamorestand_bench.fakes.hosting import read_body
from sycamorestand_bench.fakes.hosting import send_answer
from sycamorestand_bench.fakes.hosting import send_json
from sycamorestand_bench.fakes.hosting import serve_application

DEFAULT_TOKENS: Final = 8
CHARACTERS_PER_TOKEN: Final = 4
EVENT_STREAM: Final = b"text/event-stream"


class EngineRecord:
    """The course of one run; a resumed run continues its record."""

    def __init__(self, headers: dict[str, str], version: str) -> None:
        self.request_key = headers.get("x-request-key", "")
        self.customer = headers.get("x-customer", "")
        self.run_id = headers.get("x-run", "")
        self.version = version
        self.sent_tokens = 0
        self.resumes = 0
        self.whole = False
        self.cancelled = False

    def as_dict(self) -> dict[str, Any]:
        """Return the record for `GET /fake/runs`."""
        return dict(vars(self))


class FakeEngine:
    """The state of one engine; `application` is its ASGI application.

    With ``tokens_per_s`` at zero, tokens are sent without a pause.
    """

    def __init__(
        self,
        name: str,
        versions: tuple[str, ...],
        tokens_per_s: float = 0.0,
        can_resume: bool = False,
    ) -> None:
        self.name = name
        self.versions = versions
        self.tokens_per_s = tokens_per_s
        self.can_resume = can_resume
        self.switch = FaultSwitch()
        self.records: list[EngineRecord] = []
        self.running = 0
        self.most_running = 0
        # A prompt whose system message is this one ends the engine.
        self.ending_prompt = ""
        self.on_ending_prompt: Callable[[str], None] | None = None
        # If it is more than 0, the engine ends so long after the request
        # came, before the head, also where the request has left it by then.
        self.ends_after_s = 0.0
        # While set, answers name this limit, and arrivals are kept.
        self.limit_per_s: float | None = None
        self.limited_arrivals_s: list[float] = []
        self.rests_until_s = 0.0
        self.rest_arrivals_s: list[float] = []

    async def application(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request.

        Besides chat completions, ``/fake/fault`` sets the fault to inject
        and ``/fake/runs`` lists the records of all runs.
        """
        body = await read_body(receive)
        path = scope["path"]
        if path == "/fake/fault":
            self.switch.fault = msgspec.convert(
                msgspec.json.decode(body, type=list[Any]), Fault
            )
            await send_json(send, 200, {})
        elif path == "/fake/runs":
            records = [record.as_dict() for record in self.records]
            await send_json(send, 200, records)
        elif path == "/v1/chat/completions":
            headers = {
                name.decode(): value.decode()
                for name, value in scope["headers"]
            }
            await self._complete(headers, body, receive, send)
        else:
            await send_json(send, 404, {})

    async def _complete(
        self, headers: dict[str, str], body: bytes, receive: Any, send: Any
    ) -> None:
        if self.limit_per_s is not None:
            self.limited_arrivals_s.append(time.monotonic())
        now_s = time.monotonic()
        fault = self.switch.next_fault()
        if now_s < self.rests_until_s:
            self.rest_arrivals_s.append(now_s)
            fault = Fault("refuse", rest_s=self.rests_until_s - now_s)
        if fault.kind == "refuse":
            refusal = fault.refusal_headers()
            await send_answer(send, 503, b"{}", headers=refusal)
            return
        content = msgspec.json.decode(body)
        if content["model"] not in self.versions:
            await send_json(send, 404, {"error": {"message": "no model"}})
            return
        record = self._find_record(headers, content["model"])
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(_cancel_on_disconnect, receive, record, group)
                start = int(headers.get("x-resume-from", "0"))
                if fault.kind == "begin_again":
                    start = 0
                stream = _EventStream(self, record, content, fault, send)
                await stream.send_all(start)
                group.cancel_scope.cancel()
        finally:
            self.running -= 1

    def _find_record(
        self, headers: dict[str, str], version: str
    ) -> EngineRecord:
        run_id = headers.get("x-resume-run")
        if run_id and self.can_resume:
            for record in self.records:
                if record.run_id == run_id:
                    record.resumes += 1
                    return record
        record = EngineRecord(headers, version)
        self.records.append(record)
        return record


class _EventStream:
    def __init__(
        self,
        engine: FakeEngine,
        record: EngineRecord,
        content: dict[str, Any],
        fault: Fault,
        send: Any,
    ) -> None:
        self._engine = engine
        self._record = record
        self._content = content
        self._fault = fault
        self._send = send

    async def send_all(self, start: int) -> None:
        fault = self._fault
        if fault.kind == "error":
            await send_json(self._send, 500, {"error": {"message": "fault"}})
            return
        if fault.kind == "late":
            await anyio.sleep(fault.pause_s)
        if self._ends_engine() and self._engine.ends_after_s > 0:
            await self._end_engine()
        kind = b"text/html" if fault.kind == "wrong_type" else EVENT_STREAM
        headers = [(b"content-type", kind)]
        if start and fault.kind != "begin_again":
            headers.append((b"x-resume-from", b"%d" % start))
        if self._engine.limit_per_s is not None:
            limit = str(self._engine.limit_per_s).encode()
            headers.append((b"x-server-limit", limit))
        await self._send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": headers,
            }
        )
        if self._ends_engine():
            await self._end_engine()
        tokens = self._content.get("max_tokens", DEFAULT_TOKENS)
        await self._send_tokens(start, tokens)
        await self._send_ending(tokens)

    async def _end_engine(self) -> None:
        assert self._engine.on_ending_prompt is not None
        self._engine.on_ending_prompt(self._engine.name)
        await anyio.sleep_forever()

    def _ends_engine(self) -> bool:
        prompt = self._engine.ending_prompt
        if not prompt or self._engine.on_ending_prompt is None:
            return False
        messages = self._content["messages"]
        return any(message.get("content") == prompt for message in messages)

    async def _send_tokens(self, start: int, tokens: int) -> None:
        rate = self._engine.tokens_per_s
        begin_s = anyio.current_time()
        for index in range(start, tokens):
            if rate:
                due_s = begin_s + (index - start) / rate
                await anyio.sleep(max(0.0, due_s - anyio.current_time()))
            if index == self._fault.after:
                await self._inject_fault()
            text = token_text(self._record, index)
            await self._write(_token_event(self._record, text))
            self._record.sent_tokens += 1

    async def _send_ending(self, tokens: int) -> None:
        if self._fault.kind == "no_end":
            await self._send({"type": "http.response.body", "body": b""})
            return
        ending = b"data: [DONE]\n\n"
        if self._fault.kind != "no_usage":
            prompt_count = prompt_tokens(self._content)
            ending = _usage_event(self._record, prompt_count, tokens) + ending
        self._record.whole = True
        await self._send({"type": "http.response.body", "body": ending})

    async def _inject_fault(self) -> None:
        match self._fault.kind:
            case "cut":
                raise ConnectionAborted
            case "silent" | "slow":
                await anyio.sleep(self._fault.pause_s)
            case "garbage":
                await self._write(b"\x00\xff<html>" * 4 + b"\n\n")
            case "error_event":
                await self._write(b'data: {"error":{"message":"bad"}}\n\n')

    async def _write(self, body: bytes) -> None:
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": True}
        )


def token_text(record: EngineRecord, index: int) -> str:
    """Return a token that names the request to which it belongs."""
    return expected_token(record.version, record.request_key, index)


def expected_token(version: str, request_key: str, index: int) -> str:
    """Return the token at this index of the answer to a request."""
    return f"{version}/{request_key}/{index} "


def expected_text(version: str, request_key: str, tokens: int) -> str:
    """Return the complete text of the answer to a request."""
    return "".join(
        expected_token(version, request_key, index) for index in range(tokens)
    )


def prompt_tokens(content: dict[str, Any]) -> int:
    """Return the number of prompt tokens that the fake reports."""
    messages = msgspec.json.encode(content["messages"])
    return len(messages) // CHARACTERS_PER_TOKEN


async def _cancel_on_disconnect(
    receive: Any, record: EngineRecord, group: anyio.abc.TaskGroup
) -> None:
    await receive()
    if not record.whole:
        record.cancelled = True
    group.cancel_scope.cancel()


def _token_event(record: EngineRecord, text: str) -> bytes:
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
    return _event(record, {"choices": [choice]})


def _usage_event(
    record: EngineRecord, prompt_count: int, tokens: int
) -> bytes:
    usage = {
        "prompt_tokens": prompt_count,
        "completion_tokens": tokens,
        "total_tokens": prompt_count + tokens,
    }
    return _event(record, {"choices": [], "usage": usage})


def _event(record: EngineRecord, content: dict[str, Any]) -> bytes:
    chunk = {
        "id": f"chatcmpl-{record.run_id}",
        "object": "chat.completion.chunk",
        "created": 0,
        "model": record.version,
        **content,
    }
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


async def _main(arguments: list[str]) -> None:
    port, rate, *versions = arguments
    engine = FakeEngine("fake-engine", tuple(versions), float(rate))
    async with anyio.create_task_group() as group:
        address = await group.start(
            serve_application, engine.application, int(port)
        )
        print(address, flush=True)


if __name__ == "__main__":
    anyio.run(_main, sys.argv[1:])


__all__ = [
    "EngineRecord",
    "expected_text",
    "expected_token",
    "FakeEngine",
    "prompt_tokens",
    "token_text",
]
