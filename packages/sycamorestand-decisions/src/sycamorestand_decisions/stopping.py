"""Which requests a process whose planned stop has begun still takes.

The load pattern is planned work: processes stop one after the other, each
within a limit, and callers that learned an address before go on coming to it
for a second or two. Answers that stream for several seconds come among short
ones. Without this decision a stream is accepted that the end of the process
cuts, while another process could have carried it from its first event to its
last.
"""

from __future__ import annotations

from typing import Final

# One answer in nine takes longer than the longest of the eight before it;
# with as much again as a half, one in some thirty.
DURATION_MARGIN: Final = 1.5


def may_outlast_stop(
    ends_in_s: float, patience_s: float, longest_s: float
) -> bool:
    """Tell whether another process should answer a request.

    This one ends in ``ends_in_s``. The longest of the last answers of the kind
    took ``longest_s``, infinity where that is unknown, and the caller waits
    for ``patience_s``: what its own deadline ends sooner, a stop does not cut.

    >>> goes_elsewhere(6.0, 20.0, 4.5), goes_elsewhere(6.0, 20.0, 2.5)
    (True, False)
    >>> goes_elsewhere(6.0, 5.0, 8.5)
    False
    """
    return ends_in_s < min(patience_s, longest_s * DURATION_MARGIN)


__all__ = ["may_outlast_stop"]
