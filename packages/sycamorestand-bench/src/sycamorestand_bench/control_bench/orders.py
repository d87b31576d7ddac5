"""Send orders to a process of control links and read its reports."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

import msgspec

from sycamorestand_bench.control_bench.links_process import Order
from sycamorestand_bench.control_bench.links_process import Report

if TYPE_CHECKING:
    from sycamorestand_bench.scenarios.relay import Child

LINKS_MODULE: Final = "sycamorestand_bench.control_bench.links_process"


def send_order(child: Child, order: Order | None = None) -> Report:
    """Send an order, by default for no load, and return the report."""
    line = msgspec.json.encode(order or Order()).decode()
    return msgspec.convert(child.ask(line), Report)


def transferred_bytes(before: list[Report], after: list[Report]) -> int:
    """Return the bytes sent and received between two lists of reports."""
    return sum(map(_bytes, after)) - sum(map(_bytes, before))


def _bytes(report: Report) -> int:
    return report.sent_bytes + report.received_bytes


__all__ = ["LINKS_MODULE", "send_order", "transferred_bytes"]
