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
    def test_all_requests_are_answered(self) -> None:
        figures = steady("guild", SEED)
        assert figures["product"]["answered"] >= 0.998
        least = figures["least-reported"]["p99_s"]
        assert figures["product"]["p99_s"] <= 1.05 * least


class TestBurst:
    @BOTH
    def test_burst_clears_and_admitted_requests_finish(
        self, user: User
    ) -> None:
        """Five times the load arrives for ten seconds.

        Without admission control, requests queue past their deadlines.
        Admitted requests must be answered in time, the others refused, and
        the queue must be empty soon after the burst.
        """
        figures = burst(user, SEED)
        assert figures["product"]["cleared_s"] <= 20.0
        assert figures["product"]["late"] <= 0.01
        assert figures["product"]["answered"] >= 0.65
        assert figures["round-robin"]["cleared_s"] > 20.0


class TestFlood:
    @BOTH
    def test_flood_does_not_delay_small_customers(self, user: User) -> None:
        """Two customers send 90 % of one and a half times the capacity.

        The eight other customers must be answered nearly as fast as without
        the flood. With one queue for all customers, half of their answers
        would be late.
        """
        figures = flood(user, SEED)
        assert figures["product"]["answered"] >= 0.97
        assert figures["product"]["p99_ratio"] <= 1.35
        assert figures["round-robin"]["late"] >= 0.3


class TestHotKeys:
    def test_hot_keys_do_not_overload_their_servers(self) -> None:
        """Half of all requests carry one of three session keys.

        Unbounded affinity would overload the servers of these keys. The
        bound spreads the excess over other servers, and more requests must
        still find their prefix cached than without affinity.
        """
        figures = hot_keys("guild", SEED)
        assert figures["product"]["answered"] >= 0.99
        hits = figures["product"]["cache_hits"]
        assert hits > figures["random"]["cache_hits"]


class TestSlowServer:
    @BOTH
    def test_slow_server_hardly_raises_the_latency(self, user: User) -> None:
        """One server answers five times slower than the others.

        The selector must send it few requests and eject it. With round
        robin, its requests miss their deadlines or determine the 99th
        percentile.
        """
        figures = slow_server(user, SEED)
        assert figures["product"]["p99_ratio"] <= 1.6
        assert figures["product"]["answered"] >= 0.985
        assert figures["round-robin"]["late"] >= 0.05


class TestLongAmongShort:
    def test_long_requests_do_not_delay_short_ones(self) -> None:
        """One of twenty requests is thirteen times longer.

        Short requests must not queue behind long ones. Their 99th percentile
        must be about as low as with selection by reported load, or lower.
        """
        figures = long_among_short("authority", SEED)
        assert figures["product"]["answered"] >= 0.99
        least = figures["least-reported"]["p99_s"]
        assert figures["product"]["p99_s"] <= 1.05 * least


class TestSaturation:
    @BOTH
    def test_three_times_the_capacity_keeps_work_useful(
        self, user: User
    ) -> None:
        """Callers send three times the capacity of the servers.

        The servers must stay busy with work that is answered in time, and
        the excess must be refused on arrival. Without admission control,
        nearly all answers would be late.
        """
        figures = saturation_3(user, SEED)
        assert figures["product"]["useful"] >= 0.9
        assert figures["product"]["refusal_p99_ms"] <= 50.0
        assert figures["product"]["late"] <= 0.01
        assert figures["round-robin"]["useful"] <= 0.4

    def test_half_more_than_the_capacity_keeps_work_useful(self) -> None:
        figures = saturation_1_5("guild", SEED)
        assert figures["product"]["useful"] >= 0.9
        assert figures["product"]["late"] <= 0.01


class TestServerLost:
    @BOTH
    def test_requests_of_a_lost_server_are_retried(self, user: User) -> None:
        """A server goes down with a full batch and comes up cold.

        Its requests must be retried on other servers within the retry
        budget, so that callers get a later answer and no error.
        """
        figures = server_lost(user, SEED)
        assert figures["product"]["answered"] >= 0.99
        assert figures["product"]["late"] <= 0.005


class TestErrorStorm:
    @BOTH
    def test_retries_do_not_multiply_the_load(self, user: User) -> None:
        """Every server fails eight of ten requests for ten seconds.

        With up to three attempts each, the requests would more than double
        the load on the failing servers. The retry budget must prevent that.
        """
        figures = error_storm(user, SEED)
        assert figures["product"]["attempts"] <= 1.15
        attempts = figures["round-robin"]["attempts"]
        assert attempts > figures["product"]["attempts"]


class TestLateReports:
    @BOTH
    def test_late_reports_do_not_cause_herding(self, user: User) -> None:
        """Load reports are two seconds old and three of ten are lost.

        Entries that use the reports alone all send to the same server until
        the next report. The counts of each entry must keep the load even.
        """
        figures = late_reports(user, SEED)
        assert figures["product"]["answered"] >= 0.985
        late = figures["least-reported"]["p99_s"]
        assert figures["product"]["p99_s"] <= 0.8 * late


class TestConcentration:
    def test_spreading_is_faster_than_concentrating(self) -> None:
        figures: Figures = concentration("guild", SEED)
        spread, packed = figures["product"], figures["concentrate"]
        assert spread["p50_s"] < packed["p50_s"]
        assert spread["cache_hits"] > packed["cache_hits"]
