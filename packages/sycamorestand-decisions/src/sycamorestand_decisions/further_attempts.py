"""Which further attempts of a request are worth the arrivals they spend.

One of about a hundred entries gets three requests a second of a service and
keeps at most five further arrivals (`arrivals`). In a burst, half of the
answers have low confidence, and many requests wait a few tenths of a second
for their first event. If escalations and moves to another server take the
arrivals in the order in which they occur, moves that save little time leave
none for answers that are almost surely too poor.

Each kind of improvement therefore leaves a reserve of its own, a share of what
the entry may keep above one arrival. The reserve of an escalation grows with
the confidence of the answer that it replaces. A move leaves more than any
escalation, unless its route is urgent (priority 0), when it leaves as much as
the largest reserve of an escalation. Attempts without which a caller gets
no answer leave no reserve.
"""

from __future__ import annotations

from typing import Final

from sycamorestand_decisions.arrivals import URGENT_SHARE
from sycamorestand_decisions.size_ladder import ACCEPT_CONFIDENCE

URGENT_PRIORITY: Final = 0
# Reserve of an escalation whose answer is nearly good enough. An escalation at
# confidence 0 has no reserve: such an answer is worth little more than none.
# A loan of arrivals covers no larger reserve.
MAX_CLIMB_RESERVE: Final = URGENT_SHARE
# A move only saves time, so it leaves more than any escalation.
MOVE_RESERVE: Final = 0.5
URGENT_MOVE_RESERVE: Final = MAX_CLIMB_RESERVE
# A larger model delays other requests noticeably if it reads the prompt for
# this share of the target.
FULL_WORK_SHARE: Final = 0.05


def climb_reserve(confidence: int) -> float:
    """Return the share of the budget that an escalation must leave.

    ``confidence`` is that of the answer it replaces, 0 to 100.

    >>> climb_reserve(0), climb_reserve(30), climb_reserve(60)
    (0.0, 0.125, 0.25)
    """
    share = min(1.0, max(0, confidence) / ACCEPT_CONFIDENCE)
    return MAX_CLIMB_RESERVE * share


def move_reserve(priority: int) -> float:
    """Return the share of the budget that a move must leave.

    ``priority`` is that of the request's route, 0 being the highest.
    """
    if priority <= URGENT_PRIORITY:
        return URGENT_MOVE_RESERVE
    return MOVE_RESERVE


def climb_strain(delay_s: float, target_s: float, prefill_s: float) -> float:
    """Return the strain at which an escalation is decided (`next_size`).

    It is the queueing delay ``delay_s`` at the servers as a share of the
    latency target, weighted by the work of the escalation: ``prefill_s`` is
    the prefill time of the prompt at the larger model. The largest model reads
    800 tokens in 30 ms and 50,000 tokens in two seconds, in which other
    requests wait. A prefill time of 0 is unknown and has the full weight.

    >>> climb_strain(0.5, 1.0, 0.2), climb_strain(0.5, 1.0, 0.025)
    (0.5, 0.25)
    """
    work = 1.0
    if prefill_s > 0:
        work = min(1.0, prefill_s / (target_s * FULL_WORK_SHARE))
    return delay_s / target_s * work


__all__ = [
    "climb_reserve",
    "climb_strain",
    "MAX_CLIMB_RESERVE",
    "MOVE_RESERVE",
    "move_reserve",
    "URGENT_MOVE_RESERVE",
]
