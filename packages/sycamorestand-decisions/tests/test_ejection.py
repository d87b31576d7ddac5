"""Tests of outlier ejection by latency."""

from __future__ import annotations

import pytest

from sycamorestand_decisions.ejection import ServerHealth
from sycamorestand_decisions.ejection import Typical

CALLS = Typical(0.045, 0.045)
STREAMS = Typical(2.0, 0.5)


def health_after(typical: Typical, latencies_s: list[float]) -> ServerHealth:
    """Return the health after answers with these latencies."""
    health = ServerHealth()
    for latency_s in latencies_s:
        health.record_first_byte(latency_s, typical)
        health.record_success(0.0, latency_s, typical)
    return health


class TestOutlier:
    @pytest.mark.parametrize("long_s", [1.2, 20.0])
    @pytest.mark.parametrize("place", [0, 4, 9])
    def test_one_long_answer_among_ten_ejects_no_server(
        self, long_s: float, place: int
    ) -> None:
        """One call in a hundred takes much longer than the others.

        The average of ten answers rose fourfold, the server was ejected for
        ten seconds, and the two other servers answered its calls late.
        """
        latencies_s = [0.045] * 10
        latencies_s[place] = long_s
        assert not health_after(CALLS, latencies_s).should_eject(CALLS)

    def test_latencies_of_milliseconds_eject_no_server(self) -> None:
        typical = Typical(0.004, 0.004)
        assert not health_after(typical, [0.05] * 20).should_eject(typical)

    @pytest.mark.parametrize(
        ("typical", "slow_s"), [(CALLS, 0.2), (STREAMS, 8.0)]
    )
    def test_a_server_that_is_always_slow_is_ejected(
        self, typical: Typical, slow_s: float
    ) -> None:
        assert health_after(typical, [slow_s] * 10).should_eject(typical)
