"""A voter lends entries the arrivals that other entries gave."""

from __future__ import annotations

from typing import Any

import pytest

from sycamorestand_bench.fakes.in_memory_control import CONTROL
from sycamorestand_bench.fakes.in_memory_control import FakeMesh
from sycamorestand_control import arrival_lender
from sycamorestand_control.arrival_lender import ArrivalLender
from sycamorestand_decisions.arrivals import Allowance
from sycamorestand_peer.messages import ArrivalsLent
from sycamorestand_peer.messages import ArrivalTrade

ALLOWANCE = Allowance(ratio=0.9, slack=60.0, window_s=10.0)


def answer_of(
    voters: tuple[str, ...], *trades: ArrivalTrade
) -> tuple[ArrivalLender, dict[str, float]]:
    """Return a lender and its answer to the last of the trades."""
    mesh: Any = FakeMesh()
    lender = ArrivalLender(mesh, ALLOWANCE, lambda: voters)
    for trade in trades:
        lender.handle_trade("entry", trade)
    ((address, message),) = mesh.sent[-1:]
    assert address == "entry"
    assert isinstance(message, ArrivalsLent)
    assert message.number == trades[-1].number
    return lender, message.lent


class TestArrivalLender:
    @pytest.fixture(autouse=True)
    def _freeze_time(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(arrival_lender, "boottime_s", lambda: 100.0)

    def test_given_arrivals_are_lent_to_another_entry(self) -> None:
        lender, lent = answer_of(
            (CONTROL,),
            ArrivalTrade(1, {"words": 1.5}, {}),
            ArrivalTrade(1, {}, {"words": 2.0}),
        )
        assert lent == {"words": 1.5}
        assert (lender.asked, lender.lent) == (2.0, 1.5)

    def test_arrivals_above_the_capacity_are_returned(self) -> None:
        room = ALLOWANCE.slack * 0.25 / 2
        _, lent = answer_of(
            (CONTROL,), ArrivalTrade(1, {"words": room + 4.0}, {})
        )
        assert lent == {"words": 4.0}

    def test_a_process_that_is_no_voter_has_no_pool(self) -> None:
        """The total is divided by the voters; another pool would exceed it."""
        lender, lent = answer_of(
            ("10.0.0.7:7000",),
            ArrivalTrade(1, {"words": 1.5}, {}),
            ArrivalTrade(2, {}, {"words": 1.0}),
        )
        assert lent == {}
        assert lender.lent == 0.0
