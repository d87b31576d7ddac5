from __future__ import annotations

import pytest

from sycamorestand_bench.decisions.figures import Figures
from sycamorestand_bench.decisions.routing_scenarios import burst
from sycamorestand_bench.decisions.routing_scenarios import concentration
from sycamorestand_bench.decisions.routing_scenarios import error_storm
from sycamorestand_bench.decisions.routing_scenarios import flood
from sycamorestand_bench.decisions.routing_scenarios import hot_keys
from sycamorestand_bench.decisions.routing_scenarios import late_reports
from sycamorestand_bench.decisions.routing_scenarios import long_among_short
from sycamorestand_bench.decisions.routing_scenarios import saturation_1_5
from sycamorestand_bench.decisions.routing_scenarios import saturation_3
from sycamorestand_bench.decisions.routing_scenarios import server_lost
from sycamorestand_bench.decisions.routing_scenarios import slow_server
from sycamorestand_bench.decisions.routing_scenarios import steady
from sycamorestand_bench.decisions.workload import User

BOTH = pytest.mark.parametrize("user", ["guild", "authority"])
SEED = 3


class TestSteady:
    def test_everybody_is_answered(self) -> None:
        figures = steady("guild", SEED)
        assert figures["product"]["answered"] >= 0.998
        least = figures["least-reported"]["p99_s"]
        assert figures["product"]["p99_s"] <= 1.05 * least


class TestBurst:
    @BOTH
    def test_is_cleared_and_nobody_waits_in_vain(self, user: User) -> None:
        """Five times the load arrives for ten seconds.

        Callers wait some seconds or are told at once to come back; what
        is let in is answered, and soon after the burst nothing waits.
        """
        figures = burst(user, SEED)
        assert figures["product"]["cleared_s"] <= 20.0
        assert figures["product"]["late"] <= 0.01
        assert figures["product"]["answered"] >= 0.65
        assert figures["round-robin"]["cleared_s"] > 20.0


class TestFlood:
    @BOTH
    def test_small_customers_hardly_notice(self, user: User) -> None:
        """Two customers send 90 % of one and a half times the capacity.

        The eight others get their answers, nearly as fast as alone. With
        one queue for all, half of them would be too late.
        """
        figures = flood(user, SEED)
        assert figures["product"]["answered"] >= 0.97
        assert figures["product"]["p99_ratio"] <= 1.35
        assert figures["round-robin"]["late"] >= 0.3


class TestHotKeys:
    def test_three_keys_with_half_of_the_load(self) -> None:
        """Half of all requests carry one of three session keys.

        Their servers would be swamped; the bound on affinity lets others
        help, and more requests than without affinity find their prefix.
        """
        figures = hot_keys("guild", SEED)
        assert figures["product"]["answered"] >= 0.99
        hits = figures["product"]["cache_hits"]
        assert hits > figures["random"]["cache_hits"]


class TestSlowServer:
    @BOTH
    def test_one_slow_server_costs_little(self, user: User) -> None:
        """One server answers five times slower than the others.

        It gets few requests and is ejected; in turn, its requests would
        miss their deadlines or set everybody's 99th percentile.
        """
        figures = slow_server(user, SEED)
        assert figures["product"]["p99_ratio"] <= 1.6
        assert figures["product"]["answered"] >= 0.985
        assert figures["round-robin"]["late"] >= 0.05


class TestLongAmongShort:
    def test_short_requests_are_not_held_up(self) -> None:
        """One of twenty requests is thirteen times longer.

        Short ones must not queue behind it: their 99th percentile stays
        under that of choosing by late reports.
        """
        figures = long_among_short("authority", SEED)
        assert figures["product"]["answered"] >= 0.99
        least = figures["least-reported"]["p99_s"]
        assert figures["product"]["p99_s"] <= 1.05 * least


class TestSaturation:
    @BOTH
    def test_three_times_the_capacity(self, user: User) -> None:
        """Callers send three times what the servers can do.

        Servers stay busy with work that is answered in time, and the rest
        is refused when it comes. Sent on at once, nearly all would be late.
        """
        figures = saturation_3(user, SEED)
        assert figures["product"]["useful"] >= 0.9
        assert figures["product"]["refusal_p99_ms"] <= 50.0
        assert figures["product"]["late"] <= 0.01
        assert figures["round-robin"]["useful"] <= 0.4

    def test_one_and_a_half_times_the_capacity(self) -> None:
        figures = saturation_1_5("guild", SEED)
        assert figures["product"]["useful"] >= 0.9
        assert figures["product"]["late"] <= 0.01


class TestServerLost:
    @BOTH
    def test_lost_requests_are_tried_again(self, user: User) -> None:
        """A server goes down with a full batch and comes back cold.

        Its requests are tried on other servers under the retry budget;
        callers see a later answer, no error.
        """
        figures = server_lost(user, SEED)
        assert figures["product"]["answered"] >= 0.99
        assert figures["product"]["late"] <= 0.005


class TestErrorStorm:
    @BOTH
    def test_retries_do_not_multiply_the_load(self, user: User) -> None:
        """Every server fails eight of ten requests for ten seconds.

        Tried three times each, requests would more than double the load
        on servers in trouble; under the budget it hardly grows.
        """
        figures = error_storm(user, SEED)
        assert figures["product"]["attempts"] <= 1.15
        attempts = figures["round-robin"]["attempts"]
        assert attempts > figures["product"]["attempts"]


class TestLateReports:
    @BOTH
    def test_reports_late_and_with_gaps(self, user: User) -> None:
        """Load reports are two seconds old and three of ten are lost.

        Following them, all entries send to the same server until the next
        report; own counts keep the load even.
        """
        figures = late_reports(user, SEED)
        assert figures["product"]["answered"] >= 0.985
        late = figures["least-reported"]["p99_s"]
        assert figures["product"]["p99_s"] <= 0.8 * late


class TestConcentration:
    def test_spreading_measures_better_than_concentrating(self) -> None:
        figures: Figures = concentration("guild", SEED)
        spread, packed = figures["product"], figures["concentrate"]
        assert spread["p50_s"] < packed["p50_s"]
        assert spread["cache_hits"] > packed["cache_hits"]
