"""Limits on how long requests wait for an entry that has just started.

When all entries restart at once, callers come back immediately, each for its
only retry, and no other entry can serve them. An entry that does not listen
before it holds a lease, or that refuses requests until then, loses all
requests of that period. An entry that lets requests wait answers most of them,
and streams within their latency target: it gets a lease within 0.3 s once
control is back.

The wait is bounded because the lease may not come: by a share of the caller's
remaining time, so that enough is left to try another entry; by a time after
the start, beyond which control is unreachable rather than starting; and by a
number of requests, because each waiting request holds a connection and the
part of its body that has been read.
"""

from __future__ import annotations

from typing import Final

# Of the caller's remaining time; four fifths remain for another entry.
HOLD_SHARE: Final = 0.2
# The shortest latency targets of streams are 2 to 4 s; a wait of one second
# leaves most of them.
MAX_HOLD_S: Final = 1.0
# A restart of all control processes takes up to a second; an election takes
# 1.4 s if the last leader does not come back.
STARTING_S: Final = 3.0
# With 64 KiB of body read ahead for each request, this is 16 MiB of memory.
MAX_HELD: Final = 256


def hold_s(since_start_s: float, left_s: float, held: int) -> float:
    """Return how many seconds a request may wait, 0 if it must not wait.

    >>> hold_s(0.2, 1.5, 0)
    0.3
    >>> hold_s(5.0, 1.5, 0)
    0.0
    """
    starting_s = STARTING_S - since_start_s
    if held >= MAX_HELD or starting_s <= 0:
        return 0.0
    return max(0.0, min(starting_s, MAX_HOLD_S, left_s * HOLD_SHARE))


__all__ = ["hold_s", "HOLD_SHARE", "MAX_HELD", "MAX_HOLD_S", "STARTING_S"]
