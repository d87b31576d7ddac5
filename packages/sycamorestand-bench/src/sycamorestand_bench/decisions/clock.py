"""A virtual clock that runs scheduled calls."""

from __future__ import annotations

import heapq
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class VirtualClock:
    """Runs calls in the order of their times, without real waiting.

    Calls with the same time run in the order in which they were added.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def call_at(self, time_s: float, call: Callable[[], None]) -> None:
        """Schedule a call for a time; a past time means the current one."""
        time_s = max(time_s, self.now_s)
        heapq.heappush(self._calls, (time_s, next(self._order), call))

    def run(self, until_s: float) -> None:
        """Run all calls due by a time and move the clock to it."""
        while self._calls and self._calls[0][0] <= until_s:
            self.now_s, _, call = heapq.heappop(self._calls)
            call()
        self.now_s = until_s


__all__ = ["VirtualClock"]
