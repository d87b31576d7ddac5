"""What `plan_orders` takes, made from the directory and the order book."""

from __future__ import annotations

from collections.abc import Mapping
from math import ceil
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_control.orders.loading import last_orders
from sycamorestand_control.orders.loading import LOAD
from sycamorestand_control.orders.loading import unloading_versions
from sycamorestand_decisions.demand import ServerReport
from sycamorestand_decisions.demand import split_busy
from sycamorestand_decisions.placement import ServerSlots
from sycamorestand_decisions.versions import may_run
from sycamorestand_model.declarations import find_version
from sycamorestand_model.declarations import version_id
from sycamorestand_model.declarations import VERSION_SEPARATOR
from sycamorestand_state.order_book import UNFINISHED_PHASES

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from sycamorestand_model.backend_servers import Announcement
    from sycamorestand_model.backend_servers import LoadReport
    from sycamorestand_model.in_force import InForce
    from sycamorestand_state.results import OrderRecord

# A server that just refused an order refuses the next one too; asked at
# the planner's pace it would fill the log.
FAILED_PAUSE_S: Final = 60.0
# Below this part of a request a version counts as not running there.
LEAST_PART: Final = 0.01


class BookView(NamedTuple):
    """The order book, and the wall clock to read its times with.

    ``loading`` holds, by server, what is being loaded.
    """

    orders: Sequence[OrderRecord]
    wall_now_s: float
    loading: Mapping[str, tuple[str, ...]] = {}


def make_report(
    announced: Announcement, load: LoadReport | None
) -> ServerReport:
    """Return a server's load as the estimate of demand takes it."""
    if load is None:
        return ServerReport(
            announced.name, announced.versions, announced.capacity
        )
    return ServerReport(
        announced.name,
        announced.versions,
        announced.capacity,
        load.running + load.queued,
        load.age_s,
    )


def make_slots(
    servers: Mapping[str, Announcement],
    reports: Mapping[str, ServerReport],
    shares: Mapping[str, float],
    book: BookView,
) -> list[ServerSlots]:
    """Return the servers as the planner sees them.

    One that takes no load orders, or failed one of late, is there with
    what it holds, so that its replicas count, and offers no change. One
    that is leaving is not: its replicas are about to go.
    """
    unloading = unloading_versions(book.orders, book.wall_now_s)
    last = last_orders(book.orders)
    held_back = servers_held_back(book)
    slots: list[ServerSlots] = []
    for name, announced in sorted(servers.items()):
        if announced.leaving:
            continue
        in_flight = _in_flight(reports[name], shares)
        for version in announced.versions:
            if (name, version) in unloading:
                in_flight[version] = 1
        room = announced.max_versions
        if name in held_back or announced.max_versions < 1:
            in_flight = dict.fromkeys(announced.versions, 1)
            room = 0
        slots.append(
            ServerSlots(
                name,
                room,
                _loaded_since(announced, last),
                in_flight,
                book.loading.get(name, ()),
            )
        )
    return slots


def servers_held_back(book: BookView) -> frozenset[str]:
    """Return the servers that get no new order now.

    Their last one is open, or failed a short while ago.
    """
    return frozenset(
        order.backend_server
        for order in book.orders
        if order.phase in UNFINISHED_PHASES
        or (
            order.phase == "failed"
            and book.wall_now_s - order.now_s < FAILED_PAUSE_S
        )
    )


def change_times(orders: Iterable[OrderRecord]) -> list[float]:
    """Return the times of orders that changed, or may have, a server."""
    return [order.now_s for order in orders if order.phase != "failed"]


def barred_versions(in_force: InForce) -> frozenset[str]:
    """Return the versions that may get no new work now.

    A quarantine may be lifted and a withdrawal taken back, so they are
    the last to be unloaded, and never loaded.
    """
    barred = {*in_force.withdrawn, *in_force.quarantined}
    for model in in_force.declarations.models.values():
        barred.update(
            version_id(model.name, version.name)
            for version in model.versions.values()
            if version.withdrawn
        )
    return frozenset(barred)


def may_load(in_force: InForce, version: str) -> bool:
    """Tell whether a version is declared and may get new work."""
    model_name = version.partition(VERSION_SEPARATOR)[0]
    model = in_force.declarations.models.get(model_name)
    return model is not None and may_run(version, model, in_force)


def declared_only(
    means: Mapping[str, float], in_force: InForce
) -> dict[str, float]:
    """Return the demand without versions that are declared no more.

    A server that still holds one has its requests split among all it
    holds, and the version would be loaded elsewhere for them.
    """
    declared = in_force.declarations
    return {
        version: mean
        for version, mean in means.items()
        if find_version(declared, version) is not None
    }


def _loaded_since(
    announced: Announcement, last: Mapping[tuple[str, str], OrderRecord]
) -> dict[str, float]:
    """Return since when each version is loaded, 0 where nothing tells."""
    since = dict.fromkeys(announced.versions, 0.0)
    for version in announced.versions:
        order = last.get((announced.name, version))
        if order is not None and order.action == LOAD:
            since[version] = order.now_s
    return since


def _in_flight(
    report: ServerReport, shares: Mapping[str, float]
) -> dict[str, int]:
    """Return how many requests run on each version, at least estimated.

    A server whose load is not known may run requests on every version.
    """
    if not report.fresh:
        return dict.fromkeys(report.versions, 1)
    parts = split_busy(report, float(report.busy), shares)
    return {v: ceil(part) for v, part in parts.items() if part > LEAST_PART}


__all__ = [
    "barred_versions",
    "BookView",
    "change_times",
    "declared_only",
    "FAILED_PAUSE_S",
    "make_report",
    "make_slots",
    "may_load",
    "servers_held_back",
]
