"""Tell which losses the voters of a group survive, and what is missing.

A group of n voters goes on while a majority is left. Losing k disks at once
takes 2k + 1 voters; losing a data centre takes a majority outside of it. What
runs may give less than the settings promise, and nobody would notice before
the loss.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


class VoterTolerance(NamedTuple):
    """The voters of a group, and those in the data centre with most.

    >>> found = voter_tolerance(("a", "a", "b", "c", "c"))
    >>> found.lost_voters, found.survives_data_centre
    (2, True)
    """

    voters: int
    fullest: str
    in_fullest: int

    @property
    def lost_voters(self) -> int:
        """How many voters may be lost at the same time."""
        return max(0, self.voters - 1) // 2

    @property
    def survives_data_centre(self) -> bool:
        """Whether a majority is left without any one data centre."""
        return self.voters > 0 and self.in_fullest <= self.lost_voters


def voter_tolerance(data_centres: Sequence[str]) -> VoterTolerance:
    """Return the tolerance of voters in these data centres, one a voter."""
    if not data_centres:
        return VoterTolerance(0, "", 0)
    counts = Counter(data_centres)
    fullest = max(sorted(counts), key=lambda name: counts[name])
    return VoterTolerance(len(data_centres), fullest, counts[fullest])


def missing_voters(
    found: VoterTolerance, wanted: int, may_lose_data_centre: bool
) -> tuple[str, ...]:
    """Return what is missing for the losses that shall be survived."""
    missing = []
    if found.voters < wanted:
        missing.append(
            f"{found.voters} voters where {wanted} are wanted: "
            f"{wanted - found.voters} more control processes with a disk are "
            f"needed to survive the loss of {(wanted - 1) // 2}"
        )
    if may_lose_data_centre and not found.survives_data_centre:
        missing.append(
            f"{found.fullest or 'one data centre'} has {found.in_fullest} of "
            f"{found.voters} voters: its loss leaves no majority"
        )
    return tuple(missing)


__all__ = ["missing_voters", "voter_tolerance", "VoterTolerance"]
