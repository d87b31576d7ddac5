"""The one place that says what a profile's user wants least of.

Cascades, roll-outs and placement weigh cost, latency and exposure to bad
versions. Each asks here, so that a changed weight in a profile changes
every decision alike. The Guild's profiles weigh cost, the Authority's
latency and exposure.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sycamorestand_model.declarations import Objective

# Evidence against a version is acted on at this probability of a false
# stop for one roll-out; a user who fears exposure more accepts more.
FALSE_STOP_PROBABILITY: Final = 0.0005
MAX_FALSE_STOP_PROBABILITY: Final = 0.0008
MIN_FALSE_STOP_PROBABILITY: Final = 0.0002


def penalty(
    objective: Objective, cost_ratio: float, latency_ratio: float
) -> float:
    """Return what one way to answer costs its user; less is better.

    Both ratios are against the strongest step alone.
    """
    cost = objective.cost_weight * cost_ratio
    return cost + objective.latency_weight * latency_ratio


def false_stop_probability(objective: Objective) -> float:
    """Return how likely a healthy roll-out may be stopped."""
    total = objective.cost_weight + objective.latency_weight
    total += objective.exposure_weight
    share = objective.exposure_weight / total if total else 1.0 / 3.0
    probability = FALSE_STOP_PROBABILITY * 3.0 * share
    return min(
        max(probability, MIN_FALSE_STOP_PROBABILITY),
        MAX_FALSE_STOP_PROBABILITY,
    )


__all__ = ["false_stop_probability", "penalty"]
