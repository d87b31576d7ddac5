"""Every few seconds at the leader: which orders to give now."""

from __future__ import annotations

import logging
import time
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio

from sycamorestand_control.orders.loading import LOAD
from sycamorestand_control.orders.slots import barred_versions
from sycamorestand_control.orders.slots import BookView
from sycamorestand_control.orders.slots import change_times
from sycamorestand_control.orders.slots import declared_only
from sycamorestand_control.orders.slots import make_report
from sycamorestand_control.orders.slots import make_slots
from sycamorestand_decisions.demand import AverageDemand
from sycamorestand_decisions.demand import estimate_running
from sycamorestand_decisions.demand import make_demand
from sycamorestand_decisions.demand import versions_in_use
from sycamorestand_decisions.placement import Limits
from sycamorestand_decisions.placement import plan_orders
from sycamorestand_peer.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from sycamorestand_control.orders.channel import OrderChannel
    from sycamorestand_control.orders.weight_store import WeightStore
    from sycamorestand_decisions.placement import Order
    from sycamorestand_model.backend_servers import Announcement
    from sycamorestand_model.backend_servers import LoadReport
    from sycamorestand_model.in_force import InForce
    from sycamorestand_state.results import OrderRecord

LOG: Final = logging.getLogger(__name__)
PLAN_INTERVAL_S: Final = 3.0
# A new leader has not heard of all servers and loads yet. What it does
# not know of looks like a lack, and it would load elsewhere in its place.
WARM_UP_S: Final = 15.0


class Inputs(NamedTuple):
    """Where the planner reads; ``shares`` are of recent requests."""

    in_force: Callable[[], InForce]
    orders: Callable[[], tuple[OrderRecord, ...]]
    servers: Callable[[], Mapping[str, Announcement]]
    load: Callable[[str], LoadReport | None]
    shares: Callable[[], Mapping[str, float]]


class LoadPlanner:
    """Plans loads and unloads while this process leads."""

    def __init__(
        self,
        inputs: Inputs,
        channel: OrderChannel,
        store: WeightStore,
        loads_at_once: int,
        now_s: Callable[[], float] = boottime_s,
        wall_now_s: Callable[[], float] = time.time,
    ) -> None:
        self._inputs = inputs
        self._channel = channel
        self._store = store
        self._limits = Limits(loads_at_once=loads_at_once)
        self._now_s = now_s
        self._wall_now_s = wall_now_s
        self._average = AverageDemand()

    def missing(self) -> tuple[str, ...]:
        """Return the versions whose weights the store does not have."""
        return self._store.missing()

    async def run(self) -> None:
        """Plan and give orders until cancelled."""
        while True:
            await anyio.sleep(PLAN_INTERVAL_S)
            # All end before the next round: an order that is not in the
            # book yet would be planned again, for another server.
            async with anyio.create_task_group() as tasks:
                for order in self.plan():
                    tasks.start_soon(self.carry_out, order)

    def plan(self) -> list[Order]:
        """Return the orders to give now, at most one a server."""
        if self._channel.leading_s() < WARM_UP_S:
            # What was averaged is of another time when it leads again.
            self._average = AverageDemand()
            return []
        first: dict[str, Order] = {}
        for order in self._plan():
            # The load that an unload makes room for comes in a later
            # round, when the room is there.
            first.setdefault(order.server, order)
        return list(first.values())

    async def carry_out(self, order: Order) -> str:
        """Ask the weight store where need be, and give the order."""
        if order.kind == LOAD:
            readiness = await self._store.readiness(order.version)
            if readiness != "ready":
                return ""
        LOG.debug("order planned", extra={"reason": order.reason})
        return await self._channel.give(
            order.kind, order.server, order.version
        )

    def _plan(self) -> list[Order]:
        inputs = self._inputs
        servers = {
            name: announced
            for name, announced in inputs.servers().items()
            if announced.kind == "engine"
        }
        reports = {
            name: make_report(announced, inputs.load(name))
            for name, announced in servers.items()
        }
        shares = inputs.shares()
        in_force = inputs.in_force()
        book = BookView(
            inputs.orders(), self._wall_now_s(), self._channel.loading()
        )
        pins = versions_in_use(in_force)
        known = list(reports.values())
        self._average.add(estimate_running(known, shares), self._now_s())
        means = declared_only(self._average.means(), in_force)
        return plan_orders(
            make_slots(servers, reports, shares, book),
            make_demand(means, pins, known),
            barred_versions(in_force),
            change_times(book.orders),
            book.wall_now_s,
            self._limits,
        )


__all__ = ["Inputs", "WARM_UP_S", "LoadPlanner", "PLAN_INTERVAL_S"]
