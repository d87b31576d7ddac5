"""Test the computations of the ledger bench, without measurements."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram
import pytest

from sycamorestand_bench.ledger_bench.client_process import LoadResult
from sycamorestand_bench.ledger_bench.client_process import MAX_WAIT_US
from sycamorestand_bench.ledger_bench.client_process import SIGNIFICANT_DIGITS
from sycamorestand_bench.ledger_bench.disk import summarize
from sycamorestand_bench.ledger_bench.loads import combine
from sycamorestand_bench.ledger_bench.loads import LoadCost
from sycamorestand_bench.ledger_bench.loads import median_run
from sycamorestand_bench.ledger_bench.loads import Waits
from sycamorestand_bench.scenarios.ledger import figures_of
from sycamorestand_bench.scenarios.ledger import is_carried


def _result(waits_us: list[int], failed: int = 0) -> LoadResult:
    waits = HdrHistogram(1, MAX_WAIT_US, SIGNIFICANT_DIGITS)
    for wait_us in waits_us:
        waits.record_value(wait_us)
    return LoadResult(len(waits_us), failed, 2.0, waits.encode().decode())


def _cost(
    offered_per_s: float,
    p99_ms: float,
    *,
    failed: int = 0,
    shards: int = 1,
    leader_us: float = 100.0,
) -> LoadCost:
    waits = Waits(100, failed, offered_per_s, p99_ms / 2, p99_ms)
    return LoadCost(
        shards, offered_per_s, waits, leader_us, 50, 10, 600, 90, 200
    )


class TestCombine:
    def test_percentiles_include_the_waits_of_all_clients(self) -> None:
        """Guard against a slow client that the 99th percentile omits."""
        waits = combine([_result([1000] * 98), _result([90_000] * 2, 1)])
        assert waits.done == 100
        assert waits.failed == 1
        assert waits.records_per_s == 50
        assert waits.p50_ms == pytest.approx(1.0, rel=0.01)
        assert waits.p99_ms == pytest.approx(90.0, rel=0.01)


class TestDisk:
    def test_maximum_includes_a_single_pause(self) -> None:
        times = summarize([0.2] * 99 + [180.0])
        assert times.p50_ms == pytest.approx(0.2)
        assert times.longest_ms == 180.0


class TestMedianRun:
    def test_median_run_has_the_failures_of_all_runs(self) -> None:
        runs = [_cost(10, 30.0), _cost(10, 900.0, failed=2), _cost(10, 40.0)]
        middle = median_run(runs)
        assert middle.waits.p99_ms == 40.0
        assert middle.waits.failed == 2


class TestFigures:
    @pytest.mark.parametrize(
        ("cost", "carried"),
        [
            (_cost(2000, 49.0), True),
            (_cost(2000, 50.0), False),
            (_cost(2000, 10.0, failed=1), False),
            (
                _cost(2000, 10.0)._replace(
                    waits=Waits(100, 0, 1800.0, 5.0, 10.0)
                ),
                False,
            ),
        ],
    )
    def test_load_is_carried_within_wait_and_rate_limits(
        self, cost: LoadCost, carried: bool
    ) -> None:
        assert is_carried(cost) is carried

    def test_missed_goals_and_slope_without_constant_cost(self) -> None:
        """Guard against constant CPU time in the cost per record.

        Each second costs 50 ms of CPU time at any load, each record 100 us.
        """
        costs = [
            _cost(rate, 20.0, leader_us=100 + 50_000 / rate)
            for rate in (500, 1000, 2000)
        ] + [_cost(4000, 20.0, shards=2)]
        figures = figures_of(costs)
        assert figures["goals_missed"] == []
        assert figures["carried_by_shards"] == {"1": 2000, "2": 4000}
        assert figures["leader_us_a_record_slope"] == pytest.approx(100)
        slow = figures_of([*costs[:2], _cost(2000, 51.0)])
        assert slow["goals_missed"] == ["carried_per_s"]
        assert slow["carried_per_s"] == 1000
