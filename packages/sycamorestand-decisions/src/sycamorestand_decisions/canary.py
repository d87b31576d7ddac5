"""Which servers of a version that is rolled out get its first share.

The load pattern is a roll-out whose new servers are as many as the old
ones: the first tenth of the work leaves each of them a tenth of the load.
A version that fails under load looks sound until all the work is on it,
and a slow one looks fast, as idle servers answer sooner than busy ones.
So a share of the work goes to that share of the servers, and each of them
carries what it will carry in the end.

At least `MIN_SERVERS` take part, so that the loss of one server does not
look like a bad version. Which ones follows from their names: every entry
takes the same, or together they would use them all.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

MIN_SERVERS: Final = 2


def canary_servers(names: Iterable[str], share: float) -> frozenset[str]:
    """Return the servers that take part at a share of the work.

    >>> sorted(first_servers(["a", "b", "c", "d", "e"], 0.4))
    ['a', 'b']
    """
    ordered = sorted(names)
    count = max(MIN_SERVERS, int(len(ordered) * share))
    return frozenset(ordered[:count])


__all__ = ["canary_servers", "MIN_SERVERS"]
