"""Choice of the servers that receive a roll-out's first share of work.

A roll-out may add as many new servers as there are old ones. Spread over all
of them, the first tenth of the work gives each a tenth of the load. A version
that fails under load then looks healthy until it has all the work, and a slow
one looks fast, because idle servers answer sooner than busy ones. So a share
of the work goes to the same share of the servers, and each of these carries
its final load.

At least `MIN_SERVERS` take part, so that the loss of one server does not look
like a bad version. The choice follows from the servers' names, so that every
entry chooses the same ones; otherwise the entries together would use all of
them.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

MIN_SERVERS: Final = 2


def canary_servers(names: Iterable[str], share: float) -> frozenset[str]:
    """Return the servers that take part at a share of the work.

    >>> sorted(canary_servers(["a", "b", "c", "d", "e"], 0.4))
    ['a', 'b']
    """
    ordered = sorted(names)
    count = max(MIN_SERVERS, int(len(ordered) * share))
    return frozenset(ordered[:count])


__all__ = ["canary_servers", "MIN_SERVERS"]
