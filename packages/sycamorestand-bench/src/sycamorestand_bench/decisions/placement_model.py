"""Simulation of placement over a day with changing demand.

The demand for each version varies over the day and from minute to minute.
A load takes `LOAD_S`, and the weight store allows one load at a time.
Demand beyond the capacity of a version's loaded replicas is unmet.
"""

from __future__ import annotations

from math import ceil
from math import pi
from math import sin
from random import Random
from typing import Final
from typing import Literal
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_bench.decisions.workload import SERVER_CAPACITY
from sycamorestand_bench.decisions.workload import SIZES
from sycamorestand_decisions.placement import Demand
from sycamorestand_decisions.placement import Limits
from sycamorestand_decisions.placement import Order
from sycamorestand_decisions.placement import plan_orders
from sycamorestand_decisions.placement import ServerSlots

if TYPE_CHECKING:
    from sycamorestand_bench.decisions.figures import Figures
    from sycamorestand_bench.decisions.workload import User

PlacementPolicy = Literal["product", "static", "greedy"]
POLICIES: Final[tuple[PlacementPolicy, ...]] = ("product", "static", "greedy")

MINUTE_S: Final = 60.0
MINUTES: Final = 24 * 60
LOAD_S: Final = 180.0
MODEL_SLOTS: Final = 2
VERSIONS: Final = ("small@1", "large@1", "vision@1")
PEAK_SHARE: Final = (0.55, 0.45, 0.25)
LIMITS: Final = Limits(loads_at_once=1)
# Limits without a churn limit: only the weight store bounds the changes.
UNLIMITED: Final = Limits(loads_at_once=1, max_changes=1_000)


class _Loading(NamedTuple):
    server: str
    version: str
    done_s: float


def placement(user: User, seed: int) -> Figures:
    """Compare the unmet demand and the loads of a day with two baselines."""
    return {policy: _run(user, seed, policy) for policy in POLICIES}


def _run(user: User, seed: int, policy: PlacementPolicy) -> dict[str, float]:
    random = Random(seed)
    state = _PlacementState(SIZES[user].servers)
    noise = dict.fromkeys(VERSIONS, 0.0)
    unmet = total = 0.0
    for minute in range(MINUTES):
        now_s = minute * MINUTE_S
        for version in VERSIONS:
            noise[version] = 0.8 * noise[version] + random.gauss(0.0, 0.06)
        demand = _demand(minute, SIZES[user].servers, noise)
        state.finish_loads(now_s)
        for version, running in demand.items():
            capacity = state.capacity(version)
            total += running
            unmet += max(0.0, running - capacity)
        if policy != "static":
            state.order(demand, now_s, policy)
    return {
        "unmet": unmet / total,
        "loads": float(state.loads),
        "changes_an_hour": state.changes / 24.0,
    }


class _PlacementState:
    """The versions that each server has loaded or is loading."""

    def __init__(self, servers: int) -> None:
        self.loaded: dict[str, dict[str, float]] = {}
        for index in range(servers):
            pair = (VERSIONS[index % 3], VERSIONS[(index + 1) % 3])
            self.loaded[f"s{index}"] = dict.fromkeys(pair, -1e9)
        self.loading: list[_Loading] = []
        self.changed_at_s: list[float] = []
        self.loads = 0
        self.changes = 0

    def capacity(self, version: str) -> float:
        """Return the request slots for a version over all servers.

        A server divides its slots evenly among its loaded versions.
        """
        return sum(
            SERVER_CAPACITY / len(versions)
            for versions in self.loaded.values()
            if version in versions
        )

    def finish_loads(self, now_s: float) -> None:
        """Mark the loads that are done by now as loaded."""
        for load in [x for x in self.loading if x.done_s <= now_s]:
            self.loading.remove(load)
            self.loaded[load.server][load.version] = now_s

    def order(
        self, demand: dict[str, float], now_s: float, policy: PlacementPolicy
    ) -> None:
        """Compute the policy's orders and start them."""
        servers = [self._slots(name) for name in self.loaded]
        if policy == "product":
            demands = {
                version: Demand(running, SERVER_CAPACITY // MODEL_SLOTS, 1)
                for version, running in demand.items()
            }
            orders = plan_orders(
                servers, demands, (), self.changed_at_s, now_s, LIMITS
            )
        else:
            orders = _plan_greedily(servers, demand)
        for order in orders:
            self._apply(order, now_s)

    def _slots(self, name: str) -> ServerSlots:
        loading = tuple(x.version for x in self.loading if x.server == name)
        return ServerSlots(
            name, MODEL_SLOTS, dict(self.loaded[name]), loading=loading
        )

    def _apply(self, order: Order, now_s: float) -> None:
        self.changes += 1
        self.changed_at_s.append(now_s)
        if order.kind == "unload":
            self.loaded[order.server].pop(order.version, None)
            return
        self.loads += 1
        done_s = now_s + LOAD_S
        self.loading.append(_Loading(order.server, order.version, done_s))


def _plan_greedily(
    servers: list[ServerSlots], demand: dict[str, float]
) -> list[Order]:
    """Load the version with the largest shortage of replicas.

    The version with the largest surplus makes room where no slot is free.
    There are no orders while a load runs.
    """
    if any(server.loading for server in servers):
        return []
    gaps = {}
    for version, running in demand.items():
        replicas = sum(version in s.loaded_since_s for s in servers)
        gaps[version] = (
            ceil(running / (SERVER_CAPACITY / MODEL_SLOTS)) - replicas
        )
    needed = max(gaps, key=lambda version: gaps[version])
    surplus = min(gaps, key=lambda version: gaps[version])
    if gaps[needed] < 1:
        return []
    for server in servers:
        loaded = server.loaded_since_s
        if needed not in loaded and len(loaded) < MODEL_SLOTS:
            return [Order("load", server.name, needed, "greedy")]
    if gaps[surplus] >= 0:
        return []
    for server in servers:
        loaded = server.loaded_since_s
        if needed not in loaded and surplus in loaded:
            return [
                Order("unload", server.name, surplus, "greedy"),
                Order("load", server.name, needed, "greedy"),
            ]
    return []


def _demand(
    minute: int, servers: int, noise: dict[str, float]
) -> dict[str, float]:
    """Return the mean running requests of each version.

    The versions' peaks are spread evenly over the day.
    """
    demand = {}
    for index, version in enumerate(VERSIONS):
        phase = 2 * pi * (minute / MINUTES + index / len(VERSIONS))
        level = PEAK_SHARE[index] * (0.6 + 0.4 * sin(phase))
        level *= max(0.1, 1.0 + noise[version])
        demand[version] = level * servers * SERVER_CAPACITY
    return demand


__all__ = ["placement"]
