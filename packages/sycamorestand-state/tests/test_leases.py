from __future__ import annotations

from typing import NamedTuple

from hypothesis import settings
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import hypothesis.strategies as st
import pytest

from sycamorestand_state.leases import CONTROL_LEASE_S
from sycamorestand_state.leases import control_table
from sycamorestand_state.leases import DRIFT_MARGIN
from sycamorestand_state.leases import ENTRY_LEASE_S
from sycamorestand_state.leases import HeldLease
from sycamorestand_state.leases import leader_table
from sycamorestand_state.leases import LeaseGrant
from sycamorestand_state.leases import LeaseTable
from sycamorestand_state.leases import RENEW_INTERVAL_S


@pytest.fixture
def leader() -> LeaseTable:
    return leader_table(became_leader_s=-100.0, applied_revision=1)


@pytest.fixture
def control() -> LeaseTable:
    return control_table(started_s=-100.0)


class TestLeaseTable:
    def test_a_revision_is_in_force_once_all_holders_acknowledge(
        self, leader: LeaseTable
    ) -> None:
        leader.grant("a", 1, 0.0, 1.0)
        leader.grant("b", 1, 0.0, 1.0)
        leader.acknowledge("a", 2)
        assert leader.in_force(2, 0.1).missing == ("b",)
        leader.acknowledge("b", 2)
        assert leader.in_force(2, 0.1).in_force

    def test_the_lease_of_an_unreachable_holder_expires(
        self, leader: LeaseTable
    ) -> None:
        """Guards against a withdrawal that waits for an unreachable VM.

        The VM renews its lease and is cut off, and the withdrawal commits.
        The VM cannot learn of it, but takes no new work once its lease has
        expired, so the withdrawal is in force within 3 s.
        """
        leader.grant("a", 1, 0.0, 1.0)
        leader.require(2)
        assert not leader.in_force(2, CONTROL_LEASE_S).in_force
        guarded_s = CONTROL_LEASE_S * (1.0 + DRIFT_MARGIN)
        assert leader.in_force(2, guarded_s).in_force
        assert guarded_s < 3.0
        assert leader.forget_expired(guarded_s) == ("a",)

    def test_a_slow_holders_lease_ends_before_a_fast_granter_drops_it(
        self, leader: LeaseTable
    ) -> None:
        """Guards against work under an old revision when a newer is in force.

        The granter's clock runs fast and the holder's slow. Without a
        margin, the lease expires for the granter before it does for the
        holder.
        """
        leader.grant("a", 1, 0.0, 1.0)
        ends_s = CONTROL_LEASE_S / RATES["c0"]
        granter_s = (ends_s - 0.000_001) * RATES["l0"]
        assert leader.in_force(2, granter_s).missing == ("a",)

    def test_a_lagging_holder_gets_no_renewal(
        self, leader: LeaseTable
    ) -> None:
        leader.require(2)
        assert leader.grant("a", 1, 0.0, 1.0) is None
        assert leader.grant("a", 1, 0.0, 1.0, held_revision=2) is not None
        assert leader.grant("b", 2, 0.0, 1.0) is not None

    def test_no_grant_below_a_revision_reported_in_force(
        self, leader: LeaseTable
    ) -> None:
        """Guards against a lease under an old revision for a late holder.

        The revision is reported as in force while there is no holder. Then
        a process that was suspended under the old revision asks for a
        lease.
        """
        assert leader.in_force(7, 0.0).in_force
        assert leader.grant("late", 6, 0.1, 1.0) is None

    def test_a_new_leader_waits_for_its_predecessors_grants(self) -> None:
        table = leader_table(became_leader_s=10.0, applied_revision=4)
        assert not table.in_force(4, 12.4).in_force
        assert table.grant("a", 4, 10.0, 1.0) is not None
        assert table.in_force(4, table.earliest_in_force_s).in_force

    def test_no_grant_without_quorum_or_own_lease(
        self, leader: LeaseTable, control: LeaseTable
    ) -> None:
        assert leader.grant("a", 1, 0.0, 0.0) is None
        assert control.grant("a", 1, 0.0, 0.01) is None

    def test_a_grant_ends_before_the_granters_lease(
        self, control: LeaseTable
    ) -> None:
        grant = control.grant("a", 1, 0.0, 1.0)
        assert grant is not None
        assert grant.length_s * (1.0 + DRIFT_MARGIN) <= 1.0
        grant = control.grant("b", 1, 0.0, CONTROL_LEASE_S)
        assert grant is not None
        assert grant.length_s == ENTRY_LEASE_S

    def test_a_silent_entry_delays_only_the_acknowledgement(
        self, control: LeaseTable
    ) -> None:
        control.grant("a", 1, 0.0, 2.4)
        control.grant("b", 1, 0.0, 2.4)
        control.require(2)
        control.acknowledge("a", 2)
        assert control.revision_to_acknowledge(2, 0.1) == 1
        assert control.revision_to_acknowledge(2, 2.1) == 2

    def test_a_restarted_control_process_waits_to_acknowledge(self) -> None:
        """Guards against ignoring leases that were granted before a restart.

        A control process grants leases and restarts with an empty table.
        Its entries still act on the old revision for up to 2 s.
        """
        table = control_table(started_s=0.0)
        assert table.revision_to_acknowledge(5, 2.0) == 0
        assert table.revision_to_acknowledge(5, table.earliest_in_force_s) == 5


class TestHeldLease:
    def test_a_lease_starts_when_its_request_was_sent(self) -> None:
        held = HeldLease()
        assert held.remaining_s(0.0) == 0.0
        held.renew(1.0, LeaseGrant(2.0, 1))
        assert held.remaining_s(1.5) == 1.5
        assert held.remaining_s(9.0) == 0.0

    def test_a_late_grant_does_not_shorten_the_lease(self) -> None:
        held = HeldLease()
        held.renew(1.0, LeaseGrant(2.0, 1))
        held.renew(0.6, LeaseGrant(2.0, 1))
        assert held.remaining_s(1.0) == 2.0

    def test_an_entrys_lease_outlasts_a_leader_change(self) -> None:
        """Guards against refusals while a new leader is elected in 1.5 s.

        The control process renewed its lease for the last time just before
        the leader died. It continues to grant leases within the rest of its
        own, and the entry renews every 0.4 s.
        """
        own = HeldLease()
        own.renew(0.0, LeaseGrant(CONTROL_LEASE_S, 1))
        table = control_table(started_s=-100.0)
        held = HeldLease()
        died_s = RENEW_INTERVAL_S
        now_s = 0.0
        while now_s <= died_s + 1.5:
            grant = table.grant("e", 1, now_s, own.remaining_s(now_s))
            if grant is not None:
                held.renew(now_s, grant)
            now_s += RENEW_INTERVAL_S
        assert held.remaining_s(died_s + 1.5) > 0.0


class Request(NamedTuple):
    holder: str
    granter: str
    sent_at_s: float
    acked_revision: int
    held_revision: int


class Reply(NamedTuple):
    holder: str
    sent_at_s: float
    grant: LeaseGrant


CONTROLS = ("c0", "c1")
ENTRIES = ("e0", "e1", "e2")
HOLDERS = CONTROLS + ENTRIES
# The fastest and the slowest clock that the margin allows for.
RATES = {
    "l0": 1.0049,
    "l1": 0.9951,
    "c0": 0.9951,
    "c1": 1.0049,
    "e0": 1.0049,
    "e1": 0.9951,
    "e2": 0.9951,
}


class LeaseRules(RuleBasedStateMachine):
    """Leader changes, restarts and delays, with clocks of different rates.

    In any order of delivery, no entry accepts new work under a revision
    below one that was reported as in force.
    """

    def __init__(self) -> None:
        super().__init__()
        self.time_s = 0.0
        self.committed = 1
        self.reported = 0
        self.leader = "l0"
        self.tables = {
            "l0": leader_table(-100.0, 1),
            "c0": control_table(-100.0),
            "c1": control_table(-100.0),
        }
        self.revisions = dict.fromkeys(HOLDERS, 1)
        self.leases = {name: HeldLease() for name in HOLDERS}
        self.requests: list[Request] = []
        self.replies: list[Reply] = []

    def _clock_s(self, name: str) -> float:
        return self.time_s * RATES[name]

    @rule(step_s=st.sampled_from([0.005, 0.1, 0.4, 1.0, 1.9, 2.0, 2.4]))
    def advance_time(self, step_s: float) -> None:
        self.time_s += step_s

    @rule()
    def commit(self) -> None:
        self.committed += 1
        self.tables[self.leader].require(self.committed)

    @rule(name=st.sampled_from(CONTROLS))
    def apply_at_control(self, name: str) -> None:
        self.revisions[name] = self.committed
        self.tables[name].require(self.committed)

    @rule(name=st.sampled_from(ENTRIES), control=st.sampled_from(CONTROLS))
    def inform_entry(self, name: str, control: str) -> None:
        learned = max(self.revisions[name], self.revisions[control])
        self.revisions[name] = learned
        self.tables[control].acknowledge(name, learned)

    @rule(name=st.sampled_from(CONTROLS), doubled=st.booleans())
    def request_control_lease(self, name: str, doubled: bool) -> None:
        held = self.revisions[name]
        now_s = self._clock_s(name)
        acked = self.tables[name].revision_to_acknowledge(held, now_s)
        request = Request(name, self.leader, now_s, acked, held)
        self.requests.extend([request] * (2 if doubled else 1))

    @rule(name=st.sampled_from(ENTRIES), control=st.sampled_from(CONTROLS))
    def request_entry_lease(self, name: str, control: str) -> None:
        held = self.revisions[name]
        now_s = self._clock_s(name)
        self.requests.append(Request(name, control, now_s, held, held))

    @precondition(lambda self: self.requests)
    @rule(data=st.data())
    def deliver_request(self, data: st.DataObject) -> None:
        chosen = data.draw(st.integers(0, len(self.requests) - 1))
        request = self.requests.pop(chosen)
        grant = self._grant(request)
        if grant is not None:
            reply = Reply(request.holder, request.sent_at_s, grant)
            self.replies.append(reply)

    def _grant(self, request: Request) -> LeaseGrant | None:
        granter = request.granter
        now_s = self._clock_s(granter)
        if granter in CONTROLS:
            parent_remaining_s = self.leases[granter].remaining_s(now_s)
        else:
            parent_remaining_s = 1.0 if granter == self.leader else 0.0
        return self.tables[granter].grant(
            request.holder,
            request.acked_revision,
            now_s,
            parent_remaining_s,
            request.held_revision,
        )

    @precondition(lambda self: self.replies)
    @rule(data=st.data())
    def deliver_reply(self, data: st.DataObject) -> None:
        chosen = data.draw(st.integers(0, len(self.replies) - 1))
        reply = self.replies.pop(chosen)
        lease = self.leases[reply.holder]
        lease.renew(reply.sent_at_s, reply.grant)

    @rule()
    def renew_control_leases(self) -> None:
        for name in CONTROLS:
            self.apply_at_control(name)
            self.request_control_lease(name, False)
            self._answer_last()

    @rule(learn=st.booleans())
    def renew_entry_leases(self, learn: bool) -> None:
        for number, name in enumerate(ENTRIES):
            control = CONTROLS[number % 2]
            if learn:
                self.inform_entry(name, control)
            self.request_entry_lease(name, control)
            self._answer_last()

    def _answer_last(self) -> None:
        request = self.requests.pop()
        grant = self._grant(request)
        if grant is not None:
            lease = self.leases[request.holder]
            lease.renew(request.sent_at_s, grant)

    @rule()
    def change_leader(self) -> None:
        self.leader = "l1" if self.leader == "l0" else "l0"
        now_s = self._clock_s(self.leader)
        self.tables[self.leader] = leader_table(now_s, self.committed)

    @rule(name=st.sampled_from(CONTROLS))
    def restart_control(self, name: str) -> None:
        self.tables[name] = control_table(self._clock_s(name))
        self._lose_state(name)

    @rule(name=st.sampled_from(ENTRIES))
    def restart_entry(self, name: str) -> None:
        self._lose_state(name)

    def _lose_state(self, name: str) -> None:
        self.leases[name] = HeldLease()
        self.revisions[name] = 0
        # Messages of a process before its restart are lost.
        self.replies = [r for r in self.replies if r.holder != name]
        self.requests = [r for r in self.requests if r.holder != name]

    @rule()
    def report_in_force(self) -> None:
        table = self.tables[self.leader]
        now_s = self._clock_s(self.leader)
        if table.in_force(self.committed, now_s).in_force:
            self.reported = self.committed

    @invariant()
    def no_new_work_below_the_reported_revision(self) -> None:
        for name in ENTRIES:
            remaining_s = self.leases[name].remaining_s(self._clock_s(name))
            if remaining_s > 0.0:
                assert self.revisions[name] >= self.reported


LeaseRules.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40
)
TestLeaseRules = LeaseRules.TestCase
