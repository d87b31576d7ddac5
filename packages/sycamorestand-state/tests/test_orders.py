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


def request_order(
    issuer: OrderIssuer, now_s: float, orders: Iterable[OrderRecord] = ()
) -> RecordOrder | None:
    return issuer.next_order(now_s, "b1", "load", "nest@2", orders, WALL_S)


def request_next_order(issuer: OrderIssuer, now_s: float) -> RecordOrder:
    record = request_order(issuer, now_s)
    assert record is not None
    return record


class TestRecordedOrders:
    def test_recording_an_order_creates_no_revision(
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
            "server has another unfinished order",
            "intent was never recorded",
            "fencing number of another order",
            "unknown phase",
        ],
    )
    def test_inconsistent_records_are_refused(
        self, cluster: Cluster, late: RecordOrder
    ) -> None:
        cluster.run(order())
        assert cluster.run(late).outcome == "refused"

    def test_a_late_outcome_of_an_old_fencing_number_is_refused(
        self, cluster: Cluster
    ) -> None:
        """Guards against an order that counts as done too early.

        A new leader resends the order under a new fencing number. Then the
        old leader's outcome, with the old number, reaches the log.
        """
        cluster.run(order())
        cluster.run(order(term=4))
        result: ChangeResult = cluster.run(order(phase="done"))
        assert result.outcome == "refused"
        assert "4.1" in result.message

    def test_long_detail_of_an_earlier_release(
        self, cluster: Cluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against replicas of which one knows a resent order."""
        failed = order(phase="failed")._replace(detail="x" * 9_999)
        with monkeypatch.context() as earlier:
            module = "sycamorestand_state.order_book"
            earlier.setattr(f"{module}.MAX_DETAIL_CHARACTERS", 10_000)
            cluster.run(order())
            cluster.run(failed)
        cluster.machine.restore(cluster.machine.snapshot())
        assert cluster.run(failed).outcome == "unchanged"

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
        assert request_order(issuer, 100.0 + LEADER_LEASE_S) is None
        first = request_next_order(issuer, issuer.earliest_order_s)
        assert (first.term, first.sequence, first.phase) == (3, 1, INTENDED)

    def test_fencing_numbers_increase_with_term_and_sequence(self) -> None:
        numbers = [FencingNumber(2, 9), FencingNumber(3, 1)]
        assert numbers == sorted(numbers)
        integers = [number.as_integer() for number in numbers]
        assert integers == sorted(integers)

    def test_an_order_is_sent_once_in_time_and_with_a_quorum(
        self, issuer: OrderIssuer
    ) -> None:
        record = request_next_order(issuer, 110.0)
        assert not issuer.claim_send(110.0, 0.0, record)
        assert not issuer.claim_send(110.0 + SEND_WITHIN_S, 1.0, record)
        assert not issuer.claim_send(110.0, 1.0, order(sequence=9))
        assert issuer.claim_send(110.1, 1.0, record)
        assert not issuer.claim_send(110.1, 1.0, record)

    def test_a_server_has_one_order_at_a_time(
        self, issuer: OrderIssuer
    ) -> None:
        """Guards against two orders that take effect in an unknown sequence.

        The first order got no answer, so the engine may still read it. The
        next order must wait until the first can no longer take effect.
        """
        record = request_next_order(issuer, 110.0)
        known = OrderRecord(*record)
        assert request_order(issuer, 110.0, [known]) is None
        issuer.claim_send(110.0, 1.0, record)
        unknown = issuer.build_outcome(record, "unknown", "no answer", WALL_S)
        assert request_order(issuer, 117.0, [OrderRecord(*unknown)]) is None
        assert request_order(issuer, 110.0 + ORDER_TIMEOUT_S) is None
        assert request_order(issuer, 117.0) is not None

    def test_an_answered_order_permits_the_next_one_at_once(
        self, issuer: OrderIssuer
    ) -> None:
        record = request_next_order(issuer, 110.0)
        issuer.claim_send(110.0, 1.0, record)
        issuer.build_outcome(record, "done", "", WALL_S)
        assert request_order(issuer, 110.1) is not None


class TestUnfinishedOrders:
    def test_a_new_leader_waits_for_the_timeout_of_old_orders(
        self, issuer: OrderIssuer, cluster: Cluster
    ) -> None:
        """Guards against a deposed leader's order that takes effect last.

        The old leader sends an order and is deposed before the engine has
        read it. An engine that ignores fencing numbers would act on it
        after the new leader's order, unless the new leader waits.
        """
        cluster.run(order("2.7", 2, 7))
        old = cluster.machine.orders()[0]
        assert issuer.unfinished([old], issuer.earliest_order_s) == ()
        assert issuer.resume(issuer.earliest_order_s, old, WALL_S) is None
        again = issuer.resume(issuer.earliest_resume_s, old, WALL_S)
        assert again is not None
        assert (again.order_id, again.term) == ("2.7", 3)
        assert cluster.run(again).outcome == "applied"

    def test_an_own_unanswered_order_is_resent_after_its_timeout(
        self, issuer: OrderIssuer
    ) -> None:
        record = request_next_order(issuer, 110.0)
        known = OrderRecord(*record)
        assert issuer.unfinished([known], 110.0) == ()
        assert issuer.unfinished([known], 110.0 + SEND_WITHIN_S) == (known,)
        issuer.claim_send(111.0, 1.0, record)
        unknown = issuer.build_outcome(record, "unknown", "timeout", WALL_S)
        known = OrderRecord(*unknown)
        assert issuer.unfinished([known], 111.0 + ORDER_TIMEOUT_S) == ()
        assert issuer.unfinished([known], 118.0) == (known,)

    def test_finished_orders_are_not_resent(self, issuer: OrderIssuer) -> None:
        done = OrderRecord(*order(phase="done"))
        assert issuer.unfinished([done], 999.0) == ()
