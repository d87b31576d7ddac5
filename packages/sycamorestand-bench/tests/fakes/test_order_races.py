"""Test overlapping leaders with an engine that ignores fencing."""

from __future__ import annotations

from collections.abc import Coroutine
from functools import partial
from typing import Any
from typing import Literal
from typing import NamedTuple
from unittest.mock import patch

import anyio
from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.strategies import booleans
from hypothesis.strategies import integers
from hypothesis.strategies import sampled_from

from sycamorestand_control.orders.engine_call import EngineOutcome
from sycamorestand_model.backend_servers import Announcement
from sycamorestand_state.commands import RecordOrder
from sycamorestand_state.order_book import UNFINISHED_PHASES
from sycamorestand_state.orders import ENGINE_DELAY_S
from sycamorestand_state.orders import ORDER_TIMEOUT_S

from .order_leaders import Cluster
from .order_leaders import Leader

# One server and two leaders make conflicting orders likely in each run.
SERVERS = ("a",)
# A deposed leader may assume for this time that it has its quorum.
OLD_LEASE_S = 0.7
Delivery = Literal["answered", "refused", "lost", "late"]

leaders = integers(0, 1)
actions = sampled_from(("load", "unload"))
fates = sampled_from(("answered", "refused", "lost", "late"))
pauses = sampled_from((0.0, 0.5, 1.9, 8.0))
waits = sampled_from((0.0, 0.8, 7.0))


class LateOrder(NamedTuple):
    """An order that the engine may still apply until ``until_s``."""

    until_s: float
    record: RecordOrder


class OrderRaces(RuleBasedStateMachine):
    """Two processes that lead in turn and detect their deposition late.

    A deposed leader can still commit, because its proposals are forwarded
    to the new leader, and assumes its quorum until its lease expires. A
    sent order may be lost, or applied at any time within the order timeout
    plus the engine's delay.
    """

    def __init__(self) -> None:
        super().__init__()
        self.cluster = Cluster()
        self.processes = [Leader(self.cluster, 99) for _ in range(2)]
        self.applied: dict[str, list[RecordOrder]] = {s: [] for s in SERVERS}
        self.in_flight: list[LateOrder] = []
        self.fate: Delivery = "answered"
        for name in SERVERS:
            self.cluster.servers[name] = Announcement(
                name, "engine", "127.0.0.1:1", "dc", 1, 1, (), max_versions=9
            )
        self.patch = patch(
            "sycamorestand_control.orders.channel.send_order", self._send
        )
        self.patch.start()

    def teardown(self) -> None:
        self.patch.stop()

    @initialize()
    def begin(self) -> None:
        _run(self._elect(0))
        self.wait(1.0)

    @rule(who=leaders, wait_s=waits)
    def elect(self, who: int, wait_s: float) -> None:
        _run(self._elect(who))
        self.wait(wait_s)

    @rule(who=leaders)
    def notice(self, who: int) -> None:
        if self.processes[who].term != self.cluster.term:
            self.processes[who].term = None

    @rule(
        who=leaders,
        action=actions,
        fate=fates,
        wait_s=waits,
        pause_s=pauses,
        replaced=booleans(),
    )
    def give(
        self,
        who: int,
        action: str,
        fate: Delivery,
        wait_s: float,
        pause_s: float,
        replaced: bool,
    ) -> None:
        """Give an order with a pause between its record and its sending."""
        leader = self.processes[who]

        async def pause() -> None:
            leader.after_intent = None
            if replaced:
                await self._elect(1 - who)
            self.wait(pause_s)
            if replaced:
                await self.processes[1 - who].channel.step()

        self.wait(wait_s)
        self.fate = fate
        leader.after_intent = pause
        _run(leader.channel.issue_order(action, SERVERS[0], "x@1"))
        leader.after_intent = None

    @rule(who=leaders, wait_s=waits, fate=fates)
    def step(self, who: int, wait_s: float, fate: Delivery) -> None:
        self.wait(wait_s)
        self.fate = fate
        _run(self.processes[who].channel.step())

    @rule(length_s=waits)
    def wait(self, length_s: float) -> None:
        self.cluster.now_s += length_s
        late = [o for o in self.in_flight if o.until_s > self.cluster.now_s]
        for order in self.in_flight:
            if order not in late:
                self._apply(order.record)
        self.in_flight = late

    @rule(which=integers(0, 9))
    def arrive(self, which: int) -> None:
        if self.in_flight:
            late = self.in_flight.pop(which % len(self.in_flight))
            self._apply(late.record)

    @invariant()
    def effects_are_in_the_order_of_numbers(self) -> None:
        for applied in self.applied.values():
            fences = [(record.term, record.sequence) for record in applied]
            assert fences == sorted(fences)

    @invariant()
    def one_open_order_a_server(self) -> None:
        opened = [
            order.backend_server
            for order in self.cluster.machine.orders()
            if order.phase in UNFINISHED_PHASES
        ]
        assert len(opened) == len(set(opened))

    @invariant()
    def done_means_that_the_engine_acted(self) -> None:
        for order in self.cluster.machine.orders():
            acted = self.applied[order.backend_server]
            if order.phase == "done":
                assert order.order_id in {r.order_id for r in acted}

    async def _elect(self, who: int) -> None:
        now_s = self.cluster.now_s
        for process in self.processes:
            process.lease_until_s = min(
                process.lease_until_s, now_s + OLD_LEASE_S
            )
        elected = self.processes[who]
        self.cluster.term += 1
        elected.term = self.cluster.term
        elected.lease_until_s = float("inf")
        await elected.channel.step()

    async def _send(
        self, _address: str, record: RecordOrder, may_send: Any
    ) -> EngineOutcome:
        if not may_send():
            return EngineOutcome("failed", "not sent")
        if self.fate == "answered":
            self._apply(record)
            return EngineOutcome("done", "")
        if self.fate == "refused":
            return EngineOutcome("failed", "")
        if self.fate == "late":
            until_s = self.cluster.now_s + ORDER_TIMEOUT_S + ENGINE_DELAY_S
            self.in_flight.append(LateOrder(until_s, record))
        return EngineOutcome("unknown", "")

    def _apply(self, record: RecordOrder) -> None:
        self.applied[record.backend_server].append(record)


def _run(call: Coroutine[Any, Any, Any]) -> None:
    anyio.run(partial(_await, call))


async def _await(call: Coroutine[Any, Any, Any]) -> None:
    await call


TestOrderRaces = OrderRaces.TestCase
TestOrderRaces.settings = settings(
    max_examples=200, stateful_step_count=30, deadline=None, derandomize=True
)
