"""An address at which HTTP connections come in, and its limits."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from sycamorestand_peer.http_budget import HttpBudget
from sycamorestand_peer.http_budget import PROCESS_BUDGET


class HttpLimits(NamedTuple):
    """What a client may send, and how long it may take.

    ``header_timeout_s`` begins with the first byte of a request, and
    ``idle_timeout_s`` with the connection or the end of an answer.
    """

    max_header_bytes: int = 32 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 15.0
    body_timeout_s: float = 35.0


def default_limits() -> HttpLimits:
    """Return the limits of a door that has no others."""
    return HttpLimits()


LimitsSource = Callable[[], HttpLimits]


class HttpDoor:
    """One address at which connections come in, with its limits.

    ``limits`` is asked at the begin of each wait, so that it may change.
    """

    def __init__(
        self,
        limits: LimitsSource = default_limits,
        budget: HttpBudget = PROCESS_BUDGET,
    ) -> None:
        self.limits = limits
        self.budget = budget
        self.connections = 0


__all__ = ["default_limits", "HttpDoor", "HttpLimits", "LimitsSource"]
