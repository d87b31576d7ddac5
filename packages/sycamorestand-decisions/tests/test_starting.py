from __future__ import annotations

import pytest

from sycamorestand_decisions.starting import hold_s
from sycamorestand_decisions.starting import MAX_HELD
from sycamorestand_decisions.starting import MAX_HOLD_S
from sycamorestand_decisions.starting import STARTING_S


class TestHold:
    @pytest.mark.parametrize(
        ("since_start_s", "left_s", "held", "hold"),
        [
            (0.0, 1.5, 0, 0.3),
            (0.0, 25.0, 0, MAX_HOLD_S),
            (STARTING_S - 0.1, 25.0, 0, 0.1),
            (STARTING_S, 25.0, 0, 0.0),
            (0.0, 0.0, 0, 0.0),
            (0.0, -1.0, 0, 0.0),
            (0.0, 25.0, MAX_HELD, 0.0),
        ],
    )
    def test_bounds(
        self, since_start_s: float, left_s: float, held: int, hold: float
    ) -> None:
        assert hold_s(since_start_s, left_s, held) == pytest.approx(hold)

    def test_a_burst_at_the_start_is_bounded(self) -> None:
        # All callers come back in the second after a restart of all
        # entries. Each waiting request holds a connection and its body.
        # Without a limit, they fill the memory of a small VM before the
        # entry gets its lease.
        held = 0
        for _ in range(10_000):
            held += hold_s(0.1, 20.0, held) > 0
        assert held == MAX_HELD
