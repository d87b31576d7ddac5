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
    ``pause_s`` is the delay of the faults that delay an answer, ``rest_s`` the
    rest that a refusal asks for.
    """

    kind: FaultKind = "none"
    after: int = 0
    times: int = -1
    pause_s: float = 3600.0
    rest_s: float = 0.0

    def refusal_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Return the headers of a server's refusal."""
        not_run = (b"x-not-run", b"1")
        if not self.rest_s:
            return (not_run,)
        return (not_run, (b"retry-after", b"%g" % self.rest_s))


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
