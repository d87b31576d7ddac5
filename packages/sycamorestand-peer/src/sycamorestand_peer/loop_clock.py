"""A clock that stands still while this process is held up.

A process that gets no processor, or is suspended, finds the answers of its
peers late although they were not: they wait to be read. On this clock only
the time counts in which the process could have read them.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_peer.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

TICK_S: Final = 0.1
# A tick that comes later counts as this long.
MAX_TICK_S: Final = 0.2


class LoopClock:
    """Counts the seconds for which the event loop of a process runs.

    >>> times = iter((0.0, 0.1, 5.1, 5.2))
    >>> clock = LoopClock(lambda: next(times))
    >>> clock.tick()
    >>> clock.tick()
    >>> round(clock.now_s(), 1), round(clock.held_up_s, 1)
    (0.4, 4.8)
    """

    def __init__(self, now_s: Callable[[], float] = boottime_s) -> None:
        self._now_s = now_s
        self._ticked_s = now_s()
        self._time_s = 0.0
        self.held_up_s = 0.0

    def now_s(self) -> float:
        """Return the seconds that the process ran, since its start."""
        return self._time_s + min(self._since_tick_s(), MAX_TICK_S)

    def tick(self) -> None:
        """Count the time since the last tick."""
        elapsed_s = self._since_tick_s()
        counted_s = min(elapsed_s, MAX_TICK_S)
        self._ticked_s += elapsed_s
        self._time_s += counted_s
        self.held_up_s += elapsed_s - counted_s

    async def run(self) -> None:
        """Tick every `TICK_S` until cancelled."""
        while True:
            await anyio.sleep(TICK_S)
            self.tick()

    def _since_tick_s(self) -> float:
        return self._now_s() - self._ticked_s


__all__ = ["LoopClock", "MAX_TICK_S", "TICK_S"]
