"""A sequential test of a rate against a reference, on counts alone.

A roll-out is judged again after every few requests. A fixed-sample test
read that often stops healthy versions: at 5 % it does so for most of them.
This test may be read at any time. It compares how well a higher rate
explains the counts with how well the reference does (a likelihood ratio
averaged over alternatives); while the true rate is at most the reference,
the chance that it ever reaches 1/p is at most p.

Shown by ``dev/bench decisions --scenario rollout-healthy``.
"""

from __future__ import annotations

from math import exp
from math import log
from typing import Final

# Rises over the reference that are looked for, in shares of what is left
# up to one: from a small harm that shows late to a total failure.
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
