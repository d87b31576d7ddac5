"""Plan load and unload orders at the leader every few seconds."""

from __future__ import annotations

import logging
import time
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio

from sycamorestand_control.orders.loading import LOAD
from sycamorestand_control.orders.slots import blocked_versions
from sycamorestand_control.orders.slots import drop_undeclared
from sycamorestand_control.orders.slots import make_report
from sycamorestand_control.orders.slots import make_slots
from sycamorestand_control.orders.slots import OrderBookView
from sycamorestand_control.orders.slots import times_of_changes
from sycamorestand_decisions.demand import AverageDemand
from sycamorestand_decisions.demand import estimate_running
from sycamorestand_decisions.demand import make_demand
from sycamorestand_decisions.demand import versions_in_use
from sycamorestand_decisions.placement import Limits
from sycamorestand_decisions.placement import plan_orders
from sycamorestand_model.in_force import takes_new_work
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
# A new leader has not received all announcements and loads yet. It would
# take a replica that it does not know of for missing, and load the version
# on another server.
WARM_UP_S: Final = 15.0


class Inputs(NamedTuple):
    """The functions that the planner reads its inputs with.

    ``shares`` returns each version's share of recent requests.
    """

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
        self._average_demand = AverageDemand()

    def missing(self) -> tuple[str, ...]:
        """Return the versions whose weights the store lacks."""
        return self._store.missing()

    async def run(self) -> None:
        """Plan and send orders until cancelled."""
        while True:
            await anyio.sleep(PLAN_INTERVAL_S)
            # All orders end before the next round. An order that is not
            # in the order book yet would be planned again, for another
            # server.
            async with anyio.create_task_group() as tasks:
                for order in self.plan():
                    tasks.start_soon(self.carry_out, order)

    def plan(self) -> list[Order]:
        """Return the orders to send now, at most one for each server."""
        if self._channel.leading_s() < WARM_UP_S:
            # The average would be outdated when this process leads again.
            self._average_demand = AverageDemand()
            return []
        first_orders: dict[str, Order] = {}
        for order in self._plan_all():
            # A load that needs the slot of an unload comes in a later
            # round, once the slot is free.
            first_orders.setdefault(order.server, order)
        return list(first_orders.values())

    async def carry_out(self, order: Order) -> str:
        """Issue an order and return its phase, empty if it was not recorded.

        A load is issued only if the weight store is ready to serve it.
        """
        if order.kind == LOAD:
            readiness = await self._store.readiness(order.version)
            if readiness != "ready":
                return ""
        LOG.debug("order planned", extra={"reason": order.reason})
        return await self._channel.issue_order(
            order.kind, order.server, order.version
        )

    def _plan_all(self) -> list[Order]:
        inputs = self._inputs
        in_force = inputs.in_force()
        servers = {
            name: announced
            for name, announced in inputs.servers().items()
            if announced.kind == "engine"
            and takes_new_work(in_force, announced)
        }
        reports = {
            name: make_report(announced, inputs.load(name))
            for name, announced in servers.items()
        }
        shares = inputs.shares()
        book = OrderBookView(
            inputs.orders(), self._wall_now_s(), self._channel.loading()
        )
        required_servers = versions_in_use(in_force)
        server_reports = list(reports.values())
        self._average_demand.add(
            estimate_running(server_reports, shares), self._now_s()
        )
        means = drop_undeclared(self._average_demand.means(), in_force)
        return plan_orders(
            make_slots(servers, reports, shares, book),
            make_demand(means, required_servers, server_reports),
            blocked_versions(in_force),
            times_of_changes(book.orders),
            book.wall_now_s,
            self._limits,
        )


__all__ = ["Inputs", "LoadPlanner", "PLAN_INTERVAL_S", "WARM_UP_S"]
