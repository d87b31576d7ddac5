"""Mean pause between the events of a stream, which shows a slow version."""

from __future__ import annotations

from typing import Final

# Events after the first one; the shortest answers have three events.
PACE_EVENTS: Final = 2
# A mean over fewer events would be dominated by a single late event.
RECENT_EVENTS: Final = 8
# All routes share one request class: an engine produces events at the same
# pace for each of them, and a dozen streams split over three classes would
# be too few samples in each to show a difference.
PACE_CLASS: Final = "pace"


class InitialPace:
    """Measure the mean pause between the first events of one stream."""

    def __init__(self) -> None:
        self._first_s = 0.0
        self._events = 0

    def add(self, count: int, now_s: float) -> float | None:
        """Count events that came together at a time.

        Return the mean pause in milliseconds once, with the call that
        completes `PACE_EVENTS` events after the first ones, otherwise None.
        """
        if not count or self._events >= PACE_EVENTS:
            return None
        if not self._first_s:
            # Events that come in one read with the first have no pause.
            self._first_s = now_s
            return None
        self._events += count
        if self._events < PACE_EVENTS:
            return None
        return (now_s - self._first_s) * 1000 / self._events


class RecentPace:
    """Measure the mean pause between the latest events of one stream.

    ``events`` counts all events of the stream.
    """

    def __init__(self) -> None:
        self.events = 0
        self._since_s = 0.0
        self._since_events = 0

    def add(self, count: int, now_s: float) -> float | None:
        """Count events that came together at a time.

        Return the mean pause in seconds after every `RECENT_EVENTS` events
        or more, otherwise None.
        """
        self.events += count
        if not self._since_s:
            self._since_s = now_s
            self._since_events = self.events
            return None
        new_events = self.events - self._since_events
        if new_events < RECENT_EVENTS:
            return None
        pause_s = (now_s - self._since_s) / new_events
        self._since_s = now_s
        self._since_events = self.events
        return pause_s


__all__ = ["InitialPace", "PACE_CLASS", "PACE_EVENTS", "RecentPace"]
