"""Decides when a link sends a heartbeat and when it counts as silent."""

from __future__ import annotations

from collections import deque
from typing import Final

HEARTBEAT_INTERVAL_S: Final = 0.5
# Three heartbeats: scheduling pauses on a busy VM often delay one heartbeat
# but rarely three in a row. A lease of 2 s survives one redial.
SILENCE_BOUND_S: Final = 1.5


class LinkHealth:
    """Tracks which frames the peer of a link has acknowledged by an echo.

    A connection can stop delivering without an error while new ones work,
    because a device between both ends has lost its state. Sends then
    succeed, but the echo does not advance. The link therefore counts as
    silent once its oldest unacknowledged frame is too old.
    """

    def __init__(self, now_s: float) -> None:
        self._last_sent_s = now_s - HEARTBEAT_INTERVAL_S
        self._last_echo_s = now_s
        self._unacknowledged: deque[tuple[int, float]] = deque()

    def record_sent(self, sequence: int, now_s: float) -> None:
        """Record that a frame was written to the connection."""
        self._last_sent_s = now_s
        self._unacknowledged.append((sequence, now_s))

    def record_echo(self, sequence: int, now_s: float) -> None:
        """Record that the peer has received all frames up to ``sequence``."""
        self._last_echo_s = now_s
        while self._unacknowledged and self._unacknowledged[0][0] <= sequence:
            self._unacknowledged.popleft()

    def reset(self) -> None:
        """Discard the frames that were sent on a closed connection."""
        self._unacknowledged.clear()

    def is_heartbeat_due(self, now_s: float) -> bool:
        """Return whether nothing was sent for `HEARTBEAT_INTERVAL_S`."""
        return now_s - self._last_sent_s >= HEARTBEAT_INTERVAL_S

    def is_silent(self, now_s: float) -> bool:
        """Return whether a frame has had no echo for `SILENCE_BOUND_S`."""
        if not self._unacknowledged:
            return False
        return now_s - self._unacknowledged[0][1] >= SILENCE_BOUND_S

    def silence_s(self, now_s: float) -> float:
        """Return the seconds since the last echo."""
        return now_s - self._last_echo_s


__all__ = ["HEARTBEAT_INTERVAL_S", "LinkHealth", "SILENCE_BOUND_S"]
