"""How long to wait for a backend server that has not answered yet.

What it answers: a few servers hang on a part of their requests while their
health is good, in the middle of servers that are only slow because many
requests wait there. Who gives up too late is late wherever a server
hangs; who gives up too early takes a request out of a queue in which it
would soon have had its turn, and puts it at the end of another. Both look
alike from outside, but for one sign: a server that works its queue off
answers nobody out of turn. So a request that later ones have overtaken is
given up early, any other while a server with a shorter queue can still be
in time.

Between the two lies a server that is sound but holds a long prompt on a
large model: whoever comes next waits for seconds there, and for a tenth of one
elsewhere. A request whose own reading is cheap has nothing to lose by asking
elsewhere, as nothing of it was read; it goes after a tenth of its aim, but
not where requests wait as long everywhere.

The time that a server needs to read a prompt is no sign of a fault. A long
prompt on a large model takes longer than any share of the aim; given up
then, it was read for nothing, and the next server begins it anew, so that
the longest prompts were always late and read twice. So it comes on top.
"""

from __future__ import annotations

from collections import deque
import math
from typing import Final
from typing import NamedTuple

# A call is given up for another server while two thirds of its time are
# left, as the other one may be slow too; below a quarter of a second a
# calm server's slowest hundredth would be asked twice.
CALL_SHARE: Final = 1 / 3
MIN_CALL_S: Final = 0.25
# Six tenths of the time in which an answer should begin leave as much for
# another server as its prompt takes to read, with a short queue; whoever
# was overtaken has no turn to lose and goes earlier.
FIRST_EVENT_SHARE: Final = 0.6
OVERTAKEN_SHARE: Final = 0.4
# Where the caller waits no longer than the aim, the aim is no bound: of
# what is left, as much must remain as was spent.
REMAINING_SHARE: Final = 0.5
MIN_EVENT_S: Final = 1.0
# The largest model of today's engines reads 13,000 to 16,000 tokens of a
# prompt a second where nothing else runs; with some of it shared, a server
# that needs longer than this has stopped or has a queue.
PREFILL_TOKENS_PER_S: Final = 10_000.0
# A pause beyond the target is late already, and a preempted run goes on by
# itself; three times the target is longer than any calm server's pause.
GAP_TARGET_FACTOR: Final = 3.0
MIN_GAP_S: Final = 2.0
# Of the silence that a caller bears: the other half is left for what may
# then be had soonest.
FALLBACK_SHARE: Final = 0.5
# A twentieth of the aim: what two more servers may read in vain without
# making the request late.
SHORT_PREFILL_SHARE: Final = 0.05
# Of the aim: the wait at a server beside which no other is sooner.
SHORT_PREFILL_WAIT_SHARE: Final = 0.1
# The longest of so many answers is longer than most.
ANSWERS_KEPT: Final = 8
MAX_ROUTES: Final = 4096
# Requests sent together are answered in any order.
OVERTAKE_MARGIN_S: Final = 0.3
MAX_SERVERS: Final = 1024


def call_limit_s(left_s: float) -> float:
    """Return how long to wait for a call's answer before asking again."""
    return min(left_s, max(MIN_CALL_S, left_s * CALL_SHARE))


def first_event_limits_s(
    target_s: float, left_s: float, prompt_tokens: int = 0
) -> tuple[float, float]:
    """Return after how long to give up, if overtaken and in any case.

    >>> first_event_limits_s(4.0, 20.0)
    (1.6, 2.4)
    >>> first_event_limits_s(4.0, 20.0, 30_000)
    (4.6, 5.4)
    """
    bound_s = min(target_s * FIRST_EVENT_SHARE, left_s * REMAINING_SHARE)
    overtaken_s = min(target_s * OVERTAKEN_SHARE, bound_s)
    prefill_s = prompt_tokens / PREFILL_TOKENS_PER_S
    return (
        max(MIN_EVENT_S, overtaken_s) + prefill_s,
        max(MIN_EVENT_S, bound_s) + prefill_s,
    )


def short_prefill_limit_s(
    target_s: float, prefill_s: float, delay_s: float
) -> float | None:
    """Return after how long a request that reads quickly leaves a server.

    None where its prompt takes long to read, or where the usual wait now,
    ``delay_s``, says that it would meet the same elsewhere.

    >>> quick_limit_s(2.0, 0.02, 0.0)
    0.24
    >>> quick_limit_s(2.0, 0.5, 0.0) is None
    True
    """
    limit_s = target_s * SHORT_PREFILL_WAIT_SHARE + 2 * prefill_s
    if not has_short_prefill(target_s, prefill_s) or delay_s > limit_s / 2:
        return None
    return limit_s


def has_short_prefill(target_s: float, prefill_s: float) -> bool:
    """Tell whether a prompt is read in a small part of its aim."""
    return prefill_s <= target_s * SHORT_PREFILL_SHARE


def fallback_after_s(
    max_silence_s: float, total_s: float, answer_s: float
) -> float:
    """Return after how long of silence to settle for what is soonest.

    The caller bears ``silence_s`` of it and ``whole_s`` for all, of which
    the answer takes ``answer_s`` once it has begun. An answer by the
    smallest model then is worth more than a better one that nobody waits
    for any more, or that is cut before its end.

    >>> fallback_after_s(8.0, 20.0, 3.0), fallback_after_s(8.0, 6.0, 3.0)
    (4.0, 1.5)
    """
    return min(max_silence_s, total_s - answer_s) * FALLBACK_SHARE


def gap_limit_s(target_s: float) -> float:
    """Return how long a pause between two events may become."""
    return max(MIN_GAP_S, GAP_TARGET_FACTOR * target_s)


class AnswerTime(NamedTuple):
    """What one whole answer of a stream took.

    ``begin_s`` is from the request to the first event, ``answer_s`` from
    there to the end.
    """

    begin_s: float
    answer_s: float
    events: int


class AnswerTimes:
    """What the last answers of each route took, and since when others run."""

    def __init__(self) -> None:
        self._last: dict[str, deque[AnswerTime]] = {}
        self._running_since_s: dict[str, list[float]] = {}

    def record_started(self, route: str, at_s: float) -> None:
        """Note a request that `record_stopped` is told of, with its time."""
        self._running_since_s.setdefault(route, []).append(at_s)

    def record_stopped(self, route: str, at_s: float) -> None:
        """Note that a request of this time runs no more."""
        since_s = self._running_since_s[route]
        since_s.remove(at_s)
        if not since_s:
            del self._running_since_s[route]

    def record_answer(self, route: str, answer: AnswerTime) -> None:
        """Take in a whole answer."""
        if len(self._last) >= MAX_ROUTES and route not in self._last:
            self._last.clear()
        empty: deque[AnswerTime] = deque(maxlen=ANSWERS_KEPT)
        self._last.setdefault(route, empty).append(answer)

    def max_answer_s(self, route: str) -> float:
        """Return what an answer hardly takes longer than, 0 if unknown.

        It counts from the first event.
        """
        last = self._last.get(route, ())
        return max((answer.answer_s for answer in last), default=0.0)

    def max_total_s(self, route: str, pause_s: float, now_s: float) -> float:
        """Return the same from the request on, as servers are now.

        ``pause_s`` is what lies between two events now. The answers that
        ended say nothing yet of servers that became slow, and soon after
        the start only short ones have ended: what runs counts as well, and
        of fewer than `ANSWERS_KEPT` answers the longest says nothing.
        """
        last = self._last.get(route, ())
        if len(last) < ANSWERS_KEPT:
            return math.inf
        past_s = [
            answer.begin_s + max(answer.answer_s, answer.events * pause_s)
            for answer in last
        ]
        running_s = [
            now_s - since_s for since_s in self._running_since_s.get(route, ())
        ]
        return max(past_s + running_s)


class ServerProgress:
    """Which servers have answered requests that were sent after others."""

    def __init__(self) -> None:
        self._latest_sent_s: dict[str, float] = {}
        self._last_begin_s: dict[str, float] = {}

    def record_first_event(
        self, server: str, sent_s: float, now_s: float
    ) -> None:
        """Note that the answer to a request of this time has begun."""
        if len(self._latest_sent_s) >= MAX_SERVERS:
            self._latest_sent_s.clear()
            self._last_begin_s.clear()
        latest_s = self._latest_sent_s.get(server, sent_s)
        self._latest_sent_s[server] = max(latest_s, sent_s)
        self._last_begin_s[server] = now_s

    def is_serving_in_order(self, server: str, sent_s: float) -> bool:
        """Tell whether the server has begun answers since, in their turn.

        A request that waits there waits for its turn and for nothing
        else; its wait is no sign of a fault.
        """
        begun_s = self._last_begin_s.get(server, sent_s)
        return begun_s > sent_s and not self.has_overtaken(server, sent_s)

    def has_overtaken(self, server: str, sent_s: float) -> bool:
        """Tell whether a request sent later has had its answer begin."""
        latest_s = self._latest_sent_s.get(server, sent_s)
        return latest_s - sent_s > OVERTAKE_MARGIN_S


__all__ = [
    "AnswerTime",
    "AnswerTimes",
    "call_limit_s",
    "fallback_after_s",
    "first_event_limits_s",
    "gap_limit_s",
    "MIN_EVENT_S",
    "ServerProgress",
    "short_prefill_limit_s",
    "has_short_prefill",
]
