"""Test the computations of the control bench, without measurements."""

from __future__ import annotations

import pytest

from sycamorestand_bench.control_bench.cost import CellCost
from sycamorestand_bench.control_bench.cost import cells_of
from sycamorestand_bench.control_bench.fitting import fit_line
from sycamorestand_bench.control_bench.fitting import fit_plane
from sycamorestand_bench.control_bench.fitting import percentile
from sycamorestand_bench.control_bench.fitting import Sample
from sycamorestand_bench.control_bench.report import compare_with_goals
from sycamorestand_bench.control_bench.report import json_figures
from sycamorestand_bench.control_bench.target import CONTROLS
from sycamorestand_bench.control_bench.target import ENTRIES
from sycamorestand_bench.control_bench.target import fit_figures
from sycamorestand_bench.control_bench.target import SERVERS
from sycamorestand_bench.control_bench.usage import parse_cpu_s
from sycamorestand_bench.control_bench.usage import parse_resident_mb
from sycamorestand_bench.control_bench.usage import Rate
from sycamorestand_bench.control_bench.usage import rate_between
from sycamorestand_bench.control_bench.usage import socket_bytes
from sycamorestand_bench.control_bench.usage import Usage

SOCKETS = (
    'ESTAB 0 0 127.0.0.1:1 127.0.0.1:2 users:(("python",pid=41,fd=19))'
    " cwnd:12 bytes_sent:248 bytes_acked:249 bytes_received:7 segs_out:4\n"
    'ESTAB 0 0 127.0.0.1:3 127.0.0.1:4 users:(("python",pid=41,fd=20))'
    " cwnd:12 bytes_sent:2 bytes_acked:3\n"
    'ESTAB 0 0 127.0.0.1:5 127.0.0.1:6 users:(("python",pid=410,fd=2))'
    " bytes_sent:9999 bytes_received:9999\n"
)


class TestFitting:
    def test_line_through_exact_points(self) -> None:
        line = fit_line([(1, 5.0), (2, 7.0), (4, 11.0)])
        assert line.slope == pytest.approx(2.0)
        assert line.base == pytest.approx(3.0)
        assert line.at(10) == pytest.approx(23.0)

    @pytest.mark.parametrize("per_pair", [0.0, 0.25])
    def test_plane_recovers_every_coefficient(self, per_pair: float) -> None:
        samples = [
            Sample(n, s, 10 + 2 * n + 0.5 * s + per_pair * n * s)
            for n, s in cells_of((5, 15, 30), (0, 100, 300))
        ]
        plane = fit_plane(samples, product=per_pair > 0)
        assert tuple(plane) == pytest.approx((10, 2, 0.5, per_pair))
        assert plane.at(330, 910) == pytest.approx(
            10 + 660 + 455 + per_pair * 330 * 910
        )

    def test_plane_without_product_has_zero_per_pair(self) -> None:
        samples = [Sample(1, 0, 1.0), Sample(2, 0, 2.0), Sample(2, 5, 3.0)]
        assert fit_plane(samples, product=False).per_pair == 0

    def test_percentiles_of_many_values_and_of_one(self) -> None:
        values = [float(number) for number in range(101)]
        assert percentile(values, 50) == 50
        assert percentile(values, 99) == 99
        assert percentile([4.0], 99) == 4.0


class TestUsage:
    def test_socket_bytes_excludes_other_processes(self) -> None:
        assert socket_bytes(SOCKETS, 41) == (250, 7)
        assert socket_bytes(SOCKETS, 4) == (0, 0)

    def test_proc_files_are_parsed(self) -> None:
        assert parse_cpu_s("1500000000 77 3\n") == 1.5
        status = "Name:\tx\nVmRSS:\t   1000 kB\nThreads:\t3\n"
        assert parse_resident_mb(status) == pytest.approx(1.024)
        with pytest.raises(ValueError, match="no resident memory"):
            parse_resident_mb("Name:\tx\n")

    def test_rate_is_usage_per_second(self) -> None:
        found = rate_between(
            Usage(10, 1, 50, 100, 0), Usage(14, 1.2, 60, 500, 80)
        )
        assert tuple(found) == pytest.approx((5.0, 60.0, 100.0, 20.0))


class TestTarget:
    def test_control_serves_its_share_of_the_entries(self) -> None:
        """Guard against counting all entries as served by one process.

        Costs of follower and leader depend on all entries, the cost of
        serving only on the share of one control process.
        """

        def cell(entries: int, servers: int) -> CellCost:
            follower = 1 + 0.01 * entries + 0.02 * servers
            serving = 0.5 + 0.1 * entries + 0.001 * entries * servers
            flat = Rate(0.4, 50, 0, 0)
            return CellCost(
                entries,
                servers,
                0.0,
                hub=Rate(follower + serving, 50, 0, 0),
                leader=Rate(2 * follower, 50, 0, 0),
                follower=Rate(follower, 50, 0, 0),
                link=flat,
                entry=flat,
                link_frames_per_s=5.0,
                servers_seen=servers,
                leases=entries,
                moves=0,
            )

        cells = cells_of((5, 15, 30), (0, 100, 300))
        figure = fit_figures([cell(*each) for each in cells])[0]
        share = ENTRIES / CONTROLS
        serving = 0.5 + 0.1 * share + 0.001 * share * SERVERS
        follower = 1 + 0.01 * ENTRIES + 0.02 * SERVERS
        assert figure.name == "cpu_percent"
        assert figure.entry_at_target() == pytest.approx(0.4)
        assert figure.follower_at_target() == pytest.approx(follower + serving)
        assert figure.leader_at_target() == pytest.approx(
            2 * follower + serving
        )


class TestReport:
    def test_exceeded_goal_is_reported_as_missed(self) -> None:
        results = compare_with_goals({"in_force_p50_s": 0.31, "kills": 5.0})
        assert [line.goal for line in results] == [0.3, None]
        assert "NOT MET" in results[0].line()
        result = json_figures(results)
        assert result["goals_missed"] == ["in_force_p50_s"]
        assert result["kills"] == 5.0
