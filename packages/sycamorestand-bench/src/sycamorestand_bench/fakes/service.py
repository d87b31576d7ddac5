"""Fake a plain service whose POST calls are not idempotent."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

import anyio
import msgspec

from sycamorestand_bench.fakes.faults import Fault
from sycamorestand_bench.fakes.faults import FaultSwitch
from sycamorestand_bench.fakes.hosting import ConnectionAborted
from sycamorestand_bench.fakes.hosting import read_body
from sycamorestand_bench.fakes.hosting import send_answer
from sycamorestand_bench.fakes.hosting import send_json


class ServiceRecord(NamedTuple):
    """A call that the service executed."""

    request_key: str
    customer: str
    method: str
    path: str
    body: bytes


class FakeService:
    """The state of one plain service; `application` serves it."""

    def __init__(self, name: str, services: tuple[str, ...]) -> None:
        self.name = name
        self.services = services
        self.switch = FaultSwitch()
        self.records: list[ServiceRecord] = []

    async def application(self, scope: Any, receive: Any, send: Any) -> None:
        """Execute one call, or set the fault through ``/fake/fault``."""
        body = await read_body(receive)
        headers = {
            name.decode(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        path = scope["path"]
        if path == "/fake/fault":
            self.switch.fault = msgspec.convert(
                msgspec.json.decode(body, type=list[Any]), Fault
            )
            await send_json(send, 200, {})
            return
        fault = self.switch.next_fault()
        if fault.kind == "refuse":
            refusal = fault.refusal_headers()
            await send_answer(send, 503, b"{}", headers=refusal)
            return
        self.records.append(
            ServiceRecord(
                headers.get("x-request-key", ""),
                headers.get("x-customer", ""),
                scope["method"],
                path,
                body,
            )
        )
        await self._answer(fault, send)

    async def _answer(self, fault: Fault, send: Any) -> None:
        record = self.records[-1]
        content = {"run": len(self.records), "path": record.path}
        body = msgspec.json.encode(content)
        match fault.kind:
            case "error":
                await send_json(send, 500, {"fault": "error"})
                return
            case "silent" | "late" | "slow":
                await anyio.sleep(fault.pause_s)
            case "cut":
                await _send_half(send, body)
                raise ConnectionAborted
            case "garbage":
                body = b"\x00\xff\x00"
        await send_answer(send, 200, body)


async def _send_half(send: Any, body: bytes) -> None:
    await send(
        {
            "type": "http.response.start",
            "status": 200,
            "headers": [(b"content-length", b"%d" % len(body))],
        }
    )
    await send(
        {
            "type": "http.response.body",
            "body": body[: len(body) // 2],
            "more_body": True,
        }
    )


__all__ = ["FakeService", "ServiceRecord"]
