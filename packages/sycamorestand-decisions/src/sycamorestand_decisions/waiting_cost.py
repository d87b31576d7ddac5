"""What a delay of a waiting request costs its caller, and whose turn it is.

The load pattern is a burst of requests of unequal work and urgency. In order
of arrival, one long request makes many short ones miss their targets, and in
order of deadlines the slots work on requests that are late already.

Requests of a higher priority come first. Within a priority, the first are
those that can still meet their latency target, the least work first: a slot
serves most callers in time that way. Those that have missed their target
follow in the order of their deadlines. A request that has waited for a third
of the time to its deadline is aged: a quarter of the customer's work is for
the aged ones, so that short work cannot delay long work without end.
Requests without a target keep the order in which they came: it is not known
what a delay costs them, and with the least work first, long ones are admitted
and refused seconds later.
"""

from __future__ import annotations

import math
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

LOWEST_PRIORITY: Final = 9
# Costs within a priority are from 1e-8 to 1e3, so that no amount of work or
# time outweighs a priority.
PRIORITY_FACTOR: Final = 1e12
# By priority, computed once: a queue of two thousand requests has its costs
# computed four times a second.
SCALES: Final = tuple(
    PRIORITY_FACTOR ** (LOWEST_PRIORITY - priority)
    for priority in range(LOWEST_PRIORITY + 1)
)
# Bounds of a request's work, so that costs stay within the range above.
MIN_WORK_S: Final = 1e-3
MAX_WORK_S: Final = 1e3
# Below the cost of any request that can meet its target, 1 / `MAX_WORK_S`.
LATE_COST: Final = 1e-4
# Of the time from the arrival to the deadline.
AGED_SHARE: Final = 1 / 3
# Of a customer's work while aged requests wait. Without a bound, all requests
# of a long burst age, and then start by their deadlines when they are late.
AGED_WORK_SHARE: Final = 0.25


class Urgency(NamedTuple):
    """What the order of a waiting request depends on; times are absolute.

    ``start_by_s`` is the latest start that meets the latency target, infinity
    without one, and ``work_s`` the expected time in a slot.
    """

    priority: int
    arrived_s: float
    start_by_s: float
    deadline_s: float
    work_s: float

    def cost(self, now_s: float) -> float:
        """Return the delay cost at this time."""
        return delay_cost(
            self.priority,
            self.start_by_s - now_s,
            self.deadline_s - now_s,
            self.work_s,
        )

    def is_aged(self, now_s: float) -> bool:
        """Return whether a third of the time to the deadline has passed.

        Requests without a target do not age.
        """
        if math.isinf(self.start_by_s):
            return False
        whole_s = self.deadline_s - self.arrived_s
        return now_s - self.arrived_s > AGED_SHARE * whole_s


def known_priority(priority: int) -> int:
    """Return the priority within its bounds, 0 to 9."""
    return min(max(priority, 0), LOWEST_PRIORITY)


def delay_cost(
    priority: int, left_to_target_s: float, left_s: float, work_s: float
) -> float:
    """Return what a second of delay costs, per second of a slot.

    ``left_to_target_s`` is the time in which the request can still start and
    meet its latency target, ``left_s`` the time to its deadline. A request
    that cannot end by its deadline costs nothing more by waiting. Requests
    without a target, where the former is infinite, all cost the same.

    >>> delay_cost(0, 1.0, 9.0, 5.0) > delay_cost(1, 1.0, 9.0, 0.1)
    True
    >>> delay_cost(1, 1.0, 9.0, 0.1) > delay_cost(1, 0.5, 2.0, 0.2)
    True
    >>> delay_cost(1, 1.0, 99.0, 9.0) > delay_cost(1, -0.5, 2.0, 0.2)
    True
    >>> delay_cost(1, -1.0, 2.0, 9.0)
    0.0
    """
    scale = SCALES[known_priority(priority)]
    if left_to_target_s == math.inf:
        return scale * LATE_COST
    if work_s > left_s:
        return 0.0
    if left_to_target_s < 0:
        return scale * LATE_COST / (1.0 + left_s)
    return scale / min(max(work_s, MIN_WORK_S), MAX_WORK_S)


def next_aged(
    waiting: Iterable[tuple[int, Urgency]], now_s: float
) -> int | None:
    """Return the id of the aged request with the earliest deadline.

    Only requests that can still end by their deadlines count; return None if
    there is none.
    """
    aged = [
        (urgency.deadline_s, number)
        for number, urgency in waiting
        if urgency.is_aged(now_s)
        and urgency.deadline_s - now_s >= urgency.work_s
    ]
    return min(aged)[1] if aged else None


def costliest(waiting: Iterable[tuple[int, Urgency]], now_s: float) -> int:
    """Return the id of the request with the highest delay cost.

    Of requests with the same cost it is the first one. Raises `ValueError` if
    no request waits.
    """
    number, _ = max(waiting, key=lambda each: each[1].cost(now_s))
    return number


__all__ = [
    "AGED_WORK_SHARE",
    "costliest",
    "delay_cost",
    "known_priority",
    "LOWEST_PRIORITY",
    "next_aged",
    "Urgency",
]
