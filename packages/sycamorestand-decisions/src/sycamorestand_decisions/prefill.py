"""How long engines read a prompt, and in which order they should read.

The load pattern is prompts of 300 to 60,000 tokens on models that read at
rates ten times apart, all on the same engines. An engine reads in the order
in which requests came, so one long prompt on a large model holds up every
request behind it for seconds; nothing that an entry counts shows it. Short
readings first is the order in which the fewest wait, and the short ones
together are a small part of the work, so that the long ones lose little by
it.

What a reading takes is learned, as it differs by engine and model: the time
to the first event by token, of prompts long enough that the constant part of
it says little. A low quantile of it, since the rest is waiting.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# A first event takes some 20 to 30 ms without any reading, a few hundred
# tokens' time: shorter prompts say more of that than of the rate.
MIN_TOKENS: Final = 1_000
# Of ten first events at half load, two or three came without a wait.
QUANTILE: Final = 0.25
# Each observation moves the rate by up to a tenth: known within ten of
# them, a few seconds of one entry's traffic, and steady to a third.
STEP: Final = 0.1
# Before anything was seen: the middle of what today's engines do on their
# smallest and largest models.
DEFAULT_S_PER_TOKEN: Final = 1 / 100_000
# A model that nothing was seen of yet reads more slowly than the one below
# it; today's differ by 2.7 and 3.8.
SLOWDOWN_PER_SIZE: Final = 3.0
MAX_RATES: Final = 256
# Engines know ten ranks. The first one is for readings that hold nobody up;
# each further one for twice as long, so that the tenth begins at 3.8 s.
RANKS: Final = 10
FIRST_RANK_S: Final = 0.015


class PrefillRates:
    """What one entry has learned of the models' reading, by service."""

    def __init__(self) -> None:
        self._s_per_token: dict[tuple[str, str], float] = {}

    def observe(
        self, service: str, model: str, tokens: int, first_event_s: float
    ) -> None:
        """Take in the time from sending a prompt to its first event."""
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
        """Return how long a prompt takes the model with this index.

        ``sizes`` are the service's models, the smallest first.
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
    """Return the rank at the engine, 0 is served first.

    ``priority`` is what the operator declared, 0 is the highest: among
    readings of like length it decides. ``left_s`` is what is left of the
    aim: a reading that cannot be in time any more goes last, since it
    would be late all the same and make others late as well.

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
