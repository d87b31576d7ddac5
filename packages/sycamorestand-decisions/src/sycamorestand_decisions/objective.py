"""Weights of cost, latency and exposure from a profile's objective.

Cascades, roll-outs and placement all trade cost against latency and against
exposure to bad versions. They use these functions, so a changed weight in a
profile changes every decision consistently. The Guild's profiles give most
weight to cost, the Authority's to latency and exposure.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sycamorestand_model.declarations import Objective

# Accepted probability of a false stop of one roll-out, which sets the evidence
# at which a version is stopped. A profile with a higher weight of exposure
# accepts a higher probability.
FALSE_STOP_PROBABILITY: Final = 0.0005
MAX_FALSE_STOP_PROBABILITY: Final = 0.0008
MIN_FALSE_STOP_PROBABILITY: Final = 0.0002


def penalty(
    objective: Objective, cost_ratio: float, latency_ratio: float
) -> float:
    """Return the weighted cost and latency of a plan; lower is better.

    Both ratios are relative to the strongest step alone.
    """
    cost = objective.cost_weight * cost_ratio
    return cost + objective.latency_weight * latency_ratio


def false_stop_probability(objective: Objective) -> float:
    """Return the accepted probability of stopping a healthy roll-out."""
    total = objective.cost_weight + objective.latency_weight
    total += objective.exposure_weight
    share = objective.exposure_weight / total if total else 1.0 / 3.0
    probability = FALSE_STOP_PROBABILITY * 3.0 * share
    return min(
        max(probability, MIN_FALSE_STOP_PROBABILITY),
        MAX_FALSE_STOP_PROBABILITY,
    )


__all__ = ["false_stop_probability", "penalty"]
