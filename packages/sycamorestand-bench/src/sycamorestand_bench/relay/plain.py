"""Build a minimal relay of uvicorn and httpcore as a baseline.

It forwards requests and answers without any of the functions of an entry.
"""

from __future__ import annotations

from typing import Any

import httpcore

from sycamorestand_bench.fakes.declared import LARGE
from sycamorestand_bench.fakes.hosting import read_body


def make_plain_relay(engine: str) -> Any:
    """Return an ASGI application that forwards requests to the engine."""
    pool = httpcore.AsyncConnectionPool(
        max_connections=4096, max_keepalive_connections=1024
    )

    async def application(scope: Any, receive: Any, send: Any) -> None:
        body = await read_body(receive)
        body = body.replace(b'"large"', b'"' + LARGE.encode() + b'"')
        url = f"http://{engine}{scope['path']}"
        async with pool.stream("POST", url, content=body) as response:
            await send(
                {
                    "type": "http.response.start",
                    "status": response.status,
                    "headers": [(b"content-type", b"text/event-stream")],
                }
            )
            async for part in response.aiter_stream():
                await send(
                    {
                        "type": "http.response.body",
                        "body": part,
                        "more_body": True,
                    }
                )
        await send({"type": "http.response.body", "body": b""})

    return application


__all__ = ["make_plain_relay"]
