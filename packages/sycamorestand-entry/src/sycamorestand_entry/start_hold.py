"""Holds requests while an entry that has just started gets ready.

`sycamorestand_decisions.starting` decides how long; this module keeps the
waiting tasks.
"""

from __future__ import annotations

import time
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_decisions.starting import hold_s
from sycamorestand_decisions.starting import STARTING_S

if TYPE_CHECKING:
    from collections.abc import Callable

# A fortieth of a second adds little to the wait. Polling by all 256 requests
# that may wait takes 0.17 of a core, for at most a second.
POLL_S: Final = 0.025


class StartHold:
    """Holds requests until the entry is ready, shortly after its start."""

    def __init__(self) -> None:
        self._started_s = time.monotonic()
        self._waiting = 0

    def is_starting(self) -> bool:
        """Return whether requests may still be held."""
        return time.monotonic() - self._started_s < STARTING_S

    async def wait_until(
        self, ready: Callable[[], bool], left_s: float
    ) -> bool:
        """Wait until ``ready()`` or the end of the hold; return ``ready()``.

        ``left_s`` is the time left until the caller's deadline.
        """
        if ready():
            return True
        since_start_s = time.monotonic() - self._started_s
        self._waiting += 1
        try:
            with anyio.move_on_after(
                hold_s(since_start_s, left_s, self._waiting - 1)
            ):
                while not ready():
                    await anyio.sleep(POLL_S)
        finally:
            self._waiting -= 1
        return ready()


__all__ = ["StartHold"]
