"""Fake an engine that accepts orders to load and unload versions.

It records the orders that it received and those that it applied, so that
a test can compare the state that the sender recorded with the effect.
"""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

import anyio
import msgspec

from sycamorestand_bench.fakes.faults import FaultSwitch
from sycamorestand_bench.fakes.hosting import ConnectionAborted
from sycamorestand_bench.fakes.hosting import read_body
from sycamorestand_bench.fakes.hosting import send_answer
from sycamorestand_bench.fakes.hosting import send_json
from sycamorestand_model.backend_servers import Announcement


class ReceivedOrder(NamedTuple):
    """The body of ``POST /orders``."""

    order_id: str
    term: int
    sequence: int
    fencing_number: int
    action: str
    target: str


class FakeOrderedEngine:
    """The state of one engine; `application` receives its orders.

    The engine applies each order ``deliveries`` times, to simulate a
    network that delivers a request twice.
    """

    def __init__(
        self,
        name: str,
        versions: tuple[str, ...] = (),
        *,
        honours_fencing: bool = True,
        max_versions: int = 2,
        deliveries: int = 1,
    ) -> None:
        self.name = name
        self.versions = versions
        self.honours_fencing = honours_fencing
        self.max_versions = max_versions
        self.deliveries = deliveries
        self.switch = FaultSwitch()
        self.received: list[ReceivedOrder] = []
        self.applied: list[ReceivedOrder] = []
        self.highest_number = 0

    def announcement(self, address: str, sequence: int = 1) -> Announcement:
        """Return the announcement of the engine's current state."""
        return Announcement(
            self.name,
            "engine",
            address,
            "marietta",
            1,
            sequence,
            self.versions,
            honours_fencing=self.honours_fencing,
            max_versions=self.max_versions,
        )

    async def application(self, scope: Any, receive: Any, send: Any) -> None:
        """Receive one order and inject the current fault."""
        body = await read_body(receive)
        fields = msgspec.json.decode(body, type=dict[str, Any])
        order = ReceivedOrder(**fields)
        self.received.append(order)
        fault = self.switch.next_fault()
        match fault.kind:
            case "refuse":
                headers = fault.refusal_headers()
                await send_answer(send, 503, b"{}", headers=headers)
            case "error":
                self._apply_deliveries(order)
                await send_json(send, 500, {})
            case "garbage":
                self._apply_deliveries(order)
                await send_answer(send, 200, b"\x00\xff")
            case "cut":
                self._apply_deliveries(order)
                raise ConnectionAborted
            case "silent":
                await anyio.sleep(fault.pause_s)
            case "late":
                status = self._apply_deliveries(order)
                await anyio.sleep(fault.pause_s)
                await send_json(send, status, {})
            case "slow":
                await anyio.sleep(fault.pause_s)
                await send_json(send, self._apply_deliveries(order), {})
            case _:
                await send_json(send, self._apply_deliveries(order), {})

    def _apply_deliveries(self, order: ReceivedOrder) -> int:
        status = 202
        for _ in range(self.deliveries):
            status = self._apply(order)
        return status

    def _apply(self, order: ReceivedOrder) -> int:
        if self.honours_fencing and order.fencing_number < self.highest_number:
            return 409
        self.highest_number = max(self.highest_number, order.fencing_number)
        self.applied.append(order)
        others = tuple(v for v in self.versions if v != order.target)
        if order.action == "load":
            if len(others) >= self.max_versions:
                return 400
            self.versions = (*others, order.target)
        elif order.action == "unload":
            self.versions = others
        return 202


__all__ = ["FakeOrderedEngine", "ReceivedOrder"]
