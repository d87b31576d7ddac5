"""Build the arguments of `plan_orders` from servers and the order book."""

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

# A server that has just refused an order is likely to refuse the next one
# too. An order in every round of the planner would fill the log.
FAILURE_BACKOFF_S: Final = 60.0
# A version counts as not running on a server if the estimate for it is below
# this fraction of a request.
MIN_REQUEST_SHARE: Final = 0.01


class OrderBookView(NamedTuple):
    """The order book, and the wall clock time to compare its times with.

    ``loading`` holds, by server, the versions that are being loaded.
    """

    orders: Sequence[OrderRecord]
    wall_now_s: float
    loading: Mapping[str, tuple[str, ...]] = {}


def make_report(
    announced: Announcement, load: LoadReport | None
) -> ServerReport:
    """Return a server's load as an input of `estimate_running`."""
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
    book: OrderBookView,
) -> list[ServerSlots]:
    """Return the servers as `plan_orders` takes them.

    A server that takes no load orders or is blocked is listed with its
    versions, so that its replicas count, but as full and busy, so that no
    change is planned for it. A leaving server is left out, as its replicas
    are about to go.
    """
    unloading = unloading_versions(book.orders, book.wall_now_s)
    last = last_orders(book.orders)
    blocked = blocked_servers(book)
    slots: list[ServerSlots] = []
    for name, announced in sorted(servers.items()):
        if announced.leaving:
            continue
        in_flight = _in_flight(reports[name], shares)
        for version in announced.versions:
            if (name, version) in unloading:
                in_flight[version] = 1
        room = announced.max_versions
        if name in blocked or announced.max_versions < 1:
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


def blocked_servers(book: OrderBookView) -> frozenset[str]:
    """Return the servers that get no new order now.

    A server is blocked while an order to it is unfinished, and for
    `FAILURE_BACKOFF_S` after an order to it failed.
    """
    return frozenset(
        order.backend_server
        for order in book.orders
        if order.phase in UNFINISHED_PHASES
        or (
            order.phase == "failed"
            and book.wall_now_s - order.now_s < FAILURE_BACKOFF_S
        )
    )


def times_of_changes(orders: Iterable[OrderRecord]) -> list[float]:
    """Return the times of all orders that may have changed a server."""
    return [order.now_s for order in orders if order.phase != "failed"]


def blocked_versions(in_force: InForce) -> frozenset[str]:
    """Return the versions that may get no new work now.

    These versions are never loaded. They are the last to be unloaded, as a
    quarantine may be lifted and a withdrawal taken back.
    """
    blocked = {*in_force.withdrawn, *in_force.quarantined}
    for model in in_force.declarations.models.values():
        blocked.update(
            version_id(model.name, version.name)
            for version in model.versions.values()
            if version.withdrawn
        )
    return frozenset(blocked)


def may_load(in_force: InForce, version: str) -> bool:
    """Return whether a version is declared and may get new work."""
    model_name = version.partition(VERSION_SEPARATOR)[0]
    model = in_force.declarations.models.get(model_name)
    return model is not None and may_run(version, model, in_force)


def drop_undeclared(
    means: Mapping[str, float], in_force: InForce
) -> dict[str, float]:
    """Return the demand without versions that are no longer declared.

    A server's requests are split among all versions that it holds. An
    undeclared version would get a part of them, and be loaded on other
    servers for that.
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
    """Return the time of each version's load order, or 0 without one."""
    since = dict.fromkeys(announced.versions, 0.0)
    for version in announced.versions:
        order = last.get((announced.name, version))
        if order is not None and order.action == LOAD:
            since[version] = order.now_s
    return since


def _in_flight(
    report: ServerReport, shares: Mapping[str, float]
) -> dict[str, int]:
    """Return the estimated number of requests that run on each version.

    If the server's load report is missing or old, every version counts as
    having one request.
    """
    if not report.fresh:
        return dict.fromkeys(report.versions, 1)
    parts = split_busy(report, float(report.busy), shares)
    return {
        v: ceil(part) for v, part in parts.items() if part > MIN_REQUEST_SHARE
    }


__all__ = [
    "blocked_servers",
    "blocked_versions",
    "drop_undeclared",
    "FAILURE_BACKOFF_S",
    "make_report",
    "make_slots",
    "may_load",
    "OrderBookView",
    "times_of_changes",
]
