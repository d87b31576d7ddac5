"""Decide whether enough entries have told what they had at ended servers.

A control process that is lost leaves its entries without one for a second or
two. What they had at servers that ended is missing meanwhile, and of all
requests at these servers only sound ones may be known. A blame that is
committed then refuses them for a long time.

The decision waits until entries have moved and told, but not for ever: an
entry may be lost as well. A blame that waits is told to the entries at once,
and is dropped again as soon as the missing reports show another cause.
"""

from __future__ import annotations

import math
from typing import Final

LOST_AFTER_S: Final = 0.5
# By then an entry has moved, even if the next control process is lost too.
MOVED_AFTER_S: Final = 3.0
# Time for entries to tell what they had once they are asked.
TOLD_AFTER_S: Final = 0.5
MAX_WAIT_S: Final = 3.0


class EvidenceGaps:
    """When reports were missing last, and since when a decision waits.

    >>> gaps = EvidenceGaps()
    >>> gaps.record_gap(10.0)
    >>> gaps.may_decide(True, 10.2)
    False
    >>> gaps.may_decide(True, 10.6)
    True
    """

    def __init__(self) -> None:
        self._gap_s = -math.inf
        self._waits_since_s = math.inf

    def record_gap(self, now_s: float) -> None:
        """Record that an entry may have had no chance yet to tell."""
        self._gap_s = now_s

    def record_silence(self, silence_s: float, now_s: float) -> None:
        """Record for how long another control process has been silent."""
        if LOST_AFTER_S < silence_s < MOVED_AFTER_S:
            self.record_gap(now_s)

    def may_decide(self, is_due: bool, now_s: float) -> bool:
        """Return whether a decision that ``is_due`` may be committed now."""
        if not is_due:
            self._waits_since_s = math.inf
            return False
        self._waits_since_s = min(self._waits_since_s, now_s)
        if now_s - self._gap_s >= TOLD_AFTER_S:
            return True
        return now_s - self._waits_since_s >= MAX_WAIT_S


__all__ = [
    "EvidenceGaps",
    "LOST_AFTER_S",
    "MAX_WAIT_S",
    "MOVED_AFTER_S",
    "TOLD_AFTER_S",
]
