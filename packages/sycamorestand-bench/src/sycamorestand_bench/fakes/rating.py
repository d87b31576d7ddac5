"""Fake a rating service with a fixed rating for each version."""

from __future__ import annotations

from typing import Any

import anyio
import msgspec

from sycamorestand_bench.fakes.faults import FaultSwitch
from sycamorestand_bench.fakes.hosting import ConnectionAborted
from sycamorestand_bench.fakes.hosting import read_body
from sycamorestand_bench.fakes.hosting import send_answer
from sycamorestand_bench.fakes.hosting import send_json


class FakeRating:
    """The state of a rating service; `application` serves it."""

    def __init__(self, ratings: dict[str, float]) -> None:
        self.ratings = ratings
        self.switch = FaultSwitch()
        self.requests: list[dict[str, Any]] = []

    async def application(self, scope: Any, receive: Any, send: Any) -> None:
        """Rate one answer."""
        request = msgspec.json.decode(await read_body(receive))
        self.requests.append(request)
        fault = self.switch.next_fault()
        rating = self.ratings.get(request["version"], 0.0)
        match fault.kind:
            case "refuse":
                await send_json(send, 503, {})
            case "error":
                await send_json(send, 500, {"rating": rating})
            case "garbage":
                await send_answer(send, 200, b'{"rating": "good"}')
            case "wrong_type":
                await send_json(send, 200, {"rating": 7})
            case "cut":
                raise ConnectionAborted
            case "silent" | "late" | "slow":
                await anyio.sleep(fault.pause_s)
                await send_json(send, 200, {"rating": rating})
            case _:
                await send_json(send, 200, {"rating": rating})


__all__ = ["FakeRating"]
