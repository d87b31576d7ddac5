"""Outlier ejection of backend servers, half-open probes and slow start.

One server may fail, or answer several times more slowly than its peers.
Without ejection it keeps its share of the requests, and this share determines
the 99th percentile of the latency of all requests. Ejection without a cap
causes the opposite problem: when all servers slow down together, ejecting some
of them makes the others fail.

With few requests, a single one may take long: because of unusually large work,
a new connection, or a long prompt. In an average over ten answers it makes a
healthy server look four times slower, and the loss of one of three servers for
ten seconds costs more than the slow answer. A sample therefore counts for at
most `OUTLIER_RATIO` times the typical latency: one of ten cannot cause an
ejection, and a server that is always slow still stands out.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

FAILURES_TO_EJECT: Final = 5
# Long requests among short ones change a server's average by less than a
# factor of two, which is below three times the typical latency of the pool.
SLOW_RATIO: Final = 3.0
MIN_SAMPLES: Final = 10
# Two of ten answers at this ratio leave the average at twice the typical
# latency. A server that is four times slower exceeds `SLOW_RATIO` with its
# tenth answer.
OUTLIER_RATIO: Final = 6.0
# In seconds. Averages below this harm no caller. Latencies of a few
# milliseconds next to some of about ten are common, and differ by more than
# `SLOW_RATIO`.
MIN_SLOW_S: Final = 0.1
# Each probe of a slow server gives one caller a slow answer. With ten entries
# and this duration, probes stay below one in a hundred requests.
FIRST_EJECTION_S: Final = 10.0
MAX_EJECTION_S: Final = 60.0
# At most this share of a pool is ejected. If more servers look unhealthy, the
# cause is the load or the network, and fewer servers would not help.
MAX_EJECTED_SHARE: Final = 1.0 / 3.0
# A server that returns gets its full share only after this time. Its caches
# are cold, and a burst of requests would make it look slow again.
SLOW_START_S: Final = 10.0
SLOW_START_FLOOR: Final = 0.1
LATENCY_STEP: Final = 0.1


class Typical(NamedTuple):
    """Median latencies of the servers of a pool, in seconds; 0 if unknown."""

    latency_s: float = 0.0
    first_byte_s: float = 0.0


class ServerHealth:
    """Failures, latency and ejection state of one backend server."""

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
        """Return whether the server gets no work now.

        After an ejection ends, the server gets a single request as a probe.
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
        """Record the start of a request or, if half-open, of the probe."""
        if self.half_open and now_s >= self.ejected_until_s:
            self.probing = True

    def record_success(
        self, now_s: float, latency_s: float, typical: Typical
    ) -> None:
        """Update the latency; a fast enough probe ends the ejection."""
        if now_s < self.ejected_until_s:
            # The request was sent before the ejection and is not the probe.
            # Treated as one, a success would end the ejection and a slow
            # answer would double it.
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
        """Count a failure, unless the server is ejected now."""
        if now_s >= self.ejected_until_s:
            self.failures += 1

    def record_first_byte(self, latency_s: float, typical: Typical) -> None:
        """Update the average time to the first byte."""
        latency_s = _clip(latency_s, typical.first_byte_s)
        self.first_bytes += 1
        step = max(LATENCY_STEP, 1.0 / self.first_bytes)
        self.first_byte_s += step * (latency_s - self.first_byte_s)

    def expected_s(self, typical: Typical) -> float:
        """Return the expected latency in seconds.

        A slow server's first answers end long after their first bytes. Until
        enough answers have ended, the time to the first byte is used as well;
        otherwise the server would be taken for a typical one.
        """
        if not typical.latency_s or not typical.first_byte_s:
            return self.latency_s or 1.0
        ratio = self.latency_s / typical.latency_s if self.samples else 1.0
        if self.first_bytes and self.samples < MIN_SAMPLES:
            ratio = max(ratio, self.first_byte_s / typical.first_byte_s)
        return ratio * typical.latency_s

    def should_eject(self, typical: Typical) -> bool:
        """Return whether failures or latency stand out from the pool."""
        if self.half_open:
            return self.failures > 0
        if self.failures >= FAILURES_TO_EJECT:
            return True
        slow = _is_outlier(self.samples, self.latency_s, typical.latency_s)
        return slow or _is_outlier(
            self.first_bytes, self.first_byte_s, typical.first_byte_s
        )

    def eject(self, now_s: float) -> None:
        """Eject the server, for longer after each consecutive ejection."""
        ejection_s = FIRST_EJECTION_S * 2**self.ejections
        self.ejected_until_s = now_s + min(ejection_s, MAX_EJECTION_S)
        self.ejections = min(self.ejections + 1, 8)
        self.half_open = True
        self.probing = False
        self.failures = 0

    def _update_average(self, latency_s: float) -> None:
        # Starts as a plain mean: a moving average that starts with one long
        # answer would stay high for dozens of requests.
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
