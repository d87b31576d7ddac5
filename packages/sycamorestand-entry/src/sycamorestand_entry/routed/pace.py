"""The pause between the events of a stream, a sign of a slow version."""

from __future__ import annotations

from typing import Final

# The shortest answers have three events.
PACE_EVENTS: Final = 2
# One class for all routes: an engine makes events alike for each of them,
# and a dozen streams over three classes would show nothing in any.
PACE_CLASS: Final = "pace"


class Pace:
    """The mean pause between the first events of one stream."""

    def __init__(self) -> None:
        self._first_s = 0.0
        self._events = 0

    def add(self, count: int, now_s: float) -> float | None:
        """Add events; returns the pause in ms once, when it is known."""
        if not count or self._events >= PACE_EVENTS:
            return None
        if not self._first_s:
            # What comes in one piece with the first has no pause.
            self._first_s = now_s
            return None
        self._events += count
        if self._events < PACE_EVENTS:
            return None
        return (now_s - self._first_s) * 1000 / self._events


__all__ = ["Pace", "PACE_CLASS", "PACE_EVENTS"]
