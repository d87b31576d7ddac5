"""Choice of the model size for a request, and when it escalates.

Easy and hard requests of one class cannot be told apart before a model has
begun to answer. The largest model costs fifteen times as much as the smallest
one and fills the engines; the smallest one gives poor answers to hard
requests. A request therefore begins on the smallest model. The model's
confidence in its answer, which arrives with the head of the answer, decides
whether the answer is released or the request escalates. A dropped answer has
cost one prefill on the cheapest model.

Confidence shows how far the request exceeds what the model can do. Near half
of the scale the request is at the model's limit; far below, only the largest
model can answer it. An answer that misses `ACCEPT_CONFIDENCE` narrowly
therefore escalates by one model, which costs half as much as the largest and
needs a quarter of its prefill time. Any other answer escalates directly to the
largest model. If every request went through the middle model, most would be
read three times.

Under overload, the time for an escalation is taken from other requests, so the
threshold falls with the strain, down to 0 at `FULL_STRAIN`. The strain grows
with the delay at the servers and with the work of the escalation
(`further_attempts.climb_strain`).
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Of 100. A lower value releases more poor answers; a higher one pays for the
# large model although the answer was good.
ACCEPT_CONFIDENCE: Final = 60
# A middle model answers only after a near miss of the next smaller one. Both
# confidences are rough estimates for the same request, so the second one may
# be lower.
ACCEPT_AFTER_NEAR_MISS: Final = 50
# The middle model's confidence is about twelve higher than the smallest one's,
# so from this value on most of its answers can be accepted.
NEAR_MISS_CONFIDENCE: Final = 45
# The largest model's prefill takes ten times as long as the smallest one's, so
# the escalation of a long prompt delays up to ten requests. As the strain
# nears this value, for a long prompt a delay of half of the latency target,
# answers are released that would otherwise escalate, those with the highest
# confidence first.
FULL_STRAIN: Final = 0.5


def first_size(sizes: Sequence[str]) -> int:
    """Return the index of the model that a request begins on."""
    return 0


def next_size(
    sizes: Sequence[str],
    size: int,
    confidence: int | None,
    attempts_left: int,
    strain: float = 0.0,
) -> int | None:
    """Return the index of the model to escalate to, None to release.

    ``confidence`` is the model's confidence in its answer, 0 to 100, None if
    it gave none. Without an attempt left the answer is released, as a poor
    answer is worth more than none. An escalation by one model must leave one
    more attempt for an escalation from there. ``strain`` is the current
    queueing delay at the servers, as a share of the latency target, weighted
    by the work of the escalation. It does not change which model is chosen.
    """
    between = 0 < size < len(sizes) - 1
    threshold = ACCEPT_AFTER_NEAR_MISS if between else ACCEPT_CONFIDENCE
    accept = threshold * max(0.0, 1.0 - strain / FULL_STRAIN)
    if confidence is None or confidence >= accept:
        return None
    if size + 1 >= len(sizes) or attempts_left < 1:
        return None
    if confidence >= NEAR_MISS_CONFIDENCE and attempts_left > 1:
        return size + 1
    return len(sizes) - 1


__all__ = [
    "ACCEPT_AFTER_NEAR_MISS",
    "ACCEPT_CONFIDENCE",
    "first_size",
    "NEAR_MISS_CONFIDENCE",
    "next_size",
]
