"""The pause between the events of a stream, a sign of a slow version."""

from __future__ import annotations

from typing import Final

# The shortest answers have three events.
PACE_EVENTS: Final = 2
# A mean over fewer would take one event that came late for the pace.
RECENT_EVENTS: Final = 8
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


class RecentPace:
    """The mean pause between the last events of one stream."""

    def __init__(self) -> None:
        self.events = 0
        self._since_s = 0.0
        self._since_events = 0

    def add(self, count: int, now_s: float) -> float | None:
        """Add events; returns the pause in seconds each time it is known."""
        self.events += count
        if not self._since_s:
            self._since_s = now_s
            self._since_events = self.events
            return None
        new = self.events - self._since_events
        if new < RECENT_EVENTS:
            return None
        pause_s = (now_s - self._since_s) / new
        self._since_s = now_s
        self._since_events = self.events
        return pause_s


__all__ = ["Pace", "PACE_CLASS", "PACE_EVENTS", "RecentPace"]
