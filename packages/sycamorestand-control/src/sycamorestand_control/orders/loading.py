"""Work out which loads are under way from orders and announcements.

An engine answers a load order at once but loads for minutes. A load that is
``done`` in the order book is therefore under way until the server announces
the version. All functions are pure.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_state.order_book import UNFINISHED_PHASES

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping

    from sycamorestand_model.backend_servers import Announcement
    from sycamorestand_state.results import OrderRecord

# A load that is not announced within this time counts as failed. Otherwise
# it would occupy one of the weight store's concurrent loads for ever.
LOAD_LIMIT_S: Final = 900.0
# An unload is ordered again if the server still announces the version after
# this time.
UNLOAD_LIMIT_S: Final = 30.0

LOAD: Final = "load"
UNLOAD: Final = "unload"
DONE: Final = "done"


def last_orders(
    orders: Iterable[OrderRecord],
) -> dict[tuple[str, str], OrderRecord]:
    """Return the last load or unload order by server and version.

    Failed orders are ignored, as they changed nothing.
    """
    return {
        (order.backend_server, order.target): order
        for order in orders
        if order.phase != "failed" and order.action in (LOAD, UNLOAD)
    }


def loading_versions(
    orders: Iterable[OrderRecord],
    servers: Mapping[str, Announcement],
    wall_now_s: float,
    completed: Collection[str] = (),
) -> dict[str, tuple[str, ...]]:
    """Return, by server, the versions that are being loaded.

    ``completed`` holds the ids of load orders whose version the server has
    announced since.
    """
    loading: dict[str, tuple[str, ...]] = {}
    for (server, version), order in last_orders(orders).items():
        announced = servers.get(server)
        if order.action != LOAD or announced is None:
            continue
        if order.order_id in completed:
            continue
        if version not in announced.versions and _is_under_way(
            order, LOAD_LIMIT_S, wall_now_s
        ):
            loading[server] = (*loading.get(server, ()), version)
    return loading


def announced_loads(
    orders: Iterable[OrderRecord], servers: Mapping[str, Announcement]
) -> frozenset[str]:
    """Return the ids of done loads whose version the server announces."""
    return frozenset(
        order.order_id
        for order in orders
        if order.action == LOAD
        and order.phase == DONE
        and order.backend_server in servers
        and order.target in servers[order.backend_server].versions
    )


def unloading_versions(
    orders: Iterable[OrderRecord], wall_now_s: float
) -> frozenset[tuple[str, str]]:
    """Return the (server, version) pairs with an unload under way."""
    return frozenset(
        pair
        for pair, order in last_orders(orders).items()
        if order.action == UNLOAD
        and _is_under_way(order, UNLOAD_LIMIT_S, wall_now_s)
    )


def _is_under_way(
    order: OrderRecord, limit_s: float, wall_now_s: float
) -> bool:
    if order.phase in UNFINISHED_PHASES:
        return True
    return wall_now_s - order.now_s < limit_s


__all__ = [
    "announced_loads",
    "last_orders",
    "LOAD",
    "LOAD_LIMIT_S",
    "loading_versions",
    "UNLOAD",
    "unloading_versions",
]
