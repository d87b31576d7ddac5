"""Exchange of arrival budget between an entry and the control process."""

from __future__ import annotations

import time

import pytest

from sycamorestand_bench.fakes.control_port import FakeControlPort
from sycamorestand_bench.fakes.control_port import FakeLedger
from sycamorestand_decisions.arrivals import Allowance
from sycamorestand_decisions.arrivals import ArrivalBudget
from sycamorestand_entry.loans import Loans
from sycamorestand_model.in_force import InForce
from sycamorestand_peer.messages import ArrivalsLent
from sycamorestand_peer.messages import ArrivalTrade

pytestmark = pytest.mark.anyio
SERVICE = "words"
ENTRIES = 200


class Entry:
    """The arrival budget and the loans of one entry among many."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.control = FakeControlPort(InForce(), FakeLedger())
        self.control.entries = ENTRIES
        self.budget = ArrivalBudget(Allowance(ratio=0.9, slack=440.0))
        self.loans = Loans(self.budget, self.control, lambda: self.now_s)

    def request(self) -> None:
        self.budget.record_first_arrival(SERVICE, self.now_s)
        self.loans.trade()

    def trade(self) -> ArrivalTrade:
        """Return the last trade that the entry sent."""
        trade = self.control.sent_messages[-1]
        assert isinstance(trade, ArrivalTrade)
        return trade

    def answer(self, **lent: float) -> None:
        message = ArrivalsLent(self.trade().number, lent)
        self.control.listeners[ArrivalsLent](message)

    def may_escalate(self) -> bool:
        return self.budget.has_spare(SERVICE, ENTRIES, self.now_s, 0.25)


class TestLoans:
    async def test_first_request_may_escalate_with_borrowed_budget(
        self,
    ) -> None:
        """A new entry has earned less than the budget of one arrival."""
        entry = Entry()
        entry.request()
        entry.answer()
        assert not entry.may_escalate()
        entry.now_s += 0.05
        entry.loans.trade(SERVICE)
        lacking = entry.trade().asked[SERVICE]
        assert 0 < lacking < 1
        entry.answer(words=lacking)
        assert entry.may_escalate()

    async def test_accepts_no_more_than_it_requested(self) -> None:
        entry = Entry()
        entry.request()
        entry.answer(words=50.0)
        share = entry.budget.share(SERVICE, ENTRIES, entry.now_s)
        assert share.left <= share.most

    async def test_gives_nothing_while_control_does_not_answer(self) -> None:
        """A control process that was cut off got all of the spare budget."""
        entry = Entry()
        for _ in range(10):
            entry.request()
            entry.now_s += 2.0
        given = [
            message.given
            for message in entry.control.sent_messages
            if isinstance(message, ArrivalTrade)
        ]
        assert len(given) > 3
        assert not any(given)
        assert entry.may_escalate()

    async def test_budget_returned_by_a_full_pool_is_kept(self) -> None:
        entry = Entry()
        entry.request()
        entry.answer()
        for _ in range(3):
            entry.now_s += 0.2
            entry.request()
        given = entry.trade().given[SERVICE]
        left = entry.budget.share(SERVICE, ENTRIES, entry.now_s).left
        entry.answer(words=given)
        share = entry.budget.share(SERVICE, ENTRIES, entry.now_s)
        assert share.left == pytest.approx(left + given)

    async def test_late_answer_is_ignored(self) -> None:
        """The entry has requested the budget again; it would count twice."""
        entry = Entry()
        entry.request()
        entry.answer()
        entry.now_s += 0.05
        entry.loans.trade(SERVICE)
        late = ArrivalsLent(entry.trade().number, {SERVICE: 0.5})
        entry.now_s += 2.0
        entry.loans.trade(SERVICE)
        before = entry.budget.share(SERVICE, ENTRIES, entry.now_s).left
        entry.control.listeners[ArrivalsLent](late)
        after = entry.budget.share(SERVICE, ENTRIES, entry.now_s).left
        assert after == before

    async def test_request_waits_only_briefly_for_a_missing_answer(
        self,
    ) -> None:
        """A refusal was delayed for as long as control did not answer."""
        entry = Entry()
        entry.request()
        entry.answer()
        entry.now_s += 0.05
        begin_s = time.monotonic()
        await entry.loans.borrow(SERVICE)
        await entry.loans.borrow(SERVICE)
        assert time.monotonic() - begin_s < 1.0
