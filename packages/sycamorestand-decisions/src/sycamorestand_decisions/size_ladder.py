"""Which model of an engine a request runs on, and when it climbs.

The load pattern is a mix of easy and hard requests of one class, which
nothing tells apart before a model has begun to answer. Always the largest
model costs fifteen times the smallest one's price and fills the engines;
always the smallest spoils the answers to hard requests. So a request
begins on the smallest, and the model's own opinion of its answer, which
comes with the answer's head, says whether the answer may go out or the
request climbs. What is dropped has cost the reading of its prompt on the
cheapest model.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

ACCEPT_CONFIDENCE: Final = 60


def first_size(sizes: Sequence[str]) -> int:
    """Return the index of the model that a request begins on."""
    return 0


def next_size(
    sizes: Sequence[str],
    size: int,
    confidence: int | None,
    attempts_left: int,
) -> int | None:
    """Return the model to climb to, None where the answer may go out.

    ``confidence`` is the model's opinion of its answer, 0 to 100, None
    where it gave none. Without an attempt left the answer goes out: a
    poor answer earns more than none.
    """
    if confidence is None or confidence >= ACCEPT_CONFIDENCE:
        return None
    if size + 1 >= len(sizes) or attempts_left < 1:
        return None
    return len(sizes) - 1


__all__ = ["ACCEPT_CONFIDENCE", "first_size", "next_size"]
