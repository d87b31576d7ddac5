"""Estimate prefill times, and rank requests at the engines by them.

Prompts of 300 to 60,000 tokens run on models whose prefill rates differ by a
factor of ten, all on the same engines. By default an engine prefills in order
of arrival, so one long prompt on a large model delays every request behind it
for seconds, which no count of an entry shows. With the shortest prefill first,
the fewest requests wait. Short prefills are a small part of the work, so long
ones lose little.

Prefill times differ by engine and model, so they are learned from the time to
the first event per token. Only prompts that are long enough for the constant
part of that time to matter little are used. The estimate is a low quantile,
because the rest of the time is queueing.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# A first event takes 20 to 30 ms without any prefill, the time of a few
# hundred tokens. The times of shorter prompts depend more on that constant
# than on the rate.
MIN_TOKENS: Final = 1_000
# At half load, two or three of ten first events come without queueing.
QUANTILE: Final = 0.25
# Each observation changes the rate by up to a tenth. The estimate is usable
# after ten observations, a few seconds of one entry's traffic, and varies by
# up to a third.
STEP: Final = 0.1
# Used before the first observation: the middle of the rates of current engines
# on their smallest and largest models.
DEFAULT_S_PER_TOKEN: Final = 1 / 100_000
# A model without observations is assumed to be slower than the next smaller
# one by this factor; for current models it is 2.7 and 3.8.
SLOWDOWN_PER_SIZE: Final = 3.0
MAX_RATES: Final = 256
# Engines support ten ranks. The first is for prefills that delay no other
# request; each further rank doubles the time, so the tenth begins at 3.8 s.
RANKS: Final = 10
FIRST_RANK_S: Final = 0.015


class PrefillRates:
    """Prefill rates that one entry has learned, by service and model."""

    def __init__(self) -> None:
        self._s_per_token: dict[tuple[str, str], float] = {}

    def observe(
        self, service: str, model: str, tokens: int, first_event_s: float
    ) -> None:
        """Record the time from sending a prompt to its first event."""
        if tokens < MIN_TOKENS or first_event_s <= 0:
            return
        sample = first_event_s / tokens
        key = (service, model)
        known = self._s_per_token.get(key)
        if known is None:
            if len(self._s_per_token) >= MAX_RATES:
                self._s_per_token.clear()
            self._s_per_token[key] = sample
        elif sample < known:
            self._s_per_token[key] = known * (1 - STEP * (1 - QUANTILE))
        else:
            self._s_per_token[key] = known * (1 + STEP * QUANTILE)

    def prefill_s(
        self, service: str, sizes: Sequence[str], size: int, tokens: int
    ) -> float:
        """Return the expected prefill time of a prompt, in seconds.

        ``sizes`` are the service's models, smallest first; ``size`` is the
        index of the model that runs the prompt.
        """
        factor = 1.0
        for below in range(size, -1, -1):
            model = sizes[below] if sizes else ""
            known = self._s_per_token.get((service, model))
            if known is not None:
                return tokens * known * factor
            factor *= SLOWDOWN_PER_SIZE
        return tokens * DEFAULT_S_PER_TOKEN * factor / SLOWDOWN_PER_SIZE


def engine_rank(prefill_s: float, priority: int, left_s: float) -> int:
    """Return the rank of a request at the engine; rank 0 is served first.

    ``priority`` is what the operator declared, 0 being the highest; it decides
    between prefills of similar length. ``left_s`` is the time left until the
    latency target. A prefill that cannot meet the target any more gets the
    last rank, since it would be late in any case and delay other requests.

    >>> engine_rank(0.01, 0, 2.0), engine_rank(0.1, 0, 2.0)
    (0, 3)
    >>> engine_rank(0.1, 2, 2.0), engine_rank(0.1, 0, 0.05)
    (5, 9)
    """
    if prefill_s > left_s:
        return RANKS - 1
    rank = max(0, priority)
    while prefill_s >= FIRST_RANK_S and rank < RANKS - 1:
        prefill_s /= 2
        rank += 1
    return min(rank, RANKS - 1)


__all__ = [
    "engine_rank",
    "FIRST_RANK_S",
    "MIN_TOKENS",
    "RANKS",
    "PrefillRates",
    "DEFAULT_S_PER_TOKEN",
]
