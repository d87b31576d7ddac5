"""Sequential test of a rate against a reference rate.

A roll-out is evaluated again after every few requests. A fixed-sample test
that is read so often stops healthy versions: at a level of 5 %, it stops most
of them. This sequential test may be read at any time. It is a likelihood
ratio, averaged over several higher rates, that compares how well a higher rate
and the reference explain the counts. While the true rate is at most the
reference, the probability that the ratio ever reaches 1/p is at most p.
"""

from __future__ import annotations

from math import exp
from math import log
from typing import Final

# Alternatives to the reference rate, as shares of the distance from the
# reference to 1: from a small degradation, which takes long to detect, to a
# total failure.
RISES: Final = (0.01, 0.03, 0.06, 0.12, 0.25, 0.5, 0.9)


def log_evidence(bad: float, total: float, reference: float) -> float:
    """Return the logarithm of the evidence that the rate is higher.

    >>> log_evidence(30, 100, 0.1) > 9.2
    True
    >>> log_evidence(10, 100, 0.1) < 0
    True
    """
    if total <= 0:
        return 0.0
    reference = min(max(reference, 1e-4), 0.999)
    good = total - bad
    ratios = []
    for rise in RISES:
        rate = reference + rise * (1.0 - reference)
        gain = bad * log(rate / reference)
        loss = good * log((1.0 - rate) / (1.0 - reference))
        ratios.append(gain + loss)
    top = max(ratios)
    mean = sum(exp(ratio - top) for ratio in ratios) / len(ratios)
    return top + log(mean)


__all__ = ["log_evidence"]
