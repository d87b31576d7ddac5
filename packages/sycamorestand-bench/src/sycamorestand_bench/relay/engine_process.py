"""Run a fast fake engine that sends tokens to its streams at intervals.

The scenario needs thousands of tokens per second at a constant rate. The
fake engine of the tests keeps records and would be the bottleneck. The
streams are divided into ``GROUPS`` groups that get their tokens at different
times, so that the measured process does not receive all tokens in a burst.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Final

import httptools
import msgspec

GROUPS: Final = 20
HEAD: Final = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)


def _chunk(event: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(event), event)


def _event(text: str) -> bytes:
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
    content = {
        "id": "chatcmpl-0123456789abcdef",
        "object": "chat.completion.chunk",
        "created": 0,
        "model": "nest-large@1",
        "choices": [choice],
    }
    return b"data: " + msgspec.json.encode(content) + b"\n\n"


TOKEN: Final = _chunk(_event(" token"))
USAGE: Final = _chunk(
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":9}}'
    b"\n\n"
)
DONE: Final = _chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n"


class EngineConnection(asyncio.Protocol):
    """A connection; ``groups`` holds the active connections by group."""

    def __init__(self, groups: list[set[EngineConnection]]) -> None:
        self._groups = groups
        self._group: set[EngineConnection] = set()
        self._parser = httptools.HttpRequestParser(self)
        self._body = b""
        self._left = 0
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._group.discard(self)

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        content = msgspec.json.decode(self._body)
        self._body = b""
        self._left = content["max_tokens"]
        self._group = min(self._groups, key=len)
        self._group.add(self)
        self._transport.write(HEAD + TOKEN)

    def send_token(self) -> bool:
        """Send one token and return whether more follow."""
        self._left -= 1
        if self._left > 0:
            self._transport.write(TOKEN)
            return True
        self._transport.write(USAGE + DONE)
        return False


async def _main(pause_s: float) -> None:
    groups: list[set[EngineConnection]] = [set() for _ in range(GROUPS)]
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: EngineConnection(groups), "127.0.0.1", 0
    )
    host, port = server.sockets[0].getsockname()
    print(f"{host}:{port}", flush=True)
    due_s = loop.time()
    while True:
        for group in groups:
            due_s += pause_s / GROUPS
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            group -= {stream for stream in group if not stream.send_token()}


if __name__ == "__main__":
    asyncio.run(_main(float(sys.argv[1])))


__all__ = ["EngineConnection"]
