"""Run a load client that measures the time to the first token.

The process reads a `Run` as one line of JSON and prints its results as one
line of JSON, repeatedly.
"""

from __future__ import annotations

import asyncio
import sys
import time
from typing import Any
from typing import Final

import msgspec

CALLER: Final = b"Authorization: Bearer guild-caller-key\r\n"
TOKEN_MARK: Final = b'"content"'
DONE: Final = b"[DONE]"


class Run(msgspec.Struct):
    """The number of concurrent streams, with rounds and tokens of each.

    Each stream receives ``rounds`` answers of ``tokens`` tokens. ``pause_s``
    is the time between the starts of two streams.
    """

    address: str
    model: str
    streams: int
    tokens: int
    rounds: int = 1
    pause_s: float = 0.0


class Stream(asyncio.Protocol):
    """A connection that requests ``rounds`` answers one after another."""

    def __init__(self, request: bytes, rounds: int) -> None:
        self.first_ms: list[float] = []
        self.tokens = 0
        self.complete_answers = 0
        self.finished = asyncio.get_running_loop().create_future()
        self._request = request
        self._rounds = rounds
        self._waiting = False
        self._sent_s = 0.0
        self._tail = b""
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._send()

    def data_received(self, data: bytes) -> None:
        tokens = data.count(TOKEN_MARK)
        if self._waiting and tokens:
            self._waiting = False
            self.first_ms.append((time.perf_counter() - self._sent_s) * 1000)
        self.tokens += tokens
        self._tail = (self._tail + data)[-32:]
        if DONE not in self._tail or not self._tail.endswith(b"0\r\n\r\n"):
            return
        self.complete_answers += 1
        self._tail = b""
        if self.complete_answers < self._rounds:
            self._send()
            return
        self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.finished.done():
            self.finished.set_result(None)

    def _send(self) -> None:
        self._waiting = True
        self._sent_s = time.perf_counter()
        self._transport.write(self._request)


async def run_streams(run: Run) -> dict[str, Any]:
    """Open the streams, read them to their end and return the results."""
    host, _, port = run.address.rpartition(":")
    request = _encode_request(run)
    loop = asyncio.get_running_loop()
    streams: list[Stream] = []
    begin_s = time.perf_counter()
    for index in range(run.streams):
        due_s = begin_s + index * run.pause_s
        await asyncio.sleep(max(0.0, due_s - time.perf_counter()))
        _, stream = await loop.create_connection(
            lambda: Stream(request, run.rounds), host, int(port)
        )
        streams.append(stream)
    await asyncio.gather(*(stream.finished for stream in streams))
    return {
        "first_ms": [ms for stream in streams for ms in stream.first_ms],
        "tokens": sum(stream.tokens for stream in streams),
        "whole": sum(stream.complete_answers for stream in streams),
        "seconds": time.perf_counter() - begin_s,
    }


def _encode_request(run: Run) -> bytes:
    content = {
        "model": run.model,
        "messages": [{"role": "user", "content": "Explain the scrap."}],
        "max_tokens": run.tokens,
        "stream": True,
    }
    body = msgspec.json.encode(content)
    return (
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n"
        + CALLER
        + b"Content-Length: %d\r\n\r\n" % len(body)
        + body
    )


def main() -> None:
    """Execute one run for each line of standard input."""
    for line in sys.stdin:
        run = msgspec.json.decode(line, type=Run)
        result = asyncio.run(run_streams(run))
        print(msgspec.json.encode(result).decode(), flush=True)


if __name__ == "__main__":
    main()


__all__ = ["main", "Run", "run_streams", "Stream"]
