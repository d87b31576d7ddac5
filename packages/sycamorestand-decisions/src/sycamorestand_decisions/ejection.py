"""Which backend servers get no work for a while, and how they come back.

The load pattern is one server that fails or answers several times slower
than its peers. Without ejection it keeps its share of the requests, and
that share sets the 99th percentile of all. An ejection without a cap does
the reverse harm: when all servers slow down together, taking some out
makes the rest fail.

A third pattern is few requests, one of which took long: a tail of the work,
a new connection, a long prompt. Averaged as it is over ten answers it makes
a sound server look four times slower, and the loss of one server of three
for ten seconds costs more than the answer did. So no sample counts for more
than `OUTLIER_RATIO` times the typical latency: one of ten cannot eject, and
a server that is slow throughout still stands out.

Shown by ``dev/bench decisions --scenario slow-server`` and
``--scenario server-lost``.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

FAILURES_TO_EJECT: Final = 5
# Three times the typical latency of the pool: long requests among short
# ones move a server's average by less than a factor of two.
SLOW_RATIO: Final = 3.0
MIN_SAMPLES: Final = 10
# Two of ten answers at this ratio leave the average at twice the typical
# one; a server at four times passes `SLOW_RATIO` with its tenth answer.
OUTLIER_RATIO: Final = 6.0
# Averages under this are in nobody's way. Calls of some milliseconds next
# to others of some ten are usual, and differ by more than `SLOW_RATIO`.
MIN_SLOW_S: Final = 0.1
# A probe of a slow server is one slow answer to a caller: with ten entries
# and this time out they stay under one in a hundred requests.
FIRST_EJECTION_S: Final = 10.0
MAX_EJECTION_S: Final = 60.0
# At most this share of a pool is out: where more servers look bad, the
# cause is the load or the network, and fewer servers would not help.
MAX_EJECTED_SHARE: Final = 1.0 / 3.0
# A server that comes back takes its full share only after this time: its
# caches are cold, and a wave of requests would make it look slow again.
SLOW_START_S: Final = 10.0
SLOW_START_FLOOR: Final = 0.1
LATENCY_STEP: Final = 0.1


class Typical(NamedTuple):
    """Medians over the servers of a pool; zero while unknown."""

    latency_s: float = 0.0
    first_byte_s: float = 0.0


class ServerHealth:
    """Failures, latency and ejection of one backend server."""

    def __init__(self) -> None:
        self.latency_s = 0.0
        self.samples = 0
        self.first_byte_s = 0.0
        self.first_bytes = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_until_s = float("-inf")
        self.half_open = False
        self.probing = False
        self.slow_start_since_s = float("-inf")

    def is_ejected(self, now_s: float) -> bool:
        """Tell whether the server gets no work now.

        After its time out one request goes to it as a probe.
        """
        if now_s < self.ejected_until_s:
            return True
        return self.half_open and self.probing

    def slow_start_factor(self, now_s: float) -> float:
        """Return the share of full load, 0 to 1, during slow start."""
        elapsed_s = now_s - self.slow_start_since_s
        if elapsed_s >= SLOW_START_S:
            return 1.0
        return max(SLOW_START_FLOOR, elapsed_s / SLOW_START_S)

    def record_start(self, now_s: float) -> None:
        """Note a request; on a half-open server it is the probe."""
        if self.half_open and now_s >= self.ejected_until_s:
            self.probing = True

    def record_success(
        self, now_s: float, latency_s: float, typical: Typical
    ) -> None:
        """Learn from an answer; a good probe starts the slow start."""
        if now_s < self.ejected_until_s:
            # It was sent before the ejection. Taken for a probe, a good
            # one would end the time out, a slow one double it.
            return
        self.failures = 0
        self._update_average(_clip(latency_s, typical.latency_s))
        if not self.half_open:
            return
        bound_s = SLOW_RATIO * typical.latency_s
        if bound_s and latency_s > bound_s:
            self.eject(now_s)
            return
        self.half_open = self.probing = False
        self.ejections = 0
        self.samples = self.first_bytes = 0
        self.slow_start_since_s = now_s

    def record_failure(self, now_s: float) -> None:
        """Count a failure, but for those sent before an ejection."""
        if now_s >= self.ejected_until_s:
            self.failures += 1

    def record_first_byte(self, latency_s: float, typical: Typical) -> None:
        """Learn from the time to a first byte, long before the end."""
        latency_s = _clip(latency_s, typical.first_byte_s)
        self.first_bytes += 1
        step = max(LATENCY_STEP, 1.0 / self.first_bytes)
        self.first_byte_s += step * (latency_s - self.first_byte_s)

    def expected_s(self, typical: Typical) -> float:
        """Return the latency to expect, from first bytes if need be.

        A slow server's first answers end long after its first bytes came;
        until then it would be taken for a typical one.
        """
        if not typical.latency_s or not typical.first_byte_s:
            return self.latency_s or 1.0
        ratio = self.latency_s / typical.latency_s if self.samples else 1.0
        if self.first_bytes and self.samples < MIN_SAMPLES:
            ratio = max(ratio, self.first_byte_s / typical.first_byte_s)
        return ratio * typical.latency_s

    def should_eject(self, typical: Typical) -> bool:
        """Tell whether failures or latency stand out from the pool."""
        if self.half_open:
            return self.failures > 0
        if self.failures >= FAILURES_TO_EJECT:
            return True
        slow = _is_outlier(self.samples, self.latency_s, typical.latency_s)
        return slow or _is_outlier(
            self.first_bytes, self.first_byte_s, typical.first_byte_s
        )

    def eject(self, now_s: float) -> None:
        """Take the server out, longer each time in a row."""
        ejection_s = FIRST_EJECTION_S * 2**self.ejections
        self.ejected_until_s = now_s + min(ejection_s, MAX_EJECTION_S)
        self.ejections = min(self.ejections + 1, 8)
        self.half_open = True
        self.probing = False
        self.failures = 0

    def _update_average(self, latency_s: float) -> None:
        # Plain mean first: a moving average that begins with one long
        # answer would look slow for dozens of requests.
        self.samples += 1
        step = max(LATENCY_STEP, 1.0 / self.samples)
        self.latency_s += step * (latency_s - self.latency_s)


def _is_outlier(samples: int, average_s: float, typical_s: float) -> bool:
    if samples < MIN_SAMPLES or not typical_s:
        return False
    return average_s > max(MIN_SLOW_S, SLOW_RATIO * typical_s)


def _clip(latency_s: float, typical_s: float) -> float:
    if not typical_s:
        return latency_s
    return min(latency_s, max(MIN_SLOW_S, OUTLIER_RATIO * typical_s))


__all__ = ["MAX_EJECTED_SHARE", "ServerHealth", "Typical"]
