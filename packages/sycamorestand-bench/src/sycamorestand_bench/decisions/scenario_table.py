"""The table of all scenarios with the goals for their figures."""

from __future__ import annotations

from typing import Final
from typing import Literal
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_bench.decisions.decision_cost import decision_cost
from sycamorestand_bench.decisions.placement_model import placement
from sycamorestand_bench.decisions.routing_scenarios import burst
from sycamorestand_bench.decisions.routing_scenarios import concentration
from sycamorestand_bench.decisions.routing_scenarios import error_storm
from sycamorestand_bench.decisions.routing_scenarios import flood
from sycamorestand_bench.decisions.routing_scenarios import hot_keys
from sycamorestand_bench.decisions.routing_scenarios import late_reports
from sycamorestand_bench.decisions.routing_scenarios import long_among_short
from sycamorestand_bench.decisions.routing_scenarios import saturation_1_5
from sycamorestand_bench.decisions.routing_scenarios import saturation_3
from sycamorestand_bench.decisions.routing_scenarios import server_lost
from sycamorestand_bench.decisions.routing_scenarios import slow_server
from sycamorestand_bench.decisions.routing_scenarios import steady
from sycamorestand_bench.decisions.version_scenarios import rollout
from sycamorestand_bench.decisions.version_scenarios import rollout_healthy
from sycamorestand_bench.decisions.version_scenarios import rollout_interrupted
from sycamorestand_bench.decisions.version_scenarios import rollout_rating
from sycamorestand_bench.decisions.version_scenarios import turns_bad
from sycamorestand_bench.decisions.version_scenarios import with_case
from sycamorestand_bench.decisions.version_scenarios import with_fault

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_bench.decisions.figures import Figures
    from sycamorestand_bench.decisions.workload import User


class Goal(NamedTuple):
    """A bound on one figure of the product.

    ``over`` names the value over the seeds that must meet the bound: the
    median, the worst seed, or the sum of all seeds.
    """

    name: str
    figure: str
    kind: Literal["at most", "at least"]
    bound: float
    over: Literal["median", "worst", "sum"] = "median"


class Scenario(NamedTuple):
    """A measurement for one user and seed.

    ``shown`` names the figures in the table and the plots.
    """

    name: str
    measure: Callable[[User, int], Figures]
    shown: tuple[str, ...]
    goals: tuple[Goal, ...] = ()


ROUTING_SHOWN: Final = ("p50_s", "p99_s", "answered", "late", "refused")
CASCADE_SHOWN: Final = (
    "cost_micros",
    "over_oracle",
    "quality",
    "worst_class",
    "latency_ms",
)
EXPOSURE_SHOWN: Final = ("exposed_share", "stopped", "completed", "seconds")
SMALL_EXPOSURE: Final = 0.01
CASCADE_GOALS: Final = (
    Goal("cost within 10 % of the oracle", "over_oracle", "at most", 1.1),
    Goal("30 % under always strong", "under_strong", "at least", 0.3),
    Goal(
        "quality target in every seed",
        "over_target",
        "at least",
        0.0,
        "worst",
    ),
)
EXPOSED_GOAL: Final = Goal(
    "out before 1 % of a day", "exposed_share", "at most", 0.01, "worst"
)
STOPPED_GOAL: Final = Goal("stopped", "stopped", "at least", 1.0, "worst")
NO_STOP_GOAL: Final = Goal("no false stop", "stopped", "at most", 0.0, "worst")
SATURATION_GOALS: Final = (
    Goal("useful work of capacity", "useful", "at least", 0.95),
    Goal("refusals within 50 ms", "refusal_p99_ms", "at most", 50.0),
)

SCENARIOS: Final = (
    Scenario("steady", steady, ROUTING_SHOWN),
    Scenario(
        "burst",
        burst,
        (*ROUTING_SHOWN, "cleared_s"),
        (Goal("cleared within twice its length", "cleared_s", "at most", 20),),
    ),
    Scenario(
        "flood",
        flood,
        (*ROUTING_SHOWN, "p99_ratio"),
        (Goal("small customers' 99 %", "p99_ratio", "at most", 1.2),),
    ),
    Scenario("hot-keys", hot_keys, (*ROUTING_SHOWN, "cache_hits")),
    Scenario(
        "slow-server",
        slow_server,
        (*ROUTING_SHOWN, "p99_ratio"),
        (Goal("99 % to the healthy pool", "p99_ratio", "at most", 1.5),),
    ),
    Scenario("long-among-short", long_among_short, ROUTING_SHOWN),
    Scenario(
        "saturation-1.5x",
        saturation_1_5,
        (*ROUTING_SHOWN, "useful", "refused_at_once"),
    ),
    Scenario(
        "saturation-3x",
        saturation_3,
        (*ROUTING_SHOWN, "useful", "refused_at_once"),
        SATURATION_GOALS,
    ),
    Scenario("server-lost", server_lost, ROUTING_SHOWN),
    Scenario("error-storm", error_storm, (*ROUTING_SHOWN, "attempts")),
    Scenario("late-reports", late_reports, ROUTING_SHOWN),
    Scenario(
        "concentration",
        concentration,
        (*ROUTING_SHOWN, "cache_hits", "servers_used"),
    ),
    Scenario("cascade", with_case("cascade"), CASCADE_SHOWN, CASCADE_GOALS),
    Scenario(
        "cascade-drift",
        with_case("cascade-drift"),
        CASCADE_SHOWN,
        CASCADE_GOALS,
    ),
    Scenario(
        "cascade-late-ratings",
        with_case("cascade-late-ratings"),
        CASCADE_SHOWN,
        CASCADE_GOALS[2:],
    ),
    *(
        Scenario(
            f"rollout-{fault}",
            with_fault(rollout, fault),
            EXPOSURE_SHOWN,
            (EXPOSED_GOAL, STOPPED_GOAL),
        )
        for fault in ("wrong", "errors", "slow")
    ),
    Scenario(
        "rollout-one-class",
        with_fault(rollout, "one-class"),
        EXPOSURE_SHOWN,
        (EXPOSED_GOAL, STOPPED_GOAL),
    ),
    Scenario(
        "rollout-interrupted",
        rollout_interrupted,
        (*EXPOSURE_SHOWN, "healthy_completed"),
        (EXPOSED_GOAL, STOPPED_GOAL),
    ),
    *(
        Scenario(
            f"rollout-{fault}",
            with_fault(rollout_rating, fault),
            EXPOSURE_SHOWN,
            (NO_STOP_GOAL,),
        )
        for fault in ("rating-down", "rating-biased")
    ),
    Scenario(
        "rollout-healthy",
        rollout_healthy,
        ("false_stops", "completed", "seconds"),
        (
            Goal(
                "false stops in all seeds' 1,000",
                "false_stops",
                "at most",
                1,
                "sum",
            ),
        ),
    ),
    *(
        Scenario(
            f"turns-bad-{fault}",
            with_fault(turns_bad, fault),
            EXPOSURE_SHOWN,
            (EXPOSED_GOAL, STOPPED_GOAL),
        )
        for fault in ("wrong", "errors", "slow", "one-class")
    ),
    *(
        Scenario(
            f"turns-bad-{fault}",
            with_fault(turns_bad, fault),
            EXPOSURE_SHOWN,
            (NO_STOP_GOAL,),
        )
        for fault in ("rating-down", "rating-biased", "healthy")
    ),
    Scenario("placement", placement, ("unmet", "loads", "changes_an_hour")),
    Scenario(
        "decision-cost",
        decision_cost,
        ("cpu_us", "refusal_us", "per_candidate_us", "per_customer_us"),
        (Goal("CPU a request", "cpu_us", "at most", 50.0),),
    ),
)


def find_scenarios(name: str | None) -> tuple[Scenario, ...]:
    """Return the scenarios with a name, or whose names extend it by a dash.

    Without a name, return all scenarios.
    """
    if name is None:
        return SCENARIOS
    by_name = tuple(s for s in SCENARIOS if s.name == name)
    by_prefix = tuple(s for s in SCENARIOS if s.name.startswith(f"{name}-"))
    return by_name + by_prefix


__all__ = ["find_scenarios", "Goal", "Scenario", "SCENARIOS"]
