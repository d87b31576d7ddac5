"""Which fault a fake shows, and to how many of the next requests."""

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
    """A fault after ``after`` tokens, for ``times`` requests.

    A ``times`` below zero goes on for ever. ``pause_s`` is the wait of
    the faults that are about time.
    """

    kind: FaultKind = "none"
    after: int = 0
    times: int = -1
    pause_s: float = 3600.0


class FaultSwitch:
    """Hands the fault that is set to the next requests."""

    def __init__(self) -> None:
        self.fault = Fault()

    def next_fault(self) -> Fault:
        """Return the fault for one request."""
        fault = self.fault
        if fault.times == 0:
            return Fault()
        if fault.times > 0:
            self.fault = fault._replace(times=fault.times - 1)
        return fault


__all__ = ["Fault", "FaultKind", "FaultSwitch"]
