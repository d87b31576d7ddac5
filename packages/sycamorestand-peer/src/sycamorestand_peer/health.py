"""When a link sends a heartbeat, and when it counts as silent."""

from __future__ import annotations

from collections import deque
from typing import Final

HEARTBEAT_INTERVAL_S: Final = 0.5
# Three heartbeats: one lost to a scheduling pause is common on a busy VM,
# three in a row are not, and a lease of 2 s outlives one redial.
SILENCE_BOUND_S: Final = 1.5


class LinkHealth:
    """Follows which frames a peer has echoed.

    A connection can go dead without an error while new ones work, because
    something between both ends has lost track of it. Then sends succeed
    and nothing arrives. The symptom is an echo that stands still while
    frames go out, so the oldest frame without echo decides.
    """

    def __init__(self, now_s: float) -> None:
        self._last_sent_s = now_s - HEARTBEAT_INTERVAL_S
        self._last_echo_s = now_s
        self._unacknowledged: deque[tuple[int, float]] = deque()

    def record_sent(self, sequence: int, now_s: float) -> None:
        """Note that a frame was handed to the connection."""
        self._last_sent_s = now_s
        self._unacknowledged.append((sequence, now_s))

    def record_echo(self, sequence: int, now_s: float) -> None:
        """Note that the peer has received everything up to a frame."""
        self._last_echo_s = now_s
        while self._unacknowledged and self._unacknowledged[0][0] <= sequence:
            self._unacknowledged.popleft()

    def reset(self) -> None:
        """Forget frames that went into a connection that was given up."""
        self._unacknowledged.clear()

    def is_heartbeat_due(self, now_s: float) -> bool:
        """Tell whether the link has sent nothing for an interval."""
        return now_s - self._last_sent_s >= HEARTBEAT_INTERVAL_S

    def is_silent(self, now_s: float) -> bool:
        """Tell whether a frame has gone without echo for too long."""
        if not self._unacknowledged:
            return False
        return now_s - self._unacknowledged[0][1] >= SILENCE_BOUND_S

    def silence_s(self, now_s: float) -> float:
        """Return how long ago the last echo came, in seconds."""
        return now_s - self._last_echo_s


__all__ = ["HEARTBEAT_INTERVAL_S", "LinkHealth", "SILENCE_BOUND_S"]
