"""Decide which requests a process in a planned stop still accepts.

During planned work, processes stop one after the other, each within a time
limit, and callers that already know an address keep using it for a second or
two. Some answers stream for several seconds. Without this check the process
accepts streams that its end cuts off, although another process could carry
them from the first event to the last.
"""

from __future__ import annotations

from typing import Final

# One answer in nine takes longer than the longest of the eight before it; at
# one and a half times that duration it is one in thirty.
DURATION_MARGIN: Final = 1.5


def may_outlast_stop(
    ends_in_s: float, patience_s: float, longest_s: float
) -> bool:
    """Return whether a request may still run when the process ends.

    The process ends in ``ends_in_s``. ``longest_s`` is the duration of the
    longest of the last answers of this kind, infinity if unknown. The caller
    waits for ``patience_s``; a request whose own deadline comes first is not
    affected by the stop.

    >>> may_outlast_stop(6.0, 20.0, 4.5), may_outlast_stop(6.0, 20.0, 2.5)
    (True, False)
    >>> may_outlast_stop(6.0, 5.0, 8.5)
    False
    """
    return ends_in_s < min(patience_s, longest_s * DURATION_MARGIN)


__all__ = ["may_outlast_stop"]
