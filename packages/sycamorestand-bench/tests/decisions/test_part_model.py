"""The block of a part holds at both sizes, and costs little."""

from __future__ import annotations

import pytest

from sycamorestand_bench.decisions.part_model import PartSize
from sycamorestand_bench.decisions.part_model import simulate_parts

TODAY = PartSize(10, 5, 3, 20.0, 4.0)
TARGET = PartSize(330, 910, 7, 2_600.0, 40.0, 8.0)
MAX_SENT_LATE = 3
# The share of control in an entry's link at the target size.
MAX_BYTES_PER_S = 21_000


class TestPartModel:
    @pytest.mark.parametrize("size", [TODAY, TARGET], ids=["10", "330"])
    @pytest.mark.parametrize("seed", range(3))
    def test_few_requests_are_sent_late(
        self, size: PartSize, seed: int
    ) -> None:
        """Of five ends, an entry of ten sees half a one, one of 330 none."""
        figures = simulate_parts(size, seed)
        assert figures.sent_late <= MAX_SENT_LATE
        assert 0.0 < figures.blocked_after_s < 3.0
        assert figures.entry_bytes_per_s < MAX_BYTES_PER_S

    @pytest.mark.parametrize("size", [TODAY, TARGET], ids=["10", "330"])
    @pytest.mark.parametrize("seed", range(3))
    def test_servers_that_end_after_events_count(
        self, size: PartSize, seed: int
    ) -> None:
        """Some events of an answer cleared the part that ends its server."""
        after_events = size._replace(ends_after_s=0.3)
        figures = simulate_parts(after_events, seed)
        assert figures.sent_late <= MAX_SENT_LATE
        assert 0.0 < figures.blocked_after_s < 3.0

    @pytest.mark.parametrize("size", [TODAY, TARGET], ids=["10", "330"])
    def test_many_are_sent_late_without_blocks(self, size: PartSize) -> None:
        figures = simulate_parts(size._replace(is_guarded=False), 1)
        assert figures.sent_late > MAX_SENT_LATE
