"""Baseline rules that choose a server, for comparison with the product."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from sycamorestand_decisions.selection import Candidate


def round_robin() -> Callable[[Sequence[Candidate]], str]:
    """Return a rule that chooses the servers in turn."""
    turn = 0

    def choose(candidates: Sequence[Candidate]) -> str:
        nonlocal turn
        turn += 1
        return candidates[turn % len(candidates)].name

    return choose


def random_choice(random: Random) -> Callable[[Sequence[Candidate]], str]:
    """Return a rule that chooses a server at random, all equally likely."""
    return lambda candidates: random.choice(candidates).name


def least_reported_load(
    random: Random,
) -> Callable[[Sequence[Candidate]], str]:
    """Return a rule that chooses the server with the least reported load.

    The load is the number of running and queued requests in the server's
    last load report. Ties are broken at random.
    """

    def choose(candidates: Sequence[Candidate]) -> str:
        return min(
            candidates, key=lambda c: (c.running + c.queued, random.random())
        ).name

    return choose


__all__ = ["random_choice", "least_reported_load", "round_robin"]
