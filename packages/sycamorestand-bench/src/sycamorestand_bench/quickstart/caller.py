"""Call the system as a service of a customer does, with retries."""

from __future__ import annotations

import secrets
import time
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio
import httpcore
import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_ATTEMPTS: Final = 12
RETRY_PAUSE_S: Final = 0.3
MAX_PAUSE_S: Final = 2.0
ADDRESSES_TTL_S: Final = 1.0
# The session's version is withdrawn, so that a retry cannot succeed.
FINAL_CODES: Final = ("session_version_withdrawn",)
TIMEOUT: Final = {"connect": 2.0, "read": 30.0, "write": 5.0, "pool": 30.0}


Headers = dict[bytes | str, bytes | str]


class Call(NamedTuple):
    """One request of a caller; all its attempts use the same request key."""

    kind: str
    customer: str
    request_key: str
    tokens: int = 0
    session: str = ""
    stream: bool = True
    profile: str = ""
    path: str = ""
    system: str = ""
    text: str = "review " * 20


class Attempt(NamedTuple):
    """Outcome, entry and times of one attempt, by `time.monotonic`."""

    run: str
    code: str
    address: str
    begun_s: float
    ended_s: float


class Waiting(NamedTuple):
    """An attempt without an answer and its start, by `time.monotonic`."""

    request_key: str
    address: str
    begun_s: float


class Answer(NamedTuple):
    """The outcome of a call's last attempt.

    ``run`` is ``answered``, the ``run`` field of a refusal (``not_run``,
    ``ran`` or ``unknown``), or ``cut`` where the connection broke or a
    stream ended without its last event. ``tries`` has every attempt,
    including the last one.
    """

    call: Call
    run: str
    code: str = ""
    text: str = ""
    version: str = ""
    cost_micros: int = 0
    tries: tuple[Attempt, ...] = ()

    @property
    def cuts(self) -> tuple[Attempt, ...]:
        """Return the attempts that ended without an answer or refusal."""
        return tuple(each for each in self.tries if each.run == "cut")


class Callers:
    """Makes calls at the addresses that the system publishes.

    The addresses are cached for `ADDRESSES_TTL_S`. ``waiting`` has the
    attempts without an answer, by number of their call.
    """

    def __init__(self, first_addresses: Iterable[str]) -> None:
        self._initial_addresses = list(first_addresses)
        self._addresses = list(self._initial_addresses)
        self._refreshed_s = float("-inf")
        self._pool = httpcore.AsyncConnectionPool(max_connections=200)
        self._next_index = 0
        self._call_count = 0
        self.waiting: dict[int, Waiting] = {}

    async def call(self, call: Call, at: str | None = None) -> Answer:
        """Make a call, with up to `MAX_ATTEMPTS` attempts.

        ``at`` is the address for the first attempt. Return the first
        answer or final refusal, or else the outcome of the last attempt.
        """
        call_number = self._call_count = self._call_count + 1
        try:
            return await self._call(call, at, call_number)
        finally:
            self.waiting.pop(call_number, None)

    async def _call(
        self, call: Call, at: str | None, call_number: int
    ) -> Answer:
        answer = Answer(call, "not_run", "never_asked")
        tries: list[Attempt] = []
        for attempt in range(MAX_ATTEMPTS):
            address = at if at and attempt == 0 else await self._next_address()
            begun_s = time.monotonic()
            waiting = Waiting(call.request_key, address, begun_s)
            self.waiting[call_number] = waiting
            answer, pause_s = await self._make_attempt(call, address)
            ended_s = time.monotonic()
            tries.append(
                Attempt(answer.run, answer.code, address, begun_s, ended_s)
            )
            answer = answer._replace(tries=tuple(tries))
            if answer.run == "answered" or answer.code in FINAL_CODES:
                return answer
            await anyio.sleep(min(pause_s, MAX_PAUSE_S))
        return answer

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _next_address(self) -> str:
        now_s = anyio.current_time()
        if now_s - self._refreshed_s > ADDRESSES_TTL_S:
            await self._refresh_addresses(now_s)
        self._next_index += 1
        return self._addresses[self._next_index % len(self._addresses)]

    async def _refresh_addresses(self, now_s: float) -> None:
        for address in (*self._addresses, *self._initial_addresses):
            try:
                response = await self._pool.request(
                    "GET",
                    f"http://{address}/v1/addresses",
                    extensions={"timeout": TIMEOUT},
                )
            except (httpcore.NetworkError, httpcore.ProtocolError):
                continue
            if response.status != 200:
                continue
            content = msgspec.json.decode(response.content)
            found = [
                row["url"].removeprefix("http://")
                for row in content["addresses"]
            ]
            if found:
                self._addresses = found
                self._refreshed_s = now_s
                return
        self._addresses = list(self._initial_addresses)

    async def _make_attempt(
        self, call: Call, address: str
    ) -> tuple[Answer, float]:
        try:
            if call.kind == "chat":
                return await self._call_chat(call, address)
            return await self._call_service(call, address)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            code = type(error).__name__
            return Answer(call, "cut", code), RETRY_PAUSE_S
        except (msgspec.DecodeError, UnicodeDecodeError):
            # A backend server sent garbage with a successful status.
            return Answer(call, "unknown", "unreadable"), RETRY_PAUSE_S

    async def _call_chat(
        self, call: Call, address: str
    ) -> tuple[Answer, float]:
        headers = _headers(call)
        if call.session:
            headers["X-Session"] = call.session
        messages = [{"role": "user", "content": call.text}]
        if call.system:
            messages.insert(0, {"role": "system", "content": call.system})
        body = {
            "model": call.profile,
            "stream": call.stream,
            "max_tokens": call.tokens,
            "messages": messages,
        }
        async with self._pool.stream(
            "POST",
            f"http://{address}/v1/chat/completions",
            headers=headers,
            content=msgspec.json.encode(body),
            extensions={"timeout": TIMEOUT},
        ) as response:
            content = await response.aread()
        if response.status != 200:
            return _read_refusal(call, response.headers, content)
        answer_headers = _decode_headers(response.headers)
        if call.stream:
            return _read_stream(call, content, answer_headers)
        message = msgspec.json.decode(content)
        text = message["choices"][0]["message"]["content"]
        version = answer_headers.get("x-version", "")
        return Answer(call, "answered", "", text, version), 0.0

    async def _call_service(
        self, call: Call, address: str
    ) -> tuple[Answer, float]:
        method = "POST" if call.kind == "order" else "GET"
        response = await self._pool.request(
            method,
            f"http://{address}/services/portal{call.path}",
            headers=_headers(call),
            content=b'{"sheet": "16ga"}' if method == "POST" else None,
            extensions={"timeout": TIMEOUT},
        )
        if response.status != 200:
            return _read_refusal(call, response.headers, response.content)
        text = response.content.decode()
        return Answer(call, "answered", "", text), 0.0


def new_key(prefix: str) -> str:
    """Return a random request key, unique among all callers."""
    return f"{prefix}-{secrets.token_hex(6)}"


def _headers(call: Call) -> Headers:
    return {
        "Authorization": f"Bearer demo-{call.customer}",
        "Idempotency-Key": call.request_key,
        "Content-Type": "application/json",
    }


def _decode_headers(headers: list[tuple[bytes, bytes]]) -> dict[str, str]:
    return {name.decode().lower(): value.decode() for name, value in headers}


def _read_refusal(
    call: Call, headers: list[tuple[bytes, bytes]], content: bytes
) -> tuple[Answer, float]:
    pause_s = float(_decode_headers(headers).get("retry-after", RETRY_PAUSE_S))
    try:
        error = msgspec.json.decode(content)["error"]
    except (msgspec.DecodeError, KeyError, TypeError):
        return Answer(call, "unknown", "unreadable"), pause_s
    return Answer(call, error["run"], error["code"]), pause_s


def _read_stream(
    call: Call, content: bytes, answer_headers: dict[str, str]
) -> tuple[Answer, float]:
    parts: list[str] = []
    ended = False
    for line in content.split(b"\n"):
        if not line.startswith(b"data: "):
            continue
        data = line.removeprefix(b"data: ")
        if data == b"[DONE]":
            ended = True
            continue
        event: dict[str, Any] = msgspec.json.decode(data)
        if "error" in event:
            error = event["error"]
            code = error.get("code", "")
            return Answer(call, error.get("run", "unknown"), code), 0.1
        for choice in event.get("choices", ()):
            parts.append(choice["delta"].get("content") or "")
    if not ended:
        return Answer(call, "cut", "no_end"), 0.1
    version = answer_headers.get("x-version", "")
    return Answer(call, "answered", "", "".join(parts), version), 0.0


__all__ = [
    "Answer",
    "Call",
    "Callers",
    "FINAL_CODES",
    "new_key",
    "Attempt",
    "Waiting",
]
