"""Fake a weight store, which answers whether a load may begin."""

from __future__ import annotations

from typing import Any

import anyio

from sycamorestand_bench.fakes.faults import FaultSwitch
from sycamorestand_bench.fakes.hosting import ConnectionAborted
from sycamorestand_bench.fakes.hosting import read_body
from sycamorestand_bench.fakes.hosting import send_answer
from sycamorestand_bench.fakes.hosting import send_json


class FakeWeightStore:
    """The state of a weight store; `application` serves it.

    ``size_bytes`` maps paths below ``/weights/`` to sizes. The fault
    ``refuse`` stands for a store that is at its rate limit: the answer has
    the header ``retry-after`` unless ``retry_after`` is empty.
    """

    def __init__(self, size_bytes: dict[str, int]) -> None:
        self.size_bytes = size_bytes
        self.switch = FaultSwitch()
        self.retry_after = ""
        self.requested: list[str] = []

    async def application(self, scope: Any, receive: Any, send: Any) -> None:
        """Return the size of one version's weights, or status 404."""
        await read_body(receive)
        name = scope["path"].removeprefix("/weights/")
        self.requested.append(name)
        fault = self.switch.next_fault()
        match fault.kind:
            case "refuse":
                header = (b"retry-after", self.retry_after.encode())
                headers = (header,) if self.retry_after else ()
                await send_answer(send, 429, b"{}", headers=headers)
            case "error":
                await send_json(send, 500, {})
            case "garbage":
                await send_answer(send, 200, b"\x00\xff")
            case "wrong_type":
                await send_json(send, 200, {"bytes": "many"})
            case "cut":
                raise ConnectionAborted
            case "silent" | "late" | "slow":
                await anyio.sleep(fault.pause_s)
                await self._answer(name, send)
            case _:
                await self._answer(name, send)

    async def _answer(self, name: str, send: Any) -> None:
        size_bytes = self.size_bytes.get(name, 0)
        status = 200 if size_bytes else 404
        await send_json(send, status, {"bytes": size_bytes})


__all__ = ["FakeWeightStore"]
