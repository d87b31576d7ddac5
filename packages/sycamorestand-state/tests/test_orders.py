from __future__ import annotations

from collections.abc import Iterable

import pytest

from sycamorestand_state.commands import RecordOrder
from sycamorestand_state.configuration import ConfigurationMachine
from sycamorestand_state.order_book import INTENDED
from sycamorestand_state.order_book import MAX_FINISHED_ORDERS
from sycamorestand_state.orders import FencingNumber
from sycamorestand_state.orders import ORDER_TIMEOUT_S
from sycamorestand_state.orders import OrderIssuer
from sycamorestand_state.orders import SEND_WITHIN_S
from sycamorestand_state.results import ChangeResult
from sycamorestand_state.results import OrderRecord

from .configurations import Cluster

LEADER_LEASE_S = 1.0
WALL_S = 1_800_000_000.0


@pytest.fixture
def cluster() -> Cluster:
    return Cluster()


@pytest.fixture
def issuer() -> OrderIssuer:
    return OrderIssuer(3, 100.0, LEADER_LEASE_S)


def order(
    order_id: str = "3.1",
    term: int = 3,
    sequence: int = 1,
    phase: str = INTENDED,
    server: str = "b1",
) -> RecordOrder:
    return RecordOrder(
        order_id, term, sequence, server, "load", "nest@2", phase, "", WALL_S
    )


def ask(
    issuer: OrderIssuer, now_s: float, orders: Iterable[OrderRecord] = ()
) -> RecordOrder | None:
    return issuer.next_order(now_s, "b1", "load", "nest@2", orders, WALL_S)


def issued(issuer: OrderIssuer, now_s: float) -> RecordOrder:
    record = ask(issuer, now_s)
    assert record is not None
    return record


class TestRecordedOrders:
    def test_intent_and_outcome_change_no_revision(
        self, cluster: Cluster
    ) -> None:
        assert cluster.run(order()).outcome == "applied"
        assert cluster.run(order()).outcome == "unchanged"
        assert cluster.run(order(phase="done")).outcome == "applied"
        assert cluster.machine.revision == 1
        assert [o.phase for o in cluster.machine.orders()] == ["done"]
        kinds = [entry.kind for entry in cluster.machine.audit(1, 9)]
        assert kinds == ["RecordOrder", "RecordOrder"]

    @pytest.mark.parametrize(
        "late",
        [
            order("2.9", 2, 9, server="b2"),
            order("3.1", 3, 1, server="b2"),
            order("3.2", 3, 2),
            order("9.9", 9, 9, "done"),
            order("3.1", 2, 1, "done"),
            order(phase="guessed"),
        ],
        ids=[
            "deposed leader",
            "number used twice",
            "server has another",
            "never intended",
            "other number",
            "unknown phase",
        ],
    )
    def test_what_does_not_fit_is_refused(
        self, cluster: Cluster, late: RecordOrder
    ) -> None:
        cluster.run(order())
        assert cluster.run(late).outcome == "refused"

    def test_a_late_outcome_of_the_old_number_is_refused(
        self, cluster: Cluster
    ) -> None:
        """The new leader's order would count as done before it is.

        The old leader's order is sent again under a new number; then the
        old leader's outcome reaches the log.
        """
        cluster.run(order())
        cluster.run(order(term=4))
        result: ChangeResult = cluster.run(order(phase="done"))
        assert result.outcome == "refused"
        assert "4.1" in result.message

    def test_finished_orders_are_bounded_and_survive_a_restart(
        self, cluster: Cluster
    ) -> None:
        cluster.run(order("open", 1, 1, server="other"))
        for number in range(MAX_FINISHED_ORDERS + 3):
            cluster.run(order(f"{number}", 3, number))
            cluster.run(order(f"{number}", 3, number, "done"))
        orders = cluster.machine.orders()
        assert len(orders) == MAX_FINISHED_ORDERS + 1
        assert orders[0].order_id == "open"
        restored = ConfigurationMachine()
        restored.restore(cluster.machine.snapshot())
        assert restored.orders() == orders


class TestOrderIssuer:
    def test_the_first_order_waits_for_the_predecessors_lease(
        self, issuer: OrderIssuer
    ) -> None:
        assert ask(issuer, 100.0 + LEADER_LEASE_S) is None
        first = issued(issuer, issuer.earliest_order_s)
        assert (first.term, first.sequence, first.phase) == (3, 1, INTENDED)

    def test_numbers_grow_with_term_and_sequence(self) -> None:
        numbers = [FencingNumber(2, 9), FencingNumber(3, 1)]
        assert numbers == sorted(numbers)
        integers = [number.as_integer() for number in numbers]
        assert integers == sorted(integers)

    def test_an_order_goes_once_soon_and_backed(
        self, issuer: OrderIssuer
    ) -> None:
        record = issued(issuer, 110.0)
        assert not issuer.may_send(110.0, 0.0, record)
        assert not issuer.may_send(110.0 + SEND_WITHIN_S, 1.0, record)
        assert not issuer.may_send(110.0, 1.0, order(sequence=9))
        assert issuer.may_send(110.1, 1.0, record)
        assert not issuer.may_send(110.1, 1.0, record)

    def test_a_server_has_one_order_at_a_time(
        self, issuer: OrderIssuer
    ) -> None:
        """An engine would end with either of two versions loaded.

        The first order got no answer: it may yet be read. The next one
        waits until the first can have no effect any more.
        """
        record = issued(issuer, 110.0)
        known = OrderRecord(*record)
        assert ask(issuer, 110.0, [known]) is None
        issuer.may_send(110.0, 1.0, record)
        unknown = issuer.outcome(record, "unknown", "no answer", WALL_S)
        assert ask(issuer, 117.0, [OrderRecord(*unknown)]) is None
        assert ask(issuer, 110.0 + ORDER_TIMEOUT_S) is None
        assert ask(issuer, 117.0) is not None

    def test_an_answered_order_frees_the_server_at_once(
        self, issuer: OrderIssuer
    ) -> None:
        record = issued(issuer, 110.0)
        issuer.may_send(110.0, 1.0, record)
        issuer.outcome(record, "done", "", WALL_S)
        assert ask(issuer, 110.1) is not None


class TestUnfinishedOrders:
    def test_a_new_leader_waits_for_the_old_ones_time_of_flight(
        self, issuer: OrderIssuer, cluster: Cluster
    ) -> None:
        """An engine that ignores the number would act on the old order last.

        The old leader sends and is deposed; its bytes are on their way.
        The new one sends the same order again only when they cannot be.
        """
        cluster.run(order("2.7", 2, 7))
        old = cluster.machine.orders()[0]
        assert issuer.unfinished([old], issuer.earliest_order_s) == ()
        assert issuer.resume(issuer.earliest_order_s, old, WALL_S) is None
        again = issuer.resume(issuer.earliest_resume_s, old, WALL_S)
        assert again is not None
        assert (again.order_id, again.term) == ("2.7", 3)
        assert cluster.run(again).outcome == "applied"

    def test_ones_own_without_an_answer_goes_again_later(
        self, issuer: OrderIssuer
    ) -> None:
        record = issued(issuer, 110.0)
        known = OrderRecord(*record)
        assert issuer.unfinished([known], 110.0) == ()
        assert issuer.unfinished([known], 110.0 + SEND_WITHIN_S) == (known,)
        issuer.may_send(111.0, 1.0, record)
        unknown = issuer.outcome(record, "unknown", "timeout", WALL_S)
        known = OrderRecord(*unknown)
        assert issuer.unfinished([known], 111.0 + ORDER_TIMEOUT_S) == ()
        assert issuer.unfinished([known], 118.0) == (known,)

    def test_finished_ones_stay_finished(self, issuer: OrderIssuer) -> None:
        done = OrderRecord(*order(phase="done"))
        assert issuer.unfinished([done], 999.0) == ()
