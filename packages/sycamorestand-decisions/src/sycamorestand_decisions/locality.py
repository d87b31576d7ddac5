"""Which servers are asked first where they stand in several data centres.

The load pattern is a fleet of dozens of servers spread over data centres,
in front of which every entry sees every server. Without this choice three
in four requests of a fleet in four data centres go to another one: prompts
and streams fill the links between them, and whatever cuts or slows such a
link harms requests that a server next door was free for.

With few servers in a data centre it is the other way round: each subject
is read anew in each of them, and a queue at one has nowhere near to go. On
installations with two or three near servers, callers got up to 0.013 less
of what they were owed. So only a data centre with `LEAST_NEAR` servers
keeps its requests, and only while a server elsewhere is not clearly better.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sycamorestand_decisions.candidates import Candidate

# Two owners of a subject and two draws need as many servers again to
# choose among, also while a third of them is out.
LEAST_NEAR: Final = 4
# A server elsewhere is taken when its expected wait is half of the near
# one's: less would answer the noise of a few requests more or less, more
# would keep a burst of one data centre waiting beside free servers.
FAR_COST: Final = 2.0


def near_side(candidates: Sequence[Candidate]) -> Sequence[Candidate]:
    """Return the servers to ask first: the near ones, or all.

    >>> from sycamorestand_decisions.candidates import Candidate
    >>> few = [Candidate("a", 4), Candidate("b", 4, near=False)]
    >>> near_side(few) == few
    True
    """
    near = [candidate for candidate in candidates if candidate.near]
    # The same sequence where nothing is left out: its index is kept.
    split = LEAST_NEAR <= len(near) < len(candidates)
    return near if split else candidates


def far_side(candidates: Sequence[Candidate]) -> Sequence[Candidate]:
    """Return the servers of other data centres."""
    return [candidate for candidate in candidates if not candidate.near]


__all__ = ["FAR_COST", "far_side", "LEAST_NEAR", "near_side"]
