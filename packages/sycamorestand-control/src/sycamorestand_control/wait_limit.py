"""The time for which the call of an operator may wait in all."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import Final

from sycamorestand_peer.clock import boottime_s

# Callers wait for a second, which also has to hold the work on the call and
# the way there and back.
CALL_WAIT_S: Final = 0.75
# Sending a large command to a majority, and syncing and applying it, is part
# of the waiting. Callers wait longer for a large body at about this rate.
BODY_BYTES_PER_S: Final = 2_000_000


class WaitLimit:
    """What is left of the time for which one call may wait.

    All waits of a call share it: for its turn, a leader, an answer or a
    commit. Only waits count. The work on a large body is never cut, as it
    ends by itself, and the call could not be served sooner elsewhere.
    """

    def __init__(
        self,
        body_bytes: int = 0,
        limit_s: float = CALL_WAIT_S,
        now_s: Callable[[], float] = boottime_s,
    ) -> None:
        self.left_s = limit_s + body_bytes / BODY_BYTES_PER_S
        self._now_s = now_s

    @contextlib.contextmanager
    def counted(self) -> Iterator[None]:
        """Count the time of a wait."""
        begin_s = self._now_s()
        try:
            yield
        finally:
            waited_s = self._now_s() - begin_s
            self.left_s = max(0.0, self.left_s - waited_s)


__all__ = ["BODY_BYTES_PER_S", "CALL_WAIT_S", "WaitLimit"]
