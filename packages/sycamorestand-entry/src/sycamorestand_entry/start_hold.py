"""Requests that wait for an entry that has just started.

The decision is `sycamorestand_decisions.starting`'s; here are the waiting
tasks.
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

# A fortieth of a second is little beside the wait. With all 256 that may
# wait it costs 0.17 of a core, for a second at most.
LOOK_S: Final = 0.025


class StartHold:
    """Lets requests wait while this entry is starting."""

    def __init__(self) -> None:
        self._started_s = time.monotonic()
        self._held = 0

    def is_starting(self) -> bool:
        """Tell whether requests may still wait for what is missing."""
        return time.monotonic() - self._started_s < STARTING_S

    async def wait_until(
        self, ready: Callable[[], bool], left_s: float
    ) -> bool:
        """Wait until ``ready`` or for as long as it may; return which.

        ``left_s`` is how long the caller waits.
        """
        if ready():
            return True
        since_start_s = time.monotonic() - self._started_s
        self._held += 1
        try:
            with anyio.move_on_after(
                hold_s(since_start_s, left_s, self._held - 1)
            ):
                while not ready():
                    await anyio.sleep(LOOK_S)
        finally:
            self._held -= 1
        return ready()


__all__ = ["StartHold"]
