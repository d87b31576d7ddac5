"""What one attempt tells of its version, for roll-outs."""

from __future__ import annotations

import time
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_entry.routed.pace import InitialPace
from sycamorestand_entry.routed.pace import PACE_CLASS
from sycamorestand_model.entry_reports import VersionSample

if TYPE_CHECKING:
    from sycamorestand_decisions.selection import Outcome
    from sycamorestand_entry.ports import ControlPort

FIRST_REFUSAL: Final = 400
FIRST_FAILURE: Final = 500
TOO_MANY_REQUESTS: Final = 429


class AttemptSamples:
    """Reports one attempt once, and the pauses between its events.

    Each attempt is a sample of its own, since a retry hides the failure of a
    bad version from the caller. If another entry forwards the attempt, that
    entry reports it. ``begin_s`` is when the request was sent.
    """

    def __init__(
        self,
        control: ControlPort,
        target: str,
        route: str,
        is_forwarded: bool,
    ) -> None:
        self.begin_s = 0.0
        self._control = control
        self._target = target
        self._route = route
        self._is_forwarded = is_forwarded
        self._is_reported = False
        self._pace = InitialPace()

    def report(
        self, failed: bool, first_byte_s: float, refused: bool = False
    ) -> None:
        """Report the attempt; ``first_byte_s`` is 0 if no byte came.

        A stream is reported at its first event, since its end comes seconds
        too late to stop a roll-out.
        """
        if not first_byte_s and not failed:
            return
        self._is_reported = True
        first_s = first_byte_s or time.monotonic() - self.begin_s
        self._send(self._route, failed, first_s * 1000, refused)

    def report_end(
        self, outcome: Outcome, first_byte_s: float, status: int
    ) -> None:
        """Report a failure, or another answer that is not reported yet.

        Refusals by a full server do not count for the version.
        """
        if outcome in ("error", "timeout"):
            self.report(True, first_byte_s)
        elif outcome != "overloaded" and not self._is_reported:
            self.report(False, first_byte_s, _blames_caller(status))

    def report_pace(self, events: int, now_s: float) -> None:
        """Report the pause between events, once there are enough."""
        pause_ms = self._pace.add(events, now_s)
        if pause_ms is not None:
            self._send(PACE_CLASS, False, pause_ms)

    def _send(
        self,
        request_class: str,
        failed: bool,
        latency_ms: float,
        refused: bool = False,
    ) -> None:
        if self._is_forwarded:
            return
        total_ms = (time.monotonic() - self.begin_s) * 1000
        self._control.report(
            VersionSample(
                self._target,
                request_class,
                failed,
                latency_ms,
                total_ms,
                None,
                0,
                refused=refused,
            )
        )


def _blames_caller(status: int) -> bool:
    """Return whether the status says that the request itself is wrong."""
    if status == TOO_MANY_REQUESTS:
        return False
    return FIRST_REFUSAL <= status < FIRST_FAILURE


__all__ = ["AttemptSamples", "FIRST_FAILURE"]
