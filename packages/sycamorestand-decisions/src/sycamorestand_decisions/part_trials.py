"""Decide when a blocked prompt part is tried again, and by which entry.

A part may have been blamed wrongly, for example where all servers of a
service ended at once, and its callers must not be refused for ever. Each
trial of a part that is to blame ends a server with all that runs there, so one
entry at a time sends one request, after pauses that grow, and the number of
trials of a part is bounded for the whole installation. A trial is given to an
entry that has just refused a request with the part.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_model.prompt_parts import MAX_TRIALS
from sycamorestand_model.request_digest import is_request

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sycamorestand_model.prompt_parts import BlockedPart

# Pauses before the trials. Only a part that may have been blamed because all
# servers ended at once has the first, short one: they may be back by then.
PAUSES_S: Final = (1.0, 30.0, 3000.0)
# Three more servers may end under a whole request that has ended three, and
# two of them may have done so already where ends before a restart of all
# processes are forgotten.
REQUEST_PAUSES_S: Final = (1.0, 3000.0)
MAX_DEMAND_AGE_S: Final = 0.5


class Trial(NamedTuple):
    """The next trial of a part, by the entry process of this id."""

    part: str
    number: int
    process: str


class _Demand(NamedTuple):
    process: str
    at_s: float


class PartTrials:
    """The trials that are due, as the leader knows.

    >>> from sycamorestand_model.prompt_parts import BlockedPart
    >>> trials = PartTrials()
    >>> blocked = {"bad": BlockedPart(("club",))}
    >>> trials.due(blocked, 10.0)
    []
    >>> trials.record_refused("bad", "entry-1", 11.5)
    >>> trials.due(blocked, 11.5)
    [Trial(part='bad', number=1, process='entry-1')]
    """

    def __init__(self) -> None:
        self._since_s: dict[tuple[str, int], float] = {}
        self._demands: dict[str, _Demand] = {}

    def record_refused(self, part: str, process: str, now_s: float) -> None:
        """Record that an entry process has refused a request with a part."""
        self._demands[part] = _Demand(process, now_s)

    def due(
        self, blocked: Mapping[str, BlockedPart], now_s: float
    ) -> list[Trial]:
        """Return the trials to permit now."""
        stages = {(part, block.trials) for part, block in blocked.items()}
        self._since_s = {
            stage: self._since_s.get(stage, now_s) for stage in stages
        }
        self._demands = {
            part: demand
            for part, demand in self._demands.items()
            if part in blocked and now_s - demand.at_s < MAX_DEMAND_AGE_S
        }
        return [
            Trial(part, trials + 1, self._demands[part].process)
            for (part, trials), since_s in self._since_s.items()
            if trials < max_trials(part)
            and part in self._demands
            and now_s - since_s >= trial_pause_s(part, blocked[part])
        ]


def max_trials(part: str) -> int:
    """Return how often a blocked part is tried."""
    return len(REQUEST_PAUSES_S) if is_request(part) else MAX_TRIALS


def trial_pause_s(part: str, block: BlockedPart) -> float:
    """Return the pause before the next trial, of which there must be one."""
    if is_request(part):
        return REQUEST_PAUSES_S[block.trials]
    return PAUSES_S[block.trials + block.is_certain]


__all__ = [
    "max_trials",
    "PartTrials",
    "PAUSES_S",
    "REQUEST_PAUSES_S",
    "Trial",
    "trial_pause_s",
]
