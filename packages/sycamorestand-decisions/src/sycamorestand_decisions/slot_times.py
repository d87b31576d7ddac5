"""Expected time of a request in a slot, from its prompt and past answers.

Admission control orders requests by their work and refuses those that cannot
end in time. Where prompts of 300 and 60,000 tokens or answers of 2 and 50
events wait together, one expected time for all of them makes short requests
wait behind long ones and refuses the wrong ones.
"""

from __future__ import annotations

from typing import Final

# Used before the first answers of a route.
DEFAULT_CALL_S: Final = 0.05
DEFAULT_ANSWER_S: Final = 1.0


def expected_call_s(usual_s: float) -> float:
    """Return the expected time of a call, from the usual one, 0 if unknown.

    >>> expected_call_s(0.0), expected_call_s(0.2)
    (0.05, 0.2)
    """
    return usual_s or DEFAULT_CALL_S


def expected_stream_s(
    prefill_s: float, events: float, event_gap_s: float
) -> float:
    """Return the expected time of a stream.

    ``events`` is the expected number of events and ``event_gap_s`` the usual
    time between them, both 0 if unknown.

    >>> round(expected_stream_s(0.1, 38, 0.02), 2)
    0.86
    >>> expected_stream_s(0.1, 0, 0)
    1.1
    """
    return prefill_s + (events * event_gap_s or DEFAULT_ANSWER_S)


__all__ = [
    "DEFAULT_ANSWER_S",
    "DEFAULT_CALL_S",
    "expected_call_s",
    "expected_stream_s",
]
