"""A backend server's load now, from own counts and a late report.

Reports are seconds old. Taken as they are, every entry sends its work to
the server that was idle two seconds ago, until the next report shows it
overloaded: the pool swings. The entry's own count is exact; of the report
only what is not its own counts, and it fades with age.

Shown by ``dev/bench decisions --scenario late-reports``.
"""

from __future__ import annotations

from collections import deque
from typing import Final

SAMPLE_EVERY_S: Final = 0.25
MAX_SAMPLES: Final = 40
# Others' load is trusted by half after this age: service times are of the
# order of seconds, so what ran four seconds ago is mostly gone.
HALF_LIFE_S: Final = 4.0


class OwnLoad:
    """Requests that this entry has running on one server, with history."""

    def __init__(self) -> None:
        self.in_flight = 0
        self._samples: deque[tuple[float, int]] = deque(maxlen=MAX_SAMPLES)

    def change(self, delta: int, now_s: float) -> None:
        """Count a request that started (1) or ended (-1)."""
        if not self._samples or now_s - self._samples[-1][0] >= SAMPLE_EVERY_S:
            self._samples.append((now_s, self.in_flight))
        self.in_flight = max(0, self.in_flight + delta)

    def count_at(self, when_s: float) -> int:
        """Return the count at a time in the recent past."""
        for index in range(len(self._samples) - 1, -1, -1):
            sampled_s, count = self._samples[index]
            if sampled_s <= when_s:
                return count
        return self._samples[0][1] if self._samples else self.in_flight


def estimated_load(
    own: OwnLoad, reported: int, age_s: float, now_s: float
) -> float:
    """Return own requests plus what is left of others' in the report."""
    if not reported:
        return float(own.in_flight)
    others = max(0, reported - own.count_at(now_s - age_s))
    return own.in_flight + others * 0.5 ** (age_s / HALF_LIFE_S)


__all__ = ["estimated_load", "OwnLoad"]
