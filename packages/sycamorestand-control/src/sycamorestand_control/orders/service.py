"""Create and connect the objects that give orders in a control process."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_control.orders.channel import OrderChannel
from sycamorestand_control.orders.log import make_leader_log
from sycamorestand_control.orders.planner import Inputs
from sycamorestand_control.orders.planner import LoadPlanner
from sycamorestand_control.orders.slots import may_load
from sycamorestand_control.orders.weight_store import WeightStore

if TYPE_CHECKING:
    from sycamorestand_control.groups import LogGroups
    from sycamorestand_control.tables import SharedTables
    from sycamorestand_control.version_controller import VersionController
    from sycamorestand_state.configuration import ConfigurationMachine


class OrderSettings(NamedTuple):
    """The weight store's URL and the number of loads it serves at once."""

    weight_store_url: str
    weight_store_loads: int


class Orders(NamedTuple):
    """The objects that give orders; metrics read their counters."""

    channel: OrderChannel
    planner: LoadPlanner
    store: WeightStore


def make_orders(
    groups: LogGroups,
    configuration: ConfigurationMachine,
    tables: SharedTables,
    version_controller: VersionController,
    settings: OrderSettings,
) -> Orders:
    """Return the objects; the caller runs ``channel`` and ``planner``."""

    def still_wanted(version: str) -> bool:
        return may_load(configuration.in_force(), version)

    loads_at_once = settings.weight_store_loads
    channel = OrderChannel(
        make_leader_log(groups, configuration),
        tables.servers,
        loads_at_once,
        still_wanted,
    )
    store = WeightStore(settings.weight_store_url)
    inputs = Inputs(
        configuration.in_force,
        configuration.orders,
        tables.servers,
        tables.load,
        version_controller.request_shares,
    )
    planner = LoadPlanner(inputs, channel, store, loads_at_once)
    return Orders(channel, planner, store)


__all__ = ["make_orders", "Orders", "OrderSettings"]
