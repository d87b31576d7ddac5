"""Plain rules for the choice of a server, to compare with."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from sycamorestand_decisions.selection import Candidate


def round_robin() -> Callable[[Sequence[Candidate]], str]:
    """Return a rule that takes the servers in turn."""
    turn = 0

    def choose(candidates: Sequence[Candidate]) -> str:
        nonlocal turn
        turn += 1
        return candidates[turn % len(candidates)].name

    return choose


def at_random(random: Random) -> Callable[[Sequence[Candidate]], str]:
    """Return a rule that draws a server."""
    return lambda candidates: random.choice(candidates).name


def least_reported(random: Random) -> Callable[[Sequence[Candidate]], str]:
    """Return a rule that follows the last load report."""

    def choose(candidates: Sequence[Candidate]) -> str:
        return min(
            candidates, key=lambda c: (c.running + c.queued, random.random())
        ).name

    return choose


__all__ = ["at_random", "least_reported", "round_robin"]
