"""Choice of the versions that backend servers load or unload.

Demand shifts between versions, while a load takes minutes and the weight store
is rate-limited. Without hysteresis, normal variation moves versions back and
forth. Without a churn limit, a burst of moves makes servers load instead of
answering. Replica counts proportional to demand, with a benefit threshold, a
churn limit and pins, are the usual solution for platforms of medium size
(PAPER-scheduling-placement-inference-b6ad, sections 4 and 8).
"""

from __future__ import annotations

from math import ceil
from typing import Final
from typing import Literal
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping
    from collections.abc import Sequence

# Replicas are added above the high watermark and removed below the low one.
# The gap is wider than one replica of three, so that a version whose demand is
# at a watermark does not gain and lose the same replica in turn.
TARGET_UTILISATION: Final = 0.7
HIGH_UTILISATION: Final = 0.85
LOW_UTILISATION: Final = 0.45
# Changes allowed in the window. Loads take minutes, so more changes would keep
# most of a pool of nine servers busy with loading.
MAX_CHANGES: Final = 4
CHURN_WINDOW_S: Final = 600.0
# A replica is kept for at least this time. A load that is undone within ten
# minutes costs more than the replica has served.
MIN_REPLICA_AGE_S: Final = 600.0


class ServerSlots(NamedTuple):
    """A server's capacity for versions, and those loaded or loading.

    ``loaded_since_s`` is by version identity; ``in_flight`` counts the running
    requests of each version.
    """

    name: str
    room: int
    loaded_since_s: dict[str, float]
    in_flight: dict[str, int] = {}
    loading: tuple[str, ...] = ()


class Demand(NamedTuple):
    """Mean number of a version's running requests, and a replica's capacity.

    ``pinned_servers`` is the least number of replicas.
    """

    running: float
    replica_capacity: int
    pinned_servers: int = 0


class Limits(NamedTuple):
    """The weight store's limit on simultaneous loads, and the churn limit."""

    loads_at_once: int = 1
    max_changes: int = MAX_CHANGES


DEFAULT_LIMITS: Final = Limits()


class Order(NamedTuple):
    """One load or unload to request from a server."""

    kind: Literal["load", "unload"]
    server: str
    version: str
    reason: str


def plan_orders(
    servers: Sequence[ServerSlots],
    demand: Mapping[str, Demand],
    withdrawn: Collection[str],
    changed_at_s: Sequence[float],
    now_s: float,
    limits: Limits = DEFAULT_LIMITS,
) -> list[Order]:
    """Return the orders to give now, most urgent first.

    ``changed_at_s`` are the times of earlier orders. A withdrawn version is
    never loaded. It is unloaded after all other versions and only without
    running requests, so that its sessions finish and a reverted withdrawal
    needs no load.
    """
    recent = [t for t in changed_at_s if now_s - t < CHURN_WINDOW_S]
    allowed = limits.max_changes - len(recent)
    loads = limits.loads_at_once - sum(len(s.loading) for s in servers)
    orders: list[Order] = []
    room = {s.name: _free_room(s) for s in servers}
    for version in _versions_lacking_replicas(servers, demand, withdrawn):
        if len(orders) >= allowed or loads < 1:
            break
        added = _add_replica(servers, demand, withdrawn, version, room, now_s)
        if not added or len(orders) + len(added) > allowed:
            continue
        orders.extend(added)
        loads -= sum(order.kind == "load" for order in added)
    return orders


def wanted_replicas(demand: Demand, replicas: int) -> int:
    """Return how many replicas a version should have, with hysteresis."""
    capacity = max(1, demand.replica_capacity)
    least = max(demand.pinned_servers, 1 if demand.running > 0 else 0)
    used = demand.running / (capacity * max(1, replicas))
    fewer = demand.running / (capacity * max(1, replicas - 1))
    keeps = replicas >= least and used <= HIGH_UTILISATION
    if keeps and (fewer > LOW_UTILISATION or replicas <= least):
        return replicas
    return max(least, ceil(demand.running / capacity / TARGET_UTILISATION))


def _versions_lacking_replicas(
    servers: Sequence[ServerSlots],
    demand: Mapping[str, Demand],
    withdrawn: Collection[str],
) -> list[str]:
    """Return versions that lack replicas, the most loaded first."""
    lacking: list[tuple[float, str]] = []
    for version, wants in demand.items():
        replicas = _replicas(servers, version)
        if (
            version in withdrawn
            or wanted_replicas(wants, replicas) <= replicas
        ):
            continue
        capacity = max(1, wants.replica_capacity) * max(replicas, 0.1)
        lacking.append((-wants.running / capacity, version))
    return [version for _, version in sorted(lacking)]


def _add_replica(
    servers: Sequence[ServerSlots],
    demand: Mapping[str, Demand],
    withdrawn: Collection[str],
    version: str,
    room: dict[str, int],
    now_s: float,
) -> list[Order]:
    reason = f"demand {demand[version].running:.1f} running"
    others = [s for s in servers if not _holds(s, version)]
    free = [s for s in others if room[s.name] > 0]
    if free:
        chosen = max(free, key=lambda s: room[s.name])
        room[chosen.name] -= 1
        return [Order("load", chosen.name, version, reason)]
    found = _cheapest_unload(servers, others, demand, withdrawn, now_s)
    if found is None:
        return []
    server, unloaded = found
    unload_reason = f"makes room for {version}"
    return [
        Order("unload", server, unloaded, unload_reason),
        Order("load", server, version, reason),
    ]


def _cheapest_unload(
    servers: Sequence[ServerSlots],
    others: Sequence[ServerSlots],
    demand: Mapping[str, Demand],
    withdrawn: Collection[str],
    now_s: float,
) -> tuple[str, str] | None:
    """Return the server and version of a spare replica, None without one.

    Withdrawn versions are chosen last, otherwise the one with the least demand
    first.
    """
    options: list[tuple[bool, float, str, str]] = []
    for server in others:
        for version, since_s in server.loaded_since_s.items():
            if server.in_flight.get(version, 0) or version in server.loading:
                continue
            if now_s - since_s < MIN_REPLICA_AGE_S:
                continue
            wants = demand.get(version)
            spare = _is_spare(servers, version, wants, version in withdrawn)
            if spare:
                running = wants.running if wants else 0.0
                options.append(
                    (version in withdrawn, running, server.name, version)
                )
    if not options:
        return None
    _, _, name, version = min(options)
    return name, version


def _is_spare(
    servers: Sequence[ServerSlots],
    version: str,
    wants: Demand | None,
    is_withdrawn: bool,
) -> bool:
    if wants is None or is_withdrawn:
        return True
    replicas = _replicas(servers, version)
    return wanted_replicas(wants, replicas) < replicas


def _replicas(servers: Sequence[ServerSlots], version: str) -> int:
    return sum(_holds(server, version) for server in servers)


def _holds(server: ServerSlots, version: str) -> bool:
    return version in server.loaded_since_s or version in server.loading


def _free_room(server: ServerSlots) -> int:
    return server.room - len(server.loaded_since_s) - len(server.loading)


__all__ = [
    "Demand",
    "Limits",
    "Order",
    "plan_orders",
    "ServerSlots",
    "wanted_replicas",
]
