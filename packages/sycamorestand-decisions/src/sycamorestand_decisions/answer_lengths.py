"""Estimate how many events of an answer are still to come.

Under overload an engine puts off what it runs for newer requests of a better
rank, also in the middle of an answer. The stream is silent then, and is sent
to another server after half of the silence that its caller accepts. Whether
the answer can afford that depends on its length: answers of one route differ
tenfold, and while events come slowly a long one takes nearly all of its
caller's time. If it waits as long as a short one, it is cut at its deadline, a
few events before its end.

Lengths are learned from the route's latest answers. A caller's own estimate is
off by a factor of two for one answer in three, as is the route's median for
the answer. Both errors are independent, so their geometric mean is closer than
either.
"""

from __future__ import annotations

from collections import deque
from math import sqrt
from typing import Final
from typing import NamedTuple

# A few seconds of one entry's traffic under overload, in which several answers
# are longer than most.
ANSWERS_KEPT: Final = 64
# An answer that is longer than all that are known goes on for this share of
# its length.
PRIOR_REST_SHARE: Final = 0.25
MAX_ROUTES: Final = 4096


class AnswerLength(NamedTuple):
    """Length of a complete answer, and its caller's estimate of it.

    The estimate ``hint_tokens`` is 0 if the caller gave none.
    """

    events: int
    hint_tokens: int


class AnswerLengths:
    """Lengths of each route's latest complete answers.

    >>> lengths = AnswerLengths()
    >>> for events in (20, 40, 60):
    ...     lengths.record_answer("review", AnswerLength(events, 6 * events))
    >>> round(lengths.rest_events("review", AnswerLength(30, 0)), 1)
    15.8
    >>> round(lengths.rest_events("review", AnswerLength(30, 960)), 1)
    39.4
    >>> lengths.rest_events("review", AnswerLength(80, 0))
    20.0
    """

    def __init__(self) -> None:
        self._last: dict[str, deque[AnswerLength]] = {}

    def record_answer(self, route: str, answer: AnswerLength) -> None:
        """Record a complete answer."""
        if len(self._last) >= MAX_ROUTES and route not in self._last:
            self._last.clear()
        empty: deque[AnswerLength] = deque(maxlen=ANSWERS_KEPT)
        self._last.setdefault(route, empty).append(answer)

    def rest_events(self, route: str, begun: AnswerLength) -> float:
        """Return how many events follow those of a ``begun`` answer."""
        last = self._last.get(route, ())
        factor = _hint_factor(last, begun.hint_tokens)
        rests = [
            answer.events * factor - begun.events
            for answer in last
            if answer.events * factor > begun.events
        ]
        rests.append(PRIOR_REST_SHARE * begun.events)
        return sum(rests) / len(rests)


def _hint_factor(
    last: deque[AnswerLength] | tuple[()], hint_tokens: int
) -> float:
    """Return how much longer than others an answer with this hint is."""
    hints = sorted(answer.hint_tokens for answer in last if answer.hint_tokens)
    if not hint_tokens or not hints:
        return 1.0
    return sqrt(hint_tokens / hints[len(hints) // 2])


__all__ = ["ANSWERS_KEPT", "AnswerLength", "AnswerLengths"]
