"""Define the faults that a fake injects into its next requests."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple

FaultKind = Literal[
    "none",
    "begin_again",
    "cut",
    "error",
    "error_event",
    "garbage",
    "late",
    "no_end",
    "no_usage",
    "refuse",
    "silent",
    "slow",
    "wrong_type",
]


class Fault(NamedTuple):
    """A kind of fault and the requests that it affects.

    It affects the next ``times`` requests, or all of them if ``times`` is
    negative. A fault within a stream is injected after ``after`` tokens.
    ``pause_s`` is the delay of the faults that delay an answer.
    """

    kind: FaultKind = "none"
    after: int = 0
    times: int = -1
    pause_s: float = 3600.0


class FaultSwitch:
    """Selects the fault for each request."""

    def __init__(self) -> None:
        self.fault = Fault()

    def next_fault(self) -> Fault:
        """Return the fault for the next request and count it."""
        fault = self.fault
        if fault.times == 0:
            return Fault()
        if fault.times > 0:
            self.fault = fault._replace(times=fault.times - 1)
        return fault


__all__ = ["Fault", "FaultKind", "FaultSwitch"]
