"""Which model of an engine a request runs on, and when it climbs.

The load pattern is a mix of easy and hard requests of one class, which
nothing tells apart before a model has begun to answer. Always the largest
model costs fifteen times the smallest one's price and fills the engines;
always the smallest spoils the answers to hard requests. So a request
begins on the smallest, and the model's own opinion of its answer, which
comes with the answer's head, says whether the answer may go out or the
request climbs. What is dropped has cost the reading of its prompt on the
cheapest model.

A model's confidence says how far the request is from what the model can
do: near half of the scale it is about what the model just can or cannot,
far below no model but the largest can. So an answer that misses
`ACCEPT_CONFIDENCE` by little climbs by one model, which costs half of the
largest and reads a prompt in a quarter of its time, and any other answer
straight to the largest. Through the middle always, most requests would be
read three times.

Under overload the time that a climb takes is another request's: a second
load pattern, answered by `FULL_STRAIN`.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Of 100. Lower lets more poor answers out, higher pays for the large model
# where the answer was good.
ACCEPT_CONFIDENCE: Final = 60
# A model between has an answer to give only after a near miss of the one
# below. Both opinions are rough and speak of the same request, so that the
# second needs to say less.
ACCEPT_AFTER_NEAR_MISS: Final = 50
# The middle model's confidence lies some twelve above the smallest one's, so
# that from here on most of its answers can be accepted.
NEAR_MISS_CONFIDENCE: Final = 45
# The largest model reads a prompt in ten times the smallest one's time, so
# a climb keeps up to ten requests waiting behind it. As their wait nears this
# share of the aim, answers go out that would otherwise climb, the better ones
# first.
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
    """Return the model to climb to, None where the answer may go out.

    ``confidence`` is the model's opinion of its answer, 0 to 100, None
    where it gave none. Without an attempt left the answer goes out: a
    poor answer earns more than none. A climb by one needs an attempt more
    than that, to climb on from there. ``strain`` is how long requests wait
    at the servers now, as a share of their aim.
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
