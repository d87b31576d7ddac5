"""How long a request may wait for an entry that has just started.

The load pattern is a restart of all entries at once: callers come back at
once, each for the one time that it may, and no other entry is there to
send them to. An entry that does not listen before it has a lease, or that
refuses until then, loses what comes in that time; one that lets requests
wait answers most of them, streams within their aim: a lease is 0.3 s away
once control is back.

Waiting is bounded, since the lease may not come: by a share of the
caller's time, so that as much as it needs elsewhere remains; by a time
after the start, beyond which control is cut off and not starting; and by
a number, since each request that waits holds a connection and what has
been read of its body.
"""

from __future__ import annotations

from typing import Final

# Of what the caller has left; four fifths remain for another entry.
HOLD_SHARE: Final = 0.2
# The shortest aims of streams are 2 to 4 s: a wait of a second leaves the
# larger part of them.
MAX_HOLD_S: Final = 1.0
# A restart of all control processes takes up to a second, an election
# among them 1.4 s where their last leader is not back.
STARTING_S: Final = 3.0
# With 64 KiB of body read ahead for each, 16 MiB of memory.
MAX_HELD: Final = 256


def hold_s(since_start_s: float, left_s: float, held: int) -> float:
    """Return how long one more request may wait, 0 where it may not.

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
