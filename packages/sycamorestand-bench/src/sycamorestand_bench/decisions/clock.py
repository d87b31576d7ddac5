"""A virtual clock with scheduled calls."""

from __future__ import annotations

import heapq
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class VirtualClock:
    """Runs calls in the order of their times; nothing waits."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def at(self, when_s: float, call: Callable[[], None]) -> None:
        """Run a call at a time, at once if that has passed."""
        when_s = max(when_s, self.now_s)
        heapq.heappush(self._calls, (when_s, next(self._order), call))

    def run(self, until_s: float) -> None:
        """Run every call up to a time."""
        while self._calls and self._calls[0][0] <= until_s:
            self.now_s, _, call = heapq.heappop(self._calls)
            call()
        self.now_s = until_s


__all__ = ["VirtualClock"]
