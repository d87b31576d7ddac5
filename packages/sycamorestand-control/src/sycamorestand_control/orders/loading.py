"""What orders and announcements together tell of loads; pure.

An engine answers an order at once and loads for minutes, so a load that is
``done`` in the order book is under way until the server announces the
version.
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

# A load that was not announced by then is taken to have failed; it would
# hold one of the weight store's places for good.
LOAD_LIMIT_S: Final = 900.0
# An unload that is still announced after this is asked for again.
UNLOAD_LIMIT_S: Final = 30.0

LOAD: Final = "load"
UNLOAD: Final = "unload"
DONE: Final = "done"


def last_orders(
    orders: Iterable[OrderRecord],
) -> dict[tuple[str, str], OrderRecord]:
    """Return the last order of each server and version that may count.

    Failed ones changed nothing and hide none before them.
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
    """Return, by server, the versions that it was asked to load.

    ``completed`` holds the ids of loads that were announced since.
    """
    loading: dict[str, tuple[str, ...]] = {}
    for (server, version), order in last_orders(orders).items():
        announced = servers.get(server)
        if order.action != LOAD or announced is None:
            continue
        if order.order_id in completed:
            continue
        if version not in announced.versions and _counts(
            order, LOAD_LIMIT_S, wall_now_s
        ):
            loading[server] = (*loading.get(server, ()), version)
    return loading


def announced_loads(
    orders: Iterable[OrderRecord], servers: Mapping[str, Announcement]
) -> frozenset[str]:
    """Return the ids of loads whose version the server announces."""
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
    """Return the servers and versions with an unload under way."""
    return frozenset(
        pair
        for pair, order in last_orders(orders).items()
        if order.action == UNLOAD
        and _counts(order, UNLOAD_LIMIT_S, wall_now_s)
    )


def _counts(order: OrderRecord, limit_s: float, wall_now_s: float) -> bool:
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
